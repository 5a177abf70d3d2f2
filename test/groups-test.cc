#include "oriolelever/groups.h"

#include <algorithm>
#include <random>
#include <set>

#include <gtest/gtest.h>

using namespace oriolelever;
using namespace std::chrono_literals;

namespace {

std::vector<Member> makeMembers(std::size_t count, std::size_t zones)
{
    std::vector<Member> members;
    for (std::size_t i = 0; i < count; ++i) {
        const auto name = "n" + std::to_string(i);
        Member member{
            .label = labelOf("z" + std::to_string(i % zones), name), .name = name, .incarnation = 1};
        member.control.port = static_cast<std::uint16_t>(i + 1);
        members.push_back(member);
    }
    std::sort(members.begin(), members.end());
    return members;
}

std::string zoneOf(const Member &member, std::size_t zones)
{
    return "z" + std::to_string(std::stoul(member.name.substr(1)) % zones);
}

// One object of the platform, written only if the version matches.
struct Store
{
    GroupObject object;

    bool write(const GroupObject &intended)
    {
        if (intended.version != object.version) {
            return false;
        }
        object = intended;
        ++object.version;
        return true;
    }
};

struct Candidate
{
    Member member;
    Lease lease;
    Group view;
    std::optional<LeaseAction> delayed; ///< A write that was decided on but has not reached the store.
};

bool isHolderByVersion(const Candidate &candidate, const Store &store)
{
    return holdsLease(candidate.lease, candidate.member.name, candidate.member.incarnation)
        && candidate.lease.stored->version == store.object.version;
}

} // namespace

TEST(GroupsTest, EveryMemberIsInOneGroupOfBoundedSize)
{
    constexpr std::size_t zones = 3;
    for (const std::size_t count : {1U, 3U, 32U, 33U, 500U, 3000U}) {
        const auto members = makeMembers(count, zones);
        std::map<std::string, std::set<std::string>> groups;
        for (const auto &member : members) {
            std::size_t depth = 0;
            const auto group = groupOf(members, zoneOf(member, zones), member.name, depth);
            EXPECT_LE(group.members.size(), maxGroupSize);
            EXPECT_TRUE(std::find(group.members.begin(), group.members.end(), member) != group.members.end());
            groups[group.name].insert(member.name);
            EXPECT_LE(groups[group.name].size(), group.members.size());
        }
        std::size_t total = 0;
        for (const auto &[name, names] : groups) {
            total += names.size();
        }
        EXPECT_EQ(total, count);
    }
}

TEST(GroupsTest, SplitAndMergeHaveHysteresis)
{
    std::size_t depth = 0;
    auto members = makeMembers(33, 1);
    groupOf(members, "z0", "n0", depth);
    EXPECT_EQ(depth, 1U);
    members.resize(30);
    const auto &self = members.front().name;
    groupOf(members, "z0", self, depth);
    EXPECT_EQ(depth, 1U);
    members.resize(maxMergedGroupSize);
    EXPECT_EQ(groupOf(members, "z0", self, depth).members.size(), maxMergedGroupSize);
    EXPECT_EQ(depth, 0U);
}

TEST(GroupsTest, ObjectSurvivesEncoding)
{
    const GroupObject group{.name = "z0.1",
                            .leaseHolder = "n1",
                            .leaseHolderIncarnation = 4,
                            .members = makeMembers(5, 1),
                            .version = 3};
    const auto decoded = decodeGroup(encodeGroup(group));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value(), group);
}

