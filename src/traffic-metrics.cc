#include <prometheus/family.h>
#include <prometheus/registry.h>

#include "oriolelever/metrics.h"
#include "oriolelever/traffic.h"

namespace oriolelever {

PathMetrics::PathMetrics(Metrics &metrics)
    : m_family(prometheus::BuildCounter()
                   .Name("oriolelever_packets_total")
                   .Help("Packets, messages and flows handled by the packet threads, by outcome")
                   .Register(metrics.registry()))
{
}

void PathMetrics::update(
    const std::function<void(const std::function<void(const PathCounters &)> &)> &forEach)
{
    std::map<std::pair<std::string, std::string>, std::uint64_t> sums;
    forEach([&](const PathCounters &counters) {
        counters.forEach([&](std::string_view kind, std::string_view name, std::uint64_t value) {
            sums[{std::string(kind), std::string(name)}] += value;
        });
    });
    for (const auto &[key, value] : sums) {
        auto &entry = m_entries[key];
        if (entry.counter == nullptr) {
            entry.counter = &m_family.Add({{"kind", key.first}, {"name", key.second}});
        }
        entry.counter->Increment(static_cast<double>(value - entry.reportedValue));
        entry.reportedValue = value;
    }
}

} // namespace oriolelever
