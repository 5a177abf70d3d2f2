#include "oriolelever/server-gate.h"

#include <algorithm>

namespace oriolelever {

namespace {

constexpr std::uint64_t firstHeartbeatSequence = 1;

void setRequestUnanswered(GateState &state, HeldFlow &flow, bool unanswered)
{
    if (flow.requestUnanswered == unanswered) {
        return;
    }
    flow.requestUnanswered = unanswered;
    state.waitingFlows += unanswered ? 1 : -1;
    state.overdueRequests -= flow.isRequestOverdue ? 1 : 0;
    flow.isRequestOverdue = false;
}

void clearExpectedRequest(GateState &state, HeldFlow &flow)
{
    state.expectedRequests -= flow.firstRequestExpected ? 1 : 0;
    flow.firstRequestExpected = false;
}

// Keeps the flow, as the server still answers its last packets for a while.
void endFlow(GateState &state, HeldFlow &flow)
{
    setRequestUnanswered(state, flow, false);
    clearExpectedRequest(state, flow);
    state.endedFlows += flow.ended ? 0 : 1;
    flow.ended = true;
}

void removeFlow(GateState &state, const FlowKey &key)
{
    const auto found = state.flows.find(key);
    if (found == state.flows.end()) {
        return;
    }
    setRequestUnanswered(state, found->second, false);
    clearExpectedRequest(state, found->second);
    state.endedFlows -= found->second.ended ? 1 : 0;
    state.flows.erase(found);
}

void setIfUnset(TimePoint &since, TimePoint now)
{
    if (since == TimePoint{}) {
        since = now;
    }
}

bool acknowledgesOpening(const HeldFlow &flow, const Segment &segment)
{
    return segment.acknowledgement - flow.serverInitialSequence <= sequenceWindow;
}

// Round trips from an opening packet's delivery after which the first request is no longer expected.
constexpr int maxRoundTripsToRequest = 3;

// Requests that a server may have beyond its slots, and opened flows beyond these, so that no slot stays free
// while a request is on its way: the more slots there are, the more of them end at about the same time.
std::uint32_t workReserve(std::uint32_t slots)
{
    return (slots + 1) / 2;
}

// Requests with which a server is busy whose flows show a single priority, or none.
std::uint32_t busyRequests(const GateState &state)
{
    return state.options.busyRequestsPerSlot * std::max<std::uint32_t>(1, state.lastHeartbeat.slots);
}

GateDecision returnDecision(ReturnReason reason)
{
    return {.action = GateAction::Return, .reason = reason};
}

// Compares the server's start with the agent's by the host's clock, which both read. Returns false if the
// clock was adjusted since the agent's start, as the two times are not comparable then.
bool hasStartedBeforeServer(const GateState &state, TimePoint now, std::chrono::milliseconds timeOfDay)
{
    constexpr std::chrono::milliseconds clockTolerance{50};
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - state.agentStartedAt);
    const auto clockAdjustment = timeOfDay - state.agentStartTimeOfDay - elapsed;
    const std::chrono::milliseconds serverStartTime(
        static_cast<std::int64_t>(state.lastHeartbeat.startTimeMs));
    return std::chrono::abs(clockAdjustment) < clockTolerance
        && serverStartTime > state.agentStartTimeOfDay - state.options.minAgentDowntime;
}

// Whether no server has shown itself since the agent's start.
bool isServerAbsent(const GateState &state, TimePoint now)
{
    return state.lastHeartbeatAt == TimePoint{}
    && now - state.agentStartedAt > state.options.heartbeatTimeout;
}

// True if the server holds no flow that is missing in `flows`: the agent has seen all of them, or there is no
// server.
bool knowsAllFlows(const GateState &state, TimePoint now)
{
    return state.hasSeenServerStart || isServerAbsent(state, now) || state.serverState == BackendState::Gone
        || state.serverState == BackendState::Silent;
}

// A host's clock may be set back between two starts of its server, so the current start may have the earlier
// time. It replaces the other one if it sends a further heartbeat after the other has timed out; a single
// heartbeat may have been delayed in transit.
bool replacesLaterStart(GateState &state, const ServerHeartbeat &heartbeat, TimePoint now)
{
    const bool isNextHeartbeat = heartbeat.startTimeMs == state.earlierStartTimeMs
        && heartbeat.sequence > state.earlierStartSequence;
    state.earlierStartTimeMs = heartbeat.startTimeMs;
    state.earlierStartSequence = heartbeat.sequence;
    return isNextHeartbeat && now - state.lastHeartbeatAt > state.options.heartbeatTimeout;
}

ServiceId currentService(const GateState &state)
{
    return state.lastHeartbeatAt != TimePoint{} ? idOf<ServiceId>(state.lastHeartbeat.service)
                                                : state.options.service;
}

std::chrono::milliseconds effectiveIdleTimeout(const GateState &state)
{
    return state.idleTimeout.value_or(state.options.unstatedIdleTimeout);
}

// Whether a copy of the opening packet has been delivered, and the flow has not ended since.
bool isOpening(const GateState &state, const FlowKey &key)
{
    const auto found = state.flows.find(key);
    return found != state.flows.end() && !found->second.ended
        && (found->second.openingUnanswered || found->second.halfOpen);
}

// Ejects the server if it has reset too many requests in a row, or one while it was on trial.
void recordResetRequest(GateState &state, TimePoint now)
{
    constexpr std::uint32_t maxDoublings = 8;
    const auto &options = state.options;
    state.requestResetAt = now;
    ++state.consecutiveResets;
    if (now < state.ejectedUntil
        || (state.ejections == 0 && state.consecutiveResets < options.maxConsecutiveResets)) {
        return;
    }
    const auto doubled = options.firstEjection * (1 << std::min(state.ejections, maxDoublings));
    state.ejectedUntil = now + std::min<std::chrono::milliseconds>(doubled, options.maxEjection);
    ++state.ejections;
}

// What keeps the server from getting a new flow of the service, if anything.
std::optional<ReturnReason> reasonAgainstOpening(const GateState &state, ServiceId intendedService,
                                                 TimePoint now)
{
    if (intendedService != currentService(state)) {
        return ReturnReason::OtherService;
    }
    if (state.serverState != BackendState::Ready) {
        return ReturnReason::NotReady;
    }
    if (!hasColdCapacity(state, now)) {
        return ReturnReason::Cold;
    }
    return {};
}

GateDecision deliverOpening(GateState &state, const FlowKey &key, const RouteTerms &terms, TimePoint now)
{
    while (!state.recentOpenings.empty()
           && now - state.recentOpenings.front() >= state.options.coldRateWindow) {
        state.recentOpenings.pop_front();
    }
    if (state.coldFlowsPerSecond != noColdLimit) {
        state.recentOpenings.push_back(now);
    }
    state.lostFlows.erase(key);
    const auto [found, isNew] = state.flows.try_emplace(key);
    auto &flow = found->second;
    const bool isReopened = flow.ended;
    if (isReopened) {
        --state.endedFlows;
        flow = {};
    }
    if ((isNew || isReopened) && !flow.firstRequestExpected) {
        flow.firstRequestExpected = true;
        ++state.expectedRequests;
        state.openedFlows.emplace_back(now, key);
    }
    if (!flow.openingUnanswered) {
        flow.openingDeliveredAt = now;
    }
    flow.callerDueSince = {};
    // A late copy for an open flow changes nothing, whatever the server answers.
    flow.openingUnanswered = !flow.halfOpen && !flow.isOpen;
    flow.lastPacketAt = now;
    if (terms != RouteTerms{}) {
        flow.terms = terms;
    }
    setIfUnset(state.unansweredOpeningSince, now);
    return {.action = GateAction::Deliver};
}

GateDecision admitOpening(GateState &state, const Segment &segment, ServiceId intendedService, TimePoint now,
                          bool mayReturnBusy, const RouteTerms &terms)
{
    if (const auto reason = reasonAgainstOpening(state, intendedService, now)) {
        return returnDecision(*reason);
    }
    const auto key = flowFromCaller(segment);
    if (isOpening(state, key)) {
        return deliverOpening(state, key, terms, now);
    }
    const bool isAtRisk = terms != RouteTerms{} && !terms.isRepeatable && isUnreliable(state, now);
    if (mayReturnBusy && (isAtRisk || isFailing(state, now))) {
        return returnDecision(ReturnReason::Busy);
    }
    const bool scheduling = isScheduling(state, now);
    if (!isBusy(state, now) && !(scheduling && hasLiveWork(state.schedule))) {
        return deliverOpening(state, key, terms, now);
    }
    if (!mayReturnBusy) {
        return {.action = GateAction::Queue};
    }
    if (!scheduling) {
        return returnDecision(ReturnReason::Busy);
    }
    // An urgent opening packet that will be among the next starts is not worth another balancer's round trip.
    const WaitingWork opening{.flow = key,
                              .isOpening = true,
                              .terms = terms,
                              .queuedAt = now,
                              .waitedBefore = waitBeforeCopy(segment.acknowledgement)};
    const auto ahead
        = workAhead(state.schedule, state.options.schedule, currentPace(state, now), opening, now);
    return pendingRequests(state, now) + ahead >= busyRequests(state)
        ? returnDecision(ReturnReason::Busy)
        : GateDecision{.action = GateAction::Queue};
}

// Records a packet of the caller. It owes the next one if the flow has had no request yet.
void recordCallerPacket(HeldFlow &flow, const Segment &segment, TimePoint now)
{
    flow.hasRequested |= segment.payloadSize > 0;
    flow.callerDueSince = flow.hasRequested ? TimePoint{} : now;
}

void startRequest(GateState &state, HeldFlow &flow, TimePoint now)
{
    clearExpectedRequest(state, flow);
    if (!flow.requestUnanswered) {
        flow.requestStartedAt = now;
        setRequestUnanswered(state, flow, true);
        flow.requestsAtStart
            = static_cast<std::uint16_t>(std::min<std::uint32_t>(state.waitingFlows, UINT16_MAX));
    }
    setIfUnset(state.unansweredPayloadSince, now);
}

// Updates the flow for a caller's packet that is delivered.
void recordDelivery(GateState &state, HeldFlow &flow, const Segment &segment, TimePoint now)
{
    flow.callerClosed |= segment.fin;
    if (segment.rst || segment.payloadSize > 0) {
        observeLoad(state.capacity, state.waitingFlows, now);
    }
    if (segment.payloadSize > 0 && !flow.ended) {
        startRequest(state, flow, now);
    }
    if (segment.rst || (flow.callerClosed && flow.serverClosed)) {
        endFlow(state, flow);
    }
}

// Whether a caller's packet waits behind the request of its flow, or starts one that waits.
bool mustHold(GateState &state, const HeldFlow &flow, const Segment &segment, TimePoint now)
{
    if (flow.isRequestHeld) {
        return !segment.rst && (segment.payloadSize > 0 || segment.fin);
    }
    if (segment.payloadSize == 0 || segment.rst || flow.ended || flow.requestUnanswered) {
        return false;
    }
    // Updates `firstRequestExpected`.
    pendingRequests(state, now);
    return !flow.firstRequestExpected && flow.terms != RouteTerms{} && isScheduling(state, now)
        && state.serverState == BackendState::Ready && !isFailing(state, now)
        && (isBusy(state, now) || hasLiveWork(state.schedule))
        && hasSpaceForRequest(state.schedule, state.options.schedule);
}

// Learns the usual work from an answer. A request that starts while others use all slots waits for one of
// them within the server.
void learnUsualWork(GateState &state, const HeldFlow &flow, Duration answer, TimePoint now)
{
    constexpr int weight = 8; // Answers that the mean follows.
    constexpr int maxFactor = 4; // Bounds the effect of a single long request, and of a stall of the agent.
    const auto slots = concurrencyLimit(state);
    auto sample = answer * slots / std::max<std::uint32_t>(slots, flow.requestsAtStart);
    if (state.usualWork > Duration::zero()) {
        sample = std::min(sample, state.usualWork * maxFactor);
        state.usualWork += (sample - state.usualWork) / weight;
    } else {
        state.usualWork = sample;
    }
    state.usualWorkAt = now;
}

} // namespace

