#include "oriolelever/request-schedule.h"

#include <algorithm>
#include <array>
#include <bit>
#include <limits>
#include <numeric>
#include <utility>

namespace oriolelever {

namespace {

using std::chrono::milliseconds;

// Remaining times in the same step count as equal, so that the fair share of callers decides among them.
constexpr milliseconds tieWidth{100};
constexpr std::chrono::seconds startsHalvingPeriod{1};
constexpr std::size_t maxCountedCallers = 1024; // Bounds memory; further callers count as without a start.

// What can still be reached for the caller.
enum class Outlook : std::uint8_t {
    InTime, ///< An answer within the route's goal.
    Late, ///< An answer within the route's time limit.
    Lost, ///< The caller has given up, or will have before an answer.
};

// Work with the lower rank is started first.
struct Rank
{
    bool isLost = false;
    std::uint8_t priority = lowestPriority;
    Outlook outlook = Outlook::InTime;
    std::int64_t remaining = 0; ///< In `tieWidth`; negated while newer work goes first.
    int callerStarts = 0; ///< Of the caller's address, as a power of two.
    std::int64_t age = 0; ///< Negated wait in nanoseconds; the wait while newer work goes first.

    auto operator<=>(const Rank &) const = default;
};

Duration waitedAt(const WaitingWork &work, TimePoint now)
{
    return now - work.queuedAt + work.waitedBefore;
}

Duration expectedWait(std::size_t ahead, const SchedulePace &pace)
{
    if (pace.answersPerSecond <= 0) {
        return Duration::zero();
    }
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(ahead) / pace.answersPerSecond));
}

// Time from the start of work to its answer at the caller: its round trips, the wait for a slot within the
// server, and the work itself. Goals are rounded down, which leaves a reserve for longer work.
Duration neededTime(const WaitingWork &work, const ScheduleOptions &options, const SchedulePace &pace)
{
    const Duration roundTrips = options.roundTrip * (work.isOpening ? 2 : 1);
    return pace.usualWork + expectedWait(1, pace) + roundTrips;
}

// For how long work can go on waiting and be answered within the goal.
Duration slackToGoal(const WaitingWork &work, const ScheduleOptions &options, const SchedulePace &pace,
                     TimePoint now)
{
    return work.terms.latencyGoal - neededTime(work, options, pace) - waitedAt(work, now);
}

// For how long work can go on waiting before its caller gives up; the longest time if that is unknown.
Duration slackToLimit(const WaitingWork &work, const ScheduleOptions &options, const SchedulePace &pace,
                      TimePoint now)
{
    const auto waited = waitedAt(work, now);
    auto slack = Duration::max();
    if (work.isOpening) {
        slack = options.openingPatience - options.roundTrip - waited;
    }
    if (work.terms.timeLimit > milliseconds::zero()) {
        slack = std::min<Duration>(
            slack, work.terms.timeLimit - pace.usualWork - Duration(options.roundTrip) - waited);
    }
    return slack;
}

// Whether the work that waits is more than the server can answer in time, so that newer work goes first: its
// callers can still be served well, while the work with the least time left would be answered late, or after
// its caller has given up, and make the next late as well.
bool isNewestFirst(const RequestSchedule &schedule, const ScheduleOptions &options, const SchedulePace &pace,
                   TimePoint now)
{
    return options.servesNewestFirst
        && std::any_of(schedule.work.begin(), schedule.work.end(), [&](const WaitingWork &work) {
               return now - work.queuedAt >= options.overloadWait && !work.isAbandoned
                   && slackToLimit(work, options, pace, now) >= Duration::zero();
           });
}

Rank rankOf(const RequestSchedule &schedule, const ScheduleOptions &options, const SchedulePace &pace,
            const WaitingWork &work, TimePoint now, bool newestFirst)
{
    const auto wait = (now - work.queuedAt).count();
    Rank rank{.priority = work.terms.priority, .age = newestFirst ? wait : -wait};
    const auto toLimit = slackToLimit(work, options, pace, now);
    const bool hasGoal = work.terms.latencyGoal > milliseconds::zero();
    const auto toGoal = hasGoal ? slackToGoal(work, options, pace, now) : toLimit;
    auto remaining = toGoal;
    if (work.isAbandoned || toLimit < Duration::zero()) {
        rank.isLost = true;
        rank.outlook = Outlook::Lost;
        remaining = Duration::zero();
    } else if (toGoal < Duration::zero()) {
        rank.outlook = Outlook::Late;
        remaining = toLimit;
    }
    rank.remaining = (newestFirst ? -remaining : remaining) / Duration(tieWidth);
    const auto starts = schedule.callerStarts.find(work.flow.caller.address);
    // Only the order of magnitude counts, so that the order among ordinary callers is that of arrival.
    rank.callerStarts = starts == schedule.callerStarts.end() ? 0 : std::bit_width(starts->second);
    return rank;
}

