#include "oriolelever/service-room.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace oriolelever {

namespace {

// Shares below this are taken back at once, so that a zone with room for all its flows spends no traffic.
constexpr double minShare = 0.005;
// Bound of the estimated demand when nearly all flows are sent elsewhere.
constexpr double minOwnShare = 0.05;

ZoneRoom &findOrAddZone(ServiceRoom &room, ZoneId zone)
{
    const auto found = std::find_if(room.zones.begin(), room.zones.end(),
                                    [&](const ZoneRoom &known) { return known.zone == zone; });
    return found != room.zones.end() ? *found : room.zones.emplace_back(ZoneRoom{.zone = zone});
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void smoothLoads(ServiceRoom &room, const RoomOptions &options, double weight)
{
    for (auto &zone : room.zones) {
        if (zone.servers == 0) {
            zone.hadServers = false;
            zone.load = 0;
            continue;
        }
        const double load = zone.currentLoad(options);
        zone.load = zone.hadServers ? zone.load + weight * (load - zone.load) : load;
        zone.hadServers = true;
    }
}

// Adds `share` to the zones that `weightOf` gives a weight, in proportion to it. Returns false if none has
// one.
template<typename WeightOf>
bool distribute(ServiceRoom &room, double share, WeightOf weightOf)
{
    double total = 0;
    for (const auto &zone : room.zones) {
        total += weightOf(zone);
    }
    if (total <= 0) {
        return false;
    }
    for (auto &zone : room.zones) {
        zone.share += share * weightOf(zone) / total;
    }
    return true;
}

// Without a server in the own zone, all flows go to the others by room; if nobody has any, by slots.
void sendAllElsewhere(ServiceRoom &room)
{
    for (auto &zone : room.zones) {
        zone.share = 0;
    }
    if (!distribute(room, 1, [](const ZoneRoom &zone) { return zone.room(); })) {
        distribute(room, 1, [](const ZoneRoom &zone) { return zone.servers == 0 ? 0 : zone.slots; });
    }
}

// The own zone has servers again. It takes what fits its part of the room at once: the zones that have served
// its callers may be overloaded, as after a loss of all power.
void takeBackByRoom(ServiceRoom &room, ZoneId ownZone)
{
    double ownRoom = 0;
    double otherRoom = 0;
    for (const auto &zone : room.zones) {
        (zone.zone == ownZone ? ownRoom : otherRoom) += zone.room();
    }
    const double factor = ownRoom + otherRoom > 0 ? otherRoom / (ownRoom + otherRoom) : 0;
    for (auto &zone : room.zones) {
        zone.share *= factor;
    }
}

// The load above which a zone sends flows to others: near the mean of all zones, callers would gain nothing.
double spillThreshold(const ServiceRoom &room, const RoomOptions &options)
{
    double work = 0;
    double slots = 0;
    for (const auto &zone : room.zones) {
        work += zone.servers > 0 ? zone.load * zone.slots : 0;
        slots += zone.slots;
    }
    return std::max(options.spillLoad, work / std::max(1.0, slots) + options.hysteresis / 2);
}

// Removes the shares of zones without a server that accepts flows, and returns their sum.
double dropLostShares(ServiceRoom &room, ZoneId ownZone)
{
    double lost = 0;
    for (auto &zone : room.zones) {
        if (zone.zone == ownZone) {
            zone.share = 0;
        } else if (zone.servers == 0) {
            lost += zone.share;
            zone.share = 0;
        }
    }
    return lost;
}

} // namespace

double ZoneRoom::currentLoad(const RoomOptions &options) const
{
    const double waiting = std::max(0.0, requests - used - options.tolerableQueue * slots);
    return (used + waiting) / std::max(1.0, slots);
}

double ZoneRoom::room() const
{
    return servers == 0 ? 0 : std::max(0.0, slots * (1 - load));
}

void beginUpdate(ServiceRoom &room)
{
    for (auto &zone : room.zones) {
        zone.servers = 0;
        zone.slots = 0;
        zone.requests = 0;
        zone.used = 0;
        zone.queued = 0;
        zone.longestWait = {};
        zone.oldestReport = {};
    }
    room.leastWait = Duration::max();
    room.isWaitKnown = true;
    room.failingServers = 0;
    room.unreliableServers = 0;
}

void addServer(ServiceRoom &room, const RoomOptions &options, const ServerRoom &server)
{
    auto &zone = findOrAddZone(room, server.zone);
    ++zone.servers;
    zone.slots += server.slots;
    const double requests = server.requests + server.queued;
    zone.requests += requests;
    zone.used += std::min(requests, server.slots);
    zone.queued += server.queued;
    zone.longestWait = std::max(zone.longestWait, server.longestWait);
    zone.oldestReport = std::max(zone.oldestReport, server.reportAge);
    room.failingServers += server.isFailing ? 1 : 0;
    room.unreliableServers += server.isUnreliable ? 1 : 0;
    const auto wait = expectedWait(server);
    const bool isRecent
        = seconds(server.reportAge) <= options.maxReportPeriods * seconds(server.reportPeriod);
    room.isWaitKnown = room.isWaitKnown && isRecent && wait >= Duration::zero();
    room.leastWait = std::min(room.leastWait, wait);
}

void finishUpdate(ServiceRoom &room, const RoomOptions &options, ZoneId ownZone, TimePoint now)
{
    const bool isFirst = room.updatedAt == TimePoint{};
    const auto elapsed = isFirst ? Duration(options.sharePeriod) : now - room.updatedAt;
    room.updatedAt = now;
    std::uint32_t servers = 0;
    for (const auto &zone : room.zones) {
        servers += zone.servers;
    }
    room.areMostFailing = 2 * room.failingServers > servers;
    room.areMostUnreliable = 2 * room.unreliableServers > servers;
    if (room.leastWait == Duration::max() || !room.isWaitKnown) {
        room.leastWait = {};
        room.isWaitKnown = false;
    }
    const double weight = 1 - std::exp(-seconds(elapsed) / seconds(options.smoothingTime));
    smoothLoads(room, options, weight);
    const auto &own = findOrAddZone(room, ownZone);
    const bool hadOwnServers = std::exchange(room.hadOwnServers, own.servers > 0);
    if (own.servers == 0) {
        sendAllElsewhere(room);
        return;
    }
    if (!hadOwnServers) {
        takeBackByRoom(room, ownZone);
    }
    const double ownLoad = own.load;
    const double threshold = spillThreshold(room, options);
    const double ownSlots = std::max(1.0, own.slots);
    const double periods = seconds(elapsed) / seconds(options.sharePeriod);
    room.recentShare += (1 - std::exp(-periods)) * (remoteShare(room) - room.recentShare);
    const double demand = own.currentLoad(options) / std::max(minOwnShare, 1 - room.recentShare);
    room.demand = isFirst ? demand : room.demand + weight * (demand - room.demand);

    const double kept = std::pow(1 - options.releaseFraction, periods);
    const double lost = dropLostShares(room, ownZone);
    // Below the load at which flows are sent away, and where callers would gain nothing, shares are taken
    // back. Not by `demand`: it counts the flows of other zones here as the own zone's, so that two zones
    // could go on exchanging flows.
    for (auto &zone : room.zones) {
        const bool isNeeded
            = ownLoad > threshold - options.hysteresis / 2 && zone.load <= ownLoad - options.hysteresis / 2;
        zone.share *= isNeeded ? 1 : kept;
        zone.share = zone.share < minShare ? 0 : zone.share;
    }
    const auto roomFor = [&](const ZoneRoom &zone) {
        return zone.zone != ownZone && zone.load <= ownLoad - options.hysteresis ? zone.room() : 0;
    };
    // The share of a zone that no longer accepts flows goes to those with room, or else comes back.
    distribute(room, lost, roomFor);
    // The share by the demand does not overshoot while reports still lack the latest change. The excess of
    // the load itself bounds it, as the demand counts flows of other zones as the own zone's.
    const double current = remoteShare(room);
    const double byDemand = 1 - threshold / std::max(room.demand, threshold) - current;
    const double byLoad = (1 - current) * (1 - threshold / std::max(ownLoad, threshold));
    const double missing = std::min(byDemand, byLoad);
    if (missing <= 0) {
        return;
    }
    double otherRoom = 0;
    for (const auto &zone : room.zones) {
        otherRoom += roomFor(zone);
    }
    // Other zones may send flows to the same room until the next report shows them.
    const double limit
        = options.roomFraction * otherRoom * std::min(1.0, periods) / std::max(room.demand * ownSlots, 1.0);
    // Above a load of 1 callers wait; below it, chance alone may have raised the load.
    const double step = std::min(1.0, periods);
    distribute(room, std::min(ownLoad > 1 ? missing : missing * step, limit * step), roomFor);
}

ZoneId zoneForFlow(const ServiceRoom &room, ZoneId ownZone, std::uint32_t counter)
{
    // Multiples of the golden ratio, as fractions of 2^32, spread evenly over any number of consecutive
    // counters.
    constexpr std::uint32_t goldenRatio = 0x9e3779b9;
    double offset = static_cast<double>(static_cast<std::uint32_t>(counter * goldenRatio))
        / (static_cast<double>(std::numeric_limits<std::uint32_t>::max()) + 1);
    ZoneId last;
    for (const auto &zone : room.zones) {
        if (zone.zone == ownZone || zone.share <= 0) {
            continue;
        }
        if (offset < zone.share) {
            return zone.zone;
        }
        offset -= zone.share;
        last = zone.zone;
    }
    const auto own = std::find_if(room.zones.begin(), room.zones.end(),
                                  [&](const ZoneRoom &zone) { return zone.zone == ownZone; });
    return own != room.zones.end() && own->servers > 0 ? ownZone : last;
}

double remoteShare(const ServiceRoom &room)
{
    double share = 0;
    for (const auto &zone : room.zones) {
        share += zone.share;
    }
    return share;
}

Duration expectedWait(const ServerRoom &server)
{
    // The negated comparison also excludes a pace that is not a number.
    if (!(server.answersPerSecond > 0) || !std::isfinite(server.answersPerSecond)) {
        return Duration(-1);
    }
    // Bounds the conversion to an integer number of nanoseconds.
    constexpr double maxWait = 3600;
    const double work = server.requests + server.queued + server.placed;
    const double wait = std::min(work / server.answersPerSecond, maxWait) - seconds(server.reportAge);
    return std::max(Duration::zero(),
                    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)));
}

