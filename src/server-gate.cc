#include "oriolelever/server-gate.h"

#include <algorithm>

namespace oriolelever {

namespace {

constexpr std::uint64_t firstSequence = 1; ///< Of a server's first heartbeat.

void setWaiting(GateState &state, HeldFlow &flow, bool waiting)
{
    if (flow.waiting == waiting) {
        return;
    }
    flow.waiting = waiting;
    state.waiting += waiting ? 1 : -1;
}

// The server answers the last packets of an ended flow for a while.
void end(GateState &state, HeldFlow &flow)
{
    setWaiting(state, flow, false);
    state.ended += flow.ended ? 0 : 1;
    flow.ended = true;
}

void forget(GateState &state, const FlowKey &key)
{
    const auto found = state.flows.find(key);
    if (found == state.flows.end()) {
        return;
    }
    setWaiting(state, found->second, false);
    state.ended -= found->second.ended ? 1 : 0;
    state.flows.erase(found);
}

void noteSince(TimePoint &since, TimePoint now)
{
    if (since == TimePoint{}) {
        since = now;
    }
}

bool acknowledgesOpening(const HeldFlow &flow, const Segment &segment)
{
    return segment.acknowledgement - flow.initialSequence <= sequenceWindow;
}

GateDecision giveBack(ReturnReason reason)
{
    return {.act = GateAct::Return, .reason = reason};
}

// Compares the server's start with the agent's by the clock that both read. A clock that was set in between
// tells nothing.
bool startedBeforeServer(const GateState &state, TimePoint now, std::chrono::milliseconds timeOfDay)
{
    constexpr std::chrono::milliseconds clockTolerance{50};
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - state.started);
    const auto drift = timeOfDay - state.startedAt - elapsed;
    const std::chrono::milliseconds born(static_cast<std::int64_t>(state.heartbeat.bornAt));
    return std::chrono::abs(drift) < clockTolerance && born > state.startedAt - state.options.restartTime;
}

// A flow that the agent does not know is not the server's either: the agent has seen all of them, or there is
// no server.
bool knowsAllFlows(const GateState &state, TimePoint now)
{
    const bool neverHeard = state.heard == TimePoint{} && now - state.started > state.options.heartbeatLimit;
    return state.sawStart || neverHeard || state.server == BackendState::Gone
        || state.server == BackendState::Silent;
}

// A host's clock may be set back between two starts of its server. The one that goes on calling while the
// other has fallen silent is the present one; a single call may have been delayed on its way.
bool replacesLaterStart(GateState &state, const ServerHeartbeat &heartbeat, TimePoint now)
{
    const bool goesOn = heartbeat.bornAt == state.earlierBornAt && heartbeat.sequence > state.earlierSequence;
    state.earlierBornAt = heartbeat.bornAt;
    state.earlierSequence = heartbeat.sequence;
    return goesOn && now - state.heard > state.options.heartbeatLimit;
}

ServiceId currentService(const GateState &state)
{
    return state.heard != TimePoint{} ? idOf<ServiceId>(state.heartbeat.service) : state.options.service;
}

GateDecision admitOpening(GateState &state, const Segment &segment, ServiceId meant, TimePoint now)
{
    if (meant != currentService(state)) {
        return giveBack(ReturnReason::OtherService);
    }
    if (state.server != BackendState::Ready) {
        return giveBack(ReturnReason::NotReady);
    }
    if (!hasColdRoom(state, now)) {
        return giveBack(ReturnReason::Cold);
    }
    state.openings[state.nextOpening] = now;
    state.nextOpening = (state.nextOpening + 1) % state.openings.size();
    state.lost.erase(flowFromCaller(segment));
    auto &flow = state.flows[flowFromCaller(segment)];
    if (flow.ended) {
        --state.ended;
        flow = {};
    }
    if (!flow.opening) {
        flow.openingSince = now;
    }
    flow.opening = !flow.halfOpen;
    flow.lastPacket = now;
    noteSince(state.unansweredOpening, now);
    return {.act = GateAct::Deliver};
}

} // namespace

std::string_view toString(HeartbeatOutcome outcome)
{
    switch (outcome) {
    case HeartbeatOutcome::Taken:
        return "taken";
    case HeartbeatOutcome::First:
        return "first";
    case HeartbeatOutcome::NewStart:
        return "new_start";
    case HeartbeatOutcome::Changed:
        return "changed";
    case HeartbeatOutcome::Outdated:
        return "outdated";
    }
    return "unknown";
}

