/// What the sources of `steering.h` share: the ranking of servers for a flow, and the placement of new flows.
#pragma once

#include <algorithm>
#include <array>

#include "oriolelever/steering.h"

namespace oriolelever {

/// Finalizer of MurmurHash3: every bit of the input changes every bit of the output.
inline std::uint64_t mixHash(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

/// The servers with the highest scores for a flow, in descending order.
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

/// Servers of the balancer's zone and of the other zones, ranked for a flow.
struct FlowRanking
{
    Ranking<rankedServerCount> ownZone;
    Ranking<rankedServerCount> otherZones;
};

/// Ranks servers by the hash of flow and host (rendezvous hashing), so that balancers agree without exchange.
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

inline bool contains(const std::vector<BackendIndex> &indexes, BackendIndex index)
{
    return std::find(indexes.begin(), indexes.end(), index) != indexes.end();
}

inline SteeringDecision reset(SteeringCause cause)
{
    return {.action = SteeringAction::Reset, .cause = cause};
}

inline SteeringDecision drop(SteeringCause cause)
{
    return {.action = SteeringAction::Drop, .cause = cause};
}

inline SteeringDecision forward(SteeringCause cause, BackendIndex backend, ServiceId service = {})
{
    return {.action = SteeringAction::Forward, .cause = cause, .backend = backend, .service = service};
}

/// Whether the zones' room decides about the route's new flows.
bool usesRooms(const SteeringState &state, const VirtualRoute &route);

/// Keeps what the agent's former start has learned, if the agent has just restarted.
void rememberCapacity(const PaceOptions &options, Backend &backend, const Report &report, TimePoint now);

void updateRelativePace(SteeringState &state, Backend &backend, TimePoint now);

/// Whether the server's service is one of the route's.
bool servesRoute(const Backend &backend, const VirtualRoute &route);

/// Chooses the server for a new flow. Without one, the packet is dropped while a server may still become
/// ready, and answered with a reset otherwise.
SteeringDecision placeFlow(SteeringState &state, const VirtualRoute &route, const FlowKey &key,
                           SteeredFlow &flow, SteeringCause cause, TimePoint now);

/// Decides about an opening packet that the agent of a busy server returned. It goes to the least loaded
/// other server if that has fewer requests, and waits at the busy one otherwise. Its next agent cannot return
/// it as busy, so it is passed on once.
SteeringDecision placeAfterBusy(SteeringState &state, const VirtualRoute &route, const FlowKey &key,
                                SteeredFlow &flow, BackendIndex busy, TimePoint now);

/// Decides about an opening packet of a route with terms that an agent returned as full. It is offered to one
/// other server whose agent has not refused since its last report: offering it to each in turn would multiply
/// the load while all are full.
SteeringDecision placeAfterRefusal(SteeringState &state, const VirtualRoute &route, const FlowKey &key,
                                   SteeredFlow &flow, BackendIndex full, TimePoint now);

} // namespace oriolelever
