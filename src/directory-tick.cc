#include <algorithm>
#include <map>

#include "directory-detail.h"

namespace oriolelever {

namespace detail {

namespace {

constexpr Duration expiryInterval = std::chrono::seconds(1); ///< Between searches for expired flows.
/// Timeout of replicas and of entries of buckets that were granted to a peer.
constexpr Duration unconfirmedTimeout = std::chrono::minutes(25);
constexpr std::size_t closedFlowsPerMessage = 40;

// Sends load messages to the next servers of the roster, in turn, once per `loadInterval`.
void sendLoads(Directory &directory, TimePoint now, Effects &effects)
{
    if (!directory.route || now - directory.loadSentAt < directory.options.loadInterval) {
        return;
    }
    directory.loadSentAt = now;
    const auto &servers = directory.route->servers;
    const auto count = std::min(directory.options.loadFanout, servers.size());
    for (std::size_t i = 0; i < count; ++i) {
        const auto &server = servers[directory.loadCursor++ % servers.size()];
        if (server.id != directory.options.self) {
            sendLoad(directory, server.id, false, effects);
        }
    }
}

// Notifies the owners of their flows that have closed at the local server.
void sendClosedFlows(Directory &directory, Effects &effects)
{
    std::map<ServerId, std::vector<Endpoint>> byOwner;
    for (const auto &caller : directory.closedPeerFlows) {
        const auto *const owner = ownerOf(*directory.route, bucketOfCaller(directory, caller));
        if (owner != nullptr) {
            byOwner[owner->id].push_back(caller);
        }
    }
    directory.closedPeerFlows.clear();
    for (const auto &[id, callers] : byOwner) {
        for (std::size_t begin = 0; begin < callers.size(); begin += closedFlowsPerMessage) {
            const auto end = std::min(callers.size(), begin + closedFlowsPerMessage);
            DirectoryMessage message{.kind = DirectoryMessageKind::ClosedFlows};
            message.closedFlows.callers.assign(callers.begin() + static_cast<std::ptrdiff_t>(begin),
                                               callers.begin() + static_cast<std::ptrdiff_t>(end));
            sendMessage(directory, id, std::move(message), effects);
        }
    }
}

// How long a flow stays in the directory without packets.
Duration timeoutOf(const Directory &directory, const FlowEntry &entry)
{
    const auto &options = directory.options;
    if (entry.closing) {
        return options.closingTimeout;
    }
    if (entry.holder != options.self && !entry.confirmed && !ownsBucket(directory, entry.bucket)) {
        return unconfirmedTimeout;
    }
    return options.idleTimeout;
}

// UDP has no closing packet: a flow without recent packets counts as closing until its next packet.
bool becomesIdle(const Directory &directory, const FlowEntry &entry, TimePoint now)
{
    const bool udp = directory.route->protocol == Protocol::Udp;
    return udp && !entry.closing && now - entry.lastSeen >= directory.options.udpIdleTimeout;
}

// Records that an expired flow is removed. The end of a closed TCP flow is queued already. The replica peer
// still has an idle UDP flow, which might have gone on after a restart of this agent, so its end is queued
// here.
void recordFlowEnd(Directory &directory, const Endpoint &caller, const FlowEntry &entry)
{
    uncountLocalFlow(directory, entry);
    if (entry.holder == directory.options.self && !hasEnded(directory, entry)) {
        directory.replication.queued.push_back({.caller = caller, .ended = true});
    }
}

// Marks idle UDP flows as closing and removes the flows past their timeout.
void expireFlows(Directory &directory, TimePoint now)
{
    if (!directory.route || now - directory.lastExpiryAt < expiryInterval) {
        return;
    }
    directory.lastExpiryAt = now;
    for (auto item = directory.flows.begin(); item != directory.flows.end();) {
        const auto current = item++;
        if (becomesIdle(directory, current->second, now)) {
            uncountLocalFlow(directory, current->second);
            current->second.closing = true;
        }
        if (now - current->second.lastSeen < timeoutOf(directory, current->second)) {
            continue;
        }
        recordFlowEnd(directory, current->first, current->second);
        directory.flows.erase(current);
    }
}

} // namespace

} // namespace detail

void handleDirectoryTick(Directory &directory, TimePoint now, Effects &effects)
{
    effects.clear();
    detail::checkLease(directory, now);
    directory.lastTickAt = now;
    if (!directory.route) {
        detail::releaseHeldPackets(directory, now, effects);
        return;
    }
    advanceSlowStart(directory.slowStart, directory.route->rampTime, now);
    for (auto &[id, peer] : directory.peers) {
        detail::sendGrantRequest(directory, id, peer, now, effects);
    }
    detail::sendLoads(directory, now, effects);
    detail::sendClosedFlows(directory, effects);
    detail::sendReplica(directory, now, effects);
    detail::expireFlows(directory, now);
    detail::releaseHeldPackets(directory, now, effects);
}

} // namespace oriolelever
