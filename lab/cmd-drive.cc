#include "commands.h"

#include <fstream>
#include <sstream>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>

#include "fabric.h"
#include "flags.h"
#include "http-callers.h"
#include "oriolelever/log.h"
#include "report.h"
#include "summary.h"

ABSL_FLAG(std::string, balancers, "", "DATA/ADMIN addresses of the balancers, separated by commas");
ABSL_FLAG(std::string, services, "", "NAME/PROTOCOL=ADDRESS of the services, separated by commas");
ABSL_FLAG(std::string, agents, "",
          "SERVICE/SERVER@ZONE=ADDRESS of the agents' HTTP fronts, separated by commas");
ABSL_FLAG(std::string, marks, "", "file of the operators' orders, read while the load runs");

ABSL_FLAG(double, flows_per_second, 150, "new flows of all services together");

namespace oriolelever::lab {

namespace {

constexpr std::chrono::milliseconds markPollTime{20};
constexpr std::chrono::seconds finishLimit{10};
constexpr std::uint32_t requestConcurrency = 8;
constexpr double requestsPerSecond = 60;

struct AgentFront
{
    std::string service;
    std::string server;
    std::string zone;
    Endpoint requests;
};

struct DriveOptions
{
    FabricOptions fabric;
    std::vector<AgentFront> agents;
    std::string marks;
    std::chrono::seconds time{0};
};

std::vector<std::string> listOf(const std::string &text)
{
    return absl::StrSplit(text, ',', absl::SkipEmpty());
}

bool parseBalancer(const std::string &text, FabricBalancer &out)
{
    const std::vector<std::string> parts = absl::StrSplit(text, '/');
    out.name = text;
    return parts.size() == 2 && parseEndpoint(parts[0], out.data) && parseEndpoint(parts[1], out.admin);
}

bool parseService(const std::string &text, FabricService &out)
{
    const std::vector<std::string> parts = absl::StrSplit(text, absl::ByAnyChar("/="));
    if (parts.size() != 3 || (parts[1] != "tcp" && parts[1] != "udp")) {
        return false;
    }
    out.name = parts[0];
    out.protocol = parts[1] == "udp" ? Protocol::Udp : Protocol::Tcp;
    return parseEndpoint(parts[2], out.address);
}

bool parseAgent(const std::string &text, AgentFront &out)
{
    const std::vector<std::string> parts = absl::StrSplit(text, absl::ByAnyChar("/@="));
    if (parts.size() != 4) {
        return false;
    }
    out = {.service = parts[0], .server = parts[1], .zone = parts[2]};
    return parseEndpoint(parts[3], out.requests);
}

// Parses one list flag; returns the item at fault or an empty text.
template<typename Item, typename Parse>
std::string parseList(const std::string &text, std::vector<Item> &out, Parse parse)
{
    for (const auto &word : listOf(text)) {
        Item item;
        if (!parse(word, item)) {
            return word;
        }
        out.push_back(std::move(item));
    }
    return {};
}

// The flag at fault, or an empty text.
std::string readFlags(DriveOptions &options)
{
    options.fabric.seed = absl::GetFlag(FLAGS_seed);
    options.fabric.flowsPerSecond = absl::GetFlag(FLAGS_flows_per_second);
    options.marks = absl::GetFlag(FLAGS_marks);
    options.time = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    if (!parseEndpoint(absl::GetFlag(FLAGS_listen), options.fabric.listen)) {
        return fmt::format("flag \"--listen\" does not allow \"{}\"", absl::GetFlag(FLAGS_listen));
    }
    if (const auto fault = parseList(absl::GetFlag(FLAGS_balancers), options.fabric.balancers, parseBalancer);
        !fault.empty()) {
        return fmt::format("flag \"--balancers\" does not allow \"{}\"", fault);
    }
    if (const auto fault = parseList(absl::GetFlag(FLAGS_services), options.fabric.services, parseService);
        !fault.empty()) {
        return fmt::format("flag \"--services\" does not allow \"{}\"", fault);
    }
    if (const auto fault = parseList(absl::GetFlag(FLAGS_agents), options.agents, parseAgent);
        !fault.empty()) {
        return fmt::format("flag \"--agents\" does not allow \"{}\"", fault);
    }
    return {};
}

// Tells the fabric of the zones that operators took out; keeps the number of lines that were read.
void readMarks(const std::string &file, Fabric &fabric, std::size_t &linesRead)
{
    std::ifstream in(file);
    std::string line;
    for (std::size_t number = 0; std::getline(in, line); ++number) {
        std::istringstream words(line);
        std::string word;
        std::string at;
        std::string kind;
        std::string name;
        words >> word >> at >> kind >> name;
        if (number < linesRead || name.empty()) {
            continue;
        }
        linesRead = number + 1;
        if (kind == "zone-out") {
            fabric.markZoneOut(name);
        }
    }
}

void writeFabric(ReportWriter &report, const FabricFigures &figures)
{
    report.figure("flows opened", figures.flowsOpened);
    report.figure("flows broken by planned change", figures.flowsBroken);
    report.figure("flows given up with zone", figures.flowsGivenUpWithZone);
    report.figure("flows refused", figures.flowsRefused);
    report.figure("flows unanswered", figures.flowsUnanswered);
    report.figure("packets to wrong service", figures.answersOfWrongService);
    report.figure("packets sent", figures.packetsSent);
    report.figure("packets repeated", figures.packetsRepeated);
}

// Callers of one service each, so that a request is only repeated at agents of its own service.
std::vector<std::unique_ptr<HttpCallers>> startCallers(const DriveOptions &options)
{
    std::vector<std::unique_ptr<HttpCallers>> callers;
    for (const auto &service : options.fabric.services) {
        HttpCallersOptions callersOptions{.concurrency = requestConcurrency,
                                          .requestsPerSecond = requestsPerSecond,
                                          .seed = options.fabric.seed ^ hashName(service.name)};
        for (const auto &agent : options.agents) {
            if (agent.service == service.name) {
                callersOptions.targets.push_back(agent.requests);
            }
        }
        if (callersOptions.targets.empty()) {
            continue;
        }
        callers.push_back(std::make_unique<HttpCallers>(callersOptions));
        callers.back()->start();
    }
    return callers;
}

void writeCallers(ReportWriter &report, const HttpCallersFigures &figures)
{
    report.figure("requests sent", figures.sent);
    report.figure("requests answered whole", figures.answeredWhole);
    report.figure("refused not run", figures.refusedNotRun);
    report.figure("outcome unknown", figures.outcomeUnknown);
    report.figure("lost", figures.lost);
    report.figure("requests repeated", figures.repetitions);
    report.figure("wrong answers", figures.wrongAnswers);
    report.figure("connections cut", figures.cut);
}

Result<int> drive(const DriveOptions &options)
{
    Fabric fabric(options.fabric);
    for (const auto &agent : options.agents) {
        fabric.setServerZone(agent.server, agent.zone);
    }
    BOOST_LEAF_CHECK(fabric.start());
    const auto callers = startCallers(options);
    const auto end = std::chrono::steady_clock::now() + options.time;
    std::size_t linesRead = 0;
    while (std::chrono::steady_clock::now() < end) {
        readMarks(options.marks, fabric, linesRead);
        std::this_thread::sleep_for(markPollTime);
    }
    for (const auto &caller : callers) {
        caller->stop();
    }
    fabric.finish(finishLimit);
    fabric.stop();
    const auto figures = fabric.figures();
    for (const auto &fault : figures.faults) {
        fmt::print(stderr, "{}\n", fault);
    }
    ReportWriter report(absl::GetFlag(FLAGS_report));
    writeFabric(report, figures);
    for (const auto &caller : callers) {
        writeCallers(report, caller->figures());
    }
    return exitOk;
}

int runDrive(Arguments arguments)
{
    if (!arguments.empty()) {
        return usageError(fmt::format("argument \"{}\" is not expected", arguments.front()));
    }
    initLogging(LogLevel::Warn);
    DriveOptions options;
    const auto fault = readFlags(options);
    if (!fault.empty()) {
        return usageError(fault);
    }
    return handleError([&] { return drive(options); },
                       [](const Error &error) { return usageError(error.text); });
}

} // namespace

Command driveCommand()
{
    return {.name = "drive",
            .usage = "",
            .summary = "Emulates callers and the fabric, then writes what they saw.",
            .flags = {"listen", "balancers", "services", "agents", "marks", "seconds", "flows_per_second",
                      "seed", "report"},
            .run = runDrive};
}

} // namespace oriolelever::lab
