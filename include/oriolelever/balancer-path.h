/// Packet threads of a balancer. They send each packet from the fabric to the owner of the packet's bucket.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "oriolelever/path-counters.h"
#include "oriolelever/placement.h"
#include "oriolelever/sockets.h"

namespace oriolelever {

struct BalancerPathOptions
{
    Endpoint listen; ///< Local address of the data sockets; port 0 selects a free port.
    std::size_t threads = 1; ///< Number of packet threads; they share the port by SO_REUSEPORT.
    TagKeys keys; ///< Keys of the tags on packets to and from agents.
    std::uint16_t mtu = 1500; ///< MTU of the link to the agents, in bytes.
    Endpoint returnEndpoint; ///< Destination of ICMP errors for callers; with port 0 they are dropped.
    /// Called when an agent reports that a packet was routed by an old roster or reached the wrong service,
    /// with the agent's service and roster version. Called on a packet thread; may be empty.
    std::function<void(ServiceId, std::uint64_t)> onRosterNotice;
};

/// Relays packets by an immutable `Routing` and keeps no state of flows.
///
///     BalancerPath path({.listen = listen});
///     BOOST_LEAF_CHECK(path.start());
///     path.setRouting(updateRouting(builder, view, changed, now));
class BalancerPath
{
public:
    explicit BalancerPath(BalancerPathOptions options);
    ~BalancerPath();
    BalancerPath(const BalancerPath &) = delete;
    BalancerPath &operator=(const BalancerPath &) = delete;

    /// Opens the sockets and starts the threads. Fails with `Code::AddressInUse` or `Code::SocketFailed`.
    Result<void> start();
    /// Stops the threads. Packets that wait in the sockets are handled first, up to a limit per thread.
    void stop();

    /// Sets the routing that each thread uses from its next batch on. May be called from any thread.
    void setRouting(std::shared_ptr<const Routing> routing);

    /// The bound address once started, before that `BalancerPathOptions::listen`.
    Endpoint local() const;
    /// Time of the last received datagram, control messages included; the epoch before the first one.
    TimePoint lastReceiveTime() const;
    /// CPU time that the threads have used so far, in total.
    Duration processorTime() const;
    /// Calls `visit` with the counters of each thread.
    void forEachThreadCounters(const std::function<void(const PathCounters &)> &visit) const;
    /// The sum of one counter over all threads.
    std::uint64_t total(PathEvent event) const;

private:
    class Worker;

    BalancerPathOptions m_options;
    std::vector<std::unique_ptr<Worker>> m_workers;
};

} // namespace oriolelever
