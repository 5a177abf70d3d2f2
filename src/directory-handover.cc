#include <algorithm>
#include <map>

#include "directory-detail.h"

namespace oriolelever {

namespace detail {

namespace {

// Upper bounds of encoded sizes within a grant reply.
constexpr std::size_t messageOverheadBytes = 80;
constexpr std::size_t bucketReplyBytes = 16; ///< Without its notes.
constexpr std::size_t noteBytes = 34;
constexpr std::size_t replyBudgetBytes = maxDirectoryMessageBytes - messageOverheadBytes;
constexpr std::size_t notesPerPart = (replyBudgetBytes - bucketReplyBytes) / noteBytes;
/// Most buckets in one grant request. An encoded bucket takes at most 3 bytes, so the request fits into
/// `maxDirectoryMessageBytes`.
constexpr std::size_t bucketsPerRequest = 350;

using NotesByBucket = std::map<BucketIndex, std::vector<FlowNote>>;

// Whether this agent keeps a bucket that both agents own by their rosters while neither has a grant.
bool hasTieBreakPriority(const Directory &directory, ServerId other)
{
    return directory.options.self < other;
}

// Grants every bucket that this agent does not own by its own roster. An owned bucket is granted only if the
// peer has not granted it to this agent and the tie-break favors the peer. A recovering agent grants nothing
// before all peers have replied.
bool shouldGrant(const Directory &directory, ServerId id, const PeerState &peer, BucketIndex bucket)
{
    if (directory.recovering && !directory.hasAllReplies) {
        return false;
    }
    if (!ownsBucket(directory, bucket)) {
        return true;
    }
    return !peer.granted[bucket] && !hasTieBreakPriority(directory, id);
}

// Whether an entry is current enough to restore the flow at its restarted holder.
bool canRestoreHolder(const Directory &directory, ServerId holder, const FlowEntry &entry, TimePoint now)
{
    // A replica counts as current for this long after another agent has become the replica peer.
    constexpr Duration formerReplicaPeerTime = std::chrono::seconds(15);
    if (hasEnded(directory, entry)) {
        return false;
    }
    const auto &peer = directory.peers.at(holder);
    const bool isReplicaPeer = replicaPeerOf(*directory.route, holder) == directory.options.self
        || now - peer.replicaDutyEndedAt < formerReplicaPeerTime;
    if (entry.isReplica && isReplicaPeer) {
        return true;
    }
    // A confirmed entry is valid since this agent last had the grants of its bucket: `collectNotes` makes
    // entries unconfirmed when the bucket is granted away.
    return ownsBucket(directory, entry.bucket) || (entry.confirmed && !entry.isReplica);
}

// Collects the flows to report to `requester` by bucket: all those of granted buckets that are not its own,
// and the requester's own if it is recovering. Known flows of other agents are unconfirmed from now on in
// granted buckets, as the requester may move them.
NotesByBucket collectNotes(Directory &directory, ServerId requester, const std::vector<bool> &granted,
                           const std::vector<bool> &requested, bool isRecovering, TimePoint now)
{
    NotesByBucket notes;
    const auto self = directory.options.self;
    for (auto &[caller, entry] : directory.flows) {
        if (!requested[entry.bucket]) {
            continue;
        }
        const bool atRequester = entry.holder == requester;
        if (granted[entry.bucket] && entry.holder != self && !(isRecovering && atRequester)) {
            entry.confirmed = false;
        }
        const bool included = atRequester ? isRecovering && canRestoreHolder(directory, requester, entry, now)
                                          : granted[entry.bucket];
        if (!included) {
            continue;
        }
        const bool local = entry.holder == self;
        notes[entry.bucket].push_back(
            {.caller = caller, .holder = entry.holder, .confirmed = local, .closing = entry.closing});
    }
    return notes;
}

// Packs bucket replies into as few datagrams as their order allows.
struct GrantReplyWriter
{
    Directory &directory;
    ServerId to;
    std::uint64_t sequence;
    Effects &effects;
    GrantReplyMessage reply;
    std::size_t bytes = 0;

    void add(BucketReply bucketReply)
    {
        const auto size = bucketReplyBytes + bucketReply.flows.size() * noteBytes;
        if (bytes + size > replyBudgetBytes) {
            flush();
        }
        bytes += size;
        reply.buckets.push_back(std::move(bucketReply));
    }

