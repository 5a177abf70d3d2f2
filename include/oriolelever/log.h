/// Structured logs: short sentences to standard error with a fixed prefix for each part.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace oriolelever {

enum class LogLevel { Debug, Info, Warn, Error };

/// Takes the messages of every part.
using LogSink = void (*)(LogLevel level, const std::string &part, const std::string &text);
/// Messages before the first sink are lost.
void setLogSink(LogSink sink);

/// Sets up logging to standard error; call once per process, before the first message.
void initLogging(LogLevel level);
/// Parses "debug", "info", "warn" or "error".
bool parseLogLevel(std::string_view text, LogLevel &out);

/// Logger of one part of the program.
///
///     static const Log log("platform");
///     log.warn("call {} timed out", id);
class Log
{
public:
    explicit Log(std::string_view part);

    template<typename... Args>
    void debug(fmt::format_string<Args...> format, Args &&...args) const
    {
        write(LogLevel::Debug, fmt::format(format, std::forward<Args>(args)...));
    }

    template<typename... Args>
    void info(fmt::format_string<Args...> format, Args &&...args) const
    {
        write(LogLevel::Info, fmt::format(format, std::forward<Args>(args)...));
    }

    template<typename... Args>
    void warn(fmt::format_string<Args...> format, Args &&...args) const
    {
        write(LogLevel::Warn, fmt::format(format, std::forward<Args>(args)...));
    }

    template<typename... Args>
    void error(fmt::format_string<Args...> format, Args &&...args) const
    {
        write(LogLevel::Error, fmt::format(format, std::forward<Args>(args)...));
    }

private:
    void write(LogLevel level, const std::string &text) const;

    std::string m_part;
};

} // namespace oriolelever
