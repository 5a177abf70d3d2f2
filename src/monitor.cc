#include "oriolelever/monitor.h"

#include <algorithm>

namespace oriolelever {

namespace {

// A tick this late, in heartbeats, means that the process was paused.
constexpr int pausedHeartbeats = 2;

void add(Monitor &monitor, const Target &target, std::chrono::milliseconds interval, TimePoint now,
         std::map<std::string, Watched> &next)
{
    const auto known = monitor.targets.find(target.name);
    if (known != monitor.targets.end() && known->second.target == target) {
        next.insert(*known);
        next.at(target.name).interval = interval;
        return;
    }
    next[target.name] = {.target = target, .interval = interval, .heard = now, .nextPing = now};
}

void forgetSuspicions(Monitor &monitor, TimePoint now)
{
    for (auto &[name, watched] : monitor.targets) {
        watched.heard = now;
        watched.nextPing = now;
        watched.suspected = false;
        watched.confirmed = false;
    }
}

void askHelpers(const Monitor &monitor, const Watched &watched, std::span<const Target> helpers,
                std::minstd_rand &random, std::vector<ProbeRequest> &probes)
{
    std::vector<Target> others;
    for (const auto &helper : helpers) {
        if (helper.name != watched.target.name) {
            others.push_back(helper);
        }
    }
    for (std::size_t i = 0; i < monitor.options.helpers && !others.empty(); ++i) {
        const auto chosen = others.begin() + static_cast<std::ptrdiff_t>(random() % others.size());
        probes.push_back({.via = *chosen, .subject = watched.target});
        others.erase(chosen);
    }
}

} // namespace

void setTargets(Monitor &monitor, std::span<const Target> members, std::span<const Target> agents,
                TimePoint now)
{
    const auto &options = monitor.options;
    std::map<std::string, Watched> next;
    for (const auto &target : agents) {
        add(monitor, target, options.heartbeat * static_cast<int>(options.agentFactor), now, next);
    }
    for (const auto &target : members) {
        add(monitor, target, options.heartbeat, now, next);
    }
    monitor.targets = std::move(next);
}

MonitorActions tick(Monitor &monitor, std::span<const Target> helpers, TimePoint now,
                    std::minstd_rand &random)
{
    const auto &options = monitor.options;
    MonitorActions actions;
    const bool paused
        = monitor.lastTick != TimePoint{} && now - monitor.lastTick > options.heartbeat * pausedHeartbeats;
    monitor.lastTick = now;
    if (paused) {
        forgetSuspicions(monitor, now);
    }
    for (auto &entry : monitor.targets) {
        const std::string &name = entry.first;
        auto &watched = entry.second;
        const bool otherHelpers = std::any_of(helpers.begin(), helpers.end(),
                                              [&](const Target &helper) { return helper.name != name; });
        const bool overdue = watched.suspected && now - watched.suspectedSince >= options.suspicion;
        if (overdue && (watched.confirmed || !otherHelpers)) {
            actions.down.push_back(name);
            continue;
        }
        if (now < watched.nextPing) {
            continue;
        }
        actions.pings.push_back(watched.target);
        watched.nextPing = now + (watched.suspected ? options.heartbeat : watched.interval);
        const auto silence = watched.interval * static_cast<int>(options.missedToSuspect);
        if (!watched.suspected && now - watched.heard >= silence) {
            watched.suspected = true;
            watched.suspectedSince = now;
            watched.confirmed = false;
        }
        if (watched.suspected) {
            askHelpers(monitor, watched, helpers, random, actions.probes);
        }
    }
    for (const auto &name : actions.down) {
        monitor.targets.erase(name);
    }
    return actions;
}

void noteAlive(Monitor &monitor, const std::string &name, TimePoint now)
{
    monitor.ownPingAnswered = now;
    const auto found = monitor.targets.find(name);
    if (found == monitor.targets.end()) {
        return;
    }
    found->second.heard = now;
    found->second.suspected = false;
    found->second.confirmed = false;
}

void noteProbe(Monitor &monitor, const std::string &name, bool reached, TimePoint now)
{
    monitor.ownPingAnswered = now;
    const auto found = monitor.targets.find(name);
    if (found == monitor.targets.end()) {
        return;
    }
    if (reached) {
        noteAlive(monitor, name, now);
    } else {
        found->second.confirmed = found->second.suspected;
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

ZoneVerdict judge(const ZoneCheck &check, TimePoint now)
{
    if (check.alive) {
        return ZoneVerdict::Alive;
    }
    if (now - check.started < zoneCheckTime) {
        return ZoneVerdict::Waiting;
    }
    return check.confirmed ? ZoneVerdict::Lost : ZoneVerdict::Undecided;
}

} // namespace oriolelever
