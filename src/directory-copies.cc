#include <algorithm>

#include "directory-detail.h"

namespace oriolelever {

namespace detail {

namespace {

constexpr std::size_t copyLimit = 50; ///< Flows in one message.

// The next reachable agent in the order of ids.
ServerId nextAgent(const Directory &directory)
{
    const auto &servers = directory.route->servers;
    const auto self = std::find_if(servers.begin(), servers.end(), [&](const RouteServer &server) {
        return server.id == directory.options.self;
    });
    const auto first = static_cast<std::size_t>(self - servers.begin());
    for (std::size_t i = 1; i <= servers.size(); ++i) {
        const auto &server = servers[(first + i) % servers.size()];
        if (server.id != directory.options.self && server.reachable()) {
            return server.id;
        }
    }
    return {};
}

void beginFullCopy(Directory &directory, ServerId keeper, TimePoint now)
{
    auto &copy = directory.copy;
    copy.keeper = keeper;
    copy.completeAt = now;
    copy.sent.clear();
    copy.waiting.clear();
    for (const auto &[caller, entry] : directory.flows) {
        if (entry.holder == directory.options.self && !entry.closing) {
            copy.waiting.push_back({.caller = caller});
        }
    }
}

void sendBatch(Directory &directory, TimePoint now, Effects &effects)
{
    auto &copy = directory.copy;
    copy.sentAt = now;
    DirectoryMessage message{.kind = DirectoryMessageKind::Copy};
    message.copy.sequence = copy.sequence;
    for (const auto &item : copy.sent) {
        (item.ended ? message.copy.ended : message.copy.callers).push_back(item.caller);
    }
    sendMessage(directory, copy.keeper, std::move(message), effects);
}

} // namespace

void sendCopies(Directory &directory, TimePoint now, Effects &effects)
{
    auto &copy = directory.copy;
    const auto keeper = nextAgent(directory);
    if (!keeper) {
        copy.keeper = {};
        return;
    }
    if (keeper != copy.keeper || now - copy.completeAt > directory.options.copyInterval) {
        beginFullCopy(directory, keeper, now);
    }
    if (!copy.sent.empty()) {
        if (now - copy.sentAt >= directory.options.askRetry) {
            sendBatch(directory, now, effects);
        }
        return;
    }
    const bool due = copy.waiting.size() >= copyLimit || now - copy.sentAt >= directory.options.copyDelay;
    if (copy.waiting.empty() || !due) {
        return;
    }
    const auto count = std::min(copyLimit, copy.waiting.size());
    const auto end = copy.waiting.begin() + static_cast<std::ptrdiff_t>(count);
    copy.sent.assign(copy.waiting.begin(), end);
    copy.waiting.erase(copy.waiting.begin(), end);
    ++copy.sequence;
    sendBatch(directory, now, effects);
}

void takeCopy(Directory &directory, ServerId from, const CopyMessage &copy, TimePoint now, Effects &effects)
{
    if (!directory.route) {
        return;
    }
    if (copy.answer) {
        if (from == directory.copy.keeper && copy.sequence == directory.copy.sequence) {
            directory.copy.sent.clear();
            sendCopies(directory, now, effects);
        }
        return;
    }
    for (const auto &caller : copy.callers) {
        putFlow(directory, caller, from, true, now);
    }
    for (const auto &caller : copy.ended) {
        const auto known = directory.flows.find(caller);
        if (known != directory.flows.end() && known->second.holder == from) {
            eraseFlow(directory, caller);
        }
    }
    DirectoryMessage message{.kind = DirectoryMessageKind::Copy};
    message.copy.sequence = copy.sequence;
    message.copy.answer = true;
    sendMessage(directory, from, std::move(message), effects);
}

} // namespace detail

bool isCopied(const Directory &directory)
{
    return directory.copy.waiting.empty() && directory.copy.sent.empty();
}

} // namespace oriolelever
