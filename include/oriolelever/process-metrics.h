/// Metrics that every process of the small program has: its memory, its event loop, its log, its calls to the
/// platform.
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

/// All calls on the control thread.
///
///     ProcessMetrics own(context, metrics, log);
///     own.start();
class ProcessMetrics
{
public:
    ProcessMetrics(asio::io_context &context, Metrics &metrics, const EventLog &log);
    ~ProcessMetrics();

    void start();

    /// Notes a call to the platform: what it was about, and "answered", "refused" or "lost".
    void noteCall(std::string_view call, std::string_view outcome, Duration took);

    /// Sets the gauges; the timer that `start` begins does it once a second. `late` is by how much the event
    /// loop was late.
    void update(TimePoint now, Duration late);

private:
    struct Families;

    void scheduleUpdate();

    const EventLog &m_log;
    asio::steady_timer m_timer;
    std::unique_ptr<Families> m_families;
    std::map<std::string, TimePoint> m_answered; ///< Last answer by call.
};

/// Resident memory of a process in bytes, of this one without `process`; 0 if the kernel does not tell.
std::uint64_t residentMemory(pid_t process = 0);

} // namespace oriolelever
