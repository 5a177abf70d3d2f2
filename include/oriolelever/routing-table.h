/// The operators' configuration as the packet path reads it.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "oriolelever/route-terms.h"
#include "oriolelever/store-position.h"
#include "oriolelever/types.h"

namespace oriolelever {

/// A service of a route.
struct WeightedService
{
    ServiceId service;
    std::uint32_t weight = 0; ///< Share of new flows relative to the other services of the route.

    bool operator==(const WeightedService &) const = default;
};

/// The services to which flows of one virtual address go.
struct VirtualRoute
{
    std::vector<WeightedService> services; ///< At least one.
    RouteTerms terms;

    bool operator==(const VirtualRoute &) const = default;
};

struct EndpointHash
{
    std::size_t operator()(const Endpoint &endpoint) const noexcept;
};

/// One version of the whole configuration.
struct RoutingTable
{
    StorePosition position; ///< Of the platform's store when it was written; orders configurations.
    std::uint64_t version = 0; ///< Version number that the operators gave it.
    std::unordered_map<Endpoint, VirtualRoute, EndpointHash> routes; ///< By virtual address.
    /// New flows per second that a cold server of the service can take; absent if not configured.
    std::unordered_map<ServiceId, double> coldFlowsPerSecond;
    /// Flows that are idle for longer may be forgotten; 0 if not configured.
    std::chrono::milliseconds idleLimit{0};
};

/// Returns the services of routes that state terms, each with the least urgent priority of all its routes:
/// that of routes without terms is `lowestPriority`. Linear in the number of routes.
std::unordered_map<ServiceId, std::uint8_t> leastUrgentPriorities(const RoutingTable &table);

} // namespace oriolelever
