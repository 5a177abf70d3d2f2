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

// Bucket numbers have changed their meaning: nothing granted so far holds.
void resizeBuckets(Directory &directory)
{
    const auto count = directory.route->owners.size();
    directory.missing.assign(count, 0);
    directory.formerOwner.assign(count, ServerId{});
    directory.verifiedAt.assign(count, TimePoint{});
    for (auto &[caller, entry] : directory.flows) {
        entry.bucket = flowBucket(directory, caller);
    }
    for (auto &[id, peer] : directory.peers) {
        peer.granted.assign(count, false);
        peer.asking.clear();
    }
}

// Remembers the former owners; returns the new owners of buckets that this agent has lost.
std::set<ServerId> noteOwnerChanges(Directory &directory, const ServiceRoute &before)
{
    std::set<ServerId> gainers;
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
            forgetBucket(directory, bucket);
            gained[bucket] = true;
        }
        if (former == directory.options.self && owner) {
            gainers.insert(owner);
        }
    }
    // Entries that came from other agents before are told again.
    std::erase_if(directory.flows, [&](const auto &item) {
        const auto &entry = item.second;
        return gained[entry.bucket] && !entry.certain && !entry.copied
            && entry.holder != directory.options.self;
    });
    return gainers;
}

void noteStart(PeerState &peer, Incarnation incarnation)
{
    if (incarnation <= peer.incarnation) {
        return;
    }
    peer.incarnation = incarnation;
    peer.heardSequence = 0;
    peer.heardGeneration = 0;
    peer.copySequence = 0;
    peer.loadKnown = false;
}

void losePeer(PeerState &peer, bool died, TimePoint now)
{
    if (!peer.reachable && (!died || peer.died)) {
        return;
    }
    peer.reachable = false;
    peer.asking.clear();
    ++peer.generation;
    peer.died = died;
    peer.lostAt = now;
    peer.loadKnown = false;
}

void gainPeer(Directory &directory, ServerId id, PeerState &peer, Effects &effects)
{
    if (peer.reachable) {
        return;
    }
    peer.reachable = true;
    peer.died = false;
    peer.granted.assign(directory.route->owners.size(), false);
    peer.placedSince = 0;
    sendLoad(directory, id, false, effects);
}

// Remembers for whom this agent has kept copies until now.
void noteKeeping(Directory &directory, const ServiceRoute &before, TimePoint now)
{
    const auto self = directory.options.self;
    for (auto &[id, peer] : directory.peers) {
        if (keeperOf(before, id) == self && keeperOf(*directory.route, id) != self) {
            peer.keeperUntil = now;
        }
    }
}

void updatePeers(Directory &directory, TimePoint now, Effects &effects)
{
    const auto &route = *directory.route;
    for (auto &[id, peer] : directory.peers) {
        if (findServer(route, id) == nullptr) {
            losePeer(peer, false, now);
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
        noteStart(peer, server.incarnation);
        if (server.reachable()) {
            gainPeer(directory, server.id, peer, effects);
        } else {
            losePeer(peer, server.state == NodeState::Down, now);
        }
    }
}

void recountMissing(Directory &directory)
{
    std::fill(directory.missing.begin(), directory.missing.end(), 0);
    for (const auto &[id, peer] : directory.peers) {
        if (!peer.reachable) {
            continue;
        }
        for (std::size_t bucket = 0; bucket < peer.granted.size(); ++bucket) {
            directory.missing[bucket] += peer.granted[bucket] ? 0 : 1;
        }
    }
}

// A restarted agent asks for every bucket, to hear which flows its server has.
void askForAll(Directory &directory)
{
    if (directory.missing.size() > smallBucketCount) {
        return;
    }
    for (auto &[id, peer] : directory.peers) {
        for (std::size_t bucket = 0; peer.reachable && bucket < directory.missing.size(); ++bucket) {
            peer.asking.try_emplace(static_cast<BucketIndex>(bucket));
        }
    }
}

// The zone of this agent has been taken out: its flows are given up.
void giveUpFlows(Directory &directory)
{
    std::erase_if(directory.flows,
                  [&](const auto &item) { return item.second.holder == directory.options.self; });
    directory.localFlows = 0;
    directory.copy = {.sequence = directory.copy.sequence};
    directory.recovering = false;
    directory.gone.clear();
    dropGrants(directory);
}

void noteOwnState(Directory &directory, const ServiceRoute *before)
{
    const auto *const own = ownRecord(directory);
    const auto *const ownBefore = before != nullptr ? findServer(*before, directory.options.self) : nullptr;
    if (own == nullptr) {
        return;
    }
    if (own->zoneOut && ownBefore != nullptr && !ownBefore->zoneOut) {
        giveUpFlows(directory);
    }
    if (own->state == NodeState::Down) {
        dropGrants(directory);
    }
}

} // namespace

void sendLoad(Directory &directory, ServerId id, bool lostBuckets, Effects &effects)
{
    DirectoryMessage message{.kind = DirectoryMessageKind::Load};
    message.load = {.openFlows = directory.localFlows,
                    .limit = localLimit(directory),
                    .sharePermille = static_cast<std::uint16_t>(directory.warmth.share * 1000),
                    .heardPermille = static_cast<std::uint16_t>(directory.peers[id].share * 1000),
                    .lostBuckets = lostBuckets};
    sendMessage(directory, id, std::move(message), effects);
}

} // namespace detail

void onRoster(Directory &directory, std::shared_ptr<const ServiceRoute> route, TimePoint now,
              Effects &effects)
{
    effects.clear();
    const auto before = std::move(directory.route);
    directory.route = std::move(route);
    const bool resized = !before || before->owners.size() != directory.route->owners.size();
    std::set<ServerId> gainers;
    if (resized) {
        detail::resizeBuckets(directory);
    } else {
        gainers = detail::noteOwnerChanges(directory, *before);
        detail::noteKeeping(directory, *before, now);
    }
    detail::updatePeers(directory, now, effects);
    detail::recountMissing(directory);
    detail::noteOwnState(directory, before.get());
    if (!directory.started) {
        directory.started = true;
        detail::askForAll(directory);
        directory.recovered = std::none_of(directory.peers.begin(), directory.peers.end(),
                                           [](const auto &item) { return !item.second.asking.empty(); });
    }
    for (auto &[id, peer] : directory.peers) {
        detail::openAsks(directory, peer);
        detail::sendAsk(directory, id, peer, now, effects);
    }
    for (const auto gainer : gainers) {
        detail::sendLoad(directory, gainer, true, effects);
    }
    detail::releaseHeld(directory, now, effects);
}

} // namespace oriolelever
