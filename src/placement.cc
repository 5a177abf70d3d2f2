#include "oriolelever/placement.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace oriolelever {

namespace {

using Servers = std::vector<RouteServer>;

// The 64-bit finalizer of MurmurHash3.
std::uint64_t mixBits(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33;
    return value;
}

// Returns -ln(u) / weight for a pseudorandom u that is uniform in (0, 1]. The server with the least cost owns
// the bucket, so servers own buckets in proportion to their weights.
double rendezvousCost(ServerId server, std::size_t bucket, double weight)
{
    constexpr double unit = 0x1.0p-53;
    const auto bits = mixBits(server.value ^ mixBits(bucket + 1)) >> 11;
    return -std::log((static_cast<double>(bits) + 1.0) * unit) / weight;
}

// Returns the servers that accept new flows, or all reachable ones if none does.
std::vector<ServerIndex> candidateOwners(const Servers &servers)
{
    std::vector<ServerIndex> accepting;
    std::vector<ServerIndex> reachable;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (!servers[i].reachable()) {
            continue;
        }
        reachable.push_back(static_cast<ServerIndex>(i));
        if (servers[i].acceptsNewFlows()) {
            accepting.push_back(static_cast<ServerIndex>(i));
        }
    }
    return accepting.empty() ? reachable : accepting;
}

std::size_t shardOf(const Endpoint &address, Protocol protocol)
{
    const FlowKey key{.caller = {}, .service = address, .protocol = protocol};
    return hashFlow(key) % Routing::shardCount;
}

bool isOrderedBefore(const ServiceRoute &route, const Endpoint &address, Protocol protocol)
{
    return std::tie(route.address, route.protocol) < std::tie(address, protocol);
}

auto findInShard(const Routing::Shard &shard, const Endpoint &address, Protocol protocol)
{
    return std::lower_bound(shard.begin(), shard.end(), 0,
                            [&](const std::shared_ptr<const ServiceRoute> &route, int) {
                                return isOrderedBefore(*route, address, protocol);
                            });
}

bool hasAddress(const ServiceRoute &route, const Endpoint &address, Protocol protocol)
{
    return route.address == address && route.protocol == protocol;
}

// Maps the version of a record to a number that grows with later versions, up to sequence 0xffff of an epoch.
std::uint64_t versionNumber(const RecordVersion &version)
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
    std::erase_if(
        *shard, [&](const auto &route) { return route->id == id && hasAddress(*route, address, protocol); });
    slot = std::move(shard);
}

// Adds a route to a copy of its shard, in place of one at the same address.
void publishRoute(Routing &routing, std::shared_ptr<const ServiceRoute> route)
{
    auto &slot = routing.shards[shardOf(route->address, route->protocol)];
    auto shard = slot ? std::make_shared<Routing::Shard>(*slot) : std::make_shared<Routing::Shard>();
    const auto at = findInShard(*shard, route->address, route->protocol) - shard->begin();
    const auto position = shard->begin() + at;
    if (position != shard->end() && hasAddress(**position, route->address, route->protocol)) {
        *position = std::move(route);
    } else {
        shard->insert(position, std::move(route));
    }
    slot = std::move(shard);
}

void removeServer(RoutingBuilder &builder, ServerId id, std::set<ServiceId> &changedServices)
{
    const auto known = builder.serviceByServer.find(id);
    if (known == builder.serviceByServer.end()) {
        return;
    }
    auto &members = builder.services[known->second].members;
    std::erase_if(members, [&](const auto &member) { return member.server.id == id; });
    changedServices.insert(known->second);
    builder.serviceByServer.erase(known);
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
    const auto serverRow = view.serverRows.find(announcement.name);
    if (serverRow != view.serverRows.end() && serverRow->second.row.drain
        && server.state != NodeState::Down) {
        server.state = NodeState::Draining;
    }
    const auto zone = view.zones.find(announcement.zone);
    if (zone != view.zones.end()) {
        server.zoneOut = zone->second.row.state == ZoneState::Out;
        server.weight = static_cast<std::uint16_t>(zone->second.row.weight);
        server.zoneRamp = zone->second.row.rampTime;
    }
    const auto returned = builder.zoneReturned.find(server.zone);
    if (returned != builder.zoneReturned.end()) {
        server.zoneReturned = returned->second;
    }
    return server;
}

// Sums the versions of the records that a server in the roster is built from.
std::uint64_t serverVersionPart(const ClusterView &view, const ClusterView::NodeEntry &entry)
{
    auto versionPart = versionNumber(entry.version);
    const auto serverRow = view.serverRows.find(entry.announcement.name);
    if (serverRow != view.serverRows.end()) {
        versionPart += versionNumber(serverRow->second.version);
    }
    const auto zone = view.zones.find(entry.announcement.zone);
    if (zone != view.zones.end()) {
        versionPart += versionNumber(zone->second.version);
    }
    return versionPart;
}

