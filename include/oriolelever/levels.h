/// Counts and latencies of the requests of an agent's service, from which burn rates are computed.
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <asio/steady_timer.hpp>
#include <prometheus/counter.h>
#include <prometheus/histogram.h>

#include "oriolelever/burn.h"
#include "oriolelever/kernel.h"

namespace oriolelever {

/// Keeps request samples of one minute in bounded memory and publishes them as the status "levels". Needs the
/// services "metrics" and "admin".
///
///     levels.record(Code::Answered, latency);
class ServiceLevels : public Service
{
public:
    explicit ServiceLevels(std::string service);

    Result<void> start(Kernel &kernel) override;
    void stop() override;

    /// Counts a request that ended, with its time from arrival to the end; thread-safe. Requests that their
    /// callers cancelled are not counted.
    void record(Code outcome, Duration latency);

    /// {"service", "samples"}; the last sample is the one that is still open.
    nlohmann::json status(WallTime now) const;

    /// Closes the current sample and begins the next if a minute has passed.
    void closeSampleIfDue(WallTime now);

private:
    void scheduleSampleClose();

    std::string m_service; ///< Name of the service.
    mutable std::mutex m_mutex;
    std::vector<RequestSample> m_samples; ///< Closed samples, oldest first.
    RequestSample m_currentSample;
    std::unique_ptr<asio::steady_timer> m_timer;
    // Null until `start`.
    prometheus::Counter *m_answeredCounter = nullptr;
    prometheus::Counter *m_unansweredCounter = nullptr;
    prometheus::Histogram *m_requestSeconds = nullptr;
};

/// Samples of every service from the status documents of all processes, ordered by their end.
ServiceSamples collectSamples(std::span<const nlohmann::json> statuses);

/// Measured values of services, zones and servers from the status documents of all processes: flows, flow
/// limit, imbalance (largest divided by mean flows of a server) and, over the last hour, availability and the
/// 99th percentile of the latency.
Measured measureRows(std::span<const nlohmann::json> statuses, WallTime now);

} // namespace oriolelever
