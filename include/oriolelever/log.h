/// Log messages on standard error, each with its level and the part of the program that logs it.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace oriolelever {

enum class LogLevel { Debug, Info, Warn, Error };

/// Receives every log message; `part` names the part of the program that logs it.
using LogSink = void (*)(LogLevel level, const std::string &part, const std::string &text);
/// Replaces the sink; messages logged while there is none are dropped.
void setLogSink(LogSink sink);

/// Logs messages from `level` on to standard error; call once per process, before the first message.
void initLogging(LogLevel level);
/// Parses "debug", "info", "warn" or "error"; false leaves `out` unchanged.
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

    std::string m_part; ///< Name of the part, the prefix of its messages.
};

} // namespace oriolelever
