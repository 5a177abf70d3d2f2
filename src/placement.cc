#include "oriolelever/placement.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace oriolelever {

namespace {

using Servers = std::vector<RouteServer>;

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33;
    return value;
}

// -ln of a uniform variable in (0, 1]; the smallest quotient by weight wins, which gives shares by weight.
double rendezvousCost(ServerId server, std::size_t bucket, double weight)
{
    constexpr double unit = 0x1.0p-53;
    const auto bits = mix(server.value ^ mix(bucket + 1)) >> 11;
    return -std::log((static_cast<double>(bits) + 1.0) * unit) / weight;
}

std::vector<ServerIndex> candidateOwners(const Servers &servers)
{
    std::vector<ServerIndex> taking;
    std::vector<ServerIndex> reachable;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (!servers[i].reachable()) {
            continue;
        }
        reachable.push_back(static_cast<ServerIndex>(i));
        if (servers[i].takesFlows()) {
            taking.push_back(static_cast<ServerIndex>(i));
        }
    }
    return taking.empty() ? reachable : taking;
}

std::size_t shardOf(const Endpoint &address, Protocol protocol)
{
    const FlowKey key{.caller = {}, .service = address, .protocol = protocol};
    return hashFlow(key) % Routing::shardCount;
}

bool filedBefore(const ServiceRoute &route, const Endpoint &address, Protocol protocol)
{
    return std::tie(route.address, route.protocol) < std::tie(address, protocol);
}

auto findInShard(const Routing::Shard &shard, const Endpoint &address, Protocol protocol)
{
    return std::lower_bound(shard.begin(), shard.end(), 0,
                            [&](const std::shared_ptr<const ServiceRoute> &route, int) {
                                return filedBefore(*route, address, protocol);
                            });
}

bool isAt(const ServiceRoute &route, const Endpoint &address, Protocol protocol)
{
    return route.address == address && route.protocol == protocol;
}

// Later versions of a record have a larger rank.
std::uint64_t rankOf(const RecordVersion &version)
{
    constexpr std::uint64_t epochMask = 0xffffffffULL;
    constexpr std::uint64_t sequenceLimit = 0xffffULL;
    return ((version.epoch & epochMask) << 16) + std::min(version.sequence, sequenceLimit);
}

void removeRoute(Routing &routing, const Endpoint &address, Protocol protocol, ServiceId id)
{
    auto &slot = routing.shards[shardOf(address, protocol)];
    if (!slot) {
        return;
    }
    auto shard = std::make_shared<Routing::Shard>(*slot);
    std::erase_if(*shard,
                  [&](const auto &route) { return route->id == id && isAt(*route, address, protocol); });
    slot = std::move(shard);
}

void fileRoute(Routing &routing, std::shared_ptr<const ServiceRoute> route)
{
    auto &slot = routing.shards[shardOf(route->address, route->protocol)];
    auto shard = slot ? std::make_shared<Routing::Shard>(*slot) : std::make_shared<Routing::Shard>();
    const auto at = findInShard(*shard, route->address, route->protocol) - shard->begin();
    const auto place = shard->begin() + at;
    if (place != shard->end() && isAt(**place, route->address, route->protocol)) {
        *place = std::move(route);
    } else {
        shard->insert(place, std::move(route));
    }
    slot = std::move(shard);
}

void forgetServer(RoutingBuilder &builder, ServerId id, std::set<ServiceId> &touched)
{
    const auto known = builder.serviceOf.find(id);
    if (known == builder.serviceOf.end()) {
        return;
    }
    auto &members = builder.services[known->second].members;
    std::erase_if(members, [&](const auto &member) { return member.server.id == id; });
    touched.insert(known->second);
    builder.serviceOf.erase(known);
}