GateDecision admit(GateState &state, const Segment &segment, ServiceId meant, TimePoint now)
{
    if (segment.returned || (segment.syn && segment.ack)) {
        return {};
    }
    if (segment.opens()) {
        return admitOpening(state, segment, meant, now);
    }
    const auto key = flowFromCaller(segment);
    const auto found = state.flows.find(key);
    if (found == state.flows.end()) {
        if (state.lost.contains(key)) {
            return giveBack(ReturnReason::Ended);
        }
        if (knowsAllFlows(state, now)) {
            return giveBack(ReturnReason::NotHeld);
        }
        if (segment.payloadSize > 0) {
            noteSince(state.unansweredPayload, now);
        }
        return {.act = GateAct::Deliver};
    }
    auto &flow = found->second;
    if (flow.halfOpen && segment.ack && !acknowledgesOpening(flow, segment)) {
        return giveBack(ReturnReason::NotHeld);
    }
    flow.halfOpen = false;
    flow.opening = false;
    flow.lastPacket = now;
    flow.lastAcknowledgement = segment.acknowledgement;
    flow.callerEnded |= segment.fin;
    if (segment.payloadSize > 0 && !flow.ended) {
        if (!flow.waiting) {
            flow.waitingSince = now;
        }
        setWaiting(state, flow, true);
        noteSince(state.unansweredPayload, now);
    }
    if (segment.rst || (flow.callerEnded && flow.serverEnded)) {
        end(state, flow);
    }
    return {.act = GateAct::Deliver};
}

ServerTimes noteServerPacket(GateState &state, const Segment &segment, TimePoint now)
{
    state.unansweredOpening = {};
    state.unansweredPayload = {};
    ServerTimes times;
    const auto key = flowFromServer(segment);
    const auto found = state.flows.find(key);
    if (segment.rst) {
        if (found != state.flows.end()) {
            end(state, found->second);
        }
        return times;
    }
    // The last acknowledgements of an ended flow are no new flow.
    if (found == state.flows.end() && segment.payloadSize == 0 && !segment.syn) {
        return times;
    }
    auto &flow = found == state.flows.end() ? state.flows[key] : found->second;
    flow.lastPacket = now;
    if (segment.syn && segment.ack) {
        if (flow.opening) {
            times.opening = now - flow.openingSince;
        }
        flow.halfOpen = true;
        flow.opening = false;
        flow.initialSequence = segment.sequence;
    }
    if (segment.payloadSize > 0) {
        if (flow.waiting) {
            times.answer = now - flow.waitingSince;
        }
        setWaiting(state, flow, false);
    }
    flow.serverEnded |= segment.fin;
    if (flow.callerEnded && flow.serverEnded) {
        end(state, flow);
    }
    return times;
}

ReturnReason noteBounce(GateState &state, const Segment &segment)
{
    state.unansweredOpening = {};
    state.unansweredPayload = {};
    const auto key = flowFromCaller(segment);
    const auto found = state.flows.find(key);
    if (segment.opens()) {
        if (found != state.flows.end() && found->second.opening) {
            forget(state, key);
        }
        return ReturnReason::Full;
    }
    forget(state, key);
    return ReturnReason::NotHeld;
}

std::vector<FlowReset> endAllFlows(GateState &state, TimePoint now)
{
    std::vector<FlowReset> resets;
    for (const auto &[key, flow] : state.flows) {
        // A caller that has not acknowledged this server's answer may have opened the flow at another one.
        if (!flow.ended && !flow.halfOpen && !flow.opening) {
            resets.push_back({.flow = key, .sequence = flow.lastAcknowledgement});
            state.lost[key] = now;
        }
    }
    state.flows.clear();
    state.waiting = 0;
    state.ended = 0;
    return resets;
}

HeartbeatOutcome takeHeartbeat(GateState &state, ServerHeartbeat heartbeat, TimePoint now,
                               std::chrono::milliseconds timeOfDay)
{
    const auto &last = state.heartbeat;
    const bool known = state.heard != TimePoint{};
    const bool isNewStart = !known || heartbeat.bornAt != last.bornAt;
    if (known && heartbeat.bornAt < last.bornAt && !replacesLaterStart(state, heartbeat, now)) {
        return HeartbeatOutcome::Outdated;
    }
    if (known && !isNewStart && heartbeat.sequence <= last.sequence) {
        return HeartbeatOutcome::Outdated;
    }
    if (known && !isNewStart && state.server == BackendState::Gone) {
        return HeartbeatOutcome::Outdated;
    }
    const auto before = state.server;
    state.server = heartbeat.draining ? BackendState::Draining : BackendState::Ready;
    state.coldUntil = now + heartbeat.coldLeft;
    state.heard = now;
    state.unansweredOpening = {};
    state.unansweredPayload = {};
    state.heartbeat = std::move(heartbeat);
    if (isNewStart) {
        state.sawStart = known || state.heartbeat.sequence == firstSequence
            || startedBeforeServer(state, now, timeOfDay);
        state.startSeen = state.sawStart ? now : TimePoint{};
        return known ? HeartbeatOutcome::NewStart : HeartbeatOutcome::First;
    }
    return before == state.server ? HeartbeatOutcome::Taken : HeartbeatOutcome::Changed;
}

