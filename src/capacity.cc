#include "oriolelever/capacity.h"

#include <algorithm>
#include <cmath>

namespace oriolelever {

namespace {

constexpr double usualWeight = 0.1; ///< Of a new sample in the moving average.
constexpr double slowFactor = 4.0; ///< An answer this much slower than usual is bad.
constexpr double slowFloorMillis = 20.0; ///< Faster answers are never bad.
constexpr std::uint32_t badAnswerLimit = 2;
constexpr double slack = 0.03; ///< Over the mean, before a flow is placed at a peer.
constexpr double burstSeconds = 0.1;

using Seconds = std::chrono::duration<double>;
using Millis = std::chrono::duration<double, std::milli>;

bool isOpen(const Candidate &candidate)
{
    return candidate.flows < candidate.limit;
}

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

double distanceToMean(const Candidate &candidate, double mean)
{
    return isOpen(candidate) ? std::max(0.0, candidate.weight * mean - candidate.flows) : 0.0;
}

std::size_t leastLoaded(std::span<const Candidate> candidates, bool needsWeight)
{
    std::size_t best = noCandidate;
    double bestLoad = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &candidate = candidates[i];
        if (!isOpen(candidate) || (needsWeight && candidate.weight <= 0)) {
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

void growWarmth(Warmth &warmth, std::chrono::milliseconds rampTime, TimePoint now)
{
    if (warmth.share >= 1.0) {
        warmth.grownAt = now;
        return;
    }
    const double elapsed = Seconds(now - warmth.grownAt).count();
    const double whole = Seconds(rampTime).count();
    const double gain = whole > 0 ? elapsed / whole : 1.0;
    warmth.share = std::min(1.0, warmth.share + std::max(0.0, gain) * (1.0 - Warmth::coldShare));
    warmth.grownAt = now;
}

void noteAnswer(Warmth &warmth, const AnswerSample &sample, TimePoint now)
{
    const double millis = Millis(sample.time).count();
    const bool slow
        = warmth.usualMillis > 0 && millis > std::max(slowFloorMillis, slowFactor * warmth.usualMillis);
    if (!sample.failed && !slow) {
        warmth.badAnswers = 0;
        warmth.usualMillis = warmth.usualMillis == 0
            ? millis
            : warmth.usualMillis + usualWeight * (millis - warmth.usualMillis);
        return;
    }
    ++warmth.badAnswers;
    if (warmth.badAnswers < badAnswerLimit) {
        return;
    }
    warmth.badAnswers = 0;
    warmth.share = Warmth::coldShare;
    warmth.grownAt = now;
}

double fullRate(std::uint32_t connectionLimit)
{
    return connectionLimit;
}

bool takePace(Pace &pace, double ratePerSecond, TimePoint now)
{
    const double burst = std::max(1.0, ratePerSecond * burstSeconds);
    const double elapsed = Seconds(now - pace.filledAt).count();
    pace.tokens = std::min(burst, pace.tokens + std::max(0.0, elapsed) * ratePerSecond);
    pace.filledAt = now;
    if (pace.tokens < 1.0) {
        return false;
    }
    pace.tokens -= 1.0;
    return true;
}

std::size_t chooseServer(std::span<const Candidate> candidates, std::size_t self, std::mt19937_64 &random)
{
    const double mean = meanLoad(candidates);
    if (self < candidates.size()) {
        const auto &own = candidates[self];
        if (own.weight > 0 && isOpen(own) && own.flows + 1 <= own.weight * mean * (1 + slack) + 1) {
            return self;
        }
    }
    double total = 0;
    for (const auto &candidate : candidates) {
        total += distanceToMean(candidate, mean);
    }
    if (total > 0) {
        double point = std::uniform_real_distribution<double>(0, total)(random);
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const double distance = distanceToMean(candidates[i], mean);
            if (distance > 0 && point < distance) {
                return i;
            }
            point -= distance;
        }
    }
    const auto weighted = leastLoaded(candidates, true);
    return weighted != noCandidate ? weighted : leastLoaded(candidates, false);
}

double zoneShare(std::chrono::milliseconds rampTime, TimePoint returned, TimePoint now)
{
    constexpr double firstShare = 0.05;
    if (returned == TimePoint{} || rampTime.count() == 0) {
        return 1.0;
    }
    const double share = Seconds(now - returned).count() / Seconds(rampTime).count();
    return std::clamp(share, firstShare, 1.0);
}

} // namespace oriolelever
