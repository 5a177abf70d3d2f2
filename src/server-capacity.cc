#include "oriolelever/server-capacity.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace oriolelever {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double usualAnswerWeight = 0.05; // Averages over about 20 answers.
constexpr double maxAnswerFactor = 4.0; // Longer answers count as this many usual times in the average.
// Answers that a level's pace counts as if they had come at the mean pace of all levels.
constexpr double levelPriorAnswers = 8.0;
// Lowest number of answers that a pace is calculated from, so that it is never 0.
constexpr double minAnswers = 0.5;
// Time constant of the moving sum relative to the time since a change: counts from before it fade with the
// square of that time.
constexpr double windowGrowth = 0.5;
// Part of the best throughput from which on a concurrency counts as full.
constexpr double fullThroughput = 0.9;
constexpr double announcedDifference = 0.1;
constexpr std::chrono::seconds announcementPeriod{1};

std::uint32_t levelWidth(const CapacityEstimator &estimator)
{
    return (estimator.slots + slotLevelCount - 1) / slotLevelCount;
}

std::size_t levelOf(const CapacityEstimator &estimator, std::uint32_t underWay)
{
    return underWay > estimator.slots ? slotLevelCount : (underWay - 1) / levelWidth(estimator);
}

// Number of busy slots at a level; the middle of its range.
double busySlots(const CapacityEstimator &estimator, std::size_t level)
{
    const double slots = estimator.slots;
    const double width = levelWidth(estimator);
    return level == slotLevelCount ? slots
                                   : std::min(slots, static_cast<double>(level) * width + (width + 1) / 2);
}

double answersOf(const LoadCounts &counts)
{
    return std::accumulate(counts.answers.begin(), counts.answers.end(), 0.0);
}

// Answers per busy slot and second; 0 without load.
double slotPace(const CapacityEstimator &estimator, const LoadCounts &counts)
{
    double slotSeconds = 0;
    for (std::size_t level = 0; level < loadLevelCount; ++level) {
        slotSeconds += counts.seconds[level] * busySlots(estimator, level);
    }
    return slotSeconds > 0 ? std::max(answersOf(counts), minAnswers) / slotSeconds : 0;
}

// Answers per second at a level; where there are few, close to the pace of all levels together.
double levelPace(const CapacityEstimator &estimator, const LoadCounts &counts, std::size_t level,
                 double meanSlotPace)
{
    const double linear = meanSlotPace * busySlots(estimator, level);
    return (counts.answers[level] + levelPriorAnswers) / (counts.seconds[level] + levelPriorAnswers / linear);
}

// Merges `added` into `sum`, of which the part `kept` remains.
void merge(LoadCounts &sum, const LoadCounts &added, double kept = 1)
{
    for (std::size_t level = 0; level < loadLevelCount; ++level) {
        sum.seconds[level] = sum.seconds[level] * kept + added.seconds[level];
        sum.answers[level] = sum.answers[level] * kept + added.answers[level];
        sum.entries[level] = sum.entries[level] * kept + added.entries[level];
    }
}

// Returns how many answers the moving sum lets expect in the time of `counts`. The pace of single levels is
// used only if the server is known to be full at fewer requests than slots: a server that slows down gets to
// levels that it never had before, and the counts of these show no difference.
double expectedAnswers(const CapacityEstimator &estimator, const LoadCounts &counts)
{
    const double pace = slotPace(estimator, estimator.sum);
    const bool usesLevels = estimator.estimate.concurrency < estimator.slots;
    double expected = 0;
    for (std::size_t level = 0; pace > 0 && level < loadLevelCount; ++level) {
        expected += counts.seconds[level]
            * (usesLevels ? levelPace(estimator, estimator.sum, level, pace)
                          : pace * busySlots(estimator, level));
    }
    return expected;
}

// Adds the recent counts to the tests. Returns the index of the one that has found a change, or their number.
std::size_t testForChange(CapacityEstimator &estimator)
{
    const double expected = expectedAnswers(estimator, estimator.recent);
    const double answers = answersOf(estimator.recent);
    const double evidence = std::max(answersOf(estimator.sum), 1.0);
    for (std::size_t i = 0; i < estimator.tests.size(); ++i) {
        auto &test = estimator.tests[i];
        merge(test.counts, estimator.recent);
        // The error of the estimate adds to that of the counts.
        const double dispersion = estimator.options.countDispersion * (1 + answersOf(test.counts) / evidence);
        test.score += (answers * std::log(testedPaces[i]) + expected * (1 - testedPaces[i])) / dispersion;
        if (test.score <= 0) {
            test = {};
        }
        if (test.score >= estimator.options.changeThreshold) {
            return i;
        }
    }
    return estimator.tests.size();
}

