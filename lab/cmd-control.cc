#include "commands.h"

#include <charconv>
#include <cmath>

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include "control.h"
#include "flags.h"
#include "stability.h"

ABSL_FLAG(std::string, nodes, "", "numbers of balancers, separated by commas");
ABSL_FLAG(std::string, servers, "", "numbers of backend servers, one for each number of nodes");

namespace oriolelever::lab {

namespace {

constexpr std::size_t maxNodes = 20'000;
constexpr std::size_t maxServers = 200'000;
constexpr std::size_t measuredCalls = 5000;
constexpr std::size_t measuredConnections = 50;
constexpr std::size_t mostFailed = 5;

// "100,1000"; false for anything else or a number outside of [min, max].
bool parseNumbers(std::string_view text, std::size_t min, std::size_t max, std::vector<std::size_t> &out)
{
    while (true) {
        const auto comma = text.find(',');
        const auto item = text.substr(0, comma);
        std::size_t number = 0;
        const auto [end, error] = std::from_chars(item.data(), item.data() + item.size(), number);
        if (error != std::errc{} || end != item.data() + item.size() || number < min || number > max) {
            return false;
        }
        out.push_back(number);
        if (comma == std::string_view::npos) {
            return true;
        }
        text.remove_prefix(comma + 1);
    }
}

int wrongNumbers(std::string_view flag, const std::string &value, std::size_t min, std::size_t max)
{
    return usageError(
        fmt::format("flag \"--{}\" does not allow \"{}\"; allowed: {} to {}, separated by commas", flag,
                    value, min, max));
}

void print(std::string_view size, std::string_view name, double value)
{
    fmt::print("{} {}: {:.6g}\n", size, name, value);
}

void printFigures(const ControlOptions &options, const ControlFigures &figures)
{
    const auto size = fmt::format("nodes {} servers {}", options.nodes, options.servers);
    print(size, "records", figures.records);
    print(size, "state bytes", figures.stateBytes);
    print(size, "agent state bytes", figures.agentStateBytes);
    print(size, "heartbeat messages a second", figures.heartbeatMessages);
    print(size, "heartbeat bytes a second", figures.heartbeatBytes);
    print(size, "heartbeat bytes a second of the busiest", figures.busiestHeartbeatBytes);
    print(size, "push messages a change", figures.pushMessages);
    print(size, "push messages a change of the busiest", figures.busiestPushMessages);
    print(size, "push bytes a change", figures.pushBytes);
    print(size, "processor us a change", figures.pushProcessor);
    print(size, "processor us to apply", figures.applyProcessor);
    print(size, "processor us a tick", figures.tickProcessor);
    print(size, "processor us to adopt agents", figures.adoptProcessor);
    print(size, "processor us to update a member", figures.membersProcessor);
    print(size, "members bytes", figures.membersBytes);
    print(size, "in force ms", figures.inForce);
    print(size, "exchange bytes", figures.exchangeBytes);
    print(size, "exchange messages", figures.exchangeMessages);
    print(size, "equal exchange bytes", figures.equalExchangeBytes);
    print(size, "platform calls a second", figures.platformCalls);
    std::fflush(stdout);
}

struct Slope
{
    std::string_view name;
    double (*x)(const ControlOptions &options, const ControlFigures &figures);
    double ControlFigures::*y;
};

double byRecords(const ControlOptions &, const ControlFigures &figures)
{
    return figures.records;
}

double byDoubling(const ControlOptions &options, const ControlFigures &)
{
    return std::log2(static_cast<double>(options.nodes));
}

double byNodes(const ControlOptions &options, const ControlFigures &)
{
    return static_cast<double>(options.nodes);
}

double byAttached(const ControlOptions &options, const ControlFigures &)
{
    return 3 * static_cast<double>(options.servers) / static_cast<double>(options.nodes);
}

constexpr auto slopes = std::to_array<Slope>({
    {"state bytes a record", byRecords, &ControlFigures::stateBytes},
    {"members bytes a node", byNodes, &ControlFigures::membersBytes},
    {"processor us to adopt agents a record", byRecords, &ControlFigures::adoptProcessor},
    {"processor us to update a member a node", byNodes, &ControlFigures::membersProcessor},
    {"processor us a tick an attached agent", byAttached, &ControlFigures::tickProcessor},
    {"heartbeat bytes a second an attached agent", byAttached, &ControlFigures::heartbeatBytes},
    {"push messages a change a doubling of nodes", byDoubling, &ControlFigures::pushMessages},
    {"push bytes a change a doubling of nodes", byDoubling, &ControlFigures::pushBytes},
    {"processor us a change a doubling of nodes", byDoubling, &ControlFigures::pushProcessor},
    {"in force ms a doubling of nodes", byDoubling, &ControlFigures::inForce},
    {"exchange bytes a record", byRecords, &ControlFigures::exchangeBytes},
    {"platform calls a second a node", byNodes, &ControlFigures::platformCalls},
});

int runControl(Arguments arguments)
{
    if (!arguments.empty()) {
        return usageError(fmt::format("argument \"{}\" is not expected", arguments.front()));
    }
    std::vector<std::size_t> nodes;
    std::vector<std::size_t> servers;
    if (!parseNumbers(absl::GetFlag(FLAGS_nodes), 2, maxNodes, nodes)) {
        return wrongNumbers("nodes", absl::GetFlag(FLAGS_nodes), 2, maxNodes);
    }
    if (!parseNumbers(absl::GetFlag(FLAGS_servers), 1, maxServers, servers)
        || servers.size() != nodes.size()) {
        return wrongNumbers("servers", absl::GetFlag(FLAGS_servers), 1, maxServers);
    }
    const auto call = measureCall(measuredCalls);
    fmt::print("call bytes: {:.6g}\n", call.bytes);
    fmt::print("call processor us: {:.6g}\n", call.processor);
    fmt::print("datagram processor us: {:.6g}\n", measureDatagram(measuredCalls));
    fmt::print("connection bytes: {:.6g}\n", measureConnection(measuredConnections));
    std::vector<std::pair<ControlOptions, ControlFigures>> results;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const ControlOptions options{.nodes = nodes[i],
                                     .servers = servers[i],
                                     .seed = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_seed))};
        results.emplace_back(options, measureControl(options, call));
        printFigures(options, results.back().second);
    }
    for (const auto &slope : slopes) {
        std::vector<std::pair<double, double>> points;
        for (const auto &[options, figures] : results) {
            points.emplace_back(slope.x(options, figures), figures.*slope.y);
        }
        fmt::print("slope {}: {:.6g}\n", slope.name, slopeOf(points));
    }
    return exitOk;
}

