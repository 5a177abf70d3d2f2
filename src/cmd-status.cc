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

// Prints one line per value, such as "balancer-1 members live: 17"; for an array, its size.
void printValues(const std::string &prefix, const nlohmann::json &json)
{
    if (json.is_object()) {
        for (const auto &[name, member] : json.items()) {
            printValues(prefix + " " + name, member);
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

// Prints the status of every process; returns how many did not answer.
std::size_t printProcesses(const std::vector<ProcessStatus> &processes, bool json)
{
    std::size_t unreachable = 0;
    nlohmann::json all = nlohmann::json::object();
    for (const auto &process : processes) {
        const auto name = processName(process);
        unreachable += process.hasAnswered ? 0 : 1;
        if (json) {
            all[name] = process.hasAnswered ? process.status : nlohmann::json();
        } else if (process.hasAnswered) {
            printValues(name, process.status);
        } else {
            fmt::print("{}: does not answer\n", name);
        }
    }
    if (json) {
        fmt::print("{}\n", all.dump(2));
    } else {
        fmt::print("processes: {}\nprocesses silent: {}\n", processes.size(), unreachable);
    }
    return unreachable;
}

std::size_t countAnswered(const std::vector<ProcessStatus> &processes)
{
    return static_cast<std::size_t>(
        std::count_if(processes.begin(), processes.end(), [](const auto &p) { return p.hasAnswered; }));
}

// Counts the balancers that answered. Every balancer applies all rows, an agent only those of its service.
std::size_t countBalancers(const std::vector<ProcessStatus> &processes)
{
    return static_cast<std::size_t>(
        std::count_if(processes.begin(), processes.end(), [](const auto &process) {
            const auto node = process.status.value("process", nlohmann::json::object());
            return process.hasAnswered && node.value("role", std::string()) == "balancer";
        }));
}

// Reads the statuses until every process answers or the deadline passes.
std::vector<ProcessStatus> waitForStatuses(const Settings &settings, TimePoint deadline)
{
    while (true) {
        auto processes = readStatuses(settings, statusTimeout);
        const bool complete = countAnswered(processes) == processes.size();
        if (complete || std::chrono::steady_clock::now() >= deadline) {
            return processes;
        }
        std::this_thread::sleep_for(statusInterval);
    }
}

// Waits until the rows are in force and returns the number of rows that are not. A row is in force once all
// processes that it concerns, `balancers` or more, have confirmed it. `print` prints each row's version and
// the processes without it.
int printVersions(Operator &session, const std::vector<TableRow> &rows, std::size_t balancers,
                  TimePoint deadline, bool print)
{
    int stale = 0;
    for (const auto &row : rows) {
        const auto inForce = session.waitUntilInForce(row.key, row.version, deadline, balancers);
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
    const std::chrono::milliseconds waitLimit(wait ? absl::GetFlag(FLAGS_timeout) : 0);
    const auto deadline = std::chrono::steady_clock::now() + waitLimit;
    const auto processes = waitForStatuses(*settings, deadline);
    const bool json = format == "json";
    const auto unreachable = printProcesses(processes, json);
    const auto rows = session.readRows();
    if (!rows) {
        return reportError(rows.error());
    }
    const int stale
        = printVersions(session, rows.value(), wait ? countBalancers(processes) : 0, deadline, !json);
    if (!json) {
        fmt::print("rows not in force everywhere: {}\n", stale);
    }
    if (wait && stale > 0) {
        return reportError({Code::NotInForce, fmt::format("{} rows are not in force everywhere", stale)});
    }
    if (unreachable > 0) {
        return reportError({Code::PeerUnreachable, fmt::format("{} processes do not answer", unreachable)});
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
