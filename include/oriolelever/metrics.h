/// Prometheus metrics of one process.
#pragma once

#include <memory>
#include <string>

#include <prometheus/registry.h>

#include "oriolelever/kernel.h"

namespace oriolelever {

/// Owns the registry for the metrics of all services of the process; updating a metric is thread-safe.
///
///     auto &family =
///     prometheus::BuildCounter().Name("oriolelever_packets_total").Register(metrics.registry());
class Metrics : public Service
{
public:
    Metrics();

    Result<void> start(Kernel &kernel) override;
    void stop() override;

    prometheus::Registry &registry()
    {
        return *m_registry;
    }

    /// All metrics in Prometheus' text format.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace oriolelever