std::string_view toString(HeartbeatOutcome outcome)
{
    switch (outcome) {
    case HeartbeatOutcome::Accepted:
        return "taken";
    case HeartbeatOutcome::First:
        return "first";
    case HeartbeatOutcome::Restarted:
        return "new_start";
    case HeartbeatOutcome::StateChanged:
        return "changed";
    case HeartbeatOutcome::OtherService:
        return "other_service";
    case HeartbeatOutcome::Stale:
        return "outdated";
    }
    return "unknown";
}

std::uint32_t pendingRequests(GateState &state, TimePoint now)
{
    auto &opened = state.openedFlows;
    while (!opened.empty() && now - opened.front().first >= state.options.firstRequestTimeout) {
        const auto found = state.flows.find(opened.front().second);
        if (found != state.flows.end()) {
            clearExpectedRequest(state, found->second);
        }
        opened.pop_front();
    }
    return state.waitingFlows + state.expectedRequests;
}

std::uint32_t concurrencyLimit(const GateState &state)
{
    return std::max<std::uint32_t>(1, state.lastHeartbeat.slots);
}

std::uint32_t workLimit(const GateState &state)
{
    return concurrencyLimit(state) + workReserve(concurrencyLimit(state));
}

SchedulePace currentPace(const GateState &state, TimePoint now)
{
    if (state.usualWork <= Duration::zero() || now - state.usualWorkAt > state.options.paceRetention) {
        return {};
    }
    return {.usualWork = state.usualWork,
            .answersPerSecond
            = concurrencyLimit(state) / std::chrono::duration<double>(state.usualWork).count()};
}

