/// Capacity of a backend server for new flows, and the choice of a server for a new flow.
#pragma once

#include <random>
#include <span>

#include "oriolelever/placement.h"

namespace oriolelever {

/// Slow start of a server: which fraction of its full load it gets, by the answers measured on it. A cold
/// server starts at `coldFraction`. The fraction grows with time, and falls back to `coldFraction` after two
/// bad answers in a row.
struct SlowStart
{
    static constexpr double coldFraction = 0.05;

    double warmFraction = coldFraction; ///< Of the full load, in [coldFraction, 1]; 1 is warm.
    TimePoint updatedAt; ///< Until when `warmFraction` has grown.
    double averageAnswerMillis = 0; ///< Moving average over good answers; 0 before the first.
    std::uint32_t consecutiveBadAnswers = 0; ///< Since the last good answer or fall to cold.
};

/// One answer of the local server.
struct AnswerSample
{
    Duration time{0}; ///< From the request, or the opening of the flow, to the answer.
    bool failed = false; ///< The request failed, or the server shed it.
};

/// Grows `warmFraction` for the time since `updatedAt`. It grows from cold to warm in `rampTime`; 0 makes the
/// server warm at once.
void advanceSlowStart(SlowStart &slowStart, std::chrono::milliseconds rampTime, TimePoint now);
/// Records an answer. It is bad if it failed or is much slower than the average.
void recordAnswer(SlowStart &slowStart, const AnswerSample &sample, TimePoint now);

/// Rate limit of new flows by tokens: each flow consumes one, and they accrue at a rate that the caller
/// gives.
struct FlowRateLimit
{
    double tokens = 0; ///< Flows that may be accepted at once.
    TimePoint refilledAt; ///< When tokens were last added.
};

/// Returns how many new flows a second a server with this limit accepts: as many as the limit.
double flowRatePerSecond(std::uint32_t connectionLimit);
/// Adds the tokens accrued since `refilledAt`, up to a short burst, and consumes one. Returns false if there
/// is none.
bool consumeToken(FlowRateLimit &flowRateLimit, double ratePerSecond, TimePoint now);

/// A server that may be chosen for a new flow.
struct Candidate
{
    double flows = 0; ///< Open flows, including those placed since its last load message.
    double limit = 0; ///< Flows that it may have now; 0 accepts none.
    /// Relative share of new flows: zone weight times zone ramp times warm fraction. A server of weight 0 is
    /// chosen only if no server of another weight is under its limit.
    double weight = 0;
};

/// Index that stands for no server.
constexpr std::size_t noCandidate = SIZE_MAX;

/// Returns the index of the server for a new flow. This is `self` unless its load relative to its weight is
/// above the mean by more than a small tolerance; else a random server below the mean, with a probability by
/// its distance from it. Some server is chosen whenever one is under its limit; `noCandidate` is returned
/// only if none is.
std::size_t chooseServer(std::span<const Candidate> candidates, std::size_t self, std::mt19937_64 &random);

/// Returns by which fraction of its weight a server gets new flows at `now` if its zone returned at
/// `returned`; 1 if the zone was never out.
double zoneRampFraction(std::chrono::milliseconds rampTime, TimePoint returned, TimePoint now);

} // namespace oriolelever
