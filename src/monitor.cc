#include "oriolelever/monitor.h"

#include <algorithm>

namespace oriolelever {

namespace {

// The process counts as paused if a tick is later than this many heartbeat intervals.
constexpr int pauseThreshold = 2;

// Adds `target` to `next`, with its state in `monitor` if it is monitored at the same endpoint.
void addTarget(Monitor &monitor, const Target &target, std::chrono::milliseconds interval, TimePoint now,
               std::map<std::string, MonitoredNode> &next)
{
    const auto known = monitor.targets.find(target.name);
    if (known != monitor.targets.end() && known->second.target == target) {
        next.insert(*known);
        next.at(target.name).interval = interval;
        return;
    }
    next[target.name] = {.target = target, .interval = interval, .lastContactAt = now, .nextPingAt = now};
}

void clearSuspicions(Monitor &monitor, TimePoint now)
{
    for (auto &[name, node] : monitor.targets) {
        node.lastContactAt = now;
        node.nextPingAt = now;
        node.isSuspected = false;
        node.isConfirmed = false;
    }
}

// Requests probes of `node` by random helpers.
void addProbes(const Monitor &monitor, const MonitoredNode &node, std::span<const Target> helpers,
               std::minstd_rand &random, std::vector<ProbeRequest> &probes)
{
    std::vector<Target> candidates;
    for (const auto &helper : helpers) {
        if (helper.name != node.target.name) {
            candidates.push_back(helper);
        }
    }
    for (std::size_t i = 0; i < monitor.options.helperCount && !candidates.empty(); ++i) {
        const auto chosen = candidates.begin() + static_cast<std::ptrdiff_t>(random() % candidates.size());
        probes.push_back({.helper = *chosen, .subject = node.target});
        candidates.erase(chosen);
    }
}

} // namespace

void setTargets(Monitor &monitor, std::span<const Target> members, std::span<const Target> agents,
                TimePoint now)
{
    const auto &options = monitor.options;
    std::map<std::string, MonitoredNode> next;
    for (const auto &target : agents) {
        addTarget(monitor, target, options.heartbeatInterval * static_cast<int>(options.agentIntervalFactor),
                  now, next);
    }
    for (const auto &target : members) {
        addTarget(monitor, target, options.heartbeatInterval, now, next);
    }
    monitor.targets = std::move(next);
}

MonitorActions tick(Monitor &monitor, std::span<const Target> helpers, TimePoint now,
                    std::minstd_rand &random)
{
    const auto &options = monitor.options;
    MonitorActions actions;
    const bool wasPaused = monitor.lastTick != TimePoint{}
        && now - monitor.lastTick > options.heartbeatInterval * pauseThreshold;
    monitor.lastTick = now;
    if (wasPaused) {
        clearSuspicions(monitor, now);
    }
    for (auto &entry : monitor.targets) {
        const std::string &name = entry.first;
        auto &node = entry.second;
        const bool hasOtherHelper = std::any_of(helpers.begin(), helpers.end(),
                                                [&](const Target &helper) { return helper.name != name; });
        const bool isExpired = node.isSuspected && now - node.suspectedSince >= options.suspicionTimeout;
        if (isExpired && (node.isConfirmed || !hasOtherHelper)) {
            actions.down.push_back(name);
            continue;
        }
        if (now < node.nextPingAt) {
            continue;
        }
        actions.pings.push_back(node.target);
        node.nextPingAt = now + (node.isSuspected ? options.heartbeatInterval : node.interval);
        const auto timeout = node.interval * static_cast<int>(options.missedHeartbeatLimit);
        if (!node.isSuspected && now - node.lastContactAt >= timeout) {
            node.isSuspected = true;
            node.suspectedSince = now;
            node.isConfirmed = false;
        }
        if (node.isSuspected) {
            addProbes(monitor, node, helpers, random, actions.probes);
        }
    }
    for (const auto &name : actions.down) {
        monitor.targets.erase(name);
    }
    return actions;
}

void recordAlive(Monitor &monitor, const std::string &name, TimePoint now)
{
    monitor.lastAnswerAt = now;
    const auto found = monitor.targets.find(name);
    if (found == monitor.targets.end()) {
        return;
    }
    found->second.lastContactAt = now;
    found->second.isSuspected = false;
    found->second.isConfirmed = false;
}

void recordProbeResult(Monitor &monitor, const std::string &name, bool reached, TimePoint now)
{
    monitor.lastAnswerAt = now;
    const auto found = monitor.targets.find(name);
    if (found == monitor.targets.end()) {
        return;
    }
    if (reached) {
        recordAlive(monitor, name, now);
    } else {
        found->second.isConfirmed = found->second.isSuspected;
    }
}

std::vector<Target> successorsOf(std::span<const Member> members, const std::string &zone,
                                 const std::string &self, std::size_t count)
{
    const auto own
        = std::lower_bound(members.begin(), members.end(), labelOf(zone, self),
                           [](const Member &member, std::uint64_t label) { return member.label < label; });
    std::vector<Target> successors;
    const auto start = static_cast<std::size_t>(own - members.begin());
    for (std::size_t i = 0; i < members.size() && successors.size() < count; ++i) {
        const auto &member = members[(start + i) % members.size()];
        if (member.name != self) {
            successors.push_back({member.name, member.control});
        }
    }
    return successors;
}

ZoneVerdict evaluateZoneCheck(const ZoneCheck &check, TimePoint now)
{
    if (check.isAlive) {
        return ZoneVerdict::Alive;
    }
    if (now - check.startedAt < zoneCheckDuration) {
        return ZoneVerdict::Waiting;
    }
    return check.isConfirmed ? ZoneVerdict::Lost : ZoneVerdict::Undecided;
}

} // namespace oriolelever
