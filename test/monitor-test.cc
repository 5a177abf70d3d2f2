#include "oriolelever/monitor.h"

#include <gtest/gtest.h>

#include "fleet.h"
#include "oriolelever/ping.h"

using namespace oriolelever;
using namespace oriolelever::lab;
using namespace std::chrono_literals;

TEST(MonitorTest, NoFalseRemovalInAThousandSecondsWithATenthOfMessagesLost)
{
    Fleet fleet({.balancers = 39, .agents = 60, .zones = 3, .loss = 0.1, .seed = 11});
    fleet.runFor(1000s);
    EXPECT_GT(fleet.totals().datagrams, 300'000U);
    EXPECT_EQ(fleet.totals().removals, 0U);
}

TEST(MonitorTest, DeadNodesAreFoundInAFewSecondsUnderLoss)
{
    Fleet fleet({.balancers = 20, .agents = 30, .zones = 3, .loss = 0.1, .seed = 5});
    fleet.runFor(20s);
    fleet.kill(3);
    fleet.kill(25);
    fleet.runFor(10s);
    EXPECT_FALSE(fleet.isLive(3));
    EXPECT_FALSE(fleet.isLive(25));
    EXPECT_EQ(fleet.totals().removals, 2U);
    EXPECT_EQ(fleet.totals().falseRemovals, 0U);
    EXPECT_LT(fleet.totals().longestDetection, 8s);
}

TEST(MonitorTest, ThreeBalancersFindADeadAgentAndADeadBalancer)
{
    Fleet fleet({.balancers = 3, .agents = 7, .zones = 4, .seed = 2});
    fleet.runFor(10s);
    fleet.kill(1);
    fleet.kill(9);
    fleet.runFor(10s);
    EXPECT_FALSE(fleet.isLive(1));
    EXPECT_FALSE(fleet.isLive(9));
    EXPECT_EQ(fleet.totals().falseRemovals, 0U);
    EXPECT_LT(fleet.totals().longestDetection, 6s);
}

TEST(MonitorTest, NodeResumedAfterAPauseAccusesNoOne)
{
    Fleet fleet({.balancers = 20, .agents = 30, .zones = 2, .loss = 0.02, .seed = 8});
    fleet.runFor(10s);
    fleet.pause(4, 20s);
    fleet.runFor(60s);
    EXPECT_FALSE(fleet.isLive(4));
    EXPECT_EQ(fleet.totals().removals, 1U);
}

TEST(MonitorTest, NodeCutOffInOneDirectionAccusesNoOne)
{
    for (const bool incoming : {true, false}) {
        Fleet fleet({.balancers = 20, .agents = 30, .zones = 2, .seed = 9});
        fleet.runFor(10s);
        fleet.cut(6, incoming, !incoming);
        fleet.runFor(60s);
        EXPECT_FALSE(fleet.isLive(6));
        EXPECT_EQ(fleet.totals().removals, 1U) << "incoming " << incoming;
    }
}

TEST(MonitorTest, IsolationOfSomeNodesDoesNotRemoveTheOthers)
{
    Fleet fleet({.balancers = 24, .zones = 3, .seed = 4});
    fleet.runFor(10s);
    for (const std::size_t node : {1U, 7U, 13U}) {
        fleet.cut(node, true, true);
    }
    fleet.runFor(60s);
    EXPECT_EQ(fleet.totals().falseRemovals, 0U);
    EXPECT_EQ(fleet.totals().removals, 3U);
}

TEST(MonitorTest, LossOfAZoneNeedsConfirmationByAHelper)
{
    const TimePoint start{};
    ZoneCheck check{.zone = "ost-a", .startedAt = start};
    EXPECT_EQ(evaluateZoneCheck(check, start + 1s), ZoneVerdict::Waiting);
    EXPECT_EQ(evaluateZoneCheck(check, start + 2s), ZoneVerdict::Undecided);
    check.isConfirmed = true;
    EXPECT_EQ(evaluateZoneCheck(check, start + 2s), ZoneVerdict::Lost);
    check.isAlive = true;
    EXPECT_EQ(evaluateZoneCheck(check, start + 2s), ZoneVerdict::Alive);
}

TEST(PingTest, ForgedDatagramIsRefusedAndKeyRotationLosesNone)
{
    const Ping ping{.type = PingType::Probe,
                    .from = "b1",
                    .to = "b2",
                    .nonce = 7,
                    .subject = "s1",
                    .endpoint = {.port = 9000}};
    TagKeys before;
    before.current = TagKey{1};
    TagKeys during;
    during.current = TagKey{2};
    during.previous = TagKey{1};
    TagKeys after;
    after.current = TagKey{2};
    EXPECT_EQ(decodePing(encodePing(ping, before), during), ping);
    EXPECT_EQ(decodePing(encodePing(ping, during), after), ping);
    EXPECT_FALSE(decodePing(encodePing(ping, before), after));
    EXPECT_FALSE(decodePing(encodePing(ping, {}), before));
    auto changed = encodePing(ping, before);
    changed[3] ^= 1;
    EXPECT_FALSE(decodePing(changed, before));
}
