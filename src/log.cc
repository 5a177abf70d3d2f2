#include "oriolelever/log.h"

#include <utility>

namespace oriolelever {

namespace {

LogSink &currentSink()
{
    static LogSink sink = nullptr;
    return sink;
}

} // namespace

void setLogSink(LogSink sink)
{
    currentSink() = sink;
}

bool parseLogLevel(std::string_view text, LogLevel &out)
{
    if (text == "debug") {
        out = LogLevel::Debug;
    } else if (text == "info") {
        out = LogLevel::Info;
    } else if (text == "warn") {
        out = LogLevel::Warn;
    } else if (text == "error") {
        out = LogLevel::Error;
    } else {
        return false;
    }
    return true;
}

Log::Log(std::string_view part)
    : m_part(part)
{
}

void Log::write(LogLevel level, const std::string &text) const
{
    if (currentSink() != nullptr) {
        currentSink()(level, m_part, text);
    }
}

} // namespace oriolelever
