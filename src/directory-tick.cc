#include <algorithm>
#include <map>

#include "directory-detail.h"

namespace oriolelever {

namespace detail {

namespace {

constexpr Duration sweepInterval = std::chrono::seconds(1);
constexpr Duration indirectTime = std::chrono::minutes(25); ///< Life of copies and of entries granted away.
constexpr std::size_t goneLimit = 40; ///< Flows in one message.

void sendLoads(Directory &directory, TimePoint now, Effects &effects)
{
    if (!directory.route || now - directory.lastLoad < directory.options.loadInterval) {
        return;
    }
    directory.lastLoad = now;
    const auto &servers = directory.route->servers;
    const auto count = std::min(directory.options.loadFanout, servers.size());
    for (std::size_t i = 0; i < count; ++i) {
        const auto &server = servers[directory.loadCursor++ % servers.size()];
        if (server.id != directory.options.self) {
            sendLoad(directory, server.id, false, effects);
        }
    }
}

void sendGone(Directory &directory, Effects &effects)
{
    std::map<ServerId, std::vector<Endpoint>> byOwner;
    for (const auto &caller : directory.gone) {
        const auto *const owner = ownerOf(*directory.route, flowBucket(directory, caller));
        if (owner != nullptr) {
            byOwner[owner->id].push_back(caller);
        }
    }
    directory.gone.clear();
    for (const auto &[id, callers] : byOwner) {
        for (std::size_t begin = 0; begin < callers.size(); begin += goneLimit) {
            const auto end = std::min(callers.size(), begin + goneLimit);
            DirectoryMessage message{.kind = DirectoryMessageKind::Gone};
            message.gone.callers.assign(callers.begin() + static_cast<std::ptrdiff_t>(begin),
                                        callers.begin() + static_cast<std::ptrdiff_t>(end));
            sendMessage(directory, id, std::move(message), effects);
        }
    }
}

Duration lifeOf(const Directory &directory, const FlowEntry &entry)
{
    const auto &options = directory.options;
    if (entry.closing) {
        return options.closeTime;
    }
    if (entry.holder != options.self && !entry.certain && !ownsBucket(directory, entry.bucket)) {
        return indirectTime;
    }
    return options.idleTime;
}

// UDP has no last packet: a quiet flow counts as closing until its next packet.
bool turnsQuiet(const Directory &directory, const FlowEntry &entry, TimePoint now)
{
    const bool udp = directory.route->protocol == Protocol::Udp;
    return udp && !entry.closing && now - entry.lastSeen >= directory.options.udpQuietTime;
}

// The keeper of copies still holds a quiet flow: it may go on after a restart of this agent.
void endFlow(Directory &directory, const Endpoint &caller, const FlowEntry &entry)
{
    uncountFlow(directory, entry);
    if (entry.holder == directory.options.self && !hasEnded(directory, entry)) {
        directory.copy.waiting.push_back({.caller = caller, .ended = true});
    }
}

void freeSilent(Directory &directory, TimePoint now)
{
    if (!directory.route || now - directory.lastSweep < sweepInterval) {
        return;
    }
    directory.lastSweep = now;
    for (auto item = directory.flows.begin(); item != directory.flows.end();) {
        const auto current = item++;
        if (turnsQuiet(directory, current->second, now)) {
            uncountFlow(directory, current->second);
            current->second.closing = true;
        }
        if (now - current->second.lastSeen < lifeOf(directory, current->second)) {
            continue;
        }
        endFlow(directory, current->first, current->second);
        directory.flows.erase(current);
    }
}

} // namespace

} // namespace detail

void onTick(Directory &directory, TimePoint now, Effects &effects)
{
    effects.clear();
    detail::checkLease(directory, now);
    directory.lastTick = now;
    if (!directory.route) {
        detail::releaseHeld(directory, now, effects);
        return;
    }
    growWarmth(directory.warmth, directory.route->rampTime, now);
    for (auto &[id, peer] : directory.peers) {
        detail::sendAsk(directory, id, peer, now, effects);
    }
    detail::sendLoads(directory, now, effects);
    detail::sendGone(directory, effects);
    detail::sendCopies(directory, now, effects);
    detail::freeSilent(directory, now);
    detail::releaseHeld(directory, now, effects);
}

} // namespace oriolelever
