/// Constants and helpers of `BalancerTraffic` and `AgentTraffic`.
#pragma once

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "oriolelever/model.h"
#include "oriolelever/path-counters.h"

namespace oriolelever::detail {

constexpr std::chrono::milliseconds metricsInterval{500};
constexpr std::chrono::milliseconds drainPollInterval{50};
constexpr std::chrono::milliseconds drainQuietTime{500}; ///< A drain ends after this time without packets.

/// Records with the key and version, but no value, of everything in `view`: the initial set of changes, from
/// which `updateRouting` builds all routes.
inline std::vector<Record> recordKeysOf(const ClusterView &view)
{
    std::vector<Record> records;
    const auto add = [&](RecordKind kind, const auto &entries) {
        for (const auto &[name, entry] : entries) {
            auto &record = records.emplace_back();
            record.key.kind = kind;
            record.key.name = name;
            record.version = entry.version;
        }
    };
    add(RecordKind::Service, view.services);
    add(RecordKind::Zone, view.zones);
    add(RecordKind::Server, view.serverRows);
    add(RecordKind::Node, view.nodes);
    return records;
}

/// Adds the nonzero counters to the values in `status`, which has an object of names for each kind.
inline void addCounters(nlohmann::json &status, const PathCounters &counters)
{
    counters.forEach([&](std::string_view kind, std::string_view name, std::uint64_t value) {
        if (value == 0) {
            return;
        }
        auto &slot = status[std::string(kind)][std::string(name)];
        slot = value + (slot.is_number() ? slot.get<std::uint64_t>() : 0);
    });
}

} // namespace oriolelever::detail
