/// Metrics that the processes of the program in platform/ have in common: resident memory, delay of the event
/// loop, suppressed log lines and calls to the platform.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include <sys/types.h>

#include <asio/steady_timer.hpp>

#include "oriolelever/event-log.h"
#include "oriolelever/metrics.h"
#include "oriolelever/types.h"

namespace oriolelever {

/// Registers and updates these metrics. All functions are called on the thread of the event loop.
///
///     ProcessMetrics own(context, metrics, log);
///     own.start();
class ProcessMetrics
{
public:
    ProcessMetrics(asio::io_context &context, Metrics &metrics, const EventLog &log);
    ~ProcessMetrics();

    /// Starts to update the gauges every second.
    void start();

    /// Records a finished call to the platform: its kind, such as "list agents", its outcome, which is
    /// "answered", "refused" or "lost", and the time it took.
    void recordCall(std::string_view call, std::string_view outcome, Duration elapsed);

    /// Records that the platform's store has come back from an older copy, in this era.
    void recordEra(std::uint64_t era);

    /// Sets the gauges; the timer that `start` begins calls this once a second. `delay` is the time by which
    /// the event loop ran the timer late.
    void update(TimePoint now, Duration delay);

private:
    struct Families;

    void scheduleUpdate();

    const EventLog &m_log;
    asio::steady_timer m_timer;
    std::unique_ptr<Families> m_families;
    std::map<std::string, TimePoint> m_lastAnswers; ///< Time of the last answer by kind of call.
};

/// Resident memory of a process in bytes; 0 if it cannot be read. `process` 0 means the calling process.
std::uint64_t residentMemory(pid_t process = 0);

/// Gives free memory back to the system; takes some milliseconds. The allocator keeps up to 64 MB otherwise.
void releaseFreeMemory();

} // namespace oriolelever