// Whether only opening packets of the same terms wait. They are served in order of arrival while the oldest
// can be served in time, and then newest first.
bool isUniform(const RequestSchedule &schedule)
{
    return schedule.requests == 0
        && std::all_of(schedule.work.begin(), schedule.work.end(),
                       [&](const WaitingWork &work) { return work.terms == schedule.work.front().terms; });
}

bool isOverloaded(const RequestSchedule &schedule, const ScheduleOptions &options, const SchedulePace &pace,
                  TimePoint now)
{
    const auto &oldest = schedule.work.front();
    if (!options.servesNewestFirst) {
        return false;
    }
    return oldest.terms.latencyGoal > milliseconds::zero()
        ? slackToGoal(oldest, options, pace, now) < Duration::zero()
        : now - oldest.queuedAt >= options.overloadWait;
}

WaitingWork take(RequestSchedule &schedule, std::size_t index)
{
    const auto position = schedule.work.begin() + static_cast<std::ptrdiff_t>(index);
    auto work = std::move(*position);
    schedule.work.erase(position);
    if (work.isOpening) {
        return work;
    }
    --schedule.requests;
    for (const auto &packet : work.packets) {
        schedule.requestBytes -= packet.bytes.size();
    }
    return work;
}

void countStart(RequestSchedule &schedule, const IpAddress &caller, TimePoint now)
{
    if (now - schedule.startsHalvedAt >= startsHalvingPeriod) {
        schedule.startsHalvedAt = now;
        for (auto &[address, starts] : schedule.callerStarts) {
            starts /= 2;
        }
        std::erase_if(schedule.callerStarts, [](const auto &entry) { return entry.second == 0; });
    }
    const auto found = schedule.callerStarts.find(caller);
    if (found != schedule.callerStarts.end()) {
        ++found->second;
    } else if (schedule.callerStarts.size() < maxCountedCallers) {
        schedule.callerStarts.emplace(caller, 1);
    }
}

// Counts a start of work of `priority`, and returns the index of other work that is due for this start, if
// any: the longest-waiting one of a lower priority that has had no start for too long and can still be
// served.
std::optional<std::size_t> findStarved(RequestSchedule &schedule, const ScheduleOptions &options,
                                       const SchedulePace &pace, std::uint8_t priority, TimePoint now)
{
    std::array<bool, lowestPriority + 1> isSeen{};
    for (std::size_t i = 0; i < schedule.work.size(); ++i) {
        const auto &work = schedule.work[i];
        const auto lower = work.terms.priority;
        if (lower <= priority || isSeen[lower] || work.isAbandoned
            || slackToLimit(work, options, pace, now) < Duration::zero()) {
            continue;
        }
        isSeen[lower] = true;
        if (++schedule.startsBefore[lower] >= options.startsPerLowerPriority) {
            schedule.startsBefore[lower] = 0;
            return i;
        }
    }
    schedule.startsBefore[priority] = 0;
    return {};
}

// The rank of all waiting work, in the order of `RequestSchedule::work`.
std::vector<Rank> ranksOf(const RequestSchedule &schedule, const ScheduleOptions &options,
                          const SchedulePace &pace, TimePoint now)
{
    const bool newestFirst = isNewestFirst(schedule, options, pace, now);
    std::vector<Rank> ranks;
    ranks.reserve(schedule.work.size());
    for (const auto &work : schedule.work) {
        ranks.push_back(rankOf(schedule, options, pace, work, now, newestFirst));
    }
    return ranks;
}

// Indexes of all waiting work, next to be started first.
std::vector<std::size_t> startOrder(const RequestSchedule &schedule, const ScheduleOptions &options,
                                    const SchedulePace &pace, TimePoint now)
{
    std::vector<std::size_t> order(schedule.work.size());
    std::iota(order.begin(), order.end(), 0U);
    if (isUniform(schedule)) {
        if (!order.empty() && isOverloaded(schedule, options, pace, now)) {
            std::reverse(order.begin(), order.end());
        }
        return order;
    }
    const auto ranks = ranksOf(schedule, options, pace, now);
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return ranks[a] < ranks[b]; });
    return order;
}

WaitingWork *findRequest(RequestSchedule &schedule, const FlowKey &flow)
{
    const auto found = std::find_if(schedule.work.begin(), schedule.work.end(), [&](const WaitingWork &work) {
        return !work.isOpening && work.flow == flow;
    });
    return found == schedule.work.end() ? nullptr : &*found;
}

} // namespace

