#include <algorithm>

#include "directory-detail.h"

namespace oriolelever {

namespace detail {

namespace {

constexpr std::uint8_t hopLimit = 6; ///< A packet that has passed so many agents is not passed on.
constexpr std::uint8_t passLimit = 2; ///< The same for passing an unknown flow to a former owner.
constexpr double lateFlowFactor
    = 2.0; ///< Bound on flows taken beyond the limit because the server may have them.

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
    if (packet.hops >= hopLimit) {
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
    if (directory.held.size() >= directory.options.holdLimit) {
        return drop(directory, DropReason::HoldFull);
    }
    ++directory.counters.held;
    const auto number = directory.nextHeld++;
    directory.held.push_back(
        {.number = number, .packet = packet, .deadline = now + directory.options.holdTime});
    return {.action = PacketAction::Hold, .held = number};
}

void notePacket(Directory &directory, FlowEntry &entry, const PacketInfo &packet, TimePoint now)
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
        directory.copy.waiting.push_back({.caller = packet.flow.caller, .ended = ends});
    }
}

Verdict deliver(Directory &directory)
{
    ++directory.counters.delivered;
    return makeVerdict(PacketAction::Deliver);
}

Verdict takeHere(Directory &directory, const PacketInfo &packet, TimePoint now)
{
    putFlow(directory, packet.flow.caller, directory.options.self, true, now);
    directory.copy.waiting.push_back({.caller = packet.flow.caller});
    notePacket(directory, directory.flows[packet.flow.caller], packet, now);
    return deliver(directory);
}

// Room and rate for one more new flow at the local server.
bool localRoom(Directory &directory, TimePoint now)
{
    const auto limit = localLimit(directory);
    return directory.localFlows < limit && takePace(directory.pace, fullRate(limit), now);
}

double peerShare(const RouteServer &server, const PeerState &peer)
{
    if (peer.loadKnown) {
        return peer.share;
    }
    return server.state == NodeState::Cold ? Warmth::coldShare : 1.0;
}

Candidate peerCandidate(const RouteServer &server, const PeerState &peer, TimePoint now)
{
    if (!server.takesFlows()) {
        return {};
    }
    const double share = peerShare(server, peer);
    const double limit = peer.loadKnown ? peer.limit : server.connectionLimit * share;
    return {.flows = peer.openFlows + peer.placedSince,
            .limit = limit,
            .weight = server.weight * zoneShare(server.zoneRamp, server.zoneReturned, now) * share};
}

Candidate ownCandidate(const Directory &directory, TimePoint now)
{
    const auto *const own = ownRecord(directory);
    if (own == nullptr || !own->takesFlows()) {
        return {};
    }
    const double share = directory.warmth.share;
    return {.flows = static_cast<double>(directory.localFlows),
            .limit = static_cast<double>(localLimit(directory)),
            .weight = own->weight * zoneShare(own->zoneRamp, own->zoneReturned, now) * share};
}

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

// A UDP flow that the server may have from before this process started stays where it is.
bool mayBeLocalFromBefore(const Directory &directory, const PacketInfo &packet)
{
    return directory.recovering && (!packet.opens || packet.flow.protocol == Protocol::Udp);
}

// Places a new flow; the bucket is granted by all peers.
Verdict place(Directory &directory, const PacketInfo &packet, ServerId excluded, TimePoint now)
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
            directory.peers[id].placedSince += 1;
            putFlow(directory, packet.flow.caller, id, true, now);
            return forward(directory, *findServer(*directory.route, id), packet, PacketPurpose::Place);
        }
        if (localRoom(directory, now)) {
            ++directory.counters.placedHere;
            return takeHere(directory, packet, now);
        }
        directory.candidates[self].limit = 0;
        self = noCandidate;
    }
    if (directory.localFlows < localLimit(directory)) {
        return hold(directory, packet, now); // Only its pace keeps the local server from taking it.
    }
    ++directory.counters.refusedNew;
    return reset(directory);
}

// Some server of the service may be back soon with flows that nobody else knows.
bool someDiedLately(const Directory &directory, TimePoint now)
{
    return std::any_of(directory.peers.begin(), directory.peers.end(), [&](const auto &item) {
        const auto &peer = item.second;
        return peer.died && now - peer.lostAt < directory.options.deadGrace;
    });
}

