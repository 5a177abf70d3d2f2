#include "oriolelever/mechanisms.h"

#include <algorithm>
#include <array>
#include <limits>

#include <fmt/format.h>

namespace oriolelever {

namespace {

constexpr std::chrono::hours never{24};
constexpr double noLimit = 1e9;
constexpr auto noCount = std::numeric_limits<std::uint32_t>::max();

constexpr auto mechanismTable = std::to_array<Mechanism>({
    {"rooms",
     [](auto &options) {
         options.steering.usesRooms = false;
     }},
    {"spill-over",
     [](auto &options) {
         options.steering.room.spillLoad = noLimit;
     }},
    {"overload-refusal",
     [](auto &options) {
         options.steering.room.maxReportPeriods = 0;
     }},
    {"learned-pace",
     [](auto &options) {
         options.steering.pace.deadBand = noLimit;
     }},
    {"request-weight",
     [](auto &options) {
         options.steering.requestWeight = 1;
     }},
    {"flow-weight",
     [](auto &options) {
         options.steering.flowWeight = 0;
     }},
    {"cold-weight",
     [](auto &options) {
         options.steering.coldWeight = 1;
     }},
    {"ranked-servers",
     [](auto &options) {
         options.steering.prefersRankedServers = false;
     }},
    {"second-offer",
     [](auto &options) {
         options.steering.offersToSecondServer = false;
     }},
    {"notes",
     [](auto &options) {
         options.steering.sendsNotes = false;
     }},
    {"flow-filters",
     [](auto &options) {
         options.steering.requestsFlowFilters = false;
     }},
    {"rare-reports",
     [](auto &options) {
         options.steering.remoteReportPeriod = options.steering.reportPeriod;
     }},
    {"deferred-openings",
     [](auto &options) {
         options.defer.maxOpenings = 0;
     }},
    {"flow-lists",
     [](auto &options) {
         options.flowListPeriod = never;
     }},
    {"reliability",
     [](auto &options) {
         options.gate.unreliableTime = std::chrono::milliseconds::zero();
     }},
    {"ejection",
     [](auto &options) {
         options.gate.maxConsecutiveResets = noCount;
     }},
    {"silent-callers",
     [](auto &options) {
         options.gate.callerResponseTimeout = never;
     }},
    {"server-probes",
     [](auto &options) {
         options.gate.openingTimeout = never;
         options.gate.requestTimeout = never;
     }},
    {"priority-order",
     [](auto &options) {
         options.gate.priorityRetention = std::chrono::milliseconds::zero();
     }},
    {"newest-first",
     [](auto &options) {
         options.gate.schedule.servesNewestFirst = false;
     }},
    {"lower-priority-starts",
     [](auto &options) {
         options.gate.schedule.startsPerLowerPriority = noCount;
     }},
    {"caller-shares",
     [](auto &options) {
         options.gate.schedule.countsCallerStarts = false;
     }},
    {"opening-queue",
     [](auto &options) {
         options.gate.schedule.maxOpenings = 0;
     }},
});

} // namespace

std::span<const Mechanism> mechanisms()
{
    return mechanismTable;
}

Result<void> disableMechanisms(std::string_view names, DecisionOptions &options)
{
    while (!names.empty()) {
        const auto name = names.substr(0, names.find(','));
        names.remove_prefix(std::min(names.size(), name.size() + 1));
        const auto found = std::find_if(mechanismTable.begin(), mechanismTable.end(),
                                        [&](const Mechanism &mechanism) { return mechanism.name == name; });
        if (found == mechanismTable.end()) {
            std::string allowed;
            for (const auto &mechanism : mechanismTable) {
                allowed += fmt::format("{}{}", allowed.empty() ? "" : ", ", mechanism.name);
            }
            return fail(Code::SettingInvalid,
                        fmt::format("mechanism \"{}\" does not exist; allowed: {}", name, allowed));
        }
        found->disable(options);
    }
    return {};
}

} // namespace oriolelever
