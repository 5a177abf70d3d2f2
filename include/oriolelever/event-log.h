/// Structured log: one JSON object per line on standard output, limited in volume, never blocking.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include <fmt/format.h>

#include "oriolelever/types.h"

namespace oriolelever {

struct EventLogOptions
{
    std::string node; ///< Name of the process; part of every line.
    std::uint64_t lifetime = 0; ///< Differs for each start of the process; part of every line.
    std::uint32_t linesPerSecond = 40; ///< Limit for each event name; further lines are suppressed.
    std::size_t bufferBytes = 64 << 10; ///< Limit of pending lines; further ones are suppressed.
};

/// A flow as logs have it, such as "203.0.113.7:40001>198.51.100.1:443" from caller to service. Refers to the
/// arguments of `flowText`.
struct FlowText
{
    const Endpoint &caller;
    const Endpoint &service;
};

inline FlowText flowText(const Endpoint &caller, const Endpoint &service)
{
    return {caller, service};
}

/// Writes lines within the limits of its options, and counts the lines that it suppresses. Fields are
/// formatted only for lines that are written: a small balancer that takes thousands of packets a second
/// suppresses most. docs/OPERATIONS.md lists the events and their fields.
///
///     log.write(now, "flow_placed", "flow", flowText(caller, service), "server", host, "load", 2.5);
class EventLog
{
public:
    /// Writes up to `size` bytes without blocking; returns how many were written.
    using Sink = std::function<std::size_t(const char *bytes, std::size_t size)>;
    /// Unix time in milliseconds.
    using WallClock = std::function<std::int64_t()>;

    /// Writes to standard output with the time of the system clock.
    explicit EventLog(EventLogOptions options);
    EventLog(EventLogOptions options, Sink sink, WallClock wallClock);

    /// Appends a line, with the fields given as pairs of name and value. `event` and the names must be
    /// literals.
    template<typename... Fields>
    void write(TimePoint now, std::string_view event, Fields &&...fields)
    {
        if (!beginLine(now, event)) {
            return;
        }
        append(std::forward<Fields>(fields)...);
        endLine();
    }

    /// Passes pending lines to the sink. For an event with suppressed lines, adds a line with their number
    /// once the second is over.
    void flush(TimePoint now);

    /// Lines suppressed since the start.
    std::uint64_t suppressed() const
    {
        return m_suppressed;
    }

private:
    /// Use of one event's limit.
    struct Budget
    {
        TimePoint windowStart{}; ///< Start of the current second.
        std::uint32_t linesInWindow = 0;
        std::uint32_t suppressedLines = 0; ///< Since the last line about suppressed lines.
    };

    /// False if the line is suppressed.
    bool beginLine(TimePoint now, std::string_view event);
    /// Appends the fields that every line has.
    void appendLineStart(TimePoint now, std::string_view event);
    void endLine();

    void append()
    {
    }

    template<typename Value, typename... Rest>
    void append(std::string_view name, const Value &value, Rest &&...rest)
    {
        fmt::format_to(std::back_inserter(m_buffer), ",\"{}\":", name);
        appendValue(value);
        append(std::forward<Rest>(rest)...);
    }

    void appendValue(std::string_view text);

    void appendValue(const char *text)
    {
        appendValue(std::string_view(text));
    }

    void appendValue(const std::string &text)
    {
        appendValue(std::string_view(text));
    }

    void appendValue(const IpAddress &address);
    void appendValue(const Endpoint &endpoint);
    void appendValue(const FlowText &flow);

    void appendValue(bool value)
    {
        fmt::format_to(std::back_inserter(m_buffer), "{}", value);
    }

    template<typename Rep, typename Period>
    void appendValue(const std::chrono::duration<Rep, Period> &time)
    {
        fmt::format_to(std::back_inserter(m_buffer), "{:.1f}",
                       std::chrono::duration<double, std::milli>(time).count());
    }

    template<typename Number>
    requires std::is_arithmetic_v<Number>

    void appendValue(Number value)
    {
        fmt::format_to(std::back_inserter(m_buffer), "{}", value);
    }

    EventLogOptions m_options;
    Sink m_sink;
    WallClock m_wallClock;
    fmt::memory_buffer m_buffer; ///< Lines that the sink has not written.
    std::unordered_map<std::string_view, Budget> m_budgets; ///< By event; keys are literals.
    std::uint64_t m_suppressed = 0;
};

/// Writes to standard output without blocking; returns how many bytes were written.
std::size_t writeStandardOutput(const char *bytes, std::size_t size);

} // namespace oriolelever
