/// The key of a flow and its hash; every node computes the same hash.
#pragma once

#include "oriolelever/model.h"
#include "oriolelever/types.h"

namespace oriolelever {

/// Source and destination of a flow's packets, as the caller sends them.
struct FlowKey
{
    Endpoint caller;
    Endpoint service; ///< Virtual address and port.
    Protocol protocol = Protocol::Tcp;

    auto operator<=>(const FlowKey &) const = default;
};

/// xxHash3 of the key with a fixed seed, so that all nodes agree.
std::uint64_t hashFlow(const FlowKey &key);

} // namespace oriolelever

template<>
struct std::hash<oriolelever::FlowKey>
{
    std::size_t operator()(const oriolelever::FlowKey &key) const noexcept
    {
        return static_cast<std::size_t>(oriolelever::hashFlow(key));
    }
};
