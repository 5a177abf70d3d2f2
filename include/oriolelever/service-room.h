/// Spare capacity of a service's availability zones, and the decisions that a balancer bases on it.
///
/// Handles demand that differs between zones (bursts, and waves that reach the zones one after the other),
/// and demand above the capacity of the whole service. A zone that runs short of room sends a share of its
/// new flows to zones that have room; if no server can start a request within the time that its caller has
/// left, the opening packet is refused.
///
/// Inputs are the agents' reports, 0.2 to 1 s old. A zone whose reports are missing or have timed out has no
/// room. A server whose pace is unknown, zero or not a number never causes a refusal, nor does a report that
/// is older than `RoomOptions::maxReportPeriods`. Each balancer decides on its own. Nothing here does I/O or
/// reads a clock.
///
///     beginUpdate(room);
///     for (const auto &server : servers) {
///         addServer(room, server);
///     }
///     finishUpdate(room, options, ownZone, now);
///     const auto zone = zoneForFlow(room, ownZone, ++counter);
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "oriolelever/route-terms.h"
#include "oriolelever/types.h"

namespace oriolelever {

/// Thresholds of the decisions. The load of a zone is the fraction of its slots in use, plus what waits for
/// longer than `tolerableQueue` stands for.
struct RoomOptions
{
    /// A report period of a loaded service: shares change by the stated fractions in this time.
    std::chrono::milliseconds sharePeriod{200};
    std::chrono::milliseconds updatePeriod{100}; ///< Shortest time between two updates.
    /// Load above which a zone sends new flows to others, as its servers run out of free slots. Above 0.75
    /// other zones' agents report more often.
    double spillLoad = 0.9;
    /// Waiting requests per slot of a zone that do not count as load: on average they wait for half the time
    /// of an answer. Chance and reports of different ages cause such queues at moderate load, too.
    double tolerableQueue = 0.5;
    /// A zone begins to send flows only to zones whose load is lower by at least this much, and takes its
    /// share back from those whose load is not lower by half of it: callers would gain nothing.
    double hysteresis = 0.2;
    double releaseFraction = 0.1; ///< Fraction of a share that is taken back in a report period at most.
    /// Fraction of other zones' room that one report period's change of the shares may use: the other zones
    /// may send flows to the same room before the next report.
    double roomFraction = 0.5;
    /// Time constant of loads and demand. At 30 slots of which 0.75 are in use, the load varies by 0.08 from
    /// report to report; this time covers two to four reports.
    std::chrono::milliseconds smoothingTime{400};
    /// A caller gives up an opening packet after this time.
    std::chrono::milliseconds openingPatience{1400};
    /// Age of a report, in the periods asked for, up to which it may cause a refusal.
    double maxReportPeriods = 1.5;
    double shareLogStep = 0.1; ///< Changes of a share by at least this much are logged.
};

/// What the balancer knows of a server that accepts new flows.
struct ServerRoom
{
    ZoneId zone;
    double slots = 1; ///< Requests that the server answers well at the same time.
    double requests = 0; ///< Under way at the server.
    double queued = 0; ///< Opening packets and requests that wait at its agent.
    double placed = 0; ///< New flows from this balancer since the report.
    double answersPerSecond = 0; ///< Pace; 0 if unknown.
    bool isFailing = false; ///< The server resets flows instead of answering their requests.
    bool isUnreliable = false; ///< The server has reset a request lately.
    std::chrono::milliseconds longestWait{0}; ///< Of those that wait at the agent.
    Duration reportAge{0};
    Duration reportPeriod{0}; ///< Period that the agent was asked for.
};

/// Room of a service in one zone.
struct ZoneRoom
{
    ZoneId zone;
    std::uint32_t servers = 0; ///< That accept new flows; with 0 the zone has no room.
    double slots = 0;
    double requests = 0; ///< Under way and waiting.
    double used = 0; ///< Slots with a request.
    double queued = 0; ///< Those of `requests` that wait at agents.
    std::chrono::milliseconds longestWait{0};
    Duration oldestReport{0}; ///< Age of the oldest report included.
    double load = 0; ///< Smoothed.
    double share = 0; ///< Share of the own zone's new flows that goes here; 0 for the own zone.
    double loggedShare = 0; ///< `share` when it was logged last.
    bool hadServers = false; ///< At the previous update.

