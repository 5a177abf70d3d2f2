/// Agent of a platform whose backend servers decide themselves which flows they hold: sockets and timers
/// around `server-gate.h`.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "oriolelever/event-log.h"
#include "oriolelever/kernel.h"
#include "oriolelever/metrics.h"
#include "oriolelever/packet-port.h"
#include "oriolelever/server-gate.h"

namespace oriolelever {

struct GateNodeOptions
{
    Endpoint relay; ///< Receives packets and messages of balancers.
    Endpoint outbound; ///< Receives the packets of the backend server.
    Endpoint server; ///< Receives the packets for the backend server.
    std::uint16_t balancerPort = 0; ///< On which balancers receive reports and returned packets.
    std::uint16_t callerPort = 0; ///< On which callers receive packets.
    std::uint64_t lifetime = 0; ///< Differs for each start of the agent.
    PacketFormat format;
    GateOptions gate;
    std::chrono::milliseconds tickPeriod{100}; ///< Of the check for timeouts and due reports.
    std::chrono::milliseconds reportPeriod{200}; ///< To a balancer whose Hello has not come yet.
    std::chrono::milliseconds flowListPeriod{
        1000}; ///< Between two lists of the server's flows; twice that if they take several messages.
    /// Without a Hello, after which a balancer does not get the lists: three periods of Hellos in a zone.
    std::chrono::milliseconds receiverTimeout{3000};
    std::chrono::milliseconds balancerTimeout{
        10'000}; ///< Without a Hello, after which reports to a balancer end.
    std::chrono::milliseconds probeTimeout{250}; ///< Of the connection that probes a suspect server.
    std::chrono::milliseconds probeInterval{1000}; ///< Least time between two probes.
};

/// Relays packets between balancers, the backend server and callers. All calls on the control thread.
class GateNode : public Service
{
public:
    GateNode(asio::io_context &context, GateNodeOptions options, EventLog &log, Metrics &metrics);
    ~GateNode() override;

    Result<void> start(Kernel &kernel) override;
    void beginDrain() override;
    void stop() override;

    /// Opens the sockets and starts the timer; for use without a kernel.
    Result<void> open();

    /// Applies a heartbeat of the backend server and reports a change to all balancers.
    HeartbeatOutcome handleHeartbeat(const ServerHeartbeat &heartbeat);
    /// Records a heartbeat that cannot be read; `text` says why.
    void recordUnreadableHeartbeat(const std::string &text);
    /// Handles the deregistration of a server; returns false if another server is present.
    bool handleDeparture(const std::string &id);
    /// Adds balancers that may not know this agent, and sends reports to all.
    void addBalancers(const std::vector<IpAddress> &balancers);

    /// The agent's own calls have shown a new era of the platform's store: reports tell balancers of it.
    void recordStoreEra(std::uint64_t era);

    /// Called when a balancer states that the agent's entry in the platform's store is missing.
    std::function<void()> entryMissing;

    const GateState &state() const
    {
        return m_state;
    }

private:
    struct Counters;
    class Probe;

