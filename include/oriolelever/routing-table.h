/// The operators' configuration as the packet path reads it.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "oriolelever/types.h"

namespace oriolelever {

struct WeightedService
{
    ServiceId service;
    std::uint32_t weight = 0; ///< Share of new flows relative to the other services of the route.

    bool operator==(const WeightedService &) const = default;
};

/// Where flows to one virtual address go.
struct VirtualRoute
{
    std::vector<WeightedService> services; ///< At least one.

    bool operator==(const VirtualRoute &) const = default;
};

struct EndpointHash
{
    std::size_t operator()(const Endpoint &endpoint) const noexcept;
};

/// One whole configuration.
struct RoutingTable
{
    std::uint64_t revision = 0; ///< Revision of the platform's store that wrote it; later ones are larger.
    std::uint64_t version = 0; ///< The operators' number.
    std::unordered_map<Endpoint, VirtualRoute, EndpointHash> routes; ///< By virtual address.
    std::unordered_map<ServiceId, double>
        coldFlowsPerSecond; ///< What a cold server bears; absent if not stated.
    std::chrono::milliseconds idleLimit{0}; ///< Flows that are silent for longer may be forgotten.
};

} // namespace oriolelever