bool takeDeparture(GateState &state, std::string_view id)
{
    if (state.heard != TimePoint{} && state.heartbeat.id != id) {
        return false;
    }
    state.server = BackendState::Gone;
    return true;
}

bool isSuspect(const GateState &state, TimePoint now)
{
    if (state.server == BackendState::Gone || state.server == BackendState::Silent) {
        return false;
    }
    const auto &options = state.options;
    const auto passed = [now](TimePoint since, std::chrono::milliseconds limit) {
        return since != TimePoint{} && now - since > limit;
    };
    return passed(state.unansweredOpening, options.answerLimit)
        || passed(state.unansweredPayload, options.requestLimit)
        || passed(state.heard, options.heartbeatLimit);
}

void noteProbe(GateState &state, bool accepted)
{
    state.unansweredOpening = {};
    state.unansweredPayload = {};
    if (accepted) {
        return;
    }
    state.server = BackendState::Silent;
}

bool hasColdRoom(const GateState &state, TimePoint now)
{
    if (now >= state.coldUntil || state.coldFlowsPerSecond == noColdLimit) {
        return true;
    }
    // An agent that has just started does not know what its server got before.
    if (now - state.started < state.options.coldWindow && state.heartbeat.sequence > 1) {
        return false;
    }
    const auto used = std::count_if(state.openings.begin(), state.openings.end(), [&](TimePoint opening) {
        return opening != TimePoint{} && now - opening < state.options.coldWindow;
    });
    return static_cast<std::uint32_t>(used) + state.options.coldReserve < state.coldFlowsPerSecond;
}

void takeNote(GateState &state, const FlowKey &flow, const IpAddress &holder, TimePoint now)
{
    if (state.notes.size() >= state.options.maxNotes && !state.notes.contains(flow)) {
        return;
    }
    state.notes[flow] = {.holder = holder, .noted = now};
}

const IpAddress *notedHolder(const GateState &state, const FlowKey &flow)
{
    const auto found = state.notes.find(flow);
    return found == state.notes.end() ? nullptr : &found->second.holder;
}

void expireFlows(GateState &state, TimePoint now)
{
    std::erase_if(state.lost,
                  [&](const auto &entry) { return now - entry.second > state.options.noteLimit; });
    std::erase_if(state.notes,
                  [&](const auto &entry) { return now - entry.second.noted > state.options.noteLimit; });
    const auto idle = state.idleLimit > std::chrono::milliseconds::zero() ? state.idleLimit
                                                                          : state.options.defaultIdleLimit;
    std::erase_if(state.flows, [&](const auto &entry) {
        const auto &flow = entry.second;
        // Twice the limit, as the server may keep a flow for a while longer than it must.
        const auto limit = flow.ended ? state.options.endedLimit : 2 * idle;
        const bool expired = now - flow.lastPacket > limit;
        state.waiting -= expired && flow.waiting ? 1 : 0;
        state.ended -= expired && flow.ended ? 1 : 0;
        return expired;
    });
}

Report reportOf(const GateState &state, std::uint64_t lifetime, TimePoint now)
{
    const bool known = state.heard != TimePoint{};
    const bool holdsFlows = state.server == BackendState::Ready || state.server == BackendState::Draining;
    std::optional<FlowFilter> heldFlowFilter;
    if (state.sawStart && holdsFlows && now - state.startSeen < state.options.filterTime) {
        heldFlowFilter.emplace();
        for (const auto &[key, flow] : state.flows) {
            heldFlowFilter->add(hashFlow(key));
        }
    }
    const auto coldLeft = std::chrono::duration_cast<std::chrono::milliseconds>(state.coldUntil - now);
    return {
        .lifetime = lifetime,
        .service = currentService(state),
        .zone = known ? idOf<ZoneId>(state.heartbeat.zone) : state.options.zone,
        .state = state.server,
        .slots = known ? state.heartbeat.slots : std::uint16_t{1},
        .flows = static_cast<std::uint32_t>(state.flows.size()) - state.ended,
        .waiting = state.waiting,
        .coldLeft = std::max(coldLeft, std::chrono::milliseconds::zero()),
        .bornAt = state.heartbeat.bornAt,
        .heldFlowFilter = heldFlowFilter,
    };
}

} // namespace oriolelever
