/// Adaptive concurrency limit of one backend server, and the token budget for retries and hedges.
#pragma once

#include "oriolelever/types.h"

namespace oriolelever {

struct LimiterOptions
{
    std::uint32_t slots = 2; ///< Requests that the backend server runs at once; the limit never exceeds it.
    double slowdownTolerance = 2.0; ///< Ratio of recent to usual answer time above which the limit falls.
    double badAnswerFactor = 4.0; ///< An answer that takes longer than this many usual answer times is bad.
    std::uint32_t maxBadAnswers = 2; ///< Bad answers in a row after which the server counts as cold.
    std::uint32_t answersPerStep = 8; ///< Good answers before the limit grows by one.
    std::uint32_t maxAnswersPerStep = 64; ///< Limit of its doubling whenever the server turns cold.
    std::chrono::milliseconds rampTime{10'000}; ///< Slow start: from a start of the server to all slots.
    std::chrono::milliseconds minPause{20}; ///< Pause after a failure; doubles while unreachable.
    std::chrono::milliseconds maxPause{1000}; ///< Limit of that doubling.
};

/// State of the limit. It is 1 at first, after a start of the server and when the server turns cold. It grows
/// by one after enough good answers, during a slow start no faster than the ramp allows, and falls when
/// answers get slower.
struct Limiter
{
    LimiterOptions options;
    double limit = 1.0; ///< Requests that may run at once; rounded down when applied.
    std::uint32_t running = 0; ///< Attempts without an end.
    double recentNs = 0.0; ///< Moving average of the answer time over a few answers; 0 before the first.
    double usualNs = 0.0; ///< The same over many answers.
    std::uint32_t goodAnswers = 0; ///< Since the limit last changed or an answer was bad.
    std::uint32_t answersPerStep = 0; ///< Good answers before the next growth; 0 means the option's value.
    std::uint32_t consecutiveBadAnswers = 0;
    TimePoint rampStart; ///< Start of the server as far as known, or of this agent.
    std::chrono::milliseconds pause{0}; ///< Latest pause while unreachable; 0 after an answer.
    TimePoint pausedUntil; ///< No request starts before it.
};

/// Returns how many requests may run at once at `now`; 0 during a pause.
std::uint32_t allowedConcurrency(const Limiter &limiter, TimePoint now);
/// Returns true if one more request may start.
bool hasSlot(const Limiter &limiter, TimePoint now);
/// Returns the usual answer time; 0 before the first answer.
Duration usualAnswerTime(const Limiter &limiter);

/// Begins the slow start; call it when the server or this agent starts.
void beginRamp(Limiter &limiter, TimePoint now);
/// Records that an attempt started; each start is followed by one of the calls below.
void recordStart(Limiter &limiter);
/// Records a whole answer that came `elapsed` after the start.
void recordAnswer(Limiter &limiter, Duration elapsed, TimePoint now);
/// Records an attempt whose end says nothing about the server, such as a cancelled hedge.
void recordCancelled(Limiter &limiter);
/// Records that the server accepted no connection: pauses and begins the slow start again.
void recordUnreachable(Limiter &limiter, TimePoint now);
/// Records that the server shed the request: lowers the limit by one and pauses for `minPause`.
void recordShed(Limiter &limiter, TimePoint now);
/// Records a broken answer, or one that did not come before the deadline.
void recordBadAnswer(Limiter &limiter);

/// Token budget that keeps retries and hedges in proportion to first attempts, so that they cannot multiply
/// an overload.
struct RetryBudget
{
    double ratio = 0.1; ///< Tokens that a first attempt adds.
    double capacity = 10.0; ///< Largest number of tokens.
    double tokens = 10.0; ///< Each retry or hedge takes one.
};

/// Adds the tokens of one first attempt.
void addRetryTokens(RetryBudget &budget);
/// Takes one token; returns false if there is none.
bool takeRetryToken(RetryBudget &budget);

} // namespace oriolelever