bool isScheduling(const GateState &state, TimePoint now)
{
    return std::count_if(state.priorityShownAt.begin(), state.priorityShownAt.end(),
                         [&](TimePoint shownAt) {
                             return shownAt != TimePoint{} && now - shownAt < state.options.priorityRetention;
                         })
        > 1;
}

bool isBusy(GateState &state, TimePoint now)
{
    const auto pending = pendingRequests(state, now);
    if (!isScheduling(state, now)) {
        return pending >= busyRequests(state);
    }
    // An opened flow takes a place for a few round trips only: under load many callers have given up by the
    // time their opening packet is delivered.
    const auto expectedSince = now - Duration(state.options.schedule.roundTrip) * maxRoundTripsToRequest;
    const auto recent = std::count_if(state.openedFlows.rbegin(), state.openedFlows.rend(),
                                      [&](const auto &opened) { return opened.first >= expectedSince; });
    const auto expected = std::min(state.expectedRequests, static_cast<std::uint32_t>(recent));
    const auto running = state.waitingFlows - std::min(state.waitingFlows, state.overdueRequests);
    const auto limit = workLimit(state);
    return running >= limit || running + expected >= limit + workReserve(concurrencyLimit(state));
}

void markOverdueRequests(GateState &state, TimePoint now)
{
    const auto limit
        = std::max<Duration>(state.options.overdueTime, state.usualWork * state.options.overdueWorkTimes);
    for (auto &[key, flow] : state.flows) {
        if (flow.requestUnanswered && !flow.isRequestOverdue && now - flow.requestStartedAt > limit) {
            flow.isRequestOverdue = true;
            ++state.overdueRequests;
        }
    }
}

