#include "oriolelever/steering.h"

#include <algorithm>
#include <limits>

namespace oriolelever {

namespace {

bool contains(const std::vector<BackendIndex> &indexes, BackendIndex index)
{
    return std::find(indexes.begin(), indexes.end(), index) != indexes.end();
}

SteeringDecision refuse(SteeringCause cause)
{
    return {.act = SteeringAct::Reset, .cause = cause};
}

SteeringDecision drop(SteeringCause cause)
{
    return {.act = SteeringAct::Drop, .cause = cause};
}

SteeringDecision forward(SteeringCause cause, BackendIndex backend, ServiceId service = {})
{
    return {.act = SteeringAct::Forward, .cause = cause, .backend = backend, .service = service};
}

// The turn-th unit of the route's weights names the service, so that shares are exact over a cycle.
ServiceId drawService(const VirtualRoute &route, std::uint32_t turn)
{
    std::uint64_t total = 0;
    for (const auto &weighted : route.services) {
        total += weighted.weight;
    }
    if (total == 0) {
        return route.services.front().service;
    }
    constexpr std::uint64_t spreading
        = 2'654'435'761; // Knuth's multiplicative hash spreads consecutive turns.
    std::uint64_t unit = ((std::uint64_t{turn} * spreading) >> 8) % total;
    for (const auto &weighted : route.services) {
        if (unit < weighted.weight) {
            return weighted.service;
        }
        unit -= weighted.weight;
    }
    return route.services.back().service;
}

struct Placement
{
    BackendIndex backend = noBackend;
    ServiceId service;
};

// Another service of the route stands in when the drawn one has no server.
Placement place(SteeringState &state, const VirtualRoute &route, const std::vector<BackendIndex> &tried,
                TimePoint now)
{
    const auto drawn = drawService(route, state.turn++);
    const auto best = chooseBackend(state, drawn, tried, now);
    if (best != noBackend) {
        return {best, drawn};
    }
    for (const auto &weighted : route.services) {
        if (weighted.weight == 0 || weighted.service == drawn) {
            continue;
        }
        const auto other = chooseBackend(state, weighted.service, tried, now);
        if (other != noBackend) {
            return {other, weighted.service};
        }
    }
    return {};
}

// Agents that have just become known get time for a first report; callers repeat the opening packet
// meanwhile.
bool isSettled(const SteeringState &state, TimePoint now)
{
    return std::none_of(state.backends.begin(), state.backends.end(), [&](const Backend &backend) {
        return backend.reported == TimePoint{} && now - backend.introduced < state.options.settleTime;
    });
}

SteeringDecision placeFlow(SteeringState &state, const VirtualRoute &route, const FlowKey &key,
                           SteeredFlow &flow, SteeringCause cause, TimePoint now)
{
    const auto placement = place(state, route, flow.tried, now);
    if (placement.backend == noBackend) {
        state.flows.erase(key);
        return isSettled(state, now) ? refuse(SteeringCause::NoServer) : drop(SteeringCause::NotReady);
    }
    flow.holder = placement.backend;
    ++state.backends[placement.backend].placed;
    return forward(cause, placement.backend, placement.service);
}

bool servesRoute(const Backend &backend, const VirtualRoute &route)
{
    return std::any_of(route.services.begin(), route.services.end(), [&](const WeightedService &weighted) {
        return weighted.service == backend.report.service;
    });
}

// Servers of the route's services come first, of these the own zone.
BackendIndex nextToAsk(const SteeringState &state, const VirtualRoute &route, const SteeredFlow &flow,
                       TimePoint now)
{
    BackendIndex best = noBackend;
    int bestRank = std::numeric_limits<int>::max();
    for (std::size_t i = 0; i < state.backends.size(); ++i) {
        const auto index = static_cast<BackendIndex>(i);
        const auto &backend = state.backends[i];
        if (!isHeard(state, backend, now) || backend.report.state == BackendState::Gone
            || contains(flow.tried, index)) {
            continue;
        }
        const int rank
            = (servesRoute(backend, route) ? 0 : 2) + (backend.report.zone == state.options.zone ? 0 : 1);
        if (rank < bestRank) {
            best = index;
            bestRank = rank;
        }
    }
    return best;
}

// An agent that was heard of but cannot be asked now may hold any flow.
bool allCouldBeAsked(const SteeringState &state, TimePoint now)
{
    return std::none_of(state.backends.begin(), state.backends.end(), [&](const Backend &backend) {
        const auto since = std::max(backend.reported, backend.introduced);
        return !isHeard(state, backend, now) && now - since < state.options.lostAfter;
    });
}

SteeringDecision searchOn(SteeringState &state, const VirtualRoute &route, SteeredFlow &flow, TimePoint now)
{
    flow.holder = nextToAsk(state, route, flow, now);
    if (flow.holder != noBackend) {
        return forward(SteeringCause::Searching, flow.holder);
    }
    flow.exhausted = now;
    flow.tried.clear();
    return allCouldBeAsked(state, now) ? refuse(SteeringCause::NotHeld) : drop(SteeringCause::Undecided);
}

SteeringDecision steerOpening(SteeringState &state, const VirtualRoute &route, const FlowKey &key,
                              TimePoint now)
{
    const auto [found, isNew] = state.flows.try_emplace(key);
    auto &flow = found->second;
    const bool isCopy = !isNew && flow.holder != noBackend && now - flow.opened < state.options.openingLimit;
    flow.lastPacket = now;
    flow.idempotent = route.idempotent;
    if (!isCopy) {
        flow.tried.clear();
        flow.opened = now;
        return placeFlow(state, route, key, flow, SteeringCause::Placed, now);
    }
    const auto &holder = state.backends[flow.holder];
    if (servesRoute(holder, route) && takesFlows(state, holder, holder.report.service, now)) {
        return forward(SteeringCause::Known, flow.holder, holder.report.service);
    }
    flow.tried.push_back(flow.holder);
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
    case SteeringCause::NotFromCaller:
        return "not_from_caller";
    }
    return "unknown";
}

BackendIndex backendOn(SteeringState &state, const IpAddress &host, TimePoint now)
{
    const auto next = static_cast<BackendIndex>(state.backends.size());
    const auto [found, isNew] = state.byHost.try_emplace(host, next);
    if (isNew) {
        state.backends.push_back({.host = host, .introduced = now});
    }
    return found->second;
}

void takeReport(SteeringState &state, BackendIndex index, const Report &report, TimePoint now)
{
    auto &backend = state.backends[index];
    backend.report = report;
    backend.reported = now;
    backend.placed = 0;
}

bool takeTable(SteeringState &state, RoutingTable table)
{
    if (state.configured && table.revision < state.table.revision) {
        return false;
    }
    state.table = std::move(table);
    state.configured = true;
    return true;
}

bool isHeard(const SteeringState &state, const Backend &backend, TimePoint now)
{
    return backend.reported != TimePoint{} && now - backend.reported < state.options.silentAfter;
}

bool takesFlows(const SteeringState &state, const Backend &backend, ServiceId service, TimePoint now)
{
    return backend.report.service == service && backend.report.state == BackendState::Ready
        && isHeard(state, backend, now) && !state.evacuated.contains(backend.report.zone);
}

double loadOf(const SteeringOptions &options, const Backend &backend)
{
    const double flows = backend.report.flows + backend.placed;
    const double load = (flows + options.waitingWeight * backend.report.waiting)
        / std::max<double>(1, backend.report.slots);
    return backend.report.coldLeft > std::chrono::milliseconds::zero() ? load * options.coldWeight : load;
}

BackendIndex chooseBackend(const SteeringState &state, ServiceId service,
                           const std::vector<BackendIndex> &tried, TimePoint now)
{
    BackendIndex best = noBackend;
    BackendIndex bestNear = noBackend;
    double bestLoad = std::numeric_limits<double>::infinity();
    double bestNearLoad = bestLoad;
    const std::size_t count = state.backends.size();
    for (std::size_t i = 0; i < count; ++i) {
        // Starts at another server each time, so that equals take turns.
        const auto index = static_cast<BackendIndex>((i + state.turn) % count);
        const auto &backend = state.backends[index];
        if (!takesFlows(state, backend, service, now) || contains(tried, index)) {
            continue;
        }
        const double load = loadOf(state.options, backend);
        if (load < bestLoad) {
            best = index;
            bestLoad = load;
        }
        if (backend.report.zone == state.options.zone && load < bestNearLoad) {
            bestNear = index;
            bestNearLoad = load;
        }
    }
    const bool nearIsGood = bestNearLoad <= bestLoad * state.options.zoneMargin + state.options.zoneSlack;
    return bestNear != noBackend && nearIsGood ? bestNear : best;
}

SteeringDecision steerCallerPacket(SteeringState &state, const Segment &segment, TimePoint now)
{
    if (!state.configured || !state.rosterKnown) {
        return drop(SteeringCause::NotReady);
    }
    if (segment.returned || (segment.syn && segment.ack)) {
        return drop(SteeringCause::NotFromCaller);
    }
    const auto key = flowFromCaller(segment);
    const auto route = state.table.routes.find(segment.destination);
    if (route == state.table.routes.end()) {
        state.flows.erase(key);
        return segment.rst ? drop(SteeringCause::NoRoute) : refuse(SteeringCause::NoRoute);
    }
    if (segment.opens()) {
        return steerOpening(state, route->second, key, now);
    }
    const auto [found, isNew] = state.flows.try_emplace(key);
    auto &flow = found->second;
    flow.lastPacket = now;
    flow.idempotent = route->second.idempotent;
    if (flow.holder != noBackend) {
        const auto holder = flow.holder;
        if (segment.rst) {
            state.flows.erase(found);
        }
        return forward(SteeringCause::Known, holder);
    }
    if (!isNew && now - flow.exhausted < state.options.searchPause) {
        return drop(SteeringCause::Undecided);
    }
    return searchOn(state, route->second, flow, now);
}

SteeringDecision steerReturned(SteeringState &state, const Segment &segment, BackendIndex from,
                               ReturnReason reason, TimePoint now)
{
    const auto key = flowFromCaller(segment);
    const auto route = state.table.routes.find(segment.destination);
    const auto found = state.flows.find(key);
    if (route == state.table.routes.end() || found == state.flows.end()) {
        return drop(SteeringCause::NoRoute);
    }
    auto &flow = found->second;
    if (reason == ReturnReason::NotReady && segment.opens()) {
        // The agent's next report tells when its server takes flows again.
        state.backends[from].report.state = BackendState::Unknown;
    }
    if (!contains(flow.tried, from)) {
        flow.tried.push_back(from);
    }
    if (flow.holder == noBackend) {
        return drop(SteeringCause::Undecided);
    }
    if (flow.holder != from) {
        return segment.opens() ? drop(SteeringCause::Moved) : forward(SteeringCause::Searching, flow.holder);
    }
    if (segment.opens()) {
        return placeFlow(state, route->second, key, flow, SteeringCause::Moved, now);
    }
    return searchOn(state, route->second, flow, now);
}

void expireFlows(SteeringState &state, TimePoint now)
{
    const auto configured = 2 * state.table.idleLimit;
    const auto limit = state.table.idleLimit > std::chrono::milliseconds::zero()
        ? configured
        : state.options.defaultIdleLimit;
    std::erase_if(state.flows, [&](const auto &entry) { return now - entry.second.lastPacket > limit; });
}

} // namespace oriolelever
