/// Placement of flows: immutable routes, one per service, built from the records in force. A route names the
/// owner of each bucket.
///
/// The hash of a flow selects one of the service's buckets. Every node derives the owner of a bucket from its
/// own records by weighted rendezvous hashing, without a coordinator.
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

/// Owner of a bucket that has none.
constexpr ServerIndex noServer = UINT16_MAX;
constexpr std::size_t smallBucketCount = 256;
constexpr std::size_t largeBucketCount = 8192;
/// Services with more servers than this get `largeBucketCount` buckets.
constexpr std::size_t smallServiceServers = 64;

/// One backend server in the roster of a service.
struct RouteServer
{
    ServerId id;
    Endpoint data; ///< Where its agent receives encapsulated packets (UDP).
    Incarnation incarnation = 0;
    ZoneId zone;
    NodeState state = NodeState::Down;
    bool zoneOut = false; ///< The operators have taken its zone out of service: `ZoneState::Out`.
    std::uint16_t weight = 0; ///< Zone weight: share of new flows relative to other zones, 0 to 1000.
    /// Open flows that the server accepts once it is warm; in a route, 0 was replaced by the service's limit.
    std::uint32_t connectionLimit = 0;
    std::chrono::milliseconds zoneRamp{0}; ///< From the zone's return to its full share of new flows.
    TimePoint zoneReturned; ///< When this node saw the zone return; the epoch if it never did.

    /// Returns whether its agent can receive packets.
    bool reachable() const
    {
        return state != NodeState::Down && !zoneOut;
    }

    /// Returns whether new flows may be placed at it.
    bool acceptsNewFlows() const
    {
        return reachable() && state != NodeState::Draining && weight > 0;
    }
};

/// The roster and the bucket owners of one service at one version.
struct ServiceRoute
{
    ServiceId id;
    Endpoint address; ///< Virtual address and port.
    Protocol protocol = Protocol::Tcp;
    std::uint32_t connectionLimit = 0; ///< Of a server that announces none.
    std::chrono::milliseconds rampTime{0}; ///< Slow start: from cold to the full share of new flows.
    /// Grows with every new version of a record that the route is built from. Tells which of two nodes has
    /// the older roster; nothing else depends on it.
    std::uint64_t version = 0;
    std::vector<RouteServer> servers; ///< Ascending by id.
    std::vector<ServerIndex> owners; ///< By bucket; `noServer` when no server is reachable.
};

/// Returns the bucket of a flow by its hash.
BucketIndex bucketOf(std::uint64_t flowHash, std::size_t bucketCount);
/// Returns the server with this id, or null.
const RouteServer *findServer(const ServiceRoute &route, ServerId id);
/// Returns the owner of a bucket, or null.
const RouteServer *ownerOf(const ServiceRoute &route, BucketIndex bucket);
/// Fills `owners` from `servers`. The owners are servers that accept new flows, or all reachable servers if
/// none does.
void assignOwners(ServiceRoute &route);

/// Immutable snapshot of the routes of all services. Threads that route packets keep a shared pointer to one.
struct Routing
{
    /// An update copies only the shards that it changes.
    static constexpr std::size_t shardCount = 256;
    using Shard = std::vector<std::shared_ptr<const ServiceRoute>>; ///< Ascending by address and protocol.

    std::array<std::shared_ptr<const Shard>, shardCount>
        shards; ///< By the hash of address and protocol; null when empty.
};

/// Returns the route of the service at this address and protocol, or null.
const std::shared_ptr<const ServiceRoute> *findRoute(const Routing &routing, const Endpoint &address,
                                                     Protocol protocol);

/// Where a balancer sends a packet.
struct RouteDecision
{
    Endpoint target; ///< Data endpoint of the owner's agent.
    ServerId server; ///< The owner.
    Incarnation incarnation = 0; ///< Of the owner's agent.
    ServiceId service;
    std::uint64_t version = 0; ///< Of the route.
};

/// Returns the owner of the flow's bucket; nothing if the service is unknown or has no reachable server.
/// Does not allocate.
///
///     if (const auto decision = route(*routing, key)) {
///         send(decision->target, packet);
///     }
std::optional<RouteDecision> route(const Routing &routing, const FlowKey &key);

/// State from which the control thread builds snapshots; changed by `updateRouting` only.
struct RoutingBuilder
{
    /// A server of a service.
    struct Member
    {
        RouteServer server;
        std::uint64_t versionPart = 0; ///< Sum of the versions of its records, a summand of the route's.
    };

    struct ServiceMembers
    {
        std::string name; ///< Empty until the service's own row has come.
        std::vector<Member> members; ///< Ascending by id.
        Endpoint address; ///< Of the published route.
        Protocol protocol = Protocol::Tcp; ///< Of the published route.
        bool isPublished = false; ///< The current snapshot has a route of the service.
    };

    std::unordered_map<ServiceId, ServiceMembers> services;
    std::unordered_map<ServerId, ServiceId> serviceByServer;
    std::unordered_map<ZoneId, TimePoint> zoneReturned; ///< When this node saw the zone return.
    std::unordered_map<ZoneId, bool> zoneOut; ///< Whether the zone was `ZoneState::Out` at the last update.
    std::shared_ptr<const Routing> current = std::make_shared<Routing>();
};

/// Returns a new snapshot after the records `changed`, which `view` has in force already. A changed service
/// or server rebuilds the route of its service; a changed zone rebuilds those of all services with a server
/// in it.
std::shared_ptr<const Routing> updateRouting(RoutingBuilder &builder, const ClusterView &view,
                                             const std::vector<Record> &changed, TimePoint now);

/// Returns the estimated memory of a snapshot in bytes, for capacity planning.
std::size_t stateBytes(const Routing &routing);

} // namespace oriolelever
