/// Recorded history of a concurrent run of requests, and its checker.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "oriolelever/types.h"

namespace oriolelever::lab {

enum class HistoryKind : std::uint8_t {
    Submitted, ///< A caller sends a submission of the request.
    RunStarted, ///< A backend server starts to run it.
    Answered, ///< The caller got an answer said to be whole.
    Refused, ///< The caller was told that it was not run.
    Unknown, ///< The caller was told that the outcome is unknown.
    Broken, ///< The caller's connection broke.
    Ended, ///< The caller is done with the request.
};

struct HistoryEvent
{
    TimePoint time;
    HistoryKind kind = HistoryKind::Submitted;
    std::uint64_t request = 0;
    std::uint64_t submission = 0; ///< One of several under the request's key.
    bool idempotent = false;
    std::uint64_t content = 0; ///< `Answered`: the request that the answer belongs to.
    bool whole = true; ///< `Answered`: nothing is missing.
    bool speaksForKey = false; ///< `Refused`: no earlier submission ran either.
};

struct HistoryFigures
{
    std::uint64_t sent = 0;
    std::uint64_t answeredWhole = 0;
    std::uint64_t refusedNotRun = 0;
    std::uint64_t outcomeUnknown = 0;
    std::uint64_t doubled = 0; ///< Runs after the first of a non-idempotent request.
    std::uint64_t falseRefusals = 0;
    std::uint64_t wrongAnswers = 0; ///< Another request's answer, or a partial one.
    std::uint64_t lost = 0; ///< Requests that ended without an outcome.
    std::vector<std::string> faults; ///< One line each.
};

/// Checks a history; requests that were told nothing at their end count as lost.
HistoryFigures checkHistory(const std::vector<HistoryEvent> &history);

} // namespace oriolelever::lab
