/// Failure detection of many nodes in virtual time, over the functions of `monitor.h`.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "oriolelever/monitor.h"

namespace oriolelever::lab {

struct FleetOptions
{
    std::size_t balancers = 60;
    std::size_t agents = 0;
    std::size_t zones = 13;
    double loss = 0; ///< Fraction of the datagrams.
    std::chrono::microseconds delay{1000}; ///< One way.
    std::uint32_t seed = 1;
    MonitorOptions monitor;
};

struct FleetTotals
{
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0; ///< With IP and UDP headers.
    std::uint64_t removals = 0;
    std::uint64_t falseRemovals = 0; ///< Of nodes that were up, not paused and not cut off.
    Duration longestDetection{0};
    std::uint64_t busiest = 0; ///< Bytes sent and received by one node.
};

/// Events are ordered by time, then by their number; the same seed gives the same run.
class Fleet
{
public:
    explicit Fleet(const FleetOptions &options);

    void runFor(Duration time);
    void kill(std::size_t node);
    void pause(std::size_t node, Duration time);
    /// Drops everything between `node` and the others, in one or both directions.
    void cut(std::size_t node, bool incoming, bool outgoing);
    void reconnect(std::size_t node);

    bool isLive(std::size_t node) const
    {
        return m_nodes[node].live;
    }

    const FleetTotals &totals();

private:
    enum class Kind { Ping, Ack, Probe, Report };

    struct Datagram
    {
        Kind kind = Kind::Ping;
        std::size_t from = 0;
        std::size_t to = 0;
        std::size_t subject = 0;
        std::size_t asker = 0; ///< Of a ping on behalf of another node.
        bool reached = false;
        bool forOther = false;
    };

    struct Node
    {
        Target target;
        std::string zone;
        bool agent = false;
        bool up = true;
        bool live = true; ///< Not removed, in the view that all share.
        bool cutIn = false;
        bool cutOut = false;
        TimePoint pausedUntil{};
        TimePoint failedAt{};
        Monitor monitor;
        std::minstd_rand random;
        std::uint64_t bytes = 0;
    };

    struct Event
    {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> run;

        bool operator>(const Event &other) const
        {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    void after(Duration time, std::function<void()> run);
    void send(const Datagram &datagram);
    void take(const Datagram &datagram);
    void tickNode(std::size_t node);
    void refresh(std::size_t node);
    std::vector<Target> helpersOf(std::size_t node);
    std::size_t indexOf(const std::string &name) const;
    bool isHealthy(const Node &node) const;

    FleetOptions m_options;
    TimePoint m_now{};
    std::uint64_t m_nextEvent = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<Node> m_nodes;
    std::vector<Member> m_members; ///< Live balancers, as all see them.
    std::vector<std::vector<std::size_t>> m_agentsOf; ///< Agents attached to each balancer.
    std::minstd_rand m_random;
    FleetTotals m_totals;
    std::uint64_t m_view = 1; ///< Changes with the live nodes.
    std::vector<std::uint64_t> m_seenView;
};

} // namespace oriolelever::lab