TEST(GroupsTest, HolderResumedAfterAPauseOverwritesNothing)
{
    const Group group{"z0", makeMembers(3, 1)};
    const auto &first = group.members[0];
    const auto &second = group.members[1];
    Store store;
    const TimePoint start{1h};
    Lease old{.stored = GroupObject{.name = "z0"}, .lastReadAt = start};
    const auto firstWrite = nextLeaseStep(old, group, first.name, 1, {}, start);
    ASSERT_EQ(firstWrite.step, LeaseStep::Write);
    ASSERT_TRUE(store.write(firstWrite.object));
    old.stored = store.object;

    // While the first member is paused, the others remove it from the group and the second acquires the
    // lease.
    const Group without{"z0", {group.members[1], group.members[2]}};
    Lease other{.stored = store.object, .lastReadAt = start};
    const auto secondWrite = nextLeaseStep(other, without, second.name, 1, {}, start + 10s);
    ASSERT_EQ(secondWrite.step, LeaseStep::Write);
    ASSERT_TRUE(store.write(secondWrite.object));
    const auto before = store.object;

    // The first member resumes with an outdated view of the group and tries to write a change.
    Group stale = group;
    stale.members.pop_back();
    const auto staleWrite = nextLeaseStep(old, stale, first.name, 1, {}, start + 20s);
    ASSERT_EQ(staleWrite.step, LeaseStep::Write);
    EXPECT_FALSE(store.write(staleWrite.object));
    EXPECT_EQ(store.object, before);
}

TEST(GroupsTest, NeverTwoHoldersOfTheCurrentVersion)
{
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        const auto members = makeMembers(5, 1);
        Store store;
        store.object.name = "z0";
        std::vector<Candidate> candidates;
        for (const auto &member : members) {
            candidates.push_back({.member = member, .view = {"z0", members}});
        }
        TimePoint now{1h};
        std::size_t writes = 0;
        std::size_t rejected = 0;
        for (int step = 0; step < 2000; ++step) {
            now += std::chrono::milliseconds(random() % 5000);
            auto &candidate = candidates[random() % candidates.size()];
            // Each view lacks some members, but never its own node.
            candidate.view.members.clear();
            for (const auto &member : members) {
                if (member.name == candidate.member.name || random() % 4 != 0) {
                    candidate.view.members.push_back(member);
                }
            }
            if (!candidate.delayed) {
                const auto action
                    = nextLeaseStep(candidate.lease, candidate.view, candidate.member.name, 1, {}, now);
                if (action.step == LeaseStep::Read) {
                    candidate.lease.lastReadAt = now;
                    candidate.lease.stored = store.object;
                } else if (action.step == LeaseStep::Write) {
                    candidate.delayed = action;
                }
                continue;
            }
            const auto action = *std::exchange(candidate.delayed, std::nullopt);
            candidate.lease.lastWriteAt = now;
            const bool written = store.write(action.object);
            const bool answerLost = random() % 8 == 0;
            writes += written ? 1 : 0;
            rejected += written ? 0 : 1;
            if (written && !answerLost) {
                candidate.lease.stored = store.object;
            } else {
                candidate.lease.stored.reset();
            }
            const auto holders
                = std::count_if(candidates.begin(), candidates.end(),
                                [&](const Candidate &other) { return isHolderByVersion(other, store); });
            ASSERT_LE(holders, 1);
        }
        EXPECT_GT(writes, 10U);
        EXPECT_GT(rejected, 0U);
    }
}

TEST(GroupsTest, UnchangedGroupReadsOncePerInterval)
{
    const Group group{"z0", makeMembers(3, 1)};
    Lease lease{.stored = GroupObject{.name = "z0",
                                      .leaseHolder = group.members[1].name,
                                      .leaseHolderIncarnation = 1,
                                      .members = group.members,
                                      .version = 4}};
    const TimePoint start{1h};
    lease.lastReadAt = start;
    std::size_t reads = 0;
    for (int second = 0; second < 300; ++second) {
        const auto now = start + std::chrono::seconds(second);
        for (const auto &member : group.members) {
            const auto step = nextLeaseStep(lease, group, member.name, 1, {}, now).step;
            ASSERT_NE(step, LeaseStep::Write);
            if (step == LeaseStep::Read) {
                lease.lastReadAt = now;
                ++reads;
            }
        }
    }
    EXPECT_EQ(reads, 9U);
}
