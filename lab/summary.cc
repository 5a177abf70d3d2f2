#include "summary.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

#include <fmt/format.h>

#include "commands.h"

namespace oriolelever::lab {

namespace {

// Start of a phase that is left out of the imbalance: flows have to move or end first.
constexpr std::chrono::milliseconds settleTime{3000};
constexpr std::uint64_t minFlowsForImbalance = 70;

// Figures that must be 0, or the run has missed a stated outcome.
constexpr auto zeroFigures = std::to_array<const char *>({
    "flows broken by planned change",
    "packets to wrong service",
    "packets to zone after it left",
    "ran twice",
    "lost",
    "wrong answers",
    "connections cut",
});

// Order of the lines on standard output.
constexpr auto printedFigures = std::to_array<const char *>({
    "flows opened",
    "flows broken by planned change",
    "flows given up with zone",
    "packets to wrong service",
    "packets to zone after it left",
    "imbalance",
    "requests sent",
    "requests answered whole",
    "refused not run",
    "outcome unknown",
    "ran twice",
    "lost",
    "zone out in force ms",
    "drain in force ms",
    "control bytes per second per balancer",
    "packets sent",
});

std::optional<MarkKind> parseMark(const std::string &text)
{
    static const std::map<std::string, MarkKind> kinds = {{"zone-out", MarkKind::ZoneOut},
                                                          {"zone-return", MarkKind::ZoneReturn},
                                                          {"drain", MarkKind::Drain},
                                                          {"balancer-restart", MarkKind::BalancerRestart},
                                                          {"end", MarkKind::End}};
    const auto kind = kinds.find(text);
    return kind == kinds.end() ? std::nullopt : std::optional(kind->second);
}

// The end of the order at `index`: the zone's return, or the end of the run.
WallTime orderEnd(const RunReport &run, std::size_t index)
{
    for (std::size_t later = index + 1; later < run.marks.size(); ++later) {
        const auto &mark = run.marks[later];
        const bool returned = mark.kind == MarkKind::ZoneReturn && mark.name == run.marks[index].name;
        if (returned || mark.kind == MarkKind::End) {
            return mark.at;
        }
    }
    return WallTime::max();
}

template<typename Count>
WallTime lastSlotWith(const ServerReport &server, WallTime from, WallTime to, Count count)
{
    WallTime last = from;
    for (const auto &slot : server.slots) {
        if (slot.at < from || slot.at >= to || count(slot) == 0) {
            continue;
        }
        last = slot.at;
    }
    return last;
}

// Visits each server of a zone that was taken out, with the time of the order and of its end.
template<typename Visit>
void forEachServerOut(const RunReport &run, Visit visit)
{
    for (std::size_t index = 0; index < run.marks.size(); ++index) {
        const auto &mark = run.marks[index];
        if (mark.kind != MarkKind::ZoneOut) {
            continue;
        }
        const auto end = orderEnd(run, index);
        for (const auto &server : run.servers) {
            if (server.zone == mark.name) {
                visit(server, mark.at, end);
            }
        }
    }
}

struct Phase
{
    WallTime from;
    WallTime to;
    std::set<std::string> excludedZones;
    std::set<std::string> excludedServers;
};

std::vector<Phase> phases(const RunReport &run)
{
    std::vector<Phase> result;
    Phase current{.from = WallTime(0), .to = WallTime(0)};
    for (const auto &server : run.servers) {
        if (server.slots.empty()) {
            continue;
        }
        const auto first = server.slots.front().at;
        current.from = current.from.count() == 0 ? first : std::min(current.from, first);
    }
    for (const auto &mark : run.marks) {
        current.to = mark.at;
        result.push_back(current);
        current.from = mark.at;
        if (mark.kind == MarkKind::ZoneOut) {
            current.excludedZones.insert(mark.name);
        }
        if (mark.kind == MarkKind::Drain) {
            current.excludedServers.insert(mark.name);
        }
    }
    return result;
}

double meanOpen(const ServerReport &server, const Phase &phase)
{
    double sum = 0;
    std::size_t slots = 0;
    for (const auto &slot : server.slots) {
        if (slot.at < phase.from + settleTime || slot.at >= phase.to) {
            continue;
        }
        sum += static_cast<double>(slot.open);
        ++slots;
    }
    return slots == 0 ? 0 : sum / static_cast<double>(slots);
}

double phaseImbalance(const RunReport &run, const Phase &phase, const std::string &service)
{
    double sum = 0;
    double largest = 0;
    std::size_t servers = 0;
    for (const auto &server : run.servers) {
        if (server.service != service || phase.excludedZones.contains(server.zone)
            || phase.excludedServers.contains(server.name)) {
            continue;
        }
        const auto open = meanOpen(server, phase);
        sum += open;
        largest = std::max(largest, open);
        ++servers;
    }
    if (servers == 0 || sum < static_cast<double>(minFlowsForImbalance)) {
        return 1;
    }
    return largest / (sum / static_cast<double>(servers));
}

std::string shownValue(double value)
{
    return value == static_cast<double>(static_cast<long long>(value)) ? fmt::format("{:.0f}", value)
                                                                       : fmt::format("{:.3f}", value);
}

bool readLine(const std::string &line, RunReport &run)
{
    const auto colon = line.find(": ");
    if (colon != std::string::npos) {
        std::istringstream value(line.substr(colon + 2));
        double number = 0;
        if (!(value >> number)) {
            return false;
        }
        run.figures[line.substr(0, colon)] += number;
        return true;
    }
    std::istringstream words(line);
    std::string word;
    words >> word;
    if (word == "server") {
        ServerReport server;
        words >> server.name >> server.service >> server.zone;
        run.servers.push_back(std::move(server));
        return !words.fail();
    }
    if (word == "slot" && !run.servers.empty()) {
        ServerSlot slot;
        WallTime::rep at = 0;
        words >> at >> slot.packets >> slot.opened >> slot.open;
        slot.at = WallTime(at);
        run.servers.back().slots.push_back(slot);
        return !words.fail();
    }
    if (word == "run") {
        std::string request;
        std::uint64_t count = 0;
        words >> request >> count;
        run.runs[request] += count;
        return !words.fail();
    }
    if (word == "mark") {
        WallTime::rep at = 0;
        std::string kind;
        Mark mark;
        words >> at >> kind >> mark.name;
        mark.at = WallTime(at);
        const auto parsed = parseMark(kind);
        if (!parsed) {
            return false;
        }
        mark.kind = *parsed;
        run.marks.push_back(std::move(mark));
        return true;
    }
    return false;
}

void addComputed(RunReport &run)
{
    run.figures["packets to zone after it left"] = static_cast<double>(packetsAfterZoneLeft(run));
    run.figures["zone out in force ms"] = static_cast<double>(zoneOutInForce(run).count());
    run.figures["drain in force ms"] = static_cast<double>(drainInForce(run).count());
    run.figures["ran twice"] = static_cast<double>(ranTwice(run));
    run.figures["imbalance"] = imbalance(run);
}

// Prints what was missed; returns whether every stated outcome held.
bool outcomesHeld(const RunReport &run)
{
    bool held = true;
    const auto value = [&](const char *name) {
        const auto figure = run.figures.find(name);
        return figure == run.figures.end() ? 0.0 : figure->second;
    };
    for (const auto *name : zeroFigures) {
        if (value(name) != 0) {
            fmt::print("outcome missed: {} is {}, stated 0\n", name, shownValue(value(name)));
            held = false;
        }
    }
    for (const auto *name : {"flows opened", "requests sent", "requests answered whole"}) {
        if (value(name) == 0) {
            fmt::print("outcome missed: {} is 0\n", name);
            held = false;
        }
    }
    for (const auto *name : {"zone out in force ms", "drain in force ms"}) {
        if (value(name) > static_cast<double>(inForceLimit.count())) {
            fmt::print("outcome missed: {} is {}, stated at most {}\n", name, shownValue(value(name)),
                       inForceLimit.count());
            held = false;
        }
    }
    return held;
}

} // namespace

std::uint64_t packetsAfterZoneLeft(const RunReport &run)
{
    std::uint64_t packets = 0;
    forEachServerOut(run, [&](const ServerReport &server, WallTime order, WallTime end) {
        for (const auto &slot : server.slots) {
            packets += slot.at >= order + inForceLimit && slot.at < end ? slot.packets : 0;
        }
    });
    return packets;
}

std::chrono::milliseconds zoneOutInForce(const RunReport &run)
{
    std::chrono::milliseconds longest{0};
    forEachServerOut(run, [&](const ServerReport &server, WallTime order, WallTime end) {
        const auto last
            = lastSlotWith(server, order, end, [](const ServerSlot &slot) { return slot.packets; });
        longest = std::max(longest, last - order);
    });
    return longest;
}

std::chrono::milliseconds drainInForce(const RunReport &run)
{
    std::chrono::milliseconds longest{0};
    for (const auto &mark : run.marks) {
        if (mark.kind != MarkKind::Drain) {
            continue;
        }
        for (const auto &server : run.servers) {
            if (server.name != mark.name) {
                continue;
            }
            const auto last = lastSlotWith(server, mark.at, WallTime::max(),
                                           [](const ServerSlot &slot) { return slot.opened; });
            longest = std::max(longest, last - mark.at);
        }
    }
    return longest;
}

double imbalance(const RunReport &run)
{
    std::set<std::string> services;
    for (const auto &server : run.servers) {
        services.insert(server.service);
    }
    double worst = 1;
    for (const auto &phase : phases(run)) {
        for (const auto &service : services) {
            worst = std::max(worst, phaseImbalance(run, phase, service));
        }
    }
    return worst;
}

std::uint64_t ranTwice(const RunReport &run)
{
    std::uint64_t repeated = 0;
    for (const auto &[request, count] : run.runs) {
        repeated += count > 1 ? count - 1 : 0;
    }
    return repeated;
}

bool readReport(std::istream &in, RunReport &run, std::string &problem)
{
    int number = 0;
    for (std::string line; std::getline(in, line);) {
        ++number;
        if (line.empty() || readLine(line, run)) {
            continue;
        }
        problem = fmt::format("{}: \"{}\" is not a figure, server, slot, run or mark", number, line);
        return false;
    }
    return true;
}

namespace {

int runSummary(Arguments arguments)
{
    if (arguments.size() != 1) {
        return usageError("summary needs one DIRECTORY");
    }
    const auto &directory = arguments.front();
    std::error_code error;
    std::set<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(directory, error)) {
        if (entry.path().extension() == ".report") {
            files.insert(entry.path());
        }
    }
    if (files.empty()) {
        return usageError(fmt::format("directory \"{}\" holds no .report file", directory));
    }
    RunReport run;
    for (const auto &file : files) {
        std::ifstream in(file);
        std::string problem;
        if (!readReport(in, run, problem)) {
            return usageError(fmt::format("{}:{}", file.string(), problem));
        }
    }
    std::stable_sort(run.marks.begin(), run.marks.end(),
                     [](const Mark &a, const Mark &b) { return a.at < b.at; });
    addComputed(run);
    for (const auto *name : printedFigures) {
        fmt::print("{}: {}\n", name, shownValue(run.figures[name]));
    }
    return outcomesHeld(run) ? exitOk : exitOutcomeMissed;
}

} // namespace

Command summaryCommand()
{
    return {.name = "summary",
            .usage = "DIRECTORY",
            .summary = "Prints the figures of a deployment run from its reports.",
            .run = runSummary};
}

} // namespace oriolelever::lab
