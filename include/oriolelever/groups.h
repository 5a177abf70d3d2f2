/// Groups of members of one zone and their lease in the platform. No I/O.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "oriolelever/dissem.h"
#include "oriolelever/platform.h"

namespace oriolelever {

/// Largest group; a larger part of a zone is split by the next bit of the label.
constexpr std::size_t maxGroupSize = 32;
/// A group is joined with its sibling when both together have at most this many members.
constexpr std::size_t mergedGroupSize = 24;

struct Group
{
    std::string name; ///< "ZONE" or "ZONE.BITS"; the platform keeps it as object `group/NAME`.
    std::vector<Member> members; ///< Ascending by label.
};

/// The group of `self`. `depth` is how many bits its group had before (0 at first): it keeps groups from
/// splitting and joining at every change around one size. Every process derives groups from its own view;
/// a difference is harmless, because writes are conditional.
Group groupOf(std::span<const Member> members, const std::string &zone, const std::string &self,
              std::size_t &depth);

/// What the platform holds of a group: its members, so that nodes find each other without seeds, and the
/// lease's holder. The object's version fences the holder's writes.
struct GroupObject
{
    std::string name;
    std::string holder;
    Incarnation holderIncarnation = 0;
    std::vector<Member> members;
    std::uint64_t version = 0; ///< 0 if the object does not exist.

    bool operator==(const GroupObject &) const = default;
};

Object encodeGroup(const GroupObject &group);
/// Fails with `MessageMalformed`.
Result<GroupObject> decodeGroup(const Object &object);

/// What a process knows of its group's lease.
struct Lease
{
    std::optional<GroupObject> stored; ///< As last read or written; none before the first read.
    TimePoint lastRead{};
    TimePoint lastWrite{};
};

struct LeaseOptions
{
    std::chrono::milliseconds readInterval{30000}; ///< Between reads by the group's first member.
    std::chrono::milliseconds retryInterval{5000}; ///< After a failed read or a lost lease.
    std::chrono::milliseconds writeInterval{2000}; ///< Changes within this time are one write.
};

enum class LeaseStep {
    None,
    Read,
    Write,
    Remove, ///< The held group was split or joined with another.
};

struct LeaseAction
{
    LeaseStep step = LeaseStep::None;
    GroupObject object; ///< To be written if the stored version is `object.version`.
};

/// True when `self` is the holder by the version it knows.
bool holdsLease(const Lease &lease, const std::string &self, Incarnation incarnation);

/// The next step of `self` in `group`. Only the holder and the first live member ever call the platform; the
/// first takes the lease when the holder is not a live member of the group. Whoever holds an outdated version
/// gets a conflict and reads again.
LeaseAction nextLeaseStep(const Lease &lease, const Group &group, const std::string &self,
                          Incarnation incarnation, const LeaseOptions &options, TimePoint now);

} // namespace oriolelever
