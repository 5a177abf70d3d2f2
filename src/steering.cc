#include "oriolelever/steering.h"

#include <algorithm>
#include <limits>

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

/// A report may have left its agent this long before it came: the delay between zones and in queues.
constexpr std::chrono::milliseconds transitTime{50};
constexpr std::uint8_t maxPauseDoublings = 4; ///< Of the pause after undecided searches: 24 s.

// The servers with the highest scores for a flow, best first.
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
        for (std::size_t place = 0; place < Count && index != noBackend; ++place) {
            if (best[place] == noBackend || score > scores[place]) {
                std::swap(best[place], index);
                std::swap(scores[place], score);
            }
        }
    }

    bool contains(BackendIndex index) const
    {
        return std::find(best.begin(), best.end(), index) != best.end();
    }
};

// Servers of the balancer's zone and of the others, ranked for a flow.
struct FlowRanking
{
    Ranking<rankedChoices> near;
    Ranking<rankedChoices> far;
};

template<typename Wanted>
FlowRanking rankServers(const SteeringState &state, const FlowKey &flow, Wanted wanted)
{
    FlowRanking ranking;
    const std::uint64_t flowHash = hashFlow(flow);
    for (std::size_t i = 0; i < state.backends.size(); ++i) {
        const auto index = static_cast<BackendIndex>(i);
        const auto &backend = state.backends[i];
        if (!wanted(index, backend)) {
            continue;
        }
        auto &group = backend.report.zone == state.options.zone ? ranking.near : ranking.far;
        group.insert(index, mixHash(flowHash ^ backend.hash));
    }
    return ranking;
}

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

// A server with free slots serves one more flow without delay to those that it has.
bool hasFreeSlots(const Backend &backend)
{
    return 2 * (backend.report.waiting + backend.placed) < backend.report.slots;
}

// Another service of the route stands in for one without a server, but only as far as its servers are idle:
// long flows stay, and its own callers must not pay for them.
Placement place(SteeringState &state, const VirtualRoute &route, const FlowKey &flow,
                const std::vector<BackendIndex> &tried, TimePoint now)
{
    const auto drawn = drawService(route, state.turn++);
    const auto best = chooseBackend(state, drawn, flow, tried, now);
    if (best != noBackend) {
        return {best, drawn};
    }
    if (isAwaited(state, drawn, now)) {
        return {};
    }
    for (const auto &weighted : route.services) {
        if (weighted.weight == 0 || weighted.service == drawn) {
            continue;
        }
        const auto other = chooseBackend(state, weighted.service, flow, tried, now);
        if (other != noBackend && hasFreeSlots(state.backends[other])) {
            return {other, weighted.service};
        }
    }
    return {};
}