bool isCallerSilent(const GateOptions &options, const HeldFlow &flow, TimePoint now)
{
    if (flow.ended) {
        return false;
    }
    if (flow.requestUnanswered) {
        // Times in a packet's terms are rounded down by at most the square root of 2.
        const auto limit = flow.terms.timeLimit * 3 / 2;
        return limit > std::chrono::milliseconds::zero() && now - flow.requestStartedAt > limit;
    }
    return flow.callerDueSince != TimePoint{} && now - flow.callerDueSince > options.callerResponseTimeout;
}

void countSilentFlows(GateState &state, TimePoint now)
{
    state.silentFlows = static_cast<std::uint32_t>(
        std::count_if(state.flows.begin(), state.flows.end(),
                      [&](const auto &entry) { return isCallerSilent(state.options, entry.second, now); }));
}

bool isFailing(GateState &state, TimePoint now)
{
    if (state.ejections == 0) {
        return false;
    }
    return now < state.ejectedUntil || pendingRequests(state, now) > 0;
}

bool isUnreliable(const GateState &state, TimePoint now)
{
    return state.requestResetAt != TimePoint{} && now - state.requestResetAt < state.options.unreliableTime;
}

const ServerCapacity &learnedCapacity(const GateState &state)
{
    return state.capacity.estimate;
}

void updateCapacity(GateState &state, TimePoint now)
{
    observeLoad(state.capacity, state.waitingFlows, now);
}

