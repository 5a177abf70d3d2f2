#include "oriolelever/steering.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "steering-placement.h"

namespace oriolelever {

namespace {

// Upper bound of the time from the sending of a report to its arrival: the delay between zones and in queues.
constexpr std::chrono::milliseconds maxReportTransit{50};
// Undecided searches that are counted; bounds the delay after one to 8 * undecidedRetryDelay, 3.2 s.
constexpr std::uint8_t maxUndecidedSearches = 4;

// Whether the agent has sent its list of flows after the search for this flow started. A server that did not
// hold the flow then will not get it later: flows never move.
bool isFilterConclusive(const Backend &backend, const SteeredFlow &flow)
{
    return backend.heldFlowFilter && backend.heldFlowFilterAt > flow.searchStartedAt + maxReportTransit;
}

// Whether the agent has named all flows of its server lately or since the search started, and this one is not
// among them.
bool excludesFlow(const SteeringState &state, const Backend &backend, const SteeredFlow &flow,
                  std::uint64_t flowHash, TimePoint now)
{
    return backend.heldFlowFilter
        && (isFilterConclusive(backend, flow)
            || now - backend.heldFlowFilterAt < state.options.flowFilterLifetime)
        && !backend.heldFlowFilter->mayContain(flowHash);
}

// The next agent to offer the flow's packet to. Those that the flow's key ranks first precede other servers
// of the route's services, and these the servers of other services; within each of these groups the own zone
// is first.
BackendIndex nextCandidate(const SteeringState &state, const VirtualRoute &route, const FlowKey &key,
                           const SteeredFlow &flow, TimePoint now)
{
    const auto ranking = rankServers(
        state, key, [&](BackendIndex, const Backend &backend) { return servesRoute(backend, route); });
    const auto flowHash = hashFlow(key);
    BackendIndex best = noBackend;
    int bestRank = std::numeric_limits<int>::max();
    for (std::size_t i = 0; i < state.backends.size(); ++i) {
        const auto index = static_cast<BackendIndex>(i);
        const auto &backend = state.backends[i];
        if (!isReachable(state, backend, now) || backend.report.state == BackendState::Gone
            || contains(flow.rejectedBy, index) || contains(flow.unresponsive, index)
            || excludesFlow(state, backend, flow, flowHash, now)) {
            continue;
        }
        const int zoneRank = backend.report.zone == state.options.zone ? 0 : 1;
        const bool isRanked = ranking.ownZone.contains(index) || ranking.otherZones.contains(index);
        const int rank = zoneRank + (isRanked ? 0 : servesRoute(backend, route) ? 2 : 4);
        if (rank < bestRank) {
            best = index;
            bestRank = rank;
        }
    }
    return best;
}

// Since when the balancer has waited for the agent's next report. The report that an agent of another zone
// sent last, before it was asked to report more often, may be older than a restart takes. A balancer that
// does not keep up with its agents' datagrams waits anew, as the report may have been dropped.
TimePoint reportExpectedSince(const SteeringState &state, const Backend &backend)
{
    const auto asked = std::max({backend.reportedAt, backend.knownSince, backend.reportPeriodSetAt});
    return backend.reportedAt == TimePoint{} ? asked : std::max(asked, state.lastBacklogAt);
}

// Counts the agents whose servers may hold the flow, given all that agents have returned and reported. An
// unreachable agent may hold any flow that it has not returned. A report that excludes the flow counts only
// if the agent has sent it after the search started: the server may have got the flow after an earlier one.
UndecidedAgents countUndecidedAgents(const SteeringState &state, const SteeredFlow &flow, const FlowKey &key,
                                     TimePoint now)
{
    UndecidedAgents undecidedAgents{
        .unresponsive = static_cast<std::uint16_t>(flow.unresponsive.size()),
        .unreachable = static_cast<std::uint16_t>(
            awaitsExcludedAgents(state, state.options.neverReportedTimeout, now) ? 1 : 0)};
    const auto flowHash = hashFlow(key);
    for (std::size_t i = 0; i < state.backends.size(); ++i) {
        const auto &backend = state.backends[i];
        const auto index = static_cast<BackendIndex>(i);
        // A decommissioned server holds no flows, even while its agent is being removed.
        if (backend.report.state == BackendState::Gone || contains(flow.rejectedBy, index)
            || contains(flow.unresponsive, index)) {
            continue;
        }
        if (!isReachable(state, backend, now)) {
            const bool hasReported = backend.reportedAt != TimePoint{};
            const auto limit
                = hasReported ? state.options.restartTimeout : state.options.neverReportedTimeout;
            undecidedAgents.unreachable += now - reportExpectedSince(state, backend) < limit ? 1 : 0;
        } else if (!excludesFlow(state, backend, flow, flowHash, now)) {
            ++undecidedAgents.notOffered;
        } else if (!isFilterConclusive(backend, flow)) {
            ++undecidedAgents.staleReports;
        }
    }
    return undecidedAgents;
}

// Whether no server can hold the flow, so that it can be reset.
bool canReset(const SteeringState &state, const UndecidedAgents &undecidedAgents, TimePoint now)
{
    return undecidedAgents == UndecidedAgents{} && !isIsolated(state, now);
}

// Has `resolveSearches` look at the flow again, as the caller's packet is not kept.
void markUnresolved(SteeringState &state, const FlowKey &key, SteeredFlow &flow)
{
    if (!flow.isUnresolved && state.unresolvedFlows.size() < state.options.maxUnresolvedFlows) {
        flow.isUnresolved = true;
        state.unresolvedFlows.push_back(key);
    }
}

// Keeps the start of the first search: reports that came later cover the flow.
void recordSearchStart(SteeringState &state, SteeredFlow &flow, TimePoint now)
{
    if (flow.searchStartedAt == TimePoint{}) {
        flow.searchStartedAt = now;
        state.lastSearchStartedAt = now;
    }
}

// Drops a packet of an unknown flow that comes before the configuration, the agent list or the first reports.
// Its acknowledgement is kept as the sequence of the reset that `resolveSearches` may return.
SteeringDecision deferUnknownFlow(SteeringState &state, const FlowKey &key, const Segment &segment,
                                  TimePoint now)
{
    auto &flow = state.flows[key];
    flow.lastPacketAt = now;
    flow.isHolderKnown = false;
    flow.offeredAcknowledgement = segment.acknowledgement;
    recordSearchStart(state, flow, now);
    markUnresolved(state, key, flow);
    return drop(SteeringCause::NotReady);
}

// Delay between the end of a search and the start of the next one for the same flow.
Duration searchDelay(const SteeringState &state, const SteeredFlow &flow)
{
    if (flow.undecidedSearches == 0) {
        return state.options.searchRetryDelay;
    }
    return state.options.undecidedRetryDelay * (1 << (flow.undecidedSearches - 1));
}

// Sends the flow's packet to an agent, to learn whether that has a note of the flow.
SteeringDecision queryNote(SteeredFlow &flow, BackendIndex agent)
{
    flow.holder = agent;
    flow.isNoteQueryPending = true;
    return {.action = SteeringAction::QueryNote, .cause = SteeringCause::QueryingNote, .backend = agent};
}

// Starts a search or takes its next step. Notes are queried first, as offering a packet to servers that do
// not hold its flow takes long.
SteeringDecision continueSearch(SteeringState &state, const VirtualRoute &route, SteeredFlow &flow,
                                const Segment &segment, TimePoint now)
{
    flow.isHolderKnown = false;
    flow.isNoteQueryPending = false;
    flow.hasOfferedAcknowledgement = true;
    flow.offeredSequence = segment.sequence;
    flow.offeredAcknowledgement = segment.acknowledgement;
    flow.offeredAt = now;
    recordSearchStart(state, flow, now);
    const auto key = flowFromCaller(segment);
    if (flow.noteQueries < noteQueryCount) {
        const auto agents = noteAgentsFor(state, key, now);
        while (flow.noteQueries < agents.size()) {
            const auto agent = agents[flow.noteQueries++];
            if (agent != noBackend && isReachable(state, state.backends[agent], now)) {
                return queryNote(flow, agent);
            }
        }
    }
    flow.holder = nextCandidate(state, route, key, flow, now);
    if (flow.holder != noBackend) {
        state.lastOfferAt = now;
        return forward(SteeringCause::Searching, flow.holder);
    }
    const auto undecidedAgents = countUndecidedAgents(state, flow, key, now);
    flow.searchEndedAt = now;
    flow.noteQueries = 0;
    if (canReset(state, undecidedAgents, now)) {
        return reset(SteeringCause::NotHeld);
    }
    const bool onlyStaleReports
        = undecidedAgents == UndecidedAgents{.staleReports = undecidedAgents.staleReports};
    if (!onlyStaleReports) {
        flow.undecidedSearches = std::min<std::uint8_t>(flow.undecidedSearches + 1, maxUndecidedSearches);
    }
    markUnresolved(state, key, flow);
    return {.action = SteeringAction::Drop,
            .cause = SteeringCause::Undecided,
            .undecidedAgents = undecidedAgents};
}

// Whether the server has left for good, and its agent has become unreachable since.
bool isDecommissioned(const SteeringState &state, const Backend &backend, TimePoint now)
{
    return backend.report.state == BackendState::Gone && !isReachable(state, backend, now);
}

// Whether the agent has been unreachable for longer than a restart takes, so that its host has probably lost
// its power or its network. A balancer that is itself cut off cannot tell.
bool isHostLost(const SteeringState &state, const Backend &backend, TimePoint now)
{
    return !isReachable(state, backend, now)
        && now - reportExpectedSince(state, backend) > state.options.restartTimeout
        && !isIsolated(state, now);
}

// Whether flows of the agent's server have ended, or cannot be reached for longer than a restart takes.
bool isServerLost(const SteeringState &state, const Backend &backend, TimePoint now)
{
    return isDecommissioned(state, backend, now) || isHostLost(state, backend, now);
}

// Clears what is known of the flow at its holder; a search follows.
void clearHolder(SteeredFlow &flow)
{
    if (flow.isHolderKnown) {
        flow.unresponsive.clear();
    }
    flow.holder = noBackend;
    flow.isHolderKnown = false;
    flow.areNotesSent = false;
    flow.answeredAt = {};
}

// Forwards a packet to the known holder. An acknowledgement that differs from the first one shows that the
// caller has had an answer, and so that the holder's server has the flow.
SteeringDecision forwardToHolder(SteeredFlow &flow, const Segment &segment, TimePoint now)
{
    auto decision = forward(SteeringCause::Known, flow.holder);
    if (!flow.hasOfferedAcknowledgement) {
        flow.hasOfferedAcknowledgement = true;
        flow.offeredAcknowledgement = segment.acknowledgement;
    }
    if (flow.answeredAt == TimePoint{} && segment.acknowledgement != flow.offeredAcknowledgement) {
        flow.answeredAt = now;
    }
    const bool isAnswered = flow.answeredAt != TimePoint{};
    decision.mustSendNotes = isAnswered && !flow.areNotesSent;
    flow.areNotesSent |= isAnswered;
    return decision;
}

// Records that a search has found the holder, so that a later search starts from the beginning.
void endSearch(SteeredFlow &flow)
{
    flow.isNoteQueryPending = false;
    flow.isHolderKnown = true;
    flow.noteQueries = 0;
    flow.undecidedSearches = 0;
}

// Decides about a packet of a flow whose holder is being searched. A caller that retransmits the offered
// packet has had no answer, and an agent whose server is down does not return it, so the search goes on.
SteeringDecision steerDuringSearch(SteeringState &state, const VirtualRoute &route, SteeredFlow &flow,
                                   const Segment &segment, TimePoint now)
{
    const bool isRetransmission
        = segment.sequence == flow.offeredSequence && now - flow.offeredAt >= state.options.searchRetryDelay;
    if (flow.isNoteQueryPending) {
        return isRetransmission ? continueSearch(state, route, flow, segment, now)
                                : queryNote(flow, flow.holder);
    }
    if (segment.acknowledgement != flow.offeredAcknowledgement) {
        endSearch(flow);
        flow.answeredAt = now;
        flow.searchStartedAt = {};
        flow.rejectedBy.clear();
        return forwardToHolder(flow, segment, now);
    }
    if (!isRetransmission) {
        return forward(SteeringCause::Known, flow.holder);
    }
    flow.unresponsive.push_back(flow.holder);
    return continueSearch(state, route, flow, segment, now);
}

// Handles an agent's reply to a note query; `notedHolder` is `noBackend` if the agent has no note. If the
// reply is no longer awaited, its packet goes to the agent that the flow's packets go to now.
SteeringDecision handleNoteReply(SteeringState &state, const VirtualRoute &route, SteeredFlow &flow,
                                 const Segment &segment, BackendIndex from, BackendIndex notedHolder,
                                 TimePoint now)
{
    if (flow.isHolderKnown || !flow.isNoteQueryPending || flow.holder != from) {
        return flow.isNoteQueryPending ? queryNote(flow, flow.holder)
                                       : forward(SteeringCause::Known, flow.holder);
    }
    // A note is no evidence that allows a reset: with its holder lost, the other agents decide.
    if (notedHolder == noBackend || contains(flow.rejectedBy, notedHolder)
        || isServerLost(state, state.backends[notedHolder], now)) {
        return continueSearch(state, route, flow, segment, now);
    }
    endSearch(flow);
    flow.areNotesSent = true;
    flow.holder = notedHolder;
    return forward(SteeringCause::Searching, notedHolder);
}

// Decides about an opening packet. A duplicate follows the first one while the chosen server accepts flows.
SteeringDecision steerOpening(SteeringState &state, const VirtualRoute &route, const FlowKey &key,
                              std::uint32_t copies, TimePoint now)
{
    const auto [found, isNew] = state.flows.try_emplace(key);
    auto &flow = found->second;
    const bool isDuplicateOpening
        = !isNew && flow.holder != noBackend && now - flow.openedAt < state.options.openingTimeout;
    flow.lastPacketAt = now;
    if (!isDuplicateOpening) {
        // The earlier copies may have reached another balancer, or none.
        const auto elapsed = usesRooms(state, route) ? openingElapsed(copies, now, now) : Duration::zero();
        flow = {.lastPacketAt = now, .openedAt = now - elapsed};
        return placeFlow(state, route, key, flow, SteeringCause::Placed, now);
    }
    const auto &holder = state.backends[flow.holder];
    if (servesRoute(holder, route) && acceptsFlows(state, holder, holder.report.service, now)) {
        return forward(SteeringCause::Known, flow.holder, holder.report.service);
    }
    flow.rejectedBy.push_back(flow.holder);
    return placeFlow(state, route, key, flow, SteeringCause::Moved, now);
}

} // namespace

std::string_view toString(SteeringCause cause)
{
    switch (cause) {
    case SteeringCause::Known:
        return "known";
    case SteeringCause::Placed:
        return "placed";
    case SteeringCause::Moved:
        return "moved";
    case SteeringCause::QueryingNote:
        return "asking";
    case SteeringCause::Searching:
        return "searching";
    case SteeringCause::NotReady:
        return "not_ready";
    case SteeringCause::Stalled:
        return "stalled";
    case SteeringCause::NoRoute:
        return "no_route";
    case SteeringCause::NoServer:
        return "no_server";
    case SteeringCause::NotHeld:
        return "not_held";
    case SteeringCause::HolderLost:
        return "holder_lost";
    case SteeringCause::Undecided:
        return "undecided";
    case SteeringCause::Overloaded:
        return "overloaded";
    case SteeringCause::NotFromCaller:
        return "not_from_caller";
    }
    return "unknown";
}

bool hasInitialReports(const SteeringState &state, TimePoint now)
{
    if (awaitsExcludedAgents(state, state.options.firstReportWait, now)) {
        return false;
    }
    return std::none_of(state.backends.begin(), state.backends.end(), [&](const Backend &backend) {
        return backend.reportedAt == TimePoint{} && now - backend.knownSince < state.options.firstReportWait;
    });
}

bool isIsolated(const SteeringState &state, TimePoint now)
{
    return std::all_of(state.backends.begin(), state.backends.end(), [&](const Backend &backend) {
        return now - std::max(backend.reportedAt, backend.knownSince) > state.options.restartTimeout;
    });
}

void handleStall(SteeringState &state, Duration pause, TimePoint now)
{
    if (pause >= state.options.openingTimeout) {
        state.oldOpeningsUntil = now + state.options.stallBacklogTime;
    }
    for (auto &backend : state.backends) {
        backend.reportedAt = {};
        backend.knownSince = now;
    }
}

void endStall(SteeringState &state)
{
    state.oldOpeningsUntil = {};
}

void applyReport(SteeringState &state, BackendIndex index, const Report &report, TimePoint now)
{
    auto &backend = state.backends[index];
    if (backend.reportedAt == TimePoint{} || backend.report.lifetime != report.lifetime) {
        backend.agentStartedAt = now;
    }
    if (report.heldFlowFilter) {
        backend.heldFlowFilter = report.heldFlowFilter;
        backend.heldFlowFilterAt = now;
    } else if (backend.report.lifetime != report.lifetime || backend.report.bornAt != report.bornAt) {
        backend.heldFlowFilter.reset();
    }
    rememberCapacity(state.options.pace, backend, report, now);
    backend.report = report;
    backend.reportedAt = now;
    backend.hasReported = true;
    backend.placedFlows = 0;
    updateRelativePace(state, backend, now);
    backend.hasRefused = false;
    backend.backlog = report.waiting;
    backend.backlogAt = now;
}

std::uint32_t coldFlowLimit(const RoutingTable &table, ServiceId service, double factor, double slack)
{
    const auto rate = table.coldFlowsPerSecond.find(service);
    if (rate == table.coldFlowsPerSecond.end()) {
        return noColdLimit;
    }
    const double limit = std::floor(rate->second * factor + slack);
    return limit < noColdLimit ? static_cast<std::uint32_t>(std::max(limit, 0.0)) : noColdLimit;
}

void setReportPeriod(SteeringState &state, BackendIndex index, std::chrono::milliseconds period,
                     TimePoint now)
{
    auto &backend = state.backends[index];
    if (backend.reportPeriod != period) {
        backend.reportPeriod = period;
        backend.reportPeriodSetAt = now;
    }
}

bool needsFlowFilters(const SteeringState &state, TimePoint now)
{
    return state.options.requestsFlowFilters
        && (!state.unresolvedFlows.empty()
            || (state.lastOfferAt != TimePoint{}
                && now - state.lastOfferAt < state.options.flowFilterLifetime));
}

bool lacksFlowFilter(const SteeringState &state, const Backend &backend, TimePoint now)
{
    return needsFlowFilters(state, now) && isReachable(state, backend, now)
        && (!backend.heldFlowFilter
            || backend.heldFlowFilterAt <= state.lastSearchStartedAt + maxReportTransit);
}

std::vector<std::chrono::milliseconds> reportPeriods(const SteeringState &state, TimePoint now)
{
    struct ZoneCapacity
    {
        std::size_t servers = 0;
        std::uint32_t slots = 0;
        std::uint32_t requests = 0;
    };

    std::unordered_map<ServiceId, ZoneCapacity> ownZone;
    for (const auto &backend : state.backends) {
        const auto service = backend.report.service;
        if (backend.report.zone != state.options.zone || backend.report.isFailing
            || !acceptsFlows(state, backend, service, now)) {
            continue;
        }
        auto &capacity = ownZone[service];
        ++capacity.servers;
        capacity.slots += backend.report.slots;
        capacity.requests += backend.report.waiting + backend.placedFlows;
    }
    const auto sufficesAlone = [&](ServiceId service) {
        const auto found = ownZone.find(service);
        return found != ownZone.end() && found->second.servers >= state.options.minOwnZoneServers
            && found->second.requests < state.options.loadedRequestsPerSlot * found->second.slots;
    };
    const bool isSearching = needsFlowFilters(state, now);
    std::vector<std::chrono::milliseconds> periods;
    periods.reserve(state.backends.size());
    for (const auto &backend : state.backends) {
        const bool isRare = !isSearching && backend.report.zone != state.options.zone
            && isReachable(state, backend, now) && sufficesAlone(backend.report.service);
        periods.push_back(isRare ? state.options.remoteReportPeriod : state.options.reportPeriod);
    }
    return periods;
}

bool isReachable(const SteeringState &state, const Backend &backend, TimePoint now)
{
    if (backend.reportedAt == TimePoint{}) {
        return false;
    }
    const std::chrono::duration<double, std::milli> timeout
        = state.options.reportTimeoutPeriods * backend.reportPeriod;
    return now - std::max(backend.reportedAt, backend.reportPeriodSetAt) < timeout;
}

bool acceptsFlows(const SteeringState &state, const Backend &backend, ServiceId service, TimePoint now)
{
    return backend.report.service == service && backend.report.state == BackendState::Ready
        && isReachable(state, backend, now) && !state.evacuatedZones.contains(backend.report.zone);
}

std::array<BackendIndex, noteQueryCount> noteAgentsFor(const SteeringState &state, const FlowKey &flow,
                                                       TimePoint now)
{
    Ranking<noteQueryCount> ranking;
    const std::uint64_t flowHash = hashFlow(flow);
    for (std::size_t i = 0; i < state.backends.size(); ++i) {
        const auto &backend = state.backends[i];
        const auto lastContact = std::max(backend.reportedAt, backend.knownSince);
        if (now - lastContact <= state.options.restartTimeout) {
            ranking.insert(static_cast<BackendIndex>(i), mixHash(flowHash ^ backend.hostHash));
        }
    }
    return ranking.best;
}

bool isHolderConfirmed(const SteeringState &state, const SteeredFlow &flow)
{
    return flow.holder != noBackend && flow.answeredAt != TimePoint{}
    && state.backends[flow.holder].reportedAt > flow.answeredAt + maxReportTransit;
}

SteeringDecision steerCallerPacket(SteeringState &state, const Segment &segment, TimePoint now)
{
    if (segment.returned || (segment.syn && segment.ack)) {
        return drop(SteeringCause::NotFromCaller);
    }
    if (segment.opens() && now < state.oldOpeningsUntil) {
        return drop(SteeringCause::Stalled);
    }
    const auto key = flowFromCaller(segment);
    if (!state.hasTable || !state.hasAgentList) {
        return segment.opens() || segment.rst ? drop(SteeringCause::NotReady)
                                              : deferUnknownFlow(state, key, segment, now);
    }
    const auto route = state.table.routes.find(segment.destination);
    if (route == state.table.routes.end()) {
        state.flows.erase(key);
        return segment.rst ? drop(SteeringCause::NoRoute) : reset(SteeringCause::NoRoute);
    }
    if (segment.opens()) {
        return steerOpening(state, route->second, key, segment.acknowledgement, now);
    }
    const auto [found, isNew] = state.flows.try_emplace(key);
    auto &flow = found->second;
    flow.lastPacketAt = now;
    if (flow.holder != noBackend && segment.rst && !flow.isNoteQueryPending) {
        const auto holder = flow.holder;
        state.flows.erase(found);
        return forward(SteeringCause::Known, holder);
    }
    const bool isHolderLost = flow.holder != noBackend && flow.isHolderKnown
        && isServerLost(state, state.backends[flow.holder], now);
    if (isHolderLost && isHolderConfirmed(state, flow)) {
        // The caller would wait until its deadline; after a reset it can open another flow.
        const SteeringDecision decision{.action = SteeringAction::Reset,
                                        .cause = SteeringCause::HolderLost,
                                        .backend = flow.holder,
                                        .answeredAt = flow.answeredAt};
        state.flows.erase(found);
        return decision;
    }
    if (isHolderLost) {
        const auto lostHolder = flow.holder;
        clearHolder(flow);
        auto decision = continueSearch(state, route->second, flow, segment, now);
        decision.unconfirmedHolder = lostHolder;
        return decision;
    }
    if (flow.holder != noBackend) {
        return flow.isHolderKnown ? forwardToHolder(flow, segment, now)
                                  : steerDuringSearch(state, route->second, flow, segment, now);
    }
    if (!isNew && now - flow.searchEndedAt < searchDelay(state, flow)) {
        return drop(SteeringCause::Undecided);
    }
    if (!hasInitialReports(state, now)) {
        return deferUnknownFlow(state, key, segment, now);
    }
    flow.unresponsive.clear();
    return continueSearch(state, route->second, flow, segment, now);
}

void recordBusyServer(SteeringState &state, BackendIndex index, std::uint32_t pendingRequests)
{
    auto &backend = state.backends[index];
    backend.report.waiting = std::max(backend.report.waiting, pendingRequests);
    backend.backlog = std::max(backend.backlog, static_cast<double>(pendingRequests));
}

SteeringDecision steerReturnedPacket(SteeringState &state, const Segment &segment, BackendIndex from,
                                     ReturnReason reason, const IpAddress &holder, TimePoint now)
{
    const auto key = flowFromCaller(segment);
    const auto route = state.table.routes.find(segment.destination);
    const auto found = state.flows.find(key);
    if (route == state.table.routes.end() || found == state.flows.end()) {
        return drop(SteeringCause::NoRoute);
    }
    auto &flow = found->second;
    if (flow.holder == noBackend) {
        return drop(SteeringCause::Undecided);
    }
    if (reason == ReturnReason::Noted || reason == ReturnReason::NotNoted) {
        return handleNoteReply(
            state, route->second, flow, segment, from,
            reason == ReturnReason::Noted ? findOrAddBackend(state, holder, now) : noBackend, now);
    }
    if (reason == ReturnReason::Ended) {
        state.flows.erase(found);
        return reset(SteeringCause::NotHeld);
    }
    if (reason == ReturnReason::Busy) {
        // A copy of the packet that was passed on meanwhile is on its way to the flow's holder.
        return segment.opens() && flow.holder == from
            ? placeAfterBusy(state, route->second, key, flow, from, now)
            : drop(SteeringCause::Moved);
    }
    if (reason == ReturnReason::NotReady && segment.opens()) {
        // Until the agent's next report, its server gets no new flows.
        state.backends[from].report.state = BackendState::Silent;
    }
    if (!contains(flow.rejectedBy, from)) {
        flow.rejectedBy.push_back(from);
    }
    std::erase(flow.unresponsive, from);
    // If the flow's packets go to another agent by now, that agent gets this one too. An opening packet is
    // dropped instead: its caller retransmits it.
    if (flow.isNoteQueryPending) {
        return segment.opens() ? drop(SteeringCause::Moved) : queryNote(flow, flow.holder);
    }
    if (flow.holder != from) {
        return segment.opens() ? drop(SteeringCause::Moved) : forward(SteeringCause::Searching, flow.holder);
    }
    if (segment.opens() && reason == ReturnReason::Full && usesRooms(state, route->second)) {
        return placeAfterRefusal(state, route->second, key, flow, from, now);
    }
    if (segment.opens() && now - flow.openedAt > state.options.openingRetryLimit) {
        state.flows.erase(found);
        return reset(SteeringCause::NoServer);
    }
    if (segment.opens()) {
        return placeFlow(state, route->second, key, flow, SteeringCause::Moved, now);
    }
    if (flow.isHolderKnown) {
        // A server that rejected the opening packet may have accepted a copy from another balancer since.
        flow.rejectedBy = {from};
    }
    clearHolder(flow);
    return continueSearch(state, route->second, flow, segment, now);
}

std::vector<FlowReset> resolveSearches(SteeringState &state, TimePoint now)
{
    std::vector<FlowReset> resets;
    if (!state.hasTable || !state.hasAgentList || !hasInitialReports(state, now)) {
        return resets;
    }
    std::erase_if(state.unresolvedFlows, [&](const FlowKey &key) {
        const auto entry = state.flows.find(key);
        if (entry == state.flows.end()) {
            return true;
        }
        auto &flow = entry->second;
        if (flow.isHolderKnown || now - flow.lastPacketAt > state.options.unresolvedTimeout) {
            flow.isUnresolved = false;
            return true;
        }
        if (flow.holder != noBackend || !canReset(state, countUndecidedAgents(state, flow, key, now), now)) {
            return false;
        }
        resets.push_back({.flow = key, .sequence = flow.offeredAcknowledgement});
        state.flows.erase(entry);
        return true;
    });
    return resets;
}

void expireFlows(SteeringState &state, TimePoint now)
{
    // Twice the limit, as in `expireEntries`: the server may keep an idle flow for longer than required.
    const auto configuredLimit = 2 * state.table.idleLimit;
    const auto limit = state.table.idleLimit > std::chrono::milliseconds::zero()
        ? configuredLimit
        : state.options.defaultIdleLimit;
    std::erase_if(state.flows, [&](const auto &entry) { return now - entry.second.lastPacketAt > limit; });
}

} // namespace oriolelever
