#include "oriolelever/steering.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace oriolelever {

namespace {

// Finalizer of MurmurHash3: every bit of the input changes every bit of the output.
std::uint64_t mixHash(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

// Upper bound of the time from the sending of a report to its arrival: the delay between zones and in queues.
constexpr std::chrono::milliseconds maxReportTransit{50};
// Undecided searches that are counted; bounds the delay after one to 8 * undecidedRetryDelay, 3.2 s.
constexpr std::uint8_t maxUndecidedSearches = 4;

// The servers with the highest scores for a flow, in descending order.
template<std::size_t Count>
struct Ranking
{
    std::array<BackendIndex, Count> best;
    std::array<std::uint64_t, Count> scores{};

    Ranking()
    {
        best.fill(noBackend);
    }

    void insert(BackendIndex index, std::uint64_t score)
    {
        for (std::size_t position = 0; position < Count && index != noBackend; ++position) {
            if (best[position] == noBackend || score > scores[position]) {
                std::swap(best[position], index);
                std::swap(scores[position], score);
            }
        }
    }

    bool contains(BackendIndex index) const
    {
        return std::find(best.begin(), best.end(), index) != best.end();
    }
};

// The least loaded of the servers that were considered.
struct Choice
{
    BackendIndex backend = noBackend;
    double load = std::numeric_limits<double>::infinity();

    void consider(BackendIndex index, double indexLoad)
    {
        if (indexLoad < load) {
            backend = index;
            load = indexLoad;
        }
    }
};

// Servers of the balancer's zone and of the other zones, ranked for a flow.
struct FlowRanking
{
    Ranking<rankedServerCount> ownZone;
    Ranking<rankedServerCount> otherZones;
};

// Ranks servers by the hash of flow and host (rendezvous hashing), so that balancers agree without exchange.
template<typename Wanted>
FlowRanking rankServers(const SteeringState &state, const FlowKey &flow, Wanted isCandidate)
{
    FlowRanking ranking;
    const std::uint64_t flowHash = hashFlow(flow);
    for (std::size_t i = 0; i < state.backends.size(); ++i) {
        const auto index = static_cast<BackendIndex>(i);
        const auto &backend = state.backends[i];
        if (!isCandidate(index, backend)) {
            continue;
        }
        auto &group = backend.report.zone == state.options.zone ? ranking.ownZone : ranking.otherZones;
        group.insert(index, mixHash(flowHash ^ backend.hostHash));
    }
    return ranking;
}

bool contains(const std::vector<BackendIndex> &indexes, BackendIndex index)
{
    return std::find(indexes.begin(), indexes.end(), index) != indexes.end();
}

// Whether most of the service's servers fail, so that leaving them out could overload the others.
bool areMostFailing(const SteeringState &state, ServiceId service, TimePoint now)
{
    std::size_t failing = 0;
    std::size_t accepting = 0;
    for (const auto &backend : state.backends) {
        if (!acceptsFlows(state, backend, service, now)) {
            continue;
        }
        ++accepting;
        failing += backend.report.isFailing ? 1 : 0;
    }
    return 2 * failing > accepting;
}

SteeringDecision reset(SteeringCause cause)
{
    return {.action = SteeringAction::Reset, .cause = cause};
}

SteeringDecision drop(SteeringCause cause)
{
    return {.action = SteeringAction::Drop, .cause = cause};
}

SteeringDecision forward(SteeringCause cause, BackendIndex backend, ServiceId service = {})
{
    return {.action = SteeringAction::Forward, .cause = cause, .backend = backend, .service = service};
}

// Lays the services' weights end to end and takes the service at an offset that the counter determines.
// Shares are exact over each cycle of 256 * total counts.
ServiceId selectService(const VirtualRoute &route, std::uint32_t selectionCounter)
{
    std::uint64_t total = 0;
    for (const auto &weighted : route.services) {
        total += weighted.weight;
    }
    if (total == 0) {
        return route.services.front().service;
    }
    // Knuth's multiplicative hash spreads consecutive counts. The shift drops the lowest bits of the product,
    // which repeat with a short period.
    constexpr std::uint64_t knuthMultiplier = 2'654'435'761;
    std::uint64_t weightOffset = ((std::uint64_t{selectionCounter} * knuthMultiplier) >> 8) % total;
    for (const auto &weighted : route.services) {
        if (weightOffset < weighted.weight) {
            return weighted.service;
        }
        weightOffset -= weighted.weight;
    }
    return route.services.back().service;
}

struct Placement
{
    BackendIndex backend = noBackend;
    ServiceId service;
    bool isOverloaded = false; ///< No server was found because the service is overloaded.
};

// Whether less than half of the slots are in use, so that one more flow does not delay those that the server
// has. Flows with an unanswered request use a slot, and so may those placed since the report; idle flows use
// none.
bool hasFreeSlots(const Backend &backend)
{
    return 2 * (backend.report.waiting + backend.placedFlows) < backend.report.slots;
}

// Keeps what the agent's former start has learned, if the agent has just restarted.
void rememberCapacity(const PaceOptions &options, Backend &backend, const Report &report, TimePoint now)
{
    const auto &former = backend.report;
    if (former.lifetime == report.lifetime) {
        return;
    }
    backend.rememberedCapacity.reset();
    const bool isKnown = backend.reportedAt != TimePoint{} && now - backend.reportedAt <= options.maxAge
        && former.bornAt != 0 && former.capacity && hasPace(options, *former.capacity);
    if (isKnown) {
        backend.rememberedCapacity = {.bornAt = former.bornAt, .capacity = *former.capacity};
    }
}

// Whether the last report has a pace that can be compared. That of a server that does not answer would lower
// the median.
bool hasRecentPace(const PaceOptions &options, const Backend &backend, TimePoint now)
{
    return backend.report.state == BackendState::Ready && backend.reportedAt != TimePoint{}
    && now - backend.reportedAt <= options.maxAge && backend.report.capacity
        && hasPace(options, *backend.report.capacity);
}

// Returns the median of the service, calculated again if the last one is older than a report period: the work
// for each report is constant on average.
double medianPaceOf(SteeringState &state, ServiceId service, TimePoint now)
{
    auto &pace = state.servicePaces[service];
    if (pace.calculatedAt != TimePoint{} && now - pace.calculatedAt < state.options.reportPeriod) {
        return pace.median;
    }
    std::vector<double> paces;
    for (const auto &backend : state.backends) {
        if (backend.report.service == service && hasRecentPace(state.options.pace, backend, now)) {
            paces.push_back(pacePerSlot(*backend.report.capacity, backend.report.slots));
        }
    }
    pace = {.median = medianPace(paces), .calculatedAt = now};
    return pace.median;
}

void updateRelativePace(SteeringState &state, Backend &backend, TimePoint now)
{
    const auto &options = state.options.pace;
    if (!hasRecentPace(options, backend, now)) {
        backend.relativePace = 1;
        return;
    }
    // Services that are gone would otherwise accumulate.
    if (state.servicePaces.size() > state.backends.size()) {
        state.servicePaces.clear();
    }
    const double median = medianPaceOf(state, backend.report.service, now);
    backend.relativePace = relativePace(options, *backend.report.capacity, backend.report.slots, median);
}

// What the room of the server's zone counts of it. A capacity that the agent has not learned, or that cannot
// be, leaves the slots.
ServerRoom roomOf(const SteeringOptions &options, const Backend &backend, TimePoint now)
{
    const auto &report = backend.report;
    ServerRoom room{.zone = report.zone,
                    .slots = std::max<double>(1, report.slots),
                    .requests = static_cast<double>(report.waiting),
                    .placed = static_cast<double>(backend.placedFlows),
                    .isFailing = report.isFailing,
                    .reportAge = now - backend.reportedAt,
                    .reportPeriod = backend.reportPeriod};
    if (report.capacity) {
        const auto &capacity = *report.capacity;
        if (capacity.concurrency >= 1) {
            room.slots = std::min(room.slots, capacity.concurrency);
        }
        // `Report::waiting` includes what waits at the agent.
        room.queued = capacity.queuedOpenings + capacity.queuedRequests;
        room.requests = std::max(0.0, room.requests - room.queued);
        room.answersPerSecond = capacity.answersPerSecond;
        room.longestWait = capacity.longestWait;
    }
    room.slots *= backend.relativePace;
    if (report.coldLeft > std::chrono::milliseconds::zero()) {
        room.slots /= options.coldWeight;
    }
    return room;
}

// Whether the zones' room decides about the route's new flows.
bool usesRooms(const SteeringState &state, const VirtualRoute &route)
{
    return state.options.usesRooms && route.terms != RouteTerms{};
}

// The room of the service, up to date; null if the route's flows are placed without it.
const ServiceRoom *roomFor(SteeringState &state, const VirtualRoute &route, ServiceId service, TimePoint now)
{
    if (!usesRooms(state, route)) {
        return nullptr;
    }
    updateRooms(state, now);
    const auto found = state.rooms.find(service);
    return found == state.rooms.end() ? nullptr : &found->second;
}

// `Backend::backlog` as of now.
double backlogOf(const Backend &backend, TimePoint now)
{
    const double pace = backend.report.capacity ? backend.report.capacity->answersPerSecond : 0;
    if (!(pace > 0) || !std::isfinite(pace)) {
        return backend.backlog;
    }
    const double elapsed = std::chrono::duration<double>(now - backend.backlogAt).count();
    return std::max(0.0, backend.backlog - pace * elapsed);
}

// Counts a new flow that is sent to the server.
void recordPlacement(Backend &backend, TimePoint now)
{
    ++backend.placedFlows;
    backend.backlog = backlogOf(backend, now) + 1;
    backend.backlogAt = now;
}

// `loadOf` without the flows placed since the report whose request is answered by now. Between two reports a
// server answers many short requests: counting all of them would send a burst to the server that has reported
// last.
double currentLoad(const SteeringOptions &options, const Backend &backend, TimePoint now)
{
    const auto &report = backend.report;
    if (!report.capacity || !(report.capacity->answersPerSecond > 0)) {
        return loadOf(options, backend);
    }
    const double requests = backlogOf(backend, now) - report.waiting;
    const double correction = options.requestWeight * requests - backend.placedFlows;
    return std::max(0.0, loadOf(options, backend) + correction / effectiveSlots(backend));
}

// Chooses a server from those that `isCandidate` accepts, in one pass: the least loaded of those that the
// flow's key ranks first, while its load is acceptable, and otherwise the least loaded of all.
template<typename Wanted>
Choice chooseLeastLoaded(const SteeringState &state, const FlowKey &flow, TimePoint now, Wanted isCandidate)
{
    Choice any;
    Choice ranked;
    Ranking<rankedServerCount> ranking;
    const std::uint64_t flowHash = hashFlow(flow);
    double loadSum = 0;
    std::size_t candidates = 0;
    const std::size_t count = state.backends.size();
    for (std::size_t i = 0; i < count; ++i) {
        // Starts at another server each time, as a tie-break.
        const auto index = static_cast<BackendIndex>((i + state.selectionCounter) % count);
        const auto &backend = state.backends[index];
        if (!isCandidate(index, backend)) {
            continue;
        }
        const double load = currentLoad(state.options, backend, now);
        loadSum += load;
        ++candidates;
        any.consider(index, load);
        ranking.insert(index, mixHash(flowHash ^ backend.hostHash));
    }
    for (const auto index : ranking.best) {
        if (index != noBackend) {
            ranked.consider(index, currentLoad(state.options, state.backends[index], now));
        }
    }
    const double meanLoad = candidates == 0 ? 0 : loadSum / static_cast<double>(candidates);
    const double acceptable = meanLoad * state.options.zoneLoadFactor + state.options.zoneLoadOffset;
    return ranked.load <= acceptable ? ranked : any;
}

// Chooses a server for an opening packet that the agent of another one has returned, since its caller would
// have to wait there. The own zone is left only for a server whose load is clearly lower.
BackendIndex chooseAfterReturn(const SteeringState &state, const ServiceRoom &room, ServiceId service,
                               const FlowKey &flow, const std::vector<BackendIndex> &rejectedBy,
                               TimePoint now)
{
    const auto chooseIn = [&](bool ownZone) {
        return chooseLeastLoaded(state, flow, now, [&](BackendIndex index, const Backend &backend) {
            return (backend.report.zone == state.options.zone) == ownZone && !backend.hasRefused
                && acceptsFlows(state, backend, service, now) && !contains(rejectedBy, index)
                && (room.areMostFailing || !backend.report.isFailing);
        });
    };
    const auto own = chooseIn(true);
    const auto other = chooseIn(false);
    const double acceptable = other.load * state.options.zoneLoadFactor + state.options.zoneLoadOffset;
    return own.load <= acceptable ? own.backend : other.backend;
}

// Whether no agent is reachable, so that the balancer cannot tell whether servers have room.
bool isBlind(const SteeringState &state, TimePoint now)
{
    return std::none_of(state.backends.begin(), state.backends.end(),
                        [&](const Backend &backend) { return isReachable(state, backend, now); });
}

// Whether recent reports of all servers show that none can start the flow's request in time. An agent that
// has not reported yet, or has still to discover its server, may have room.
bool isOverloaded(const SteeringState &state, const ServiceRoom &room, const RouteTerms &terms,
                  ServiceId service, const SteeredFlow &flow, TimePoint now)
{
    const auto left = timeLeft(state.options.room, terms, now - flow.openedAt);
    return mustRefuse(room, terms, left, now) && hasInitialReports(state, now)
        && !isDiscoveryPending(state, service, now);
}

// Looks for a server of another service of the route, but only one with free slots: flows may last long, and
// must not slow down the callers of that service.
Placement choosePlacementElsewhere(const SteeringState &state, const VirtualRoute &route, const FlowKey &key,
                                   const std::vector<BackendIndex> &rejectedBy, ServiceId selected,
                                   TimePoint now)
{
    for (const auto &weighted : route.services) {
        if (weighted.weight == 0 || weighted.service == selected) {
            continue;
        }
        const auto other = chooseBackend(state, weighted.service, key, rejectedBy, now);
        if (other != noBackend && hasFreeSlots(state.backends[other])) {
            return {other, weighted.service};
        }
    }
    return {};
}

// If the selected service has no server or is overloaded, another service of the route may take the flow.
Placement choosePlacement(SteeringState &state, const VirtualRoute &route, const FlowKey &key,
                          const SteeredFlow &flow, TimePoint now)
{
    const auto &rejectedBy = flow.rejectedBy;
    const auto selected = selectService(route, state.selectionCounter++);
    const auto *room = roomFor(state, route, selected, now);
    if (room != nullptr && isOverloaded(state, *room, route.terms, selected, flow, now)) {
        auto placement = choosePlacementElsewhere(state, route, key, rejectedBy, selected, now);
        placement.isOverloaded = placement.backend == noBackend;
        return placement;
    }
    const auto best = room != nullptr ? chooseByRoom(state, *room, selected, key, rejectedBy, now)
                                      : chooseBackend(state, selected, key, rejectedBy, now);
    if (best != noBackend) {
        return {best, selected};
    }
    if (isDiscoveryPending(state, selected, now)) {
        return {};
    }
    return choosePlacementElsewhere(state, route, key, rejectedBy, selected, now);
}

// Whether the server's service is one of the route's.
bool servesRoute(const Backend &backend, const VirtualRoute &route)
{
    return std::any_of(route.services.begin(), route.services.end(), [&](const WeightedService &weighted) {
        return weighted.service == backend.report.service;
    });
}

// Chooses the server for a new flow. Without one, the packet is dropped while a server may still become
// ready, and answered with a reset otherwise.
SteeringDecision placeFlow(SteeringState &state, const VirtualRoute &route, const FlowKey &key,
                           SteeredFlow &flow, SteeringCause cause, TimePoint now)
{
    const auto placement = choosePlacement(state, route, key, flow, now);
    if (placement.isOverloaded) {
        state.flows.erase(key);
        return reset(SteeringCause::Overloaded);
    }
    if (placement.backend == noBackend) {
        state.flows.erase(key);
        if (usesRooms(state, route) && isBlind(state, now)) {
            return drop(SteeringCause::NotReady);
        }
        // A dropped opening packet is not lost: callers retransmit it after 200 ms and 600 ms.
        const bool mayBecomeReady = !hasInitialReports(state, now)
            || std::any_of(route.services.begin(), route.services.end(),
                           [&](const WeightedService &weighted) {
                               return weighted.weight > 0 && isDiscoveryPending(state, weighted.service, now);
                           });
        return mayBecomeReady ? drop(SteeringCause::NotReady) : reset(SteeringCause::NoServer);
    }
    flow.holder = placement.backend;
    recordPlacement(state.backends[placement.backend], now);
    auto decision = forward(cause, placement.backend, placement.service);
    decision.mayReturnBusy = cause == SteeringCause::Placed;
    return decision;
}

// Decides about an opening packet that the agent of a busy server returned. It goes to the least loaded other
// server if that has fewer requests, and waits at the busy one otherwise. Its next agent cannot return it as
// busy, so it is passed on once.
SteeringDecision placeAfterBusy(SteeringState &state, const VirtualRoute &route, const FlowKey &key,
                                SteeredFlow &flow, BackendIndex busy, TimePoint now)
{
    const auto &busyBackend = state.backends[busy];
    const auto service = busyBackend.report.service;
    if (!servesRoute(busyBackend, route) || !acceptsFlows(state, busyBackend, service, now)) {
        flow.rejectedBy.push_back(busy);
        return placeFlow(state, route, key, flow, SteeringCause::Moved, now);
    }
    auto excluded = flow.rejectedBy;
    excluded.push_back(busy);
    const auto *room = roomFor(state, route, service, now);
    const auto other = room != nullptr ? chooseAfterReturn(state, *room, service, key, excluded, now)
                                       : chooseBackend(state, service, key, excluded, now);
    const bool isOtherBetter = other != noBackend
        && (busyBackend.report.isFailing
            || (room != nullptr
                    ? currentLoad(state.options, state.backends[other], now)
                        < currentLoad(state.options, busyBackend, now)
                    : loadOf(state.options, state.backends[other]) < loadOf(state.options, busyBackend)));
    flow.holder = isOtherBetter ? other : busy;
    recordPlacement(state.backends[flow.holder], now);
    return forward(SteeringCause::Moved, flow.holder, service);
}

// Decides about an opening packet of a route with terms that an agent returned as full. It is offered to one
// other server whose agent has not refused since its last report: offering it to each in turn would multiply
// the load while all are full.
SteeringDecision placeAfterRefusal(SteeringState &state, const VirtualRoute &route, const FlowKey &key,
                                   SteeredFlow &flow, BackendIndex full, TimePoint now)
{
    auto &fullBackend = state.backends[full];
    const auto service = fullBackend.report.service;
    fullBackend.hasRefused = true;
    ++flow.fullReturns;
    const auto *room = servesRoute(fullBackend, route) ? roomFor(state, route, service, now) : nullptr;
    const auto left = timeLeft(state.options.room, route.terms, now - flow.openedAt);
    const bool mayOffer = flow.fullReturns < 2 && room != nullptr && left > Duration::zero()
        && !isOverloaded(state, *room, route.terms, service, flow, now);
    Placement placement;
    if (mayOffer) {
        placement = {chooseAfterReturn(state, *room, service, key, flow.rejectedBy, now), service};
    }
    if (placement.backend == noBackend && flow.fullReturns < 2) {
        placement = choosePlacementElsewhere(state, route, key, flow.rejectedBy, service, now);
    }
    if (placement.backend == noBackend) {
        state.flows.erase(key);
        return reset(SteeringCause::Overloaded);
    }
    flow.holder = placement.backend;
    recordPlacement(state.backends[flow.holder], now);
    return forward(SteeringCause::Moved, flow.holder, placement.service);
}

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
    UndecidedAgents undecidedAgents{.unresponsive = static_cast<std::uint16_t>(flow.unresponsive.size())};
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

// Forwards a packet to the known holder. An acknowledgement that differs from the first one shows that the
// caller has had an answer, and so that the holder's server has the flow.
SteeringDecision forwardToHolder(SteeredFlow &flow, const Segment &segment)
{
    auto decision = forward(SteeringCause::Known, flow.holder);
    if (!flow.hasOfferedAcknowledgement) {
        flow.hasOfferedAcknowledgement = true;
        flow.offeredAcknowledgement = segment.acknowledgement;
    }
    flow.isAnswerAcknowledged |= segment.acknowledgement != flow.offeredAcknowledgement;
    decision.mustSendNotes = flow.isAnswerAcknowledged && !flow.areNotesSent;
    flow.areNotesSent |= flow.isAnswerAcknowledged;
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
        flow.isAnswerAcknowledged = true;
        flow.searchStartedAt = {};
        flow.rejectedBy.clear();
        return forwardToHolder(flow, segment);
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
    if (notedHolder == noBackend || contains(flow.rejectedBy, notedHolder)) {
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
    case SteeringCause::NoRoute:
        return "no_route";
    case SteeringCause::NoServer:
        return "no_server";
    case SteeringCause::NotHeld:
        return "not_held";
    case SteeringCause::Undecided:
        return "undecided";
    case SteeringCause::Overloaded:
        return "overloaded";
    case SteeringCause::NotFromCaller:
        return "not_from_caller";
    }
    return "unknown";
}

BackendIndex findOrAddBackend(SteeringState &state, const IpAddress &host, TimePoint now)
{
    const auto next = static_cast<BackendIndex>(state.backends.size());
    const auto [found, isNew] = state.backendByHost.try_emplace(host, next);
    if (isNew) {
        state.backends.push_back({.host = host, .hostHash = AddressHash{}(host), .knownSince = now});
    }
    return found->second;
}

void applyAgentList(SteeringState &state, const std::vector<IpAddress> &hosts, TimePoint now)
{
    for (auto &backend : state.backends) {
        backend.isEntryMissing = now - backend.knownSince > state.options.entryCreationTimeout
            && isReachable(state, backend, now);
    }
    for (const auto &host : hosts) {
        state.backends[findOrAddBackend(state, host, now)].isEntryMissing = false;
    }
    state.hasAgentList = true;
}

bool hasInitialReports(const SteeringState &state, TimePoint now)
{
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

void handleStall(SteeringState &state, TimePoint now)
{
    for (auto &backend : state.backends) {
        backend.reportedAt = {};
        backend.knownSince = now;
    }
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
    backend.placedFlows = 0;
    updateRelativePace(state, backend, now);
    backend.hasRefused = false;
    backend.backlog = report.waiting;
    backend.backlogAt = now;
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
    return !state.unresolvedFlows.empty()
        || (state.lastOfferAt != TimePoint{} && now - state.lastOfferAt < state.options.flowFilterLifetime);
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

double effectiveSlots(const Backend &backend)
{
    return std::max<double>(1, backend.report.slots) * backend.relativePace;
}

std::optional<RememberedCapacity> takeRememberedCapacity(SteeringState &state, BackendIndex index)
{
    return std::exchange(state.backends[index].rememberedCapacity, std::nullopt);
}

double loadOf(const SteeringOptions &options, const Backend &backend)
{
    const double flows = backend.report.flows + backend.placedFlows;
    const double load = (flows + options.requestWeight * backend.report.waiting) / effectiveSlots(backend);
    return backend.report.coldLeft > std::chrono::milliseconds::zero() ? load * options.coldWeight : load;
}

bool isDiscoveryPending(const SteeringState &state, ServiceId service, TimePoint now)
{
    std::size_t pending = 0;
    std::size_t ready = 0;
    for (const auto &backend : state.backends) {
        if (acceptsFlows(state, backend, service, now)) {
            ++ready;
            continue;
        }
        const bool isPending = backend.report.service == service
            && backend.report.state == BackendState::Unknown && isReachable(state, backend, now)
            && now - backend.agentStartedAt < state.options.serverDiscoveryTimeout;
        pending += isPending && !state.evacuatedZones.contains(backend.report.zone) ? 1 : 0;
    }
    return pending > ready;
}

BackendIndex chooseBackend(const SteeringState &state, ServiceId service, const FlowKey &flow,
                           const std::vector<BackendIndex> &rejectedBy, TimePoint now)
{
    const bool avoidsFailing = !areMostFailing(state, service, now);
    const auto isCandidate = [&](BackendIndex index, const Backend &backend) {
        return acceptsFlows(state, backend, service, now) && !contains(rejectedBy, index)
            && !(avoidsFailing && backend.report.isFailing);
    };
    const auto ranking = rankServers(state, flow, isCandidate);

    double loadSum = 0;
    std::size_t candidates = 0;
    Choice any;
    Choice anyInZone;
    Choice ranked;
    Choice rankedInZone;
    const std::size_t count = state.backends.size();
    for (std::size_t i = 0; i < count; ++i) {
        // Starts at another server each time, as a tie-break.
        const auto index = static_cast<BackendIndex>((i + state.selectionCounter) % count);
        const auto &backend = state.backends[index];
        if (!isCandidate(index, backend)) {
            continue;
        }
        const double load = loadOf(state.options, backend);
        loadSum += load;
        ++candidates;
        any.consider(index, load);
        if (backend.report.zone == state.options.zone) {
            anyInZone.consider(index, load);
        }
        if (ranking.ownZone.contains(index)) {
            rankedInZone.consider(index, load);
            ranked.consider(index, load);
        }
        if (ranking.otherZones.contains(index)) {
            ranked.consider(index, load);
        }
    }
    if (any.load > state.options.discoveryLoadLimit && isDiscoveryPending(state, service, now)) {
        return noBackend;
    }
    // Relative to the mean: all balancers know the lowest load from the same report, and would all choose the
    // server that has it until the next one.
    const double meanLoad = candidates == 0 ? 0 : loadSum / static_cast<double>(candidates);
    const double acceptable = meanLoad * state.options.zoneLoadFactor + state.options.zoneLoadOffset;
    for (const auto &best : {rankedInZone, anyInZone, ranked}) {
        if (best.backend != noBackend && best.load <= acceptable) {
            return best.backend;
        }
    }
    return any.backend;
}

void updateRooms(SteeringState &state, TimePoint now)
{
    const bool isRecent
        = state.roomsUpdatedAt != TimePoint{} && now - state.roomsUpdatedAt < state.options.room.updatePeriod;
    // Until all agents have had time to report after a start or a stall, a zone may only seem to have no
    // server.
    if (!state.options.usesRooms || isRecent || !hasInitialReports(state, now)) {
        return;
    }
    state.roomsUpdatedAt = now;
    for (auto &[service, room] : state.rooms) {
        room.isRouted = false;
        room.leastUrgent = 0;
        beginUpdate(room);
    }
    for (const auto &[address, route] : state.table.routes) {
        if (route.terms == RouteTerms{}) {
            continue;
        }
        for (const auto &weighted : route.services) {
            auto [found, isNew] = state.rooms.try_emplace(weighted.service);
            auto &room = found->second;
            if (isNew) {
                beginUpdate(room);
            }
            room.isRouted = true;
            room.leastUrgent = std::max(room.leastUrgent, route.terms.priority);
        }
    }
    std::erase_if(state.rooms, [](const auto &entry) { return !entry.second.isRouted; });
    if (state.rooms.empty()) {
        return;
    }
    for (const auto &[address, route] : state.table.routes) {
        if (route.terms != RouteTerms{}) {
            continue;
        }
        for (const auto &weighted : route.services) {
            const auto found = state.rooms.find(weighted.service);
            if (found != state.rooms.end()) {
                found->second.leastUrgent = lowestPriority;
            }
        }
    }
    const auto &options = state.options.room;
    for (const auto &backend : state.backends) {
        const auto found = state.rooms.find(backend.report.service);
        if (found != state.rooms.end() && acceptsFlows(state, backend, found->first, now)) {
            addServer(found->second, options, roomOf(state.options, backend, now));
        }
    }
    for (auto &[service, room] : state.rooms) {
        finishUpdate(room, options, state.options.zone, now);
    }
}

BackendIndex chooseByRoom(SteeringState &state, const ServiceRoom &room, ServiceId service,
                          const FlowKey &flow, const std::vector<BackendIndex> &rejectedBy, TimePoint now)
{
    const auto zone = zoneForFlow(room, state.options.zone, state.zoneCounter++);
    const auto chooseInZone = [&](bool avoidsRefusing) {
        return chooseLeastLoaded(state, flow, now, [&](BackendIndex index, const Backend &backend) {
            return backend.report.zone == zone && !(avoidsRefusing && backend.hasRefused)
                && acceptsFlows(state, backend, service, now) && !contains(rejectedBy, index)
                && (room.areMostFailing || !backend.report.isFailing);
        });
    };
    auto best = chooseInZone(true);
    if (best.backend == noBackend) {
        best = chooseInZone(false);
    }
    if (best.backend == noBackend) {
        return chooseBackend(state, service, flow, rejectedBy, now);
    }
    const bool mustWait
        = best.load > state.options.discoveryLoadLimit && isDiscoveryPending(state, service, now);
    return mustWait ? noBackend : best.backend;
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

SteeringDecision steerCallerPacket(SteeringState &state, const Segment &segment, TimePoint now)
{
    if (segment.returned || (segment.syn && segment.ack)) {
        return drop(SteeringCause::NotFromCaller);
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
    // The caller of a flow on a lost host would wait until its deadline; after a reset it can open another
    // one.
    if (flow.holder != noBackend && flow.isHolderKnown
        && (isDecommissioned(state, state.backends[flow.holder], now)
            || isHostLost(state, state.backends[flow.holder], now))) {
        state.flows.erase(found);
        return reset(SteeringCause::NotHeld);
    }
    if (flow.holder != noBackend) {
        return flow.isHolderKnown ? forwardToHolder(flow, segment)
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
        flow.unresponsive.clear();
    }
    flow.areNotesSent = false;
    flow.isAnswerAcknowledged = false;
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
