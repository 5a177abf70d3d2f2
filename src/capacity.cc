#include "oriolelever/capacity.h"

#include <algorithm>
#include <cmath>

namespace oriolelever {

namespace {

constexpr double newSampleWeight = 0.1; ///< Weight of a new answer time in the moving average.
constexpr double slowFactor = 4.0; ///< An answer that takes more than this times the average is bad.
constexpr double minSlowMillis = 20.0; ///< A faster answer never counts as slow.
constexpr std::uint32_t badAnswerLimit = 2; ///< So many in a row make the server cold.
constexpr double loadTolerance = 0.03; ///< Relative excess over the mean up to which flows stay local.
constexpr double burstSeconds = 0.1; ///< Largest number of tokens, as seconds at the given rate.

using Seconds = std::chrono::duration<double>;
using Millis = std::chrono::duration<double, std::milli>;

// Whether the server is under its limit.
bool hasCapacity(const Candidate &candidate)
{
    return candidate.flows < candidate.limit;
}

// Flows per unit of weight over all servers, including the flow that is being placed.
double meanLoad(std::span<const Candidate> candidates)
{
    double flows = 0;
    double weight = 0;
    for (const auto &candidate : candidates) {
        if (candidate.weight <= 0 || candidate.limit <= 0) {
            continue;
        }
        flows += candidate.flows;
        weight += candidate.weight;
    }
    return weight > 0 ? (flows + 1) / weight : 0;
}

// How many flows the server is below the number at which its load would be the mean; 0 at its limit.
double flowsBelowMean(const Candidate &candidate, double mean)
{
    return hasCapacity(candidate) ? std::max(0.0, candidate.weight * mean - candidate.flows) : 0.0;
}

// The server under its limit with the least flows by weight, or, without `needsWeight`, by limit.
std::size_t leastLoaded(std::span<const Candidate> candidates, bool needsWeight)
{
    std::size_t best = noCandidate;
    double bestLoad = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &candidate = candidates[i];
        if (!hasCapacity(candidate) || (needsWeight && candidate.weight <= 0)) {
            continue;
        }
        const double load = candidate.flows / (needsWeight ? candidate.weight : candidate.limit);
        if (best == noCandidate || load < bestLoad) {
            best = i;
            bestLoad = load;
        }
    }
    return best;
}

} // namespace

void advanceSlowStart(SlowStart &slowStart, std::chrono::milliseconds rampTime, TimePoint now)
{
    if (slowStart.warmFraction >= 1.0) {
        slowStart.updatedAt = now;
        return;
    }
    const double elapsed = Seconds(now - slowStart.updatedAt).count();
    const double rampSeconds = Seconds(rampTime).count();
    const double gain = rampSeconds > 0 ? elapsed / rampSeconds : 1.0;
    slowStart.warmFraction
        = std::min(1.0, slowStart.warmFraction + std::max(0.0, gain) * (1.0 - SlowStart::coldFraction));
    slowStart.updatedAt = now;
}

void recordAnswer(SlowStart &slowStart, const AnswerSample &sample, TimePoint now)
{
    const double millis = Millis(sample.time).count();
    const bool slow = slowStart.averageAnswerMillis > 0
        && millis > std::max(minSlowMillis, slowFactor * slowStart.averageAnswerMillis);
    if (!sample.failed && !slow) {
        slowStart.consecutiveBadAnswers = 0;
        slowStart.averageAnswerMillis = slowStart.averageAnswerMillis == 0
            ? millis
            : slowStart.averageAnswerMillis + newSampleWeight * (millis - slowStart.averageAnswerMillis);
        return;
    }
    ++slowStart.consecutiveBadAnswers;
    if (slowStart.consecutiveBadAnswers < badAnswerLimit) {
        return;
    }
    slowStart.consecutiveBadAnswers = 0;
    slowStart.warmFraction = SlowStart::coldFraction;
    slowStart.updatedAt = now;
}

double flowRatePerSecond(std::uint32_t connectionLimit)
{
    return connectionLimit;
}

bool consumeToken(FlowRateLimit &flowRateLimit, double ratePerSecond, TimePoint now)
{
    const double burst = std::max(1.0, ratePerSecond * burstSeconds);
    const double elapsed = Seconds(now - flowRateLimit.refilledAt).count();
    flowRateLimit.tokens = std::min(burst, flowRateLimit.tokens + std::max(0.0, elapsed) * ratePerSecond);
    flowRateLimit.refilledAt = now;
    if (flowRateLimit.tokens < 1.0) {
        return false;
    }
    flowRateLimit.tokens -= 1.0;
    return true;
}

std::size_t chooseServer(std::span<const Candidate> candidates, std::size_t self, std::mt19937_64 &random)
{
    const double mean = meanLoad(candidates);
    if (self < candidates.size()) {
        const auto &own = candidates[self];
        // The server's flows without this one may reach its share of the mean, which includes this one.
        if (own.weight > 0 && hasCapacity(own)
            && own.flows + 1 <= own.weight * mean * (1 + loadTolerance) + 1) {
            return self;
        }
    }
    double total = 0;
    for (const auto &candidate : candidates) {
        total += flowsBelowMean(candidate, mean);
    }
    if (total > 0) {
        double point = std::uniform_real_distribution<double>(0, total)(random);
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const double distance = flowsBelowMean(candidates[i], mean);
            if (distance > 0 && point < distance) {
                return i;
            }
            point -= distance;
        }
    }
    const auto weighted = leastLoaded(candidates, true);
    return weighted != noCandidate ? weighted : leastLoaded(candidates, false);
}

double zoneRampFraction(std::chrono::milliseconds rampTime, TimePoint returned, TimePoint now)
{
    constexpr double initialFraction = 0.05;
    if (returned == TimePoint{} || rampTime.count() == 0) {
        return 1.0;
    }
    const double share = Seconds(now - returned).count() / Seconds(rampTime).count();
    return std::clamp(share, initialFraction, 1.0);
}

} // namespace oriolelever