GateDecision admitQueued(GateState &state, const WaitingWork &opening, TimePoint now)
{
    if (const auto reason = reasonAgainstOpening(state, opening.intendedService, now)) {
        return returnDecision(*reason);
    }
    return deliverOpening(state, opening.flow, opening.terms, now);
}

GateDecision admit(GateState &state, const Segment &segment, ServiceId intendedService, TimePoint now,
                   bool mayReturnBusy, const RouteTerms &terms)
{
    if (segment.returned || (segment.syn && segment.ack)) {
        return {};
    }
    const bool hasTerms = terms != RouteTerms{};
    if (hasTerms) {
        state.priorityShownAt[std::min(terms.priority, lowestPriority)] = now;
    }
    if (segment.opens()) {
        ++state.openings;
        return admitOpening(state, segment, intendedService, now, mayReturnBusy, terms);
    }
    const auto key = flowFromCaller(segment);
    const auto found = state.flows.find(key);
    if (found == state.flows.end()) {
        if (state.lostFlows.contains(key)) {
            return returnDecision(ReturnReason::Ended);
        }
        if (knowsAllFlows(state, now)) {
            return returnDecision(ReturnReason::NotHeld);
        }
        if (segment.payloadSize > 0) {
            setIfUnset(state.unansweredPayloadSince, now);
        }
        return {.action = GateAction::Deliver};
    }
    auto &flow = found->second;
    if (flow.halfOpen && segment.ack && !acknowledgesOpening(flow, segment)) {
        return returnDecision(ReturnReason::NotHeld);
    }
    flow.isOpen |= flow.halfOpen && segment.ack;
    flow.halfOpen = false;
    flow.openingUnanswered = false;
    flow.lastPacketAt = now;
    flow.lastCallerAcknowledgement = segment.acknowledgement;
    recordCallerPacket(flow, segment, now);
    if (hasTerms) {
        flow.terms = terms;
    }
    if (mustHold(state, flow, segment, now)) {
        flow.isRequestHeld = true;
        return {.action = GateAction::Hold};
    }
    recordDelivery(state, flow, segment, now);
    return {.action = GateAction::Deliver};
}

void recordRelease(GateState &state, const Segment &segment, TimePoint now)
{
    const auto found = state.flows.find(flowFromCaller(segment));
    if (found == state.flows.end()) {
        return;
    }
    found->second.isRequestHeld = false;
    found->second.lastPacketAt = now;
    recordDelivery(state, found->second, segment, now);
}

bool dropHeldRequest(GateState &state, const FlowKey &flow, WaitingWork &out)
{
    const auto found = state.flows.find(flow);
    if (found == state.flows.end() || !found->second.isRequestHeld) {
        return false;
    }
    found->second.isRequestHeld = false;
    return takeRequest(state.schedule, flow, out);
}

bool dropLostRequest(GateState &state, TimePoint now, WaitingWork &out)
{
    if (!takeLostRequest(state.schedule, now, out)) {
        return false;
    }
    const auto found = state.flows.find(out.flow);
    if (found != state.flows.end()) {
        found->second.isRequestHeld = false;
    }
    return true;
}

ServerCapacity reportedCapacity(const GateState &state, TimePoint now)
{
    const auto &schedule = state.schedule;
    auto capacity = learnedCapacity(state);
    capacity.queuedOpenings = static_cast<std::uint16_t>(schedule.work.size() - schedule.requests);
    capacity.queuedRequests = static_cast<std::uint16_t>(schedule.requests);
    capacity.openings = state.openings;
    for (const auto &work : schedule.work) {
        if (work.isAbandoned) {
            continue;
        }
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(now - work.queuedAt);
        capacity.longestWait = std::max(capacity.longestWait, wait);
    }
    return capacity;
}

