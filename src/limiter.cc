#include "oriolelever/limiter.h"

#include <algorithm>
#include <cmath>

namespace oriolelever {

namespace {

constexpr double recentWeight = 0.2; // Averages over about 5 answers.
constexpr double usualWeight = 0.02; // Averages over about 50 answers.
constexpr double limitWeight = 0.2; // Share of the way to its target that the limit falls per answer.

void updateAverage(double &value, double sample, double weight)
{
    value = value == 0.0 ? sample : value + weight * (sample - value);
}

// Lowers the limit by the gradient of answer times, the ratio of tolerated to recent time; it is below 1 once
// the server takes longer than tolerated.
void applyGradient(Limiter &limiter)
{
    const double gradient
        = std::clamp(limiter.options.slowdownTolerance * limiter.usualNs / limiter.recentNs, 0.5, 1.0);
    if (gradient >= 1.0) {
        return;
    }
    const double target = limiter.limit * gradient;
    limiter.limit = std::max(1.0, limiter.limit + limitWeight * (target - limiter.limit));
    limiter.goodAnswers = 0;
}

// Concurrency that the slow start allows at `now`; grows linearly to all slots.
double rampLimit(const Limiter &limiter, TimePoint now)
{
    const auto &options = limiter.options;
    if (options.rampTime.count() == 0 || now >= limiter.rampStart + options.rampTime) {
        return options.slots;
    }
    const std::chrono::duration<double> elapsed = now - limiter.rampStart;
    const std::chrono::duration<double> whole = options.rampTime;
    return std::max(1.0, options.slots * elapsed.count() / whole.count());
}

// Counts a good answer and raises the limit by one after enough of them.
void growAfterGoodAnswer(Limiter &limiter, TimePoint now)
{
    const auto &options = limiter.options;
    const auto needed = limiter.answersPerStep == 0 ? options.answersPerStep : limiter.answersPerStep;
    limiter.goodAnswers = std::min(limiter.goodAnswers + 1, needed);
    if (limiter.goodAnswers < needed) {
        return;
    }
    if (limiter.limit >= options.slots) {
        limiter.answersPerStep = 0;
        return;
    }
    const double next = std::min<double>(std::floor(limiter.limit) + 1.0, options.slots);
    if (next > rampLimit(limiter, now)) {
        return;
    }
    limiter.limit = next;
    limiter.goodAnswers = 0;
}

// Treats the server as cold. Each fall from above 1 doubles the good answers per step, until the limit has
// been at all slots again.
void resetToOne(Limiter &limiter)
{
    const auto needed = limiter.answersPerStep == 0 ? limiter.options.answersPerStep : limiter.answersPerStep;
    if (limiter.limit > 1.0) {
        limiter.answersPerStep = std::min(needed * 2, limiter.options.maxAnswersPerStep);
    }
    limiter.limit = 1.0;
    limiter.goodAnswers = 0;
    limiter.consecutiveBadAnswers = 0;
}

void countBadAnswer(Limiter &limiter)
{
    limiter.goodAnswers = 0;
    if (++limiter.consecutiveBadAnswers >= limiter.options.maxBadAnswers) {
        resetToOne(limiter);
    }
}

// Starts a pause twice as long as the last one.
void extendPause(Limiter &limiter, TimePoint now)
{
    const auto &options = limiter.options;
    const auto doubled = limiter.pause * 2;
    limiter.pause = std::clamp<std::chrono::milliseconds>(doubled, options.minPause, options.maxPause);
    limiter.pausedUntil = now + limiter.pause;
}

void releaseSlot(Limiter &limiter)
{
    limiter.running -= std::min<std::uint32_t>(limiter.running, 1);
}

} // namespace

std::uint32_t allowedConcurrency(const Limiter &limiter, TimePoint now)
{
    if (now < limiter.pausedUntil) {
        return 0;
    }
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(limiter.limit));
}

bool hasSlot(const Limiter &limiter, TimePoint now)
{
    return limiter.running < allowedConcurrency(limiter, now);
}

Duration usualAnswerTime(const Limiter &limiter)
{
    return Duration(static_cast<Duration::rep>(limiter.usualNs));
}

void recordStart(Limiter &limiter)
{
    ++limiter.running;
}

void beginRamp(Limiter &limiter, TimePoint now)
{
    limiter.rampStart = now;
    limiter.limit = 1.0;
    limiter.goodAnswers = 0;
    limiter.consecutiveBadAnswers = 0;
}

void recordAnswer(Limiter &limiter, Duration elapsed, TimePoint now)
{
    releaseSlot(limiter);
    limiter.pause = std::chrono::milliseconds(0);
    const auto sample = static_cast<double>(std::max<Duration::rep>(elapsed.count(), 1));
    const bool bad = limiter.usualNs > 0.0 && sample > limiter.options.badAnswerFactor * limiter.usualNs;
    updateAverage(limiter.recentNs, sample, recentWeight);
    updateAverage(limiter.usualNs, sample, usualWeight);
    if (bad) {
        countBadAnswer(limiter);
        return;
    }
    limiter.consecutiveBadAnswers = 0;
    applyGradient(limiter);
    growAfterGoodAnswer(limiter, now);
}

void recordCancelled(Limiter &limiter)
{
    releaseSlot(limiter);
}

void recordUnreachable(Limiter &limiter, TimePoint now)
{
    releaseSlot(limiter);
    extendPause(limiter, now);
    beginRamp(limiter, now);
}

void recordShed(Limiter &limiter, TimePoint now)
{
    releaseSlot(limiter);
    limiter.limit = std::max(1.0, std::floor(limiter.limit) - 1.0);
    limiter.goodAnswers = 0;
    limiter.pausedUntil = now + limiter.options.minPause;
}

void recordBadAnswer(Limiter &limiter)
{
    releaseSlot(limiter);
    countBadAnswer(limiter);
}

void addRetryTokens(RetryBudget &budget)
{
    budget.tokens = std::min(budget.capacity, budget.tokens + budget.ratio);
}

bool takeRetryToken(RetryBudget &budget)
{
    if (budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

} // namespace oriolelever
