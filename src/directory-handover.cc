#include <algorithm>
#include <map>

#include "directory-detail.h"

namespace oriolelever {

namespace detail {

namespace {

// Sizes of the parts of an answer on the wire; upper bounds.
constexpr std::size_t messageOverhead = 80;
constexpr std::size_t sectionBytes = 16;
constexpr std::size_t noteBytes = 34;
constexpr std::size_t answerBudget = maxDirectoryMessage - messageOverhead;
constexpr std::size_t notesPerPart = (answerBudget - sectionBytes) / noteBytes;
constexpr std::size_t askLimit = 350; ///< Buckets in one question.

using NotesByBucket = std::map<BucketIndex, std::vector<FlowNote>>;

bool wins(const Directory &directory, ServerId other)
{
    return directory.options.self < other;
}

// The peer may have the bucket unless this agent owns it by its own roster and holds the peer's grant, or has
// the smaller id while neither holds the other's.
bool shouldGrant(const Directory &directory, ServerId id, const PeerState &peer, BucketIndex bucket)
{
    if (directory.recovering && !directory.recovered) {
        return false;
    }
    if (!ownsBucket(directory, bucket)) {
        return true;
    }
    return !peer.granted[bucket] && !wins(directory, id);
}

// An entry that is current enough to tell a restarted holder of it.
bool tellsHolder(const Directory &directory, ServerId holder, const FlowEntry &entry, TimePoint now)
{
    constexpr Duration keeperGrace = std::chrono::seconds(15);
    if (hasEnded(directory, entry)) {
        return false;
    }
    const auto &peer = directory.peers.at(holder);
    const bool keeps = keeperOf(*directory.route, holder) == directory.options.self
        || now - peer.keeperUntil < keeperGrace;
    if (entry.copied && keeps) {
        return true;
    }
    // A certain entry has been here since this agent last held the bucket.
    return ownsBucket(directory, entry.bucket) || (entry.certain && !entry.copied);
}

NotesByBucket collectNotes(Directory &directory, ServerId asker, const std::vector<bool> &granted,
                           const std::vector<bool> &asked, bool recovers, TimePoint now)
{
    NotesByBucket notes;
    const auto self = directory.options.self;
    for (auto &[caller, entry] : directory.flows) {
        if (!asked[entry.bucket]) {
            continue;
        }
        const bool atAsker = entry.holder == asker;
        if (granted[entry.bucket] && entry.holder != self && !(recovers && atAsker)) {
            entry.certain = false;
        }
        const bool told
            = atAsker ? recovers && tellsHolder(directory, asker, entry, now) : granted[entry.bucket];
        if (!told) {
            continue;
        }
        const bool local = entry.holder == self;
        notes[entry.bucket].push_back(
            {.caller = caller, .holder = entry.holder, .certain = local, .closing = entry.closing});
    }
    return notes;
}

// Collects sections into datagrams.
struct AnswerWriter
{
    Directory &directory;
    ServerId to;
    std::uint64_t sequence;
    Effects &effects;
    AnswerMessage answer;
    std::size_t bytes = 0;

    void put(BucketAnswer section)
    {
        const auto size = sectionBytes + section.flows.size() * noteBytes;
        if (bytes + size > answerBudget) {
            flush();
        }
        bytes += size;
        answer.buckets.push_back(std::move(section));
    }