ServerLatencies recordServerPacket(GateState &state, const Segment &segment, TimePoint now)
{
    state.unansweredOpeningSince = {};
    state.unansweredPayloadSince = {};
    if (segment.rst || segment.payloadSize > 0) {
        observeLoad(state.capacity, state.waitingFlows, now);
    }
    ServerLatencies latencies;
    const auto key = flowFromServer(segment);
    const auto found = state.flows.find(key);
    if (segment.rst) {
        if (found != state.flows.end()) {
            if (found->second.requestUnanswered) {
                recordResetRequest(state, now);
            }
            endFlow(state, found->second);
        }
        return latencies;
    }
    // A late acknowledgement of an ended flow must not create a new one.
    if (found == state.flows.end() && segment.payloadSize == 0 && !segment.syn) {
        return latencies;
    }
    auto &flow = found == state.flows.end() ? state.flows[key] : found->second;
    flow.lastPacketAt = now;
    if (segment.syn || segment.fin || segment.payloadSize > 0) {
        setIfUnset(flow.callerDueSince, now);
    }
    if (segment.syn && segment.ack) {
        if (flow.openingUnanswered) {
            latencies.opening = now - flow.openingDeliveredAt;
        }
        // The server repeats its answer for a late copy of the opening packet of an open flow.
        flow.isOpen &= segment.sequence == flow.serverInitialSequence;
        flow.halfOpen = !flow.isOpen;
        flow.openingUnanswered = false;
        flow.serverInitialSequence = segment.sequence;
    }
    if (segment.payloadSize > 0) {
        if (flow.requestUnanswered) {
            latencies.answer = now - flow.requestStartedAt;
            learnUsualWork(state, flow, *latencies.answer, now);
            recordAnswer(state.capacity, flow.requestsAtStart, *latencies.answer, now);
            state.consecutiveResets = 0;
            state.ejections = 0;
        }
        setRequestUnanswered(state, flow, false);
    }
    flow.serverClosed |= segment.fin;
    if (flow.callerClosed && flow.serverClosed) {
        endFlow(state, flow);
    }
    return latencies;
}

ReturnReason recordReturnedPacket(GateState &state, const Segment &segment)
{
    state.unansweredOpeningSince = {};
    state.unansweredPayloadSince = {};
    const auto key = flowFromCaller(segment);
    const auto found = state.flows.find(key);
    if (segment.opens()) {
        if (found != state.flows.end() && found->second.openingUnanswered) {
            removeFlow(state, key);
        }
        return ReturnReason::Full;
    }
    removeFlow(state, key);
    return ReturnReason::NotHeld;
}

std::vector<FlowReset> removeAllFlows(GateState &state, TimePoint now)
{
    observeLoad(state.capacity, state.waitingFlows, now);
    std::vector<FlowReset> resets;
    for (const auto &[key, flow] : state.flows) {
        // A caller that has not acknowledged this server's SYN+ACK may have opened the flow at another
        // server.
        if (!flow.ended && !flow.halfOpen && !flow.openingUnanswered) {
            resets.push_back({.flow = key, .sequence = flow.lastCallerAcknowledgement});
            state.lostFlows[key] = now;
        }
    }
    state.flows.clear();
    state.openedFlows.clear();
    state.waitingFlows = 0;
    state.endedFlows = 0;
    state.silentFlows = 0;
    state.expectedRequests = 0;
    state.overdueRequests = 0;
    return resets;
}

HeartbeatOutcome applyHeartbeat(GateState &state, ServerHeartbeat heartbeat, TimePoint now,
                                std::chrono::milliseconds timeOfDay)
{
    if (state.options.service && idOf<ServiceId>(heartbeat.service) != state.options.service) {
        return HeartbeatOutcome::OtherService;
    }
    const auto &last = state.lastHeartbeat;
    const bool hasHeartbeat = state.lastHeartbeatAt != TimePoint{};
    const bool isNewStart = !hasHeartbeat || heartbeat.startTimeMs != last.startTimeMs;
    if (hasHeartbeat && heartbeat.startTimeMs < last.startTimeMs
        && !replacesLaterStart(state, heartbeat, now)) {
        return HeartbeatOutcome::Stale;
    }
    if (hasHeartbeat && !isNewStart && heartbeat.sequence <= last.sequence) {
        return HeartbeatOutcome::Stale;
    }
    if (hasHeartbeat && !isNewStart && state.serverState == BackendState::Gone) {
        return HeartbeatOutcome::Stale;
    }
    const auto previousState = state.serverState;
    state.serverState = heartbeat.draining ? BackendState::Draining : BackendState::Ready;
    state.coldUntil = now + heartbeat.coldLeft;
    state.lastHeartbeatAt = now;
    state.unansweredOpeningSince = {};
    state.unansweredPayloadSince = {};
    state.lastHeartbeat = std::move(heartbeat);
    updateCapacity(state, now);
    applyServerStart(state.capacity, state.lastHeartbeat.startTimeMs, state.lastHeartbeat.slots, now);
    if (state.coldUntil > now) {
        excludeUntil(state.capacity, state.coldUntil);
    }
    if (isNewStart) {
        state.consecutiveResets = 0;
        state.ejections = 0;
        state.requestResetAt = {};
        state.priorityShownAt = {};
        state.usualWork = Duration::zero();
        state.hasSeenServerStart = hasHeartbeat || state.lastHeartbeat.sequence == firstHeartbeatSequence
            || hasStartedBeforeServer(state, now, timeOfDay);
        state.serverStartSeenAt = state.hasSeenServerStart ? now : TimePoint{};
        return hasHeartbeat ? HeartbeatOutcome::Restarted : HeartbeatOutcome::First;
    }
    return previousState == state.serverState ? HeartbeatOutcome::Accepted : HeartbeatOutcome::StateChanged;
}

