/// The packet thread of an agent: runs the directory and the last step to the backend server.
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
    Endpoint listen; ///< Port 0 takes a free one.
    Endpoint returnTo; ///< Where answers and resets for callers go.
    TagKeys keys;
    std::uint16_t mtu = 1500; ///< Of the links to callers' side and other processes, bytes.
    DirectoryOptions directory;
};

/// What other threads may know of an agent's packet thread.
struct AgentPathFigures
{
    std::uint32_t localFlows = 0;
    std::uint32_t flowLimit = 0; ///< Flows that the backend server bears now.
    std::size_t knownFlows = 0; ///< Flows in the directory.
    std::size_t heldPackets = 0;
    std::size_t ownedBuckets = 0;
    std::size_t grantedBuckets = 0; ///< Owned buckets that it may place flows of.
    std::size_t directoryBytes = 0;
    double warmth = 0;
    bool copied = false; ///< Another agent has a copy of every local flow.
    TimePoint takenAt;
};

/// Owns the directory; other threads reach it only through a mailbox.
class AgentPath
{
public:
    AgentPath(const AgentPathOptions &options, std::unique_ptr<Delivery> delivery);
    ~AgentPath();
    AgentPath(const AgentPath &) = delete;
    AgentPath &operator=(const AgentPath &) = delete;

    /// Opens the socket and starts the thread. Fails with `Code::AddressInUse` or `Code::SocketFailed`.
    Result<void> start();
    /// Ends the thread; flows of the backend server stay as they are.
    void stop();

    /// Posts a roster to the packet thread.
    void setRoute(std::shared_ptr<const ServiceRoute> route);
    /// Posts an answer time that another part has measured.
    void addSample(const AnswerSample &sample);

    Endpoint local() const;
    TimePoint lastInput() const;
    AgentPathFigures figures() const;
    const PathCounters &counters() const;

private:
    class Worker;

    AgentPathOptions m_options;
    std::unique_ptr<Delivery> m_delivery;
    std::unique_ptr<Worker> m_worker;
};

} // namespace oriolelever