SteeringDecision placeFlow(SteeringState &state, const VirtualRoute &route, const FlowKey &key,
                           SteeredFlow &flow, SteeringCause cause, TimePoint now)
{
    const auto placement = place(state, route, key, flow.tried, now);
    if (placement.backend == noBackend) {
        state.flows.erase(key);
        // Callers repeat an opening packet after 200 ms and 600 ms.
        const bool isEarly = !isSettled(state, now)
            || std::any_of(route.services.begin(), route.services.end(),
                           [&](const WeightedService &weighted) {
                               return weighted.weight > 0 && isAwaited(state, weighted.service, now);
                           });
        return isEarly ? drop(SteeringCause::NotReady) : refuse(SteeringCause::NoServer);
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

// The agent knows all flows of its server, and this one is not among them.
bool surelyLacks(const Backend &backend, std::uint64_t flowHash)
{
    return backend.report.allFlows && !backend.report.allFlows->mayHold(flowHash);
}

// Servers of the route's services come first: those that the flow's key ranks highest, then the own zone.
BackendIndex nextToAsk(const SteeringState &state, const VirtualRoute &route, const FlowKey &key,
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
        if (!isHeard(state, backend, now) || backend.report.state == BackendState::Gone
            || contains(flow.tried, index) || contains(flow.mute, index) || surelyLacks(backend, flowHash)) {
            continue;
        }
        const int zoneRank = backend.report.zone == state.options.zone ? 0 : 1;
        const bool isRanked = ranking.near.contains(index) || ranking.far.contains(index);
        const int rank = zoneRank + (isRanked ? 0 : servesRoute(backend, route) ? 2 : 4);
        if (rank < bestRank) {
            best = index;
            bestRank = rank;
        }
    }
    return best;
}

// What all agents together have said of a flow; without obstacles none of them can hold it. An agent that was
// heard of but cannot be asked now may hold any flow that it has not given back.
SearchObstacles obstaclesOf(const SteeringState &state, const SteeredFlow &flow, const FlowKey &key,
                            TimePoint now)
{
    SearchObstacles obstacles{.mute = static_cast<std::uint16_t>(flow.mute.size())};
    const auto flowHash = hashFlow(key);
    for (std::size_t i = 0; i < state.backends.size(); ++i) {
        const auto &backend = state.backends[i];
        const auto index = static_cast<BackendIndex>(i);
        // A server that left for good holds nothing, also while its agent is being taken away.
        if (backend.report.state == BackendState::Gone || contains(flow.tried, index)
            || contains(flow.mute, index)) {
            continue;
        }
        if (!isHeard(state, backend, now)) {
            const bool wasHeard = backend.reported != TimePoint{};
            const auto since = std::max(backend.reported, backend.introduced);
            const auto limit = wasHeard ? state.options.lostAfter : state.options.neverHeardAfter;
            obstacles.away += now - since < limit ? 1 : 0;
        } else if (!surelyLacks(backend, flowHash)) {
            ++obstacles.open;
        } else if (backend.reported <= flow.sought + transitTime) {
            ++obstacles.awaited;
        }
    }
    return obstacles;
}

// Whether the flow can be reset.
bool isLacking(const SteeringState &state, const SearchObstacles &obstacles, TimePoint now)
{
    return obstacles == SearchObstacles{} && !isCutOff(state, now);
}

// Remembers that an answer is owed; the caller's packet is not kept.
void leaveUnresolved(SteeringState &state, const FlowKey &key, SteeredFlow &flow)
{
    if (!flow.unresolved && state.unresolved.size() < state.options.maxUnresolved) {
        flow.unresolved = true;
        state.unresolved.push_back(key);
    }
}

void noteSought(SteeredFlow &flow, TimePoint now)
{
    if (flow.sought == TimePoint{}) {
        flow.sought = now;
    }
}

// A packet of an unknown flow that comes before anything is known.
SteeringDecision awaitKnowledge(SteeringState &state, const FlowKey &key, const Segment &segment,
                                TimePoint now)
{
    auto &flow = state.flows[key];
    flow.lastPacket = now;
    flow.found = false;
    flow.offeredAcknowledgement = segment.acknowledgement;
    noteSought(flow, now);
    leaveUnresolved(state, key, flow);
    return drop(SteeringCause::NotReady);
}

Duration undecidedPause(const SteeringState &state, const SteeredFlow &flow)
{
    if (flow.undecided == 0) {
        return state.options.searchPause;
    }
    return state.options.undecidedPause * (1 << (flow.undecided - 1));
}

SteeringDecision ask(SteeredFlow &flow, BackendIndex agent)
{
    flow.holder = agent;
    flow.asking = true;
    return {.act = SteeringAct::Ask, .cause = SteeringCause::Asking, .backend = agent};
}

// Notes come first: to offer a packet to servers that do not hold its flow costs time, and must not go on for
// long.
SteeringDecision searchOn(SteeringState &state, const VirtualRoute &route, SteeredFlow &flow,
                          const Segment &segment, TimePoint now)
{
    flow.found = false;
    flow.asking = false;
    flow.heardCaller = true;
    flow.offeredSequence = segment.sequence;
    flow.offeredAcknowledgement = segment.acknowledgement;
    flow.offered = now;
    noteSought(flow, now);
    const auto key = flowFromCaller(segment);
    if (flow.asked < noteAgents) {
        const auto directories = directoriesOf(state, key, now);
        while (flow.asked < directories.size()) {
            const auto agent = directories[flow.asked++];
            if (agent != noBackend && isHeard(state, state.backends[agent], now)) {
                return ask(flow, agent);
            }
        }
    }
    flow.holder = nextToAsk(state, route, key, flow, now);
    if (flow.holder != noBackend) {
        return forward(SteeringCause::Searching, flow.holder);
    }
    const auto obstacles = obstaclesOf(state, flow, key, now);
    flow.exhausted = now;
    flow.asked = 0;
    if (isLacking(state, obstacles, now)) {
        return refuse(SteeringCause::NotHeld);
    }
    const bool onlyAwaited = obstacles == SearchObstacles{.awaited = obstacles.awaited};
    if (!onlyAwaited) {
        flow.undecided = std::min<std::uint8_t>(flow.undecided + 1, maxPauseDoublings);
    }
    leaveUnresolved(state, key, flow);
    return {.act = SteeringAct::Drop, .cause = SteeringCause::Undecided, .obstacles = obstacles};
}

// The server said that it leaves for good, and its agent has ended since.
bool hasLeft(const SteeringState &state, const Backend &backend, TimePoint now)
{
    return backend.report.state == BackendState::Gone && !isHeard(state, backend, now);
}

// A caller that acknowledges more than at first has had an answer: the holder has the flow.
SteeringDecision followHolder(SteeredFlow &flow, const Segment &segment)
{
    auto decision = forward(SteeringCause::Known, flow.holder);
    if (!flow.heardCaller) {
        flow.heardCaller = true;
        flow.offeredAcknowledgement = segment.acknowledgement;
    }
    flow.answered |= segment.acknowledgement != flow.offeredAcknowledgement;
    decision.note = flow.answered && !flow.noted;
    flow.noted |= flow.answered;
    return decision;
}

// A packet of a flow that the holder was offered by a search. A caller that repeats the offered packet has
// heard nothing: a server that is down gives nothing back.
SteeringDecision steerOffered(SteeringState &state, const VirtualRoute &route, SteeredFlow &flow,
                              const Segment &segment, TimePoint now)
{
    const bool isRepeated
        = segment.sequence == flow.offeredSequence && now - flow.offered >= state.options.searchPause;
    if (flow.asking) {
        return isRepeated ? searchOn(state, route, flow, segment, now) : ask(flow, flow.holder);
    }
    if (segment.acknowledgement != flow.offeredAcknowledgement) {
        flow.found = true;
        flow.answered = true;
        flow.sought = {};
        flow.tried.clear();
        return followHolder(flow, segment);
    }
    if (!isRepeated) {
        return forward(SteeringCause::Known, flow.holder);
    }
    flow.mute.push_back(flow.holder);
    return searchOn(state, route, flow, segment, now);
}

// The answer of an agent that was asked for a note: the noted holder, or `noBackend`.
SteeringDecision steerAnswered(SteeringState &state, const VirtualRoute &route, SteeredFlow &flow,
                               const Segment &segment, BackendIndex from, BackendIndex noted, TimePoint now)
{
    if (flow.found || !flow.asking || flow.holder != from) {
        return flow.asking ? ask(flow, flow.holder) : forward(SteeringCause::Known, flow.holder);
    }
    if (noted == noBackend || contains(flow.tried, noted)) {
        return searchOn(state, route, flow, segment, now);
    }
    flow.asking = false;
    flow.found = true;
    flow.noted = true;
    flow.holder = noted;
    return forward(SteeringCause::Searching, noted);
}

SteeringDecision steerOpening(SteeringState &state, const VirtualRoute &route, const FlowKey &key,
                              TimePoint now)
{
    const auto [found, isNew] = state.flows.try_emplace(key);
    auto &flow = found->second;
    const bool isCopy = !isNew && flow.holder != noBackend && now - flow.opened < state.options.openingLimit;
    flow.lastPacket = now;
    if (!isCopy) {
        flow = {.lastPacket = now, .opened = now};
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
    case SteeringCause::Asking:
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
        state.backends.push_back({.host = host, .hash = AddressHash{}(host), .introduced = now});
    }
    return found->second;
}

void takeRoster(SteeringState &state, const std::vector<IpAddress> &hosts, TimePoint now)
{
    for (auto &backend : state.backends) {
        backend.missing = now - backend.introduced > state.options.entryTime && isHeard(state, backend, now);
    }
    for (const auto &host : hosts) {
        state.backends[backendOn(state, host, now)].missing = false;
    }
    state.rosterKnown = true;
}

bool isSettled(const SteeringState &state, TimePoint now)
{
    return std::none_of(state.backends.begin(), state.backends.end(), [&](const Backend &backend) {
        return backend.reported == TimePoint{} && now - backend.introduced < state.options.settleTime;
    });
}

bool isCutOff(const SteeringState &state, TimePoint now)
{
    return std::all_of(state.backends.begin(), state.backends.end(), [&](const Backend &backend) {
        return now - std::max(backend.reported, backend.introduced) > state.options.lostAfter;
    });
}

void noteStandstill(SteeringState &state, TimePoint now)
{
    for (auto &backend : state.backends) {
        backend.reported = {};
        backend.introduced = now;
    }
}

void takeReport(SteeringState &state, BackendIndex index, const Report &report, TimePoint now)
{
    auto &backend = state.backends[index];
    if (backend.reported == TimePoint{} || backend.report.lifetime != report.lifetime) {
        backend.started = now;
    }
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

bool isAwaited(const SteeringState &state, ServiceId service, TimePoint now)
{
    std::size_t awaited = 0;
    std::size_t ready = 0;
    for (const auto &backend : state.backends) {
        if (takesFlows(state, backend, service, now)) {
            ++ready;
            continue;
        }
        const bool isStarting = backend.report.service == service
            && backend.report.state == BackendState::Unknown && isHeard(state, backend, now)
            && now - backend.started < state.options.awaitTime;
        awaited += isStarting && !state.evacuated.contains(backend.report.zone) ? 1 : 0;
    }
    return awaited > ready;
}

BackendIndex chooseBackend(const SteeringState &state, ServiceId service, const FlowKey &flow,
                           const std::vector<BackendIndex> &tried, TimePoint now)
{
    const auto ranking = rankServers(state, flow, [&](BackendIndex index, const Backend &backend) {
        return takesFlows(state, backend, service, now) && !contains(tried, index);
    });

    struct Best
    {
        BackendIndex backend = noBackend;
        double load = std::numeric_limits<double>::infinity();

        void take(BackendIndex index, double indexLoad)
        {
            if (indexLoad < load) {
                backend = index;
                load = indexLoad;
            }
        }
    };

    Best any;
    Best anyNear;
    Best ranked;
    Best rankedNear;
    const std::size_t count = state.backends.size();
    for (std::size_t i = 0; i < count; ++i) {
        // Starts at another server each time, so that equals take turns.
        const auto index = static_cast<BackendIndex>((i + state.turn) % count);
        const auto &backend = state.backends[index];
        if (!takesFlows(state, backend, service, now) || contains(tried, index)) {
            continue;
        }
        const double load = loadOf(state.options, backend);
        any.take(index, load);
        if (backend.report.zone == state.options.zone) {
            anyNear.take(index, load);
        }
        if (ranking.near.contains(index)) {
            rankedNear.take(index, load);
            ranked.take(index, load);
        }
        if (ranking.far.contains(index)) {
            ranked.take(index, load);
        }
    }
    if (any.load > state.options.awaitedLoad && isAwaited(state, service, now)) {
        return noBackend;
    }
    const double acceptable = any.load * state.options.zoneMargin + state.options.zoneSlack;
    for (const auto &best : {rankedNear, anyNear, ranked}) {
        if (best.backend != noBackend && best.load <= acceptable) {
            return best.backend;
        }
    }
    return any.backend;
}

std::array<BackendIndex, noteAgents> directoriesOf(const SteeringState &state, const FlowKey &flow,
                                                   TimePoint now)
{
    Ranking<noteAgents> ranking;
    const std::uint64_t flowHash = hashFlow(flow);
    for (std::size_t i = 0; i < state.backends.size(); ++i) {
        const auto &backend = state.backends[i];
        const auto lastSign = std::max(backend.reported, backend.introduced);
        if (now - lastSign <= state.options.lostAfter) {
            ranking.insert(static_cast<BackendIndex>(i), mixHash(flowHash ^ backend.hash));
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
    if (!state.configured || !state.rosterKnown) {
        return segment.opens() || segment.rst ? drop(SteeringCause::NotReady)
                                              : awaitKnowledge(state, key, segment, now);
    }
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
    if (flow.holder != noBackend && segment.rst && !flow.asking) {
        const auto holder = flow.holder;
        state.flows.erase(found);
        return forward(SteeringCause::Known, holder);
    }
    if (flow.holder != noBackend && flow.found && hasLeft(state, state.backends[flow.holder], now)) {
        state.flows.erase(found);
        return refuse(SteeringCause::NotHeld);
    }
    if (flow.holder != noBackend) {
        return flow.found ? followHolder(flow, segment)
                          : steerOffered(state, route->second, flow, segment, now);
    }
    if (!isNew && now - flow.exhausted < undecidedPause(state, flow)) {
        return drop(SteeringCause::Undecided);
    }
    if (!isSettled(state, now)) {
        return awaitKnowledge(state, key, segment, now);
    }
    flow.mute.clear();
    return searchOn(state, route->second, flow, segment, now);
}

SteeringDecision steerReturned(SteeringState &state, const Segment &segment, BackendIndex from,
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
        return steerAnswered(state, route->second, flow, segment, from,
                             reason == ReturnReason::Noted ? backendOn(state, holder, now) : noBackend, now);
    }
    if (reason == ReturnReason::Ended) {
        state.flows.erase(found);
        return refuse(SteeringCause::NotHeld);
    }
    if (reason == ReturnReason::NotReady && segment.opens()) {
        // The agent's next report tells when its server takes flows again.
        state.backends[from].report.state = BackendState::Silent;
    }
    if (!contains(flow.tried, from)) {
        flow.tried.push_back(from);
    }
    std::erase(flow.mute, from);
    if (flow.asking) {
        return segment.opens() ? drop(SteeringCause::Moved) : ask(flow, flow.holder);
    }
    if (flow.holder != from) {
        return segment.opens() ? drop(SteeringCause::Moved) : forward(SteeringCause::Searching, flow.holder);
    }
    if (segment.opens()) {
        return placeFlow(state, route->second, key, flow, SteeringCause::Moved, now);
    }
    if (flow.found) {
        // Servers that refused its opening packet may have taken a copy by another balancer since.
        flow.tried = {from};
        flow.mute.clear();
    }
    flow.noted = false;
    flow.answered = false;
    return searchOn(state, route->second, flow, segment, now);
}

std::vector<FlowReset> concludeSearches(SteeringState &state, TimePoint now)
{
    std::vector<FlowReset> resets;
    if (!state.configured || !state.rosterKnown || !isSettled(state, now)) {
        return resets;
    }
    std::erase_if(state.unresolved, [&](const FlowKey &key) {
        const auto entry = state.flows.find(key);
        if (entry == state.flows.end()) {
            return true;
        }
        auto &flow = entry->second;
        if (flow.found || now - flow.lastPacket > state.options.unresolvedTime) {
            flow.unresolved = false;
            return true;
        }
        if (flow.holder != noBackend || !isLacking(state, obstaclesOf(state, flow, key, now), now)) {
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
    const auto configured = 2 * state.table.idleLimit;
    const auto limit = state.table.idleLimit > std::chrono::milliseconds::zero()
        ? configured
        : state.options.defaultIdleLimit;
    std::erase_if(state.flows, [&](const auto &entry) { return now - entry.second.lastPacket > limit; });
}

} // namespace oriolelever
