#include <algorithm>

#include "directory-detail.h"

namespace oriolelever {

namespace detail {

namespace {

constexpr std::size_t copyLimit = 50; ///< Flows in one message.

void beginFullCopy(Directory &directory, ServerId keeper, TimePoint now)
{
    auto &copy = directory.copy;
    copy.keeper = keeper;
    copy.keeperIncarnation = directory.peers[keeper].incarnation;
    copy.first = true;
    ++copy.sequence;
    copy.completeAt = now;
    copy.sent.clear();
    copy.unanswered = false;
    copy.waiting.clear();
    for (const auto &[caller, entry] : directory.flows) {
        if (entry.holder == directory.options.self && !hasEnded(directory, entry)) {
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
    message.copy.first = copy.first;
    for (const auto &item : copy.sent) {
        (item.ended ? message.copy.ended : message.copy.callers).push_back(item.caller);
    }
    sendMessage(directory, copy.keeper, std::move(message), effects);
}

void keepCopies(Directory &directory, ServerId from, const CopyMessage &copy, TimePoint now)
{
    if (copy.first) {
        std::erase_if(directory.flows, [&](const auto &item) {
            const auto &entry = item.second;
            return entry.copied && entry.holder == from && !ownsBucket(directory, entry.bucket);
        });
    }
    for (const auto &caller : copy.callers) {
        putFlow(directory, caller, from, true, now);
        directory.flows[caller].copied = directory.flows[caller].holder == from;
    }
    for (const auto &caller : copy.ended) {
        const auto known = directory.flows.find(caller);
        if (known == directory.flows.end() || known->second.holder != from) {
            continue;
        }
        if (ownsBucket(directory, known->second.bucket)) {
            known->second.copied = false; // The directory sees the flow's packets itself.
        } else {
            directory.flows.erase(known);
        }
    }
}

void answerCopy(Directory &directory, ServerId to, std::uint64_t sequence, Effects &effects)
{
    DirectoryMessage message{.kind = DirectoryMessageKind::Copy};
    message.copy.sequence = sequence;
    message.copy.answer = true;
    sendMessage(directory, to, std::move(message), effects);
}

} // namespace

ServerId keeperOf(const ServiceRoute &route, ServerId server)
{
    const auto &servers = route.servers;
    const auto next = std::upper_bound(servers.begin(), servers.end(), server,
                                       [](ServerId id, const RouteServer &other) { return id < other.id; });
    const auto first = static_cast<std::size_t>(next - servers.begin());
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const auto &candidate = servers[(first + i) % servers.size()];
        if (candidate.id != server && candidate.reachable()) {
            return candidate.id;
        }
    }
    return {};
}

void sendCopies(Directory &directory, TimePoint now, Effects &effects)
{
    auto &copy = directory.copy;
    const auto keeper = keeperOf(*directory.route, directory.options.self);
    if (!keeper) {
        copy.keeper = {};
        return;
    }
    const bool changed
        = keeper != copy.keeper || directory.peers[keeper].incarnation != copy.keeperIncarnation;
    if (changed || now - copy.completeAt > directory.options.copyInterval) {
        beginFullCopy(directory, keeper, now);
    }
    if (copy.unanswered) {
        if (now - copy.sentAt >= directory.options.askRetry) {
            sendBatch(directory, now, effects);
        }
        return;
    }
    const bool due = copy.waiting.size() >= copyLimit || now - copy.sentAt >= directory.options.copyDelay;
    if (!copy.first && (copy.waiting.empty() || !due)) {
        return;
    }
    const auto count = std::min(copyLimit, copy.waiting.size());
    const auto end = copy.waiting.begin() + static_cast<std::ptrdiff_t>(count);
    copy.sent.assign(copy.waiting.begin(), end);
    copy.waiting.erase(copy.waiting.begin(), end);
    ++copy.sequence;
    copy.unanswered = true;
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
            directory.copy.unanswered = false;
            directory.copy.first = false;
            sendCopies(directory, now, effects);
        }
        return;
    }
    auto &peer = directory.peers[from];
    if (copy.sequence > peer.copySequence) {
        peer.copySequence = copy.sequence;
        keepCopies(directory, from, copy, now);
    }
    answerCopy(directory, from, copy.sequence, effects);
}

} // namespace detail

void prepareStop(Directory &directory)
{
    directory.options.copyDelay = Duration{0};
}

bool isCopied(const Directory &directory)
{
    const auto &copy = directory.copy;
    return copy.waiting.empty() && !copy.unanswered && !copy.first;
}

} // namespace oriolelever
