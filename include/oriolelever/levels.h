/// Samples of the requests of an agent's service, for service-level burn.
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

/// Keeps minute samples in bounded memory and offers them as status "levels"; finds "metrics" and "admin".
///
///     levels.record(Code::Answered, latency);
class Levels : public Service
{
public:
    explicit Levels(std::string service);

    Result<void> start(Kernel &kernel) override;
    void stop() override;

    /// Counts the end of a request of a caller; thread-safe. A cancelled one is not counted.
    void record(Code outcome, Duration latency);

    /// {"service", "samples"}, with the minute that is running.
    nlohmann::json status(WallTime now) const;

    /// Ends the running minute if `now` is past it.
    void roll(WallTime now);

private:
    void rollLater();

    std::string m_service;
    mutable std::mutex m_mutex;
    std::vector<LevelSample> m_samples;
    LevelSample m_running;
    std::unique_ptr<asio::steady_timer> m_timer;
    prometheus::Counter *m_answered = nullptr;
    prometheus::Counter *m_unanswered = nullptr;
    prometheus::Histogram *m_seconds = nullptr;
};

/// Samples of every service from the processes' status, merged by time.
ServiceSamples collectSamples(std::span<const nlohmann::json> statuses);

/// Measured values of services, zones and servers from the processes' status: flows, load over the limit,
/// imbalance (largest over mean load), and of the last hour availability and 99th percentile of answers.
Measured measureRows(std::span<const nlohmann::json> statuses, WallTime now);

} // namespace oriolelever
