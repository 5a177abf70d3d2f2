/// The balancer of a platform whose backend servers decide themselves which packets belong to their flows:
/// the sockets, timers, logs and metrics around the decisions of `steering.h`.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <asio/steady_timer.hpp>

#include "oriolelever/deferred-openings.h"
#include "oriolelever/event-log.h"
#include "oriolelever/flow-registry.h"
#include "oriolelever/kernel.h"
#include "oriolelever/metrics.h"
#include "oriolelever/packet-port.h"
#include "oriolelever/steering.h"

namespace oriolelever {

/// Addresses and periods of a balancer.
struct SteeringNodeOptions
{
    Endpoint callerEndpoint; ///< Where callers' packets arrive.
    Endpoint agentEndpoint; ///< Where agents' reports and returned packets arrive.
    std::uint16_t agentPort = 0; ///< Port of all agents, for relayed packets, hellos and notes.
    std::uint16_t callerPort = 0; ///< Port of all callers' hosts, for resets.
    std::uint64_t lifetime = 0; ///< Identifies this start of the balancer; differs for each start.
    PacketFormat format;
    SteeringOptions steering;
    DeferOptions defer;
    double coldFactor = 1; ///< Limit of new flows for a cold server, relative to its configured rate.
    double coldSlack = 0; ///< Flows per second that are added to that limit.
    std::chrono::milliseconds tickPeriod{250}; ///< Also between hellos to an unreachable agent.
    /// Between hellos to a reachable agent: a tenth of the time for which it reports after one.
    std::chrono::milliseconds helloPeriod{1000};
    /// The same for an agent that reports rarely.
    std::chrono::milliseconds remoteHelloPeriod{4000};
    /// Between two requests for the flows that an agent holds, while flows are searched.
    std::chrono::milliseconds flowRequestPeriod{150};
    /// The same for an agent whose last answer did not name them.
    std::chrono::milliseconds unansweredFlowRequestPeriod{1000};
    /// Between two checks whether reports have decided searches.
    std::chrono::milliseconds searchCheckPeriod{20};
    /// Between hellos to an agent without a report for `staleAgentTimeout`.
    std::chrono::milliseconds staleAgentHelloPeriod{5000};
    std::chrono::milliseconds staleAgentTimeout{20'000};
    /// Least duration of a drain: routers probe every 500 ms and need two failures.
    std::chrono::milliseconds routerDetectionTime{1500};
    /// A drain ends after this time without packets from callers.
    std::chrono::milliseconds drainIdleTime{400};
    /// The process has stalled if the event loop has not run for this long: agents with the usual report
    /// period are unreachable by then.
    std::chrono::milliseconds stallThreshold{700};
};

/// Receives callers' packets and forwards them to agents. All calls on the control thread.
class SteeringNode : public Service
{
public:
    SteeringNode(asio::io_context &context, SteeringNodeOptions options, EventLog &log, Metrics &metrics);
    ~SteeringNode() override;

    Result<void> start(Kernel &kernel) override;
    void beginDrain() override;
    void drain(std::function<void()> done) override;
    void stop() override;

    /// Opens the sockets and starts the timer; `start` without a kernel.
    Result<void> open();

    /// Applies a configuration of the store, see `applyTable`.
    void setTable(RoutingTable table);
    /// Sets the zones whose servers get no new flows, as the store orders as of `position`; replaces the
    /// previous ones, see `applyEvacuations`.
    void setEvacuatedZones(const std::set<std::string> &zones, const StorePosition &position);
    /// Tells a few agents of the own zone at once what `documents` returns; the others learn it with their
    /// next hellos.
    void announceDocuments();
    /// Sets the hosts of all agents that have an entry in the platform's store; replaces the previous ones.
    void setListedAgents(const std::vector<IpAddress> &hosts);

    /// Adds the flows of a snapshot for servers that no agent has listed flows for, and resets the callers of
    /// those whose server has restarted since.
    void restoreFlows(const std::string &snapshot);
    /// Returns a snapshot of the flows that agents have listed, if they have changed since the last call.
    std::optional<std::string> changedSnapshot();
    /// Makes the next `changedSnapshot` return one in any case: the store may have lost the last one.
    void renewSnapshot();

