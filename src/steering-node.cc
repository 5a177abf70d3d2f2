#include "oriolelever/steering-node.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include "oriolelever/clock.h"

namespace oriolelever {

namespace {

constexpr std::chrono::seconds expiryPeriod{5};

} // namespace

struct SteeringNode::Counters
{
    explicit Counters(prometheus::Registry &registry)
        : packetFamily(prometheus::BuildCounter()
                           .Name("oriolelever_steered_packets_total")
                           .Help("Callers' packets by decision")
                           .Register(registry))
        , malformed(prometheus::BuildCounter()
                        .Name("oriolelever_malformed_datagrams_total")
                        .Help("Datagrams that could not be read")
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
        , heard(prometheus::BuildGauge()
                    .Name("oriolelever_agents_heard")
                    .Help("Agents that reported lately")
                    .Register(registry)
                    .Add({}))
    {
        for (std::size_t i = 0; i < steeringCauseCount; ++i) {
            byCause[i] = &packetFamily.Add({{"cause", std::string(toString(static_cast<SteeringCause>(i)))}});
        }
    }

    prometheus::Family<prometheus::Counter> &packetFamily;
    std::array<prometheus::Counter *, steeringCauseCount> byCause{};
    prometheus::Counter &malformed;
    prometheus::Gauge &flows;
    prometheus::Gauge &version;
    prometheus::Gauge &heard;
};

SteeringNode::SteeringNode(asio::io_context &context, SteeringNodeOptions options, EventLog &log,
                           Metrics &metrics)
    : m_options(options)
    , m_log(log)
    , m_callers(context)
    , m_link(context)
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
    BOOST_LEAF_CHECK(
        m_callers.open(m_options.callers,
                       [this](std::span<std::uint8_t> bytes, const Endpoint &) { onCallerPacket(bytes); }));
    BOOST_LEAF_CHECK(m_link.open(m_options.link, [this](std::span<std::uint8_t> bytes, const Endpoint &from) {
        onLinkMessage(bytes, from);
    }));
    // Both ports send by the link's socket, so that agents answer to where reports are taken.
    m_callers.afterBatch = [this] {
        m_link.flush();
        m_now = {};
    };
    m_link.afterBatch = [this] {
        m_now = {};
    };
    m_log.write(steadyNow(), "started", "role", "balancer", "callers", toString(m_options.callers), "link",
                toString(m_options.link));
    scheduleTick();
    return {};
}

void SteeringNode::beginDrain()
{
    m_draining = true;
    m_drainBegan = steadyNow();
    m_log.write(m_drainBegan, "draining", "role", "balancer");
}

void SteeringNode::drain(std::function<void()> done)
{
    const auto now = steadyNow();
    const bool turnedAway = now - m_drainBegan > m_options.turnAway;
    if (turnedAway && now - m_lastPacket > m_options.quiet) {
        done();
        return;
    }
    m_drainTimer.expires_after(m_options.tick);
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
    m_callers.close();
    m_link.close();
}

bool SteeringNode::isReady() const
{
    const auto now = steadyNow();
    return m_state.configured && m_evacuationsKnown && m_state.rosterKnown && isSettled(m_state, now)
        && !isCutOff(m_state, now) && !m_draining;
}

void SteeringNode::setTable(RoutingTable table)
{
    const auto now = steadyNow();
    const auto revision = table.revision;
    const auto version = table.version;
    const auto routes = table.routes.size();
    const auto before = m_state.table.version;
    std::string coldRates;
    for (const auto &[service, rate] : table.coldFlowsPerSecond) {
        coldRates += fmt::format("{}{}", coldRates.empty() ? "" : ",", rate);
    }
    const bool taken = takeTable(m_state, std::move(table));
    m_log.write(now, taken ? "configuration_in_force" : "configuration_ignored", "version", version,
                "revision", revision, "before", before, "routes", routes, "cold_rates", coldRates);
    m_counters->version.Set(static_cast<double>(m_state.table.version));
}

void SteeringNode::setEvacuated(const std::set<std::string> &zones)
{
    std::unordered_set<ZoneId> evacuated;
    for (const auto &zone : zones) {
        evacuated.insert(idOf<ZoneId>(zone));
    }
    m_evacuationsKnown = true;
    if (evacuated == m_state.evacuated) {
        return;
    }
    m_state.evacuated = std::move(evacuated);
    m_log.write(steadyNow(), "evacuations_in_force", "zones", fmt::format("{}", fmt::join(zones, ",")));
}

void SteeringNode::setListed(const std::vector<IpAddress> &hosts)
{
    const auto now = steadyNow();
    takeRoster(m_state, hosts, now);
    m_log.write(now, "agents_listed", "count", hosts.size(), "known", m_state.backends.size());
    tick();
}

void SteeringNode::wake()
{
    const auto now = steadyNow();
    const auto pause = now - m_lastTurn;
    if (m_lastTurn != TimePoint{} && pause > m_options.standstill) {
        noteStandstill(m_state, now);
        m_log.write(now, "stood_still", "pause_ms", pause, "agents", m_state.backends.size());
    }
    m_now = now;
    m_lastTurn = now;
}

void SteeringNode::onCallerPacket(std::span<std::uint8_t> bytes)
{
    if (m_now == TimePoint{}) {
        wake();
    }
    m_lastPacket = m_now;
    Segment segment;
    if (!m_options.format.parse(bytes, segment)) {
        m_counters->malformed.Increment();
        m_log.write(m_now, "datagram_malformed", "port", "callers", "size", bytes.size());
        return;
    }
    carryOut(steerCallerPacket(m_state, segment, m_now), segment, bytes);
}

void SteeringNode::carryOut(const SteeringDecision &decision, const Segment &segment,
                            std::span<std::uint8_t> bytes)
{
    m_counters->byCause[static_cast<std::size_t>(decision.cause)]->Increment();
    if (decision.cause != SteeringCause::Known) {
        logDecision(decision, segment);
    }
    if (decision.act == SteeringAct::Drop) {
        return;
    }
    if (decision.act == SteeringAct::Reset) {
        const FlowReset reset{.flow = flowFromCaller(segment), .sequence = segment.acknowledgement};
        sendReset(m_link, m_options.format, reset, m_options.callerPort);
        return;
    }
    // The header goes into the free bytes before the packet.
    const std::span<std::uint8_t> message(bytes.data() - peerHeaderSize, bytes.size() + peerHeaderSize);
    const auto type = decision.act == SteeringAct::Ask ? PeerMessageType::Find : PeerMessageType::Relay;
    encodePeerHeader(message, {.type = type, .number = decision.service.value});
    m_link.send(message, {m_state.backends[decision.backend].host, m_options.agentPort});
    if (decision.note) {
        sendNotes(flowFromCaller(segment), m_state.backends[decision.backend].host);
    }
}

void SteeringNode::sendNotes(const FlowKey &flow, const IpAddress &holder)
{
    std::array<std::uint8_t, noteSize> note{};
    encodeNote(note, flow, holder);
    const auto directories = directoriesOf(m_state, flow, m_now);
    for (std::size_t i = 0; i < noteCopies; ++i) {
        if (directories[i] != noBackend) {
            m_link.sendCopy(note, {m_state.backends[directories[i]].host, m_options.agentPort});
        }
    }
}

void SteeringNode::logDecision(const SteeringDecision &decision, const Segment &segment)
{
    const auto flow = flowText(segment.source, segment.destination);
    const auto cause = toString(decision.cause);
    if (decision.obstacles != SearchObstacles{}) {
        const auto &obstacles = decision.obstacles;
        m_log.write(m_now, "search_undecided", "flow", flow, "mute", obstacles.mute, "away", obstacles.away,
                    "open", obstacles.open, "awaited", obstacles.awaited);
        return;
    }
    if (decision.act == SteeringAct::Reset || decision.act == SteeringAct::Drop) {
        m_log.write(m_now, decision.act == SteeringAct::Reset ? "flow_reset" : "packet_dropped", "flow", flow,
                    "cause", cause, "version", m_state.table.version, "opening", segment.opens());
        return;
    }
    const auto &backend = m_state.backends[decision.backend];
    m_log.write(m_now,
                decision.cause == SteeringCause::Searching || decision.cause == SteeringCause::Asking
                    ? "flow_search"
                    : "flow_placed",
                "flow", flow, "cause", cause, "server", toString(backend.host), "load",
                loadOf(m_state.options, backend), "report_age_ms", m_now - backend.reported, "version",
                m_state.table.version);
}

void SteeringNode::onLinkMessage(std::span<std::uint8_t> bytes, const Endpoint &from)
{
    if (m_now == TimePoint{}) {
        wake();
    }
    PeerHeader header;
    if (!decodePeerHeader(bytes, header)) {
        m_counters->malformed.Increment();
        m_log.write(m_now, "datagram_malformed", "port", "link", "from", toString(from), "size",
                    bytes.size());
        return;
    }
    if (header.type == PeerMessageType::Report) {
        onReport(bytes, from);
    } else if (header.type == PeerMessageType::Return) {
        onReturned(bytes.subspan(peerHeaderSize), header, from);
    }
}

void SteeringNode::onReport(std::span<std::uint8_t> bytes, const Endpoint &from)
{
    Report report;
    if (!decodeReport(bytes, report)) {
        m_counters->malformed.Increment();
        return;
    }
    const auto index = backendOn(m_state, from.address, m_now);
    const auto &backend = m_state.backends[index];
    const bool wasHeard = isHeard(m_state, backend, m_now);
    const auto before = backend.report;
    takeReport(m_state, index, report, m_now);
    if (!wasHeard || before.state != report.state || before.service != report.service
        || before.lifetime != report.lifetime) {
        m_log.write(m_now, "server_state", "server", toString(from.address), "state", toString(report.state),
                    "before", wasHeard ? toString(before.state) : "silent", "agent_lifetime", report.lifetime,
                    "born_at", report.bornAt, "flows", report.flows, "cold_left_ms", report.coldLeft);
    }
    if (before.lifetime != report.lifetime) {
        greet(index);
    }
}

void SteeringNode::onReturned(std::span<std::uint8_t> bytes, const PeerHeader &header, const Endpoint &from)
{
    Segment segment;
    const auto found = m_state.byHost.find(from.address);
    if (found == m_state.byHost.end() || !m_options.format.parse(bytes, segment)) {
        m_counters->malformed.Increment();
        return;
    }
    m_log.write(m_now, "packet_returned", "flow", flowText(segment.source, segment.destination), "server",
                toString(from.address), "reason", toString(header.reason), "opening", segment.opens());
    carryOut(steerReturned(m_state, segment, found->second, header.reason,
                           ipv4Address(static_cast<std::uint32_t>(header.number)), m_now),
             segment, bytes);
}

void SteeringNode::greet(BackendIndex index)
{
    const auto now = steadyNow();
    m_greeted.resize(m_state.backends.size());
    m_greeted[index] = now;
    const auto &backend = m_state.backends[index];
    const auto rate = m_state.table.coldFlowsPerSecond.find(backend.report.service);
    std::uint32_t coldLimit = noColdLimit;
    if (rate != m_state.table.coldFlowsPerSecond.end()) {
        coldLimit = static_cast<std::uint32_t>(
            std::floor(rate->second * m_options.coldFactor + m_options.coldSlack));
    }
    const Hello hello{
        .lifetime = m_options.lifetime,
        .coldFlowsPerSecond = coldLimit,
        .idleLimit = m_state.table.idleLimit,
        .unlisted = backend.missing,
    };
    std::array<std::uint8_t, maxPeerMessageSize> bytes{};
    const auto size = encodeHello(bytes, hello);
    m_link.sendCopy({bytes.data(), size}, {backend.host, m_options.agentPort});
}

void SteeringNode::conclude(TimePoint now)
{
    for (const auto &reset : concludeSearches(m_state, now)) {
        sendReset(m_link, m_options.format, reset, m_options.callerPort);
        m_counters->byCause[static_cast<std::size_t>(SteeringCause::NotHeld)]->Increment();
        m_log.write(now, "flow_reset", "flow", flowText(reset.flow.caller, reset.flow.service), "cause",
                    toString(SteeringCause::NotHeld), "version", m_state.table.version, "opening", false);
    }
}

void SteeringNode::tick()
{
    wake();
    const auto now = std::exchange(m_now, TimePoint{});
    m_greeted.resize(m_state.backends.size());
    std::size_t heard = 0;
    for (std::size_t i = 0; i < m_state.backends.size(); ++i) {
        const auto &backend = m_state.backends[i];
        const bool isHeardNow = isHeard(m_state, backend, now);
        heard += isHeardNow ? 1 : 0;
        const auto lastSign = std::max(backend.reported, backend.introduced);
        auto period = isHeardNow ? m_options.helloPeriod : m_options.tick;
        if (now - lastSign > m_options.longSilence) {
            period = m_options.farHelloPeriod;
        }
        if (now - m_greeted[i] >= period) {
            greet(static_cast<BackendIndex>(i));
        }
    }
    conclude(now);
    m_link.flush();
    if (now - m_lastExpiry > expiryPeriod) {
        m_lastExpiry = now;
        expireFlows(m_state, now);
    }
    m_counters->flows.Set(static_cast<double>(m_state.flows.size()));
    m_counters->heard.Set(static_cast<double>(heard));
    const auto lost = m_callers.lostDatagrams() + m_link.lostDatagrams();
    if (lost != m_lostDatagrams) {
        m_log.write(now, "datagrams_lost", "count", lost - m_lostDatagrams);
        m_lostDatagrams = lost;
    }
    m_log.flush(now);
}

void SteeringNode::scheduleTick()
{
    m_timer.expires_after(m_options.tick);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            tick();
            scheduleTick();
        }
    });
}

} // namespace oriolelever
