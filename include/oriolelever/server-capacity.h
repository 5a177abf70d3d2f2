/// Capacity of a backend server as its agent learns it from the server's answers.
///
/// Handles services whose servers differ in speed, servers that slow down and recover, and servers that slow
/// down before all their slots are used. The agent counts for each number of requests under way how long the
/// server had it and how many requests it answered meanwhile. Answers per busy slot and second are the pace
/// of a slot at any load, so no probing is needed: whatever load the server gets shows its pace.
///
/// Inputs are the requests under way and the answers, as the agent sees them at the moment. An idle server
/// gives no input and changes nothing; an estimate without load for `maxAge` is dropped. Not counted are the
/// time in which the server is cold, gaps in the agent's own clock, and resets. A request lasts until the
/// first packet of its answer, so a large answer does not count as slow. The functions do no I/O and read no
/// clock.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "oriolelever/types.h"

namespace oriolelever {

/// Learned capacity of one start of a backend server, with what waits for it. All zero if nothing is known.
struct ServerCapacity
{
    double answersPerSecond = 0; ///< Answers a second within the usual time, at `concurrency`; 0 if unknown.
    double concurrency = 0; ///< Requests under way up to which the server answers well; 0 if unknown.
    std::uint16_t evidence = 0; ///< Answers behind the estimate; saturates.
    std::chrono::milliseconds usualAnswer{0}; ///< Usual time of an answer; at most 65,535 ms.
    std::uint16_t queuedOpenings = 0; ///< Opening packets that wait at the agent.
    std::uint16_t queuedRequests = 0; ///< Requests of open flows that wait at the agent.
    std::chrono::milliseconds longestWait{0}; ///< Of those that wait at the agent; at most 65,535 ms.
    std::uint32_t openings = 0; ///< Opening packets that have reached the agent since its start; wraps.

    bool operator==(const ServerCapacity &) const = default;
};

/// What a balancer returns to an agent that has restarted beside the same start of its server.
struct RememberedCapacity
{
    std::uint64_t bornAt = 0; ///< Start of the server that `capacity` was learned from, see `Report::bornAt`.
    ServerCapacity capacity; ///< Only the first four fields.

