// Each promise of the soak is broken on purpose, and once more where the break is allowed.
#include "soak-ledger.h"

#include <gtest/gtest.h>

#include "soak-plan.h"

namespace oriolelever::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Endpoint endpoint(std::string_view text)
{
    Endpoint parsed;
    EXPECT_TRUE(parseEndpoint(text, parsed)) << text;
    return parsed;
}

// A calm deployment: two balancers, two servers of "desk" in zones "a" and "b", one of "archive".
class SoakLedgerTest : public testing::Test
{
public:
    SoakLedgerTest()
    {
        ledger.configured(1, {{desk, "desk"}, {archive, "archive"}}, now);
        start("s1", "desk", "a");
        start("s2", "desk", "b");
        start("s3", "archive", "a");
        now += seconds(20);
    }

    void start(const std::string &id, const std::string &service, const std::string &zone, bool cold = false)
    {
        ledger.serverStarted({.id = id,
                              .node = "agent-" + id,
                              .service = service,
                              .zone = zone,
                              .coldUntil = cold ? now + seconds(6) : TimePoint{},
                              .coldPerSecond = 2},
                             now);
    }

    FlowKey flow(std::uint16_t port) const
    {
        return {.caller = {endpoint("203.0.113.7:1").address, port}, .service = desk};
    }

    void open(std::uint16_t port, const std::string &server)
    {
        ledger.openingSent(flow(port), now);
        ledger.openingTaken(flow(port), server, "b1", now);
        ledger.flowOpened(flow(port), server, now);
    }

    // The promises that broke, by name.
    std::set<std::string> broken() const
    {
        std::set<std::string> names;
        for (const auto &violation : ledger.violations()) {
            names.insert(std::string(toString(violation.promise)));
        }
        return names;
    }

    SoakLedger ledger{LedgerBounds{}};
    TimePoint now{std::chrono::hours(1)};
    const Endpoint desk = endpoint("198.18.0.1:443");
    const Endpoint archive = endpoint("198.18.0.2:443");
    const std::set<std::string> none;
};

TEST_F(SoakLedgerTest, ACalmFlowBreaksNothing)
{
    open(1, "s1");
    ledger.packetArrived(flow(1), "s1", "b1", now);
    ledger.requestRan(flow(1), 7, "s1", now);
    ledger.answerArrived(flow(1), true, now);
    ledger.flowClosed(flow(1));
    ledger.endedWith(100, 100, now);
    EXPECT_EQ(broken(), none);
    EXPECT_EQ(ledger.judged(Promise::AtMostOnce), 1U);
}

TEST_F(SoakLedgerTest, AnotherOnesAnswerIsFound)
{
    ledger.answerArrived(flow(1), false, now);
    EXPECT_EQ(broken(), std::set<std::string>{"own answers"});
}

TEST_F(SoakLedgerTest, AnAlteredPacketIsFound)
{
    ledger.packetAltered("s1", now);
    EXPECT_EQ(broken(), std::set<std::string>{"unaltered packets"});
}

TEST_F(SoakLedgerTest, ASecondRunIsFound)
{
    ledger.requestRan(flow(1), 7, "s1", now);
    ledger.requestRan(flow(1), 8, "s1", now);
    EXPECT_EQ(broken(), none);
    ledger.requestRan(flow(1), 7, "s2", now);
    EXPECT_EQ(broken(), std::set<std::string>{"at most once"});
}

TEST_F(SoakLedgerTest, AResetOfAFlowWhoseServerLivesIsFound)
{
    open(1, "s1");
    ledger.resetArrived(flow(1), "b1", now);
    EXPECT_EQ(broken(), std::set<std::string>{"flows kept"});
}

TEST_F(SoakLedgerTest, PlannedWorkExcusesNoReset)
{
    ledger.disturbPlanned("b1", now, now);
    open(1, "s1");
    ledger.resetArrived(flow(1), "b1", now);
    EXPECT_EQ(broken(), std::set<std::string>{"flows kept"});
}

