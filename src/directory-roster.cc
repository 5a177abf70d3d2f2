#include <algorithm>
#include <set>

#include "directory-detail.h"

namespace oriolelever {

namespace detail {

namespace {

ServerId ownerId(const ServiceRoute &route, BucketIndex bucket)
{
    const auto *const owner = ownerOf(route, bucket);
    return owner != nullptr ? owner->id : ServerId{};
}

// Adapts to another number of buckets. A bucket number has another meaning now, so all grants are void.
void resizeBuckets(Directory &directory)
{
    const auto count = directory.route->owners.size();
    directory.missingGrants.assign(count, 0);
    directory.formerOwner.assign(count, ServerId{});
    directory.verifiedAt.assign(count, TimePoint{});
    for (auto &[caller, entry] : directory.flows) {
        entry.bucket = bucketOfCaller(directory, caller);
    }
    for (auto &[id, peer] : directory.peers) {
        peer.granted.assign(count, false);
        peer.pendingGrants.clear();
    }
}

// Records the former owners of buckets with a new owner, and discards what is known of gained buckets from
// other agents. Returns the new owners of buckets that this agent owned before.
std::set<ServerId> recordOwnerChanges(Directory &directory, const ServiceRoute &before)
{
    std::set<ServerId> newOwners;
    const auto &route = *directory.route;
    std::vector<bool> gained(route.owners.size(), false);
    for (std::size_t i = 0; i < route.owners.size(); ++i) {
        const auto bucket = static_cast<BucketIndex>(i);
        const auto former = ownerId(before, bucket);
        const auto owner = ownerId(route, bucket);
        if (former == owner) {
            continue;
        }
        directory.formerOwner[bucket] = former;
        if (owner == directory.options.self) {
            resetGrants(directory, bucket);
            gained[bucket] = true;
        }
        if (former == directory.options.self && owner) {
            newOwners.insert(owner);
        }
    }
    // The replies to the grant requests report these flows anew.
    std::erase_if(directory.flows, [&](const auto &item) {
        const auto &entry = item.second;
        return gained[entry.bucket] && !entry.confirmed && !entry.isReplica
            && entry.holder != directory.options.self;
    });
    return newOwners;
}

// Resets what belongs to the peer's earlier incarnation.
void updateIncarnation(PeerState &peer, Incarnation incarnation)
{
    if (incarnation <= peer.incarnation) {
        return;
    }
    peer.incarnation = incarnation;
    peer.receivedSequence = 0;
    peer.receivedGeneration = 0;
    peer.replicaSequence = 0;
    peer.hasLoad = false;
}

// Records the loss of a peer; one that is unreachable already can still go down.
void markUnreachable(PeerState &peer, bool isDown, TimePoint now)
{
    if (!peer.reachable && (!isDown || peer.isDown)) {
        return;
    }
    peer.reachable = false;
    peer.pendingGrants.clear();
    ++peer.generation;
    peer.isDown = isDown;
    peer.unreachableAt = now;
    peer.hasLoad = false;
}

// Records that a peer is reachable again, without grants, and sends it the load of the local server.
void markReachable(Directory &directory, ServerId id, PeerState &peer, Effects &effects)
{
    if (peer.reachable) {
        return;
    }
    peer.reachable = true;
    peer.isDown = false;
    peer.granted.assign(directory.route->owners.size(), false);
    peer.flowsPlacedSinceLoad = 0;
    sendLoad(directory, id, false, effects);
}

// Records for which peers this agent has kept the replica until now.
void recordReplicaDuty(Directory &directory, const ServiceRoute &before, TimePoint now)
{
    const auto self = directory.options.self;
    for (auto &[id, peer] : directory.peers) {
        if (replicaPeerOf(before, id) == self && replicaPeerOf(*directory.route, id) != self) {
            peer.replicaDutyEndedAt = now;
        }
    }
}

// Brings the state of all peers in line with the new roster.
void updatePeers(Directory &directory, TimePoint now, Effects &effects)
{
    const auto &route = *directory.route;
    for (auto &[id, peer] : directory.peers) {
        if (findServer(route, id) == nullptr) {
            markUnreachable(peer, false, now);
        }
    }
    for (const auto &server : route.servers) {
        if (server.id == directory.options.self) {
            continue;
        }
        auto &peer = directory.peers[server.id];
        if (peer.granted.empty()) {
            peer.granted.assign(route.owners.size(), false);
        }
        updateIncarnation(peer, server.incarnation);
        if (server.reachable()) {
            markReachable(directory, server.id, peer, effects);
        } else {
            markUnreachable(peer, server.state == NodeState::Down, now);
        }
    }
}

void recountMissingGrants(Directory &directory)
{
    std::fill(directory.missingGrants.begin(), directory.missingGrants.end(), 0);
    for (const auto &[id, peer] : directory.peers) {
        if (!peer.reachable) {
            continue;
        }
        for (std::size_t bucket = 0; bucket < peer.granted.size(); ++bucket) {
            directory.missingGrants[bucket] += peer.granted[bucket] ? 0 : 1;
        }
    }
}

// Queues requests for every bucket to all peers, so that a restarted agent recovers the flows of its server.
// Not done in services with more than `smallBucketCount` buckets.
void queueAllBuckets(Directory &directory)
{
    if (directory.missingGrants.size() > smallBucketCount) {
        return;
    }
    for (auto &[id, peer] : directory.peers) {
        for (std::size_t bucket = 0; peer.reachable && bucket < directory.missingGrants.size(); ++bucket) {
            peer.pendingGrants.try_emplace(static_cast<BucketIndex>(bucket));
        }
    }
}

// Discards the flows of the local server, their replication and all grants after its zone has been taken out.
void removeLocalFlows(Directory &directory)
{
    std::erase_if(directory.flows,
                  [&](const auto &item) { return item.second.holder == directory.options.self; });
    directory.localFlows = 0;
    directory.replication = {.sequence = directory.replication.sequence};
    directory.recovering = false;
    directory.closedPeerFlows.clear();
    resetAllGrants(directory);
}

// Applies the state of this agent's own server in the new roster. One that is `Down` there loses its grants.
void applyOwnState(Directory &directory, const ServiceRoute *before)
{
    const auto *const own = findOwnServer(directory);
    const auto *const ownBefore = before != nullptr ? findServer(*before, directory.options.self) : nullptr;
    if (own == nullptr) {
        return;
    }
    if (own->zoneOut && ownBefore != nullptr && !ownBefore->zoneOut) {
        removeLocalFlows(directory);
    }
    if (own->state == NodeState::Down) {
        resetAllGrants(directory);
    }
}

} // namespace

void sendLoad(Directory &directory, ServerId id, bool hasLostBuckets, Effects &effects)
{
    DirectoryMessage message{.kind = DirectoryMessageKind::Load};
    message.load
        = {.openFlows = directory.localFlows,
           .flowLimit = localFlowLimit(directory),
           .warmPermille = static_cast<std::uint16_t>(directory.slowStart.warmFraction * 1000),
           .receiverWarmPermille = static_cast<std::uint16_t>(directory.peers[id].warmFraction * 1000),
           .hasLostBuckets = hasLostBuckets};
    sendMessage(directory, id, std::move(message), effects);
}

} // namespace detail

void applyDirectoryRoster(Directory &directory, std::shared_ptr<const ServiceRoute> route, TimePoint now,
                          Effects &effects)
{
    effects.clear();
    const auto before = std::move(directory.route);
    directory.route = std::move(route);
    const bool resized = !before || before->owners.size() != directory.route->owners.size();
    std::set<ServerId> newOwners;
    if (resized) {
        detail::resizeBuckets(directory);
    } else {
        newOwners = detail::recordOwnerChanges(directory, *before);
        detail::recordReplicaDuty(directory, *before, now);
    }
    detail::updatePeers(directory, now, effects);
    detail::recountMissingGrants(directory);
    detail::applyOwnState(directory, before.get());
    if (!directory.hasRoster) {
        directory.hasRoster = true;
        detail::queueAllBuckets(directory);
        directory.hasAllReplies
            = std::none_of(directory.peers.begin(), directory.peers.end(),
                           [](const auto &item) { return !item.second.pendingGrants.empty(); });
    }
    for (auto &[id, peer] : directory.peers) {
        detail::queueGrantRequests(directory, peer);
        detail::sendGrantRequest(directory, id, peer, now, effects);
    }
    for (const auto newOwner : newOwners) {
        detail::sendLoad(directory, newOwner, true, effects);
    }
    detail::releaseHeldPackets(directory, now, effects);
}

} // namespace oriolelever
