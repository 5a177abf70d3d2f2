/// The packet thread of an agent: it runs the directory and exchanges packets with the backend server.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

#include "oriolelever/delivery.h"
#include "oriolelever/directory.h"
#include "oriolelever/path-counters.h"

namespace oriolelever {

struct AgentPathOptions
{
    Endpoint listen; ///< Local address of the data socket; port 0 selects a free port.
    Endpoint returnEndpoint; ///< Destination of answers and resets for callers.
    TagKeys keys; ///< Keys of the tags on packets from balancers and to and from other agents.
    std::uint16_t mtu = 1500; ///< MTU of the links to balancers, to agents and to `returnEndpoint`, in bytes.
    DirectoryOptions directory;
};

/// State of an agent's packet thread for other threads. The packet thread updates it every 100 ms.
struct AgentPathStatus
{
    std::uint32_t localFlows = 0; ///< Flows of the backend server.
    std::uint32_t flowLimit = 0; ///< Flows that the backend server can take now; 0 without a roster.
    std::size_t knownFlows = 0; ///< Flows in the directory, those at other servers included.
    std::size_t heldPackets = 0; ///< Packets that wait for the directory's decision.
    std::size_t ownedBuckets = 0;
    std::size_t grantedBuckets = 0; ///< Owned buckets in which the agent may place new flows.
    std::size_t directoryBytes = 0; ///< Not set; always 0.
    double warmth = 0; ///< Progress of the backend server's slow start, 0 to 1.
    bool localFlowsReplicated = false; ///< Another agent has a replica of every local flow.
    TimePoint updatedAt; ///< The epoch before the first update.
};

/// Runs the directory on a thread of its own. Rosters and answer times from other threads are queued for that
/// thread. All functions but `start` and `stop` may be called from any thread once `start` has succeeded.
class AgentPath
{
public:
    AgentPath(const AgentPathOptions &options, std::unique_ptr<Delivery> delivery);
    ~AgentPath();
    AgentPath(const AgentPath &) = delete;
    AgentPath &operator=(const AgentPath &) = delete;

    /// Opens the socket and starts the thread. Fails with `Code::AddressInUse` or `Code::SocketFailed`.
    Result<void> start();
    /// Stops the thread. The backend server's flows stay open.
    void stop();

    /// Queues a roster for the packet thread; it replaces one that is still queued.
    void setRoute(std::shared_ptr<const ServiceRoute> route);
    /// Queues an answer time that was measured outside of the packet path.
    void addSample(const AnswerSample &sample);

    /// The bound address once started, before that `AgentPathOptions::listen`.
    Endpoint local() const;
    /// Time of the last packet of a caller from a balancer or another agent; the epoch before the first one.
    TimePoint lastReceiveTime() const;
    AgentPathStatus status() const;
    const PathCounters &counters() const;

private:
    class Worker;

    AgentPathOptions m_options;
    std::unique_ptr<Delivery> m_delivery;
    std::unique_ptr<Worker> m_worker;
};

} // namespace oriolelever
