#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include "oriolelever/log.h"

namespace oriolelever {

namespace {

log4cplus::LogLevel toLog4cplus(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

void writeToLogger(LogLevel level, const std::string &part, const std::string &text)
{
    const auto logger = log4cplus::Logger::getInstance(part);
    const auto mapped = toLog4cplus(level);
    if (logger.isEnabledFor(mapped)) {
        logger.log(mapped, text);
    }
}

} // namespace

void initLogging(LogLevel level)
{
    static log4cplus::Initializer initializer;
    const log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %c: %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(toLog4cplus(level));
    setLogSink(writeToLogger);
}

} // namespace oriolelever
