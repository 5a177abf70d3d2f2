// Placement of new flows: loads, learned paces, the room of the zones, refusals.
#include "steering-placement.h"

#include <cmath>
#include <limits>
#include <utility>

namespace oriolelever {

namespace {

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
                    .isUnreliable = report.isUnreliable,
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
    const double risk = report.isUnreliable ? options.unreliableLoad : 0;
    if (!report.capacity || !(report.capacity->answersPerSecond > 0)) {
        return loadOf(options, backend) + risk;
    }
    const double requests = backlogOf(backend, now) - report.waiting;
    const double correction = options.requestWeight * requests - options.flowWeight * backend.placedFlows;
    return std::max(0.0, loadOf(options, backend) + correction / effectiveSlots(backend)) + risk;
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
    return state.options.prefersRankedServers && ranked.load <= acceptable ? ranked : any;
}

// Whether a flow of the route should not be placed at the server, as its requests cannot be repeated and the
// server may reset them.
bool isRisky(const ServiceRoom &room, const RouteTerms &terms, const Backend &backend)
{
    return backend.report.isUnreliable && !terms.isRepeatable && !room.areMostUnreliable;
}

// Chooses a server for an opening packet that the agent of another one has returned, since its caller would
// have to wait there. The own zone is left only for a server whose load is clearly lower.
BackendIndex chooseAfterReturn(const SteeringState &state, const ServiceRoom &room, const RouteTerms &terms,
                               ServiceId service, const FlowKey &flow,
                               const std::vector<BackendIndex> &rejectedBy, TimePoint now)
{
    const auto chooseIn = [&](bool ownZone) {
        return chooseLeastLoaded(state, flow, now, [&](BackendIndex index, const Backend &backend) {
            return (backend.report.zone == state.options.zone) == ownZone && !backend.hasRefused
                && acceptsFlows(state, backend, service, now) && !contains(rejectedBy, index)
                && (room.areMostFailing || !backend.report.isFailing) && !isRisky(room, terms, backend);
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
    const auto best = room != nullptr
        ? chooseByRoom(state, *room, route.terms, selected, key, rejectedBy, now)
        : chooseBackend(state, selected, key, rejectedBy, now);
    if (best != noBackend) {
        return {best, selected};
    }
    if (isDiscoveryPending(state, selected, now)) {
        return {};
    }
    return choosePlacementElsewhere(state, route, key, rejectedBy, selected, now);
}

} // namespace

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

// Whether the zones' room decides about the route's new flows.
bool usesRooms(const SteeringState &state, const VirtualRoute &route)
{
    return state.options.usesRooms && route.terms != RouteTerms{};
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
    decision.mayReturnBusy = cause == SteeringCause::Placed && state.options.offersToSecondServer;
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
    const auto other = room != nullptr
        ? chooseAfterReturn(state, *room, route.terms, service, key, excluded, now)
        : chooseBackend(state, service, key, excluded, now);
    const bool isOtherBetter = other != noBackend
        && (busyBackend.report.isFailing || (room != nullptr && isRisky(*room, route.terms, busyBackend))
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
        placement
            = {chooseAfterReturn(state, *room, route.terms, service, key, flow.rejectedBy, now), service};
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
    const double flows = options.flowWeight * (backend.report.flows + backend.placedFlows);
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
    std::erase_if(state.rooms, [&](const auto &entry) { return !state.leastUrgent.contains(entry.first); });
    for (const auto &[service, leastUrgent] : state.leastUrgent) {
        auto &room = state.rooms[service];
        room.leastUrgent = leastUrgent;
        beginUpdate(room);
    }
    if (state.rooms.empty()) {
        return;
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

BackendIndex chooseByRoom(SteeringState &state, const ServiceRoom &room, const RouteTerms &terms,
                          ServiceId service, const FlowKey &flow, const std::vector<BackendIndex> &rejectedBy,
                          TimePoint now)
{
    const auto zone = zoneForFlow(room, state.options.zone, state.zoneCounter++);
    const auto chooseInZone = [&](bool avoidsRefusing, bool avoidsRisk) {
        return chooseLeastLoaded(state, flow, now, [&](BackendIndex index, const Backend &backend) {
            return backend.report.zone == zone && !(avoidsRefusing && backend.hasRefused)
                && acceptsFlows(state, backend, service, now) && !contains(rejectedBy, index)
                && (room.areMostFailing || !backend.report.isFailing)
                && !(avoidsRisk && isRisky(room, terms, backend));
        });
    };
    // A reliable server that is full may still have the request served; a risky one may lose it.
    auto best = chooseInZone(true, true);
    if (best.backend == noBackend) {
        best = chooseInZone(false, true);
    }
    if (best.backend == noBackend) {
        best = chooseInZone(false, false);
    }
    if (best.backend == noBackend) {
        return chooseBackend(state, service, flow, rejectedBy, now);
    }
    const bool mustWait
        = best.load > state.options.discoveryLoadLimit && isDiscoveryPending(state, service, now);
    return mustWait ? noBackend : best.backend;
}

} // namespace oriolelever
