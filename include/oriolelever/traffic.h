/// The kernel services named "traffic": they run the packet threads and update their routes from records.
#pragma once

#include <map>
#include <memory>
#include <string>

#include <asio/steady_timer.hpp>
#include <prometheus/counter.h>

#include "oriolelever/agent-path.h"
#include "oriolelever/balancer-path.h"
#include "oriolelever/kernel.h"
#include "oriolelever/settings.h"

namespace oriolelever {

class Metrics;
class Node;
class Records;

/// Exports the counters of packet threads as the metric `oriolelever_packets_total{kind, name}`.
class PathMetrics
{
public:
    explicit PathMetrics(Metrics &metrics);

    /// Adds to the metric what the counters have grown by since the last call, summed over all threads.
    /// `forEach` calls its argument with the counters of each thread. Control thread only.
    void update(const std::function<void(const std::function<void(const PathCounters &)> &)> &forEach);

private:
    struct Entry
    {
        prometheus::Counter *counter = nullptr;
        std::uint64_t reportedValue = 0; ///< Sum that was last added to `counter`.
    };

    prometheus::Family<prometheus::Counter> &m_family;
    std::map<std::pair<std::string, std::string>, Entry> m_entries; ///< By kind and name.
};

/// Packet path of a balancer. Requires the service "records"; uses "metrics" and "admin" if they exist.
class BalancerTraffic : public Service
{
public:
    explicit BalancerTraffic(const Settings &settings);
    ~BalancerTraffic() override;

    Result<void> start(Kernel &kernel) override;
    /// Relays until no packet has arrived for `detail::drainQuietTime`, then calls `done`. The fabric stops
    /// sending once /health reports that the process drains.
    void drain(std::function<void()> done) override;
    void stop() override;

    const BalancerPath &path() const
    {
        return *m_path;
    }

private:
    void handleRecords(const std::vector<Record> &changed);
    void handleTimer();
    void checkDrained();

    BalancerPathOptions m_options;
    std::string m_key;
    std::string m_previousKey;
    std::unique_ptr<BalancerPath> m_path;
    RoutingBuilder m_builder;
    Records *m_records = nullptr;
    std::unique_ptr<PathMetrics> m_metrics; ///< Null without the service "metrics".
    std::unique_ptr<asio::steady_timer> m_timer; ///< Runs `handleTimer`.
    std::unique_ptr<asio::steady_timer> m_drainTimer; ///< Runs `checkDrained`.
    std::function<void()> m_onDrained;
    TimePoint m_drainStart;
};

/// Packet path of an agent. Requires the service "records"; uses "metrics", "admin" and "node" if they exist.
/// Through "node" it announces whether the backend server is ready or cold.
class AgentTraffic : public Service
{
public:
    AgentTraffic(const Settings &settings, Incarnation incarnation);
    ~AgentTraffic() override;

    Result<void> start(Kernel &kernel) override;
    /// Serves until the flows of the backend server have ended and no packet arrives any more, then calls
    /// `done`. Once the service's drain time has passed, it serves only until the open flows are replicated.
    void drain(std::function<void()> done) override;
    void stop() override;

    /// The state to announce for a backend server with this warmth, 0 to 1, that is announced as `current`:
    /// `Ready` at full warmth, `Cold` below half of it, and `current` in between, so that small changes of
    /// warmth do not change the state.
    static NodeState stateFor(double warmth, NodeState current);

    /// Reports an answer time of the backend server that was measured outside of the packet path. May be
    /// called from any thread.
    void addSample(const AnswerSample &sample);

    const AgentPath &path() const
    {
        return *m_path;
    }

private:
    Result<std::unique_ptr<Delivery>> makeDelivery() const;
    void handleRecords(const std::vector<Record> &changed);
    void handleTimer();
    void checkDrained();
    bool hasDrained() const;

    std::string m_serviceName;
    std::string m_zoneName;
    std::string m_tunDevice; ///< If empty, packets go to `m_serverEndpoint` instead.
    Endpoint m_serverEndpoint; ///< Where the backend server receives packets as UDP payload.
    AgentPathOptions m_options;
    std::string m_key;
    std::string m_previousKey;
    std::unique_ptr<AgentPath> m_path;
    std::shared_ptr<const ServiceRoute> m_route; ///< The roster last given to `m_path`.
    RoutingBuilder m_builder;
    Records *m_records = nullptr;
    Node *m_node = nullptr;
    std::unique_ptr<PathMetrics> m_metrics;
    std::unique_ptr<asio::steady_timer> m_timer;
    std::unique_ptr<asio::steady_timer> m_drainTimer;
    std::function<void()> m_onDrained;
    TimePoint m_drainStart;
};

} // namespace oriolelever
