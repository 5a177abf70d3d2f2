/// Failure detection between nodes by heartbeats, suspicion and indirect probes. No I/O and no clock.
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
    std::chrono::milliseconds heartbeatInterval{500}; ///< Between pings of one member.
    std::chrono::milliseconds suspicionTimeout{2000}; ///< From suspicion until a node may be declared dead.
    std::size_t missedHeartbeatLimit = 3; ///< Ping intervals without an answer until a node is suspected.
    std::size_t helperCount = 3; ///< Nodes that probe a suspected node, per ping.
    std::size_t successorCount = 3; ///< Members that each member pings: the next ones in the ring of labels.
    std::size_t agentIntervalFactor = 2; ///< Ping interval of agents, in heartbeat intervals.
};

/// A node that can be pinged.
struct Target
{
    std::string name;
    Endpoint endpoint;

    auto operator<=>(const Target &) const = default;
};

/// State of one node that this process pings.
struct MonitoredNode
{
    Target target;
    std::chrono::milliseconds interval{500}; ///< Between pings while it is not suspected.
    TimePoint lastContactAt; ///< When it last answered a ping or a helper reached it, or when it was added.
    TimePoint nextPingAt;
    bool isSuspected = false;
    TimePoint suspectedSince; ///< Valid if `isSuspected`.
    bool isConfirmed = false; ///< A helper did not reach it since the suspicion.
};

/// State of the failure detector of one process.
struct Monitor
{
    MonitorOptions options;
    std::map<std::string, MonitoredNode> targets; ///< By name.
    TimePoint lastTick{}; ///< Zero before the first.
    TimePoint lastAnswerAt{}; ///< When any node or helper last answered.
};

/// Request to `helper` to ping `subject`.
struct ProbeRequest
{
    Target helper;
    Target subject;
};

/// Actions for the caller of `tick`.
struct MonitorActions
{
    std::vector<Target> pings;
    std::vector<ProbeRequest> probes;
    std::vector<std::string> down; ///< Names of nodes found dead; they are no longer monitored.
};

/// Replaces the monitored nodes; a node that stays at the same endpoint keeps its state.
void setTargets(Monitor &monitor, std::span<const Target> members, std::span<const Target> agents,
                TimePoint now);

/// Advances the failure detector; to be called several times per heartbeat interval. A process that was
/// paused clears its suspicions: it could not receive answers, so their absence proves nothing. A node is
/// found dead only after a helper did not reach it either, unless there is no other node to help.
MonitorActions tick(Monitor &monitor, std::span<const Target> helpers, TimePoint now,
                    std::minstd_rand &random);

/// Records that `name` was reached and clears its suspicion.
void recordAlive(Monitor &monitor, const std::string &name, TimePoint now);
/// Records whether a helper reached `name`. A failure counts only while `name` is suspected.
void recordProbeResult(Monitor &monitor, const std::string &name, bool reached, TimePoint now);

/// Returns the members that `self` pings: the next `count` in the ring of labels. `members` ascends by label.
std::vector<Target> successorsOf(std::span<const Member> members, const std::string &zone,
                                 const std::string &self, std::size_t count);

/// Check whether a whole zone is lost, started after several of its nodes were found dead in a short time.
struct ZoneCheck
{
    std::string zone;
    std::vector<Target> sample; ///< Random nodes of the zone, pinged directly and by helpers of other zones.
    TimePoint startedAt;
    bool isAlive = false; ///< A node of the sample was reached.
    bool isConfirmed = false; ///< A helper elsewhere did not reach a node either, or there is none.
};

/// Most nodes of a zone that are pinged in a check.
constexpr std::size_t zoneCheckSampleSize = 8;
/// Nodes of one zone that are suspected or found dead within `zoneCheckWindow` and so start a check.
constexpr std::size_t zoneCheckThreshold = 3;
constexpr std::chrono::seconds zoneCheckWindow{10};
/// Time for answers before the verdict.
constexpr std::chrono::seconds zoneCheckDuration{2};

enum class ZoneVerdict {
    Waiting, ///< The check goes on.
    Alive, ///< A node of the sample was reached.
    Lost, ///< No node was reached, neither by this process nor by a helper of another zone.
    Undecided ///< This process reached no node, and no helper confirmed it.
};

/// Returns the verdict of `check`. A loss needs the confirmation of a helper, so that a process that is cut
/// off itself declares none.
ZoneVerdict evaluateZoneCheck(const ZoneCheck &check, TimePoint now);

} // namespace oriolelever
