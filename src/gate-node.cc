#include "oriolelever/gate-node.h"

#include <algorithm>

#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include "oriolelever/clock.h"
#include "peer-log.h"

namespace oriolelever {

namespace {

constexpr std::chrono::seconds expiryPeriod{5};
// Between two checks of all waiting opening packets, whose cost grows with their number. Well below the
// shortest goal of 50 ms.
constexpr std::chrono::milliseconds refusalCheckPeriod{20};

// Seconds; densest around the latency targets of the expected workloads.
const prometheus::Histogram::BucketBoundaries openingLatencyBounds{0.0005, 0.001, 0.002, 0.005,
                                                                   0.01,   0.05,  0.2,   1};
const prometheus::Histogram::BucketBoundaries answerLatencyBounds{0.005, 0.01, 0.02, 0.05, 0.1,
                                                                  0.15,  0.25, 0.5,  1,    5};
const prometheus::Histogram::BucketBoundaries waitBounds{0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 5};

// What happens to work that waits; in the order of `Counters::workOutcomes`.
enum class WorkOutcome : std::uint8_t {
    QueuedOpening,
    DeliveredOpening,
    RefusedOpening,
    HeldRequest,
    ReleasedRequest,
    DroppedRequest,
};
constexpr std::array<const char *, 6> workOutcomeNames{"opening_queued",   "opening_delivered",
                                                       "opening_refused",  "request_held",
                                                       "request_released", "request_dropped"};

} // namespace

struct GateNode::Counters
{
    explicit Counters(prometheus::Registry &registry)
        : family(prometheus::BuildCounter()
                     .Name("oriolelever_gate_packets_total")
                     .Help("Packets at the backend server's gate by outcome")
                     .Register(registry))
        , delivered(family.Add({{"outcome", "delivered"}}))
        , answered(family.Add({{"outcome", "answered"}}))
        , queued(family.Add({{"outcome", "queued"}}))
        , returned(family.Add({{"outcome", "returned"}}))
        , dropped(family.Add({{"outcome", "dropped"}}))
        , malformed(family.Add({{"outcome", "malformed"}}))
        , refusedHeartbeatFamily(prometheus::BuildCounter()
                                     .Name("oriolelever_refused_heartbeats_total")
                                     .Help("Heartbeats that are not the backend server's, by reason")
                                     .Register(registry))
        , foreignHeartbeats(refusedHeartbeatFamily.Add({{"reason", "other_service"}}))
        , unreadableHeartbeats(refusedHeartbeatFamily.Add({{"reason", "unreadable"}}))
        , flows(prometheus::BuildGauge()
                    .Name("oriolelever_server_flows")
                    .Help("Open flows of the backend server")
                    .Register(registry)
                    .Add({}))
        , silentFlows(prometheus::BuildGauge()
                          .Name("oriolelever_server_silent_flows")
                          .Help("Flows of the backend server whose callers have given up without a word")
                          .Register(registry)
                          .Add({}))
        , waiting(prometheus::BuildGauge()
                      .Name("oriolelever_server_waiting")
                      .Help("Flows with a request that has no answer yet")
                      .Register(registry)
                      .Add({}))
        , pace(prometheus::BuildGauge()
                   .Name("oriolelever_server_pace")
                   .Help("Answers a second that the backend server handles well; 0 if unknown")
                   .Register(registry)
                   .Add({}))
        , concurrency(prometheus::BuildGauge()
                          .Name("oriolelever_server_concurrency")
                          .Help("Requests under way up to which the backend server answers well")
                          .Register(registry)
                          .Add({}))
        , opening(prometheus::BuildHistogram()
                      .Name("oriolelever_opening_seconds")
                      .Help("From an opening packet to the backend server's answer")
                      .Register(registry)
                      .Add({}, openingLatencyBounds))
        , answer(prometheus::BuildHistogram()
                     .Name("oriolelever_answer_seconds")
                     .Help("From a request's first packet to the first packet of its answer")
                     .Register(registry)
                     .Add({}, answerLatencyBounds))
        , wait(prometheus::BuildHistogram()
                   .Name("oriolelever_work_wait_seconds")
                   .Help("From the arrival of work that waited at the agent to its delivery")
                   .Register(registry)
                   .Add({}, waitBounds))
        , workFamily(prometheus::BuildCounter()
                         .Name("oriolelever_waiting_work_total")
                         .Help("Opening packets and requests that waited at the agent")
                         .Register(registry))
        , waitingWorkFamily(prometheus::BuildGauge()
                                .Name("oriolelever_waiting_work")
                                .Help("Opening packets and requests that wait at the agent")
                                .Register(registry))
        , waitingOpenings(waitingWorkFamily.Add({{"kind", "opening"}}))
        , heldRequests(waitingWorkFamily.Add({{"kind", "request"}}))
    {
        for (std::size_t outcome = 0; outcome < workOutcomes.size(); ++outcome) {
            for (std::size_t priority = 0; priority <= lowestPriority; ++priority) {
                workOutcomes[outcome][priority] = &workFamily.Add(
                    {{"outcome", workOutcomeNames[outcome]}, {"priority", std::to_string(priority)}});
            }
        }
    }

