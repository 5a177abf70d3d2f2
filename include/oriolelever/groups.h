/// Groups of members of one zone and their lease in the platform. No I/O.
///
/// The platform has an object per group that lists its members. The member with the lease of the group
/// updates it.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "oriolelever/dissem.h"
#include "oriolelever/platform.h"

namespace oriolelever {

/// A group with more members is split by the next bit of the label.
constexpr std::size_t maxGroupSize = 32;
/// Two sibling groups are merged if they have at most this many members together.
constexpr std::size_t maxMergedGroupSize = 24;

struct Group
{
    std::string name; ///< "ZONE" or "ZONE.BITS"; stored in the platform as object `group/NAME`.
    std::vector<Member> members; ///< Ascending by label.
};

/// Returns the group of `self`. `depth` is the number of label bits of its previous group, 0 at first, and is
/// updated: it adds the hysteresis that keeps a group from being split and merged at every change around one
/// size. Every process derives groups from its own view; a difference is harmless, because writes are
/// conditional.
Group groupOf(std::span<const Member> members, const std::string &zone, const std::string &self,
              std::size_t &depth);

/// Object of a group in the platform: its members, through which nodes find each other without seeds, and the
/// node with the lease. Writes are conditional on the object's version, so a node that has lost the lease
/// cannot overwrite a later state.
struct GroupObject
{
    std::string name;
    std::string leaseHolder;
    Incarnation leaseHolderIncarnation = 0;
    std::vector<Member> members;
    std::uint64_t version = 0; ///< 0 if the object does not exist.

    bool operator==(const GroupObject &) const = default;
};

Object encodeGroup(const GroupObject &group);
/// Fails with `MessageMalformed`.
Result<GroupObject> decodeGroup(const Object &object);

/// State of the lease of a process's group, as known to this process.
struct Lease
{
    std::optional<GroupObject> stored; ///< As last read or written; none if unknown.
    TimePoint lastReadAt{}; ///< When the last read was started; zero if none.
    TimePoint lastWriteAt{}; ///< When the last write was started; zero if none.
};

struct LeaseOptions
{
    std::chrono::milliseconds readInterval{30000}; ///< Between reads by the group's first member.
    std::chrono::milliseconds retryInterval{5000}; ///< After a failed read or a lost lease.
    std::chrono::milliseconds writeInterval{2000}; ///< Between writes; changes within it share one write.
};

enum class LeaseStep {
    None,
    Read,
    Write,
    Remove, ///< The group of the lease was split or merged.
};

struct LeaseAction
{
    LeaseStep step = LeaseStep::None;
    GroupObject object; ///< To be read, written or removed; conditional on `object.version`.
};

/// Returns true if `self` has the lease according to the last known object.
bool holdsLease(const Lease &lease, const std::string &self, Incarnation incarnation);

/// Returns the next step of `self` in `group`. Only the node with the lease and the first member call the
/// platform. The first member acquires the lease if the node that has it is no live member of the group. A
/// write with an outdated version fails with a conflict, after which the object is read again.
LeaseAction nextLeaseStep(const Lease &lease, const Group &group, const std::string &self,
                          Incarnation incarnation, const LeaseOptions &options, TimePoint now);

} // namespace oriolelever