void printStability(std::string_view way, const StabilityOptions &options, const StabilityFigures &figures)
{
    const auto size = fmt::format("{} nodes {} failed {}", way, options.nodes, options.failed);
    print(size, "messages", static_cast<double>(figures.messages));
    print(size, "bytes", static_cast<double>(figures.bytes));
    print(size, "largest load", static_cast<double>(figures.largestLoad));
    print(size, "time ms", std::chrono::duration<double, std::milli>(figures.time).count());
    print(size, "not confirmed", static_cast<double>(figures.live - figures.confirmed));
}

int runStability(Arguments arguments)
{
    if (!arguments.empty()) {
        return usageError(fmt::format("argument \"{}\" is not expected", arguments.front()));
    }
    std::vector<std::size_t> nodes;
    if (!parseNumbers(absl::GetFlag(FLAGS_nodes), 2, maxNodes, nodes)) {
        return wrongNumbers("nodes", absl::GetFlag(FLAGS_nodes), 2, maxNodes);
    }
    bool complete = true;
    for (const auto count : nodes) {
        for (std::size_t failed = 0; failed <= mostFailed; ++failed) {
            const StabilityOptions options{.nodes = count,
                                           .failed = failed,
                                           .seed = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_seed))};
            const auto tree = measureTree(options);
            complete = complete && tree.confirmed == tree.live;
            printStability("platform", options, measurePlatformWrites(options));
            printStability("coordinator", options, measureCoordinator(options));
            printStability("tree", options, tree);
            printStability("hypercube", options, measureHypercube(options));
        }
    }
    fmt::print("tree confirmed all live nodes: {}\n", complete ? "yes" : "no");
    return complete ? exitOk : exitOutcomeMissed;
}

} // namespace

Command controlCommand()
{
    return {.name = "control",
            .usage = "",
            .summary = "Costs of control for one node at several sizes, and their slopes.",
            .flags = {"nodes", "servers", "seed"},
            .run = runControl};
}

Command stabilityCommand()
{
    return {.name = "stability",
            .usage = "",
            .summary = "Ways to learn that a version is in force everywhere.",
            .flags = {"nodes", "seed"},
            .run = runStability};
}

} // namespace oriolelever::lab