    void count(WorkOutcome outcome, const WaitingWork &work)
    {
        const auto priority = std::min(work.terms.priority, lowestPriority);
        workOutcomes[static_cast<std::size_t>(outcome)][priority]->Increment();
    }

    void observeWait(const WaitingWork &work, TimePoint now)
    {
        wait.Observe(std::chrono::duration<double>(now - work.queuedAt).count());
    }

    void observe(const ServerLatencies &latencies)
    {
        if (latencies.opening) {
            opening.Observe(std::chrono::duration<double>(*latencies.opening).count());
        }
        if (latencies.answer) {
            answer.Observe(std::chrono::duration<double>(*latencies.answer).count());
        }
    }

    prometheus::Family<prometheus::Counter> &family;
    prometheus::Counter &delivered;
    prometheus::Counter &answered;
    prometheus::Counter &queued;
    prometheus::Counter &returned;
    prometheus::Counter &dropped;
    prometheus::Counter &malformed;
    prometheus::Family<prometheus::Counter> &refusedHeartbeatFamily;
    prometheus::Counter &foreignHeartbeats;
    prometheus::Counter &unreadableHeartbeats;
    prometheus::Gauge &flows;
    prometheus::Gauge &silentFlows;
    prometheus::Gauge &waiting;
    prometheus::Gauge &pace;
    prometheus::Gauge &concurrency;
    prometheus::Histogram &opening;
    prometheus::Histogram &answer;
    prometheus::Histogram &wait;
    prometheus::Family<prometheus::Counter> &workFamily;
    std::array<std::array<prometheus::Counter *, lowestPriority + 1>, workOutcomeNames.size()> workOutcomes{};
    prometheus::Family<prometheus::Gauge> &waitingWorkFamily;
    prometheus::Gauge &waitingOpenings;
    prometheus::Gauge &heldRequests;
};

// A connection attempt to the backend server; closed as soon as it is accepted or refused.
class GateNode::Probe
{
public:
    explicit Probe(asio::io_context &context)
        : socket(context)
        , timer(context)
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
};

GateNode::GateNode(asio::io_context &context, GateNodeOptions options, EventLog &log, Metrics &metrics)
    : m_context(context)
    , m_options(options)
    , m_log(log)
    , m_relay(context)
    , m_outbound(context)
    , m_timer(context)
    , m_counters(std::make_unique<Counters>(metrics.registry()))
{
    m_state.options = m_options.gate;
}

GateNode::~GateNode() = default;

Result<void> GateNode::start(Kernel &)
{
    return open();
}

Result<void> GateNode::open()
{
    const auto now = steadyNow();
    m_state.agentStartedAt = now;
    m_state.agentStartTimeOfDay = unixTimeNow();
    BOOST_LEAF_CHECK(
        m_relay.open(m_options.relay, [this](std::span<std::uint8_t> bytes, const Endpoint &from) {
            handleBalancerDatagram(bytes, from);
        }));
    BOOST_LEAF_CHECK(
        m_outbound.open(m_options.outbound, [this](std::span<std::uint8_t> bytes, const Endpoint &) {
            handleServerPacket(bytes);
        }));
    // The clock is read once for each batch of datagrams.
    m_relay.afterBatch = [this] {
        if (!m_state.schedule.work.empty()) {
            serveQueue(steadyNow());
        }
        m_now = {};
    };
    m_outbound.afterBatch = [this] {
        if (!m_state.schedule.work.empty()) {
            serveQueue(steadyNow());
        }
        m_now = {};
    };
    m_log.write(now, "started", "role", "agent", "relay", m_options.relay, "server", m_options.server);
    scheduleTick();
    return {};
}

void GateNode::beginDrain()
{
    // The platform stops the agent of a departed server only after that server has ended.
    if (m_state.serverState == BackendState::Gone) {
        resetAllFlows("server_left");
    }
}

void GateNode::stop()
{
    m_log.write(steadyNow(), "stopped", "role", "agent", "server_state", toString(m_state.serverState),
                "flows", m_state.flows.size());
    m_log.flush(steadyNow());
    m_timer.cancel();
    m_probe.reset();
    m_relay.close();
    m_outbound.close();
}

void GateNode::handleBalancerDatagram(std::span<std::uint8_t> bytes, const Endpoint &from)
{
    if (m_now == TimePoint{}) {
        m_now = steadyNow();
    }
    PeerHeader header;
    Segment segment;
    if (!decodePeerHeader(bytes, header)) {
        m_counters->malformed.Increment();
        logUnreadableMessage(m_log, m_now, "relay", from, bytes);
        return;
    }
    if (header.type == PeerMessageType::Hello) {
        handleHello(bytes, from);
        return;
    }
    if (header.type == PeerMessageType::Note) {
        handleNote(bytes);
        return;
    }
    const auto packet = bytes.subspan(peerHeaderSize);
    if (header.type == PeerMessageType::NoteQuery && m_options.format.parse(packet, segment)) {
        handleFind(packet, segment, from.address);
        return;
    }
    if (header.type != PeerMessageType::Relay || !m_options.format.parse(packet, segment)) {
        m_counters->malformed.Increment();
        return;
    }
    const ServiceId intendedService{header.number};
    // A caller that opens the flow again has given up what it had sent on it.
    if (segment.rst || segment.opens()) {
        dropRequestOf(flowFromCaller(segment), segment.rst ? "caller_reset" : "caller_reopened");
    }
    const auto decision = admit(m_state, segment, intendedService, m_now, header.mayReturnBusy,
                                header.terms.value_or(RouteTerms{}));
    switch (decision.action) {
    case GateAction::Deliver:
        prepareDelivery(packet, segment, from.address);
        m_relay.send(packet, m_options.server);
        return;
    case GateAction::Queue:
        queueOpening(packet, segment, header, from.address);
        return;
    case GateAction::Hold:
        holdRequest(packet, segment, from.address);
        return;
    case GateAction::Return:
        returnPacket(m_relay, packet, from.address, decision.reason,
                     decision.reason == ReturnReason::Busy ? pendingRequests(m_state, m_now)
                             + static_cast<std::uint32_t>(m_state.schedule.requests)
                                                           : 0);
        m_log.write(m_now, "packet_returned", "flow", flowText(segment.source, segment.destination), "reason",
                    toString(decision.reason), "server_state", toString(m_state.serverState), "opening",
                    segment.opens());
        return;
    case GateAction::Drop:
        m_counters->dropped.Increment();
        return;
    }
}

void GateNode::prepareDelivery(std::span<std::uint8_t> packet, const Segment &segment,
                               const IpAddress &balancer)
{
    m_counters->delivered.Increment();
    // The server returns the mark with a packet that it rejects; `handleServerPacket` sends that packet to
    // the balancer that the mark names.
    m_options.format.setMark(packet, ipv4Number(balancer));
    if (segment.opens()) {
        const auto now = m_now == TimePoint{} ? steadyNow() : m_now;
        m_log.write(now, "flow_delivered", "flow", flowText(segment.source, segment.destination), "balancer",
                    balancer, "flows", m_state.flows.size(), "waiting", m_state.waitingFlows,
                    "heartbeat_age_ms", now - m_state.lastHeartbeatAt);
    }
}

void GateNode::queueOpening(std::span<std::uint8_t> packet, const Segment &segment, const PeerHeader &header,
                            const IpAddress &balancer)
{
    WaitingWork opening{.flow = flowFromCaller(segment),
                        .isOpening = true,
                        .terms = header.terms.value_or(RouteTerms{}),
                        .intendedService = ServiceId{header.number},
                        .queuedAt = m_now,
                        .waitedBefore = waitBeforeCopy(segment.acknowledgement)};
    if (packet.size() > maxOpeningSize) {
        returnPacket(m_relay, packet, balancer, ReturnReason::Full);
        m_log.write(m_now, "packet_returned", "flow", flowText(segment.source, segment.destination), "reason",
                    toString(ReturnReason::Full), "server_state", toString(m_state.serverState), "opening",
                    true);
        return;
    }
    opening.packets.push_back({.balancer = balancer, .bytes = {packet.begin(), packet.end()}});
    const auto &options = m_options.gate.schedule;
    const auto priority = opening.terms.priority;
    auto added
        = addOpening(m_state.schedule, options, currentPace(m_state, m_now), std::move(opening), m_now);
    if (added.refusal) {
        refuseOpening(*added.refusal, m_now);
    }
    if (!added.accepted) {
        return;
    }
    m_counters->queued.Increment();
    if (!added.isCopy) {
        m_counters->count(WorkOutcome::QueuedOpening, m_state.schedule.work.back());
    }
    m_log.write(m_now, "flow_queued", "flow", flowText(segment.source, segment.destination), "balancer",
                balancer, "queued", m_state.schedule.work.size() - m_state.schedule.requests, "waiting",
                m_state.waitingFlows, "held", m_state.schedule.requests, "priority", priority);
}

void GateNode::holdRequest(std::span<std::uint8_t> packet, const Segment &segment, const IpAddress &balancer)
{
    const auto key = flowFromCaller(segment);
    const auto found = m_state.flows.find(key);
    const auto terms = found == m_state.flows.end() ? RouteTerms{} : found->second.terms;
    const auto outcome
        = holdPacket(m_state.schedule, m_options.gate.schedule, key, terms, segment, packet, balancer, m_now);
    if (outcome == HeldPacketOutcome::NewRequest) {
        const auto &request = m_state.schedule.work.back();
        m_counters->count(WorkOutcome::HeldRequest, request);
        m_log.write(m_now, "request_held", "flow", flowText(key.caller, key.service), "balancer", balancer,
                    "priority", terms.priority, "goal_ms", terms.latencyGoal, "time_limit_ms",
                    terms.timeLimit, "waiting", pendingRequests(m_state, m_now), "limit", workLimit(m_state),
                    "held", m_state.schedule.requests, "queued",
                    m_state.schedule.work.size() - m_state.schedule.requests);
    }
    if (outcome != HeldPacketOutcome::NoSpace) {
        return;
    }
    if (WaitingWork request; dropHeldRequest(m_state, key, request)) {
        releaseRequest(request, "no_space", m_now);
    }
    recordRelease(m_state, segment, m_now);
    prepareDelivery(packet, segment, balancer);
    m_relay.send(packet, m_options.server);
}

void GateNode::serveQueue(TimePoint now)
{
    const auto &options = m_options.gate.schedule;
    auto &schedule = m_state.schedule;
    if (now - m_lastRefusalCheck >= refusalCheckPeriod) {
        m_lastRefusalCheck = now;
        OpeningRefusal refusal;
        while (takeExpired(schedule, options, currentPace(m_state, now), now, refusal)) {
            refuseOpening(refusal, now);
        }
        WaitingWork lost;
        while (dropLostRequest(m_state, now, lost)) {
            recordDroppedRequests({&lost, 1}, "time_limit", now);
        }
    }
    NextWork next;
    while (!isBusy(m_state, now) && takeNext(schedule, options, currentPace(m_state, now), now, next)) {
        auto &work = next.work;
        if (!work.isOpening) {
            releaseRequest(work, next.cause == StartCause::Order ? "order" : "lower_priority", now);
            continue;
        }
        const auto decision = admitQueued(m_state, work, now);
        if (decision.action == GateAction::Return) {
            returnOpening(work, decision.reason, now);
            continue;
        }
        auto &packet = work.packets.front();
        Segment segment;
        if (m_options.format.parse(packet.bytes, segment)) {
            m_counters->count(WorkOutcome::DeliveredOpening, work);
            m_counters->observeWait(work, now);
            prepareDelivery(packet.bytes, segment, packet.balancer);
            m_relay.sendCopy(packet.bytes, m_options.server);
        }
    }
    m_relay.flush();
}

void GateNode::releaseRequest(WaitingWork &request, std::string_view cause, TimePoint now)
{
    for (auto &packet : request.packets) {
        Segment segment;
        if (!m_options.format.parse(packet.bytes, segment)) {
            continue;
        }
        recordRelease(m_state, segment, now);
        prepareDelivery(packet.bytes, segment, packet.balancer);
        m_relay.send(packet.bytes, m_options.server);
    }
    // The port does not copy the packets, which end with `request`.
    m_relay.flush();
    m_counters->count(WorkOutcome::ReleasedRequest, request);
    m_counters->observeWait(request, now);
    m_log.write(now, "request_released", "flow", flowText(request.flow.caller, request.flow.service), "cause",
                cause, "held_ms", now - request.queuedAt, "priority", request.terms.priority, "packets",
                request.packets.size(), "abandoned", request.isAbandoned, "waiting",
                pendingRequests(m_state, now), "held", m_state.schedule.requests);
}

void GateNode::dropRequestOf(const FlowKey &flow, std::string_view cause)
{
    if (WaitingWork request; dropHeldRequest(m_state, flow, request)) {
        recordDroppedRequests({&request, 1}, cause, m_now);
    }
}

void GateNode::recordDroppedRequests(std::span<const WaitingWork> requests, std::string_view cause,
                                     TimePoint now)
{
    for (const auto &request : requests) {
        m_counters->count(WorkOutcome::DroppedRequest, request);
        m_log.write(now, "request_dropped", "flow", flowText(request.flow.caller, request.flow.service),
                    "cause", cause, "held_ms", now - request.queuedAt, "priority", request.terms.priority,
                    "packets", request.packets.size());
    }
}

void GateNode::refuseOpening(OpeningRefusal &refusal, TimePoint now)
{
    auto &opening = refusal.work;
    m_counters->count(WorkOutcome::RefusedOpening, opening);
    const bool isTooLate = refusal.remaining < refusal.expectedWait || refusal.remaining <= Duration::zero();
    m_log.write(now, "opening_refused", "flow", flowText(opening.flow.caller, opening.flow.service), "cause",
                isTooLate ? "too_late" : "queue_full", "expected_wait_ms", refusal.expectedWait,
                "remaining_ms", refusal.remaining, "waited_ms", now - opening.queuedAt + opening.waitedBefore,
                "priority", opening.terms.priority, "queued",
                m_state.schedule.work.size() - m_state.schedule.requests, "held", m_state.schedule.requests,
                "pace", currentPace(m_state, now).answersPerSecond);
    returnOpening(opening, ReturnReason::Full, now);
}

void GateNode::returnOpening(WaitingWork &opening, ReturnReason reason, TimePoint now)
{
    const auto &packet = opening.packets.front();
    std::array<std::uint8_t, PacketPort::maxCopySize> message{};
    encodePeerHeader(message, {.type = PeerMessageType::Return, .reason = reason});
    const auto size = std::min(packet.bytes.size(), message.size() - peerHeaderSize);
    std::copy_n(packet.bytes.begin(), size, message.begin() + peerHeaderSize);
    m_counters->returned.Increment();
    m_relay.sendCopy({message.data(), peerHeaderSize + size}, {packet.balancer, m_options.balancerPort});
    m_log.write(now, "packet_returned", "flow", flowText(opening.flow.caller, opening.flow.service), "reason",
                toString(reason), "server_state", toString(m_state.serverState), "opening", true, "queued_ms",
                now - opening.queuedAt);
}

void GateNode::handleNote(std::span<std::uint8_t> bytes)
{
    FlowKey flow;
    IpAddress holder;
    if (!decodeNote(bytes, flow, holder)) {
        m_counters->malformed.Increment();
        return;
    }
    recordNote(m_state, flow, holder, m_now);
}

// Handles a `NoteQuery`: the balancer searches the holder of the packet's flow.
void GateNode::handleFind(std::span<std::uint8_t> packet, const Segment &segment, const IpAddress &balancer)
{
    const auto key = flowFromCaller(segment);
    if (m_state.flows.contains(key)) {
        returnPacket(m_relay, packet, balancer, ReturnReason::Noted, ipv4Number(m_options.relay.address));
        return;
    }
    const auto *holder = notedHolder(m_state, key);
    returnPacket(m_relay, packet, balancer, holder != nullptr ? ReturnReason::Noted : ReturnReason::NotNoted,
                 holder != nullptr ? ipv4Number(*holder) : 0);
}

void GateNode::returnPacket(PacketPort &port, std::span<std::uint8_t> bytes, const IpAddress &balancer,
                            ReturnReason reason, std::uint32_t number)
{
    m_counters->returned.Increment();
    const std::span<std::uint8_t> message(bytes.data() - peerHeaderSize, bytes.size() + peerHeaderSize);
    encodePeerHeader(message, {.type = PeerMessageType::Return, .reason = reason, .number = number});
    port.send(message, {balancer, m_options.balancerPort});
}

void GateNode::recordStoreEra(std::uint64_t era)
{
    learnDocuments({.era = eraTagOf(era)});
}

void GateNode::updateLimits(TimePoint now)
{
    std::vector<FlowLimits> stated;
    for (const auto &[address, balancer] : m_balancers) {
        if (balancer.limits) {
            stated.push_back(*balancer.limits);
        }
    }
    const auto coldFlowsBefore = m_state.coldFlowsPerSecond;
    const auto idleTimeoutBefore = m_state.idleTimeout;
    applyLimits(m_state, stated);
    if (m_state.coldFlowsPerSecond != coldFlowsBefore || m_state.idleTimeout != idleTimeoutBefore) {
        m_log.write(now, "limits_changed", "balancers", stated.size(), "cold_flows_per_second",
                    m_state.coldFlowsPerSecond, "idle_limit_ms", *m_state.idleTimeout, "idle_limit_before_ms",
                    idleTimeoutBefore.value_or(std::chrono::milliseconds::zero()));
    }
}

void GateNode::learnDocuments(const DocumentRevisions &documents)
{
    const auto before = m_state.documents;
    mergeRevisions(m_state.documents, documents);
    if (before != m_state.documents) {
        // A balancer whose watch hangs waits for this word.
        sendReports();
    }
}

void GateNode::handleHello(std::span<std::uint8_t> bytes, const Endpoint &from)
{
    Hello hello;
    if (!decodeHello(bytes, hello)) {
        m_counters->malformed.Increment();
        return;
    }
    auto &balancer = m_balancers[from.address];
    const bool isNew = balancer.lifetime != hello.lifetime;
    balancer.lifetime = hello.lifetime;
    balancer.lastHelloAt = m_now;
    balancer.reportPeriod = hello.reportPeriod;
    balancer.zone = hello.zone;
    balancer.acceptsCapacity = hello.acceptsCapacity;
    if (hello.remembered) {
        const auto outcome = restoreCapacity(m_state.capacity, *hello.remembered, m_now);
        if (outcome != RestoreOutcome::Known) {
            m_log.write(m_now, "capacity_remembered", "balancer", from.address, "outcome", toString(outcome),
                        "born_at", hello.remembered->bornAt, "pace",
                        hello.remembered->capacity.answersPerSecond, "concurrency",
                        hello.remembered->capacity.concurrency, "evidence",
                        hello.remembered->capacity.evidence);
        }
    }
    if (const FlowLimits limits{hello.coldFlowsPerSecond, hello.idleLimit};
        hello.hasLimits && balancer.limits != limits) {
        balancer.limits = limits;
        updateLimits(m_now);
    }
    learnDocuments(hello.documents);
    if (isNew) {
        m_log.write(m_now, "balancer_heard", "balancer", from.address, "balancer_lifetime", hello.lifetime);
    }
    if (isNew || hello.wantsFlows) {
        balancer.lastReportAt = m_now;
        std::array<std::uint8_t, maxPeerMessageSize> report{};
        const auto size = encodeReport(report, currentReport(m_now, true, hello.acceptsCapacity));
        m_relay.sendCopy({report.data(), size}, {from.address, m_options.balancerPort});
    }
    if (hello.unlisted && entryMissing) {
        entryMissing();
    }
}

void GateNode::handleServerPacket(std::span<std::uint8_t> bytes)
{
    if (m_now == TimePoint{}) {
        m_now = steadyNow();
    }
    Segment segment;
    if (!m_options.format.parse(bytes, segment)) {
        m_counters->malformed.Increment();
        m_log.write(m_now, "datagram_malformed", "port", "outbound", "size", bytes.size());
        return;
    }
    if (!segment.returned) {
        m_counters->answered.Increment();
        const auto latencies = recordServerPacket(m_state, segment, m_now);
        m_counters->observe(latencies);
        if (segment.rst) {
            reportFailing(m_now);
            dropRequestOf(flowFromServer(segment), "server_reset");
        }
        m_outbound.send(bytes, {segment.destination.address, m_options.callerPort});
        return;
    }
    const auto reason = recordReturnedPacket(m_state, segment);
    m_log.write(m_now, "packet_bounced", "flow", flowText(segment.source, segment.destination), "reason",
                toString(reason), "opening", segment.opens());
    if (segment.mark == 0) {
        m_counters->dropped.Increment();
        return;
    }
    m_options.format.clearReturned(bytes);
    returnPacket(m_outbound, bytes, ipv4Address(segment.mark), reason);
}

HeartbeatOutcome GateNode::handleHeartbeat(const ServerHeartbeat &heartbeat)
{
    const auto now = steadyNow();
    const auto previousState = m_state.serverState;
    const auto outcome = applyHeartbeat(m_state, heartbeat, now, unixTimeNow());
    if (outcome == HeartbeatOutcome::Restarted) {
        resetAllFlows("server_started_anew");
    }
    if (outcome == HeartbeatOutcome::OtherService) {
        m_counters->foreignHeartbeats.Increment();
        m_log.write(
            now, "heartbeat_refused", "text",
            fmt::format("server \"{}\" names the service \"{}\", which is not that of this host's server",
                        heartbeat.id, heartbeat.service));
        return outcome;
    }
    if (outcome != HeartbeatOutcome::Accepted || previousState != m_state.serverState) {
        m_log.write(now, "server_heartbeat", "outcome", toString(outcome), "server_id", heartbeat.id,
                    "born_at", heartbeat.startTimeMs, "sequence", heartbeat.sequence, "state",
                    toString(m_state.serverState), "before", toString(previousState), "cold_left_ms",
                    heartbeat.coldLeft, "service", heartbeat.service);
        sendReports();
    }
    return outcome;
}

void GateNode::recordUnreadableHeartbeat(const std::string &text)
{
    m_counters->unreadableHeartbeats.Increment();
    m_log.write(steadyNow(), "heartbeat_refused", "text", text);
}

bool GateNode::handleDeparture(const std::string &id)
{
    const bool isAccepted = applyDeparture(m_state, id);
    m_log.write(steadyNow(), "server_left", "server_id", id, "taken", isAccepted, "flows",
                m_state.flows.size());
    sendReports();
    return isAccepted;
}

void GateNode::addBalancers(const std::vector<IpAddress> &balancers)
{
    const auto now = steadyNow();
    for (const auto &address : balancers) {
        const auto [found, isNew] = m_balancers.try_emplace(address);
        if (isNew) {
            found->second = {.lastHelloAt = now, .reportPeriod = m_options.reportPeriod};
        }
    }
    sendReports();
}

Report GateNode::currentReport(TimePoint now, bool withFlows, bool withCapacity)
{
    auto report = makeReport(m_state, m_options.lifetime, now, withFlows);
    if (!withCapacity) {
        report.capacity.reset();
    }
    report.balancers = static_cast<std::uint16_t>(std::min<std::size_t>(m_balancers.size(), UINT16_MAX));
    return report;
}

void GateNode::sendReports()
{
    for (auto &[address, balancer] : m_balancers) {
        balancer.lastReportAt = {};
    }
    sendDueReports(steadyNow());
}

void GateNode::sendDueReports(TimePoint now)
{
    // A period ends at the tick that is nearest to it.
    const auto tolerance = m_options.tickPeriod / 2;
    // Without and with a capacity.
    std::array<std::array<std::uint8_t, maxPeerMessageSize>, 2> reports{};
    std::array<std::size_t, 2> sizes{};
    for (auto &[address, balancer] : m_balancers) {
        if (now - balancer.lastReportAt + tolerance < balancer.reportPeriod) {
            continue;
        }
        const std::size_t form = balancer.acceptsCapacity ? 1 : 0;
        if (sizes[form] == 0) {
            sizes[form] = encodeReport(reports[form], currentReport(now, false, balancer.acceptsCapacity));
        }
        balancer.lastReportAt = now;
        m_relay.sendCopy({reports[form].data(), sizes[form]}, {address, m_options.balancerPort});
    }
    m_relay.flush();
}

void GateNode::tick()
{
    const auto now = steadyNow();
    const auto dropped = std::erase_if(m_balancers, [&](const auto &entry) {
        return now - entry.second.lastHelloAt > m_options.balancerTimeout;
    });
    if (dropped > 0) {
        updateLimits(now);
    }
    if (isSuspect(m_state, now)) {
        startProbe(now);
    }
    if (!m_state.schedule.work.empty()) {
        markOverdueRequests(m_state, now);
        serveQueue(now);
    }
    reportFailing(now);
    announceCapacity(now);
    sendDueReports(now);
    if (now - m_lastFlowList >= m_options.flowListPeriod * (m_flowListParts > 1 ? 2 : 1)) {
        m_lastFlowList = now;
        sendFlowList(now);
    }
    if (now - m_lastExpiry > expiryPeriod) {
        m_lastExpiry = now;
        if (const auto forgotten = expireEntries(m_state, now); forgotten > 0) {
            m_log.write(now, "flows_forgotten", "count", forgotten, "idle_limit_ms",
                        m_state.idleTimeout.value_or(m_options.gate.unstatedIdleTimeout), "left",
                        m_state.flows.size());
        }
    }
    countSilentFlows(m_state, now);
    m_counters->flows.Set(
        static_cast<double>(m_state.flows.size() - m_state.endedFlows - m_state.silentFlows));
    m_counters->silentFlows.Set(m_state.silentFlows);
    m_counters->waiting.Set(m_state.waitingFlows);
    m_counters->heldRequests.Set(static_cast<double>(m_state.schedule.requests));
    m_counters->waitingOpenings.Set(
        static_cast<double>(m_state.schedule.work.size() - m_state.schedule.requests));
    const auto lostDatagrams = m_relay.lostDatagrams() + m_outbound.lostDatagrams();
    if (lostDatagrams != m_loggedLostDatagrams) {
        m_log.write(now, "datagrams_lost", "count", lostDatagrams - m_loggedLostDatagrams);
        m_loggedLostDatagrams = lostDatagrams;
    }
    m_log.flush(now);
}

void GateNode::announceCapacity(TimePoint now)
{
    updateCapacity(m_state, now);
    const auto &capacity = learnedCapacity(m_state);
    m_counters->pace.Set(capacity.answersPerSecond);
    m_counters->concurrency.Set(capacity.concurrency);
    const auto before = m_state.capacity.announced.answersPerSecond;
    if (const auto change = takeCapacityChange(m_state.capacity, now)) {
        m_log.write(now, "capacity_learned", "pace", change->answersPerSecond, "before", before,
                    "concurrency", change->concurrency, "evidence", change->evidence, "usual_ms",
                    change->usualAnswer, "cause", toString(m_state.capacity.cause), "slots",
                    m_state.capacity.slots, "waiting", m_state.waitingFlows);
    }
}

void GateNode::reportFailing(TimePoint now)
{
    const bool unreliable = isUnreliable(m_state, now);
    if (unreliable != m_wasUnreliable) {
        m_wasUnreliable = unreliable;
        m_log.write(now, "server_unreliable", "unreliable", unreliable, "resets", m_state.consecutiveResets,
                    "for_ms", m_state.options.unreliableTime);
        sendReports();
    }
    const bool failing = isFailing(m_state, now);
    if (failing == m_wasFailing) {
        return;
    }
    m_wasFailing = failing;
    m_log.write(now, "server_failing", "failing", failing, "resets", m_state.consecutiveResets, "ejections",
                m_state.ejections, "ejected_ms", std::max(m_state.ejectedUntil - now, Duration::zero()));
    sendReports();
}

void GateNode::sendFlowList(TimePoint now)
{
    const IpAddress *receiver = nullptr;
    bool isReceiverNear = false;
    for (const auto &[address, balancer] : m_balancers) {
        if (balancer.lifetime == 0 || now - balancer.lastHelloAt > m_options.receiverTimeout) {
            continue;
        }
        const bool isNear = balancer.zone == m_options.gate.zone;
        if (receiver == nullptr || isNear > isReceiverNear
            || (isNear == isReceiverNear && address < *receiver)) {
            receiver = &address;
            isReceiverNear = isNear;
        }
    }
    const auto list = receiver == nullptr ? std::nullopt : listFlows(m_state, now);
    if (!list) {
        return;
    }
    std::array<std::uint8_t, maxFlowListSize> message{};
    m_flowListParts = flowListParts(*list);
    for (std::size_t part = 0; part < m_flowListParts; ++part) {
        const auto size = encodeFlowList(message, *list, part);
        m_relay.send({message.data(), size}, {*receiver, m_options.balancerPort});
        m_relay.flush();
    }
}

void GateNode::scheduleTick()
{
    m_timer.expires_after(m_options.tickPeriod);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            tick();
            scheduleTick();
        }
    });
}

