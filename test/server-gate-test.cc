#include "oriolelever/server-gate.h"

#include <gtest/gtest.h>

namespace oriolelever {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view serviceName = "archivio";
constexpr milliseconds startOfDay{1'700'000'000'000};

Endpoint endpoint(std::string_view text)
{
    Endpoint parsed;
    EXPECT_TRUE(parseEndpoint(text, parsed)) << text;
    return parsed;
}

// The gate of a server that the agent has not heard yet.
class ServerGateTest : public testing::Test
{
public:
    ServerGateTest()
    {
        state.options.service = service;
        state.started = now;
        state.startedAt = startOfDay;
        state.coldFlowsPerSecond = noColdLimit;
    }

    ServerHeartbeat heartbeat(std::uint64_t sequence)
    {
        return {.id = "i-1",
                .bornAt = static_cast<std::uint64_t>(startOfDay.count()) - 60'000,
                .sequence = sequence,
                .service = std::string(serviceName),
                .zone = "bergamo",
                .slots = 2};
    }

    HeartbeatOutcome take(const ServerHeartbeat &beat)
    {
        return takeHeartbeat(state, beat, now,
                             startOfDay + std::chrono::duration_cast<milliseconds>(now - state.started));
    }

    void beReady()
    {
        take(heartbeat(7));
    }

    Segment fromCaller(bool opens, std::uint16_t port = 4000)
    {
        return {.source = endpoint("203.0.113.7:" + std::to_string(port)),
                .destination = endpoint("198.51.100.1:443"),
                .syn = opens,
                .ack = !opens,
                .acknowledgement = opens ? 0U : 501U,
                .payloadSize = opens ? 0U : 90U};
    }

    Segment fromServer(std::uint16_t port = 4000)
    {
        return {.source = endpoint("198.51.100.1:443"),
                .destination = endpoint("203.0.113.7:" + std::to_string(port)),
                .ack = true,
                .sequence = 501,
                .payloadSize = 600};
    }

    GateDecision open(std::uint16_t port = 4000)
    {
        return admit(state, fromCaller(true, port), service, now);
    }

    GateDecision data(std::uint16_t port = 4000)
    {
        return admit(state, fromCaller(false, port), service, now);
    }

    void acceptOpening(std::uint16_t port = 4000)
    {
        auto accepted = fromServer(port);
        accepted.syn = true;
        accepted.sequence = 500;
        accepted.payloadSize = 0;
        noteServerPacket(state, accepted, now);
    }

