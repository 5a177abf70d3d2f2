/// Structured log: one JSON object a line on standard output, bounded in volume, never blocking.
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
    std::string node; ///< Name of the process in every line.
    std::uint64_t lifetime = 0; ///< Start of the process in every line.
    std::uint32_t linesPerSecond = 40; ///< Of one event; further ones are counted.
    std::size_t bufferBytes = 64 << 10; ///< Lines that wait for a slow reader; further ones are counted.
};

/// Names and limits of the fields: docs/OPERATIONS.md.
///
///     log.write(now, "flow_placed", "flow", toText(key), "server", host, "load", 2.5);
class EventLog
{
public:
    /// Writes at most `size` bytes without waiting; returns how many were taken.
    using Sink = std::function<std::size_t(const char *bytes, std::size_t size)>;
    /// Time of day in milliseconds since 1970.
    using WallClock = std::function<std::int64_t()>;

    explicit EventLog(EventLogOptions options);
    EventLog(EventLogOptions options, Sink sink, WallClock wallClock);

    /// Appends one line with the fields given as pairs of name and value.
    template<typename... Fields>
    void write(TimePoint now, std::string_view event, Fields &&...fields)
    {
        if (!begin(now, event)) {
            return;
        }
        append(std::forward<Fields>(fields)...);
        end();
    }

    /// Hands waiting lines to the sink and sums up what was left out.
    void flush(TimePoint now);

    /// Lines left out so far.
    std::uint64_t suppressed() const
    {
        return m_suppressed;
    }

private:
    struct Budget
    {
        TimePoint second{};
        std::uint32_t lines = 0;
        std::uint32_t leftOut = 0;
    };

    bool begin(TimePoint now, std::string_view event);
    void startLine(TimePoint now, std::string_view event);
    void end();

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
    fmt::memory_buffer m_buffer;
    std::unordered_map<std::string_view, Budget> m_budgets; ///< Keys are literals of the program.
    std::uint64_t m_suppressed = 0;
};

/// Writes to standard output without waiting for a slow reader.
std::size_t writeStandardOutput(const char *bytes, std::size_t size);

/// "203.0.113.7:40001>198.51.100.1:443" from caller to service.
std::string flowText(const Endpoint &caller, const Endpoint &service);

} // namespace oriolelever