// Returns the level above which the server gains nothing from more requests under way, or `loadLevelCount` if
// the counts show none. Levels are comparable only if the load has alternated between them.
std::size_t fullLevel(const CapacityEstimator &estimator)
{
    const auto &options = estimator.options;
    const auto &counts = estimator.sum;
    const auto throughput = [&counts](std::size_t level) {
        return counts.answers[level] / counts.seconds[level];
    };
    double best = 0;
    for (std::size_t level = 0; level < slotLevelCount; ++level) {
        if (counts.seconds[level] > 0 && counts.answers[level] >= options.minLevelAnswers) {
            best = std::max(best, throughput(level));
        }
    }
    for (std::size_t level = 0; best > 0 && level < slotLevelCount; ++level) {
        if (counts.seconds[level] <= 0 || counts.answers[level] < options.minLevelAnswers
            || throughput(level) < fullThroughput * best) {
            continue;
        }
        double answers = 0;
        double seconds = 0;
        double slotSeconds = 0;
        for (std::size_t above = level + 1; above < loadLevelCount; ++above) {
            answers += counts.answers[above];
            seconds += counts.seconds[above];
            slotSeconds += counts.seconds[above] * busySlots(estimator, above);
        }
        const double addedSlots = seconds > 0 ? slotSeconds / seconds / busySlots(estimator, level) - 1 : 0;
        if (answers < options.minLevelAnswers || counts.entries[level + 1] < options.minLevelEntries
            || addedSlots <= 0) {
            return loadLevelCount;
        }
        const double gain = answers / seconds / throughput(level) - 1;
        const double error = std::sqrt(options.countDispersion * (1 / counts.answers[level] + 1 / answers));
        return gain + 2 * error < options.minSlotGain * addedSlots ? level : loadLevelCount;
    }
    return loadLevelCount;
}