Duration waitBeforeCopy(std::uint32_t acknowledgement)
{
    constexpr std::array<milliseconds, 3> copyTimes{milliseconds(0), milliseconds(200), milliseconds(600)};
    return acknowledgement < copyTimes.size() ? copyTimes[acknowledgement] : copyTimes[0];
}

bool hasLiveWork(const RequestSchedule &schedule)
{
    return std::any_of(schedule.work.begin(), schedule.work.end(),
                       [](const WaitingWork &work) { return !work.isAbandoned; });
}

std::size_t workAhead(const RequestSchedule &schedule, const ScheduleOptions &options,
                      const SchedulePace &pace, const WaitingWork &work, TimePoint now)
{
    if (schedule.work.empty()) {
        return 0;
    }
    if (work.isOpening && work.terms == schedule.work.front().terms && isUniform(schedule)) {
        return isOverloaded(schedule, options, pace, now) ? 0 : schedule.work.size();
    }
    const bool newestFirst = isNewestFirst(schedule, options, pace, now);
    const auto rank = rankOf(schedule, options, pace, work, now, newestFirst);
    return static_cast<std::size_t>(
        std::count_if(schedule.work.begin(), schedule.work.end(), [&](const WaitingWork &other) {
            return rankOf(schedule, options, pace, other, now, newestFirst) <= rank;
        }));
}

AddedOpening addOpening(RequestSchedule &schedule, const ScheduleOptions &options, const SchedulePace &pace,
                        WaitingWork work, TimePoint now)
{
    const auto queued
        = std::find_if(schedule.work.begin(), schedule.work.end(), [&](const WaitingWork &waiting) {
              return waiting.isOpening && waiting.flow == work.flow;
          });
    if (queued != schedule.work.end()) {
        // The first copy may have waited at other agents before.
        queued->waitedBefore = std::max(queued->waitedBefore, work.waitedBefore - (now - queued->queuedAt));
        return {.accepted = true, .isCopy = true};
    }
    const auto wait = expectedWait(workAhead(schedule, options, pace, work, now), pace);
    const auto remaining = slackToLimit(work, options, pace, now);
    const bool hasTerms = work.terms != RouteTerms{};
    if (hasTerms && remaining < wait) {
        return {.refusal
                = OpeningRefusal{.work = std::move(work), .expectedWait = wait, .remaining = remaining}};
    }
    if (schedule.work.size() - schedule.requests < options.maxOpenings) {
        schedule.work.push_back(std::move(work));
        return {.accepted = true};
    }
    // The last opening packet in the order leaves, which may be the new one.
    std::optional<std::size_t> last;
    if (hasTerms && !(isUniform(schedule) && work.terms == schedule.work.front().terms)) {
        const bool newestFirst = isNewestFirst(schedule, options, pace, now);
        auto lastRank = rankOf(schedule, options, pace, work, now, newestFirst);
        for (std::size_t i = 0; i < schedule.work.size(); ++i) {
            const auto rank = rankOf(schedule, options, pace, schedule.work[i], now, newestFirst);
            if (schedule.work[i].isOpening && lastRank < rank) {
                last = i;
                lastRank = rank;
            }
        }
    }
    if (!last) {
        return {.refusal
                = OpeningRefusal{.work = std::move(work), .expectedWait = wait, .remaining = remaining}};
    }
    AddedOpening added{.accepted = true};
    auto displaced = take(schedule, *last);
    const auto displacedRemaining = slackToLimit(displaced, options, pace, now);
    added.refusal = OpeningRefusal{.work = std::move(displaced),
                                   .expectedWait = expectedWait(schedule.work.size(), pace),
                                   .remaining = displacedRemaining};
    schedule.work.push_back(std::move(work));
    return added;
}

bool hasSpaceForRequest(const RequestSchedule &schedule, const ScheduleOptions &options)
{
    return schedule.requests < options.maxRequests && schedule.requestBytes < options.maxRequestBytes;
}

