#include "oriolelever/commands.h"

#include <algorithm>
#include <thread>

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include "oriolelever/flags.h"
#include "oriolelever/operator.h"

namespace oriolelever {

namespace {

constexpr std::chrono::milliseconds statusTimeout{2000};
constexpr std::chrono::milliseconds statusInterval{100};

// One line a figure: "balancer-1 members live: 17".
void printFigures(const std::string &prefix, const nlohmann::json &json)
{
    if (json.is_object()) {
        for (const auto &[name, member] : json.items()) {
            printFigures(prefix + " " + name, member);
        }
    } else if (json.is_array()) {
        fmt::print("{}: {}\n", prefix, json.size());
    } else {
        fmt::print("{}: {}\n", prefix, json.is_string() ? json.get<std::string>() : json.dump());
    }
}

std::string processName(const ProcessStatus &process)
{
    if (!process.hasAnswered) {
        return toString(process.admin);
    }
    const auto node = process.status.value("process", nlohmann::json::object());
    return node.is_object() ? node.value("name", toString(process.admin)) : toString(process.admin);
}

std::size_t printProcesses(const std::vector<ProcessStatus> &processes, bool json)
{
    std::size_t silent = 0;
    nlohmann::json all = nlohmann::json::object();
    for (const auto &process : processes) {
        const auto name = processName(process);
        silent += process.hasAnswered ? 0 : 1;
        if (json) {
            all[name] = process.hasAnswered ? process.status : nlohmann::json();
        } else if (process.hasAnswered) {
            printFigures(name, process.status);
        } else {
            fmt::print("{}: does not answer\n", name);
        }
    }
    if (json) {
        fmt::print("{}\n", all.dump(2));
    } else {
        fmt::print("processes: {}\nprocesses silent: {}\n", processes.size(), silent);
    }
    return silent;
}

std::size_t countAnswers(const std::vector<ProcessStatus> &processes)
{
    return static_cast<std::size_t>(
        std::count_if(processes.begin(), processes.end(), [](const auto &p) { return p.hasAnswered; }));
}

// Processes that every row concerns; an agent has only the rows of its own service.
std::size_t countBalancers(const std::vector<ProcessStatus> &processes)
{
    return static_cast<std::size_t>(
        std::count_if(processes.begin(), processes.end(), [](const auto &process) {
            const auto node = process.status.value("process", nlohmann::json::object());
            return process.hasAnswered && node.value("role", std::string()) == "balancer";
        }));
}

std::vector<ProcessStatus> waitStatuses(const Settings &settings, TimePoint end)
{
    while (true) {
        auto processes = readStatuses(settings, statusTimeout);
        const bool complete = countAnswers(processes) == processes.size();
        if (complete || std::chrono::steady_clock::now() >= end) {
            return processes;
        }
        std::this_thread::sleep_for(statusInterval);
    }
}

// Prints every row's version and who does not have it in force; returns the rows that are not. A row counts
// once it is confirmed by as many processes as there are balancers that answered.
int printVersions(Operator &session, const std::vector<TableRow> &rows, std::size_t balancers, TimePoint end,
                  bool print)
{
    int stale = 0;
    for (const auto &row : rows) {
        const auto inForce = session.waitUntilInForce(row.key, row.version, end, balancers);
        const bool complete = isInForceEverywhere(inForce, balancers);
        stale += complete ? 0 : 1;
        if (!print) {
            continue;
        }
        fmt::print("{} version: {}\n", toString(row.key), row.version);
        fmt::print("{} in force: {}\n", toString(row.key),
                   inForce.hasAnswer
                       ? fmt::format("{} of {}", inForce.confirmedProcesses, inForce.askedProcesses)
                       : "unknown");
        for (const auto &name : inForce.unconfirmedProcesses) {
            fmt::print("{} stale: {}\n", toString(row.key), name);
        }
    }
    return stale;
}

int runStatus(Arguments arguments)
{
    if (!arguments.empty()) {
        return usageError(fmt::format("argument \"{}\" is not expected", arguments.front()));
    }
    const auto format = absl::GetFlag(FLAGS_format);
    if (format != "text" && format != "json") {
        return usageError(
            fmt::format("flag \"--format\" does not allow \"{}\"; allowed: text or json", format));
    }
    const auto settings = operatorSettings();
    if (!settings) {
        return exitUsage;
    }
    Operator session(*settings);
    const bool wait = absl::GetFlag(FLAGS_wait);
    const std::chrono::milliseconds limit(wait ? absl::GetFlag(FLAGS_timeout) : 0);
    const auto end = std::chrono::steady_clock::now() + limit;
    const auto processes = waitStatuses(*settings, end);
    const bool json = format == "json";
    const auto silent = printProcesses(processes, json);
    const auto rows = session.readRows();
    if (!rows) {
        return reportError(rows.error());
    }
    const int stale = printVersions(session, rows.value(), wait ? countBalancers(processes) : 0, end, !json);
    if (!json) {
        fmt::print("rows not in force everywhere: {}\n", stale);
    }
    if (wait && stale > 0) {
        return reportError({Code::NotInForce, fmt::format("{} rows are not in force everywhere", stale)});
    }
    if (silent > 0) {
        return reportError({Code::PeerUnreachable, fmt::format("{} processes do not answer", silent)});
    }
    return exitOk;
}

} // namespace

Command statusCommand()
{
    return {.name = "status",
            .usage = "",
            .summary = "Members, versions in force, flows, limits and who is stale.",
            .flags = {"config", "format", "wait", "timeout"},
            .run = runStatus};
}

} // namespace oriolelever
