/// Explains what happened to one flow or request, from the structured logs of several processes.
#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace oriolelever {

/// One line of a structured log.
struct LogEvent
{
    std::int64_t timeMs = 0; ///< Unix time in milliseconds, by the clock of the process.
    std::string node; ///< Name of the process.
    std::uint64_t lifetime = 0; ///< Differs for each start of the process; 0 if the line has none.
    std::string event; ///< Name of the event.
    nlohmann::json fields; ///< All fields of the line, with those above.
};

/// Contents of one or more logs.
struct ParsedLogs
{
    std::vector<LogEvent> events;
    std::size_t malformedLines = 0; ///< Lines without a complete event; empty lines are not counted.
};

/// Appends the events of a log to `logs`. Skips text before the first brace of a line, such as the prefix of
/// a log collector.
void parseLog(std::istream &stream, ParsedLogs &logs);

/// The flow or request to explain; exactly one of the two is set.
struct ExplainSubject
{
    std::string flow; ///< ADDRESS:PORT of the caller.
    std::string request; ///< Id of a request.
};

/// The events of one flow or request in order, and the outcome that follows from them.
struct Explanation
{
    std::vector<LogEvent> events;
    std::string outcome; ///< Code and name as in codes.h, "open" without an end, or "unknown" without events.
    std::string cause; ///< Cause of the outcome, one sentence.
};

/// Selects and orders the events of the subject, and derives outcome and cause. Events of one process keep
/// their order; processes are merged by the time of day, so clock differences below the time between two
/// steps do not change the order. State changes of the servers and processes that these events name are
/// included.
Explanation explain(const ParsedLogs &logs, const ExplainSubject &subject);

} // namespace oriolelever