    void flush()
    {
        if (reply.buckets.empty()) {
            return;
        }
        DirectoryMessage message{.kind = DirectoryMessageKind::GrantReply};
        message.grantReply = std::move(reply);
        message.grantReply.sequence = sequence;
        message.grantReply.bucketCount = static_cast<std::uint32_t>(directory.route->owners.size());
        sendMessage(directory, to, std::move(message), effects);
        reply = {};
        bytes = 0;
    }
};

// Writes the reply for one bucket, in as many parts as its notes need. Notes beyond `maxReplyParts` are left
// out.
void writeBucket(GrantReplyWriter &writer, BucketIndex bucket, bool granted,
                 const std::vector<FlowNote> &notes)
{
    const auto partCount
        = std::clamp<std::size_t>((notes.size() + notesPerPart - 1) / notesPerPart, 1, maxReplyParts);
    for (std::size_t part = 0; part < partCount; ++part) {
        const auto begin = notes.begin() + static_cast<std::ptrdiff_t>(part * notesPerPart);
        const auto size = std::min(notesPerPart, notes.size() - part * notesPerPart);
        writer.add({.bucket = bucket,
                    .granted = granted,
                    .partIndex = static_cast<std::uint16_t>(part),
                    .partCount = static_cast<std::uint16_t>(partCount),
                    .flows = {begin, begin + static_cast<std::ptrdiff_t>(size)}});
    }
}

// Grants or denies the requested buckets. Repeated and outdated requests are ignored, as are those from a
// roster with another number of buckets.
void handleGrantRequest(Directory &directory, ServerId from, PeerState &peer,
                        const GrantRequestMessage &request, TimePoint now, Effects &effects)
{
    if (!directory.route || request.sequence <= peer.receivedSequence) {
        return;
    }
    const auto count = directory.route->owners.size();
    if (request.bucketCount != count) {
        return;
    }
    peer.receivedSequence = request.sequence;
    std::vector<bool> requested(count, false);
    std::vector<bool> granted(count, false);
    for (const auto bucket : request.buckets) {
        requested[bucket] = true;
        granted[bucket] = shouldGrant(directory, from, peer, bucket);
        if (granted[bucket]) {
            resetGrants(directory, bucket);
        }
    }
    if (request.isRecovering) {
        // The load message, without `hasLostBuckets`, tells the requester its warm fraction before its
        // restart; see `handleLoad`.
        sendLoad(directory, from, false, effects);
    }
    const auto notes = collectNotes(directory, from, granted, requested, request.isRecovering, now);
    GrantReplyWriter writer{
        .directory = directory, .to = from, .sequence = request.sequence, .effects = effects};
    static const std::vector<FlowNote> noNotes;
    for (const auto bucket : request.buckets) {
        const auto found = notes.find(bucket);
        writeBucket(writer, bucket, granted[bucket], found != notes.end() ? found->second : noNotes);
    }
    writer.flush();
}

// Records the flows of a reply. Those of the local server are restored only while this agent is recovering,
// as it knows its own flows afterwards.
void applyNotes(Directory &directory, const BucketReply &bucketReply, TimePoint now)
{
    for (const auto &note : bucketReply.flows) {
        const bool isLocal = note.holder == directory.options.self;
        const bool ended = note.closing && directory.route->protocol != Protocol::Udp;
        if (isLocal && (!directory.recovering || ended)) {
            continue;
        }
        recordFlow(directory, note.caller, note.holder, note.confirmed || isLocal, now);
        const auto entry = directory.flows.find(note.caller);
        if (note.closing && entry->second.holder == note.holder) {
            uncountLocalFlow(directory, entry->second);
            entry->second.closing = true;
        }
    }
}

// Records a part of a reply; returns whether all parts have arrived.
bool recordPart(PendingGrant &pending, const BucketReply &bucketReply)
{
    pending.receivedParts |= std::uint64_t{1} << bucketReply.partIndex;
    const auto allPartsMask = bucketReply.partCount >= maxReplyParts
        ? ~std::uint64_t{0}
        : (std::uint64_t{1} << bucketReply.partCount) - 1;
    return (pending.receivedParts & allPartsMask) == allPartsMask;
}

// Applies a part of a reply. The last part settles the pending grant; a denial leaves it pending for a retry
// while this agent owns the bucket.
void applyBucketReply(Directory &directory, PeerState &peer, std::uint64_t sequence,
                      const BucketReply &bucketReply, TimePoint now)
{
    const auto pending = peer.pendingGrants.find(bucketReply.bucket);
    if (pending == peer.pendingGrants.end() || pending->second.sequence != sequence) {
        return;
    }
    applyNotes(directory, bucketReply, now);
    if (!recordPart(pending->second, bucketReply)) {
        return;
    }
    if (bucketReply.granted) {
        setGranted(directory, peer, bucketReply.bucket, true);
        peer.pendingGrants.erase(pending);
    } else if (ownsBucket(directory, bucketReply.bucket)) {
        pending->second.isDenied = true;
        setGranted(directory, peer, bucketReply.bucket, false);
    } else {
        peer.pendingGrants.erase(pending);
    }
}

// Whether every peer has replied to every pending grant request at least once.
bool haveAllPeersReplied(const Directory &directory)
{
    return std::all_of(directory.peers.begin(), directory.peers.end(), [](const auto &item) {
        const auto &pendingGrants = item.second.pendingGrants;
        return std::all_of(pendingGrants.begin(), pendingGrants.end(),
                           [](const auto &pending) { return pending.second.isDenied; });
    });
}

// Applies a reply, and sends the next request at once if only buckets beyond the last request's limit remain.
void handleGrantReply(Directory &directory, ServerId from, PeerState &peer, const GrantReplyMessage &reply,
                      TimePoint now, Effects &effects)
{
    if (!directory.route || reply.bucketCount != directory.route->owners.size()) {
        return;
    }
    for (const auto &bucketReply : reply.buckets) {
        applyBucketReply(directory, peer, reply.sequence, bucketReply, now);
    }
    directory.hasAllReplies = directory.hasAllReplies || haveAllPeersReplied(directory);
    const bool hasOnlyUnsent = std::all_of(peer.pendingGrants.begin(), peer.pendingGrants.end(),
                                           [](const auto &item) { return item.second.sequence == 0; });
    if (hasOnlyUnsent && !peer.pendingGrants.empty()) {
        peer.retryDelay = Duration{0};
        sendGrantRequest(directory, from, peer, now, effects);
    }
    releaseHeldPackets(directory, now, effects);
}

// Records a peer's load. A recovering agent continues its slow start from the warm fraction that a peer has
// recorded of it.
void handleLoad(Directory &directory, ServerId from, PeerState &peer, const LoadMessage &load, TimePoint now,
                Effects &effects)
{
    peer.openFlows = load.openFlows;
    peer.flowLimit = load.flowLimit;
    peer.warmFraction = load.warmPermille / 1000.0;
    peer.flowsPlacedSinceLoad = 0;
    peer.hasLoad = true;
    if (directory.recovering && !directory.isWarmFractionRecovered && load.receiverWarmPermille > 0) {
        directory.isWarmFractionRecovered = true;
        directory.slowStart.warmFraction
            = std::max(directory.slowStart.warmFraction, load.receiverWarmPermille / 1000.0);
    }
    // By the peer's new roster it no longer owns some buckets, so it may now grant those that it denied.
    if (load.hasLostBuckets && !peer.pendingGrants.empty()) {
        peer.retryDelay = Duration{0};
        sendGrantRequest(directory, from, peer, now, effects);
    }
}

void handleClosedFlows(Directory &directory, ServerId from, const ClosedFlowsMessage &closedFlows)
{
    for (const auto &caller : closedFlows.callers) {
        const auto known = directory.flows.find(caller);
        if (known != directory.flows.end() && known->second.holder == from) {
            removeFlow(directory, caller);
        }
    }
}

// Checks the header of a message; returns whether to handle it. A new incarnation of the peer starts new
// sequences. A new generation says that the peer lost this agent as unreachable: other agents may have got
// this agent's buckets meanwhile, so the grants of all peers are void.
bool acceptSender(Directory &directory, PeerState &peer, const DirectoryMessage &message)
{
    if (message.service != directory.options.service || message.fromIncarnation < peer.incarnation) {
        return false;
    }
    if (message.toIncarnation != 0 && message.toIncarnation != directory.options.incarnation) {
        return false;
    }
    if (message.fromIncarnation > peer.incarnation) {
        peer.incarnation = message.fromIncarnation;
        peer.receivedSequence = 0;
        peer.receivedGeneration = 0;
        peer.replicaSequence = 0;
        peer.hasLoad = false;
    }
    if (message.generation > peer.receivedGeneration) {
        peer.receivedGeneration = message.generation;
        resetAllGrants(directory);
    }
    return true;
}

// Returns the peer's state, with room for the grants of all buckets once there is a roster.
PeerState &findOrAddPeer(Directory &directory, ServerId id)
{
    auto &peer = directory.peers[id];
    if (directory.route && peer.granted.empty()) {
        peer.granted.assign(directory.route->owners.size(), false);
    }
    return peer;
}

} // namespace

void setGranted(Directory &directory, PeerState &peer, BucketIndex bucket, bool granted)
{
    if (peer.granted[bucket] == granted) {
        return;
    }
    peer.granted[bucket] = granted;
    if (peer.reachable) {
        directory.missingGrants[bucket] += granted ? -1 : 1;
    }
}

void resetGrants(Directory &directory, BucketIndex bucket)
{
    const bool owned = ownsBucket(directory, bucket);
    for (auto &[id, peer] : directory.peers) {
        setGranted(directory, peer, bucket, false);
        peer.pendingGrants.erase(bucket);
        if (owned && peer.reachable) {
            peer.pendingGrants[bucket] = {};
            peer.retryDelay = Duration{0};
        }
    }
}

bool isQueryPending(Directory &directory, BucketIndex bucket)
{
    return std::any_of(directory.peers.begin(), directory.peers.end(),
                       [&](const auto &item) { return item.second.pendingGrants.contains(bucket); });
}

void queryPeers(Directory &directory, BucketIndex bucket)
{
    for (auto &[id, peer] : directory.peers) {
        if (peer.reachable && peer.pendingGrants.try_emplace(bucket).second) {
            peer.retryDelay = Duration{0};
        }
    }
}

void queueGrantRequests(Directory &directory, PeerState &peer)
{
    if (!peer.reachable) {
        return;
    }
    for (std::size_t i = 0; i < peer.granted.size(); ++i) {
        const auto bucket = static_cast<BucketIndex>(i);
        if (peer.granted[bucket] || !ownsBucket(directory, bucket)) {
            continue;
        }
        peer.pendingGrants.try_emplace(bucket);
        peer.retryDelay = Duration{0};
    }
}

void checkLease(Directory &directory, TimePoint now)
{
    if (now - directory.lastTickAt <= directory.options.leaseTime) {
        return;
    }
    resetAllGrants(directory);
    directory.lastTickAt = now;
    directory.staleUntil = now + directory.options.staleWindow;
}

void resetAllGrants(Directory &directory)
{
    for (auto &[id, peer] : directory.peers) {
        for (std::size_t bucket = 0; bucket < peer.granted.size(); ++bucket) {
            setGranted(directory, peer, static_cast<BucketIndex>(bucket), false);
        }
        queueGrantRequests(directory, peer);
    }
}

void sendMessage(Directory &directory, ServerId id, DirectoryMessage message, Effects &effects)
{
    const auto *const server = findReachablePeer(directory, id);
    if (server == nullptr) {
        return;
    }
    const auto &peer = directory.peers[id];
    message.service = directory.options.service;
    message.fromIncarnation = directory.options.incarnation;
    message.toIncarnation = peer.incarnation;
    message.generation = peer.generation;
    message.rosterVersion = directory.route->version;
    effects.messages.push_back({.to = id, .endpoint = server->data, .message = std::move(message)});
}

void sendGrantRequest(Directory &directory, ServerId id, PeerState &peer, TimePoint now, Effects &effects)
{
    if (peer.pendingGrants.empty() || !peer.reachable || now - peer.requestSentAt < peer.retryDelay) {
        return;
    }
    DirectoryMessage message{.kind = DirectoryMessageKind::GrantRequest};
    auto &request = message.grantRequest;
    request.sequence = ++peer.sentSequence;
    request.bucketCount = static_cast<std::uint32_t>(directory.route->owners.size());
    request.isRecovering = directory.recovering;
    for (auto &[bucket, pending] : peer.pendingGrants) {
        if (request.buckets.size() >= bucketsPerRequest) {
            pending.sequence = 0;
            continue;
        }
        request.buckets.push_back(bucket);
        pending.sequence = request.sequence;
        pending.receivedParts = 0;
    }
    const auto &options = directory.options;
    peer.retryDelay = std::clamp(peer.retryDelay * 2, options.retryInterval, options.retryIntervalMax);
    peer.requestSentAt = now;
    sendMessage(directory, id, std::move(message), effects);
}

} // namespace detail

void handleDirectoryMessage(Directory &directory, ServerId from, const DirectoryMessage &message,
                            TimePoint now, Effects &effects)
{
    effects.clear();
    if (from == directory.options.self) {
        return;
    }
    detail::checkLease(directory, now);
    auto &peer = detail::findOrAddPeer(directory, from);
    if (!detail::acceptSender(directory, peer, message)) {
        return;
    }
    switch (message.kind) {
    case DirectoryMessageKind::GrantRequest:
        detail::handleGrantRequest(directory, from, peer, message.grantRequest, now, effects);
        break;
    case DirectoryMessageKind::GrantReply:
        detail::handleGrantReply(directory, from, peer, message.grantReply, now, effects);
        break;
    case DirectoryMessageKind::Load:
        detail::handleLoad(directory, from, peer, message.load, now, effects);
        break;
    case DirectoryMessageKind::ClosedFlows:
        detail::handleClosedFlows(directory, from, message.closedFlows);
        break;
    case DirectoryMessageKind::Replica:
        detail::handleReplica(directory, from, message.replica, now, effects);
        break;
    }
}

} // namespace oriolelever
