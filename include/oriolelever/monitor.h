/// Failure detection between nodes as pure functions: heartbeats, suspicion, indirect probes.
#pragma once

#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "oriolelever/dissem.h"

namespace oriolelever {

struct MonitorOptions
{
    std::chrono::milliseconds heartbeat{500}; ///< Between pings of one target.
    std::chrono::milliseconds suspicion{2000}; ///< From suspicion to removal.
    std::size_t missedToSuspect = 3; ///< Heartbeats without an answer.
    std::size_t helpers = 3; ///< Nodes asked to probe a suspect.
    std::size_t successors = 3; ///< Members that each member pings.
    std::size_t agentFactor = 2; ///< Agents are pinged this many times less often.
};

/// A node that can be pinged.
struct Target
{
    std::string name;
    Endpoint endpoint;

    auto operator<=>(const Target &) const = default;
};

/// One node that this process watches.
struct Watched
{
    Target target;
    std::chrono::milliseconds interval{500};
    TimePoint heard; ///< Last sign of life, or when it was added.
    TimePoint nextPing;
    bool suspected = false;
    TimePoint suspectedSince;
    bool confirmed = false; ///< A helper could not reach it either.
};

struct Monitor
{
    MonitorOptions options;
    std::map<std::string, Watched> targets;
    TimePoint lastTick{};
    TimePoint ownPingAnswered{}; ///< Last sign of life of any target or helper.
};

struct ProbeRequest
{
    Target via;
    Target subject;
};

/// What a tick asks for.
struct MonitorActions
{
    std::vector<Target> pings;
    std::vector<ProbeRequest> probes;
    std::vector<std::string> down; ///< Found dead; no longer watched.
};

/// Replaces the watched nodes; those that stay keep their state.
void setTargets(Monitor &monitor, std::span<const Target> members, std::span<const Target> agents,
                TimePoint now);

/// To be called several times per heartbeat. A process that was paused forgets its suspicions, so that it
/// accuses no one of what it did not hear itself. A target is found dead only after a helper could not reach
/// it either, unless there are no helpers at all.
MonitorActions tick(Monitor &monitor, std::span<const Target> helpers, TimePoint now,
                    std::minstd_rand &random);

/// Notes a sign of life of `name`.
void noteAlive(Monitor &monitor, const std::string &name, TimePoint now);
/// Notes what a helper found.
void noteProbe(Monitor &monitor, const std::string &name, bool reached, TimePoint now);

/// The members that the one called `self` pings: the next `count` in the ring of labels.
std::vector<Target> successorsOf(std::span<const Member> members, const std::string &zone,
                                 const std::string &self, std::size_t count);

/// Check whether a whole zone is lost, made once several of its nodes were found dead in a short time.
struct ZoneCheck
{
    std::string zone;
    std::vector<Target> sample;
    TimePoint started;
    bool alive = false; ///< One of the sample answered.
    bool confirmed = false; ///< A helper of another zone got no answer either.
};

constexpr std::size_t zoneCheckSample = 8;
/// Nodes of one zone found dead within `zoneCheckWindow` that start a check.
constexpr std::size_t zoneCheckThreshold = 3;
constexpr std::chrono::seconds zoneCheckWindow{10};
constexpr std::chrono::seconds zoneCheckTime{2};

enum class ZoneVerdict { Waiting, Alive, Lost, Undecided };

ZoneVerdict judge(const ZoneCheck &check, TimePoint now);

} // namespace oriolelever
