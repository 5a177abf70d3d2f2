#include "oriolelever/claims.h"

#include <gtest/gtest.h>

using namespace oriolelever;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1000s};
const std::vector<Holder> members{{"a", 1}, {"b", 1}, {"c", 1}};

ClaimTable table(const Holder &self)
{
    ClaimTable made{.self = self, .startedAt = start};
    setMembers(made, members, start);
    return made;
}

ClaimRequest request(RequestId id, const std::vector<Holder> &holders)
{
    return {"key", {"a", 1, id}, holders, start + 1s};
}

std::vector<Holder> holders()
{
    return holdersOf(table({"a", 1}), "key");
}

ClaimRound round(std::chrono::milliseconds need)
{
    return {.need = {false, need}, .holders = holders()};
}

} // namespace

TEST(ClaimsTest, SecondSubmissionFindsTheFirst)
{
    auto holder = table({"b", 1});
    EXPECT_EQ(claim(holder, request(1, holders()), start).verdict, HolderVerdict::Granted);
    EXPECT_EQ(claim(holder, request(2, holders()), start).verdict, HolderVerdict::Running);
    settle(holder, "key", {"a", 1, 1}, ClaimEnd::Answered, {200, "text/plain", "ok"});
    const auto reply = claim(holder, request(3, holders()), start);
    EXPECT_EQ(reply.verdict, HolderVerdict::Answered);
    EXPECT_EQ(reply.answer.body, "ok");
}

TEST(ClaimsTest, ReleaseOfAnotherSubmissionIsIgnored)
{
    auto holder = table({"b", 1});
    claim(holder, request(1, holders()), start);
    settle(holder, "key", {"a", 1, 2}, ClaimEnd::Released, {});
    EXPECT_EQ(claim(holder, request(2, holders()), start).verdict, HolderVerdict::Running);
    settle(holder, "key", {"a", 1, 1}, ClaimEnd::Released, {});
    EXPECT_EQ(claim(holder, request(2, holders()), start).verdict, HolderVerdict::Granted);
}

TEST(ClaimsTest, ClaimWhoseOwnerIsSilentBecomesUnknown)
{
    auto holder = table({"b", 1});
    claim(holder, request(1, holders()), start);
    expire(holder, start + 10s);
    EXPECT_EQ(claim(holder, request(2, holders()), start + 10s).verdict, HolderVerdict::Unknown);
}

TEST(ClaimsTest, RestartedHolderRecoversAndFencesItsFormerSelf)
{
    auto b = table({"b", 1});
    auto c = table({"c", 1});
    claim(c, request(1, holders()), start);
    ClaimTable again{.self = {"b", 2}, .startedAt = start + 60s};
    setMembers(again, {{"a", 1}, {"b", 2}, {"c", 1}}, start + 60s);
    const auto asked = holdersOf(again, "key");
    auto other = request(9, holdersOf(again, "other"));
    other.key = "other";
    EXPECT_EQ(claim(again, other, start + 60s).memory, 0ms);
    auto a = table({"a", 1});
    for (auto *const peer : {&a, &c}) {
        recover(again, peer->self.name, claimsFor(*peer, again.self, start + 60s), start + 60s);
    }
    EXPECT_TRUE(missingRecoveries(again).empty());
    EXPECT_EQ(claim(again, request(2, asked), start + 60s).verdict, HolderVerdict::Running);
    EXPECT_EQ(claim(again, other, start + 60s).memory, 60s);
    // A claim that counts on the former incarnation is refused by those that sent their claims.
    EXPECT_EQ(claim(a, request(3, holders()), start + 60s).verdict, HolderVerdict::Refused);
}

TEST(ClaimsTest, RestartedAgentThatKnowsNoMembersProvesNothing)
{
    ClaimTable again{.self = {"b", 2}, .startedAt = start};
    EXPECT_TRUE(holdersOf(again, "key").empty());
    claimsFor(again, {"c", 1}, start);
    EXPECT_TRUE(holdersOf(again, "key").empty());
    EXPECT_EQ(claim(again, request(1, {{"b", 2}}), start).verdict, HolderVerdict::Refused);
    EXPECT_EQ(decide({.holders = {}}), RoundDecision::Unreachable);
}

TEST(ClaimsTest, RecoveryFromTwoRivalsReleasesForNeither)
{
    // Found by `oriolelever-lab requests --seed 16`: the loser's release freed the winner's key.
    auto a = table({"a", 1});
    auto c = table({"c", 1});
    auto rival = request(2, holders());
    claim(a, rival, start);
    claim(c, request(1, holders()), start);
    ClaimTable again{.self = {"b", 2}, .startedAt = start};
    setMembers(again, {{"a", 1}, {"b", 2}, {"c", 1}}, start);
    recover(again, "a", claimsFor(a, again.self, start), start);
    recover(again, "c", claimsFor(c, again.self, start), start);
    settle(again, "key", rival.id, ClaimEnd::Released, {});
    EXPECT_EQ(claim(again, request(3, holdersOf(again, "key")), start).verdict, HolderVerdict::Unknown);
}

TEST(ClaimsTest, MemberThatLeftKeepsItsKeysForTheWindow)
{
    auto holder = table({"b", 1});
    setMembers(holder, {{"b", 1}, {"c", 1}}, start);
    expire(holder, start + 60s);
    EXPECT_EQ(holdersOf(holder, "key").size(), 3U);
    expire(holder, start + 700s);
    EXPECT_EQ(holdersOf(holder, "key").size(), 2U);
    const auto later = request(1, holdersOf(holder, "key"));
    EXPECT_EQ(claim(holder, later, start + 700s).memory, 0ms);
}

TEST(ClaimsTest, RoundNeedsTwoProofs)
{
    auto asked = round(10s);
    asked.replies["a"] = {HolderVerdict::Granted, 20s, {}};
    EXPECT_EQ(decide(asked), RoundDecision::Waiting);
    asked.replies["b"] = {HolderVerdict::Granted, 4s, {}};
    asked.failed.insert("c");
    EXPECT_EQ(decide(asked), RoundDecision::NotProven);
    EXPECT_EQ(provenAfter(asked), 6s);
    asked.replies["b"].memory = 10s;
    EXPECT_EQ(decide(asked), RoundDecision::Fresh);
}

TEST(ClaimsTest, RoundWithoutReachableHoldersIsUnreachable)
{
    auto asked = round(0s);
    asked.replies["a"] = {HolderVerdict::Granted, 20s, {}};
    asked.failed = {"b", "c"};
    EXPECT_EQ(decide(asked), RoundDecision::Unreachable);
}

TEST(ClaimsTest, OnlyDatedKeysAreProvenByAShortMemory)
{
    const std::chrono::system_clock::time_point now(std::chrono::milliseconds(0x0199'0000'0000));
    const ClaimOptions options;
    EXPECT_EQ(freshnessNeed("01990000-0000-7000-8000-000000000000", options, now).memory, 2s);
    EXPECT_EQ(freshnessNeed("01990000-0000-4000-8000-000000000000", options, now).memory, options.window);
    EXPECT_TRUE(freshnessNeed("01990001-0000-7000-8000-000000000000", options, now).expired);
    EXPECT_TRUE(freshnessNeed("01980000-0000-7000-8000-000000000000", options, now).expired);
}