TEST_F(SoakLedgerTest, AResetBesideAFaultOrAfterTheServersEndIsAllowed)
{
    open(1, "s1");
    ledger.disturb("agent-s1", now, now);
    ledger.resetArrived(flow(1), "b1", now + seconds(3));
    now += seconds(10);
    open(2, "s1");
    ledger.serverEnded("s1", now);
    ledger.resetArrived(flow(2), "b1", now);
    EXPECT_EQ(broken(), none);
}

TEST_F(SoakLedgerTest, PacketsThatMissTheirServerForLongAreFound)
{
    open(1, "s1");
    for (int i = 0; i < 4; ++i) {
        ledger.packetArrived(flow(1), "s2", "b1", now);
        now += milliseconds(800);
    }
    EXPECT_EQ(broken(), std::set<std::string>{"flows reach their servers"});
}

TEST_F(SoakLedgerTest, AShortSearchIsAllowed)
{
    open(1, "s1");
    for (int i = 0; i < 8; ++i) {
        ledger.packetArrived(flow(1), "s2", "b1", now);
        now += milliseconds(20);
    }
    ledger.packetArrived(flow(1), "s1", "b1", now);
    now += seconds(5);
    ledger.packetArrived(flow(1), "s2", "b1", now);
    EXPECT_EQ(broken(), none);
}

TEST_F(SoakLedgerTest, AnOpeningWithoutAnyAnswerIsFoundInCalmTimes)
{
    ledger.openingSent(flow(1), now);
    ledger.openingIgnored(flow(1), "b1", now + milliseconds(1400));
    EXPECT_EQ(broken(), std::set<std::string>{"openings answered"});
}

TEST_F(SoakLedgerTest, AnOpeningDuringAnyFaultMayBeLost)
{
    ledger.openingSent(flow(1), now);
    ledger.disturb("agent-s2", now, now);
    ledger.openingIgnored(flow(1), "b1", now + milliseconds(1400));
    EXPECT_EQ(broken(), none);
}

TEST_F(SoakLedgerTest, AFlowToAServerThatLeavesIsFound)
{
    ledger.drainAcknowledged("s1", now);
    now += milliseconds(2900);
    open(1, "s1");
    EXPECT_EQ(broken(), none);
    now += milliseconds(200);
    open(2, "s1");
    EXPECT_EQ(broken(), std::set<std::string>{"draining"});
}

TEST_F(SoakLedgerTest, AFlowToAnEvacuatedZoneIsFound)
{
    ledger.evacuated("a", now);
    now += milliseconds(4900);
    open(1, "s1");
    EXPECT_EQ(broken(), none);
    now += milliseconds(200);
    open(2, "s2");
    EXPECT_EQ(broken(), none);
    open(3, "s1");
    EXPECT_EQ(broken(), std::set<std::string>{"evacuation"});
}

TEST_F(SoakLedgerTest, AZoneThatIsTakenBackTakesFlows)
{
    ledger.evacuated("a", now);
    now += seconds(10);
    ledger.takenBack("a", now);
    open(1, "s1");
    EXPECT_EQ(broken(), none);
}

TEST_F(SoakLedgerTest, AServiceThatNoConfigurationAllowedIsFound)
{
    open(1, "s3");
    EXPECT_EQ(broken(), std::set<std::string>{"routing"});
}

TEST_F(SoakLedgerTest, AnOldConfigurationIsFoundOnceItHadTime)
{
    ledger.configured(2, {{desk, "archive"}}, now);
    now += milliseconds(2900);
    open(1, "s1");
    EXPECT_EQ(broken(), none);
    now += milliseconds(200);
    open(2, "s1");
    EXPECT_EQ(broken(), std::set<std::string>{"configuration"});
}

TEST_F(SoakLedgerTest, AnOldConfigurationIsAllowedWhileTheStoreIsAway)
{
    ledger.configured(2, {{desk, "archive"}}, now);
    ledger.disturbStore(now, now + seconds(2));
    now += seconds(4);
    open(1, "s1");
    EXPECT_EQ(broken(), none);
}

