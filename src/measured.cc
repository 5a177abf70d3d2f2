#include <algorithm>

#include <fmt/format.h>

#include "oriolelever/levels.h"

namespace oriolelever {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::hours measuredWindow{1};
constexpr double tailQuantile = 0.99;

// Load of the agents that belong to one row.
struct Load
{
    std::uint64_t servers = 0;
    std::uint64_t flows = 0;
    std::uint64_t largest = 0;
    std::uint64_t limit = 0;
};

std::string textOf(const Json &json, const char *section, const char *name)
{
    if (!json.is_object() || !json.contains(section) || !json[section].is_object()) {
        return {};
    }
    const auto &member = json[section];
    return member.contains(name) && member[name].is_string() ? member[name].get<std::string>()
                                                             : std::string();
}

std::uint64_t countOf(const Json &json, const char *section, const char *name)
{
    if (!json.contains(section) || !json[section].is_object()) {
        return 0;
    }
    const auto &member = json[section];
    return member.contains(name) && member[name].is_number_unsigned() ? member[name].get<std::uint64_t>() : 0;
}

void add(Load &load, std::uint64_t flows, std::uint64_t limit)
{
    ++load.servers;
    load.flows += flows;
    load.largest = std::max(load.largest, flows);
    load.limit += limit;
}

std::vector<MeasuredCell> cellsOf(const Load &load)
{
    std::vector<MeasuredCell> cells{{"servers", std::to_string(load.servers)},
                                    {"flows", std::to_string(load.flows)},
                                    {"flow limit", std::to_string(load.limit)}};
    if (load.flows > 0) {
        const double mean = static_cast<double>(load.flows) / static_cast<double>(load.servers);
        cells.push_back({"imbalance", fmt::format("{:.2f}", static_cast<double>(load.largest) / mean)});
    }
    return cells;
}

void addLevels(std::vector<MeasuredCell> &cells, const LevelSample &sum)
{
    cells.push_back({"requests 1h", std::to_string(sum.requests)});
    if (sum.requests == 0) {
        return;
    }
    const double answered = 1 - static_cast<double>(sum.unanswered) / static_cast<double>(sum.requests);
    cells.push_back({"availability 1h", fmt::format("{:.6f}", answered)});
    const std::chrono::duration<double, std::milli> tail = quantileOf(sum.latency, tailQuantile);
    cells.push_back({"latency p99 ms 1h", fmt::format("{:.1f}", tail.count())});
}

} // namespace

Measured measureRows(std::span<const nlohmann::json> statuses, WallTime now)
{
    std::map<RowKey, Load> loads;
    for (const auto &status : statuses) {
        if (textOf(status, "process", "role") != "agent") {
            continue;
        }
        const auto flows = countOf(status, "traffic", "local_flows");
        const auto limit = countOf(status, "traffic", "flow_limit");
        add(loads[{RowKind::Service, textOf(status, "process", "service")}], flows, limit);
        add(loads[{RowKind::Zone, textOf(status, "process", "zone")}], flows, limit);
        add(loads[{RowKind::Server, textOf(status, "process", "name")}], flows, limit);
    }
    Measured measured;
    for (const auto &[key, load] : loads) {
        measured[key] = cellsOf(load);
    }
    for (const auto &[service, samples] : collectSamples(statuses)) {
        addLevels(measured[{RowKind::Service, service}], sumWindow(samples, now, measuredWindow));
    }
    return measured;
}

} // namespace oriolelever
