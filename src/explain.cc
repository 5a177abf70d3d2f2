#include "oriolelever/explain.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "oriolelever/codes.h"
#include "oriolelever/json-parts.h"

namespace oriolelever {

namespace {

constexpr std::int64_t contextWindowMs
    = 3000; ///< Before the first and after the last event, for related state changes.

// The field as text, empty if it is missing.
std::string fieldText(const nlohmann::json &fields, const char *name)
{
    const auto found = fields.find(name);
    if (found == fields.end()) {
        return {};
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

bool matchesSubject(const LogEvent &event, const ExplainSubject &subject)
{
    if (!subject.request.empty()) {
        return fieldText(event.fields, "request") == subject.request;
    }
    return fieldText(event.fields, "flow").starts_with(subject.flow + ">");
}

// True for state changes of servers and processes, which name no flow.
bool isContextEvent(const LogEvent &event)
{
    static const std::set<std::string, std::less<>> names{"server_state",
                                                          "server_heartbeat",
                                                          "server_left",
                                                          "server_suspect",
                                                          "server_probed",
                                                          "server_failing",
                                                          "server_unreliable",
                                                          "capacity_learned",
                                                          "flows_reset",
                                                          "flows_restored",
                                                          "started",
                                                          "stopped",
                                                          "draining",
                                                          "store_lost",
                                                          "store_call_failed",
                                                          "store_era_changed",
                                                          "store_era_listed",
                                                          "configuration_held",
                                                          "era_hold_ended",
                                                          "configuration_read",
                                                          "store_regained",
                                                          "evacuations_in_force",
                                                          "zone_share_changed",
                                                          "balancer_isolated",
                                                          "configuration_in_force",
                                                          "suppressed"};
    return names.contains(event.event);
}

std::string formatCode(Code code)
{
    return fmt::format("{} {}", static_cast<int>(code), toString(code));
}

// Servers by address and processes by name.
struct Participants
{
    std::set<std::string> servers;
    std::set<std::string> nodes;
};

Participants participantsOf(const std::vector<LogEvent> &events)
{
    Participants participants;
    for (const auto &event : events) {
        participants.nodes.insert(event.node);
        const auto server = fieldText(event.fields, "server");
        if (!server.empty()) {
            participants.servers.insert(server);
        }
    }
    return participants;
}

// A change of a server's state counts only if the events name both its server and the process that saw it.
bool involvesParticipant(const LogEvent &event, const Participants &participants)
{
    if (event.event == "server_state") {
        return participants.nodes.contains(event.node)
            && participants.servers.contains(fieldText(event.fields, "server"));
    }
    return participants.nodes.contains(event.node);
}

std::string describeReset(const LogEvent &event)
{
    const auto cause = fieldText(event.fields, "cause");
    if (cause == "no_server") {
        return fmt::format("{} refused the flow: no server of the service accepted it (configuration {})",
                           event.node, fieldText(event.fields, "version"));
    }
    if (cause == "overloaded") {
        return fmt::format("{} refused the flow: no server of the service could start its request within the "
                           "time that the caller had left (configuration {})",
                           event.node, fieldText(event.fields, "version"));
    }
    if (cause == "no_route") {
        return fmt::format("{} refused the flow: configuration {} has no route for its address", event.node,
                           fieldText(event.fields, "version"));
    }
    if (cause == "not_held") {
        return fmt::format("{} reset the flow: no server holds it, its server has left or restarted",
                           event.node);
    }
    if (cause == "holder_lost") {
        return fmt::format("{} reset the flow: its server {} has left or its host is lost", event.node,
                           fieldText(event.fields, "server"));
    }
    return fmt::format("{} reset the flow: {}", event.node, cause);
}

// Derives the outcome from a state change of the flow's server; a server that is ready again is not a cause.
void explainServerState(Explanation &explanation, const LogEvent &event)
{
    const auto state = fieldText(event.fields, "state");
    if (state == "ready") {
        explanation.outcome = "open";
        explanation.cause = "no event in the logs ended it";
        return;
    }
    explanation.outcome = formatCode(Code::OutcomeUnknown);
    explanation.cause = fmt::format("{} learned that server {} is {}", event.node,
                                    fieldText(event.fields, "server"), state);
}

// Derives the outcome from the events in order. A reset takes precedence over all other events.
void explainFlowEnd(Explanation &explanation)
{
    explanation.outcome = "open";
    explanation.cause = "no event in the logs ended it";
    bool ended = false;
    for (const auto &event : explanation.events) {
        if (event.event == "flow_reset") {
            const bool opening = fieldText(event.fields, "opening") == "true";
            explanation.outcome = formatCode(opening ? Code::RefusedNotRun : Code::OutcomeUnknown);
            explanation.cause = describeReset(event);
            ended = true;
        } else if (event.event == "flows_reset") {
            explanation.outcome = formatCode(Code::OutcomeUnknown);
            explanation.cause = fmt::format("{} reset the flows of its server: {}", event.node,
                                            fieldText(event.fields, "cause"));
            ended = true;
        } else if (event.event == "packet_dropped" && !ended) {
            explanation.outcome = formatCode(Code::OutcomeUnknown);
            explanation.cause
                = fmt::format("{} dropped a packet: {}", event.node, fieldText(event.fields, "cause"));
        } else if (event.event == "search_undecided" && !ended) {
            explanation.outcome = formatCode(Code::OutcomeUnknown);
            explanation.cause
                = fmt::format("{} could not determine which server holds the flow: {} agents did not answer, "
                              "{} were unreachable",
                              event.node, fieldText(event.fields, "mute"), fieldText(event.fields, "away"));
        } else if (event.event == "server_state" && !ended) {
            explainServerState(explanation, event);
        } else if (event.event == "flow_queued" && !ended) {
            explanation.outcome = formatCode(Code::OutcomeUnknown);
            explanation.cause = fmt::format(
                "the opening packet waited at {}: its server was busy with {} requests, {} openings "
                "waited",
                event.node, fieldText(event.fields, "waiting"), fieldText(event.fields, "queued"));
        } else if (event.event == "opening_refused" && !ended) {
            explanation.outcome = formatCode(Code::RefusedNotRun);
            explanation.cause = fieldText(event.fields, "cause") == "queue_full"
                ? fmt::format("{} returned the opening packet: {} others waited before it", event.node,
                              fieldText(event.fields, "queued"))
                : fmt::format("{} returned the opening packet: the wait of {} ms that it expected at its "
                              "server exceeded the {} ms that the caller had left",
                              event.node, fieldText(event.fields, "expected_wait_ms"),
                              fieldText(event.fields, "remaining_ms"));
        } else if (event.event == "request_held" && !ended) {
            explanation.outcome = formatCode(Code::OutcomeUnknown);
            explanation.cause
                = fmt::format("a request of priority {} waited at {}: its server had {} requests, {} others "
                              "waited",
                              fieldText(event.fields, "priority"), event.node,
                              fieldText(event.fields, "waiting"), fieldText(event.fields, "held"));
        } else if (event.event == "request_released" && !ended) {
            explanation.outcome = "open";
            explanation.cause = fmt::format("a request waited at {} for {} ms, then went to its server",
                                            event.node, fieldText(event.fields, "held_ms"));
        } else if (event.event == "request_dropped" && !ended) {
            explanation.outcome = formatCode(Code::RefusedNotRun);
            explanation.cause = fmt::format("{} dropped a waiting request, as its flow had ended: {}",
                                            event.node, fieldText(event.fields, "cause"));
        } else if (event.event == "flow_delivered" && !ended) {
            explanation.outcome = "open";
            explanation.cause = "no event in the logs ended it";
        } else if (event.event == "server_failing" && fieldText(event.fields, "failing") == "true"
                   && !ended) {
            explanation.outcome = formatCode(Code::OutcomeUnknown);
            explanation.cause = fmt::format("the server of {} reset {} requests in a row", event.node,
                                            fieldText(event.fields, "resets"));
        } else if (event.event == "server_suspect" && !ended) {
            explanation.cause = fmt::format("the server of {} did not answer within its timeout", event.node);
        }
    }
}

} // namespace

void parseLog(std::istream &stream, ParsedLogs &logs)
{
    for (std::string line; std::getline(stream, line);) {
        const auto brace = line.find('{');
        if (brace == std::string::npos) {
            logs.malformedLines += line.empty() ? 0 : 1;
            continue;
        }
        auto fields = decodeJson(std::string_view(line).substr(brace));
        const bool isEvent = fields.is_object() && fields.contains("at") && fields["at"].is_number_integer()
            && fields.contains("node") && fields["node"].is_string() && fields.contains("event")
            && fields["event"].is_string();
        if (!isEvent) {
            ++logs.malformedLines;
            continue;
        }
        LogEvent event{.timeMs = fields["at"].get<std::int64_t>(),
                       .node = fields["node"].get<std::string>(),
                       .event = fields["event"].get<std::string>()};
        if (fields.contains("lifetime") && fields["lifetime"].is_number_unsigned()) {
            event.lifetime = fields["lifetime"].get<std::uint64_t>();
        }
        event.fields = std::move(fields);
        logs.events.push_back(std::move(event));
    }
}

Explanation explain(const ParsedLogs &logs, const ExplainSubject &subject)
{
    Explanation explanation;
    for (const auto &event : logs.events) {
        if (matchesSubject(event, subject)) {
            explanation.events.push_back(event);
        }
    }
    if (explanation.events.empty()) {
        explanation.outcome = "unknown";
        explanation.cause = "no line of the logs mentions it";
        return explanation;
    }
    const auto participants = participantsOf(explanation.events);
    const auto byTime = [](const LogEvent &a, const LogEvent &b) {
        return a.timeMs < b.timeMs;
    };
    const auto [first, last]
        = std::minmax_element(explanation.events.begin(), explanation.events.end(), byTime);
    const auto from = first->timeMs - contextWindowMs;
    const auto until = last->timeMs + contextWindowMs;
    for (const auto &event : logs.events) {
        if (isContextEvent(event) && event.timeMs >= from && event.timeMs <= until
            && involvesParticipant(event, participants)) {
            explanation.events.push_back(event);
        }
    }
    std::stable_sort(explanation.events.begin(), explanation.events.end(), byTime);
    explainFlowEnd(explanation);
    return explanation;
}

} // namespace oriolelever
