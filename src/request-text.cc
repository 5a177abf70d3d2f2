#include "request-state.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace oriolelever::detail {

namespace {

// False for headers that concern one connection only or that the agent sets itself.
bool isForwarded(const std::string &name)
{
    static const std::vector<std::string> excluded{"Connection",
                                                   "Keep-Alive",
                                                   "Proxy-Connection",
                                                   "TE",
                                                   "Trailer",
                                                   "Transfer-Encoding",
                                                   "Upgrade",
                                                   "Host",
                                                   "Content-Length",
                                                   "Expect",
                                                   "Oriolelever-Request-Id",
                                                   "Oriolelever-Deadline-Ms",
                                                   "Oriolelever-Outcome",
                                                   "Oriolelever-Code",
                                                   "Oriolelever-Reason",
                                                   "Oriolelever-Not-Run"};
    return std::none_of(excluded.begin(), excluded.end(), [&](const auto &header) {
        return findHeader({{name, {}}}, header) != nullptr;
    });
}

std::uint16_t httpStatusOf(const Finish &end)
{
    if (end.reason == Reason::Invalid) {
        return 400;
    }
    if (end.outcome == Code::RefusedNotRun) {
        return end.reason == Reason::CallerLimit ? 429 : 503;
    }
    return end.reason == Reason::AnswerBroken ? 502 : 504;
}

} // namespace

bool isIdempotent(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "PUT"
        || method == "DELETE";
}

bool isKnownMethod(const std::string &method)
{
    return isIdempotent(method) || method == "POST" || method == "PATCH";
}

HeaderList forwardedHeaders(const HeaderList &headers)
{
    HeaderList kept;
    for (const auto &header : headers) {
        if (isForwarded(header.first)) {
            kept.push_back(header);
        }
    }
    return kept;
}

HeaderList outcomeHeaders(Code outcome, Reason reason)
{
    return {{"Oriolelever-Outcome", std::string(toString(outcome))},
            {"Oriolelever-Code", fmt::format("{}", static_cast<int>(outcome))},
            {"Oriolelever-Reason", std::string(toString(reason))}};
}

CallerAnswer answerFor(const Finish &end)
{
    CallerAnswer answer;
    answer.status = httpStatusOf(end);
    answer.headers = outcomeHeaders(end.outcome, end.reason);
    if (end.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(end.retryAfter).count();
        answer.headers.emplace_back("Retry-After", fmt::format("{}", seconds));
        answer.headers.emplace_back("Oriolelever-Retry-After-Ms", fmt::format("{}", end.retryAfter.count()));
    }
    answer.headers.emplace_back("Content-Type", "application/json");
    answer.body = nlohmann::json{{"outcome", toString(end.outcome)},
                                 {"code", static_cast<int>(end.outcome)},
                                 {"reason", toString(end.reason)},
                                 {"retryAfterMs", end.retryAfter.count()}}
                      .dump()
        + "\n";
    return answer;
}

} // namespace oriolelever::detail
