#include "oriolelever/directory.h"

#include "directory-detail.h"

namespace oriolelever {

namespace detail {

const RouteServer *reachablePeer(const Directory &directory, ServerId id)
{
    if (!directory.route || id == directory.options.self) {
        return nullptr;
    }
    const auto *const server = findServer(*directory.route, id);
    return server != nullptr && server->reachable() ? server : nullptr;
}

const RouteServer *ownRecord(const Directory &directory)
{
    return directory.route ? findServer(*directory.route, directory.options.self) : nullptr;
}

bool ownsBucket(const Directory &directory, BucketIndex bucket)
{
    if (!directory.route) {
        return false;
    }
    const auto *const owner = ownerOf(*directory.route, bucket);
    return owner != nullptr && owner->id == directory.options.self;
}

bool holdsBucket(const Directory &directory, BucketIndex bucket)
{
    return directory.started && directory.missing[bucket] == 0;
}

BucketIndex flowBucket(const Directory &directory, const Endpoint &caller)
{
    const auto &route = *directory.route;
    const FlowKey key{.caller = caller, .service = route.address, .protocol = route.protocol};
    return bucketOf(hashFlow(key), route.owners.size());
}

void uncountFlow(Directory &directory, const FlowEntry &entry)
{
    if (entry.holder == directory.options.self && !entry.closing) {
        --directory.localFlows;
    }
}

bool hasEnded(const Directory &directory, const FlowEntry &entry)
{
    return entry.closing && directory.route->protocol != Protocol::Udp;
}

void putFlow(Directory &directory, const Endpoint &caller, ServerId holder, bool certain, TimePoint now)
{
    const auto self = directory.options.self;
    auto &entry = directory.flows[caller];
    const bool isNew = !entry.holder;
    if (!isNew && entry.holder == self && holder != self) {
        return;
    }
    if (!isNew && entry.certain && !certain && holder != self) {
        return;
    }
    if (!isNew) {
        uncountFlow(directory, entry);
    }
    entry = {.holder = holder, .lastSeen = now, .bucket = flowBucket(directory, caller), .certain = certain};
    if (holder == self) {
        ++directory.localFlows;
    }
}

void eraseFlow(Directory &directory, const Endpoint &caller)
{
    const auto known = directory.flows.find(caller);
    if (known == directory.flows.end()) {
        return;
    }
    uncountFlow(directory, known->second);
    directory.flows.erase(known);
}

} // namespace detail

std::string_view toString(DropReason reason)
{
    switch (reason) {
    case DropReason::None:
        return "none";
    case DropReason::WrongService:
        return "wrong-service";
    case DropReason::ZoneOut:
        return "zone-out";
    case DropReason::TooManyHops:
        return "too-many-hops";
    case DropReason::HoldFull:
        return "hold-full";
    case DropReason::HoldExpired:
        return "hold-expired";
    case DropReason::AwaitingHolder:
        return "awaiting-holder";
    case DropReason::Late:
        return "late";
    }
    return "unknown";
}

void Effects::clear()
{
    verdict = {};
    tellSender = false;
    released.clear();
    messages.clear();
}

Directory makeDirectory(const DirectoryOptions &options, TimePoint now)
{
    Directory directory;
    directory.options = options;
    directory.random.seed(options.seed ^ options.self.value ^ options.incarnation);
    directory.startedAt = now;
    directory.lastTick = now;
    directory.lastLoad = now;
    directory.lastSweep = now;
    directory.warmth.grownAt = now;
    directory.recovering = options.serverLivedOn;
    directory.warmth.share = options.warm ? 1.0 : Warmth::coldShare;
    directory.pace.filledAt = now;
    return directory;
}

void onAnswer(Directory &directory, const AnswerSample &sample, TimePoint now)
{
    noteAnswer(directory.warmth, sample, now);
}

void onLocalClose(Directory &directory, const FlowKey &flow, TimePoint now)
{
    const auto known = directory.flows.find(flow.caller);
    if (known == directory.flows.end() || known->second.holder != directory.options.self) {
        return;
    }
    if (known->second.closing) {
        return;
    }
    --directory.localFlows;
    known->second.closing = true;
    known->second.lastSeen = now;
    directory.copy.waiting.push_back({.caller = flow.caller, .ended = true});
    if (directory.route && !detail::ownsBucket(directory, known->second.bucket)) {
        directory.gone.push_back(flow.caller);
    }
}

bool mayPlace(const Directory &directory, BucketIndex bucket)
{
    return detail::ownsBucket(directory, bucket) && detail::holdsBucket(directory, bucket);
}

std::uint32_t localLimit(const Directory &directory)
{
    const auto *const own = detail::ownRecord(directory);
    if (own == nullptr || !own->takesFlows()) {
        return 0;
    }
    return static_cast<std::uint32_t>(own->connectionLimit * directory.warmth.share);
}

std::size_t stateBytes(const Directory &directory)
{
    // An entry of a hash table has a link and a cached hash beside it, and a pointer in the array of buckets.
    constexpr std::size_t linkBytes = 2 * sizeof(void *);
    const auto tableBytes = [](const auto &table) {
        using Entry = typename std::decay_t<decltype(table)>::value_type;
        return table.size() * (sizeof(Entry) + linkBytes) + table.bucket_count() * sizeof(void *);
    };
    std::size_t bytes = sizeof(Directory) + tableBytes(directory.flows) + tableBytes(directory.peers);
    for (const auto &[id, peer] : directory.peers) {
        bytes += peer.granted.size() / 8 + tableBytes(peer.asking);
    }
    return bytes;
}

} // namespace oriolelever