// Brings the members of the service in line with the announcement of a server.
void updateServer(RoutingBuilder &builder, const ClusterView &view, const std::string &name,
                  std::set<ServiceId> &changedServices)
{
    const auto id = idOf<ServerId>(name);
    const auto entry = view.nodes.find(name);
    if (entry == view.nodes.end() || entry->second.announcement.role != NodeRole::Agent) {
        removeServer(builder, id, changedServices);
        return;
    }
    const auto service = idOf<ServiceId>(entry->second.announcement.service);
    const auto known = builder.serviceByServer.find(id);
    if (known != builder.serviceByServer.end() && known->second != service) {
        removeServer(builder, id, changedServices);
    }
    const RoutingBuilder::Member member{.server = makeServer(builder, view, entry->second.announcement),
                                        .versionPart = serverVersionPart(view, entry->second)};
    auto &members = builder.services[service].members;
    const auto position
        = std::lower_bound(members.begin(), members.end(), id,
                           [](const auto &other, ServerId wanted) { return other.server.id < wanted; });
    if (position != members.end() && position->server.id == id) {
        *position = member;
    } else {
        members.insert(position, member);
    }
    builder.serviceByServer[id] = service;
    changedServices.insert(service);
}

// Records whether a zone is out, and updates all servers in it.
void updateZone(RoutingBuilder &builder, const ClusterView &view, const std::string &name, TimePoint now,
                std::set<ServiceId> &changedServices)
{
    const auto id = idOf<ZoneId>(name);
    const bool out = isZoneOut(view, name);
    if (builder.zoneOut[id] && !out) {
        builder.zoneReturned[id] = now;
    }
    builder.zoneOut[id] = out;
    for (const auto &[nodeName, entry] : view.nodes) {
        if (entry.announcement.zone == name && entry.announcement.role == NodeRole::Agent) {
            updateServer(builder, view, nodeName, changedServices);
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
    route->version = versionNumber(entry.version);
    route->servers.reserve(service.members.size());
    for (const auto &member : service.members) {
        route->version += member.versionPart;
        route->servers.push_back(member.server);
        auto &server = route->servers.back();
        if (server.connectionLimit == 0) {
            server.connectionLimit = entry.row.connectionLimit;
        }
    }
    assignOwners(*route);
    return route;
}

// Builds and publishes the route of a service; removes the one at its former address.
void updateServiceRoute(RoutingBuilder &builder, Routing &routing, const ClusterView &view, ServiceId id)
{
    auto &service = builder.services[id];
    const auto entry = view.services.find(service.name);
    const bool exists = !service.name.empty() && entry != view.services.end();
    const bool moved = exists
        && (service.address != entry->second.row.address || service.protocol != entry->second.row.protocol);
    if (service.isPublished && (!exists || moved)) {
        removeRoute(routing, service.address, service.protocol, id);
        service.isPublished = false;
    }
    if (!exists) {
        return;
    }
    publishRoute(routing, buildRoute(service, id, entry->second));
    service.address = entry->second.row.address;
    service.protocol = entry->second.row.protocol;
    service.isPublished = true;
}

} // namespace

BucketIndex bucketOf(std::uint64_t flowHash, std::size_t bucketCount)
{
    return static_cast<BucketIndex>(flowHash % bucketCount);
}

const RouteServer *findServer(const ServiceRoute &route, ServerId id)
{
    const auto position
        = std::lower_bound(route.servers.begin(), route.servers.end(), id,
                           [](const RouteServer &server, ServerId wanted) { return server.id < wanted; });
    return position != route.servers.end() && position->id == id ? &*position : nullptr;
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
    const auto position = findInShard(*shard, address, protocol);
    return position != shard->end() && hasAddress(**position, address, protocol) ? &*position : nullptr;
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
    std::set<ServiceId> changedServices;
    for (const auto &record : changed) {
        const auto &name = record.key.name;
        switch (record.key.kind) {
        case RecordKind::Service:
            builder.services[idOf<ServiceId>(name)].name = name;
            changedServices.insert(idOf<ServiceId>(name));
            break;
        case RecordKind::Zone:
            updateZone(builder, view, name, now, changedServices);
            break;
        case RecordKind::Server:
        case RecordKind::Node:
            updateServer(builder, view, name, changedServices);
            break;
        }
    }
    auto routing = std::make_shared<Routing>(*builder.current);
    for (const auto id : changedServices) {
        updateServiceRoute(builder, *routing, view, id);
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
