/// The story of one flow or request, put together from the structured logs of several processes.
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
    std::int64_t at = 0; ///< Time of day, milliseconds since 1970, by the clock of the process.
    std::string node;
    std::uint64_t lifetime = 0;
    std::string event;
    nlohmann::json fields; ///< The whole line.
};

/// What was read of the logs.
struct LogReading
{
    std::vector<LogEvent> events;
    std::size_t unreadable = 0; ///< Lines that hold no whole event.
};

/// Appends the events of a log. Text before the first brace of a line, such as a collector's prefix, is
/// skipped.
void readLog(std::istream &stream, LogReading &reading);

/// What is to be explained; exactly one of the two is set.
struct ExplainSubject
{
    std::string flow; ///< ADDRESS:PORT of the caller.
    std::string request; ///< Id of a request.
};

/// The events of one flow or request in order, and what they come to.
struct Story
{
    std::vector<LogEvent> events;
    std::string outcome; ///< Code and name of codes.h, or "open" if nothing ended it.
    std::string cause; ///< One sentence.
};

/// Puts the story together. Events of one process keep their order; processes are merged by the time of day,
/// so that clocks that differ by less than the steps between processes do no harm. State changes of the
/// servers and balancers that the story names are part of it.
Story explain(const LogReading &reading, const ExplainSubject &subject);

} // namespace oriolelever