HeldPacketOutcome holdPacket(RequestSchedule &schedule, const ScheduleOptions &options, const FlowKey &flow,
                             const RouteTerms &terms, const Segment &segment,
                             std::span<const std::uint8_t> bytes, const IpAddress &balancer, TimePoint now)
{
    auto *request = findRequest(schedule, flow);
    const bool isNew = request == nullptr;
    if (!isNew) {
        // A close is held too, so that it does not overtake the request.
        request->isAbandoned |= segment.fin && segment.payloadSize == 0;
        const auto copy = std::find_if(
            request->packets.begin(), request->packets.end(), [&](const WaitingPacket &packet) {
                return packet.sequence == segment.sequence && packet.payloadSize == segment.payloadSize
                    && packet.bytes.size() == bytes.size();
            });
        if (copy != request->packets.end()) {
            // The earlier balancer may have ended since.
            copy->balancer = balancer;
            return HeldPacketOutcome::Copy;
        }
    }
    const bool fitsRequest = isNew || request->packets.size() < options.maxPacketsPerRequest;
    if (!fitsRequest || schedule.requestBytes + bytes.size() > options.maxRequestBytes
        || (isNew && schedule.requests >= options.maxRequests)) {
        return HeldPacketOutcome::NoSpace;
    }
    if (isNew) {
        request = &schedule.work.emplace_back(WaitingWork{.flow = flow, .terms = terms, .queuedAt = now});
        ++schedule.requests;
    }
    schedule.requestBytes += bytes.size();
    request->packets.push_back({.balancer = balancer,
                                .sequence = segment.sequence,
                                .payloadSize = segment.payloadSize,
                                .bytes = {bytes.begin(), bytes.end()}});
    return isNew ? HeldPacketOutcome::NewRequest : HeldPacketOutcome::Held;
}

bool takeRequest(RequestSchedule &schedule, const FlowKey &flow, WaitingWork &out)
{
    const auto *request = findRequest(schedule, flow);
    if (request == nullptr) {
        return false;
    }
    out = take(schedule, static_cast<std::size_t>(request - schedule.work.data()));
    return true;
}

bool takeLostRequest(RequestSchedule &schedule, TimePoint now, WaitingWork &out)
{
    const auto found = std::find_if(schedule.work.begin(), schedule.work.end(), [&](const WaitingWork &work) {
        // Times in a packet's terms are rounded down by at most the square root of 2.
        return !work.isOpening && work.terms.timeLimit > milliseconds::zero()
            && now - work.queuedAt > work.terms.timeLimit * 3 / 2;
    });
    if (found == schedule.work.end()) {
        return false;
    }
    out = take(schedule, static_cast<std::size_t>(found - schedule.work.begin()));
    return true;
}

std::vector<WaitingWork> takeAllRequests(RequestSchedule &schedule)
{
    std::vector<WaitingWork> requests;
    for (auto &work : schedule.work) {
        if (!work.isOpening) {
            requests.push_back(std::move(work));
        }
    }
    std::erase_if(schedule.work, [](const WaitingWork &work) { return !work.isOpening; });
    schedule.requests = 0;
    schedule.requestBytes = 0;
    return requests;
}

bool takeNext(RequestSchedule &schedule, const ScheduleOptions &options, const SchedulePace &pace,
              TimePoint now, NextWork &out)
{
    if (schedule.work.empty()) {
        return false;
    }
    out.cause = StartCause::Order;
    std::size_t next = 0;
    if (isUniform(schedule)) {
        next = isOverloaded(schedule, options, pace, now) ? schedule.work.size() - 1 : 0;
    } else {
        const auto ranks = ranksOf(schedule, options, pace, now);
        next = static_cast<std::size_t>(std::min_element(ranks.begin(), ranks.end()) - ranks.begin());
        if (const auto starved
            = findStarved(schedule, options, pace, schedule.work[next].terms.priority, now)) {
            next = *starved;
            out.cause = StartCause::LowerPriority;
        }
    }
    out.work = take(schedule, next);
    if (options.countsCallerStarts) {
        countStart(schedule, out.work.flow.caller.address, now);
    }
    return true;
}

bool takeExpired(RequestSchedule &schedule, const ScheduleOptions &options, const SchedulePace &pace,
                 TimePoint now, OpeningRefusal &out)
{
    if (schedule.work.size() == schedule.requests) {
        return false;
    }
    const auto order = startOrder(schedule, options, pace, now);
    std::vector<std::size_t> positions(order.size());
    for (std::size_t position = 0; position < order.size(); ++position) {
        positions[order[position]] = position;
    }
    for (std::size_t i = 0; i < schedule.work.size(); ++i) {
        const auto &work = schedule.work[i];
        if (!work.isOpening) {
            continue;
        }
        const bool hasTerms = work.terms != RouteTerms{};
        const auto wait = hasTerms ? expectedWait(positions[i], pace) : Duration::zero();
        const auto remaining = hasTerms ? slackToLimit(work, options, pace, now)
                                        : work.queuedAt + Duration(options.maxWait) - now;
        if (remaining > Duration::zero() && remaining >= wait) {
            continue;
        }
        out = {.work = take(schedule, i), .expectedWait = wait, .remaining = remaining};
        return true;
    }
    return false;
}

} // namespace oriolelever
