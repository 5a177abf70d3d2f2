#include "oriolelever/levels.h"

#include <algorithm>

#include "oriolelever/admin.h"
#include "oriolelever/metrics.h"

namespace oriolelever {

namespace {

constexpr std::chrono::seconds sampleCheckInterval{5};
constexpr std::chrono::minutes sampleSpan{1};

// Upper bounds of the histogram buckets in seconds.
const prometheus::Histogram::BucketBoundaries requestSecondsBounds{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};

WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace

ServiceLevels::ServiceLevels(std::string service)
    : m_service(std::move(service))
{
    m_currentSample.begin = wallNow();
    m_currentSample.end = m_currentSample.begin;
}

Result<void> ServiceLevels::start(Kernel &kernel)
{
    auto &registry = kernel.find<Metrics>("metrics").registry();
    auto &counters = prometheus::BuildCounter()
                         .Name("oriolelever_level_requests_total")
                         .Help("Requests of callers that ended, by result.")
                         .Register(registry);
    m_answeredCounter = &counters.Add({{"service", m_service}, {"result", "answered"}});
    m_unansweredCounter = &counters.Add({{"service", m_service}, {"result", "unanswered"}});
    m_requestSeconds = &prometheus::BuildHistogram()
                            .Name("oriolelever_request_seconds")
                            .Help("Time from a request's arrival to its whole answer.")
                            .Register(registry)
                            .Add({{"service", m_service}}, requestSecondsBounds);
    kernel.find<Admin>("admin").addStatus("levels", [this] { return status(wallNow()); });
    m_timer = std::make_unique<asio::steady_timer>(kernel.control());
    scheduleSampleClose();
    return {};
}

void ServiceLevels::stop()
{
    m_timer.reset();
}

void ServiceLevels::scheduleSampleClose()
{
    m_timer->expires_after(sampleCheckInterval);
    m_timer->async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        closeSampleIfDue(wallNow());
        scheduleSampleClose();
    });
}

void ServiceLevels::record(Code outcome, Duration latency)
{
    if (outcome == Code::Cancelled) {
        return;
    }
    const bool answered = outcome == Code::Answered;
    const std::scoped_lock lock(m_mutex);
    ++m_currentSample.requests;
    if (answered) {
        oriolelever::record(m_currentSample.latency,
                            std::chrono::duration_cast<std::chrono::microseconds>(latency));
    } else {
        ++m_currentSample.unanswered;
    }
    if (m_requestSeconds == nullptr) {
        return;
    }
    (answered ? m_answeredCounter : m_unansweredCounter)->Increment();
    if (answered) {
        m_requestSeconds->Observe(std::chrono::duration<double>(latency).count());
    }
}

void ServiceLevels::closeSampleIfDue(WallTime now)
{
    const std::scoped_lock lock(m_mutex);
    if (now - m_currentSample.begin < sampleSpan) {
        return;
    }
    m_currentSample.end = now;
    m_samples.push_back(std::move(m_currentSample));
    m_currentSample = {.begin = now, .end = now};
    compactSamples(m_samples, now);
}

nlohmann::json ServiceLevels::status(WallTime now) const
{
    const std::scoped_lock lock(m_mutex);
    auto samples = m_samples;
    samples.push_back(m_currentSample);
    samples.back().end = std::max(now, m_currentSample.begin + std::chrono::milliseconds(1));
    return {{"service", m_service}, {"samples", encodeSamples(samples)}};
}

ServiceSamples collectSamples(std::span<const nlohmann::json> statuses)
{
    ServiceSamples all;
    for (const auto &status : statuses) {
        if (!status.is_object() || !status.contains("levels")) {
            continue;
        }
        const auto &levels = status["levels"];
        auto &samples = all[levels.value("service", std::string())];
        for (auto &sample : decodeSamples(levels.value("samples", nlohmann::json::array()))) {
            samples.push_back(std::move(sample));
        }
    }
    for (auto &[service, samples] : all) {
        std::sort(samples.begin(), samples.end(), [](const auto &a, const auto &b) { return a.end < b.end; });
    }
    return all;
}

} // namespace oriolelever
