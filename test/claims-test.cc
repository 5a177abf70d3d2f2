#include "oriolelever/claims.h"

#include <gtest/gtest.h>

using namespace oriolelever;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1000s};
const std::vector<AgentId> members{{"a", 1}, {"b", 1}, {"c", 1}};

ClaimTable table(const AgentId &self)
{
    ClaimTable result{.self = self, .startedAt = start};
    setMembers(result, members, start);
    return result;
}

ClaimRequest request(RequestId id, const std::vector<AgentId> &holders)
{
    return {"key", {"a", 1, id}, holders, start + 1s};
}

std::vector<AgentId> holders()
{
    return holdersOf(table({"a", 1}), "key");
}

ClaimRound round(std::chrono::milliseconds requiredSpan)
{
    return {.requirement = {false, requiredSpan}, .holders = holders()};
}

} // namespace

TEST(ClaimsTest, SecondSubmissionGetsTheStateOfTheFirst)
{
    auto holder = table({"b", 1});
    EXPECT_EQ(handleClaim(holder, request(1, holders()), start).verdict, HolderVerdict::Accepted);
    EXPECT_EQ(handleClaim(holder, request(2, holders()), start).verdict, HolderVerdict::Running);
    settle(holder, "key", {"a", 1, 1}, ClaimEnd::Answered, {200, "text/plain", "ok"});
    const auto reply = handleClaim(holder, request(3, holders()), start);
    EXPECT_EQ(reply.verdict, HolderVerdict::Answered);
    EXPECT_EQ(reply.answer.body, "ok");
}

TEST(ClaimsTest, ReleaseOfAnotherSubmissionIsIgnored)
{
    auto holder = table({"b", 1});
    handleClaim(holder, request(1, holders()), start);
    settle(holder, "key", {"a", 1, 2}, ClaimEnd::Released, {});
    EXPECT_EQ(handleClaim(holder, request(2, holders()), start).verdict, HolderVerdict::Running);
    settle(holder, "key", {"a", 1, 1}, ClaimEnd::Released, {});
    EXPECT_EQ(handleClaim(holder, request(2, holders()), start).verdict, HolderVerdict::Accepted);
}

TEST(ClaimsTest, ClaimWithoutAnEndBecomesUnknown)
{
    auto holder = table({"b", 1});
    handleClaim(holder, request(1, holders()), start);
    expireClaims(holder, start + 10s);
    EXPECT_EQ(handleClaim(holder, request(2, holders()), start + 10s).verdict, HolderVerdict::Unknown);
}

TEST(ClaimsTest, RestartedHolderRecoversAndFencesItsFormerIncarnation)
{
    auto b = table({"b", 1});
    auto c = table({"c", 1});
    handleClaim(c, request(1, holders()), start);
    ClaimTable restarted{.self = {"b", 2}, .startedAt = start + 60s};
    setMembers(restarted, {{"a", 1}, {"b", 2}, {"c", 1}}, start + 60s);
    const auto currentHolders = holdersOf(restarted, "key");
    auto other = request(9, holdersOf(restarted, "other"));
    other.key = "other";
    EXPECT_EQ(handleClaim(restarted, other, start + 60s).memorySpan, 0ms);
    auto a = table({"a", 1});
    for (auto *const peer : {&a, &c}) {
        importClaims(restarted, peer->self.name, exportClaims(*peer, restarted.self, start + 60s),
                     start + 60s);
    }
    EXPECT_TRUE(missingRecoveries(restarted).empty());
    EXPECT_EQ(handleClaim(restarted, request(2, currentHolders), start + 60s).verdict,
              HolderVerdict::Running);
    EXPECT_EQ(handleClaim(restarted, other, start + 60s).memorySpan, 60s);
    // Members that sent their claims refuse a claim that names the former incarnation.
    EXPECT_EQ(handleClaim(a, request(3, holders()), start + 60s).verdict, HolderVerdict::Refused);
}