    GateState state;
    TimePoint now{std::chrono::hours(1)};
    const ServiceId service = idOf<ServiceId>(serviceName);
};

TEST_F(ServerGateTest, NoFlowOpensBeforeTheServerIsHeard)
{
    EXPECT_EQ(open().act, GateAct::Return);
    EXPECT_EQ(open().reason, ReturnReason::NotReady);
    EXPECT_EQ(data().act, GateAct::Deliver) << "an earlier agent may have let the flow through";
}

TEST_F(ServerGateTest, AnOpeningForAnotherServiceIsGivenBack)
{
    beReady();
    EXPECT_EQ(admit(state, fromCaller(true), idOf<ServiceId>("sportello"), now).reason,
              ReturnReason::OtherService);
    EXPECT_EQ(open().act, GateAct::Deliver);
}

TEST_F(ServerGateTest, ADrainingServerKeepsItsFlowsAndGetsNoNewOnes)
{
    beReady();
    open();
    acceptOpening();
    EXPECT_EQ(data().act, GateAct::Deliver);
    auto beat = heartbeat(8);
    beat.draining = true;
    EXPECT_EQ(take(beat), HeartbeatOutcome::Changed);
    EXPECT_EQ(open(4001).reason, ReturnReason::NotReady);
    EXPECT_EQ(data().act, GateAct::Deliver);
}

TEST_F(ServerGateTest, LateHeartbeatsChangeNothing)
{
    beReady();
    auto draining = heartbeat(9);
    draining.draining = true;
    take(draining);
    EXPECT_EQ(take(heartbeat(8)), HeartbeatOutcome::Outdated);
    auto earlierStart = heartbeat(50);
    --earlierStart.bornAt;
    EXPECT_EQ(take(earlierStart), HeartbeatOutcome::Outdated);
    EXPECT_EQ(state.server, BackendState::Draining);
}

TEST_F(ServerGateTest, AStartAfterTheClockWasSetBackIsHeard)
{
    beReady();
    auto later = heartbeat(1);
    later.bornAt -= 2000;
    EXPECT_EQ(take(later), HeartbeatOutcome::Outdated) << "the other start may still run";
    now += state.options.heartbeatLimit + milliseconds(1);
    EXPECT_EQ(take(later), HeartbeatOutcome::Outdated) << "the same call again";
    later.sequence = 4;
    EXPECT_EQ(take(later), HeartbeatOutcome::NewStart);
    later.sequence = 5;
    now += milliseconds(1200);
    EXPECT_EQ(take(later), HeartbeatOutcome::Taken);
    EXPECT_EQ(admit(state, fromCaller(true), service, now).act, GateAct::Deliver);
}

TEST_F(ServerGateTest, AServerThatLeftStaysGoneUntilItsNextStart)
{
    beReady();
    EXPECT_FALSE(takeDeparture(state, "i-2"));
    EXPECT_TRUE(takeDeparture(state, "i-1"));
    EXPECT_EQ(take(heartbeat(8)), HeartbeatOutcome::Outdated);
    EXPECT_EQ(open().reason, ReturnReason::NotReady);
    auto next = heartbeat(1);
    ++next.bornAt;
    EXPECT_EQ(take(next), HeartbeatOutcome::NewStart);
    EXPECT_EQ(open().act, GateAct::Deliver);
}

TEST_F(ServerGateTest, ANewStartUnderTheSameIdKnowsNoEarlierFlow)
{
    beReady();
    open();
    acceptOpening();
    data();
    auto next = heartbeat(1);
    next.bornAt += 1000;
    EXPECT_EQ(take(next), HeartbeatOutcome::NewStart);
    const auto resets = endAllFlows(state, now);
    ASSERT_EQ(resets.size(), 1U);
    EXPECT_EQ(resets[0].flow, flowFromCaller(fromCaller(false)));
    EXPECT_EQ(resets[0].sequence, 501U);
    EXPECT_TRUE(state.flows.empty());
    EXPECT_EQ(state.waiting, 0U);
    EXPECT_EQ(data().reason, ReturnReason::Ended);
    EXPECT_EQ(data(4001).reason, ReturnReason::NotHeld) << "never was a flow here";
    EXPECT_EQ(open().act, GateAct::Deliver) << "the caller may use its port again";
    EXPECT_EQ(data().act, GateAct::Deliver);
}

// Seed 707 of the soak: copies of an opening packet had reached two servers.
TEST_F(ServerGateTest, AFlowThatMayBeOpenAtAnotherServerIsNotReset)
{
    beReady();
    const auto opening = fromCaller(true, 4000);
    admit(state, opening, service, now);
    noteServerPacket(state,
                     {.source = opening.destination,
                      .destination = opening.source,
                      .syn = true,
                      .ack = true,
                      .sequence = 500},
                     now);
    admit(state, fromCaller(true, 4001), service, now);
    EXPECT_TRUE(endAllFlows(state, now).empty());
    EXPECT_NE(admit(state, fromCaller(false, 4000), service, now).reason, ReturnReason::Ended)
        << "the other server may have it";
}

TEST_F(ServerGateTest, OnlyThePacketThatAcknowledgesTheServerOpensTheFlow)
{
    beReady();
    open();
    acceptOpening();
    auto other = fromCaller(false);
    other.acknowledgement = 0x80000000;
    EXPECT_EQ(admit(state, other, service, now).reason, ReturnReason::NotHeld);
    EXPECT_EQ(data().act, GateAct::Deliver);
}

TEST_F(ServerGateTest, AnAgentOlderThanItsServerAnswersForIt)
{
    take(heartbeat(1));
    EXPECT_EQ(data().reason, ReturnReason::NotHeld);
}

TEST_F(ServerGateTest, AnAgentThatCameUpWithItsServerAnswersForIt)
{
    auto beat = heartbeat(3);
    beat.bornAt = static_cast<std::uint64_t>(startOfDay.count()) - 150;
    take(beat);
    EXPECT_EQ(data().reason, ReturnReason::NotHeld);
}

TEST_F(ServerGateTest, AClockThatWasSetTellsNothingOfTheServersStart)
{
    auto beat = heartbeat(3);
    beat.bornAt = static_cast<std::uint64_t>(startOfDay.count()) - 150;
    takeHeartbeat(state, beat, now, startOfDay + milliseconds(2400));
    EXPECT_EQ(data().act, GateAct::Deliver);
}

TEST_F(ServerGateTest, AnAgentThatRestartedLetsTheServerJudge)
{
    beReady();
    EXPECT_EQ(data().act, GateAct::Deliver);
    EXPECT_EQ(noteBounce(state, fromCaller(false)), ReturnReason::NotHeld);
}

TEST_F(ServerGateTest, WithoutAServerNoFlowIsHeld)
{
    now += state.options.heartbeatLimit + milliseconds(1);
    EXPECT_EQ(data().reason, ReturnReason::NotHeld);
}

TEST_F(ServerGateTest, AnEndedFlowStillReachesItsServer)
{
    take(heartbeat(1));
    open();
    acceptOpening();
    auto last = fromCaller(false);
    last.fin = true;
    admit(state, last, service, now);
    auto end = fromServer();
    end.fin = true;
    noteServerPacket(state, end, now);
    EXPECT_EQ(reportOf(state, 1, now).flows, 0U);
    EXPECT_EQ(admit(state, last, service, now).act, GateAct::Deliver);
    now += state.options.endedLimit + milliseconds(1);
    expireFlows(state, now);
    EXPECT_EQ(state.ended, 0U);
    EXPECT_TRUE(state.flows.empty());
}

TEST_F(ServerGateTest, ABouncedOpeningLeavesNoFlow)
{
    beReady();
    open();
    EXPECT_EQ(noteBounce(state, fromCaller(true)), ReturnReason::Full);
    EXPECT_TRUE(state.flows.empty());
}

TEST_F(ServerGateTest, RequestsInWorkAreCounted)
{
    beReady();
    open();
    acceptOpening();
    data();
    EXPECT_EQ(reportOf(state, 1, now).waiting, 1U);
    data();
    EXPECT_EQ(reportOf(state, 1, now).waiting, 1U);
    noteServerPacket(state, fromServer(), now);
    EXPECT_EQ(reportOf(state, 1, now).waiting, 0U);
}

TEST_F(ServerGateTest, TheServersTimesAreMeasuredFromTheFirstPacket)
{
    beReady();
    open();
    now += milliseconds(3);
    open();
    now += milliseconds(2);
    auto accepted = fromServer();
    accepted.syn = true;
    accepted.payloadSize = 0;
    const auto opened = noteServerPacket(state, accepted, now);
    EXPECT_EQ(opened.opening, std::optional<Duration>(milliseconds(5)));
    EXPECT_FALSE(opened.answer);
    data();
    now += milliseconds(20);
    EXPECT_EQ(noteServerPacket(state, fromServer(), now).answer, std::optional<Duration>(milliseconds(20)));
    EXPECT_FALSE(noteServerPacket(state, fromServer(), now).answer) << "the rest of the same answer";
}

TEST_F(ServerGateTest, AColdServerGetsNoMoreThanItBearsInAnySecond)
{
    state.coldFlowsPerSecond = 6;
    auto beat = heartbeat(1);
    beat.coldLeft = milliseconds(5000);
    take(beat);
    std::vector<TimePoint> delivered;
    for (std::uint16_t port = 1; port < 2000; ++port) {
        if (open(port).act == GateAct::Deliver) {
            delivered.push_back(now);
        } else {
            EXPECT_EQ(open(port).reason, ReturnReason::Cold);
        }
        now += milliseconds(2);
    }
    ASSERT_GT(delivered.size(), 15U);
    for (std::size_t i = 6; i < delivered.size(); ++i) {
        EXPECT_GT(delivered[i] - delivered[i - 6], milliseconds(1000));
    }
}

TEST_F(ServerGateTest, ARestartedAgentGivesAColdServerASecondOfRest)
{
    state.coldFlowsPerSecond = 6;
    auto beat = heartbeat(7);
    beat.coldLeft = milliseconds(5000);
    take(beat);
    EXPECT_EQ(open().reason, ReturnReason::Cold);
    now += state.options.coldWindow;
    EXPECT_EQ(open().act, GateAct::Deliver);
}

TEST_F(ServerGateTest, WithoutAStatedRateAColdServerIsNotLimited)
{
    auto beat = heartbeat(7);
    beat.coldLeft = milliseconds(5000);
    take(beat);
    for (std::uint16_t port = 1; port < 50; ++port) {
        EXPECT_EQ(open(port).act, GateAct::Deliver);
    }
}

TEST_F(ServerGateTest, AServerThatAnswersNoOpeningIsSuspect)
{
    beReady();
    open();
    EXPECT_FALSE(isSuspect(state, now));
    now += state.options.answerLimit + milliseconds(1);
    EXPECT_TRUE(isSuspect(state, now));
    noteProbe(state, true);
    EXPECT_FALSE(isSuspect(state, now));
    EXPECT_EQ(state.server, BackendState::Ready);
}

TEST_F(ServerGateTest, WhereNoServerIsTheAgentFindsOut)
{
    EXPECT_FALSE(isSuspect(state, now)) << "nothing was sent to it";
    EXPECT_EQ(admit(state, fromCaller(false), service, now).act, GateAct::Deliver) << "it may hold the flow";
    now += state.options.requestLimit + milliseconds(1);
    EXPECT_TRUE(isSuspect(state, now));
    noteProbe(state, false);
    EXPECT_EQ(admit(state, fromCaller(false), service, now).reason, ReturnReason::NotHeld);
}

TEST_F(ServerGateTest, AServerThatGivesPacketsBackIsNotSuspect)
{
    admit(state, fromCaller(false), service, now);
    noteBounce(state, fromCaller(false));
    now += state.options.requestLimit + milliseconds(1);
    EXPECT_FALSE(isSuspect(state, now));
}

TEST_F(ServerGateTest, AServerThatRefusesAConnectionTakesNoFlowsUntilItIsHeard)
{
    beReady();
    noteProbe(state, false);
    EXPECT_EQ(open().reason, ReturnReason::NotReady);
    take(heartbeat(8));
    EXPECT_EQ(open().act, GateAct::Deliver);
}

TEST_F(ServerGateTest, AfterAStartThatTheAgentSawItNamesAllFlows)
{
    take(heartbeat(1));
    const FlowKey none{.caller = endpoint("203.0.113.7:9"), .service = endpoint("198.51.100.1:443")};
    ASSERT_EQ(admit(state, fromCaller(true, 4000), service, now).act, GateAct::Deliver);
    const auto report = reportOf(state, 1, now);
    ASSERT_TRUE(report.heldFlowFilter);
    EXPECT_TRUE(report.heldFlowFilter->mayContain(hashFlow(flowFromCaller(fromCaller(true, 4000)))))
        << "a flow is named before its server has answered";
    EXPECT_FALSE(report.heldFlowFilter->mayContain(hashFlow(none)));
    EXPECT_FALSE(reportOf(state, 1, now + state.options.filterTime).heldFlowFilter)
        << "not for ever, for its bytes";
}

TEST_F(ServerGateTest, ARestartedAgentDoesNotNameAllFlows)
{
    beReady();
    EXPECT_FALSE(reportOf(state, 1, now).heldFlowFilter);
}

TEST_F(ServerGateTest, NotesAreKeptForALimitedTime)
{
    const auto key = flowFromCaller(fromCaller(true));
    IpAddress holder;
    ASSERT_TRUE(parseIpAddress("10.0.0.9", holder));
    takeNote(state, key, holder, now);
    ASSERT_NE(notedHolder(state, key), nullptr);
    EXPECT_EQ(*notedHolder(state, key), holder);
    now += state.options.noteLimit + milliseconds(1);
    expireFlows(state, now);
    EXPECT_EQ(notedHolder(state, key), nullptr);
}

TEST_F(ServerGateTest, ForgedPacketsAreDropped)
{
    beReady();
    auto forged = fromCaller(true);
    forged.ack = true;
    EXPECT_EQ(admit(state, forged, service, now).act, GateAct::Drop);
    forged = fromCaller(false);
    forged.returned = true;
    EXPECT_EQ(admit(state, forged, service, now).act, GateAct::Drop);
}

} // namespace
} // namespace oriolelever