bool applyDeparture(GateState &state, std::string_view id)
{
    if (state.lastHeartbeatAt != TimePoint{} && state.lastHeartbeat.id != id) {
        return false;
    }
    state.serverState = BackendState::Gone;
    return true;
}

bool isSuspect(const GateState &state, TimePoint now)
{
    if (state.serverState == BackendState::Gone || state.serverState == BackendState::Silent) {
        return false;
    }
    const auto &options = state.options;
    const auto hasExpired = [now](TimePoint since, std::chrono::milliseconds limit) {
        return since != TimePoint{} && now - since > limit;
    };
    return hasExpired(state.unansweredOpeningSince, options.openingTimeout)
        || hasExpired(state.unansweredPayloadSince, options.requestTimeout)
        || hasExpired(state.lastHeartbeatAt, options.heartbeatTimeout);
}

void recordProbe(GateState &state, bool accepted)
{
    state.unansweredOpeningSince = {};
    state.unansweredPayloadSince = {};
    if (accepted) {
        return;
    }
    state.serverState = BackendState::Silent;
}

bool hasColdCapacity(const GateState &state, TimePoint now)
{
    if (now >= state.coldUntil || state.coldFlowsPerSecond == noColdLimit) {
        return true;
    }
    // An agent that has just started does not know which flows an earlier agent delivered.
    if (now - state.agentStartedAt < state.options.coldRateWindow && state.lastHeartbeat.sequence > 1) {
        return false;
    }
    const auto recentOpenings
        = std::count_if(state.recentOpenings.begin(), state.recentOpenings.end(),
                        [&](TimePoint opening) { return now - opening < state.options.coldRateWindow; });
    const auto limit = std::max(std::min(1U, state.coldFlowsPerSecond),
                                state.coldFlowsPerSecond
                                    - std::min(state.options.reservedColdFlows, state.coldFlowsPerSecond));
    return static_cast<std::uint32_t>(recentOpenings) < limit;
}

void recordNote(GateState &state, const FlowKey &flow, const IpAddress &holder, TimePoint now)
{
    if (state.notes.size() >= state.options.maxNotes && !state.notes.contains(flow)) {
        return;
    }
    state.notes[flow] = {.holder = holder, .recordedAt = now};
}

const IpAddress *notedHolder(const GateState &state, const FlowKey &flow)
{
    const auto found = state.notes.find(flow);
    return found == state.notes.end() ? nullptr : &found->second.holder;
}

void applyLimits(GateState &state, const std::vector<FlowLimits> &stated)
{
    if (stated.empty()) {
        return;
    }
    state.coldFlowsPerSecond = noColdLimit;
    state.idleTimeout = std::chrono::milliseconds::zero();
    for (const auto &limits : stated) {
        const bool statesIdleLimit = limits.idleLimit > std::chrono::milliseconds::zero();
        state.coldFlowsPerSecond = std::min(state.coldFlowsPerSecond, limits.coldFlowsPerSecond);
        state.idleTimeout = std::max(*state.idleTimeout,
                                     statesIdleLimit ? limits.idleLimit : state.options.defaultIdleTimeout);
    }
}

