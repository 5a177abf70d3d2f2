#include "oriolelever/event-log.h"

#include <algorithm>

#include <poll.h>
#include <unistd.h>

namespace oriolelever {

namespace {

constexpr std::size_t maxPipeWriteSize
    = 4096; ///< Bytes that a writable pipe accepts without blocking, POSIX PIPE_BUF.

std::int64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

std::size_t writeStandardOutput(const char *bytes, std::size_t size)
{
    pollfd ready{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
        return 0;
    }
    const auto written = ::write(STDOUT_FILENO, bytes, std::min(size, maxPipeWriteSize));
    return written > 0 ? static_cast<std::size_t>(written) : 0;
}

EventLog::EventLog(EventLogOptions options)
    : EventLog(std::move(options), writeStandardOutput, unixMilliseconds)
{
}

EventLog::EventLog(EventLogOptions options, Sink sink, WallClock wallClock)
    : m_options(std::move(options))
    , m_sink(std::move(sink))
    , m_wallClock(std::move(wallClock))
{
}

bool EventLog::beginLine(TimePoint now, std::string_view event)
{
    auto &budget = m_budgets[event];
    if (budget.windowStart == TimePoint{} || now - budget.windowStart >= std::chrono::seconds(1)) {
        budget.windowStart = now;
        budget.linesInWindow = 0;
    }
    if (budget.linesInWindow >= m_options.linesPerSecond || m_buffer.size() >= m_options.bufferBytes) {
        ++budget.suppressedLines;
        ++m_suppressed;
        return false;
    }
    ++budget.linesInWindow;
    appendLineStart(now, event);
    return true;
}

void EventLog::appendLineStart(TimePoint now, std::string_view event)
{
    const auto steady = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch());
    fmt::format_to(std::back_inserter(m_buffer),
                   R"({{"at":{},"steady_us":{},"node":"{}","lifetime":{},"event":"{}")", m_wallClock(),
                   steady.count(), m_options.node, m_options.lifetime, event);
}

void EventLog::endLine()
{
    constexpr std::string_view lineEnd = "}\n";
    m_buffer.append(lineEnd.data(), lineEnd.data() + lineEnd.size());
}

void EventLog::appendValue(std::string_view text)
{
    m_buffer.push_back('"');
    const bool isPlain = std::all_of(text.begin(), text.end(),
                                     [](char c) { return c >= 0x20 && c < 0x7f && c != '"' && c != '\\'; });
    if (isPlain) {
        m_buffer.append(text.data(), text.data() + text.size());
        m_buffer.push_back('"');
        return;
    }
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            m_buffer.push_back('\\');
            m_buffer.push_back(c);
        } else if (byte < 0x20 || byte >= 0x7f) {
            fmt::format_to(std::back_inserter(m_buffer), "\\u{:04x}", byte);
        } else {
            m_buffer.push_back(c);
        }
    }
    m_buffer.push_back('"');
}

void EventLog::appendValue(const IpAddress &address)
{
    fmt::format_to(std::back_inserter(m_buffer), "\"{}\"", toString(address));
}

void EventLog::appendValue(const Endpoint &endpoint)
{
    fmt::format_to(std::back_inserter(m_buffer), "\"{}\"", toString(endpoint));
}

void EventLog::appendValue(const FlowText &flow)
{
    fmt::format_to(std::back_inserter(m_buffer), "\"{}>{}\"", toString(flow.caller), toString(flow.service));
}

void EventLog::flush(TimePoint now)
{
    for (auto &[event, budget] : m_budgets) {
        if (budget.suppressedLines == 0 || now - budget.windowStart < std::chrono::seconds(1)
            || m_buffer.size() >= m_options.bufferBytes) {
            continue;
        }
        appendLineStart(now, "suppressed");
        append("of", event, "lines", budget.suppressedLines);
        endLine();
        budget.suppressedLines = 0;
    }
    std::size_t flushedBytes = 0;
    while (flushedBytes < m_buffer.size()) {
        const auto written = m_sink(m_buffer.data() + flushedBytes, m_buffer.size() - flushedBytes);
        if (written == 0) {
            break;
        }
        flushedBytes += written;
    }
    if (flushedBytes == 0) {
        return;
    }
    std::copy(m_buffer.begin() + static_cast<std::ptrdiff_t>(flushedBytes), m_buffer.end(), m_buffer.begin());
    m_buffer.resize(m_buffer.size() - flushedBytes);
}

} // namespace oriolelever