void updateEstimate(CapacityEstimator &estimator, CapacityCause cause)
{
    const double pace = slotPace(estimator, estimator.sum);
    const auto full = fullLevel(estimator);
    auto &estimate = estimator.estimate;
    if (full == loadLevelCount) {
        estimate.concurrency = estimator.slots;
        estimate.answersPerSecond = pace * estimator.slots;
    } else {
        estimate.concurrency = busySlots(estimator, full);
        estimate.answersPerSecond = levelPace(estimator, estimator.sum, full, pace);
    }
    // A server that has ceased to answer is evident, although the sum has few answers.
    const double evidence = std::max(answersOf(estimator.sum), estimator.options.minFirstAnswers);
    estimate.evidence = static_cast<std::uint16_t>(std::min<double>(evidence, UINT16_MAX));
    estimate.usualAnswer = std::chrono::milliseconds(
        static_cast<std::int64_t>(std::lround(std::min(estimator.usualAnswerSeconds * 1000, 65'535.0))));
    estimator.cause = cause;
}

// Adds the recent counts to the moving sum, or replaces the sum if the pace has changed.
void foldRecent(CapacityEstimator &estimator)
{
    const auto &options = estimator.options;
    const auto &recent = estimator.recent;
    const double elapsed = std::accumulate(recent.seconds.begin(), recent.seconds.end(), 0.0);
    const bool hasEstimate = estimator.estimate.answersPerSecond > 0;
    const auto changed = hasEstimate ? testForChange(estimator) : estimator.tests.size();
    auto cause = hasEstimate ? CapacityCause::Averaged : CapacityCause::First;
    if (changed != estimator.tests.size()) {
        cause = testedPaces[changed] < 1 ? CapacityCause::Slower : CapacityCause::Faster;
        estimator.sum = estimator.tests[changed].counts;
        estimator.tests = {};
        estimator.secondsSinceChange = 0;
    } else {
        const auto window = std::clamp(Seconds(estimator.secondsSinceChange * windowGrowth),
                                       Seconds(options.shortestWindow), Seconds(options.longestWindow));
        merge(estimator.sum, recent, std::exp(-elapsed / window.count()));
        estimator.secondsSinceChange += elapsed;
    }
    estimator.recent = {};
    if (hasEstimate || answersOf(estimator.sum) >= options.minFirstAnswers) {
        updateEstimate(estimator, cause);
    }
}

void clearCounts(CapacityEstimator &estimator)
{
    estimator.recent = {};
    estimator.sum = {};
    estimator.tests = {};
    estimator.secondsSinceChange = 0;
    estimator.estimate = {};
}

bool isValid(const CapacityOptions &options, const ServerCapacity &capacity)
{
    return std::isfinite(capacity.answersPerSecond) && capacity.answersPerSecond > 0
        && capacity.answersPerSecond <= options.maxAnswersPerSecond && std::isfinite(capacity.concurrency)
        && capacity.concurrency > 0 && capacity.concurrency <= UINT16_MAX && capacity.evidence > 0
        && capacity.usualAnswer >= std::chrono::milliseconds::zero()
        && capacity.usualAnswer <= std::chrono::milliseconds(UINT16_MAX);
}

bool differs(double value, double previous)
{
    return std::abs(value - previous) > announcedDifference * previous;
}

} // namespace

std::string_view toString(CapacityCause cause)
{
    switch (cause) {
    case CapacityCause::None:
        return "none";
    case CapacityCause::First:
        return "first";
    case CapacityCause::Restored:
        return "restored";
    case CapacityCause::Averaged:
        return "averaged";
    case CapacityCause::Slower:
        return "slower";
    case CapacityCause::Faster:
        return "faster";
    case CapacityCause::Expired:
        return "expired";
    }
    return "unknown";
}

std::string_view toString(RestoreOutcome outcome)
{
    switch (outcome) {
    case RestoreOutcome::Restored:
        return "restored";
    case RestoreOutcome::Waiting:
        return "waiting";
    case RestoreOutcome::OtherStart:
        return "other_start";
    case RestoreOutcome::Known:
        return "known";
    case RestoreOutcome::Invalid:
        return "invalid";
    }
    return "unknown";
}

void applyServerStart(CapacityEstimator &estimator, std::uint64_t bornAt, std::uint32_t slots, TimePoint now)
{
    slots = std::max(1U, slots);
    if (estimator.bornAt == bornAt && estimator.slots == slots) {
        return;
    }
    clearCounts(estimator);
    if (estimator.bornAt != bornAt) {
        estimator.excludedUntil = {};
    }
    estimator.bornAt = bornAt;
    estimator.slots = slots;
    estimator.observedAt = now;
    estimator.usualAnswerSeconds = 0;
    estimator.cause = CapacityCause::None;
    if (estimator.remembered) {
        restoreCapacity(estimator, *estimator.remembered, now);
        estimator.remembered.reset();
    }
}

void excludeUntil(CapacityEstimator &estimator, TimePoint until)
{
    estimator.excludedUntil = std::max(estimator.excludedUntil, until);
}

void observeLoad(CapacityEstimator &estimator, std::uint32_t underWay, TimePoint now)
{
    const auto &options = estimator.options;
    if (estimator.bornAt == 0) {
        return;
    }
    const auto since = std::max(estimator.observedAt, estimator.excludedUntil);
    const auto gap = now - estimator.observedAt;
    estimator.observedAt = std::max(estimator.observedAt, now);
    if (gap > options.maxObservationGap) {
        excludeUntil(estimator, now + options.settleTime);
    }
    if (estimator.estimate.answersPerSecond > 0 && now - estimator.loadedAt > options.maxAge) {
        clearCounts(estimator);
        estimator.cause = CapacityCause::Expired;
    }
    if (gap > options.maxObservationGap || now <= since || underWay == 0) {
        return;
    }
    estimator.loadedAt = now;
    const auto level = levelOf(estimator, underWay);
    for (std::size_t entered = estimator.observedLevel + 1; entered <= level; ++entered) {
        estimator.recent.entries[entered] += 1;
    }
    estimator.observedLevel = level;
    estimator.recent.seconds[estimator.observedLevel] += Seconds(now - since).count();
    if (std::accumulate(estimator.recent.seconds.begin(), estimator.recent.seconds.end(), 0.0)
        >= Seconds(options.foldPeriod).count()) {
        foldRecent(estimator);
    }
}

void recordAnswer(CapacityEstimator &estimator, std::uint32_t underWayAtStart, Duration time, TimePoint now)
{
    if (estimator.bornAt == 0 || now < estimator.excludedUntil) {
        return;
    }
    // Answers that arrive in one batch of packets count at the level that the server had until then.
    estimator.recent.answers[estimator.observedLevel] += 1;
    // With more requests than slots, the time includes the wait for a slot.
    if (underWayAtStart > estimator.slots) {
        return;
    }
    auto &usual = estimator.usualAnswerSeconds;
    const double seconds = Seconds(time).count();
    usual += usual == 0 ? seconds : usualAnswerWeight * (std::min(seconds, maxAnswerFactor * usual) - usual);
}

RestoreOutcome restoreCapacity(CapacityEstimator &estimator, const RememberedCapacity &remembered,
                               TimePoint now)
{
    const auto &capacity = remembered.capacity;
    if (!isValid(estimator.options, capacity)) {
        return RestoreOutcome::Invalid;
    }
    if (estimator.bornAt == 0) {
        const bool isBetter
            = !estimator.remembered || estimator.remembered->capacity.evidence < capacity.evidence;
        if (!isBetter) {
            return RestoreOutcome::Known;
        }
        estimator.remembered = remembered;
        return RestoreOutcome::Waiting;
    }
    if (remembered.bornAt != estimator.bornAt) {
        return RestoreOutcome::OtherStart;
    }
    if (estimator.estimate.answersPerSecond > 0) {
        return RestoreOutcome::Known;
    }
    clearCounts(estimator);
    const double answers = std::min<double>(capacity.evidence, estimator.options.maxRestoredAnswers);
    const auto concurrency = static_cast<std::uint32_t>(std::lround(capacity.concurrency));
    const auto level = levelOf(estimator, std::clamp(concurrency, 1U, estimator.slots));
    estimator.sum.answers[level] = answers;
    estimator.sum.seconds[level] = answers / capacity.answersPerSecond;
    if (level < levelOf(estimator, estimator.slots)) {
        // A lower pace above `level` keeps the concurrency until the server shows otherwise.
        estimator.sum.answers[slotLevelCount] = answers;
        estimator.sum.entries[level + 1] = answers;
        estimator.sum.seconds[slotLevelCount] = 2 * estimator.sum.seconds[level];
    }
    estimator.usualAnswerSeconds = Seconds(capacity.usualAnswer).count();
    estimator.loadedAt = now;
    updateEstimate(estimator, CapacityCause::Restored);
    return RestoreOutcome::Restored;
}

std::optional<ServerCapacity> takeCapacityChange(CapacityEstimator &estimator, TimePoint now)
{
    const auto &estimate = estimator.estimate;
    const auto &announced = estimator.announced;
    const bool hasChanged = differs(estimate.answersPerSecond, announced.answersPerSecond)
        || differs(estimate.concurrency, announced.concurrency);
    if (!hasChanged
        || (estimator.announcedAt != TimePoint{} && now - estimator.announcedAt < announcementPeriod)) {
        return {};
    }
    estimator.announced = estimate;
    estimator.announcedAt = now;
    return estimate;
}

bool hasPace(const PaceOptions &options, const ServerCapacity &capacity)
{
    return capacity.evidence >= options.minEvidence && std::isfinite(capacity.answersPerSecond)
        && capacity.answersPerSecond > 0;
}

double pacePerSlot(const ServerCapacity &capacity, std::uint32_t slots)
{
    return capacity.answersPerSecond / std::max(1U, slots);
}

double medianPace(std::span<double> paces)
{
    if (paces.empty()) {
        return 0;
    }
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    if (paces.size() % 2 == 1) {
        return *middle;
    }
    // The lower one alone would make all servers look fast.
    return (*std::max_element(paces.begin(), middle) + *middle) / 2;
}

double relativePace(const PaceOptions &options, const ServerCapacity &capacity, std::uint32_t slots,
                    double medianPacePerSlot)
{
    if (!hasPace(options, capacity) || medianPacePerSlot <= 0) {
        return 1;
    }
    const double ratio = pacePerSlot(capacity, slots) / medianPacePerSlot;
    const double error = ratio * std::sqrt(options.countDispersion / capacity.evidence);
    if (std::abs(ratio - 1) <= std::max(options.deadBand, 2 * error)) {
        return 1;
    }
    return std::clamp(ratio, options.minShare, options.maxShare);
}

} // namespace oriolelever
