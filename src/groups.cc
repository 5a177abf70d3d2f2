#include "oriolelever/groups.h"

#include <algorithm>

namespace oriolelever {

namespace {

constexpr int zoneBits = 16; // High bits of a label, the same for all members of a zone.
constexpr std::size_t maxDepth = 32; // Label bits in the name of a group.

// Returns the members that share with `label` the bits of the zone and the next `depth` bits.
std::vector<Member> membersWithPrefix(std::span<const Member> members, std::uint64_t label, std::size_t depth)
{
    const int shift = 64 - zoneBits - static_cast<int>(depth);
    std::vector<Member> result;
    for (const auto &member : members) {
        if (member.label >> shift == label >> shift) {
            result.push_back(member);
        }
    }
    return result;
}

std::string groupName(const std::string &zone, std::uint64_t label, std::size_t depth)
{
    if (depth == 0) {
        return zone;
    }
    std::string name = zone + ".";
    for (std::size_t i = 0; i < depth; ++i) {
        name += (label >> (63 - zoneBits - static_cast<int>(i)) & 1) != 0 ? '1' : '0';
    }
    return name;
}

} // namespace

Group groupOf(std::span<const Member> members, const std::string &zone, const std::string &self,
              std::size_t &depth)
{
    const auto label = labelOf(zone, self);
    auto range = membersWithPrefix(members, label, depth);
    while (depth > 0) {
        auto merged = membersWithPrefix(members, label, depth - 1);
        if (merged.size() > maxMergedGroupSize) {
            break;
        }
        range = std::move(merged);
        --depth;
    }
    while (range.size() > maxGroupSize && depth < maxDepth) {
        ++depth;
        range = membersWithPrefix(range, label, depth);
    }
    return {groupName(zone, label, depth), std::move(range)};
}

Object encodeGroup(const GroupObject &group)
{
    Object object{.kind = "group", .name = group.name, .version = group.version};
    auto members = nlohmann::json::array();
    for (const auto &member : group.members) {
        members.push_back({{"name", member.name},
                           {"control", toString(member.control)},
                           {"label", member.label},
                           {"incarnation", member.incarnation}});
    }
    object.value = {{"holder", group.leaseHolder},
                    {"incarnation", group.leaseHolderIncarnation},
                    {"members", std::move(members)}};
    return object;
}

Result<GroupObject> decodeGroup(const Object &object)
{
    GroupObject group{.name = object.name, .version = object.version};
    try {
        group.leaseHolder = object.value.at("holder").get<std::string>();
        group.leaseHolderIncarnation = object.value.at("incarnation").get<Incarnation>();
        for (const auto &entry : object.value.at("members")) {
            Member member{.label = entry.at("label").get<std::uint64_t>(),
                          .name = entry.at("name").get<std::string>(),
                          .incarnation = entry.at("incarnation").get<Incarnation>()};
            if (!parseEndpoint(entry.at("control").get<std::string>(), member.control)) {
                return fail(Code::MessageMalformed,
                            "group \"" + object.name
                                + "\" has a malformed control address; ADDRESS:PORT is allowed");
            }
            group.members.push_back(std::move(member));
        }
    } catch (const nlohmann::json::exception &error) {
        return fail(Code::MessageMalformed, "group \"" + object.name + "\": " + error.what());
    }
    return group;
}

bool holdsLease(const Lease &lease, const std::string &self, Incarnation incarnation)
{
    return lease.stored && lease.stored->version > 0 && lease.stored->leaseHolder == self
        && lease.stored->leaseHolderIncarnation == incarnation;
}

LeaseAction nextLeaseStep(const Lease &lease, const Group &group, const std::string &self,
                          Incarnation incarnation, const LeaseOptions &options, TimePoint now)
{
    const bool isCurrentGroup = lease.stored && lease.stored->name == group.name;
    const bool isAnyLeaseHeld = holdsLease(lease, self, incarnation);
    if (isAnyLeaseHeld && !isCurrentGroup) {
        return {.step = LeaseStep::Remove, .object = *lease.stored};
    }
    const bool isHolder = isAnyLeaseHeld && isCurrentGroup;
    const bool isFirstMember = !group.members.empty() && group.members.front().name == self;
    if (!isHolder && !isFirstMember) {
        return {};
    }
    const bool wasRead = lease.lastReadAt != TimePoint{};
    if (!isCurrentGroup && wasRead && now - lease.lastReadAt < options.retryInterval) {
        return {};
    }
    if (!isCurrentGroup || (!isHolder && now - lease.lastReadAt >= options.readInterval)) {
        return {.step = LeaseStep::Read, .object = {.name = group.name}};
    }
    const bool isHolderLive
        = std::any_of(group.members.begin(), group.members.end(), [&](const Member &member) {
              return member.name == lease.stored->leaseHolder
                  && member.incarnation == lease.stored->leaseHolderIncarnation;
          });
    const bool isOutdated = isHolder ? lease.stored->members != group.members : !isHolderLive;
    const bool mayWrite
        = lease.lastWriteAt == TimePoint{} || now - lease.lastWriteAt >= options.writeInterval;
    if (!isOutdated || !mayWrite) {
        return {};
    }
    return {.step = LeaseStep::Write,
            .object = {.name = group.name,
                       .leaseHolder = self,
                       .leaseHolderIncarnation = incarnation,
                       .members = group.members,
                       .version = lease.stored->version}};
}

} // namespace oriolelever
