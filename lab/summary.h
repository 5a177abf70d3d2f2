/// Figures of a deployment run, worked out from what the emulated callers, servers and fabric wrote down.
#pragma once

#include <chrono>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace oriolelever::lab {

/// Wall-clock time since 1970, as the reports hold it.
using WallTime = std::chrono::milliseconds;

/// What one backend server saw in one slot of time.
struct ServerSlot
{
    WallTime at{0}; ///< Start of the slot.
    std::uint64_t packets = 0; ///< Packets that arrived in the slot.
    std::uint64_t opened = 0; ///< Flows that opened in the slot.
    std::uint64_t open = 0; ///< Flows open at the end of the slot.
};

struct ServerReport
{
    std::string name;
    std::string service;
    std::string zone;
    std::vector<ServerSlot> slots; ///< Ascending by time.
};

enum class MarkKind { ZoneOut, ZoneReturn, Drain, BalancerRestart, End };

/// An operators' order at the moment it was given.
struct Mark
{
    WallTime at{0};
    MarkKind kind = MarkKind::End;
    std::string name; ///< Zone, server or balancer.
};

struct RunReport
{
    std::vector<ServerReport> servers;
    std::vector<Mark> marks; ///< Ascending by time.
    std::map<std::string, std::uint64_t> runs; ///< Runs of each non-idempotent request at all servers.
    std::map<std::string, double> figures; ///< Sums of the `name: value` lines of all reports.
};

/// Time after an order within which it must be in force.
constexpr std::chrono::milliseconds inForceLimit{3000};

/// Packets that servers of a zone took later than `inForceLimit` after the zone was taken out.
std::uint64_t packetsAfterZoneLeft(const RunReport &run);
/// From the order to the last packet that a server of the zone took; the largest over all orders.
std::chrono::milliseconds zoneOutInForce(const RunReport &run);
/// From the order to the last flow that opened at the drained server; the largest over all orders.
std::chrono::milliseconds drainInForce(const RunReport &run);
/// Largest over mean of open flows of the servers that may take flows, averaged over each phase between two
/// marks; the worst phase of the worst service.
double imbalance(const RunReport &run);

/// Second and later runs of non-idempotent requests.
std::uint64_t ranTwice(const RunReport &run);

/// Reads one report; false and `problem` name the line at fault. Lines are `name: value`, `server NAME
/// SERVICE ZONE`, `slot MS PACKETS OPENED OPEN`, `run REQUEST COUNT` and `mark MS KIND NAME`.
bool readReport(std::istream &in, RunReport &run, std::string &problem);

} // namespace oriolelever::lab
