/// From the records in force to the owner of each flow: immutable routes, one per service.
///
/// Each service has a fixed number of buckets. Every node derives the owner of a bucket from the records that
/// it has, by weighted rendezvous hashing, without a coordinator.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "oriolelever/flow.h"
#include "oriolelever/model.h"

namespace oriolelever {

using BucketIndex = std::uint16_t;
/// Position of a server in `ServiceRoute::servers`.
using ServerIndex = std::uint16_t;

constexpr ServerIndex noServer = UINT16_MAX;
constexpr std::size_t smallBucketCount = 256;
constexpr std::size_t largeBucketCount = 8192;
/// Services with more servers than this get `largeBucketCount` buckets.
constexpr std::size_t smallServiceServers = 64;

/// One backend server of a service as a node sees it.
struct RouteServer
{
    ServerId id;
    Endpoint data; ///< Where its agent takes encapsulated packets.
    Incarnation incarnation = 0;
    ZoneId zone;
    NodeState state = NodeState::Down;
    bool zoneOut = false;
    std::uint16_t weight = 0; ///< Zone weight, 0 to 1000.
    std::uint32_t connectionLimit = 0;
    std::chrono::milliseconds zoneRamp{0};
    TimePoint zoneReturned; ///< When this node saw the zone return; the epoch when it never was out.

    /// Its agent takes packets.
    bool reachable() const
    {
        return state != NodeState::Down && !zoneOut;
    }

    /// It may take new flows.
    bool takesFlows() const
    {
        return reachable() && state != NodeState::Draining && weight > 0;
    }
};

/// Servers and bucket owners of one service at one version.
struct ServiceRoute
{
    ServiceId id;
    Endpoint address; ///< Virtual address and port.
    Protocol protocol = Protocol::Tcp;
    std::uint32_t connectionLimit = 0;
    std::chrono::milliseconds rampTime{0}; ///< From cold start to the full share of new flows.
    /// Grows with every record that it is built from; says which of two nodes lags, and decides nothing else.
    std::uint64_t version = 0;
    std::vector<RouteServer> servers; ///< Ascending by id.
    std::vector<ServerIndex> owners; ///< By bucket; `noServer` when no server is reachable.
};

BucketIndex bucketOf(std::uint64_t flowHash, std::size_t bucketCount);
/// The server called `id`, or null.
const RouteServer *findServer(const ServiceRoute &route, ServerId id);
/// The owner of a bucket, or null.
const RouteServer *ownerOf(const ServiceRoute &route, BucketIndex bucket);
/// Fills `owners` from `servers`. Servers that take flows own buckets; draining ones only if no other is
/// left.
void assignOwners(ServiceRoute &route);

/// The routes of all services. Threads that route packets keep a shared pointer to one.
struct Routing
{
    static constexpr std::size_t shardCount = 256;
    using Shard = std::vector<std::shared_ptr<const ServiceRoute>>; ///< Ascending by address and protocol.

    std::array<std::shared_ptr<const Shard>, shardCount> shards;
};

/// The route of the service at this address and protocol, or null.
const std::shared_ptr<const ServiceRoute> *findRoute(const Routing &routing, const Endpoint &address,
                                                     Protocol protocol);

/// Where a balancer sends a packet.
struct RouteDecision
{
    Endpoint target; ///< Data endpoint of the owner's agent.
    ServerId server;
    Incarnation incarnation = 0;
    ServiceId service;
    std::uint64_t version = 0;
};

/// The owner of the packet's flow; nothing when the service is unknown or no server of it is reachable. Does
/// not allocate.
///
///     if (const auto decision = route(*routing, key)) {
///         send(decision->target, packet);
///     }
std::optional<RouteDecision> route(const Routing &routing, const FlowKey &key);

/// State of the control thread from which snapshots are made.
struct RoutingBuilder
{
    struct Member
    {
        RouteServer server;
        std::uint64_t rank = 0; ///< Part of the route's version.
    };

    struct ServiceMembers
    {
        std::string name;
        std::vector<Member> members; ///< Ascending by id.
        Endpoint address; ///< Where the current route is filed.
        Protocol protocol = Protocol::Tcp;
        bool filed = false;
    };

    std::unordered_map<ServiceId, ServiceMembers> services;
    std::unordered_map<ServerId, ServiceId> serviceOf;
    std::unordered_map<ZoneId, TimePoint> returned;
    std::unordered_map<ZoneId, bool> out;
    std::shared_ptr<const Routing> current = std::make_shared<Routing>();
};

/// Rebuilds the routes that `changed` touches, from `view`, in which the records are already in force. A
/// changed row or server costs its own service; a changed zone costs every service with a server in it.
std::shared_ptr<const Routing> updateRouting(RoutingBuilder &builder, const ClusterView &view,
                                             const std::vector<Record> &changed, TimePoint now);

/// Bytes of a snapshot, for capacity planning.
std::size_t stateBytes(const Routing &routing);

} // namespace oriolelever
