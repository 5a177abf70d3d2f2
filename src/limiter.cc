#include "oriolelever/limiter.h"

#include <algorithm>
#include <cmath>

namespace oriolelever {

namespace {

constexpr double recentWeight = 0.2;
constexpr double usualWeight = 0.02;
constexpr double limitWeight = 0.2;

void average(double &value, double sample, double weight)
{
    value = value == 0.0 ? sample : value + weight * (sample - value);
}

// The gradient of answer times: below 1 once the server takes longer than usual.
void followGradient(Limiter &limiter)
{
    const double gradient
        = std::clamp(limiter.options.tolerance * limiter.usualNs / limiter.recentNs, 0.5, 1.0);
    if (gradient >= 1.0) {
        return;
    }
    const double target = limiter.limit * gradient;
    limiter.limit = std::max(1.0, limiter.limit + limitWeight * (target - limiter.limit));
    limiter.goodAnswers = 0;
}

// Slots that the ramp allows at `now`.
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

void growByEvidence(Limiter &limiter, TimePoint now)
{
    const auto &options = limiter.options;
    const auto needed = limiter.evidence == 0 ? options.evidence : limiter.evidence;
    limiter.goodAnswers = std::min(limiter.goodAnswers + 1, needed);
    if (limiter.goodAnswers < needed) {
        return;
    }
    if (limiter.limit >= options.slots) {
        limiter.evidence = 0;
        return;
    }
    const double next = std::min<double>(std::floor(limiter.limit) + 1.0, options.slots);
    if (next > rampLimit(limiter, now)) {
        return;
    }
    limiter.limit = next;
    limiter.goodAnswers = 0;
}

void fallToOne(Limiter &limiter)
{
    const auto needed = limiter.evidence == 0 ? limiter.options.evidence : limiter.evidence;
    if (limiter.limit > 1.0) {
        limiter.evidence = std::min(needed * 2, limiter.options.maxEvidence);
    }
    limiter.limit = 1.0;
    limiter.goodAnswers = 0;
    limiter.badInRow = 0;
}

void countBad(Limiter &limiter)
{
    limiter.goodAnswers = 0;
    if (++limiter.badInRow >= limiter.options.badAnswers) {
        fallToOne(limiter);
    }
}

void pauseLonger(Limiter &limiter, TimePoint now)
{
    const auto &options = limiter.options;
    const auto doubled = limiter.pause * 2;
    limiter.pause = std::clamp<std::chrono::milliseconds>(doubled, options.firstPause, options.maxPause);
    limiter.pausedUntil = now + limiter.pause;
}

void release(Limiter &limiter)
{
    limiter.running -= std::min<std::uint32_t>(limiter.running, 1);
}

} // namespace

std::uint32_t allowed(const Limiter &limiter, TimePoint now)
{
    if (now < limiter.pausedUntil) {
        return 0;
    }
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(limiter.limit));
}

bool hasSlot(const Limiter &limiter, TimePoint now)
{
    return limiter.running < allowed(limiter, now);
}

Duration usualTime(const Limiter &limiter)
{
    return Duration(static_cast<Duration::rep>(limiter.usualNs));
}

void noteStart(Limiter &limiter)
{
    ++limiter.running;
}

void beginRamp(Limiter &limiter, TimePoint now)
{
    limiter.rampStart = now;
    limiter.limit = 1.0;
    limiter.goodAnswers = 0;
    limiter.badInRow = 0;
}

void noteAnswer(Limiter &limiter, Duration elapsed, TimePoint now)
{
    release(limiter);
    limiter.pause = std::chrono::milliseconds(0);
    const auto sample = static_cast<double>(std::max<Duration::rep>(elapsed.count(), 1));
    const bool bad = limiter.usualNs > 0.0 && sample > limiter.options.coldFactor * limiter.usualNs;
    average(limiter.recentNs, sample, recentWeight);
    average(limiter.usualNs, sample, usualWeight);
    if (bad) {
        countBad(limiter);
        return;
    }
    limiter.badInRow = 0;
    followGradient(limiter);
    growByEvidence(limiter, now);
}

void noteCancelled(Limiter &limiter)
{
    release(limiter);
}

void noteUnreachable(Limiter &limiter, TimePoint now)
{
    release(limiter);
    pauseLonger(limiter, now);
    beginRamp(limiter, now);
}

void noteShed(Limiter &limiter, TimePoint now)
{
    release(limiter);
    limiter.limit = std::max(1.0, std::floor(limiter.limit) - 1.0);
    limiter.goodAnswers = 0;
    limiter.pausedUntil = now + limiter.options.firstPause;
}

void noteBad(Limiter &limiter)
{
    release(limiter);
    countBad(limiter);
}

void earn(RetryBudget &budget)
{
    budget.tokens = std::min(budget.capacity, budget.tokens + budget.ratio);
}

bool spend(RetryBudget &budget)
{
    if (budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

} // namespace oriolelever