    bool operator==(const RememberedCapacity &) const = default;
};

/// Thresholds of the estimate at the agent.
struct CapacityOptions
{
    /// Time constant of the moving sum that makes the estimate, in time under load. After a change it begins
    /// short and lengthens with time, so that counts from before the change fade soon.
    std::chrono::milliseconds shortestWindow{500};
    std::chrono::milliseconds longestWindow{8000};
    std::chrono::milliseconds foldPeriod{50}; ///< Time under load after which counts enter the sums.
    /// Variance of the number of answers relative to its mean: between 0.8 for constant work of which 3 %
    /// takes 7 times the mean, and 2.5 for exponentially distributed work with the same tail.
    double countDispersion = 2.0;
    /// Logarithm of the likelihood ratio between a changed and an unchanged pace at which the pace has
    /// changed. In simulation, a drop to a fifth was detected after 0.7 s; 4,321 s of servers with a constant
    /// pace had no false alarm with constant work, and 2 to 19 with exponentially distributed work. A false
    /// alarm only shortens the window for a while.
    double changeThreshold = 8.0;
    /// The server is full at a concurrency above which it gains less than this share of what the further
    /// slots would add.
    double minSlotGain = 0.25;
    double minFirstAnswers = 3; ///< Before the first estimate; a single one may be inherently long.
    double minLevelAnswers = 20; ///< Answers at a concurrency before it is compared with others.
    /// How often the load must have passed from a concurrency to higher ones before they are compared. A
    /// server that was slow under high load and has recovered under low load passes once.
    double minLevelEntries = 10;
    /// Longest time between two observations; a longer one is a stall of the agent. Three ticks of the agent.
    std::chrono::milliseconds maxObservationGap{300};
    /// After a stall, time for the packets that have arrived meanwhile.
    std::chrono::milliseconds settleTime{50};
    std::chrono::milliseconds maxAge{10'000}; ///< Of the last load; an older estimate is dropped.
    double maxRestoredAnswers = 100; ///< Weight of a remembered estimate, as answers: 2 s of load.
    double maxAnswersPerSecond = 100'000; ///< A remembered pace above it is rejected.
};

/// Why an estimate has changed.
enum class CapacityCause : std::uint8_t {
    None, ///< Nothing is known.
    First, ///< The first answers of this start of the server.
    Restored, ///< From a balancer, after a restart of the agent.
    Averaged, ///< The moving average has changed.
    Slower, ///< The pace has dropped at once.
    Faster, ///< The pace has risen at once.
    Expired, ///< No load within `CapacityOptions::maxAge`.
};

std::string_view toString(CapacityCause cause);

/// Levels up to the number of slots; a level has several numbers of requests if there are more slots.
constexpr std::size_t slotLevelCount = 16;
/// One more level, for more requests under way than slots.
constexpr std::size_t loadLevelCount = slotLevelCount + 1;

/// Time and answers by the level of requests under way.
struct LoadCounts
{
    std::array<double, loadLevelCount> seconds{};
    std::array<double, loadLevelCount> answers{};
    std::array<double, loadLevelCount> entries{}; ///< How often the level was reached from a lower one.
};

/// Paces, relative to the estimated one, that changes are tested for.
constexpr std::array testedPaces{0.5, 0.8, 1.25, 2.0};

/// A CUSUM test for a change of the pace.
struct ChangeTest
{
    double score = 0; ///< Logarithm of the likelihood ratio since the score was 0 last.
    LoadCounts counts; ///< Since then: if the pace has changed, those of the new pace.
};

/// State of the estimate for one start of a backend server. Its agent is the only writer.
struct CapacityEstimator
{
    CapacityOptions options;
    std::uint64_t bornAt = 0; ///< Start of the server; 0 before its first heartbeat: nothing is counted.
    std::uint32_t slots = 1; ///< As the server states.
    LoadCounts recent; ///< Not in the sum and the tests yet.
    LoadCounts sum; ///< Moving sum that makes the estimate.
    double secondsSinceChange = 0; ///< Under load, since `sum` was replaced or begun.
    std::array<ChangeTest, testedPaces.size()> tests; ///< One for each of `testedPaces`.
    TimePoint observedAt{}; ///< Last observation; unset before the first.
    TimePoint excludedUntil{}; ///< The server is cold, or the agent has stalled.
    std::size_t observedLevel = 0; ///< Level of the time that was counted last.
    TimePoint loadedAt{}; ///< Last time under load that was counted.
    double usualAnswerSeconds = 0; ///< Moving average; 0 before the first answer.
    ServerCapacity estimate; ///< The current one; only its first four fields are used.
    CapacityCause cause = CapacityCause::None; ///< Of the last change of `estimate`.
    ServerCapacity announced; ///< As `takeCapacityChange` returned last.
    TimePoint announcedAt{};
    std::optional<RememberedCapacity> remembered; ///< Waits for the server's first heartbeat.
};

/// Records that the server runs with this start and number of slots; a new one begins from nothing, or from
/// what a balancer has returned for it.
void applyServerStart(CapacityEstimator &estimator, std::uint64_t bornAt, std::uint32_t slots, TimePoint now);

/// Excludes the time until `until` from the estimate, as the server is cold.
void excludeUntil(CapacityEstimator &estimator, TimePoint until);

/// Records that the server has had `underWay` requests since the last observation. Call it before each change
/// of that number, and from time to time.
void observeLoad(CapacityEstimator &estimator, std::uint32_t underWay, TimePoint now);

/// Records an answer, right after `observeLoad` with the number of requests that includes the answered one.
/// `underWayAtStart` is that number when the request had started, `time` how long it took.
void recordAnswer(CapacityEstimator &estimator, std::uint32_t underWayAtStart, Duration time, TimePoint now);

enum class RestoreOutcome : std::uint8_t {
    Restored,
    Waiting, ///< Until the server's first heartbeat.
    OtherStart, ///< Learned from another start of the server: ignored.
    Known, ///< The agent knows better: ignored.
    Invalid, ///< A value is zero, huge or not a number: ignored.
};

std::string_view toString(RestoreOutcome outcome);

/// Takes over what a balancer remembers of an earlier start of this agent.
RestoreOutcome restoreCapacity(CapacityEstimator &estimator, const RememberedCapacity &remembered,
                               TimePoint now);

/// Returns the estimate if it differs by more than a tenth from the one that was returned last, at most once
/// a second.
std::optional<ServerCapacity> takeCapacityChange(CapacityEstimator &estimator, TimePoint now);

/// Thresholds of the use of estimates at the balancer.
struct PaceOptions
{
    double deadBand = 0.15; ///< Servers that differ less from the median count as equal to it.
    double minShare = 0.2; ///< A wrong estimate does not starve a server permanently.
    double maxShare = 3.0;
    std::uint16_t minEvidence = 3; ///< Answers; a server with fewer counts as the median.
    /// Variance of the number of answers relative to its mean, see `CapacityOptions::countDispersion`. A
    /// server within two standard deviations of the median counts as equal to it.
    double countDispersion = 2.0;
    std::chrono::milliseconds maxAge{10'000}; ///< Of a report; an older estimate is ignored.
};

/// Whether the estimate can be compared with those of other servers.
bool hasPace(const PaceOptions &options, const ServerCapacity &capacity);

/// Returns the answers a second for each slot that the server states.
double pacePerSlot(const ServerCapacity &capacity, std::uint32_t slots);

/// Returns the median, for an even number the mean of the middle two, and reorders `paces`; 0 if there are
/// none.
double medianPace(std::span<double> paces);

/// Returns the server's pace per slot relative to the service's median, 1 if they count as equal.
double relativePace(const PaceOptions &options, const ServerCapacity &capacity, std::uint32_t slots,
                    double medianPacePerSlot);

} // namespace oriolelever
