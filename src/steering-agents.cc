// The agents that a balancer knows, see steering.h.
#include <algorithm>

#include "oriolelever/steering.h"

namespace oriolelever {

namespace {

// Whether the agent can be forgotten unless a flow names it: it has no entry, and is not waited for any more.
bool isExpired(const SteeringState &state, const Backend &backend, TimePoint now)
{
    if (backend.isListed) {
        return false;
    }
    const std::chrono::milliseconds retention
        = backend.hasReported ? state.options.agentRetention : state.options.neverReportedTimeout;
    return now - std::max(backend.reportedAt, backend.knownSince) > retention;
}

// By `BackendIndex`, whether a flow in the cache names the agent.
std::vector<bool> namedAgents(const SteeringState &state)
{
    std::vector<bool> named(state.backends.size());
    const auto markAll = [&](const std::vector<BackendIndex> &indexes) {
        for (const auto index : indexes) {
            named[index] = true;
        }
    };
    for (const auto &[key, flow] : state.flows) {
        if (flow.holder != noBackend) {
            named[flow.holder] = true;
        }
        markAll(flow.rejectedBy);
        markAll(flow.unresponsive);
    }
    return named;
}

// Removes the agents whose new position is `noBackend` and moves the others there.
void moveAgents(SteeringState &state, const std::vector<BackendIndex> &positions)
{
    for (std::size_t i = 0; i < positions.size(); ++i) {
        if (positions[i] == noBackend) {
            state.backendByHost.erase(state.backends[i].host);
        } else if (positions[i] != i) {
            state.backendByHost[state.backends[i].host] = positions[i];
            state.backends[positions[i]] = state.backends[i];
        }
    }
    state.backends.resize(state.backendByHost.size());
    const auto update = [&](std::vector<BackendIndex> &indexes) {
        for (auto &index : indexes) {
            index = positions[index];
        }
    };
    for (auto &[key, flow] : state.flows) {
        flow.holder = flow.holder == noBackend ? noBackend : positions[flow.holder];
        update(flow.rejectedBy);
        update(flow.unresponsive);
    }
    if (state.backends.capacity() > 2 * state.backends.size()) {
        state.backends.shrink_to_fit();
        state.backendByHost.rehash(0);
    }
}

// Returns how many agents were forgotten.
std::size_t forgetExpiredAgents(SteeringState &state, TimePoint now)
{
    const auto canExpire = [&](const Backend &backend) {
        return isExpired(state, backend, now);
    };
    if (std::ranges::none_of(state.backends, canExpire)) {
        return 0;
    }
    const auto named = namedAgents(state);
    const auto before = state.backends.size();
    std::vector<BackendIndex> positions(before, noBackend);
    BackendIndex next = 0;
    for (std::size_t i = 0; i < before; ++i) {
        if (named[i] || !canExpire(state.backends[i])) {
            positions[i] = next++;
        }
    }
    if (next < before) {
        moveAgents(state, positions);
    }
    return before - next;
}

} // namespace

BackendIndex findOrAddBackend(SteeringState &state, const IpAddress &host, TimePoint now)
{
    const auto found = state.backendByHost.find(host);
    if (found != state.backendByHost.end()) {
        return found->second;
    }
    if (state.backends.size() == noBackend) {
        return noBackend;
    }
    const auto index = static_cast<BackendIndex>(state.backends.size());
    state.backends.push_back({.host = host, .hostHash = AddressHash{}(host), .knownSince = now});
    state.backendByHost.emplace(host, index);
    return index;
}

AgentListChange applyAgentList(SteeringState &state, const std::vector<IpAddress> &hosts, TimePoint now)
{
    for (auto &backend : state.backends) {
        backend.isListed = false;
        backend.isEntryMissing = now - backend.knownSince > state.options.entryCreationTimeout
            && isReachable(state, backend, now);
    }
    for (const auto &host : hosts) {
        if (const auto found = state.backendByHost.find(host); found != state.backendByHost.end()) {
            state.backends[found->second].isListed = true;
            state.backends[found->second].isEntryMissing = false;
        }
    }
    AgentListChange change{.forgotten = forgetExpiredAgents(state, now)};
    auto unreported = std::ranges::count(state.backends, false, &Backend::hasReported);
    const auto maxUnreported = static_cast<std::ptrdiff_t>(state.options.maxUnreportedAgents);
    for (const auto &host : hosts) {
        if (state.backendByHost.contains(host)) {
            continue;
        }
        const auto index = unreported < maxUnreported ? findOrAddBackend(state, host, now) : noBackend;
        if (index == noBackend) {
            ++change.excluded;
            continue;
        }
        state.backends[index].isListed = true;
        ++unreported;
    }
    if (change.excluded > state.excludedAgents) {
        state.agentsExcludedAt = now;
    }
    state.excludedAgents = change.excluded;
    state.hasAgentList = true;
    return change;
}

bool awaitsExcludedAgents(const SteeringState &state, std::chrono::milliseconds wait, TimePoint now)
{
    return state.excludedAgents > 0 && now - state.agentsExcludedAt < wait;
}

} // namespace oriolelever