RouteServer makeServer(const RoutingBuilder &builder, const ClusterView &view,
                       const Announcement &announcement)
{
    RouteServer server{
        .id = idOf<ServerId>(announcement.name),
        .data = announcement.data,
        .incarnation = announcement.incarnation,
        .zone = idOf<ZoneId>(announcement.zone),
        .state = announcement.state,
        .weight = static_cast<std::uint16_t>(ZoneRow{}.weight),
        .connectionLimit = announcement.connectionLimit,
    };
    const auto order = view.orders.find(announcement.name);
    if (order != view.orders.end() && order->second.order.drain && server.state != NodeState::Down) {
        server.state = NodeState::Draining;
    }
    const auto zone = view.zones.find(announcement.zone);
    if (zone != view.zones.end()) {
        server.zoneOut = zone->second.row.state == ZoneState::Out;
        server.weight = static_cast<std::uint16_t>(zone->second.row.weight);
        server.zoneRamp = zone->second.row.rampTime;
    }
    const auto returned = builder.returned.find(server.zone);
    if (returned != builder.returned.end()) {
        server.zoneReturned = returned->second;
    }
    return server;
}

std::uint64_t serverRank(const ClusterView &view, const ClusterView::NodeEntry &entry)
{
    auto rank = rankOf(entry.version);
    const auto order = view.orders.find(entry.announcement.name);
    if (order != view.orders.end()) {
        rank += rankOf(order->second.version);
    }
    const auto zone = view.zones.find(entry.announcement.zone);
    if (zone != view.zones.end()) {
        rank += rankOf(zone->second.version);
    }
    return rank;
}

void takeServer(RoutingBuilder &builder, const ClusterView &view, const std::string &name,
                std::set<ServiceId> &touched)
{
    const auto id = idOf<ServerId>(name);
    const auto entry = view.nodes.find(name);
    if (entry == view.nodes.end() || entry->second.announcement.role != NodeRole::Agent) {
        forgetServer(builder, id, touched);
        return;
    }
    const auto service = idOf<ServiceId>(entry->second.announcement.service);
    const auto known = builder.serviceOf.find(id);
    if (known != builder.serviceOf.end() && known->second != service) {
        forgetServer(builder, id, touched);
    }
    const RoutingBuilder::Member member{.server = makeServer(builder, view, entry->second.announcement),
                                        .rank = serverRank(view, entry->second)};
    auto &members = builder.services[service].members;
    const auto place
        = std::lower_bound(members.begin(), members.end(), id,
                           [](const auto &other, ServerId wanted) { return other.server.id < wanted; });
    if (place != members.end() && place->server.id == id) {
        *place = member;
    } else {
        members.insert(place, member);
    }
    builder.serviceOf[id] = service;
    touched.insert(service);
}

void takeZone(RoutingBuilder &builder, const ClusterView &view, const std::string &name, TimePoint now,
              std::set<ServiceId> &touched)
{
    const auto id = idOf<ZoneId>(name);
    const bool out = isZoneOut(view, name);
    if (builder.out[id] && !out) {
        builder.returned[id] = now;
    }
    builder.out[id] = out;
    for (const auto &[nodeName, entry] : view.nodes) {
        if (entry.announcement.zone == name && entry.announcement.role == NodeRole::Agent) {
            takeServer(builder, view, nodeName, touched);
        }
    }
}

std::shared_ptr<const ServiceRoute> buildRoute(const RoutingBuilder::ServiceMembers &service, ServiceId id,
                                               const ClusterView::ServiceEntry &entry)
{
    auto route = std::make_shared<ServiceRoute>();
    route->id = id;
    route->address = entry.row.address;
    route->protocol = entry.row.protocol;
    route->connectionLimit = entry.row.connectionLimit;
    route->rampTime = entry.row.rampTime;
    route->version = rankOf(entry.version);
    route->servers.reserve(service.members.size());
    for (const auto &member : service.members) {
        route->version += member.rank;
        route->servers.push_back(member.server);
        auto &server = route->servers.back();
        if (server.connectionLimit == 0) {
            server.connectionLimit = entry.row.connectionLimit;
        }
    }
    assignOwners(*route);
    return route;
}

void refile(RoutingBuilder &builder, Routing &routing, const ClusterView &view, ServiceId id)
{
    auto &service = builder.services[id];
    const auto entry = view.services.find(service.name);
    const bool exists = !service.name.empty() && entry != view.services.end();
    const bool moved = exists
        && (service.address != entry->second.row.address || service.protocol != entry->second.row.protocol);
    if (service.filed && (!exists || moved)) {
        removeRoute(routing, service.address, service.protocol, id);
        service.filed = false;
    }
    if (!exists) {
        return;
    }
    fileRoute(routing, buildRoute(service, id, entry->second));
    service.address = entry->second.row.address;
    service.protocol = entry->second.row.protocol;
    service.filed = true;
}

} // namespace

