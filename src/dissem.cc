#include "oriolelever/dissem.h"

#include <algorithm>
#include <bit>

#include <xxhash.h>

namespace oriolelever {

namespace {

constexpr int zoneBits = 16; // High bits of a label, from the hash of the zone.

std::size_t leafOf(std::uint64_t key)
{
    return key % digestLeaves;
}

template<typename Entries>
RecordVersion versionIn(const Entries &entries, const std::string &name)
{
    const auto entry = entries.find(name);
    return entry == entries.end() ? RecordVersion{} : entry->second.version;
}

RecordVersion liveVersion(const ClusterView &view, RecordKind kind, const std::string &name)
{
    switch (kind) {
    case RecordKind::Service:
        return versionIn(view.services, name);
    case RecordKind::Zone:
        return versionIn(view.zones, name);
    case RecordKind::Server:
        return versionIn(view.serverRows, name);
    case RecordKind::Node:
        return versionIn(view.nodes, name);
    }
    return {};
}

std::string encodedValue(const ClusterView &view, RecordKind kind, const std::string &name)
{
    switch (kind) {
    case RecordKind::Service:
        return encodeServiceRow(view.services.at(name).row);
    case RecordKind::Zone:
        return encodeZoneRow(view.zones.at(name).row);
    case RecordKind::Server:
        return encodeServerRow(view.serverRows.at(name).row);
    case RecordKind::Node:
        return encodeAnnouncement(view.nodes.at(name).announcement);
    }
    return {};
}

const std::string *keyOf(const ClusterView &view, RecordKind kind, const std::string &name)
{
    switch (kind) {
    case RecordKind::Service:
        return &view.services.find(name)->first;
    case RecordKind::Zone:
        return &view.zones.find(name)->first;
    case RecordKind::Server:
        return &view.serverRows.find(name)->first;
    case RecordKind::Node:
        return &view.nodes.find(name)->first;
    }
    return nullptr;
}

bool isLiveMember(const Announcement &announcement)
{
    return announcement.role == NodeRole::Balancer && announcement.state != NodeState::Down;
}

Member memberOf(const Announcement &announcement)
{
    return {labelOf(announcement.zone, announcement.name), announcement.name, announcement.control,
            announcement.incarnation};
}

} // namespace

std::uint64_t hashKey(const RecordKey &key)
{
    return XXH3_64bits_withSeed(key.name.data(), key.name.size(), static_cast<XXH64_hash_t>(key.kind));
}

std::uint64_t hashVersion(std::uint64_t key, const RecordVersion &version)
{
    const std::array<std::uint64_t, 3> words = {key, version.epoch, version.sequence};
    return XXH3_64bits(words.data(), sizeof(words));
}

// Announcements have even sequences and accusations odd ones.
RecordVersion nextAnnouncementVersion(const RecordVersion &seen, Incarnation incarnation)
{
    if (seen.epoch < incarnation) {
        return {incarnation, 2};
    }
    return {seen.epoch, (seen.sequence / 2 + 1) * 2};
}

RecordVersion accusationVersion(const RecordVersion &seen)
{
    return {seen.epoch, seen.sequence / 2 * 2 + 1};
}

Record makeAccusation(const ClusterView::NodeEntry &entry)
{
    auto announcement = entry.announcement;
    announcement.state = NodeState::Down;
    return {.key = {RecordKind::Node, announcement.name},
            .version = accusationVersion(entry.version),
            .value = encodeAnnouncement(announcement)};
}

RecordTable::RecordTable()
    : m_branches(digestBranches)
    , m_leaves(digestLeaves)
{
}

void RecordTable::toggleDigest(std::uint64_t key, const RecordVersion &version)
{
    const auto hash = hashVersion(key, version);
    const auto leaf = leafOf(key);
    m_root ^= hash;
    m_branches[leaf / leavesPerBranch] ^= hash;
    m_leaves[leaf] ^= hash;
}

const RecordTable::Slot *RecordTable::slot(std::uint64_t key) const
{
    const auto leaf = m_slots.find(leafOf(key));
    if (leaf == m_slots.end()) {
        return nullptr;
    }
    const auto &slots = leaf->second;
    const auto found
        = std::find_if(slots.begin(), slots.end(), [&](const Slot &slot) { return slot.key == key; });
    return found == slots.end() ? nullptr : &*found;
}

RecordVersion RecordTable::slotVersion(const Slot &slot) const
{
    if (slot.deleted) {
        return m_tombstones.at({slot.kind, *slot.name});
    }
    return liveVersion(m_view, slot.kind, *slot.name);
}

Record RecordTable::toRecord(const Slot &slot) const
{
    Record record{.key = {slot.kind, *slot.name}, .version = slotVersion(slot), .deleted = slot.deleted};
    if (!slot.deleted) {
        record.value = encodedValue(m_view, slot.kind, *slot.name);
    }
    return record;
}

// Adds the slot of `record`, or replaces that of the record's earlier version. The slot points at the name in
// the tombstones or in the view's maps, whose keys do not move. So `apply` adds a tombstone before the call,
// and erases one only after it, when no slot points at its name any more.
void RecordTable::updateSlot(const Record &record, std::uint64_t key)
{
    const auto *name = record.deleted ? &m_tombstones.find(record.key)->first.name
                                      : keyOf(m_view, record.key.kind, record.key.name);
    const Slot updated{.key = key, .name = name, .kind = record.key.kind, .deleted = record.deleted};
    auto &slots = m_slots[leafOf(key)];
    const auto found
        = std::find_if(slots.begin(), slots.end(), [&](const Slot &slot) { return slot.key == key; });
    if (found != slots.end()) {
        *found = updated;
        return;
    }
    slots.push_back(updated);
    ++m_size;
}

Result<bool> RecordTable::apply(const Record &record)
{
    if (record.key.kind == RecordKind::Node && record.deleted) {
        return fail(Code::MessageMalformed,
                    "node \"" + record.key.name + "\" cannot be deleted; only configuration rows can");
    }
    const auto key = hashKey(record.key);
    const auto *const before = slot(key);
    const auto previous = before == nullptr ? RecordVersion{} : slotVersion(*before);
    const bool isKnown = before != nullptr;
    BOOST_LEAF_AUTO(applied, applyRecord(m_view, record));
    if (!applied) {
        return false;
    }
    if (isKnown) {
        toggleDigest(key, previous);
    }
    toggleDigest(key, record.version);
    if (record.deleted) {
        m_tombstones[record.key] = record.version;
    }
    updateSlot(record, key);
    if (!record.deleted) {
        m_tombstones.erase(record.key);
    }
    if (record.key.kind == RecordKind::Node && !record.deleted) {
        addToServiceIndex(record.key.name);
    }
    return true;
}

// Nodes are never removed from the index: `nodesOfService` skips those that have left the service.
void RecordTable::addToServiceIndex(const std::string &name)
{
    const auto entry = m_view.nodes.find(name);
    const auto &service = entry->second.announcement.service;
    if (service.empty()) {
        return;
    }
    auto &names = m_nodesByService[hashName(service)];
    if (std::find(names.begin(), names.end(), &entry->first) == names.end()) {
        names.push_back(&entry->first);
    }
}

std::vector<std::string> RecordTable::nodesOfService(const std::string &service) const
{
    std::vector<std::string> result;
    const auto names = m_nodesByService.find(hashName(service));
    if (names == m_nodesByService.end()) {
        return result;
    }
    for (const auto *name : names->second) {
        if (m_view.nodes.at(*name).announcement.service == service) {
            result.push_back(*name);
        }
    }
    return result;
}

std::optional<Record> RecordTable::find(std::uint64_t key) const
{
    const auto *const found = slot(key);
    if (found == nullptr) {
        return std::nullopt;
    }
    return toRecord(*found);
}

std::optional<Record> RecordTable::find(const RecordKey &key) const
{
    return find(hashKey(key));
}

std::optional<RecordVersion> RecordTable::version(const RecordKey &key) const
{
    const auto *const found = slot(hashKey(key));
    if (found == nullptr) {
        return std::nullopt;
    }
    return slotVersion(*found);
}

std::span<const std::uint64_t> RecordTable::leaves(std::size_t branch) const
{
    return std::span(m_leaves).subspan(branch * leavesPerBranch, leavesPerBranch);
}

std::vector<RecordTable::Entry> RecordTable::entries(std::size_t leaf) const
{
    std::vector<Entry> result;
    const auto slots = m_slots.find(leaf);
    if (slots == m_slots.end()) {
        return result;
    }
    for (const auto &slot : slots->second) {
        result.push_back({slot.key, slotVersion(slot)});
    }
    return result;
}

std::vector<Record> expandLoss(const ClusterView &view, const ZoneLoss &loss)
{
    std::vector<Record> accusations;
    for (const auto &[name, entry] : view.nodes) {
        const bool isLost
            = entry.announcement.zone == loss.zone && entry.announcement.state != NodeState::Down;
        if (!isLost || std::find(loss.alive.begin(), loss.alive.end(), name) != loss.alive.end()) {
            continue;
        }
        accusations.push_back(makeAccusation(entry));
    }
    return accusations;
}

bool concernsService(const ClusterView &view, const Record &record, const std::string &service)
{
    switch (record.key.kind) {
    case RecordKind::Zone:
        return true;
    case RecordKind::Service:
        return record.key.name == service;
    case RecordKind::Server:
    case RecordKind::Node: {
        const auto node = view.nodes.find(record.key.name);
        return node != view.nodes.end() && node->second.announcement.service == service;
    }
    }
    return false;
}

std::vector<Record> recordsForService(const RecordTable &table, const std::string &service)
{
    const auto &view = table.view();
    std::vector<Record> records;
    const auto add = [&](RecordKind kind, const std::string &name) {
        if (auto record = table.find(RecordKey{kind, name})) {
            records.push_back(std::move(*record));
        }
    };
    add(RecordKind::Service, service);
    for (const auto &[name, entry] : view.zones) {
        add(RecordKind::Zone, name);
    }
    for (const auto &[key, version] : table.tombstones()) {
        if (key.kind == RecordKind::Zone) {
            add(key.kind, key.name);
        }
    }
    for (const auto &name : table.nodesOfService(service)) {
        add(RecordKind::Node, name);
        add(RecordKind::Server, name);
    }
    return records;
}

std::uint64_t digestOf(std::span<const Record> records)
{
    std::uint64_t digest = 0;
    for (const auto &record : records) {
        digest ^= hashVersion(hashKey(record.key), record.version);
    }
    return digest;
}

std::uint64_t labelOf(const std::string &zone, const std::string &name)
{
    const auto high = hashName(zone) >> (64 - zoneBits) << (64 - zoneBits);
    return high | (hashName(name) >> zoneBits);
}

std::vector<Member> liveMembers(const ClusterView &view)
{
    std::vector<Member> members;
    for (const auto &[name, entry] : view.nodes) {
        if (isLiveMember(entry.announcement)) {
            members.push_back(memberOf(entry.announcement));
        }
    }
    std::sort(members.begin(), members.end());
    return members;
}

void updateMember(std::vector<Member> &members, const ClusterView &view, const std::string &name)
{
    std::erase_if(members, [&](const Member &member) { return member.name == name; });
    const auto entry = view.nodes.find(name);
    if (entry == view.nodes.end() || !isLiveMember(entry->second.announcement)) {
        return;
    }
    auto member = memberOf(entry->second.announcement);
    members.insert(std::lower_bound(members.begin(), members.end(), member), std::move(member));
}

std::vector<std::size_t> assignedMembers(std::size_t members, const std::string &agent, std::size_t count)
{
    std::vector<std::size_t> assigned;
    if (members <= count) {
        for (std::size_t i = 0; i < members; ++i) {
            assigned.push_back(i);
        }
        return assigned;
    }
    for (std::uint64_t seed = 0; assigned.size() < count; ++seed) {
        const auto index = XXH3_64bits_withSeed(agent.data(), agent.size(), seed) % members;
        if (std::find(assigned.begin(), assigned.end(), index) == assigned.end()) {
            assigned.push_back(index);
        }
    }
    return assigned;
}

bool isPlatformWatcher(std::span<const Member> members, const std::string &zone, const std::string &name,
                       std::size_t watchersPerZone)
{
    const auto own = labelOf(zone, name);
    const auto zoneFirst = own >> (64 - zoneBits) << (64 - zoneBits);
    const auto first
        = std::lower_bound(members.begin(), members.end(), zoneFirst,
                           [](const Member &member, std::uint64_t label) { return member.label < label; });
    const auto self
        = std::lower_bound(first, members.end(), own,
                           [](const Member &member, std::uint64_t label) { return member.label < label; });
    return static_cast<std::size_t>(self - first) < watchersPerZone;
}

std::vector<HypercubeEdge> hypercubeEdges(std::span<const std::uint64_t> labels, std::uint64_t own,
                                          unsigned depth)
{
    std::vector<HypercubeEdge> edges;
    if (labels.size() <= fullMeshLimit) {
        for (std::size_t i = 0; i < labels.size() && depth == 0; ++i) {
            if (labels[i] != own) {
                edges.push_back({.nearest = i, .first = i, .last = i + 1, .receiverDepth = labelBits});
            }
        }
        return edges;
    }
    // Index of the first label in [first, last) that has the bit of `mask`.
    const auto splitAt = [&](std::size_t first, std::size_t last, std::uint64_t mask) {
        const auto begin = labels.begin() + static_cast<std::ptrdiff_t>(first);
        const auto end = labels.begin() + static_cast<std::ptrdiff_t>(last);
        const auto split
            = std::partition_point(begin, end, [&](std::uint64_t label) { return (label & mask) == 0; });
        return static_cast<std::size_t>(split - labels.begin());
    };
    // [first, last) shares its first bits with `own`. Each dimension halves it; the half without `own` is an
    // edge.
    std::size_t first = 0;
    std::size_t last = labels.size();
    for (unsigned dimension = 0; dimension < labelBits && last > first; ++dimension) {
        const auto mask = std::uint64_t{1} << (labelBits - 1 - dimension);
        const auto split = splitAt(first, last, mask);
        const bool upper = (own & mask) != 0;
        HypercubeEdge edge{.first = upper ? first : split,
                           .last = upper ? split : last,
                           .dimension = dimension,
                           .receiverDepth = dimension + 1};
        (upper ? first : last) = split;
        if (edge.first == edge.last || dimension < depth) {
            continue;
        }
        // Narrows the edge to the member that agrees with `own` in the next bits, where there is one.
        auto nearFirst = edge.first;
        auto nearLast = edge.last;
        for (auto low = mask >> 1; low != 0 && nearLast - nearFirst > 1; low >>= 1) {
            const auto middle = splitAt(nearFirst, nearLast, low);
            const bool isUpper = (own & low) != 0 ? middle != nearLast : middle == nearFirst;
            (isUpper ? nearFirst : nearLast) = middle;
        }
        edge.nearest = nearFirst;
        edges.push_back(edge);
    }
    return edges;
}

std::vector<std::size_t> hypercubeNeighbours(std::span<const std::uint64_t> labels, std::size_t self)
{
    std::vector<std::size_t> neighbours;
    for (const auto &edge : hypercubeEdges(labels, labels[self])) {
        neighbours.push_back(edge.nearest);
    }
    return neighbours;
}

DimensionRange claimDimensions(ForwardedChanges &forwarded, std::uint64_t change, unsigned depth,
                               TimePoint now)
{
    // More entries than this cause old ones to be removed, to limit the memory.
    constexpr std::size_t purgeSize = 4096;
    if (forwarded.byChange.size() > purgeSize) {
        std::erase_if(forwarded.byChange, [&](const auto &entry) {
            return now - entry.second.updatedAt > std::chrono::minutes(1);
        });
    }
    auto &earlier
        = forwarded.byChange.try_emplace(change, ForwardedChanges::Forwarded{.updatedAt = now}).first->second;
    const DimensionRange range{.from = depth, .to = earlier.depth};
    earlier.depth = std::min(earlier.depth, depth);
    earlier.updatedAt = now;
    return range;
}

} // namespace oriolelever
