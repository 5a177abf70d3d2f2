#include "oriolelever/explain.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "oriolelever/codes.h"

namespace oriolelever {

namespace {

constexpr std::int64_t contextMilliseconds = 3000; ///< State changes this long around the story belong to it.

std::string text(const nlohmann::json &fields, const char *name)
{
    const auto found = fields.find(name);
    if (found == fields.end()) {
        return {};
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

bool concerns(const LogEvent &event, const ExplainSubject &subject)
{
    if (!subject.request.empty()) {
        return text(event.fields, "request") == subject.request;
    }
    return text(event.fields, "flow").starts_with(subject.flow + ">");
}

bool isContext(const LogEvent &event)
{
    static const std::set<std::string, std::less<>> names{"server_state",
                                                          "server_heartbeat",
                                                          "server_left",
                                                          "server_suspect",
                                                          "server_probed",
                                                          "flows_reset",
                                                          "started",
                                                          "stopped",
                                                          "draining",
                                                          "store_lost",
                                                          "store_regained",
                                                          "evacuations_in_force",
                                                          "configuration_in_force",
                                                          "suppressed"};
    return names.contains(event.event);
}

std::string codeText(Code code)
{
    return fmt::format("{} {}", static_cast<int>(code), toString(code));
}

// Servers by address, and processes by name, that the events of the story mention.
struct Mentioned
{
    std::set<std::string> servers;
    std::set<std::string> nodes;
};

Mentioned mentionedBy(const std::vector<LogEvent> &events)
{
    Mentioned mentioned;
    for (const auto &event : events) {
        mentioned.nodes.insert(event.node);
        const auto server = text(event.fields, "server");
        if (!server.empty()) {
            mentioned.servers.insert(server);
        }
    }
    return mentioned;
}

bool belongs(const LogEvent &event, const Mentioned &mentioned)
{
    if (event.event == "server_state") {
        return mentioned.nodes.contains(event.node)
            && mentioned.servers.contains(text(event.fields, "server"));
    }
    return mentioned.nodes.contains(event.node);
}

std::string resetCause(const LogEvent &event)
{
    const auto cause = text(event.fields, "cause");
    if (cause == "no_server") {
        return fmt::format("{} refused the flow: no server of the service took it (configuration {})",
                           event.node, text(event.fields, "version"));
    }
    if (cause == "no_route") {
        return fmt::format("{} refused the flow: configuration {} has no such address", event.node,
                           text(event.fields, "version"));
    }
    if (cause == "not_held") {
        return fmt::format("{} reset the flow: no server holds it, its server has left or started anew",
                           event.node);
    }
    return fmt::format("{} reset the flow: {}", event.node, cause);
}

// What the state of the flow's server comes to; a server that is ready again is no cause.
void concludeState(Story &story, const LogEvent &event)
{
    const auto state = text(event.fields, "state");
    if (state == "ready") {
        story.outcome = "open";
        story.cause = "nothing in the logs ended it";
        return;
    }
    story.outcome = codeText(Code::OutcomeUnknown);
    story.cause
        = fmt::format("{} learned that server {} is {}", event.node, text(event.fields, "server"), state);
}

void concludeFlow(Story &story)
{
    story.outcome = "open";
    story.cause = "nothing in the logs ended it";
    bool ended = false;
    for (const auto &event : story.events) {
        if (event.event == "flow_reset") {
            const bool opening = text(event.fields, "opening") == "true";
            story.outcome = codeText(opening ? Code::RefusedNotRun : Code::OutcomeUnknown);
            story.cause = resetCause(event);
            ended = true;
        } else if (event.event == "flows_reset") {
            story.outcome = codeText(Code::OutcomeUnknown);
            story.cause = fmt::format("{} reset the flows of its server: {}", event.node,
                                      text(event.fields, "cause"));
            ended = true;
        } else if (event.event == "packet_dropped" && !ended) {
            story.outcome = codeText(Code::OutcomeUnknown);
            story.cause = fmt::format("{} dropped a packet: {}", event.node, text(event.fields, "cause"));
        } else if (event.event == "search_undecided" && !ended) {
            story.outcome = codeText(Code::OutcomeUnknown);
            story.cause
                = fmt::format("{} could not tell which server has the flow: {} agents gave nothing back, "
                              "{} were away",
                              event.node, text(event.fields, "mute"), text(event.fields, "away"));
        } else if (event.event == "server_state" && !ended) {
            concludeState(story, event);
        } else if (event.event == "server_suspect" && !ended) {
            story.cause = fmt::format("the server of {} answered nothing for a while", event.node);
        }
    }
}

} // namespace

void readLog(std::istream &stream, LogReading &reading)
{
    for (std::string line; std::getline(stream, line);) {
        const auto brace = line.find('{');
        if (brace == std::string::npos) {
            reading.unreadable += line.empty() ? 0 : 1;
            continue;
        }
        auto fields = nlohmann::json::parse(line.begin() + static_cast<std::ptrdiff_t>(brace), line.end(),
                                            nullptr, false);
        const bool whole = fields.is_object() && fields.contains("at") && fields["at"].is_number_integer()
            && fields.contains("node") && fields["node"].is_string() && fields.contains("event")
            && fields["event"].is_string();
        if (!whole) {
            ++reading.unreadable;
            continue;
        }
        LogEvent event{.at = fields["at"].get<std::int64_t>(),
                       .node = fields["node"].get<std::string>(),
                       .event = fields["event"].get<std::string>()};
        if (fields.contains("lifetime") && fields["lifetime"].is_number_unsigned()) {
            event.lifetime = fields["lifetime"].get<std::uint64_t>();
        }
        event.fields = std::move(fields);
        reading.events.push_back(std::move(event));
    }
}

Story explain(const LogReading &reading, const ExplainSubject &subject)
{
    Story story;
    for (const auto &event : reading.events) {
        if (concerns(event, subject)) {
            story.events.push_back(event);
        }
    }
    if (story.events.empty()) {
        story.outcome = "unknown";
        story.cause = "no line of the logs names it";
        return story;
    }
    const auto mentioned = mentionedBy(story.events);
    const auto byTime = [](const LogEvent &a, const LogEvent &b) {
        return a.at < b.at;
    };
    const auto [first, last] = std::minmax_element(story.events.begin(), story.events.end(), byTime);
    const auto from = first->at - contextMilliseconds;
    const auto until = last->at + contextMilliseconds;
    for (const auto &event : reading.events) {
        if (isContext(event) && event.at >= from && event.at <= until && belongs(event, mentioned)) {
            story.events.push_back(event);
        }
    }
    std::stable_sort(story.events.begin(), story.events.end(), byTime);
    concludeFlow(story);
    return story;
}

} // namespace oriolelever
