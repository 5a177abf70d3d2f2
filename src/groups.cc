#include "oriolelever/groups.h"

#include <algorithm>

namespace oriolelever {

namespace {

constexpr int zoneBits = 16;
constexpr std::size_t maxDepth = 32;

// Members of the zone that share the first `depth` bits after the zone's part of the label.
std::vector<Member> membersAt(std::span<const Member> members, std::uint64_t label, std::size_t depth)
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
    auto range = membersAt(members, label, depth);
    while (depth > 0) {
        auto joined = membersAt(members, label, depth - 1);
        if (joined.size() > mergedGroupSize) {
            break;
        }
        range = std::move(joined);
        --depth;
    }
    while (range.size() > maxGroupSize && depth < maxDepth) {
        ++depth;
        range = membersAt(range, label, depth);
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
    object.value = {
        {"holder", group.holder}, {"incarnation", group.holderIncarnation}, {"members", std::move(members)}};
    return object;
}

Result<GroupObject> decodeGroup(const Object &object)
{
    GroupObject group{.name = object.name, .version = object.version};
    try {
        group.holder = object.value.at("holder").get<std::string>();
        group.holderIncarnation = object.value.at("incarnation").get<Incarnation>();
        for (const auto &entry : object.value.at("members")) {
            Member member{.label = entry.at("label").get<std::uint64_t>(),
                          .name = entry.at("name").get<std::string>(),
                          .incarnation = entry.at("incarnation").get<Incarnation>()};
            if (!parseEndpoint(entry.at("control").get<std::string>(), member.control)) {
                return fail(Code::MessageMalformed, "group \"" + object.name + "\" has a malformed address");
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
    return lease.stored && lease.stored->version > 0 && lease.stored->holder == self
        && lease.stored->holderIncarnation == incarnation;
}

LeaseAction nextLeaseStep(const Lease &lease, const Group &group, const std::string &self,
                          Incarnation incarnation, const LeaseOptions &options, TimePoint now)
{
    const bool known = lease.stored && lease.stored->name == group.name;
    const bool anyHeld = holdsLease(lease, self, incarnation);
    if (anyHeld && !known) {
        return {.step = LeaseStep::Remove, .object = *lease.stored};
    }
    const bool holder = anyHeld && known;
    const bool first = !group.members.empty() && group.members.front().name == self;
    if (!holder && !first) {
        return {};
    }
    const bool read = lease.lastRead != TimePoint{};
    if (!known && read && now - lease.lastRead < options.retryInterval) {
        return {};
    }
    if (!known || (!holder && now - lease.lastRead >= options.readInterval)) {
        return {.step = LeaseStep::Read, .object = {.name = group.name}};
    }
    const bool holderLive
        = std::any_of(group.members.begin(), group.members.end(), [&](const Member &member) {
              return member.name == lease.stored->holder
                  && member.incarnation == lease.stored->holderIncarnation;
          });
    const bool changed = holder ? lease.stored->members != group.members : !holderLive;
    const bool spaced = lease.lastWrite == TimePoint{} || now - lease.lastWrite >= options.writeInterval;
    if (!changed || !spaced) {
        return {};
    }
    return {.step = LeaseStep::Write,
            .object = {.name = group.name,
                       .holder = self,
                       .holderIncarnation = incarnation,
                       .members = group.members,
                       .version = lease.stored->version}};
}

} // namespace oriolelever