// Flows from before the start may exceed the limit a little.
bool hasLateRoom(const Directory &directory)
{
    const auto *const own = ownRecord(directory);
    return own != nullptr && directory.localFlows < lateFlowFactor * own->connectionLimit;
}

// A flow that nobody knows, in a bucket that is owned and granted.
Verdict decideUnknown(Directory &directory, const PacketInfo &packet, ServerId excluded, TimePoint now)
{
    const auto bucket = flowBucket(directory, packet.flow.caller);
    if (!packet.opens && someDiedLately(directory, now)) {
        return drop(directory, DropReason::AwaitingHolder);
    }
    // Once the peers have told what they know, they are asked again before the local server is.
    const bool settled = now - directory.startedAt >= directory.options.startGrace;
    const bool askFirst = directory.recovered && settled;
    const bool fromBefore = mayBeLocalFromBefore(directory, packet) && hasLateRoom(directory);
    if (fromBefore && !askFirst) {
        return takeHere(directory, packet, now);
    }
    if (packet.opens) {
        return place(directory, packet, excluded, now);
    }
    if (now - directory.verifiedAt[bucket] > directory.options.verifyTime) {
        directory.verifiedAt[bucket] = now;
        startVerifying(directory, bucket);
    }
    if (isVerifying(directory, bucket)) {
        return hold(directory, packet, now);
    }
    if (fromBefore) {
        return takeHere(directory, packet, now);
    }
    return settled ? reset(directory) : drop(directory, DropReason::AwaitingHolder);
}

// An agent that may still place flows of the bucket, or null.
const RouteServer *passTarget(Directory &directory, const PacketInfo &packet, BucketIndex bucket)
{
    if (packet.hops >= passLimit) {
        return nullptr;
    }
    const auto former = directory.formerOwner[bucket];
    const auto *const server = reachablePeer(directory, former);
    if (server != nullptr && former != packet.fromServer && !directory.peers[former].granted[bucket]) {
        return server;
    }
    for (const auto &[id, peer] : directory.peers) {
        const auto open = peer.asking.find(bucket);
        if (!peer.reachable || id == packet.fromServer || open == peer.asking.end() || !open->second.denied) {
            continue;
        }
        return reachablePeer(directory, id);
    }
    return nullptr;
}

// The entry's server cannot take the packet: out, dead or gone from the roster.
Verdict decideLostHolder(Directory &directory, const PacketInfo &packet, const FlowEntry &entry,
                         TimePoint now)
{
    const auto peer = directory.peers.find(entry.holder);
    const bool dead = peer != directory.peers.end() && peer->second.died;
    if (!packet.opens && dead && now - peer->second.lostAt < directory.options.deadGrace) {
        return drop(directory, DropReason::AwaitingHolder);
    }
    eraseFlow(directory, packet.flow.caller);
    if (!packet.opens) {
        return reset(directory);
    }
    const auto bucket = flowBucket(directory, packet.flow.caller);
    return holdsBucket(directory, bucket) ? place(directory, packet, {}, now) : hold(directory, packet, now);
}

Verdict decideAsOwner(Directory &directory, const PacketInfo &packet, TimePoint now)
{
    const auto bucket = flowBucket(directory, packet.flow.caller);
    const auto known = directory.flows.find(packet.flow.caller);
    if (known != directory.flows.end()) {
        if (const auto *const holder = reachablePeer(directory, known->second.holder)) {
            notePacket(directory, known->second, packet, now);
            return forward(directory, *holder, packet, PacketPurpose::Forward);
        }
        return decideLostHolder(directory, packet, FlowEntry(known->second), now);
    }
    if (holdsBucket(directory, bucket)) {
        return decideUnknown(directory, packet, {}, now);
    }
    if (const auto *const former = passTarget(directory, packet, bucket)) {
        return forward(directory, *former, packet, PacketPurpose::Route);
    }
    return hold(directory, packet, now);
}

// The sender has placed the flow here or believes that it is here.
Verdict decideAsHolder(Directory &directory, const PacketInfo &packet, TimePoint now)
{
    const bool fromBefore
        = packet.purpose == PacketPurpose::Forward && mayBeLocalFromBefore(directory, packet);
    const bool mayBeOld = now < directory.lapsedUntil;
    if (!mayBeOld && (fromBefore || (packet.opens && localRoom(directory, now)))) {
        return takeHere(directory, packet, now);
    }
    const auto *const sender = reachablePeer(directory, packet.fromServer);
    if (sender == nullptr && mayBeOld) {
        return drop(directory, DropReason::Late);
    }
    if (sender == nullptr) {
        return hold(directory, packet, now);
    }
    return forward(directory, *sender, packet, PacketPurpose::Return);
}