// Guards against a judgement that waits for calm after each fault of the store, and so never finds what a
// fault has caused.
TEST_F(SoakLedgerTest, AnOldConfigurationIsFoundOnceTheStoreHasBeenBackForTheBound)
{
    ledger.configured(2, {{desk, "archive"}}, now);
    ledger.disturbStore(now, now + seconds(2));
    now += milliseconds(4900);
    open(1, "s1");
    EXPECT_EQ(broken(), none);
    now += milliseconds(200);
    open(2, "s1");
    EXPECT_EQ(broken(), std::set<std::string>{"configuration"});
}

TEST_F(SoakLedgerTest, WhatTheStoreHasLostCountsFromWhenItWasWrittenAgain)
{
    ledger.configured(2, {{desk, "archive"}}, now);
    now += milliseconds(100);
    ledger.steppedBack(now, now + seconds(2));
    now += milliseconds(4800);
    open(1, "s1");
    EXPECT_EQ(broken(), none);
    now += milliseconds(400);
    open(2, "s1");
    EXPECT_EQ(broken(), std::set<std::string>{"configuration"});
}

TEST_F(SoakLedgerTest, NoConfigurationIsOverdueBeforeItIsWrittenAgain)
{
    ledger.configured(2, {{desk, "archive"}}, now);
    now += seconds(10);
    ledger.steppedBack(now - seconds(1), now + seconds(1));
    ledger.processStarted("b1");
    open(1, "s1");
    EXPECT_EQ(broken(), none);
}

TEST_F(SoakLedgerTest, AStepBackBehindAConfigurationIsFound)
{
    ledger.configured(2, {{desk, "archive"}}, now);
    now += milliseconds(100);
    open(1, "s3");
    now += milliseconds(300);
    open(2, "s1");
    EXPECT_EQ(broken(), std::set<std::string>{"configuration"});
}

TEST_F(SoakLedgerTest, ARestartedBalancerMayKnowAnOlderConfiguration)
{
    ledger.configured(2, {{desk, "archive"}}, now);
    now += milliseconds(100);
    open(1, "s3");
    now += milliseconds(300);
    ledger.processStarted("b1");
    open(2, "s1");
    EXPECT_EQ(broken(), none);
}

TEST_F(SoakLedgerTest, TooManyFlowsForAColdServerAreFound)
{
    start("s4", "desk", "a", true);
    // 2 flows a second x 1.5 + 5.
    for (std::uint16_t i = 0; i < 8; ++i) {
        open(i, "s4");
    }
    EXPECT_EQ(broken(), none);
    open(8, "s4");
    EXPECT_EQ(broken(), std::set<std::string>{"cold pace"});
}

TEST_F(SoakLedgerTest, CallersThatAreNotServedAfterTheRecoveryAreFound)
{
    ledger.endedWith(98, 100, now);
    EXPECT_EQ(broken(), std::set<std::string>{"recovery"});
}

TEST_F(SoakLedgerTest, AProcessThatEndsOrGrowsIsFound)
{
    ledger.processEnded("b1", "status 1", now);
    ledger.memorySeen("b2", 100, 99, now);
    EXPECT_EQ(ledger.violations().size(), 2U);
    EXPECT_EQ(broken(), std::set<std::string>{"processes"});
}

TEST(SoakPlanTest, ASeedAlwaysGivesTheSameFaults)
{
    const auto one = planFaults(5, seconds(60));
    const auto same = planFaults(5, seconds(60));
    ASSERT_EQ(one.size(), same.size());
    ASSERT_FALSE(one.empty());
    for (std::size_t i = 0; i < one.size(); ++i) {
        EXPECT_EQ(one[i].kind, same[i].kind);
        EXPECT_EQ(one[i].at, same[i].at);
        EXPECT_LT(one[i].at, seconds(60));
    }
}

TEST(SoakPlanTest, FiftySeedsPlayEveryKindOfFault)
{
    std::set<FaultKind> kinds;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        for (const auto &fault : planFaults(seed, seconds(36))) {
            kinds.insert(fault.kind);
        }
    }
    EXPECT_EQ(kinds.size(), faultKindCount);
}

} // namespace
} // namespace oriolelever::lab