std::size_t expireEntries(GateState &state, TimePoint now)
{
    std::erase_if(state.lostFlows,
                  [&](const auto &entry) { return now - entry.second > state.options.noteRetention; });
    std::erase_if(state.notes, [&](const auto &entry) {
        return now - entry.second.recordedAt > state.options.noteRetention;
    });
    updateCapacity(state, now);
    for (auto &[key, flow] : state.flows) {
        if (flow.requestUnanswered && now - flow.requestStartedAt > state.options.maxRequestTime) {
            setRequestUnanswered(state, flow, false);
        }
    }
    std::size_t forgotten = 0;
    std::erase_if(state.flows, [&](const auto &entry) {
        const auto &flow = entry.second;
        // Twice the timeout, as the server may keep an idle flow for longer than required.
        const auto retention
            = flow.ended ? state.options.endedFlowRetention : 2 * effectiveIdleTimeout(state);
        const bool expired = !flow.isRequestHeld && now - flow.lastPacketAt > retention;
        state.waitingFlows -= expired && flow.requestUnanswered ? 1 : 0;
        state.overdueRequests -= expired && flow.isRequestOverdue ? 1 : 0;
        state.endedFlows -= expired && flow.ended ? 1 : 0;
        state.expectedRequests -= expired && flow.firstRequestExpected ? 1 : 0;
        forgotten += expired && !flow.ended ? 1 : 0;
        return expired;
    });
    return forgotten;
}

std::optional<ServerFlows> listFlows(const GateState &state, TimePoint now)
{
    const bool hasServer = state.lastHeartbeatAt != TimePoint{}
        && (state.serverState == BackendState::Ready || state.serverState == BackendState::Draining);
    // The flows that were idle when the agent started have sent a packet or ended by then.
    const bool knowsMostFlows
        = state.hasSeenServerStart || now - state.agentStartedAt > effectiveIdleTimeout(state);
    if (!hasServer || !knowsMostFlows) {
        return {};
    }
    std::vector<std::pair<TimePoint, FlowReset>> flows;
    for (const auto &[key, flow] : state.flows) {
        if (flow.ended || flow.halfOpen || flow.openingUnanswered || flow.callerClosed) {
            continue;
        }
        flows.push_back({flow.lastPacketAt, {.flow = key, .sequence = flow.lastCallerAcknowledgement}});
    }
    const auto count = std::min(flows.size(), maxListedFlows);
    std::partial_sort(flows.begin(), flows.begin() + static_cast<std::ptrdiff_t>(count), flows.end(),
                      [](const auto &a, const auto &b) { return a.first > b.first; });
    ServerFlows list{.bornAt = state.lastHeartbeat.startTimeMs};
    for (std::size_t i = 0; i < count; ++i) {
        list.flows.push_back(flows[i].second);
    }
    return list;
}

Report makeReport(GateState &state, std::uint64_t lifetime, TimePoint now, bool withFlows)
{
    updateCapacity(state, now);
    countSilentFlows(state, now);
    const bool hasHeartbeat = state.lastHeartbeatAt != TimePoint{};
    std::optional<FlowFilter> heldFlowFilter;
    if (withFlows && (state.hasSeenServerStart || isServerAbsent(state, now))) {
        heldFlowFilter.emplace();
        for (const auto &[key, flow] : state.flows) {
            heldFlowFilter->add(hashFlow(key));
        }
    }
    const auto coldLeft = std::chrono::duration_cast<std::chrono::milliseconds>(state.coldUntil - now);
    return {
        .lifetime = lifetime,
        .service = currentService(state),
        .zone = hasHeartbeat ? idOf<ZoneId>(state.lastHeartbeat.zone) : state.options.zone,
        .state = state.serverState,
        .slots = hasHeartbeat ? state.lastHeartbeat.slots : std::uint16_t{1},
        .flows = static_cast<std::uint32_t>(state.flows.size()) - state.endedFlows - state.silentFlows,
        .waiting = pendingRequests(state, now) + static_cast<std::uint32_t>(state.schedule.work.size()),
        .coldLeft = std::max(coldLeft, std::chrono::milliseconds::zero()),
        .bornAt = state.lastHeartbeat.startTimeMs,
        .isFailing = isFailing(state, now),
        .isUnreliable = isUnreliable(state, now),
        .documents = state.documents,
        .capacity = reportedCapacity(state, now),
        .heldFlowFilter = heldFlowFilter,
    };
}

} // namespace oriolelever
