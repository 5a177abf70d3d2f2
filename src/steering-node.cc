#include "oriolelever/steering-node.h"

#include <algorithm>
#include <map>
#include <utility>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include "oriolelever/clock.h"
#include "oriolelever/process-metrics.h"
#include "peer-log.h"

namespace oriolelever {

namespace {

// So many forgotten agents, and the lists that named them, have taken a megabyte.
constexpr std::size_t releasedAgents = 1000;
constexpr std::chrono::seconds expiryPeriod{5}; // Between two removals of idle flows.
// Agents that are told of a change at once. Each reports it to all balancers, so that one is enough unless
// its messages are lost.
constexpr std::size_t announcedAgentCount = 3;

// Services and zones are known by the hashes of their names.
template<typename Tag>
std::string idText(Id<Tag> id)
{
    return fmt::format("{:016x}", id.value);
}

// Metrics of a service in a zone.
struct ZoneMetrics
{
    prometheus::Counter *flows = nullptr;
    prometheus::Gauge *share = nullptr;
    prometheus::Gauge *room = nullptr;
};

} // namespace

struct SteeringNode::Counters
{
    explicit Counters(prometheus::Registry &registry)
        : packetFamily(prometheus::BuildCounter()
                           .Name("oriolelever_steered_packets_total")
                           .Help("Callers' packets by decision")
                           .Register(registry))
        , malformedDatagrams(prometheus::BuildCounter()
                                 .Name("oriolelever_malformed_datagrams_total")
                                 .Help("Datagrams that could not be read")
                                 .Register(registry)
                                 .Add({}))
        , deferred(prometheus::BuildCounter()
                       .Name("oriolelever_deferred_openings_total")
                       .Help("Opening packets that waited until a server was known")
                       .Register(registry)
                       .Add({}))
        , flows(prometheus::BuildGauge()
                    .Name("oriolelever_cached_flows")
                    .Help("Flows in the cache")
                    .Register(registry)
                    .Add({}))
        , version(prometheus::BuildGauge()
                      .Name("oriolelever_configuration_version")
                      .Help("Version in force")
                      .Register(registry)
                      .Add({}))
        , reachableAgents(prometheus::BuildGauge()
                              .Name("oriolelever_agents_heard")
                              .Help("Agents that reported lately")
                              .Register(registry)
                              .Add({}))
        , excludedAgents(
              prometheus::BuildGauge()
                  .Name("oriolelever_agents_excluded")
                  .Help("Listed hosts that are not kept, as too many listed agents have never reported")
                  .Register(registry)
                  .Add({}))
        , forgottenAgents(prometheus::BuildCounter()
                              .Name("oriolelever_agents_forgotten_total")
                              .Help("Agents that had neither an entry nor a report any more")
                              .Register(registry)
                              .Add({}))
        , refusedReports(prometheus::BuildCounter()
                             .Name("oriolelever_refused_reports_total")
                             .Help("Reports of further agents than a balancer can keep")
                             .Register(registry)
                             .Add({}))
        , zoneFlowFamily(prometheus::BuildCounter()
                             .Name("oriolelever_zone_flows_total")
                             .Help("New flows by service, zone of the balancer and zone of the server")
                             .Register(registry))
        , zoneShareFamily(prometheus::BuildGauge()
                              .Name("oriolelever_zone_share")
                              .Help("Share of new flows that goes to the zone")
                              .Register(registry))
        , zoneRoomFamily(prometheus::BuildGauge()
                             .Name("oriolelever_zone_room_slots")
                             .Help("Free slots of the service's servers in the zone")
                             .Register(registry))
    {
        for (std::size_t i = 0; i < steeringCauseCount; ++i) {
            packetsByCause[i]
                = &packetFamily.Add({{"cause", std::string(toString(static_cast<SteeringCause>(i)))}});
        }
    }

