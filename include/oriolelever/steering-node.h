/// The balancer of a platform whose backend servers judge their own flows: sockets and timers around
/// `steering.h`.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <asio/steady_timer.hpp>

#include "oriolelever/event-log.h"
#include "oriolelever/kernel.h"
#include "oriolelever/metrics.h"
#include "oriolelever/packet-port.h"
#include "oriolelever/steering.h"

namespace oriolelever {

struct SteeringNodeOptions
{
    Endpoint callers; ///< Where callers' packets arrive.
    Endpoint link; ///< Where agents send reports and returned packets.
    std::uint16_t agentPort = 0; ///< Where agents take relayed packets.
    std::uint16_t callerPort = 0; ///< Where callers take resets.
    std::uint64_t lifetime = 0;
    PacketFormat format;
    SteeringOptions steering;
    double coldFactor = 1; ///< Flows that a cold server may get, relative to its configured rate.
    double coldSlack = 0; ///< Flows a second that are added.
    std::chrono::milliseconds tick{250};
    std::chrono::milliseconds helloPeriod{1000}; ///< A tenth of the time for which agents report on.
    std::chrono::milliseconds farHelloPeriod{5000}; ///< To agents that have been silent for long.
    std::chrono::milliseconds longSilence{20'000};
    std::chrono::milliseconds turnAway{1500}; ///< Routers look every 500 ms and need two misses.
    std::chrono::milliseconds quiet{400}; ///< Without packets, when draining.
    std::chrono::milliseconds standstill{700}; ///< Without a turn of the event loop; as `silentAfter`.
};

/// Steers callers' packets. All calls on the control thread.
class SteeringNode : public Service
{
public:
    SteeringNode(asio::io_context &context, SteeringNodeOptions options, EventLog &log, Metrics &metrics);
    ~SteeringNode() override;

    Result<void> start(Kernel &kernel) override;
    void beginDrain() override;
    void drain(std::function<void()> done) override;
    void stop() override;

    /// Starts without a kernel.
    Result<void> open();

    /// Puts a configuration in force.
    void setTable(RoutingTable table);
    /// The zones whose servers get no new flows, in full.
    void setEvacuated(const std::set<std::string> &zones);
    /// Agents that have entries in the platform's store, in full.
    void setListed(const std::vector<IpAddress> &hosts);

    /// Whether callers' packets can be served.
    bool isReady() const;

    const SteeringState &state() const
    {
        return m_state;
    }

private:
    struct Counters;

    /// Reads the clock, and notices that the process stood still.
    void wake();
    void onCallerPacket(std::span<std::uint8_t> bytes);
    void onLinkMessage(std::span<std::uint8_t> bytes, const Endpoint &from);
    void onReport(std::span<std::uint8_t> bytes, const Endpoint &from);
    void onReturned(std::span<std::uint8_t> bytes, const PeerHeader &header, const Endpoint &from);
    void sendNotes(const FlowKey &flow, const IpAddress &holder);
    void carryOut(const SteeringDecision &decision, const Segment &segment, std::span<std::uint8_t> bytes);
    void logDecision(const SteeringDecision &decision, const Segment &segment);
    /// Resets flows that turned out to be held by nobody.
    void conclude(TimePoint now);
    void greet(BackendIndex index);
    void tick();
    void scheduleTick();

    SteeringNodeOptions m_options;
    SteeringState m_state;
    EventLog &m_log;
    PacketPort m_callers;
    PacketPort m_link;
    asio::steady_timer m_timer;
    asio::steady_timer m_drainTimer;
    std::unique_ptr<Counters> m_counters;
    std::vector<TimePoint> m_greeted; ///< Per backend.
    TimePoint m_now{}; ///< Read once per datagram batch.
    TimePoint m_lastTurn{}; ///< Of the event loop.
    TimePoint m_lastPacket{};
    std::uint64_t m_lostDatagrams = 0; ///< As logged.
    TimePoint m_lastExpiry{};
    TimePoint m_drainBegan{};
    bool m_evacuationsKnown = false;
    bool m_draining = false;
};

} // namespace oriolelever
