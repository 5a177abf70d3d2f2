/// The packet threads of a balancer: from the fabric to the agent that owns the packet's bucket.
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
    Endpoint listen; ///< Port 0 takes a free one.
    std::size_t threads = 1; ///< They share the port by SO_REUSEPORT.
    TagKeys keys;
    std::uint16_t mtu = 1500; ///< Of the link to the agents, bytes.
    Endpoint returnTo; ///< Where ICMP errors to callers go; port 0 drops them.
    /// An agent says that it has a later roster of the service. Called on a traffic thread.
    std::function<void(ServiceId, std::uint64_t)> onStale;
};

/// Relays packets by an immutable snapshot. It keeps nothing for a flow.
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
    /// Ends the threads after the packets that are already there.
    void stop();

    /// Puts a snapshot in force from the next batch on; any thread may call it.
    void setRouting(std::shared_ptr<const Routing> routing);

    /// Where it listens, once started.
    Endpoint local() const;
    /// When the last packet came in; the epoch before the first.
    TimePoint lastInput() const;
    /// Processor time of the threads.
    Duration processorTime() const;
    /// Calls `visit` for the counters of each thread.
    void forEachCounters(const std::function<void(const PathCounters &)> &visit) const;
    std::uint64_t total(PathEvent event) const;

private:
    class Worker;

    BalancerPathOptions m_options;
    std::vector<std::unique_ptr<Worker>> m_workers;
};

} // namespace oriolelever