    void handleBalancerDatagram(std::span<std::uint8_t> bytes, const Endpoint &from);
    /// Reports to all balancers at once if these are later revisions than known.
    void learnDocuments(const DocumentRevisions &documents);
    void handleHello(std::span<std::uint8_t> bytes, const Endpoint &from);
    /// Puts the limits in force that balancers have stated.
    void updateLimits(TimePoint now);
    void handleServerPacket(std::span<std::uint8_t> bytes);
    void handleNote(std::span<std::uint8_t> bytes);
    /// Answers a search with the holder of the flow, if this agent knows it.
    void handleFind(std::span<std::uint8_t> packet, const Segment &segment, const IpAddress &balancer);
    /// Returns a packet to a balancer, through the port that received it: `bytes` lie in the batch of that
    /// port, behind space for the header. `number` is the number of the header.
    void returnPacket(PacketPort &port, std::span<std::uint8_t> bytes, const IpAddress &balancer,
                      ReturnReason reason, std::uint32_t number = 0);
    /// Marks a packet with the balancer that gets it if the server rejects it, and counts it as delivered.
    /// The caller sends it.
    void prepareDelivery(std::span<std::uint8_t> packet, const Segment &segment, const IpAddress &balancer);
    /// Adds an opening packet to the schedule, or returns it if it cannot be served in time.
    void queueOpening(std::span<std::uint8_t> packet, const Segment &segment, const PeerHeader &header,
                      const IpAddress &balancer);
    /// Adds a packet of an open flow to the schedule. Without space, the whole request is delivered.
    void holdRequest(std::span<std::uint8_t> packet, const Segment &segment, const IpAddress &balancer);
    /// Delivers waiting work while the server is not busy, and returns opening packets that cannot be served
    /// in time.
    void serveQueue(TimePoint now);
    /// Delivers the packets of a held request in order. `cause` is logged.
    void releaseRequest(WaitingWork &request, std::string_view cause, TimePoint now);
    /// Drops the held request of a flow that has ended.
    void dropRequestOf(const FlowKey &flow, std::string_view cause);
    void recordDroppedRequests(std::span<const WaitingWork> requests, std::string_view cause, TimePoint now);
    void refuseOpening(OpeningRefusal &refusal, TimePoint now);
    void returnOpening(WaitingWork &opening, ReturnReason reason, TimePoint now);
    /// Sends resets to the callers of all flows, as their server has ended. `cause` is logged.
    void resetAllFlows(std::string_view cause);
    /// Returns the current report.
    Report currentReport(TimePoint now, bool withFlows, bool withCapacity);
    /// Sends the current report to all known balancers.
    void sendReports();
    /// Sends the current report to the balancers whose period has passed.
    void sendDueReports(TimePoint now);
    /// Sends the list of the server's flows to the balancer that keeps the zone's flows: the one with the
    /// lowest address, of the own zone if there is one.
    void sendFlowList(TimePoint now);
    /// Logs a change of the learned capacity, and sets its metrics.
    void announceCapacity(TimePoint now);
    /// Reports at once if the server has begun or ceased to fail.
    void reportFailing(TimePoint now);
    void tick();
    void scheduleTick();
    /// Opens a connection to the server, unless a probe is running or was started within `probeInterval`.
    void startProbe(TimePoint now);
    void handleProbeResult(const asio::error_code &error);

    struct Balancer
    {
        std::uint64_t lifetime = 0; ///< Of its last Hello; 0 before the first.
        TimePoint lastHelloAt{}; ///< When its last Hello arrived, or when it was added.
        TimePoint lastReportAt{}; ///< When a report was sent to it last.
        std::chrono::milliseconds reportPeriod{0}; ///< As its last Hello stated.
        ZoneId zone; ///< As its last Hello stated; unset before the first.
        bool acceptsCapacity = false; ///< As its last Hello stated.
        std::optional<FlowLimits> limits; ///< As the last Hello that had any stated.
    };

    asio::io_context &m_context;
    GateNodeOptions m_options;
    GateState m_state;
    EventLog &m_log;
    PacketPort m_relay;
    PacketPort m_outbound;
    asio::steady_timer m_timer;
    std::unique_ptr<Counters> m_counters;
    std::unique_ptr<Probe> m_probe;
    std::unordered_map<IpAddress, Balancer, AddressHash> m_balancers;
    TimePoint m_now{}; ///< Time of the current datagram batch; unset between batches.
    TimePoint m_lastFlowList{};
    std::size_t m_flowListParts = 0; ///< Messages of the last list.
    bool m_wasFailing = false; ///< As the last reports to all balancers stated.
    bool m_wasUnreliable = false; ///< As reported last.
    TimePoint m_lastProbe{};
    TimePoint m_lastRefusalCheck{}; ///< Of all waiting opening packets.
    std::uint64_t m_loggedLostDatagrams = 0; ///< Lost datagrams that the log has stated.
    TimePoint m_lastExpiry{};
};

} // namespace oriolelever
