#include "oriolelever/commands.h"

#include <fstream>

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include "oriolelever/explain.h"

ABSL_FLAG(std::string, id, "", "id of the request to explain");
ABSL_FLAG(std::string, flow, "", "ADDRESS:PORT of the caller whose flow is to be explained");

namespace oriolelever {

namespace {

// Prints the time since `start`, in milliseconds since 1970, and the fields that are not in every event.
void printEvent(const LogEvent &event, std::int64_t start)
{
    std::string fields;
    for (const auto &[name, value] : event.fields.items()) {
        if (name == "at" || name == "node" || name == "event" || name == "lifetime" || name == "steady_us") {
            continue;
        }
        fields += fmt::format(" {}={}", name, value.is_string() ? value.get<std::string>() : value.dump());
    }
    fmt::print("{:>8} ms  {}  {}{}\n", event.timeMs - start, event.node, event.event, fields);
}

int runExplain(Arguments files)
{
    const ExplainSubject subject{.flow = absl::GetFlag(FLAGS_flow), .request = absl::GetFlag(FLAGS_id)};
    if (subject.flow.empty() == subject.request.empty()) {
        return usageError("explain needs either --id or --flow");
    }
    if (files.empty()) {
        return usageError("explain needs at least one LOG");
    }
    ParsedLogs reading;
    for (const auto &file : files) {
        std::ifstream stream(file);
        if (!stream) {
            return usageError(fmt::format("log \"{}\" cannot be read", file));
        }
        parseLog(stream, reading);
    }
    const auto explanation = explain(reading, subject);
    for (const auto &event : explanation.events) {
        printEvent(event, explanation.events.front().timeMs);
    }
    fmt::print("events: {}\nunreadable lines: {}\noutcome: {}\ncause: {}\n", explanation.events.size(),
               reading.malformedLines, explanation.outcome, explanation.cause);
    return explanation.events.empty() ? exitOutcomeMissed : exitOk;
}

} // namespace

Command explainCommand()
{
    return {.name = "explain",
            .usage = "(--id ID | --flow ADDRESS:PORT) LOG...",
            .summary = "Explains the course of one request or flow from the logs of several processes.",
            .flags = {"id", "flow"},
            .run = runExplain};
}

} // namespace oriolelever
