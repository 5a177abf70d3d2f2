/// The services called "traffic": packet threads under the kernel, fed by records.
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

/// Copies the counters of packet threads into the registry, as `oriolelever_packets_total{kind, name}`.
class PathMetrics
{
public:
    explicit PathMetrics(Metrics &metrics);

    /// Takes the sum over all threads; control thread only.
    void update(const std::function<void(const std::function<void(const PathCounters &)> &)> &forEach);

private:
    struct Entry
    {
        prometheus::Counter *counter = nullptr;
        std::uint64_t reported = 0;
    };

    prometheus::Family<prometheus::Counter> &m_family;
    std::map<std::pair<std::string, std::string>, Entry> m_entries;
};

/// Packet path of a balancer. Needs "records"; uses "metrics" and "admin" if they are there.
class BalancerTraffic : public Service
{
public:
    explicit BalancerTraffic(const Settings &settings);
    ~BalancerTraffic() override;

    Result<void> start(Kernel &kernel) override;
    /// Relays until no packet has come for a while; the fabric stops sending when /health says so.
    void drain(std::function<void()> done) override;
    void stop() override;

    const BalancerPath &path() const
    {
        return *m_path;
    }

private:
    void onRecords(const std::vector<Record> &changed);
    void onTimer();
    void checkDrained();

    BalancerPathOptions m_options;
    std::string m_key;
    std::string m_previousKey;
    std::unique_ptr<BalancerPath> m_path;
    RoutingBuilder m_builder;
    Records *m_records = nullptr;
    std::unique_ptr<PathMetrics> m_metrics;
    std::unique_ptr<asio::steady_timer> m_timer;
    std::unique_ptr<asio::steady_timer> m_drainTimer;
    std::function<void()> m_drained;
    TimePoint m_drainStart;
};

/// Packet path of an agent. Needs "records"; uses "metrics", "admin" and "node" if they are there. Announces
/// by the node when the backend server has become warm, or cold again.
class AgentTraffic : public Service
{
public:
    AgentTraffic(const Settings &settings, Incarnation incarnation);
    ~AgentTraffic() override;

    Result<void> start(Kernel &kernel) override;
    /// Serves until the flows of the backend server have ended, or the service's drain time has passed.
    void drain(std::function<void()> done) override;
    void stop() override;

    /// State to announce for a backend server of this warmth, 0 to 1, now announced as `current`. It is ready
    /// once it is fully warm, and cold again when it has lost half of it.
    static NodeState stateFor(double warmth, NodeState current);

    /// An answer of the backend server that another part has measured; any thread may call it.
    void addSample(const AnswerSample &sample);

    const AgentPath &path() const
    {
        return *m_path;
    }

private:
    Result<std::unique_ptr<Delivery>> openDelivery() const;
    void onRecords(const std::vector<Record> &changed);
    void onTimer();
    void checkDrained();
    bool hasDrained() const;

    std::string m_service;
    std::string m_zone;
    std::string m_tun;
    Endpoint m_server;
    AgentPathOptions m_options;
    std::string m_key;
    std::string m_previousKey;
    std::unique_ptr<AgentPath> m_path;
    std::shared_ptr<const ServiceRoute> m_route;
    RoutingBuilder m_builder;
    Records *m_records = nullptr;
    Node *m_node = nullptr;
    std::unique_ptr<PathMetrics> m_metrics;
    std::unique_ptr<asio::steady_timer> m_timer;
    std::unique_ptr<asio::steady_timer> m_drainTimer;
    std::function<void()> m_drained;
    TimePoint m_drainStart;
};

} // namespace oriolelever
