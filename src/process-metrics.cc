#include "oriolelever/process-metrics.h"

#include <fstream>

#include <malloc.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <unistd.h>

namespace oriolelever {

namespace {

constexpr std::chrono::seconds updatePeriod{1};
// Upper bounds of the histogram buckets in seconds. The platform usually answers within milliseconds, a slow
// one within a quarter of a second.
const prometheus::Histogram::BucketBoundaries callSecondsBounds{0.002, 0.01, 0.05, 0.25, 1, 5};

// Converts to the unit of the metrics.
double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

struct ProcessMetrics::Families
{
    explicit Families(prometheus::Registry &registry)
        : calls(prometheus::BuildCounter()
                    .Name("oriolelever_platform_calls_total")
                    .Help("Calls to the platform by kind and outcome")
                    .Register(registry))
        , callTime(prometheus::BuildHistogram()
                       .Name("oriolelever_platform_call_seconds")
                       .Help("Time of calls to the platform that do not wait for changes")
                       .Register(registry)
                       .Add({}, callSecondsBounds))
        , answerAge(prometheus::BuildGauge()
                        .Name("oriolelever_platform_answer_age_seconds")
                        .Help("Time since the platform's last answer by kind of call")
                        .Register(registry))
        , loopDelay(prometheus::BuildGauge()
                        .Name("oriolelever_event_loop_delay_seconds")
                        .Help("How late the event loop was in the last second")
                        .Register(registry)
                        .Add({}))
        , eraChanges(prometheus::BuildCounter()
                         .Name("oriolelever_store_era_changes_total")
                         .Help("How often the platform's store has come back from an older copy")
                         .Register(registry)
                         .Add({}))
        , era(prometheus::BuildGauge()
                  .Name("oriolelever_store_era")
                  .Help("Era of the platform's store after its last change; 0 before")
                  .Register(registry)
                  .Add({}))
        , memory(prometheus::BuildGauge()
                     .Name("oriolelever_resident_memory_bytes")
                     .Help("Resident memory")
                     .Register(registry)
                     .Add({}))
        , suppressed(prometheus::BuildGauge()
                         .Name("oriolelever_log_lines_suppressed")
                         .Help("Log lines left out since the start")
                         .Register(registry)
                         .Add({}))
    {
    }

    prometheus::Family<prometheus::Counter> &calls;
    prometheus::Histogram &callTime;
    prometheus::Family<prometheus::Gauge> &answerAge;
    prometheus::Gauge &loopDelay;
    prometheus::Counter &eraChanges;
    prometheus::Gauge &era;
    prometheus::Gauge &memory;
    prometheus::Gauge &suppressed;
};

ProcessMetrics::ProcessMetrics(asio::io_context &context, Metrics &metrics, const EventLog &log)
    : m_log(log)
    , m_timer(context)
    , m_families(std::make_unique<Families>(metrics.registry()))
{
}

ProcessMetrics::~ProcessMetrics() = default;

void ProcessMetrics::start()
{
    scheduleUpdate();
}

void ProcessMetrics::recordCall(std::string_view call, std::string_view outcome, Duration elapsed)
{
    m_families->calls.Add({{"call", std::string(call)}, {"outcome", std::string(outcome)}}).Increment();
    // A watch waits for changes, so its time says nothing about the speed of the platform.
    if (!call.starts_with("watch")) {
        m_families->callTime.Observe(seconds(elapsed));
    }
    if (outcome == "answered") {
        m_lastAnswers[std::string(call)] = std::chrono::steady_clock::now();
    }
}

void ProcessMetrics::recordEra(std::uint64_t era)
{
    m_families->eraChanges.Increment();
    m_families->era.Set(static_cast<double>(era));
}

void ProcessMetrics::update(TimePoint now, Duration delay)
{
    m_families->loopDelay.Set(seconds(delay));
    m_families->memory.Set(static_cast<double>(residentMemory()));
    m_families->suppressed.Set(static_cast<double>(m_log.suppressed()));
    for (const auto &[call, answered] : m_lastAnswers) {
        m_families->answerAge.Add({{"call", call}}).Set(seconds(now - answered));
    }
}

void ProcessMetrics::scheduleUpdate()
{
    const TimePoint due = std::chrono::steady_clock::now() + updatePeriod;
    m_timer.expires_at(due);
    m_timer.async_wait([this, due](const asio::error_code &error) {
        if (error) {
            return;
        }
        const TimePoint now = std::chrono::steady_clock::now();
        update(now, now - due);
        scheduleUpdate();
    });
}

void releaseFreeMemory()
{
    ::malloc_trim(0);
}

std::uint64_t residentMemory(pid_t process)
{
    std::ifstream file(process == 0 ? std::string("/proc/self/statm")
                                    : fmt::format("/proc/{}/statm", process));
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    if (!(file >> total >> resident)) {
        return 0;
    }
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace oriolelever