void GateNode::startProbe(TimePoint now)
{
    if (m_probe || now - m_lastProbe < m_options.probeInterval) {
        return;
    }
    m_lastProbe = now;
    m_log.write(now, "server_suspect", "server", m_options.server, "heartbeat_age_ms",
                now - m_state.lastHeartbeatAt, "flows", m_state.flows.size());
    m_probe = std::make_unique<Probe>(m_context);
    m_probe->timer.expires_after(m_options.probeTimeout);
    m_probe->timer.async_wait([this](const asio::error_code &error) {
        if (!error && m_probe) {
            m_probe->socket.close();
        }
    });
    const asio::ip::tcp::endpoint server(asio::ip::make_address(toString(m_options.server.address)),
                                         m_options.server.port);
    m_probe->socket.async_connect(server,
                                  [this](const asio::error_code &error) { handleProbeResult(error); });
}

void GateNode::handleProbeResult(const asio::error_code &error)
{
    const auto now = steadyNow();
    const bool isRefused = error == asio::error::connection_refused;
    m_log.write(now, "server_probed", "accepted", !error, "refused", isRefused, "error", error.message(),
                "flows", m_state.flows.size());
    m_probe.reset();
    recordProbe(m_state, !error);
    if (isRefused) {
        resetAllFlows("server_refuses_connections");
    }
    if (error) {
        sendReports();
    }
}

void GateNode::resetAllFlows(std::string_view cause)
{
    const auto dropped = takeAllRequests(m_state.schedule);
    recordDroppedRequests(dropped, cause, steadyNow());
    const auto resets = removeAllFlows(m_state, steadyNow());
    for (const auto &reset : resets) {
        sendReset(m_relay, m_options.format, reset, m_options.callerPort);
    }
    m_relay.flush();
    if (!resets.empty()) {
        m_log.write(steadyNow(), "flows_reset", "cause", cause, "flows", resets.size(), "born_at",
                    m_state.lastHeartbeat.startTimeMs);
    }
}

} // namespace oriolelever
