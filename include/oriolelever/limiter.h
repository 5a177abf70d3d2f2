/// Adaptive concurrency limit of one backend server, and the budget for retries and hedges.
#pragma once

#include "oriolelever/types.h"

namespace oriolelever {

struct LimiterOptions
{
    std::uint32_t slots = 2; ///< Requests that the backend server runs at once; the limit never exceeds it.
    double tolerance = 2.0; ///< Recent over usual answer time that is taken as normal.
    double coldFactor = 4.0; ///< An answer that takes this many usual answer times is a bad one.
    std::uint32_t badAnswers = 2; ///< Bad answers in a row that mean cold.
    std::uint32_t evidence = 8; ///< Good answers before the limit grows by one.
    std::uint32_t maxEvidence = 64;
    std::chrono::milliseconds rampTime{10'000}; ///< From a start of the server to all slots.
    std::chrono::milliseconds firstPause{20}; ///< Pause after a failure; doubles up to `maxPause`.
    std::chrono::milliseconds maxPause{1000};
};

/// State of the limit. It is 1 at the start, after a start of the server and when it turns cold; it grows by
/// evidence, and after a start no faster than the ramp.
struct Limiter
{
    LimiterOptions options;
    double limit = 1.0;
    std::uint32_t running = 0;
    double recentNs = 0.0; ///< Moving average over a few answers; 0 before the first.
    double usualNs = 0.0; ///< Moving average over many answers.
    std::uint32_t goodAnswers = 0; ///< Since the limit last changed.
    std::uint32_t evidence = 0; ///< Good answers needed for the next step; 0 takes the option.
    std::uint32_t badInRow = 0;
    TimePoint rampStart; ///< Start of the server, as far as it is known.
    std::chrono::milliseconds pause{0};
    TimePoint pausedUntil;
};

/// Requests that may run at once at `now`; 0 during a pause.
std::uint32_t allowed(const Limiter &limiter, TimePoint now);
/// True if one more request may start.
bool hasSlot(const Limiter &limiter, TimePoint now);
/// Expected time of one answer; 0 before the first answer.
Duration usualTime(const Limiter &limiter);

/// The server starts, or this agent does: begins the ramp.
void beginRamp(Limiter &limiter, TimePoint now);
void noteStart(Limiter &limiter);
/// A whole answer after `elapsed`.
void noteAnswer(Limiter &limiter, Duration elapsed, TimePoint now);
/// The attempt ended without telling anything of the server, such as a cancelled hedge.
void noteCancelled(Limiter &limiter);
/// The server takes no connection: pauses and begins the ramp again.
void noteUnreachable(Limiter &limiter, TimePoint now);
/// The server shed the request: the limit falls by one, after a short pause.
void noteShed(Limiter &limiter, TimePoint now);
/// The answer was broken, or did not come before the deadline.
void noteBad(Limiter &limiter);

/// Retries and hedges in proportion to first attempts, so that they cannot multiply an overload.
struct RetryBudget
{
    double ratio = 0.1; ///< Tokens earned by a first attempt.
    double capacity = 10.0;
    double tokens = 10.0;
};

void earn(RetryBudget &budget);
/// Takes one token; false if there is none.
bool spend(RetryBudget &budget);

} // namespace oriolelever
