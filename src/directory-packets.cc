#include <algorithm>

#include "directory-detail.h"

namespace oriolelever {

namespace detail {

namespace {

constexpr std::uint8_t maxHops = 6; ///< A packet forwarded by so many agents is dropped.
/// A packet forwarded by so many agents is not forwarded to a former owner, but held.
constexpr std::uint8_t maxAlternateHops = 2;
/// Flows that the server may have from before the start are accepted up to this multiple of its connection
/// limit.
constexpr double recoveryFlowFactor = 2.0;

Verdict makeVerdict(PacketAction action, DropReason reason = DropReason::None)
{
    return {.action = action, .reason = reason};
}

Verdict drop(Directory &directory, DropReason reason)
{
    ++directory.counters.drops[static_cast<std::size_t>(reason)];
    return makeVerdict(PacketAction::Drop, reason);
}

Verdict reset(Directory &directory)
{
    ++directory.counters.resets;
    return makeVerdict(PacketAction::Reset);
}

Verdict forward(Directory &directory, const RouteServer &server, const PacketInfo &packet,
                PacketPurpose purpose)
{
    if (packet.hops >= maxHops) {
        return drop(directory, DropReason::TooManyHops);
    }
    ++directory.counters.forwarded;
    return {.action = PacketAction::Forward,
            .to = server.id,
            .toEndpoint = server.data,
            .toIncarnation = server.incarnation,
            .purpose = purpose,
            .hops = static_cast<std::uint8_t>(packet.hops + 1)};
}

Verdict hold(Directory &directory, const PacketInfo &packet, TimePoint now)
{
    if (directory.heldPackets.size() >= directory.options.holdLimit) {
        return drop(directory, DropReason::HoldFull);
    }
    ++directory.counters.held;
    const auto holdId = directory.nextHoldId++;
    directory.heldPackets.push_back(
        {.holdId = holdId, .packet = packet, .deadline = now + directory.options.holdTime});
    return {.action = PacketAction::Hold, .holdId = holdId};
}

// Updates the flow of a packet: when it was last seen, and whether it closes or opens again.
void recordPacket(Directory &directory, FlowEntry &entry, const PacketInfo &packet, TimePoint now)
{
    entry.lastSeen = now;
    const bool ends = packet.closes && !entry.closing;
    const bool begins = packet.opens && entry.closing;
    if (!ends && !begins) {
        return;
    }
    entry.closing = ends;
    if (entry.holder == directory.options.self) {
        directory.localFlows += begins ? 1 : -1;
        directory.replication.queued.push_back({.caller = packet.flow.caller, .ended = ends});
    }
}

Verdict deliver(Directory &directory)
{
    ++directory.counters.delivered;
    return makeVerdict(PacketAction::Deliver);
}

// Records the flow as one of the local server and delivers the packet.
Verdict acceptLocally(Directory &directory, const PacketInfo &packet, TimePoint now)
{
    recordFlow(directory, packet.flow.caller, directory.options.self, true, now);
    directory.replication.queued.push_back({.caller = packet.flow.caller});
    recordPacket(directory, directory.flows[packet.flow.caller], packet, now);
    return deliver(directory);
}

// Whether the local server has room for a new flow; consumes a token of its rate if so.
bool reserveLocalCapacity(Directory &directory, TimePoint now)
{
    const auto limit = localFlowLimit(directory);
    return directory.localFlows < limit
        && consumeToken(directory.flowRateLimit, flowRatePerSecond(limit), now);
}

// The warm fraction of a peer's server: as its last load message says, or by its state in the roster.
double peerWarmFraction(const RouteServer &server, const PeerState &peer)
{
    if (peer.hasLoad) {
        return peer.warmFraction;
    }
    return server.state == NodeState::Cold ? SlowStart::coldFraction : 1.0;
}

Candidate peerCandidate(const RouteServer &server, const PeerState &peer, TimePoint now)
{
    if (!server.acceptsNewFlows()) {
        return {};
    }
    const double warmFraction = peerWarmFraction(server, peer);
    const double limit = peer.hasLoad ? peer.flowLimit : server.connectionLimit * warmFraction;
    return {.flows = peer.openFlows + peer.flowsPlacedSinceLoad,
            .limit = limit,
            .weight
            = server.weight * zoneRampFraction(server.zoneRamp, server.zoneReturned, now) * warmFraction};
}

Candidate ownCandidate(const Directory &directory, TimePoint now)
{
    const auto *const own = findOwnServer(directory);
    if (own == nullptr || !own->acceptsNewFlows()) {
        return {};
    }
    const double warmFraction = directory.slowStart.warmFraction;
    return {.flows = static_cast<double>(directory.localFlows),
            .limit = static_cast<double>(localFlowLimit(directory)),
            .weight = own->weight * zoneRampFraction(own->zoneRamp, own->zoneReturned, now) * warmFraction};
}

// Fills `candidates` with all reachable servers but `excluded`; returns the index of the local one.
std::size_t listCandidates(Directory &directory, ServerId excluded, TimePoint now)
{
    directory.candidates.clear();
    directory.candidateIds.clear();
    std::size_t self = noCandidate;
    for (const auto &server : directory.route->servers) {
        if (server.id == excluded || !server.reachable()) {
            continue;
        }
        directory.candidateIds.push_back(server.id);
        if (server.id == directory.options.self) {
            self = directory.candidates.size();
            directory.candidates.push_back(ownCandidate(directory, now));
            continue;
        }
        directory.candidates.push_back(peerCandidate(server, directory.peers[server.id], now));
    }
    return self;
}

// Whether the flow may be one that the server has from before this process started. For UDP any packet may be
// of such a flow, as none is marked as the first.
bool mayPredateStart(const Directory &directory, const PacketInfo &packet)
{
    return directory.recovering && (!packet.opens || packet.flow.protocol == Protocol::Udp);
}

// Places a new flow at some server but `excluded`. All peers must have granted the bucket.
Verdict placeFlow(Directory &directory, const PacketInfo &packet, ServerId excluded, TimePoint now)
{
    auto self = listCandidates(directory, excluded, now);
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto chosen = chooseServer(directory.candidates, self, directory.random);
        if (chosen == noCandidate) {
            break;
        }
        const auto id = directory.candidateIds[chosen];
        if (id != directory.options.self) {
            ++directory.counters.placedAtPeer;
            directory.peers[id].flowsPlacedSinceLoad += 1;
            recordFlow(directory, packet.flow.caller, id, true, now);
            return forward(directory, *findServer(*directory.route, id), packet, PacketPurpose::Place);
        }
        if (reserveLocalCapacity(directory, now)) {
            ++directory.counters.placedLocally;
            return acceptLocally(directory, packet, now);
        }
        // The second attempt chooses among the peers only.
        directory.candidates[self].limit = 0;
        self = noCandidate;
    }
    if (directory.localFlows < localFlowLimit(directory)) {
        return hold(directory, packet, now); // Only the rate limit keeps the local server from accepting it.
    }
    ++directory.counters.refusedNewFlows;
    return reset(directory);
}

// Whether a peer was found dead recently: it may return soon with flows that no other agent knows.
bool hasRecentlyDownPeer(const Directory &directory, TimePoint now)
{
    return std::any_of(directory.peers.begin(), directory.peers.end(), [&](const auto &item) {
        const auto &peer = item.second;
        return peer.isDown && now - peer.unreachableAt < directory.options.deadPeerResetHoldoff;
    });
}

// Whether one more flow from before the start may be accepted. These may exceed the connection limit, as the
// server has them already.
bool hasRecoveryCapacity(const Directory &directory)
{
    const auto *const own = findOwnServer(directory);
    return own != nullptr && directory.localFlows < recoveryFlowFactor * own->connectionLimit;
}

// Decides on a flow that no agent is known to have, in an owned bucket that all peers have granted.
Verdict decideUnknownFlow(Directory &directory, const PacketInfo &packet, ServerId excluded, TimePoint now)
{
    const auto bucket = bucketOfCaller(directory, packet.flow.caller);
    if (!packet.opens && hasRecentlyDownPeer(directory, now)) {
        return drop(directory, DropReason::AwaitingHolder);
    }
    // Once all peers have replied, they are queried again before the packet may go to the local server.
    const bool isSettled = now - directory.startedAt >= directory.options.startResetHoldoff;
    const bool queryFirst = directory.hasAllReplies && isSettled;
    const bool predatesStart = mayPredateStart(directory, packet) && hasRecoveryCapacity(directory);
    if (predatesStart && !queryFirst) {
        return acceptLocally(directory, packet, now);
    }
    if (packet.opens) {
        return placeFlow(directory, packet, excluded, now);
    }
    if (now - directory.verifiedAt[bucket] > directory.options.verifyInterval) {
        directory.verifiedAt[bucket] = now;
        queryPeers(directory, bucket);
    }
    if (isQueryPending(directory, bucket)) {
        return hold(directory, packet, now);
    }
    if (predatesStart) {
        return acceptLocally(directory, packet, now);
    }
    return isSettled ? reset(directory) : drop(directory, DropReason::AwaitingHolder);
}

// Returns an agent that may still place flows of the bucket, or null: the former owner, or a peer that denied
// the grant.
const RouteServer *findAlternateOwner(Directory &directory, const PacketInfo &packet, BucketIndex bucket)
{
    if (packet.hops >= maxAlternateHops) {
        return nullptr;
    }
    const auto former = directory.formerOwner[bucket];
    const auto *const server = findReachablePeer(directory, former);
    if (server != nullptr && former != packet.fromServer && !directory.peers[former].granted[bucket]) {
        return server;
    }
    for (const auto &[id, peer] : directory.peers) {
        const auto pending = peer.pendingGrants.find(bucket);
        if (!peer.reachable || id == packet.fromServer || pending == peer.pendingGrants.end()
            || !pending->second.isDenied) {
            continue;
        }
        return findReachablePeer(directory, id);
    }
    return nullptr;
}

// Decides on a flow whose holder is unreachable: its zone is out, it is dead, or it has left the roster.
Verdict decideUnreachableHolder(Directory &directory, const PacketInfo &packet, const FlowEntry &entry,
                                TimePoint now)
{
    const auto peer = directory.peers.find(entry.holder);
    const bool dead = peer != directory.peers.end() && peer->second.isDown;
    if (!packet.opens && dead && now - peer->second.unreachableAt < directory.options.deadPeerResetHoldoff) {
        return drop(directory, DropReason::AwaitingHolder);
    }
    removeFlow(directory, packet.flow.caller);
    if (!packet.opens) {
        return reset(directory);
    }
    const auto bucket = bucketOfCaller(directory, packet.flow.caller);
    return hasAllGrants(directory, bucket) ? placeFlow(directory, packet, {}, now)
                                           : hold(directory, packet, now);
}

// Decides on a packet as the owner of its bucket, whose own server does not have the flow.
Verdict decideAsOwner(Directory &directory, const PacketInfo &packet, TimePoint now)
{
    const auto bucket = bucketOfCaller(directory, packet.flow.caller);
    const auto known = directory.flows.find(packet.flow.caller);
    if (known != directory.flows.end()) {
        if (const auto *const holder = findReachablePeer(directory, known->second.holder)) {
            recordPacket(directory, known->second, packet, now);
            return forward(directory, *holder, packet, PacketPurpose::Forward);
        }
        return decideUnreachableHolder(directory, packet, FlowEntry(known->second), now);
    }
    if (hasAllGrants(directory, bucket)) {
        return decideUnknownFlow(directory, packet, {}, now);
    }
    if (const auto *const former = findAlternateOwner(directory, packet, bucket)) {
        return forward(directory, *former, packet, PacketPurpose::Route);
    }
    return hold(directory, packet, now);
}

// Decides on a packet that the sender placed at this agent's server or takes this agent for the holder of.
Verdict decideAsHolder(Directory &directory, const PacketInfo &packet, TimePoint now)
{
    const bool predatesStart = packet.purpose == PacketPurpose::Forward && mayPredateStart(directory, packet);
    const bool isPossiblyStale = now < directory.staleUntil;
    if (!isPossiblyStale && (predatesStart || (packet.opens && reserveLocalCapacity(directory, now)))) {
        return acceptLocally(directory, packet, now);
    }
    const auto *const sender = findReachablePeer(directory, packet.fromServer);
    if (sender == nullptr && isPossiblyStale) {
        return drop(directory, DropReason::Late);
    }
    if (sender == nullptr) {
        return hold(directory, packet, now);
    }
    return forward(directory, *sender, packet, PacketPurpose::Return);
}

// Removes the entry of a flow that its holder returned: it does not have the flow or cannot accept it. If the
// flow was new, the holder counts as full until its next load message.
void revertPlacement(Directory &directory, const PacketInfo &packet)
{
    const auto known = directory.flows.find(packet.flow.caller);
    if (known == directory.flows.end() || known->second.holder != packet.fromServer) {
        return;
    }
    removeFlow(directory, packet.flow.caller);
    if (packet.opens) {
        auto &peer = directory.peers[packet.fromServer];
        peer.flowLimit = std::min(peer.flowLimit, peer.openFlows);
    }
}

// Decides as the owner on a packet that its holder returned.
Verdict decideReturned(Directory &directory, const PacketInfo &packet, TimePoint now)
{
    revertPlacement(directory, packet);
    const auto bucket = bucketOfCaller(directory, packet.flow.caller);
    if (ownsBucket(directory, bucket) && hasAllGrants(directory, bucket)
        && !directory.flows.contains(packet.flow.caller)) {
        return decideUnknownFlow(directory, packet, packet.fromServer, now);
    }
    return decideAsOwner(directory, packet, now);
}

// Decides on a packet of a bucket that another agent owns by this agent's roster.
Verdict decideAsNonOwner(Directory &directory, const PacketInfo &packet, BucketIndex bucket, TimePoint now)
{
    const auto *const owner = ownerOf(*directory.route, bucket);
    if (owner == nullptr) {
        return drop(directory, DropReason::ZoneOut);
    }
    if (owner->id == packet.fromServer && hasAllGrants(directory, bucket)) {
        // The owner's roster does not yet name it as owner: this agent acts for it until it has granted the
        // bucket away.
        return decideAsOwner(directory, packet, now);
    }
    if (owner->id == packet.fromServer && packet.hops >= maxAlternateHops) {
        return hold(directory, packet, now);
    }
    return forward(directory, *owner, packet, PacketPurpose::Route);
}

} // namespace

Verdict decide(Directory &directory, const PacketInfo &packet, TimePoint now)
{
    if (!directory.route) {
        return hold(directory, packet, now);
    }
    const auto *const own = findOwnServer(directory);
    if (own != nullptr && own->zoneOut) {
        return drop(directory, DropReason::ZoneOut);
    }
    const auto known = directory.flows.find(packet.flow.caller);
    if (known != directory.flows.end() && known->second.holder == directory.options.self) {
        recordPacket(directory, known->second, packet, now);
        return deliver(directory);
    }
    if (packet.purpose == PacketPurpose::Place || packet.purpose == PacketPurpose::Forward) {
        return decideAsHolder(directory, packet, now);
    }
    const auto bucket = bucketOfCaller(directory, packet.flow.caller);
    if (!ownsBucket(directory, bucket)) {
        return decideAsNonOwner(directory, packet, bucket, now);
    }
    return packet.purpose == PacketPurpose::Return ? decideReturned(directory, packet, now)
                                                   : decideAsOwner(directory, packet, now);
}

void releaseHeldPackets(Directory &directory, TimePoint now, Effects &effects)
{
    const auto count = directory.heldPackets.size();
    for (std::size_t i = 0; i < count; ++i) {
        const auto item = directory.heldPackets.front();
        directory.heldPackets.pop_front();
        if (now >= item.deadline) {
            effects.released.push_back({item.holdId, drop(directory, DropReason::HoldExpired)});
            continue;
        }
        auto verdict = decide(directory, item.packet, now);
        if (verdict.action != PacketAction::Hold) {
            effects.released.push_back({item.holdId, verdict});
            continue;
        }
        directory.heldPackets.back().holdId = item.holdId;
        directory.heldPackets.back().deadline = item.deadline;
        --directory.counters.held;
    }
}

} // namespace detail

void handleFlowPacket(Directory &directory, const PacketInfo &packet, TimePoint now, Effects &effects)
{
    effects.clear();
    if (packet.service != directory.options.service) {
        ++directory.counters.drops[static_cast<std::size_t>(DropReason::WrongService)];
        effects.verdict = {.action = PacketAction::Drop, .reason = DropReason::WrongService};
        effects.isSenderStale = true;
        return;
    }
    detail::checkLease(directory, now);
    const bool stale = directory.route && packet.rosterVersion < directory.route->version;
    const bool otherIncarnation
        = packet.targetIncarnation != 0 && packet.targetIncarnation != directory.options.incarnation;
    effects.isSenderStale = !packet.fromServer && (stale || otherIncarnation);
    effects.verdict = detail::decide(directory, packet, now);
}

} // namespace oriolelever