// The holder does not have the flow or cannot take it.
void takeBack(Directory &directory, const PacketInfo &packet)
{
    const auto known = directory.flows.find(packet.flow.caller);
    if (known == directory.flows.end() || known->second.holder != packet.fromServer) {
        return;
    }
    eraseFlow(directory, packet.flow.caller);
    if (packet.opens) {
        auto &peer = directory.peers[packet.fromServer];
        peer.limit = std::min(peer.limit, peer.openFlows);
    }
}

Verdict decideReturned(Directory &directory, const PacketInfo &packet, TimePoint now)
{
    takeBack(directory, packet);
    const auto bucket = flowBucket(directory, packet.flow.caller);
    if (ownsBucket(directory, bucket) && holdsBucket(directory, bucket)
        && !directory.flows.contains(packet.flow.caller)) {
        return decideUnknown(directory, packet, packet.fromServer, now);
    }
    return decideAsOwner(directory, packet, now);
}

Verdict decideAsOther(Directory &directory, const PacketInfo &packet, BucketIndex bucket, TimePoint now)
{
    const auto *const owner = ownerOf(*directory.route, bucket);
    if (owner == nullptr) {
        return drop(directory, DropReason::ZoneOut);
    }
    if (owner->id == packet.fromServer && holdsBucket(directory, bucket)) {
        // The owner does not know yet that it is: this agent acts for it until it has granted the bucket
        // away.
        return decideAsOwner(directory, packet, now);
    }
    if (owner->id == packet.fromServer && packet.hops >= passLimit) {
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
    const auto *const own = ownRecord(directory);
    if (own != nullptr && own->zoneOut) {
        return drop(directory, DropReason::ZoneOut);
    }
    const auto known = directory.flows.find(packet.flow.caller);
    if (known != directory.flows.end() && known->second.holder == directory.options.self) {
        notePacket(directory, known->second, packet, now);
        return deliver(directory);
    }
    if (packet.purpose == PacketPurpose::Place || packet.purpose == PacketPurpose::Forward) {
        return decideAsHolder(directory, packet, now);
    }
    const auto bucket = flowBucket(directory, packet.flow.caller);
    if (!ownsBucket(directory, bucket)) {
        return decideAsOther(directory, packet, bucket, now);
    }
    return packet.purpose == PacketPurpose::Return ? decideReturned(directory, packet, now)
                                                   : decideAsOwner(directory, packet, now);
}

void releaseHeld(Directory &directory, TimePoint now, Effects &effects)
{
    const auto count = directory.held.size();
    for (std::size_t i = 0; i < count; ++i) {
        const auto item = directory.held.front();
        directory.held.pop_front();
        if (now >= item.deadline) {
            effects.released.push_back({item.number, drop(directory, DropReason::HoldExpired)});
            continue;
        }
        auto verdict = decide(directory, item.packet, now);
        if (verdict.action != PacketAction::Hold) {
            effects.released.push_back({item.number, verdict});
            continue;
        }
        directory.held.back().number = item.number;
        directory.held.back().deadline = item.deadline;
        --directory.counters.held;
    }
}

} // namespace detail

void onPacket(Directory &directory, const PacketInfo &packet, TimePoint now, Effects &effects)
{
    effects.clear();
    if (packet.service != directory.options.service) {
        ++directory.counters.drops[static_cast<std::size_t>(DropReason::WrongService)];
        effects.verdict = {.action = PacketAction::Drop, .reason = DropReason::WrongService};
        effects.tellSender = true;
        return;
    }
    detail::checkLease(directory, now);
    const bool stale = directory.route && packet.rosterVersion < directory.route->version;
    const bool otherIncarnation
        = packet.targetIncarnation != 0 && packet.targetIncarnation != directory.options.incarnation;
    effects.tellSender = !packet.fromServer && (stale || otherIncarnation);
    effects.verdict = detail::decide(directory, packet, now);
}

} // namespace oriolelever