    void flush()
    {
        if (answer.buckets.empty()) {
            return;
        }
        DirectoryMessage message{.kind = DirectoryMessageKind::Answer};
        message.answer = std::move(answer);
        message.answer.sequence = sequence;
        message.answer.bucketCount = static_cast<std::uint32_t>(directory.route->owners.size());
        sendMessage(directory, to, std::move(message), effects);
        answer = {};
        bytes = 0;
    }
};

void writeBucket(AnswerWriter &writer, BucketIndex bucket, bool granted, const std::vector<FlowNote> &notes)
{
    const auto parts
        = std::clamp<std::size_t>((notes.size() + notesPerPart - 1) / notesPerPart, 1, maxAnswerParts);
    for (std::size_t part = 0; part < parts; ++part) {
        const auto begin = notes.begin() + static_cast<std::ptrdiff_t>(part * notesPerPart);
        const auto size = std::min(notesPerPart, notes.size() - part * notesPerPart);
        writer.put({.bucket = bucket,
                    .granted = granted,
                    .part = static_cast<std::uint16_t>(part),
                    .parts = static_cast<std::uint16_t>(parts),
                    .flows = {begin, begin + static_cast<std::ptrdiff_t>(size)}});
    }
}

void takeAsk(Directory &directory, ServerId from, PeerState &peer, const AskMessage &ask, TimePoint now,
             Effects &effects)
{
    if (!directory.route || ask.sequence <= peer.heardSequence) {
        return;
    }
    const auto count = directory.route->owners.size();
    if (ask.bucketCount != count) {
        return;
    }
    peer.heardSequence = ask.sequence;
    std::vector<bool> asked(count, false);
    std::vector<bool> granted(count, false);
    for (const auto bucket : ask.buckets) {
        asked[bucket] = true;
        granted[bucket] = shouldGrant(directory, from, peer, bucket);
        if (granted[bucket]) {
            forgetBucket(directory, bucket);
        }
    }
    if (ask.recovers) {
        sendLoad(directory, from, false, effects);
    }
    const auto notes = collectNotes(directory, from, granted, asked, ask.recovers, now);
    AnswerWriter writer{.directory = directory, .to = from, .sequence = ask.sequence, .effects = effects};
    static const std::vector<FlowNote> none;
    for (const auto bucket : ask.buckets) {
        const auto found = notes.find(bucket);
        writeBucket(writer, bucket, granted[bucket], found != notes.end() ? found->second : none);
    }
    writer.flush();
}

void takeNotes(Directory &directory, const BucketAnswer &section, TimePoint now)
{
    for (const auto &note : section.flows) {
        const bool here = note.holder == directory.options.self;
        const bool ended = note.closing && directory.route->protocol != Protocol::Udp;
        if (here && (!directory.recovering || ended)) {
            continue;
        }
        putFlow(directory, note.caller, note.holder, note.certain || here, now);
        const auto entry = directory.flows.find(note.caller);
        if (note.closing && entry->second.holder == note.holder) {
            uncountFlow(directory, entry->second);
            entry->second.closing = true;
        }
    }
}

bool allParts(OpenAsk &open, const BucketAnswer &section)
{
    open.partsSeen |= std::uint64_t{1} << section.part;
    const auto wanted
        = section.parts >= maxAnswerParts ? ~std::uint64_t{0} : (std::uint64_t{1} << section.parts) - 1;
    return (open.partsSeen & wanted) == wanted;
}

void takeSection(Directory &directory, PeerState &peer, std::uint64_t sequence, const BucketAnswer &section,
                 TimePoint now)
{
    const auto open = peer.asking.find(section.bucket);
    if (open == peer.asking.end() || open->second.sequence != sequence) {
        return;
    }
    takeNotes(directory, section, now);
    if (!allParts(open->second, section)) {
        return;
    }
    if (section.granted) {
        setGranted(directory, peer, section.bucket, true);
        peer.asking.erase(open);
    } else if (ownsBucket(directory, section.bucket)) {
        open->second.denied = true;
        setGranted(directory, peer, section.bucket, false);
    } else {
        peer.asking.erase(open);
    }
}

// Every reachable peer has answered every question at least once.
bool heardAll(const Directory &directory)
{
    return std::all_of(directory.peers.begin(), directory.peers.end(), [](const auto &item) {
        const auto &asking = item.second.asking;
        return std::all_of(asking.begin(), asking.end(), [](const auto &open) { return open.second.denied; });
    });
}

void takeAnswer(Directory &directory, ServerId from, PeerState &peer, const AnswerMessage &answer,
                TimePoint now, Effects &effects)
{
    if (!directory.route || answer.bucketCount != directory.route->owners.size()) {
        return;
    }
    for (const auto &section : answer.buckets) {
        takeSection(directory, peer, answer.sequence, section, now);
    }
    directory.recovered = directory.recovered || heardAll(directory);
    const bool allTold = std::all_of(peer.asking.begin(), peer.asking.end(),
                                     [](const auto &item) { return item.second.sequence == 0; });
    if (allTold && !peer.asking.empty()) {
        peer.askWait = Duration{0};
        sendAsk(directory, from, peer, now, effects);
    }
    releaseHeld(directory, now, effects);
}

void takeLoad(Directory &directory, ServerId from, PeerState &peer, const LoadMessage &load, TimePoint now,
              Effects &effects)
{
    peer.openFlows = load.openFlows;
    peer.limit = load.limit;
    peer.share = load.sharePermille / 1000.0;
    peer.placedSince = 0;
    peer.loadKnown = true;
    if (directory.recovering && !directory.shareRecovered && load.heardPermille > 0) {
        directory.shareRecovered = true;
        directory.warmth.share = std::max(directory.warmth.share, load.heardPermille / 1000.0);
    }
    if (load.lostBuckets && !peer.asking.empty()) {
        peer.askWait = Duration{0};
        sendAsk(directory, from, peer, now, effects);
    }
}

void takeGone(Directory &directory, ServerId from, const GoneMessage &gone)
{
    for (const auto &caller : gone.callers) {
        const auto known = directory.flows.find(caller);
        if (known != directory.flows.end() && known->second.holder == from) {
            eraseFlow(directory, caller);
        }
    }
}

// Notices a new start of the peer, or that the peer has counted this agent as unreachable: its grants are
// void.
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
        peer.heardSequence = 0;
        peer.heardGeneration = 0;
        peer.copySequence = 0;
        peer.loadKnown = false;
    }
    if (message.generation > peer.heardGeneration) {
        peer.heardGeneration = message.generation;
        dropGrants(directory);
    }
    return true;
}

PeerState &peerState(Directory &directory, ServerId id)
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
        directory.missing[bucket] += granted ? -1 : 1;
    }
}

