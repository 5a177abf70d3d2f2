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
}

// Keeps the flow, as the server still answers its last packets for a while.
void endFlow(GateState &state, HeldFlow &flow)
{
    setRequestUnanswered(state, flow, false);
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

// True if the server holds no flow that is missing in `flows`: the agent has seen all of them, or there is no
// server.
bool knowsAllFlows(const GateState &state, TimePoint now)
{
    const bool isServerAbsent
        = state.lastHeartbeatAt == TimePoint{} && now - state.agentStartedAt > state.options.heartbeatTimeout;
    return state.hasSeenServerStart || isServerAbsent || state.serverState == BackendState::Gone
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

GateDecision admitOpening(GateState &state, const Segment &segment, ServiceId intendedService, TimePoint now)
{
    if (intendedService != currentService(state)) {
        return returnDecision(ReturnReason::OtherService);
    }
    if (state.serverState != BackendState::Ready) {
        return returnDecision(ReturnReason::NotReady);
    }
    if (!hasColdCapacity(state, now)) {
        return returnDecision(ReturnReason::Cold);
    }
    state.recentOpenings[state.nextOpeningIndex] = now;
    state.nextOpeningIndex = (state.nextOpeningIndex + 1) % state.recentOpenings.size();
    state.lostFlows.erase(flowFromCaller(segment));
    auto &flow = state.flows[flowFromCaller(segment)];
    if (flow.ended) {
        --state.endedFlows;
        flow = {};
    }
    if (!flow.openingUnanswered) {
        flow.openingDeliveredAt = now;
    }
    flow.openingUnanswered = !flow.halfOpen;
    flow.lastPacketAt = now;
    setIfUnset(state.unansweredOpeningSince, now);
    return {.action = GateAction::Deliver};
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
    case HeartbeatOutcome::Stale:
        return "outdated";
    }
    return "unknown";
}

GateDecision admit(GateState &state, const Segment &segment, ServiceId intendedService, TimePoint now)
{
    if (segment.returned || (segment.syn && segment.ack)) {
        return {};
    }
    if (segment.opens()) {
        return admitOpening(state, segment, intendedService, now);
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
    flow.halfOpen = false;
    flow.openingUnanswered = false;
    flow.lastPacketAt = now;
    flow.lastCallerAcknowledgement = segment.acknowledgement;
    flow.callerClosed |= segment.fin;
    if (segment.payloadSize > 0 && !flow.ended) {
        if (!flow.requestUnanswered) {
            flow.requestStartedAt = now;
        }
        setRequestUnanswered(state, flow, true);
        setIfUnset(state.unansweredPayloadSince, now);
    }
    if (segment.rst || (flow.callerClosed && flow.serverClosed)) {
        endFlow(state, flow);
    }
    return {.action = GateAction::Deliver};
}

ServerLatencies recordServerPacket(GateState &state, const Segment &segment, TimePoint now)
{
    state.unansweredOpeningSince = {};
    state.unansweredPayloadSince = {};
    ServerLatencies latencies;
    const auto key = flowFromServer(segment);
    const auto found = state.flows.find(key);
    if (segment.rst) {
        if (found != state.flows.end()) {
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
    if (segment.syn && segment.ack) {
        if (flow.openingUnanswered) {
            latencies.opening = now - flow.openingDeliveredAt;
        }
        flow.halfOpen = true;
        flow.openingUnanswered = false;
        flow.serverInitialSequence = segment.sequence;
    }
    if (segment.payloadSize > 0) {
        if (flow.requestUnanswered) {
            latencies.answer = now - flow.requestStartedAt;
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
    state.waitingFlows = 0;
    state.endedFlows = 0;
    return resets;
}

HeartbeatOutcome applyHeartbeat(GateState &state, ServerHeartbeat heartbeat, TimePoint now,
                                std::chrono::milliseconds timeOfDay)
{
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
    if (isNewStart) {
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
    const auto recentOpeningCount
        = std::count_if(state.recentOpenings.begin(), state.recentOpenings.end(), [&](TimePoint opening) {
              return opening != TimePoint{} && now - opening < state.options.coldRateWindow;
          });
    return static_cast<std::uint32_t>(recentOpeningCount) + state.options.reservedColdFlows
        < state.coldFlowsPerSecond;
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

void expireEntries(GateState &state, TimePoint now)
{
    std::erase_if(state.lostFlows,
                  [&](const auto &entry) { return now - entry.second > state.options.noteRetention; });
    std::erase_if(state.notes, [&](const auto &entry) {
        return now - entry.second.recordedAt > state.options.noteRetention;
    });
    const auto effectiveIdleTimeout = state.idleTimeout > std::chrono::milliseconds::zero()
        ? state.idleTimeout
        : state.options.defaultIdleTimeout;
    std::erase_if(state.flows, [&](const auto &entry) {
        const auto &flow = entry.second;
        // Twice the timeout, as the server may keep an idle flow for longer than required.
        const auto retention = flow.ended ? state.options.endedFlowRetention : 2 * effectiveIdleTimeout;
        const bool expired = now - flow.lastPacketAt > retention;
        state.waitingFlows -= expired && flow.requestUnanswered ? 1 : 0;
        state.endedFlows -= expired && flow.ended ? 1 : 0;
        return expired;
    });
}

Report makeReport(const GateState &state, std::uint64_t lifetime, TimePoint now)
{
    const bool hasHeartbeat = state.lastHeartbeatAt != TimePoint{};
    const bool holdsFlows
        = state.serverState == BackendState::Ready || state.serverState == BackendState::Draining;
    std::optional<FlowFilter> heldFlowFilter;
    if (state.hasSeenServerStart && holdsFlows
        && now - state.serverStartSeenAt < state.options.flowFilterDuration) {
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
        .flows = static_cast<std::uint32_t>(state.flows.size()) - state.endedFlows,
        .waiting = state.waitingFlows,
        .coldLeft = std::max(coldLeft, std::chrono::milliseconds::zero()),
        .bornAt = state.lastHeartbeat.startTimeMs,
        .heldFlowFilter = heldFlowFilter,
    };
}

} // namespace oriolelever