    /// Returns the revisions of the operators' documents that are in force, for the agents. Unset means
    /// unknown.
    std::function<DocumentRevisions()> documents;
    /// Called with each report of an agent.
    std::function<void(const Report &report)> reported;

    /// Whether the balancer can serve callers' packets and is not draining.
    bool isReady() const;

    const SteeringState &state() const
    {
        return m_state;
    }

    /// Number of opening packets that wait until a server for them is known.
    std::size_t deferredOpenings() const
    {
        return m_deferred.openings.size();
    }

private:
    struct Counters;

    /// Sets `m_now`, and handles a stall of the process since the last call.
    void updateClock();
    void handleCallerPacket(std::span<std::uint8_t> bytes);
    void handleAgentMessage(std::span<std::uint8_t> bytes, const Endpoint &from);
    void handleReport(std::span<std::uint8_t> bytes, const Endpoint &from);
    void handleReturnedPacket(std::span<std::uint8_t> bytes, const PeerHeader &header, const Endpoint &from);
    void handleFlowList(std::span<std::uint8_t> bytes, const Endpoint &from);
    /// Resets the callers of flows on `host` that belong to an earlier start of its server.
    void resetEndedFlows(const IpAddress &host, std::uint64_t bornAt, TimePoint now);
    void sendNotes(const FlowKey &flow, const IpAddress &holder);
    /// Sends, resets or drops the packet; `bytes` has `peerHeaderSize` free bytes before it. `deferredFor` is
    /// how long an opening packet has waited here.
    void applyDecision(const SteeringDecision &decision, const Segment &segment,
                       std::span<std::uint8_t> bytes, Duration deferredFor = {});
    void logDecision(const SteeringDecision &decision, const Segment &segment);
    /// Keeps an opening packet that cannot be placed yet; returns false if it is to be dropped.
    bool deferOpening(const SteeringDecision &decision, const Segment &segment,
                      std::span<const std::uint8_t> bytes);
    /// Places the opening packets that were kept, as far as servers for them are known by now.
    void placeDeferredOpenings();
    /// Resets unresolved flows that no server holds.
    void resetUnheldFlows(TimePoint now);
    /// Asks agents for the flows that they hold, and resets the callers of flows that nobody holds.
    void resolveUnknownFlows(TimePoint now);
    void sendHello(BackendIndex index);
    /// Counts a new flow by service and zone of its server, if the zones' room has decided about it.
    void countZoneFlow(const SteeringDecision &decision);
    /// Updates the zones' room, and logs and publishes what has changed.
    void updateZones(TimePoint now);
    void logShareChange(ServiceId service, const ShareChange &change, TimePoint now);
    void tick();
    void scheduleTick();

    SteeringNodeOptions m_options;
    SteeringState m_state;
    EventLog &m_log;
    PacketPort m_callerSocket;
    PacketPort m_agentSocket;
    asio::steady_timer m_timer;
    asio::steady_timer m_drainTimer;
    std::unique_ptr<Counters> m_counters;
    TimePoint m_searchesCheckedAt{}; ///< When `resolveUnknownFlows` last looked at the searches.
    TimePoint m_now{}; ///< Read once per datagram batch; zero between batches.
    TimePoint m_lastIterationAt{}; ///< When `updateClock` was last called.
    TimePoint m_lastPacketAt{}; ///< When the last packet of a caller came.
    std::uint64_t m_loggedLostDatagrams = 0; ///< Lost datagrams that were logged already.
    TimePoint m_lastExpiryAt{}; ///< When idle flows were last expired.
    TimePoint m_drainStartedAt{};
    DeferredOpenings m_deferred;
    FlowRegistry m_registry; ///< Flows that agents have listed, or a snapshot.
    bool m_hasRegistryChanged = false; ///< Agents have listed other flows since the last snapshot.
    bool m_isDraining = false;
    bool m_isIsolated = false; ///< Logged last.
};

} // namespace oriolelever
