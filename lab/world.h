/// State of a replay: callers, balancers, hosts and the queue of virtual time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "oriolelever/directory.h"
#include "replay.h"

namespace oriolelever::lab {

constexpr std::size_t noHost = SIZE_MAX;

/// A packet of a flow on its way.
struct LabPacket
{
    std::uint64_t flow = 0;
    std::uint64_t attempt = 0; ///< Of the caller; an acknowledged attempt is not sent again.
    bool opens = false;
    bool closes = false;
    ServiceId service;
    std::uint64_t version = 0;
    Incarnation target = 0;
    PacketPurpose purpose = PacketPurpose::Route;
    std::uint8_t hops = 0;
    ServerId fromServer;
    std::size_t balancer = 0;
};

/// A caller's flow.
struct LabFlow
{
    std::size_t service = 0; ///< Index into the trace.
    FlowKey key;
    TimePoint offeredAt;
    TimePoint openedAt;
    bool offered = false;
    bool countable = false; ///< Offered while some server could take it.
    bool aroundZone = false;
    bool open = false;
    bool closing = false; ///< The caller has sent its last packet.
    bool over = false;
    std::size_t home = noHost; ///< Host whose server has the flow.
    std::uint64_t homeLife = 0;
    std::uint64_t acknowledged = 0; ///< Attempts up to this number need no retry.
    std::uint64_t attempts = 0;
};

/// A process's copy of the records.
struct LabView
{
    ClusterView view;
    RoutingBuilder builder;
    std::shared_ptr<const Routing> routing = std::make_shared<Routing>();
};

struct LabBalancer
{
    std::string name;
    LabView records;
    std::uint64_t life = 1;
    bool paused = false;
    std::vector<std::function<void()>> waiting;
    std::map<std::uint64_t, RouteDecision> table; ///< Baseline: by flow.
    std::map<std::string, TimePoint> refreshedAt; ///< By service.
    double controlBytes = 0;
};

/// One host: a backend server and the agent beside it.
struct LabHost
{
    std::string name;
    ServerId id;
    std::string zone;
    std::string service;
    Endpoint data;
    LabView records;
    Directory directory;
    std::map<std::uint64_t, LabPacket> held;
    std::uint64_t serverLife = 1;
    std::uint64_t agentLife = 1;
    std::uint64_t sequence = 0; ///< Of announcements.
    NodeState announced = NodeState::Ready;
    bool alive = true;
    bool paused = false;
    bool leaving = false; ///< Waits for its flows to end.
    std::string nextService; ///< Served after the next start.
    std::vector<std::function<void()>> waiting;
    std::map<std::uint64_t, bool> flows; ///< Open flows of the server.
    TimePoint coldAt; ///< When the server last turned cold; the epoch when it is warm.
    bool coldByStart = false;
    std::uint64_t sinceCold = 0; ///< Flows opened since.
    TimePoint diedAt;
    TimePoint foundDeadAt; ///< When it was announced as dead, rightly or not.
    double controlBytes = 0;
};

struct LabZone
{
    bool out = false;
    TimePoint changedAt;
    TimePoint lastOutAt;
};

/// An operators' order as a record.
struct LabOrder
{
    Record record;
    TimePoint at;
};

struct World
{
    struct Item
    {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> run;

        bool operator<(const Item &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    const Trace &trace;
    Baseline baseline = Baseline::None;
    std::mt19937_64 random;
    TimePoint now;
    std::priority_queue<Item> queue;
    std::uint64_t nextItem = 0;
    std::vector<LabBalancer> balancers;
    std::vector<LabHost> hosts;
    std::map<std::string, std::size_t> hostByName;
    std::map<std::string, std::size_t> balancerByName;
    std::map<Endpoint, std::size_t> hostByEndpoint;
    std::map<ServerId, std::size_t> hostById;
    std::map<std::string, LabZone> zones;
    std::map<std::uint64_t, LabOrder> orders; ///< By version in the trace.
    std::map<RecordKey, Record> records; ///< The newest of each, to bring new processes up to date.
    std::uint64_t nextVersion = 1;
    std::vector<LabFlow> flows; ///< By number in the trace.
    Effects effects;
    ReplayFigures figures;
    TimePoint zoneBusyUntil;

    void after(Duration wait, std::function<void()> run)
    {
        queue.push({now + wait, nextItem++, std::move(run)});
    }

    bool chance(double probability)
    {
        return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random) < probability;
    }

    Duration upTo(Duration limit)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, limit.count())(random));
    }

    Duration networkDelay()
    {
        return trace.delay + upTo(trace.jitter);
    }
};

constexpr Duration labTick = std::chrono::milliseconds(20);
constexpr Duration inForceLimit = std::chrono::seconds(3);

// Records and processes (lab/world-nodes.cc).
void buildWorld(World &world);
void reachNode(World &world, const std::string &node, const Record &record);
/// Announces a host's state; it reaches the nodes within the trace's spread.
void announce(World &world, LabHost &host, NodeState state);
void announceDown(World &world, LabHost &host);
void takeOrder(World &world, const Event &event);
void restartAgent(World &world, std::size_t host, bool serverToo);
/// Restarts the agent once its flows are copied, as a planned restart does.
void restartAgentGracefully(World &world, std::size_t host, int tries);
void restartBalancer(World &world, std::size_t balancer);
void crashHost(World &world, std::size_t host);
void pauseNode(World &world, const std::string &name);
void resumeNode(World &world, const std::string &name);
void leaveHost(World &world, std::size_t host);
/// Brings a balancer up to date on a service after it was told that it is stale.
void refreshBalancer(World &world, std::size_t balancer, std::size_t host);

// Packets (lab/world-packets.cc).
void sendFromBalancer(World &world, std::size_t balancer, LabPacket packet);
void applyEffects(World &world, std::size_t host, const LabPacket *packet);
void tickHost(World &world, std::size_t host);

// Callers and servers (lab/world-callers.cc).
void callerSends(World &world, std::uint64_t flow, std::size_t balancer, bool opens, bool closes);
void deliverToServer(World &world, std::size_t host, const LabPacket &packet);
/// A reset arrives at the caller; `opens` says that it answers the first packet of the flow.
void resetCaller(World &world, std::uint64_t flow, bool opens);
/// Share of its full load that the host's server bears.
double warmthOf(const World &world, const LabHost &host);
bool mayTakeFlows(const World &world, const LabHost &host);
void sampleImbalance(World &world);

} // namespace oriolelever::lab