TEST(ClaimsTest, RestartedAgentThatKnowsNoMembersProvesNothing)
{
    ClaimTable restarted{.self = {"b", 2}, .startedAt = start};
    EXPECT_TRUE(holdersOf(restarted, "key").empty());
    exportClaims(restarted, {"c", 1}, start);
    EXPECT_TRUE(holdersOf(restarted, "key").empty());
    EXPECT_EQ(handleClaim(restarted, request(1, {{"b", 2}}), start).verdict, HolderVerdict::Refused);
    EXPECT_EQ(decide({.holders = {}}), RoundDecision::Unreachable);
}

TEST(ClaimsTest, RecoveryOfCompetingClaimsReleasesForNeither)
{
    // Two claims compete, and b recovers one from each of a and c. The claim that fails must not release the
    // key of the one that succeeds, as happened in `oriolelever-lab requests --seed 16`.
    auto a = table({"a", 1});
    auto c = table({"c", 1});
    auto competing = request(2, holders());
    handleClaim(a, competing, start);
    handleClaim(c, request(1, holders()), start);
    ClaimTable restarted{.self = {"b", 2}, .startedAt = start};
    setMembers(restarted, {{"a", 1}, {"b", 2}, {"c", 1}}, start);
    importClaims(restarted, "a", exportClaims(a, restarted.self, start), start);
    importClaims(restarted, "c", exportClaims(c, restarted.self, start), start);
    settle(restarted, "key", competing.id, ClaimEnd::Released, {});
    EXPECT_EQ(handleClaim(restarted, request(3, holdersOf(restarted, "key")), start).verdict,
              HolderVerdict::Unknown);
}

TEST(ClaimsTest, MemberThatLeftKeepsItsKeysForTheWindow)
{
    auto holder = table({"b", 1});
    setMembers(holder, {{"b", 1}, {"c", 1}}, start);
    expireClaims(holder, start + 60s);
    EXPECT_EQ(holdersOf(holder, "key").size(), 3U);
    expireClaims(holder, start + 700s);
    EXPECT_EQ(holdersOf(holder, "key").size(), 2U);
    const auto later = request(1, holdersOf(holder, "key"));
    EXPECT_EQ(handleClaim(holder, later, start + 700s).memorySpan, 0ms);
}

TEST(ClaimsTest, RoundNeedsTwoProofs)
{
    auto claimRound = round(10s);
    claimRound.replies["a"] = {HolderVerdict::Accepted, 20s, {}};
    EXPECT_EQ(decide(claimRound), RoundDecision::Waiting);
    claimRound.replies["b"] = {HolderVerdict::Accepted, 4s, {}};
    claimRound.unreachableHolders.insert("c");
    EXPECT_EQ(decide(claimRound), RoundDecision::NotProven);
    EXPECT_EQ(timeUntilProven(claimRound), 6s);
    claimRound.replies["b"].memorySpan = 10s;
    EXPECT_EQ(decide(claimRound), RoundDecision::Fresh);
}

TEST(ClaimsTest, RoundWithoutReachableHoldersIsUnreachable)
{
    auto claimRound = round(0s);
    claimRound.replies["a"] = {HolderVerdict::Accepted, 20s, {}};
    claimRound.unreachableHolders = {"b", "c"};
    EXPECT_EQ(decide(claimRound), RoundDecision::Unreachable);
}

TEST(ClaimsTest, OnlyDatedKeysAreProvenByAShortMemory)
{
    const std::chrono::system_clock::time_point now(std::chrono::milliseconds(0x0199'0000'0000));
    const ClaimOptions options;
    EXPECT_EQ(freshnessRequirement("01990000-0000-7000-8000-000000000000", options, now).memorySpan, 2s);
    EXPECT_EQ(freshnessRequirement("01990000-0000-4000-8000-000000000000", options, now).memorySpan,
              options.window);
    EXPECT_TRUE(freshnessRequirement("01990001-0000-7000-8000-000000000000", options, now).outsideWindow);
    EXPECT_TRUE(freshnessRequirement("01980000-0000-7000-8000-000000000000", options, now).outsideWindow);
}