Duration openingElapsed(std::uint32_t copies, TimePoint openedAt, TimePoint now)
{
    using std::chrono::milliseconds;
    const Duration byCopies = copies == 0 ? milliseconds(0)
        : copies == 1                     ? milliseconds(200)
                                          : milliseconds(600);
    // Other numbers do not count copies.
    return std::max(copies > 2 ? Duration::zero() : byCopies, now - openedAt);
}

Duration timeLeft(const RoomOptions &options, const RouteTerms &terms, Duration elapsed)
{
    const auto limit = terms.timeLimit > std::chrono::milliseconds::zero()
        ? std::min(options.openingPatience, terms.timeLimit)
        : options.openingPatience;
    return limit - elapsed;
}

bool mustRefuse(const ServiceRoom &room, const RouteTerms &terms, Duration left, TimePoint now)
{
    if (!room.isWaitKnown || terms.priority < room.leastUrgent) {
        return false;
    }
    // The servers have worked since the update.
    const auto wait = room.leastWait - (now - room.updatedAt);
    return wait > std::max(left, Duration::zero());
}

bool takeShareChange(ServiceRoom &room, const RoomOptions &options, ZoneId ownZone, ShareChange &out)
{
    for (auto &zone : room.zones) {
        // A share that ends is logged even after a smaller change, so that the log shows its end.
        const bool ends = zone.share == 0 && zone.loggedShare > 0;
        if (!ends && std::abs(zone.share - zone.loggedShare) < options.shareLogStep) {
            continue;
        }
        const auto own = std::find_if(room.zones.begin(), room.zones.end(),
                                      [&](const ZoneRoom &known) { return known.zone == ownZone; });
        out = {.from = ownZone,
               .to = zone.zone,
               .before = zone.loggedShare,
               .after = zone.share,
               .ownLoad = own != room.zones.end() ? own->load : 0,
               .otherLoad = zone.load,
               .room = zone.room(),
               .oldestReport = zone.oldestReport};
        zone.loggedShare = zone.share;
        return true;
    }
    return false;
}

} // namespace oriolelever
