/// The key of a flow and its hash, which is the same on every node.
#pragma once

#include "oriolelever/model.h"
#include "oriolelever/types.h"

namespace oriolelever {

/// Source and destination of the packets that the caller of a flow sends.
struct FlowKey
{
    Endpoint caller;
    Endpoint service; ///< Virtual address and port of the service.
    Protocol protocol = Protocol::Tcp;

    auto operator<=>(const FlowKey &) const = default;
};

/// Returns the 64-bit XXH3 hash of the key. The seed is fixed, so that all nodes compute the same hash.
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