    // Kept by service and zone: a look-up in a family compares labels as text.
    ZoneMetrics &zoneMetrics(ServiceId service, ZoneId from, ZoneId to)
    {
        auto &metrics = byZone[{service, to}];
        if (metrics.flows == nullptr) {
            const std::map<std::string, std::string> labels{
                {"service", idText(service)}, {"from", idText(from)}, {"to", idText(to)}};
            metrics = {.flows = &zoneFlowFamily.Add(labels),
                       .share = &zoneShareFamily.Add(labels),
                       .room = &zoneRoomFamily.Add(labels)};
        }
        return metrics;
    }

    prometheus::Family<prometheus::Counter> &packetFamily;
    std::array<prometheus::Counter *, steeringCauseCount> packetsByCause{};
    prometheus::Counter &malformedDatagrams;
    prometheus::Counter &deferred;
    prometheus::Gauge &flows;
    prometheus::Gauge &version;
    prometheus::Gauge &reachableAgents;
    prometheus::Gauge &excludedAgents;
    prometheus::Counter &forgottenAgents;
    prometheus::Counter &refusedReports;
    prometheus::Family<prometheus::Counter> &zoneFlowFamily;
    prometheus::Family<prometheus::Gauge> &zoneShareFamily;
    prometheus::Family<prometheus::Gauge> &zoneRoomFamily;
    std::map<std::pair<ServiceId, ZoneId>, ZoneMetrics> byZone;
};

SteeringNode::SteeringNode(asio::io_context &context, SteeringNodeOptions options, EventLog &log,
                           Metrics &metrics)
    : m_options(options)
    , m_log(log)
    , m_callerSocket(context)
    , m_agentSocket(context)
    , m_timer(context)
    , m_drainTimer(context)
    , m_counters(std::make_unique<Counters>(metrics.registry()))
{
    m_state.options = m_options.steering;
}

SteeringNode::~SteeringNode() = default;

Result<void> SteeringNode::start(Kernel &)
{
    return open();
}

Result<void> SteeringNode::open()
{
    BOOST_LEAF_CHECK(m_callerSocket.open(
        m_options.callerEndpoint,
        [this](std::span<std::uint8_t> bytes, const Endpoint &) { handleCallerPacket(bytes); }));
    BOOST_LEAF_CHECK(m_agentSocket.open(
        m_options.agentEndpoint,
        [this](std::span<std::uint8_t> bytes, const Endpoint &from) { handleAgentMessage(bytes, from); }));
    // All datagrams leave by the agents' socket, so that agents answer to where reports arrive.
    m_callerSocket.afterBatch = [this] {
        if (!m_callerSocket.isLastBatchFull()) {
            endStall(m_state);
        }
        placeDeferredOpenings();
        resolveUnknownFlows(m_now);
        m_agentSocket.flush();
        m_now = {};
    };
    m_agentSocket.afterBatch = [this] {
        if (m_agentSocket.isLastBatchFull() && m_now != TimePoint{}) {
            m_state.lastBacklogAt = m_now;
        }
        placeDeferredOpenings();
        resolveUnknownFlows(m_now);
        m_agentSocket.flush();
        m_now = {};
    };
    m_log.write(steadyNow(), "started", "role", "balancer", "callers", m_options.callerEndpoint, "link",
                m_options.agentEndpoint);
    scheduleTick();
    return {};
}

void SteeringNode::beginDrain()
{
    m_isDraining = true;
    m_drainStartedAt = steadyNow();
    m_log.write(m_drainStartedAt, "draining", "role", "balancer");
}

void SteeringNode::drain(std::function<void()> done)
{
    const auto now = steadyNow();
    const bool routersDetected = now - m_drainStartedAt > m_options.routerDetectionTime;
    if (routersDetected && now - m_lastPacketAt > m_options.drainIdleTime) {
        done();
        return;
    }
    m_drainTimer.expires_after(m_options.tickPeriod);
    m_drainTimer.async_wait([this, done = std::move(done)](const asio::error_code &error) {
        if (!error) {
            drain(done);
        }
    });
}

void SteeringNode::stop()
{
    m_log.write(steadyNow(), "stopped", "role", "balancer");
    m_log.flush(steadyNow());
    m_timer.cancel();
    m_callerSocket.close();
    m_agentSocket.close();
}

bool SteeringNode::isReady() const
{
    const auto now = steadyNow();
    return m_state.hasTable && m_state.hasEvacuations && m_state.hasAgentList
        && hasInitialReports(m_state, now) && !isIsolated(m_state, now) && !m_isDraining;
}

void SteeringNode::setTable(RoutingTable table)
{
    const auto now = steadyNow();
    const auto position = table.position;
    const auto version = table.version;
    const auto routes = table.routes.size();
    const auto previous = m_state.table.version;
    std::string coldRates;
    for (const auto &[service, rate] : table.coldFlowsPerSecond) {
        coldRates += fmt::format("{}{}", coldRates.empty() ? "" : ",", rate);
    }
    const auto outcome = applyTable(m_state, std::move(table), now);
    const std::string_view event = outcome == TableOutcome::InForce ? "configuration_in_force"
        : outcome == TableOutcome::Held                             ? "configuration_held"
                                                                    : "configuration_ignored";
    m_log.write(now, event, "version", version, "era", position.era, "revision", position.revision, "before",
                previous, "routes", routes, "cold_rates", coldRates);
    m_counters->version.Set(static_cast<double>(m_state.table.version));
}

void SteeringNode::setEvacuatedZones(const std::set<std::string> &zones, const StorePosition &position)
{
    const auto now = steadyNow();
    std::unordered_set<ZoneId> evacuatedZones;
    for (const auto &zone : zones) {
        evacuatedZones.insert(idOf<ZoneId>(zone));
    }
    const auto before = m_state.evacuatedZones;
    applyEvacuations(m_state, std::move(evacuatedZones), position, now);
    if (before == m_state.evacuatedZones) {
        return;
    }
    m_log.write(now, "evacuations_in_force", "zones", fmt::format("{}", fmt::join(zones, ",")), "held",
                m_state.hold.zones.size(), "era", position.era, "revision", position.revision);
}

void SteeringNode::announceDocuments()
{
    const auto now = steadyNow();
    std::size_t announced = 0;
    for (std::size_t i = 0; i < m_state.backends.size() && announced < announcedAgentCount; ++i) {
        // Balancers begin at different agents.
        const auto index = static_cast<BackendIndex>((m_options.lifetime + i) % m_state.backends.size());
        const auto &backend = m_state.backends[index];
        if (backend.report.zone != m_state.options.zone || !isReachable(m_state, backend, now)) {
            continue;
        }
        sendHello(index);
        ++announced;
    }
    m_agentSocket.flush();
}

void SteeringNode::setListedAgents(const std::vector<IpAddress> &hosts)
{
    const auto now = steadyNow();
    const auto excludedBefore = m_state.excludedAgents;
    const auto change = applyAgentList(m_state, hosts, now);
    m_log.write(now, "agents_listed", "count", hosts.size(), "known", m_state.backends.size(), "forgotten",
                change.forgotten);
    if (change.excluded != excludedBefore) {
        m_log.write(now, "agents_excluded", "count", change.excluded, "before", excludedBefore,
                    "max_unreported", m_state.options.maxUnreportedAgents);
    }
    m_counters->excludedAgents.Set(static_cast<double>(change.excluded));
    m_counters->forgottenAgents.Increment(static_cast<double>(change.forgotten));
    if (change.forgotten >= releasedAgents) {
        releaseFreeMemory();
    }
    tick();
}

void SteeringNode::updateClock()
{
    const auto now = steadyNow();
    const auto pause = now - m_lastIterationAt;
    if (m_lastIterationAt != TimePoint{} && pause > m_options.stallThreshold) {
        handleStall(m_state, pause, now);
        m_log.write(now, "stood_still", "pause_ms", pause, "agents", m_state.backends.size());
    }
    m_now = now;
    m_lastIterationAt = now;
}

void SteeringNode::handleCallerPacket(std::span<std::uint8_t> bytes)
{
    if (m_now == TimePoint{}) {
        updateClock();
    }
    m_lastPacketAt = m_now;
    Segment segment;
    if (!m_options.format.parse(bytes, segment)) {
        m_counters->malformedDatagrams.Increment();
        m_log.write(m_now, "datagram_malformed", "port", "callers", "size", bytes.size());
        return;
    }
    const auto decision = steerCallerPacket(m_state, segment, m_now);
    if (!deferOpening(decision, segment, bytes)) {
        applyDecision(decision, segment, bytes);
    }
}

bool SteeringNode::deferOpening(const SteeringDecision &decision, const Segment &segment,
                                std::span<const std::uint8_t> bytes)
{
    if (decision.cause != SteeringCause::NotReady || !segment.opens()
        || !defer(m_deferred, m_options.defer, flowFromCaller(segment), bytes, m_now)) {
        return false;
    }
    m_counters->deferred.Increment();
    m_log.write(m_now, "opening_deferred", "flow", flowText(segment.source, segment.destination), "deferred",
                m_deferred.openings.size(), "version", m_state.table.version, "agents",
                m_state.backends.size());
    return true;
}

void SteeringNode::placeDeferredOpenings()
{
    // Attempts for packets that stay deferred are limited, as each goes through all servers.
    constexpr int maxFailedAttempts = 8;
    if (m_now == TimePoint{} || !m_state.hasTable || !m_state.hasAgentList
        || !beginRetry(m_deferred, m_options.defer, m_now)) {
        return;
    }
    auto openings = std::exchange(m_deferred.openings, {});
    auto &remaining = m_deferred.openings;
    int failedAttempts = 0;
    for (auto &opening : openings) {
        Segment segment;
        if (failedAttempts == maxFailedAttempts || !m_options.format.parse(opening.packet(), segment)) {
            remaining.push_back(opening);
            continue;
        }
        const auto decision = steerCallerPacket(m_state, segment, m_now);
        if (decision.cause == SteeringCause::NotReady) {
            ++failedAttempts;
            remaining.push_back(opening);
            continue;
        }
        applyDecision(decision, segment, opening.packet(), m_now - opening.firstAt);
    }
    // Those that were not tried come first in the next attempt.
    std::rotate(remaining.begin(), remaining.begin() + failedAttempts, remaining.end());
    m_agentSocket.flush();
}

void SteeringNode::applyDecision(const SteeringDecision &decision, const Segment &segment,
                                 std::span<std::uint8_t> bytes, Duration deferredFor)
{
    m_counters->packetsByCause[static_cast<std::size_t>(decision.cause)]->Increment();
    if (decision.cause != SteeringCause::Known) {
        logDecision(decision, segment);
        countZoneFlow(decision);
    }
    if (decision.action == SteeringAction::Drop) {
        return;
    }
    if (decision.action == SteeringAction::Reset) {
        const FlowReset reset{.flow = flowFromCaller(segment), .sequence = segment.acknowledgement};
        sendReset(m_agentSocket, m_options.format, reset, m_options.callerPort);
        return;
    }
    // The header goes into the free bytes before the packet.
    const std::span<std::uint8_t> message(bytes.data() - peerHeaderSize, bytes.size() + peerHeaderSize);
    const auto type
        = decision.action == SteeringAction::QueryNote ? PeerMessageType::NoteQuery : PeerMessageType::Relay;
    PeerHeader header{
        .type = type, .mayReturnBusy = decision.mayReturnBusy, .number = decision.service.value};
    const auto route = m_state.table.routes.find(segment.destination);
    if (route != m_state.table.routes.end() && route->second.terms != RouteTerms{}) {
        header.terms = remainingTerms(route->second.terms, deferredFor);
    }
    encodePeerHeader(message, header);
    m_agentSocket.send(message, {m_state.backends[decision.backend].host, m_options.agentPort});
    if (decision.mustSendNotes && m_state.options.sendsNotes) {
        sendNotes(flowFromCaller(segment), m_state.backends[decision.backend].host);
    }
}

void SteeringNode::sendNotes(const FlowKey &flow, const IpAddress &holder)
{
    std::array<std::uint8_t, noteSize> note{};
    encodeNote(note, flow, holder);
    const auto agents = noteAgentsFor(m_state, flow, m_now);
    for (std::size_t i = 0; i < noteReplicaCount; ++i) {
        if (agents[i] != noBackend) {
            m_agentSocket.sendCopy(note, {m_state.backends[agents[i]].host, m_options.agentPort});
        }
    }
}

void SteeringNode::logDecision(const SteeringDecision &decision, const Segment &segment)
{
    const auto flow = flowText(segment.source, segment.destination);
    const auto cause = toString(decision.cause);
    if (decision.undecidedAgents != UndecidedAgents{}) {
        const auto &undecidedAgents = decision.undecidedAgents;
        m_log.write(m_now, "search_undecided", "flow", flow, "mute", undecidedAgents.unresponsive, "away",
                    undecidedAgents.unreachable, "open", undecidedAgents.notOffered, "awaited",
                    undecidedAgents.staleReports);
        return;
    }
    if (decision.cause == SteeringCause::HolderLost) {
        const auto &holder = m_state.backends[decision.backend];
        m_log.write(m_now, "flow_reset", "flow", flow, "cause", cause, "server", holder.host, "state",
                    toString(holder.report.state), "answered_ms_ago", m_now - decision.answeredAt,
                    "report_age_ms", m_now - holder.reportedAt, "version", m_state.table.version, "opening",
                    false);
        return;
    }
    if (decision.unconfirmedHolder != noBackend) {
        const auto &holder = m_state.backends[decision.unconfirmedHolder];
        m_log.write(m_now, "holder_unconfirmed", "flow", flow, "server", holder.host, "state",
                    toString(holder.report.state), "report_age_ms", m_now - holder.reportedAt);
    }
    if (decision.action == SteeringAction::Reset || decision.action == SteeringAction::Drop) {
        m_log.write(m_now, decision.action == SteeringAction::Reset ? "flow_reset" : "packet_dropped", "flow",
                    flow, "cause", cause, "version", m_state.table.version, "opening", segment.opens());
        return;
    }
    const auto &backend = m_state.backends[decision.backend];
    m_log.write(m_now,
                decision.cause == SteeringCause::Searching || decision.cause == SteeringCause::QueryingNote
                    ? "flow_search"
                    : "flow_placed",
                "flow", flow, "cause", cause, "server", backend.host, "load",
                loadOf(m_state.options, backend), "report_age_ms", m_now - backend.reportedAt, "version",
                m_state.table.version);
}

void SteeringNode::handleAgentMessage(std::span<std::uint8_t> bytes, const Endpoint &from)
{
    if (m_now == TimePoint{}) {
        updateClock();
    }
    PeerHeader header;
    if (!decodePeerHeader(bytes, header)) {
        m_counters->malformedDatagrams.Increment();
        logUnreadableMessage(m_log, m_now, "link", from, bytes);
        return;
    }
    if (header.type == PeerMessageType::Report) {
        handleReport(bytes, from);
    } else if (header.type == PeerMessageType::FlowList) {
        handleFlowList(bytes, from);
    } else if (header.type == PeerMessageType::Return) {
        handleReturnedPacket(bytes.subspan(peerHeaderSize), header, from);
    }
}

void SteeringNode::handleReport(std::span<std::uint8_t> bytes, const Endpoint &from)
{
    Report report;
    if (!decodeReport(bytes, report)) {
        m_counters->malformedDatagrams.Increment();
        return;
    }
    const auto index = findOrAddBackend(m_state, from.address, m_now);
    if (index == noBackend) {
        m_counters->refusedReports.Increment();
        m_log.write(m_now, "report_refused", "server", from.address, "known", m_state.backends.size());
        return;
    }
    const auto &backend = m_state.backends[index];
    const bool wasReachable = isReachable(m_state, backend, m_now);
    const auto previous = backend.report;
    applyReport(m_state, index, report, m_now);
    if (!wasReachable || previous.state != report.state || previous.service != report.service
        || previous.lifetime != report.lifetime) {
        m_log.write(m_now, "server_state", "server", from.address, "state", toString(report.state), "before",
                    wasReachable ? toString(previous.state) : "silent", "agent_lifetime", report.lifetime,
                    "born_at", report.bornAt, "flows", report.flows, "cold_left_ms", report.coldLeft);
    }
    if (previous.lifetime != report.lifetime) {
        sendHello(index);
    }
    resetEndedFlows(from.address, report.bornAt, m_now);
    if (reported) {
        reported(report);
    }
}

void SteeringNode::handleFlowList(std::span<std::uint8_t> bytes, const Endpoint &from)
{
    FlowListPart message;
    if (!decodeFlowList(bytes, message)) {
        m_counters->malformedDatagrams.Increment();
        return;
    }
    resetEndedFlows(from.address, message.list.bornAt, m_now);
    m_hasRegistryChanged |= applyFlowList(m_registry, from.address, std::move(message), m_now);
}

void SteeringNode::resetEndedFlows(const IpAddress &host, std::uint64_t bornAt, TimePoint now)
{
    const auto resets = takeEndedFlows(m_registry, host, bornAt, now);
    for (const auto &reset : resets) {
        sendReset(m_agentSocket, m_options.format, reset, m_options.callerPort);
    }
    if (!resets.empty()) {
        m_log.write(now, "flows_reset", "cause", "server_restarted", "server", host, "flows", resets.size(),
                    "born_at", bornAt);
    }
}

void SteeringNode::restoreFlows(const std::string &snapshot)
{
    const auto now = steadyNow();
    FlowRegistry restored;
    const auto outcome = decodeSnapshot(snapshot, unixTimeNow(), restored);
    m_log.write(now, "flows_restored", "outcome", toString(outcome), "servers", restored.size(), "size",
                snapshot.size());
    for (auto &[host, server] : restored) {
        server.listedAt = now;
        if (!m_registry.try_emplace(host, std::move(server)).second) {
            continue;
        }
        const auto known = m_state.backendByHost.find(host);
        if (known != m_state.backendByHost.end()) {
            resetEndedFlows(host, m_state.backends[known->second].report.bornAt, now);
        }
    }
    m_agentSocket.flush();
}

void SteeringNode::renewSnapshot()
{
    m_hasRegistryChanged = true;
}

std::optional<std::string> SteeringNode::changedSnapshot()
{
    if (!std::exchange(m_hasRegistryChanged, false)) {
        return {};
    }
    return encodeSnapshot(m_registry, unixTimeNow());
}

void SteeringNode::handleReturnedPacket(std::span<std::uint8_t> bytes, const PeerHeader &header,
                                        const Endpoint &from)
{
    Segment segment;
    const auto found = m_state.backendByHost.find(from.address);
    if (found == m_state.backendByHost.end() || !m_options.format.parse(bytes, segment)) {
        m_counters->malformedDatagrams.Increment();
        return;
    }
    m_log.write(m_now, "packet_returned", "flow", flowText(segment.source, segment.destination), "server",
                from.address, "reason", toString(header.reason), "opening", segment.opens());
    if (header.reason == ReturnReason::Busy) {
        recordBusyServer(m_state, found->second, static_cast<std::uint32_t>(header.number));
    }
    applyDecision(steerReturnedPacket(m_state, segment, found->second, header.reason,
                                      ipv4Address(static_cast<std::uint32_t>(header.number)), m_now),
                  segment, bytes);
}

void SteeringNode::sendHello(BackendIndex index)
{
    const auto now = steadyNow();
    auto &backend = m_state.backends[index];
    backend.helloSentAt = now;
    const Hello hello{
        .lifetime = m_options.lifetime,
        // Without the agent's first report its service and so its rate are unknown.
        .hasLimits = m_state.hasTable && backend.report.service,
        .coldFlowsPerSecond
        = coldFlowLimit(m_state.table, backend.report.service, m_options.coldFactor, m_options.coldSlack),
        .idleLimit = m_state.table.idleLimit,
        .unlisted = backend.isEntryMissing,
        .wantsFlows = needsFlowFilters(m_state, now),
        .zone = m_state.options.zone,
        .documents = documents ? documents() : DocumentRevisions{},
        .reportPeriod = backend.reportPeriod,
        .acceptsCapacity = true,
        .remembered = takeRememberedCapacity(m_state, index),
    };
    std::array<std::uint8_t, maxPeerMessageSize> bytes{};
    const auto size = encodeHello(bytes, hello);
    m_agentSocket.sendCopy({bytes.data(), size}, {backend.host, m_options.agentPort});
}

void SteeringNode::resetUnheldFlows(TimePoint now)
{
    for (const auto &reset : resolveSearches(m_state, now)) {
        sendReset(m_agentSocket, m_options.format, reset, m_options.callerPort);
        m_counters->packetsByCause[static_cast<std::size_t>(SteeringCause::NotHeld)]->Increment();
        m_log.write(now, "flow_reset", "flow", flowText(reset.flow.caller, reset.flow.service), "cause",
                    toString(SteeringCause::NotHeld), "version", m_state.table.version, "opening", false);
    }
}

void SteeringNode::resolveUnknownFlows(TimePoint now)
{
    if (now == TimePoint{} || now - m_searchesCheckedAt < m_options.searchCheckPeriod
        || !needsFlowFilters(m_state, now)) {
        return;
    }
    m_searchesCheckedAt = now;
    for (std::size_t i = 0; i < m_state.backends.size(); ++i) {
        const auto &backend = m_state.backends[i];
        if (!lacksFlowFilter(m_state, backend, now)) {
            continue;
        }
        const bool namesFlows = backend.heldFlowFilter || backend.reportedAt < backend.helloSentAt;
        const auto period = namesFlows ? m_options.flowRequestPeriod : m_options.unansweredFlowRequestPeriod;
        if (now - backend.helloSentAt >= period) {
            sendHello(static_cast<BackendIndex>(i));
        }
    }
    resetUnheldFlows(now);
}

void SteeringNode::countZoneFlow(const SteeringDecision &decision)
{
    const bool isNewFlow = decision.cause == SteeringCause::Placed || decision.cause == SteeringCause::Moved;
    if (isNewFlow && decision.backend != noBackend && m_state.rooms.contains(decision.service)) {
        const auto zone = m_state.backends[decision.backend].report.zone;
        m_counters->zoneMetrics(decision.service, m_state.options.zone, zone).flows->Increment();
    }
}

void SteeringNode::logShareChange(ServiceId service, const ShareChange &change, TimePoint now)
{
    // A zone is known by a hash; the address of one of its servers tells operators which one it is.
    const auto example
        = std::find_if(m_state.backends.begin(), m_state.backends.end(), [&](const Backend &backend) {
              return backend.report.zone == change.to && backend.report.service == service;
          });
    m_log.write(now, "zone_share_changed", "service", idText(service), "from", idText(change.from), "to",
                idText(change.to), "server",
                example != m_state.backends.end() ? toString(example->host) : std::string(), "before",
                change.before, "after", change.after, "own_load", change.ownLoad, "other_load",
                change.otherLoad, "room", change.room, "oldest_report_ms", change.oldestReport);
}

void SteeringNode::updateZones(TimePoint now)
{
    updateRooms(m_state, now);
    for (auto &[service, room] : m_state.rooms) {
        ShareChange change;
        while (takeShareChange(room, m_state.options.room, m_state.options.zone, change)) {
            logShareChange(service, change, now);
        }
        const double ownShare = 1 - remoteShare(room);
        for (const auto &zone : room.zones) {
            auto &metrics = m_counters->zoneMetrics(service, m_state.options.zone, zone.zone);
            metrics.share->Set(zone.zone == m_state.options.zone ? ownShare : zone.share);
            metrics.room->Set(zone.room());
        }
    }
    const bool isIsolatedNow = !m_state.backends.empty() && isIsolated(m_state, now);
    if (isIsolatedNow != m_isIsolated) {
        m_isIsolated = isIsolatedNow;
        m_log.write(now, "balancer_isolated", "isolated", isIsolatedNow, "agents", m_state.backends.size());
    }
}

void SteeringNode::tick()
{
    updateClock();
    const auto now = std::exchange(m_now, TimePoint{});
    updateZones(now);
    const auto reportPeriods = oriolelever::reportPeriods(m_state, now);
    std::size_t reachableAgents = 0;
    for (std::size_t i = 0; i < m_state.backends.size(); ++i) {
        const auto &backend = m_state.backends[i];
        const bool isReachableNow = isReachable(m_state, backend, now);
        reachableAgents += isReachableNow ? 1 : 0;
        const auto lastContact = std::max(backend.reportedAt, backend.knownSince);
        const bool changesPeriod = reportPeriods[i] != backend.reportPeriod;
        setReportPeriod(m_state, static_cast<BackendIndex>(i), reportPeriods[i], now);
        const bool isRemote = backend.reportPeriod == m_options.steering.remoteReportPeriod;
        auto period = !isReachableNow ? m_options.tickPeriod
            : isRemote                ? m_options.remoteHelloPeriod
                                      : m_options.helloPeriod;
        if (changesPeriod) {
            period = std::chrono::milliseconds::zero();
        }
        if (now - lastContact > m_options.staleAgentTimeout) {
            period = m_options.staleAgentHelloPeriod;
        }
        if (now - backend.helloSentAt >= period) {
            sendHello(static_cast<BackendIndex>(i));
        }
    }
    resolveUnknownFlows(now);
    m_agentSocket.flush();
    if (endHold(m_state, now)) {
        m_log.write(now, "era_hold_ended", "version", m_state.table.version, "era",
                    m_state.table.position.era, "revision", m_state.table.position.revision,
                    "evacuated_zones", m_state.evacuatedZones.size());
        m_counters->version.Set(static_cast<double>(m_state.table.version));
    }
    if (now - m_lastExpiryAt > expiryPeriod) {
        m_lastExpiryAt = now;
        expireFlows(m_state, now);
    }
    m_counters->flows.Set(static_cast<double>(m_state.flows.size()));
    m_counters->reachableAgents.Set(static_cast<double>(reachableAgents));
    const auto lost = m_callerSocket.lostDatagrams() + m_agentSocket.lostDatagrams();
    if (lost != m_loggedLostDatagrams) {
        m_log.write(now, "datagrams_lost", "count", lost - m_loggedLostDatagrams);
        m_loggedLostDatagrams = lost;
    }
    m_log.flush(now);
}

void SteeringNode::scheduleTick()
{
    m_timer.expires_after(m_options.tickPeriod);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            tick();
            scheduleTick();
        }
    });
}

} // namespace oriolelever