    /// Slots in use and requests beyond the tolerable queue, per slot; not smoothed.
    double currentLoad(const RoomOptions &options) const;
    /// Slots without a request, by the smoothed load.
    double room() const;
};

/// Room of a service, and the balancer's shares of its new flows.
struct ServiceRoom
{
    std::vector<ZoneRoom> zones; ///< Never shrinks; few.
    double demand = 0; ///< Smoothed load that the own zone would have if it sent no flows to others.
    double recentShare = 0; ///< Sum of the shares, smoothed over the time that reports take to show them.
    TimePoint updatedAt{}; ///< Zero before the first update.
    /// Least time until the server that could start a request first has worked off what it had; zero if this
    /// is unknown for any server, or no server accepts flows.
    Duration leastWait{0};
    bool isWaitKnown = false; ///< `leastWait` is based on recent reports of all servers.
    std::uint8_t leastUrgent = 0; ///< Least urgent priority of the service's routes with terms.
    std::uint32_t failingServers = 0; ///< Of those that accept flows.
    bool areMostFailing = false; ///< Leaving out the failing servers could overload the others.
    std::uint32_t unreliableServers = 0; ///< Of those that accept flows.
    bool areMostUnreliable = false; ///< Leaving out the unreliable servers could overload the others.
    bool hadOwnServers = true; ///< The own zone had a server at the previous update.
};

/// A change of a share that is to be logged.
struct ShareChange
{
    ZoneId from;
    ZoneId to;
    double before = 0;
    double after = 0;
    double ownLoad = 0; ///< Load of `from`.
    double otherLoad = 0; ///< Load of `to`.
    double room = 0; ///< Of `to`, in slots.
    Duration oldestReport{0}; ///< Age of the oldest report of `to`.
};

/// Starts an update: `addServer` for each server that accepts flows follows, then `finishUpdate`.
void beginUpdate(ServiceRoom &room);
void addServer(ServiceRoom &room, const RoomOptions &options, const ServerRoom &server);
/// Smooths the zones' loads and changes the shares. `ownZone` is the balancer's.
void finishUpdate(ServiceRoom &room, const RoomOptions &options, ZoneId ownZone, TimePoint now);

/// Returns the zone for a new flow; unset if no zone has a server. Consecutive counters spread flows over the
/// zones by their shares.
ZoneId zoneForFlow(const ServiceRoom &room, ZoneId ownZone, std::uint32_t counter);

/// Sum of the shares of other zones.
double remoteShare(const ServiceRoom &room);

/// Returns the expected time until the server has worked off what it had when its agent reported, and what
/// this balancer has sent since; negative if the pace is unknown.
Duration expectedWait(const ServerRoom &server);

/// Returns how long the caller has waited at least: since `openedAt`, and by the packet's number of earlier
/// copies, which callers send after 200 ms and 600 ms.
Duration openingElapsed(std::uint32_t copies, TimePoint openedAt, TimePoint now);

/// Returns the time that the caller of an opening packet has left, negative if it has given up.
Duration timeLeft(const RoomOptions &options, const RouteTerms &terms, Duration elapsed);

/// Whether an opening packet is to be refused as recent reports of all servers show that none can start its
/// request in time. A route that is not the least urgent of the service is never refused: its agents may
/// serve it before the work that waits.
bool mustRefuse(const ServiceRoom &room, const RouteTerms &terms, Duration left, TimePoint now);

/// Returns the next change of a share that is to be logged, and counts it as logged; false if there is none.
bool takeShareChange(ServiceRoom &room, const RoomOptions &options, ZoneId ownZone, ShareChange &out);

} // namespace oriolelever
