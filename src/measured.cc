#include <algorithm>

#include <fmt/format.h>

#include "oriolelever/levels.h"

namespace oriolelever {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::hours levelWindow{1};
constexpr double latencyQuantile = 0.99; ///< The table's latency target is a 99th percentile.

// Total load of the agents that belong to one row.
struct RowLoad
{
    std::uint64_t servers = 0; ///< Number of agents, each beside one backend server.
    std::uint64_t flows = 0; ///< Open flows of all servers.
    std::uint64_t maxFlowsPerServer = 0;
    std::uint64_t limit = 0; ///< Sum of the servers' flow limits.
};

// The text json[section][name]; empty if there is none.
std::string stringMember(const Json &json, const char *section, const char *name)
{
    if (!json.is_object() || !json.contains(section) || !json[section].is_object()) {
        return {};
    }
    const auto &member = json[section];
    return member.contains(name) && member[name].is_string() ? member[name].get<std::string>()
                                                             : std::string();
}

// The count json[section][name]; 0 if there is none.
std::uint64_t countMember(const Json &json, const char *section, const char *name)
{
    if (!json.contains(section) || !json[section].is_object()) {
        return 0;
    }
    const auto &member = json[section];
    return member.contains(name) && member[name].is_number_unsigned() ? member[name].get<std::uint64_t>() : 0;
}

void addServer(RowLoad &load, std::uint64_t flows, std::uint64_t limit)
{
    ++load.servers;
    load.flows += flows;
    load.maxFlowsPerServer = std::max(load.maxFlowsPerServer, flows);
    load.limit += limit;
}

std::vector<MeasuredCell> loadCells(const RowLoad &load)
{
    std::vector<MeasuredCell> cells{{"servers", std::to_string(load.servers)},
                                    {"flows", std::to_string(load.flows)},
                                    {"flow limit", std::to_string(load.limit)}};
    if (load.flows > 0) {
        const double mean = static_cast<double>(load.flows) / static_cast<double>(load.servers);
        cells.push_back(
            {"imbalance", fmt::format("{:.2f}", static_cast<double>(load.maxFlowsPerServer) / mean)});
    }
    return cells;
}

void addLevelCells(std::vector<MeasuredCell> &cells, const RequestSample &sum)
{
    cells.push_back({"requests 1h", std::to_string(sum.requests)});
    if (sum.requests == 0) {
        return;
    }
    const double answered = 1 - static_cast<double>(sum.unanswered) / static_cast<double>(sum.requests);
    cells.push_back({"availability 1h", fmt::format("{:.6f}", answered)});
    const std::chrono::duration<double, std::milli> tail = quantileOf(sum.latency, latencyQuantile);
    cells.push_back({"latency p99 ms 1h", fmt::format("{:.1f}", tail.count())});
}

} // namespace

Measured measureRows(std::span<const nlohmann::json> statuses, WallTime now)
{
    std::map<RowKey, RowLoad> loads;
    for (const auto &status : statuses) {
        if (stringMember(status, "process", "role") != "agent") {
            continue;
        }
        const auto flows = countMember(status, "traffic", "local_flows");
        const auto limit = countMember(status, "traffic", "flow_limit");
        addServer(loads[{RowKind::Service, stringMember(status, "process", "service")}], flows, limit);
        addServer(loads[{RowKind::Zone, stringMember(status, "process", "zone")}], flows, limit);
        addServer(loads[{RowKind::Server, stringMember(status, "process", "name")}], flows, limit);
    }
    Measured measured;
    for (const auto &[key, load] : loads) {
        measured[key] = loadCells(load);
    }
    for (const auto &[service, samples] : collectSamples(statuses)) {
        addLevelCells(measured[{RowKind::Service, service}], sumWindow(samples, now, levelWindow));
    }
    return measured;
}

} // namespace oriolelever