BucketIndex bucketOf(std::uint64_t flowHash, std::size_t bucketCount)
{
    return static_cast<BucketIndex>(flowHash % bucketCount);
}

const RouteServer *findServer(const ServiceRoute &route, ServerId id)
{
    const auto place
        = std::lower_bound(route.servers.begin(), route.servers.end(), id,
                           [](const RouteServer &server, ServerId wanted) { return server.id < wanted; });
    return place != route.servers.end() && place->id == id ? &*place : nullptr;
}

const RouteServer *ownerOf(const ServiceRoute &route, BucketIndex bucket)
{
    if (bucket >= route.owners.size() || route.owners[bucket] == noServer) {
        return nullptr;
    }
    return &route.servers[route.owners[bucket]];
}

void assignOwners(ServiceRoute &route)
{
    const auto count = route.servers.size() > smallServiceServers ? largeBucketCount : smallBucketCount;
    route.owners.assign(count, noServer);
    const auto candidates = candidateOwners(route.servers);
    for (std::size_t bucket = 0; bucket < count; ++bucket) {
        double best = 0;
        for (const auto index : candidates) {
            const auto &server = route.servers[index];
            const double weight = std::max<double>(server.weight, 1.0);
            const auto cost = rendezvousCost(server.id, bucket, weight);
            if (route.owners[bucket] != noServer && cost >= best) {
                continue;
            }
            best = cost;
            route.owners[bucket] = index;
        }
    }
}

const std::shared_ptr<const ServiceRoute> *findRoute(const Routing &routing, const Endpoint &address,
                                                     Protocol protocol)
{
    const auto &shard = routing.shards[shardOf(address, protocol)];
    if (!shard) {
        return nullptr;
    }
    const auto place = findInShard(*shard, address, protocol);
    return place != shard->end() && isAt(**place, address, protocol) ? &*place : nullptr;
}

std::optional<RouteDecision> route(const Routing &routing, const FlowKey &key)
{
    const auto *const found = findRoute(routing, key.service, key.protocol);
    if (found == nullptr) {
        return std::nullopt;
    }
    const auto &service = **found;
    const auto *const owner = ownerOf(service, bucketOf(hashFlow(key), service.owners.size()));
    if (owner == nullptr) {
        return std::nullopt;
    }
    return RouteDecision{.target = owner->data,
                         .server = owner->id,
                         .incarnation = owner->incarnation,
                         .service = service.id,
                         .version = service.version};
}

std::shared_ptr<const Routing> updateRouting(RoutingBuilder &builder, const ClusterView &view,
                                             const std::vector<Record> &changed, TimePoint now)
{
    std::set<ServiceId> touched;
    for (const auto &record : changed) {
        const auto &name = record.key.name;
        switch (record.key.kind) {
        case RecordKind::Service:
            builder.services[idOf<ServiceId>(name)].name = name;
            touched.insert(idOf<ServiceId>(name));
            break;
        case RecordKind::Zone:
            takeZone(builder, view, name, now, touched);
            break;
        case RecordKind::Server:
        case RecordKind::Node:
            takeServer(builder, view, name, touched);
            break;
        }
    }
    auto routing = std::make_shared<Routing>(*builder.current);
    for (const auto id : touched) {
        refile(builder, *routing, view, id);
    }
    builder.current = routing;
    return builder.current;
}

std::size_t stateBytes(const Routing &routing)
{
    std::size_t bytes = sizeof(Routing);
    for (const auto &shard : routing.shards) {
        if (!shard) {
            continue;
        }
        bytes += sizeof(Routing::Shard) + shard->capacity() * sizeof(Routing::Shard::value_type);
        for (const auto &route : *shard) {
            bytes += sizeof(ServiceRoute) + route->servers.capacity() * sizeof(RouteServer)
                + route->owners.capacity() * sizeof(ServerIndex);
        }
    }
    return bytes;
}

} // namespace oriolelever
