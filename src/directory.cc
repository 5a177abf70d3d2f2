#include "oriolelever/directory.h"

#include "directory-detail.h"

namespace oriolelever {

namespace detail {

const RouteServer *findReachablePeer(const Directory &directory, ServerId id)
{
    if (!directory.route || id == directory.options.self) {
        return nullptr;
    }
    const auto *const server = findServer(*directory.route, id);
    return server != nullptr && server->reachable() ? server : nullptr;
}

const RouteServer *findOwnServer(const Directory &directory)
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

bool hasAllGrants(const Directory &directory, BucketIndex bucket)
{
    return directory.hasRoster && directory.missingGrants[bucket] == 0;
}

BucketIndex bucketOfCaller(const Directory &directory, const Endpoint &caller)
{
    const auto &route = *directory.route;
    const FlowKey key{.caller = caller, .service = route.address, .protocol = route.protocol};
    return bucketOf(hashFlow(key), route.owners.size());
}

void uncountLocalFlow(Directory &directory, const FlowEntry &entry)
{
    if (entry.holder == directory.options.self && !entry.closing) {
        --directory.localFlows;
    }
}

bool hasEnded(const Directory &directory, const FlowEntry &entry)
{
    return entry.closing && directory.route->protocol != Protocol::Udp;
}

void recordFlow(Directory &directory, const Endpoint &caller, ServerId holder, bool confirmed, TimePoint now)
{
    const auto self = directory.options.self;
    auto &entry = directory.flows[caller];
    const bool isNew = !entry.holder;
    if (!isNew && entry.holder == self && holder != self) {
        return;
    }
    if (!isNew && entry.confirmed && !confirmed && holder != self) {
        return;
    }
    if (!isNew) {
        uncountLocalFlow(directory, entry);
    }
    entry = {.holder = holder,
             .lastSeen = now,
             .bucket = bucketOfCaller(directory, caller),
             .confirmed = confirmed};
    if (holder == self) {
        ++directory.localFlows;
    }
}

void removeFlow(Directory &directory, const Endpoint &caller)
{
    const auto known = directory.flows.find(caller);
    if (known == directory.flows.end()) {
        return;
    }
    uncountLocalFlow(directory, known->second);
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
    isSenderStale = false;
    released.clear();
    messages.clear();
}

Directory makeDirectory(const DirectoryOptions &options, TimePoint now)
{
    Directory directory;
    directory.options = options;
    directory.random.seed(options.seed ^ options.self.value ^ options.incarnation);
    directory.startedAt = now;
    directory.lastTickAt = now;
    directory.loadSentAt = now;
    directory.lastExpiryAt = now;
    directory.slowStart.updatedAt = now;
    directory.recovering = options.serverMayHaveFlows;
    directory.slowStart.warmFraction = options.warm ? 1.0 : SlowStart::coldFraction;
    directory.flowRateLimit.refilledAt = now;
    return directory;
}

void recordLocalAnswer(Directory &directory, const AnswerSample &sample, TimePoint now)
{
    recordAnswer(directory.slowStart, sample, now);
}

void handleLocalClose(Directory &directory, const FlowKey &flow, TimePoint now)
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
    directory.replication.queued.push_back({.caller = flow.caller, .ended = true});
    if (directory.route && !detail::ownsBucket(directory, known->second.bucket)) {
        directory.closedPeerFlows.push_back(flow.caller);
    }
}

bool canPlace(const Directory &directory, BucketIndex bucket)
{
    return detail::ownsBucket(directory, bucket) && detail::hasAllGrants(directory, bucket);
}

std::uint32_t localFlowLimit(const Directory &directory)
{
    const auto *const own = detail::findOwnServer(directory);
    if (own == nullptr || !own->acceptsNewFlows()) {
        return 0;
    }
    return static_cast<std::uint32_t>(own->connectionLimit * directory.slowStart.warmFraction);
}

std::size_t stateBytes(const Directory &directory)
{
    // Each entry of a hash table is stored with a link and a cached hash, and the table has an array of
    // pointers.
    constexpr std::size_t linkBytes = 2 * sizeof(void *);
    const auto tableBytes = [](const auto &table) {
        using Entry = typename std::decay_t<decltype(table)>::value_type;
        return table.size() * (sizeof(Entry) + linkBytes) + table.bucket_count() * sizeof(void *);
    };
    std::size_t bytes = sizeof(Directory) + tableBytes(directory.flows) + tableBytes(directory.peers);
    for (const auto &[id, peer] : directory.peers) {
        bytes += peer.granted.size() / 8 + tableBytes(peer.pendingGrants);
    }
    return bytes;
}

} // namespace oriolelever
