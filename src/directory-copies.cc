#include <algorithm>

#include "directory-detail.h"

namespace oriolelever {

namespace detail {

namespace {

constexpr std::size_t replicaBatchFlows = 50; ///< Most flows in one message.

// Queues all local flows for `replicaPeer` in place of what was queued.
void startFullReplica(Directory &directory, ServerId replicaPeer, TimePoint now)
{
    auto &replication = directory.replication;
    replication.replicaPeer = replicaPeer;
    replication.replicaPeerIncarnation = directory.peers[replicaPeer].incarnation;
    replication.isFirstOfFull = true;
    ++replication.sequence;
    replication.fullReplicaStartedAt = now;
    replication.inFlight.clear();
    replication.isAwaitingAck = false;
    replication.queued.clear();
    for (const auto &[caller, entry] : directory.flows) {
        if (entry.holder == directory.options.self && !hasEnded(directory, entry)) {
            replication.queued.push_back({.caller = caller});
        }
    }
}

// Sends the batch in flight, for the first time or again.
void sendBatch(Directory &directory, TimePoint now, Effects &effects)
{
    auto &replication = directory.replication;
    replication.sentAt = now;
    DirectoryMessage message{.kind = DirectoryMessageKind::Replica};
    message.replica.sequence = replication.sequence;
    message.replica.isFirstOfFull = replication.isFirstOfFull;
    for (const auto &item : replication.inFlight) {
        (item.ended ? message.replica.endedCallers : message.replica.callers).push_back(item.caller);
    }
    sendMessage(directory, replication.replicaPeer, std::move(message), effects);
}

// Puts a peer's batch into the directory. Entries of owned buckets are also fed by packets and stay.
void storeReplica(Directory &directory, ServerId from, const ReplicaMessage &replica, TimePoint now)
{
    if (replica.isFirstOfFull) {
        std::erase_if(directory.flows, [&](const auto &item) {
            const auto &entry = item.second;
            return entry.isReplica && entry.holder == from && !ownsBucket(directory, entry.bucket);
        });
    }
    for (const auto &caller : replica.callers) {
        recordFlow(directory, caller, from, true, now);
        directory.flows[caller].isReplica = directory.flows[caller].holder == from;
    }
    for (const auto &caller : replica.endedCallers) {
        const auto known = directory.flows.find(caller);
        if (known == directory.flows.end() || known->second.holder != from) {
            continue;
        }
        if (ownsBucket(directory, known->second.bucket)) {
            known->second.isReplica = false; // This agent sees the flow's packets itself.
        } else {
            directory.flows.erase(known);
        }
    }
}

void acknowledgeReplica(Directory &directory, ServerId to, std::uint64_t sequence, Effects &effects)
{
    DirectoryMessage message{.kind = DirectoryMessageKind::Replica};
    message.replica.sequence = sequence;
    message.replica.isAck = true;
    sendMessage(directory, to, std::move(message), effects);
}

} // namespace

ServerId replicaPeerOf(const ServiceRoute &route, ServerId server)
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

void sendReplica(Directory &directory, TimePoint now, Effects &effects)
{
    auto &replication = directory.replication;
    const auto replicaPeer = replicaPeerOf(*directory.route, directory.options.self);
    if (!replicaPeer) {
        replication.replicaPeer = {};
        return;
    }
    const bool changed = replicaPeer != replication.replicaPeer
        || directory.peers[replicaPeer].incarnation != replication.replicaPeerIncarnation;
    if (changed || now - replication.fullReplicaStartedAt > directory.options.fullReplicaInterval) {
        startFullReplica(directory, replicaPeer, now);
    }
    if (replication.isAwaitingAck) {
        if (now - replication.sentAt >= directory.options.retryInterval) {
            sendBatch(directory, now, effects);
        }
        return;
    }
    const bool due = replication.queued.size() >= replicaBatchFlows
        || now - replication.sentAt >= directory.options.replicaDelay;
    if (!replication.isFirstOfFull && (replication.queued.empty() || !due)) {
        return;
    }
    const auto count = std::min(replicaBatchFlows, replication.queued.size());
    const auto end = replication.queued.begin() + static_cast<std::ptrdiff_t>(count);
    replication.inFlight.assign(replication.queued.begin(), end);
    replication.queued.erase(replication.queued.begin(), end);
    ++replication.sequence;
    replication.isAwaitingAck = true;
    sendBatch(directory, now, effects);
}

void handleReplica(Directory &directory, ServerId from, const ReplicaMessage &replica, TimePoint now,
                   Effects &effects)
{
    if (!directory.route) {
        return;
    }
    if (replica.isAck) {
        if (from == directory.replication.replicaPeer && replica.sequence == directory.replication.sequence) {
            directory.replication.inFlight.clear();
            directory.replication.isAwaitingAck = false;
            directory.replication.isFirstOfFull = false;
            sendReplica(directory, now, effects);
        }
        return;
    }
    auto &peer = directory.peers[from];
    if (replica.sequence > peer.replicaSequence) {
        peer.replicaSequence = replica.sequence;
        storeReplica(directory, from, replica, now);
    }
    acknowledgeReplica(directory, from, replica.sequence, effects);
}

} // namespace detail

void prepareForStop(Directory &directory)
{
    directory.options.replicaDelay = Duration{0};
}

bool isFullyReplicated(const Directory &directory)
{
    const auto &replication = directory.replication;
    return replication.queued.empty() && !replication.isAwaitingAck && !replication.isFirstOfFull;
}

} // namespace oriolelever