void forgetBucket(Directory &directory, BucketIndex bucket)
{
    const bool owned = ownsBucket(directory, bucket);
    for (auto &[id, peer] : directory.peers) {
        setGranted(directory, peer, bucket, false);
        peer.asking.erase(bucket);
        if (owned && peer.reachable) {
            peer.asking[bucket] = {};
            peer.askWait = Duration{0};
        }
    }
}

bool isVerifying(Directory &directory, BucketIndex bucket)
{
    return std::any_of(directory.peers.begin(), directory.peers.end(),
                       [&](const auto &item) { return item.second.asking.contains(bucket); });
}

void startVerifying(Directory &directory, BucketIndex bucket)
{
    for (auto &[id, peer] : directory.peers) {
        if (peer.reachable && peer.asking.try_emplace(bucket).second) {
            peer.askWait = Duration{0};
        }
    }
}

void openAsks(Directory &directory, PeerState &peer)
{
    if (!peer.reachable) {
        return;
    }
    for (std::size_t i = 0; i < peer.granted.size(); ++i) {
        const auto bucket = static_cast<BucketIndex>(i);
        if (peer.granted[bucket] || !ownsBucket(directory, bucket)) {
            continue;
        }
        peer.asking.try_emplace(bucket);
        peer.askWait = Duration{0};
    }
}

void checkLease(Directory &directory, TimePoint now)
{
    if (now - directory.lastTick <= directory.options.leaseTime) {
        return;
    }
    dropGrants(directory);
    directory.lastTick = now;
    directory.lapsedUntil = now + directory.options.lapseTime;
}

void dropGrants(Directory &directory)
{
    for (auto &[id, peer] : directory.peers) {
        for (std::size_t bucket = 0; bucket < peer.granted.size(); ++bucket) {
            setGranted(directory, peer, static_cast<BucketIndex>(bucket), false);
        }
        openAsks(directory, peer);
    }
}

void sendMessage(Directory &directory, ServerId id, DirectoryMessage message, Effects &effects)
{
    const auto *const server = reachablePeer(directory, id);
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

void sendAsk(Directory &directory, ServerId id, PeerState &peer, TimePoint now, Effects &effects)
{
    if (peer.asking.empty() || !peer.reachable || now - peer.askedAt < peer.askWait) {
        return;
    }
    DirectoryMessage message{.kind = DirectoryMessageKind::Ask};
    auto &ask = message.ask;
    ask.sequence = ++peer.askSequence;
    ask.bucketCount = static_cast<std::uint32_t>(directory.route->owners.size());
    ask.recovers = directory.recovering;
    for (auto &[bucket, open] : peer.asking) {
        if (ask.buckets.size() >= askLimit) {
            open.sequence = 0;
            continue;
        }
        ask.buckets.push_back(bucket);
        open.sequence = ask.sequence;
        open.partsSeen = 0;
    }
    const auto &options = directory.options;
    peer.askWait = std::clamp(peer.askWait * 2, options.askRetry, options.askRetryMax);
    peer.askedAt = now;
    sendMessage(directory, id, std::move(message), effects);
}

} // namespace detail

void onMessage(Directory &directory, ServerId from, const DirectoryMessage &message, TimePoint now,
               Effects &effects)
{
    effects.clear();
    if (from == directory.options.self) {
        return;
    }
    detail::checkLease(directory, now);
    auto &peer = detail::peerState(directory, from);
    if (!detail::acceptSender(directory, peer, message)) {
        return;
    }
    switch (message.kind) {
    case DirectoryMessageKind::Ask:
        detail::takeAsk(directory, from, peer, message.ask, now, effects);
        break;
    case DirectoryMessageKind::Answer:
        detail::takeAnswer(directory, from, peer, message.answer, now, effects);
        break;
    case DirectoryMessageKind::Load:
        detail::takeLoad(directory, from, peer, message.load, now, effects);
        break;
    case DirectoryMessageKind::Gone:
        detail::takeGone(directory, from, message.gone);
        break;
    case DirectoryMessageKind::Copy:
        detail::takeCopy(directory, from, message.copy, now, effects);
        break;
    }
}

} // namespace oriolelever
