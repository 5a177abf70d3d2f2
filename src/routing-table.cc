#include "oriolelever/routing-table.h"

#include <algorithm>

#include <xxhash.h>

namespace oriolelever {

std::size_t EndpointHash::operator()(const Endpoint &endpoint) const noexcept
{
    return XXH3_64bits_withSeed(endpoint.address.bytes.data(), endpoint.address.bytes.size(), endpoint.port);
}

std::unordered_map<ServiceId, std::uint8_t> leastUrgentPriorities(const RoutingTable &table)
{
    std::unordered_map<ServiceId, std::uint8_t> priorities;
    std::vector<ServiceId> withoutTerms;
    for (const auto &[address, route] : table.routes) {
        for (const auto &weighted : route.services) {
            if (route.terms == RouteTerms{}) {
                withoutTerms.push_back(weighted.service);
                continue;
            }
            auto &priority = priorities[weighted.service];
            priority = std::max(priority, route.terms.priority);
        }
    }
    for (const auto service : withoutTerms) {
        const auto found = priorities.find(service);
        if (found != priorities.end()) {
            found->second = lowestPriority;
        }
    }
    return priorities;
}

} // namespace oriolelever
