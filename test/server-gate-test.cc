#include "oriolelever/server-gate.h"

#include <gtest/gtest.h>

namespace oriolelever {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view serviceName = "archivio";
constexpr milliseconds agentStartTimeOfDayMs{1'700'000'000'000};

Endpoint endpoint(std::string_view text)
{
    Endpoint parsed;
    EXPECT_TRUE(parseEndpoint(text, parsed)) << text;
    return parsed;
}

// The gate of a server before its first heartbeat.
class ServerGateTest : public testing::Test
{
public:
    ServerGateTest()
    {
        state.options.service = service;
        state.agentStartedAt = now;
        state.agentStartTimeOfDay = agentStartTimeOfDayMs;
        state.coldFlowsPerSecond = noColdLimit;
    }

    ServerHeartbeat makeHeartbeat(std::uint64_t sequence)
    {
        return {.id = "i-1",
                .startTimeMs = static_cast<std::uint64_t>(agentStartTimeOfDayMs.count()) - 60'000,
                .sequence = sequence,
                .service = std::string(serviceName),
                .zone = "bergamo",
                .slots = 2};
    }

    HeartbeatOutcome apply(const ServerHeartbeat &heartbeat)
    {
        return applyHeartbeat(state, heartbeat, now,
                              agentStartTimeOfDayMs
                                  + std::chrono::duration_cast<milliseconds>(now - state.agentStartedAt));
    }

    void makeReady()
    {
        apply(makeHeartbeat(7));
    }

    Segment callerPacket(bool opens, std::uint16_t port = 4000)
    {
        return {.source = endpoint("203.0.113.7:" + std::to_string(port)),
                .destination = endpoint("198.51.100.1:443"),
                .syn = opens,
                .ack = !opens,
                .acknowledgement = opens ? 0U : 501U,
                .payloadSize = opens ? 0U : 90U};
    }

    Segment serverPacket(std::uint16_t port = 4000)
    {
        return {.source = endpoint("198.51.100.1:443"),
                .destination = endpoint("203.0.113.7:" + std::to_string(port)),
                .ack = true,
                .sequence = 501,
                .payloadSize = 600};
    }

    GateDecision admitOpening(std::uint16_t port = 4000)
    {
        return admit(state, callerPacket(true, port), service, now);
    }

    GateDecision admitData(std::uint16_t port = 4000)
    {
        return admit(state, callerPacket(false, port), service, now);
    }

    void acceptOpening(std::uint16_t port = 4000)
    {
        auto accepted = serverPacket(port);
        accepted.syn = true;
        accepted.sequence = 500;
        accepted.payloadSize = 0;
        recordServerPacket(state, accepted, now);
    }

    GateAction admitWithTerms(std::uint16_t port, std::uint8_t priority, bool opens = false)
    {
        const RouteTerms terms{
            .priority = priority, .timeLimit = milliseconds(1131), .latencyGoal = milliseconds(200)};
        return admit(state, callerPacket(opens, port), service, now, false, terms).action;
    }

    // Opens flows of priority 2 on ports from 1 on, and one of priority 1; none has a request.
    void openFlowsOfTwoPriorities(std::uint16_t count)
    {
        makeReady();
        for (std::uint16_t port = 1; port <= count; ++port) {
            admitWithTerms(port, 2, true);
            acceptOpening(port);
        }
        admitWithTerms(1000, 1, true);
        acceptOpening(1000);
        now += state.options.firstRequestTimeout;
    }

    GateState state;
    TimePoint now{std::chrono::hours(1)};
    const ServiceId service = idOf<ServiceId>(serviceName);
};

TEST_F(ServerGateTest, NoFlowOpensBeforeTheFirstHeartbeat)
{
    EXPECT_EQ(admitOpening().action, GateAction::Return);
    EXPECT_EQ(admitOpening().reason, ReturnReason::NotReady);
    EXPECT_EQ(admitData().action, GateAction::Deliver)
        << "an earlier agent may have delivered the flow's opening";
}

TEST_F(ServerGateTest, AnOpeningForAnotherServiceIsGivenBack)
{
    makeReady();
    EXPECT_EQ(admit(state, callerPacket(true), idOf<ServiceId>("sportello"), now).reason,
              ReturnReason::OtherService);
    EXPECT_EQ(admitOpening().action, GateAction::Deliver);
}

TEST_F(ServerGateTest, ADrainingServerKeepsItsFlowsAndGetsNoNewOnes)
{
    makeReady();
    admitOpening();
    acceptOpening();
    EXPECT_EQ(admitData().action, GateAction::Deliver);
    auto heartbeat = makeHeartbeat(8);
    heartbeat.draining = true;
    EXPECT_EQ(apply(heartbeat), HeartbeatOutcome::StateChanged);
    EXPECT_EQ(admitOpening(4001).reason, ReturnReason::NotReady);
    EXPECT_EQ(admitData().action, GateAction::Deliver);
}

TEST_F(ServerGateTest, LateHeartbeatsChangeNothing)
{
    makeReady();
    auto draining = makeHeartbeat(9);
    draining.draining = true;
    apply(draining);
    EXPECT_EQ(apply(makeHeartbeat(8)), HeartbeatOutcome::Stale);
    auto earlierStart = makeHeartbeat(50);
    --earlierStart.startTimeMs;
    EXPECT_EQ(apply(earlierStart), HeartbeatOutcome::Stale);
    EXPECT_EQ(state.serverState, BackendState::Draining);
}

TEST_F(ServerGateTest, AStartAfterTheClockWasSetBackIsAccepted)
{
    makeReady();
    auto later = makeHeartbeat(1);
    later.startTimeMs -= 2000;
    EXPECT_EQ(apply(later), HeartbeatOutcome::Stale) << "the other start may still run";
    now += state.options.heartbeatTimeout + milliseconds(1);
    EXPECT_EQ(apply(later), HeartbeatOutcome::Stale) << "a repeated heartbeat";
    later.sequence = 4;
    EXPECT_EQ(apply(later), HeartbeatOutcome::Restarted);
    later.sequence = 5;
    now += milliseconds(1200);
    EXPECT_EQ(apply(later), HeartbeatOutcome::Accepted);
    EXPECT_EQ(admit(state, callerPacket(true), service, now).action, GateAction::Deliver);
}

TEST_F(ServerGateTest, AServerThatLeftStaysGoneUntilItsNextStart)
{
    makeReady();
    EXPECT_FALSE(applyDeparture(state, "i-2"));
    EXPECT_TRUE(applyDeparture(state, "i-1"));
    EXPECT_EQ(apply(makeHeartbeat(8)), HeartbeatOutcome::Stale);
    EXPECT_EQ(admitOpening().reason, ReturnReason::NotReady);
    auto next = makeHeartbeat(1);
    ++next.startTimeMs;
    EXPECT_EQ(apply(next), HeartbeatOutcome::Restarted);
    EXPECT_EQ(admitOpening().action, GateAction::Deliver);
}

// Guards against resets of a living server's flows, and against a server without a heartbeat getting work of
// another service: a heartbeat of another writer, or one that was delayed until its host serves another
// service.
TEST_F(ServerGateTest, AHeartbeatOfAnotherServiceIsIgnored)
{
    auto foreign = makeHeartbeat(1);
    foreign.service = "nightly-export";
    EXPECT_EQ(apply(foreign), HeartbeatOutcome::OtherService);
    EXPECT_EQ(state.lastHeartbeatAt, TimePoint{}) << "the server has not been heard";
    makeReady();
    admitOpening();
    acceptOpening();
    foreign.startTimeMs += 1000;
    EXPECT_EQ(apply(foreign), HeartbeatOutcome::OtherService);
    EXPECT_EQ(apply(makeHeartbeat(8)), HeartbeatOutcome::Accepted) << "not outdated by the other start";
    EXPECT_EQ(state.flows.size(), 1U);
    // Without a service in the settings the first heartbeat names it.
    state.options.service = {};
    EXPECT_EQ(apply(foreign), HeartbeatOutcome::Restarted);
}

TEST_F(ServerGateTest, ARestartUnderTheSameIdLosesEarlierFlows)
{
    makeReady();
    admitOpening();
    acceptOpening();
    admitData();
    auto next = makeHeartbeat(1);
    next.startTimeMs += 1000;
    EXPECT_EQ(apply(next), HeartbeatOutcome::Restarted);
    const auto resets = removeAllFlows(state, now);
    ASSERT_EQ(resets.size(), 1U);
    EXPECT_EQ(resets[0].flow, flowFromCaller(callerPacket(false)));
    EXPECT_EQ(resets[0].sequence, 501U);
    EXPECT_TRUE(state.flows.empty());
    EXPECT_EQ(state.waitingFlows, 0U);
    EXPECT_EQ(admitData().reason, ReturnReason::Ended);
    EXPECT_EQ(admitData(4001).reason, ReturnReason::NotHeld) << "the server never had this flow";
    EXPECT_EQ(admitOpening().action, GateAction::Deliver) << "the caller may use its port again";
    EXPECT_EQ(admitData().action, GateAction::Deliver);
}

// Copies of an opening packet can reach two servers (seed 707 of the soak). The end of the one that the
// caller has not acknowledged must not reset the flow at the other.
TEST_F(ServerGateTest, AFlowThatMayBeOpenAtAnotherServerIsNotReset)
{
    makeReady();
    const auto opening = callerPacket(true, 4000);
    admit(state, opening, service, now);
    recordServerPacket(state,
                       {.source = opening.destination,
                        .destination = opening.source,
                        .syn = true,
                        .ack = true,
                        .sequence = 500},
                       now);
    admit(state, callerPacket(true, 4001), service, now);
    EXPECT_TRUE(removeAllFlows(state, now).empty());
    EXPECT_NE(admit(state, callerPacket(false, 4000), service, now).reason, ReturnReason::Ended)
        << "the other server may hold it";
}

TEST_F(ServerGateTest, OnlyThePacketThatAcknowledgesTheServerOpensTheFlow)
{
    makeReady();
    admitOpening();
    acceptOpening();
    auto other = callerPacket(false);
    other.acknowledgement = 0x80000000;
    EXPECT_EQ(admit(state, other, service, now).reason, ReturnReason::NotHeld);
    EXPECT_EQ(admitData().action, GateAction::Deliver);
}

TEST_F(ServerGateTest, AnAgentThatSawTheServerStartDecidesForIt)
{
    apply(makeHeartbeat(1));
    EXPECT_EQ(admitData().reason, ReturnReason::NotHeld);
}

TEST_F(ServerGateTest, AnAgentStartedWithItsServerDecidesForIt)
{
    auto heartbeat = makeHeartbeat(3);
    heartbeat.startTimeMs = static_cast<std::uint64_t>(agentStartTimeOfDayMs.count()) - 150;
    apply(heartbeat);
    EXPECT_EQ(admitData().reason, ReturnReason::NotHeld);
}

TEST_F(ServerGateTest, AnAdjustedClockDoesNotProveTheServersStart)
{
    auto heartbeat = makeHeartbeat(3);
    heartbeat.startTimeMs = static_cast<std::uint64_t>(agentStartTimeOfDayMs.count()) - 150;
    applyHeartbeat(state, heartbeat, now, agentStartTimeOfDayMs + milliseconds(2400));
    EXPECT_EQ(admitData().action, GateAction::Deliver);
}

TEST_F(ServerGateTest, ARestartedAgentLetsTheServerDecide)
{
    makeReady();
    EXPECT_EQ(admitData().action, GateAction::Deliver);
    EXPECT_EQ(recordReturnedPacket(state, callerPacket(false)), ReturnReason::NotHeld);
}

TEST_F(ServerGateTest, WithoutAServerNoFlowIsHeld)
{
    now += state.options.heartbeatTimeout + milliseconds(1);
    EXPECT_EQ(admitData().reason, ReturnReason::NotHeld);
}

TEST_F(ServerGateTest, AnEndedFlowStillReachesItsServer)
{
    apply(makeHeartbeat(1));
    admitOpening();
    acceptOpening();
    auto last = callerPacket(false);
    last.fin = true;
    admit(state, last, service, now);
    auto end = serverPacket();
    end.fin = true;
    recordServerPacket(state, end, now);
    EXPECT_EQ(makeReport(state, 1, now, false).flows, 0U);
    EXPECT_EQ(admit(state, last, service, now).action, GateAction::Deliver);
    now += state.options.endedFlowRetention + milliseconds(1);
    expireEntries(state, now);
    EXPECT_EQ(state.endedFlows, 0U);
    EXPECT_TRUE(state.flows.empty());
}

TEST_F(ServerGateTest, AReturnedOpeningLeavesNoFlow)
{
    makeReady();
    admitOpening();
    EXPECT_EQ(recordReturnedPacket(state, callerPacket(true)), ReturnReason::Full);
    EXPECT_TRUE(state.flows.empty());
}

// Guards against resets of idle flows that agents forget by a limit that nobody has configured: a balancer
// that has not read the configuration has no limits to state, and another one may have an earlier version of
// it.
TEST_F(ServerGateTest, AnIdleFlowIsForgottenOnlyByALimitThatABalancerKnows)
{
    apply(makeHeartbeat(1));
    admitOpening();
    acceptOpening();
    admitData();
    now += 4 * state.options.defaultIdleTimeout;
    EXPECT_EQ(expireEntries(state, now), 0U) << "no balancer has read the configuration";
    const FlowLimits earlier{.coldFlowsPerSecond = 9, .idleLimit = milliseconds(15'000)};
    const FlowLimits later{.coldFlowsPerSecond = 20, .idleLimit = milliseconds(50'000)};
    applyLimits(state, {later, earlier});
    EXPECT_EQ(state.coldFlowsPerSecond, 9U);
    EXPECT_EQ(expireEntries(state, now), 0U);
    applyLimits(state, {});
    EXPECT_EQ(state.coldFlowsPerSecond, 9U) << "silent balancers change nothing";
    EXPECT_EQ(expireEntries(state, now), 0U);
    EXPECT_EQ(admitData().action, GateAction::Deliver);
    now += 2 * later.idleLimit + milliseconds(1);
    EXPECT_EQ(expireEntries(state, now), 1U);
}

// Guards against resets of open flows: a balancer that stood still sends a late copy of the opening packet,
// and the server, which is full by now, returns the copy.
TEST_F(ServerGateTest, ALateCopyOfItsOpeningDoesNotEndAnOpenFlow)
{
    apply(makeHeartbeat(1));
    admitOpening();
    acceptOpening();
    admitData();
    admitOpening();
    EXPECT_EQ(recordReturnedPacket(state, callerPacket(true)), ReturnReason::Full);
    EXPECT_EQ(admitData().action, GateAction::Deliver);
}

// The same for a server that repeats its answer, when the flow has carried more than a window of data since.
TEST_F(ServerGateTest, ARepeatedAnswerToItsOpeningDoesNotEndAnOpenFlow)
{
    apply(makeHeartbeat(1));
    admitOpening();
    acceptOpening();
    admitData();
    admitOpening();
    acceptOpening();
    auto later = callerPacket(false);
    later.acknowledgement += 10 * sequenceWindow;
    EXPECT_EQ(admit(state, later, service, now).action, GateAction::Deliver);
    EXPECT_EQ(removeAllFlows(state, now).size(), 1U) << "its caller learns when the server has ended";
}

TEST_F(ServerGateTest, RequestsInWorkAreCounted)
{
    makeReady();
    admitOpening();
    acceptOpening();
    admitData();
    EXPECT_EQ(makeReport(state, 1, now, false).waiting, 1U);
    admitData();
    EXPECT_EQ(makeReport(state, 1, now, false).waiting, 1U);
    recordServerPacket(state, serverPacket(), now);
    EXPECT_EQ(makeReport(state, 1, now, false).waiting, 0U);
}

TEST_F(ServerGateTest, TheServersTimesAreMeasuredFromTheFirstPacket)
{
    makeReady();
    admitOpening();
    now += milliseconds(3);
    admitOpening();
    now += milliseconds(2);
    auto accepted = serverPacket();
    accepted.syn = true;
    accepted.payloadSize = 0;
    const auto opened = recordServerPacket(state, accepted, now);
    EXPECT_EQ(opened.opening, std::optional<Duration>(milliseconds(5)));
    EXPECT_FALSE(opened.answer);
    admitData();
    now += milliseconds(20);
    EXPECT_EQ(recordServerPacket(state, serverPacket(), now).answer,
              std::optional<Duration>(milliseconds(20)));
    EXPECT_FALSE(recordServerPacket(state, serverPacket(), now).answer) << "the rest of the same answer";
}

TEST_F(ServerGateTest, AColdServerStaysWithinItsLimitInEverySecond)
{
    state.coldFlowsPerSecond = 6;
    state.options.busyRequestsPerSlot = UINT32_MAX;
    auto heartbeat = makeHeartbeat(1);
    heartbeat.coldLeft = milliseconds(5000);
    apply(heartbeat);
    std::vector<TimePoint> delivered;
    for (std::uint16_t port = 1; port < 2000; ++port) {
        if (admitOpening(port).action == GateAction::Deliver) {
            delivered.push_back(now);
        } else {
            EXPECT_EQ(admitOpening(port).reason, ReturnReason::Cold);
        }
        now += milliseconds(2);
    }
    ASSERT_GT(delivered.size(), 15U);
    for (std::size_t i = 6; i < delivered.size(); ++i) {
        EXPECT_GT(delivered[i] - delivered[i - 6], milliseconds(1000));
    }
}

TEST_F(ServerGateTest, ARestartedAgentDelaysNewFlowsOfAColdServer)
{
    state.coldFlowsPerSecond = 6;
    auto heartbeat = makeHeartbeat(7);
    heartbeat.coldLeft = milliseconds(5000);
    apply(heartbeat);
    EXPECT_EQ(admitOpening().reason, ReturnReason::Cold);
    now += state.options.coldRateWindow;
    EXPECT_EQ(admitOpening().action, GateAction::Deliver);
}

TEST_F(ServerGateTest, ColdLimitsOfOneAndOfManyHold)
{
    state.options.busyRequestsPerSlot = UINT32_MAX;
    auto heartbeat = makeHeartbeat(1);
    heartbeat.coldLeft = milliseconds(20'000);
    apply(heartbeat);
    for (const std::uint32_t limit : {1U, 2U, 65U, 66U, 300U}) {
        now += state.options.coldRateWindow;
        state.coldFlowsPerSecond = limit;
        std::uint32_t delivered = 0;
        for (std::uint16_t port = 1; port <= 400; ++port) {
            delivered += admitOpening(port).action == GateAction::Deliver ? 1 : 0;
        }
        EXPECT_GE(delivered, 1U) << limit;
        EXPECT_LE(delivered, limit);
        EXPECT_GE(delivered + state.options.reservedColdFlows, limit);
    }
}

TEST_F(ServerGateTest, WithoutAStatedRateAColdServerIsNotLimited)
{
    state.options.busyRequestsPerSlot = UINT32_MAX;
    auto heartbeat = makeHeartbeat(7);
    heartbeat.coldLeft = milliseconds(5000);
    apply(heartbeat);
    for (std::uint16_t port = 1; port < 50; ++port) {
        EXPECT_EQ(admitOpening(port).action, GateAction::Deliver);
    }
}

TEST_F(ServerGateTest, AServerThatAnswersNoOpeningIsSuspect)
{
    makeReady();
    admitOpening();
    EXPECT_FALSE(isSuspect(state, now));
    now += state.options.openingTimeout + milliseconds(1);
    EXPECT_TRUE(isSuspect(state, now));
    recordProbe(state, true);
    EXPECT_FALSE(isSuspect(state, now));
    EXPECT_EQ(state.serverState, BackendState::Ready);
}

TEST_F(ServerGateTest, AnAgentDetectsThatNoServerRuns)
{
    EXPECT_FALSE(isSuspect(state, now)) << "no packet was sent to it";
    EXPECT_EQ(admit(state, callerPacket(false), service, now).action, GateAction::Deliver)
        << "it may hold the flow";
    now += state.options.requestTimeout + milliseconds(1);
    EXPECT_TRUE(isSuspect(state, now));
    recordProbe(state, false);
    EXPECT_EQ(admit(state, callerPacket(false), service, now).reason, ReturnReason::NotHeld);
}

TEST_F(ServerGateTest, AServerThatGivesPacketsBackIsNotSuspect)
{
    admit(state, callerPacket(false), service, now);
    recordReturnedPacket(state, callerPacket(false));
    now += state.options.requestTimeout + milliseconds(1);
    EXPECT_FALSE(isSuspect(state, now));
}

TEST_F(ServerGateTest, AServerThatRefusesAProbeGetsNoFlowsUntilItsNextHeartbeat)
{
    makeReady();
    recordProbe(state, false);
    EXPECT_EQ(admitOpening().reason, ReturnReason::NotReady);
    apply(makeHeartbeat(8));
    EXPECT_EQ(admitOpening().action, GateAction::Deliver);
}

TEST_F(ServerGateTest, AnAgentThatSawTheServerStartReportsAllFlows)
{
    apply(makeHeartbeat(1));
    const FlowKey none{.caller = endpoint("203.0.113.7:9"), .service = endpoint("198.51.100.1:443")};
    ASSERT_EQ(admit(state, callerPacket(true, 4000), service, now).action, GateAction::Deliver);
    const auto report = makeReport(state, 1, now, true);
    ASSERT_TRUE(report.heldFlowFilter);
    EXPECT_TRUE(report.heldFlowFilter->mayContain(hashFlow(flowFromCaller(callerPacket(true, 4000)))))
        << "a flow is reported before its server has answered";
    EXPECT_FALSE(report.heldFlowFilter->mayContain(hashFlow(none)));
    EXPECT_FALSE(makeReport(state, 1, now, false).heldFlowFilter)
        << "only on request, as it enlarges the report";
}

TEST_F(ServerGateTest, AnAgentWithoutAServerReportsThatItHoldsNoFlow)
{
    EXPECT_FALSE(makeReport(state, 1, now, true).heldFlowFilter) << "a server may show itself";
    now += state.options.heartbeatTimeout + milliseconds(1);
    EXPECT_EQ(makeReport(state, 1, now, true).heldFlowFilter, FlowFilter{});
}

TEST_F(ServerGateTest, ARestartedAgentDoesNotReportAllFlows)
{
    makeReady();
    EXPECT_FALSE(makeReport(state, 1, now, true).heldFlowFilter);
}

TEST_F(ServerGateTest, NotesAreKeptForALimitedTime)
{
    const auto key = flowFromCaller(callerPacket(true));
    IpAddress holder;
    ASSERT_TRUE(parseIpAddress("10.0.0.9", holder));
    recordNote(state, key, holder, now);
    ASSERT_NE(notedHolder(state, key), nullptr);
    EXPECT_EQ(*notedHolder(state, key), holder);
    now += state.options.noteRetention + milliseconds(1);
    expireEntries(state, now);
    EXPECT_EQ(notedHolder(state, key), nullptr);
}

TEST_F(ServerGateTest, ForgedPacketsAreDropped)
{
    makeReady();
    auto forged = callerPacket(true);
    forged.ack = true;
    EXPECT_EQ(admit(state, forged, service, now).action, GateAction::Drop);
    forged = callerPacket(false);
    forged.returned = true;
    EXPECT_EQ(admit(state, forged, service, now).action, GateAction::Drop);
}

TEST_F(ServerGateTest, ABusyServersOpeningIsPassedOnOnceAndThenWaits)
{
    makeReady();
    for (std::uint16_t port = 1; port <= 4; ++port) {
        EXPECT_EQ(admit(state, callerPacket(true, port), service, now, true).action, GateAction::Deliver);
    }
    const auto passedOn = admit(state, callerPacket(true, 5), service, now, true);
    EXPECT_EQ(passedOn.action, GateAction::Return);
    EXPECT_EQ(passedOn.reason, ReturnReason::Busy);
    EXPECT_EQ(admitOpening(5).action, GateAction::Queue);
    EXPECT_EQ(admitOpening(4).action, GateAction::Deliver) << "the server has a copy of this opening packet";
    now += state.options.firstRequestTimeout;
    EXPECT_EQ(admitOpening(5).action, GateAction::Deliver) << "the flows that were opened have no request";
}

TEST_F(ServerGateTest, AnAnswerMakesABusyServerAvailable)
{
    makeReady();
    for (std::uint16_t port = 1; port <= 4; ++port) {
        admitOpening(port);
        acceptOpening(port);
        admitData(port);
    }
    now += state.options.firstRequestTimeout;
    EXPECT_TRUE(isBusy(state, now));
    recordServerPacket(state, serverPacket(2), now);
    EXPECT_EQ(pendingRequests(state, now), 3U);
    EXPECT_FALSE(isBusy(state, now));
}

TEST_F(ServerGateTest, AQueuedOpeningIsReturnedWhenItsServerLeaves)
{
    makeReady();
    const WaitingWork opening{
        .flow = flowFromCaller(callerPacket(true)), .isOpening = true, .intendedService = service};
    EXPECT_EQ(admitQueued(state, opening, now).action, GateAction::Deliver);
    auto heartbeat = makeHeartbeat(8);
    heartbeat.draining = true;
    apply(heartbeat);
    EXPECT_EQ(admitQueued(state, opening, now).reason, ReturnReason::NotReady);
}

TEST_F(ServerGateTest, ARequestWithoutAnyAnswerDoesNotCountForEver)
{
    makeReady();
    admitOpening();
    acceptOpening();
    admitData();
    EXPECT_EQ(pendingRequests(state, now), 1U);
    now += state.options.maxRequestTime + milliseconds(1);
    expireEntries(state, now);
    EXPECT_EQ(pendingRequests(state, now), 0U);
}

// A server that accepts flows and resets every request, as one that goes down and up by turns.
TEST_F(ServerGateTest, AServerThatResetsRequestsIsEjectedAndReturnsAfterAnAnswer)
{
    makeReady();
    auto reset = serverPacket();
    const auto resetRequest = [&](std::uint16_t port) {
        admitOpening(port);
        acceptOpening(port);
        admitData(port);
        reset = serverPacket(port);
        reset.rst = true;
        reset.payloadSize = 0;
        recordServerPacket(state, reset, now);
    };
    std::uint16_t port = 1;
    for (std::uint32_t i = 0; i < state.options.maxConsecutiveResets; ++i) {
        EXPECT_FALSE(isFailing(state, now));
        resetRequest(port++);
    }
    EXPECT_TRUE(isFailing(state, now));
    EXPECT_TRUE(makeReport(state, 1, now, false).isFailing);
    EXPECT_EQ(admit(state, callerPacket(true, 100), service, now, true).reason, ReturnReason::Busy);
    EXPECT_EQ(admitOpening(100).action, GateAction::Deliver) << "no other server takes it";

    now += state.options.firstEjection;
    EXPECT_FALSE(isFailing(state, now)) << "one request is let through";
    resetRequest(port++);
    now += state.options.firstEjection;
    EXPECT_TRUE(isFailing(state, now)) << "the second ejection is longer";
    now += state.options.firstEjection;
    EXPECT_EQ(admit(state, callerPacket(true, 200), service, now, true).action, GateAction::Deliver);
    acceptOpening(200);
    EXPECT_TRUE(isFailing(state, now)) << "until the request is answered";
    admitData(200);
    recordServerPacket(state, serverPacket(200), now);
    EXPECT_FALSE(isFailing(state, now));
}

// Guards against a change for services whose routes state no terms, or the same ones.
TEST_F(ServerGateTest, RequestsPassWhereFlowsShowOnePriority)
{
    makeReady();
    for (std::uint16_t port = 1; port <= 4; ++port) {
        EXPECT_EQ(admitWithTerms(port, 2, true), GateAction::Deliver);
        acceptOpening(port);
    }
    now += state.options.firstRequestTimeout;
    for (std::uint16_t port = 1; port <= 4; ++port) {
        EXPECT_EQ(admitWithTerms(port, 2), GateAction::Deliver);
    }
}

TEST_F(ServerGateTest, RequestsBeyondTheLimitWaitWhereFlowsShowTwoPriorities)
{
    openFlowsOfTwoPriorities(4);
    for (std::uint16_t port = 1; port <= 3; ++port) {
        EXPECT_EQ(admitWithTerms(port, 2), GateAction::Deliver) << "two slots and one request";
    }
    EXPECT_EQ(admitWithTerms(3, 2), GateAction::Deliver) << "a further packet of a request under way";
    EXPECT_EQ(admitWithTerms(4, 2), GateAction::Hold);
    auto acknowledgement = callerPacket(false, 4);
    acknowledgement.payloadSize = 0;
    EXPECT_EQ(admit(state, acknowledgement, service, now).action, GateAction::Deliver);
    acknowledgement.fin = true;
    EXPECT_EQ(admit(state, acknowledgement, service, now).action, GateAction::Hold)
        << "a close must not overtake the request";
    EXPECT_EQ(admitData(99).action, GateAction::Deliver) << "an unknown flow";
    EXPECT_EQ(admitWithTerms(1001, 1, true), GateAction::Queue);
    now += state.options.priorityRetention;
    EXPECT_FALSE(isScheduling(state, now));
}

TEST_F(ServerGateTest, TheFirstRequestOfAnAdmittedFlowPasses)
{
    openFlowsOfTwoPriorities(4);
    EXPECT_EQ(admitWithTerms(1001, 1, true), GateAction::Deliver);
    acceptOpening(1001);
    admitWithTerms(1, 2);
    admitWithTerms(2, 2);
    EXPECT_EQ(admitWithTerms(3, 2), GateAction::Deliver) << "the first request is still a round trip away";
    EXPECT_EQ(admitWithTerms(4, 2), GateAction::Hold);
    EXPECT_EQ(admitWithTerms(1001, 1), GateAction::Deliver) << "it was counted when the flow was opened";
}

TEST_F(ServerGateTest, RequestsOfADrainingServerPass)
{
    openFlowsOfTwoPriorities(6);
    auto heartbeat = makeHeartbeat(8);
    heartbeat.draining = true;
    apply(heartbeat);
    for (std::uint16_t port = 1; port <= 6; ++port) {
        EXPECT_EQ(admitWithTerms(port, 2), GateAction::Deliver);
    }
}

// Guards against work that waits for requests whose callers are gone.
TEST_F(ServerGateTest, RequestsWithoutAnAnswerForLongDoNotKeepTheServerBusy)
{
    openFlowsOfTwoPriorities(4);
    for (std::uint16_t port = 1; port <= 3; ++port) {
        admitWithTerms(port, 2);
    }
    EXPECT_TRUE(isBusy(state, now));
    now += state.options.overdueTime + milliseconds(1);
    markOverdueRequests(state, now);
    EXPECT_FALSE(isBusy(state, now));
    recordServerPacket(state, serverPacket(1), now);
    EXPECT_EQ(state.overdueRequests, 2U);
}

TEST_F(ServerGateTest, ThePaceIsThatOfASlotAndExpires)
{
    openFlowsOfTwoPriorities(4);
    for (std::uint16_t port = 1; port <= 3; ++port) {
        admitWithTerms(port, 2);
    }
    now += milliseconds(30);
    recordServerPacket(state, serverPacket(3), now);
    EXPECT_EQ(currentPace(state, now).usualWork, milliseconds(20)) << "it waited for one of two slots";
    EXPECT_DOUBLE_EQ(currentPace(state, now).answersPerSecond, 100);
    now += state.options.paceRetention + milliseconds(1);
    EXPECT_EQ(currentPace(state, now).usualWork, Duration::zero());
}

TEST_F(ServerGateTest, ReportsStateWhatWaits)
{
    openFlowsOfTwoPriorities(4);
    const auto packet = callerPacket(false, 4);
    holdPacket(state.schedule, state.options.schedule, flowFromCaller(packet), {}, packet, {}, {}, now);
    now += milliseconds(25);
    const auto report = makeReport(state, 1, now, false);
    EXPECT_EQ(report.waiting, 1U);
    ASSERT_TRUE(report.capacity);
    EXPECT_EQ(report.capacity->queuedRequests, 1);
    EXPECT_EQ(report.capacity->queuedOpenings, 0);
    EXPECT_EQ(report.capacity->longestWait, milliseconds(25));
    EXPECT_EQ(report.capacity->openings, 5U);
}

// Guards against requests that cannot be repeated at a server that goes down and up by turns.
TEST_F(ServerGateTest, AServerThatHasResetARequestIsUnreliableForAWhile)
{
    makeReady();
    const RouteTerms unrepeatable{.priority = 1, .latencyGoal = milliseconds(200)};
    const RouteTerms repeatable{.isRepeatable = true, .priority = 2, .latencyGoal = milliseconds(200)};
    admitOpening(1);
    acceptOpening(1);
    admitData(1);
    auto reset = serverPacket(1);
    reset.rst = true;
    recordServerPacket(state, reset, now);
    EXPECT_TRUE(makeReport(state, 1, now, false).isUnreliable);
    EXPECT_EQ(admit(state, callerPacket(true, 2), service, now, true, unrepeatable).reason,
              ReturnReason::Busy);
    EXPECT_EQ(admit(state, callerPacket(true, 2), service, now, false, unrepeatable).action,
              GateAction::Deliver)
        << "no other server takes it";
    EXPECT_EQ(admit(state, callerPacket(true, 3), service, now, true, repeatable).action,
              GateAction::Deliver);
    acceptOpening(3);
    admitData(3);
    recordServerPacket(state, serverPacket(3), now);
    EXPECT_TRUE(isUnreliable(state, now)) << "an answer does not show that it stays up";
    now += state.options.unreliableTime;
    EXPECT_FALSE(isUnreliable(state, now));
    EXPECT_EQ(admit(state, callerPacket(true, 4), service, now, true, unrepeatable).action,
              GateAction::Deliver);
}

// Guards against flows of callers who gave up without a word that count as load until they expire, and
// against a caller with an idle flow that is taken for one of them.
TEST_F(ServerGateTest, FlowsOfSilentCallersAreNoLoad)
{
    makeReady();
    for (const std::uint16_t port : {1, 2, 3}) {
        admitOpening(port);
        acceptOpening(port);
    }
    admitData(2); // Answered, and not acknowledged.
    recordServerPacket(state, serverPacket(2), now);
    admitData(3); // Answered and acknowledged; the caller keeps the flow.
    recordServerPacket(state, serverPacket(3), now);
    auto acknowledgement = callerPacket(false, 3);
    acknowledgement.payloadSize = 0;
    admit(state, acknowledgement, service, now);
    now += state.options.callerResponseTimeout;
    EXPECT_EQ(makeReport(state, 1, now, false).flows, 3U);
    now += milliseconds(1);
    EXPECT_EQ(makeReport(state, 1, now, false).flows, 1U);
    EXPECT_EQ(state.flows.size(), 3U) << "the server still holds them";
    admit(state, callerPacket(false, 2), service, now);
    EXPECT_EQ(makeReport(state, 1, now, false).flows, 2U) << "the caller was only late";
}

TEST_F(ServerGateTest, ACallerWhoseTimeLimitIsOverNoLongerCounts)
{
    makeReady();
    const RouteTerms terms{.priority = 2, .timeLimit = milliseconds(2000)};
    admit(state, callerPacket(true, 1), service, now, false, terms);
    acceptOpening(1);
    admitData(1);
    now += terms.timeLimit * 3 / 2;
    EXPECT_EQ(makeReport(state, 1, now, false).flows, 1U);
    now += milliseconds(1);
    EXPECT_EQ(makeReport(state, 1, now, false).flows, 0U);
}

TEST_F(ServerGateTest, ResetsBetweenAnswersEjectNobody)
{
    makeReady();
    for (std::uint16_t port = 1; port <= 20; ++port) {
        admitOpening(port);
        acceptOpening(port);
        admitData(port);
        auto answer = serverPacket(port);
        answer.rst = port % 2 == 0;
        recordServerPacket(state, answer, now);
        EXPECT_FALSE(isFailing(state, now));
    }
}

TEST_F(ServerGateTest, EstablishedFlowsAreListedWithTheirStart)
{
    EXPECT_FALSE(listFlows(state, now)) << "no server is known";
    apply(makeHeartbeat(1));
    for (std::uint16_t port = 1; port <= 3; ++port) {
        admitOpening(port);
        acceptOpening(port);
        now += milliseconds(1);
        if (port != 2) {
            admitData(port);
        }
    }
    const auto list = listFlows(state, now);
    ASSERT_TRUE(list);
    EXPECT_EQ(list->bornAt, makeHeartbeat(1).startTimeMs);
    ASSERT_EQ(list->flows.size(), 2U) << "without the one that its caller has not acknowledged";
    EXPECT_EQ(list->flows[0].flow, flowFromCaller(callerPacket(false, 3))) << "used last";
    EXPECT_EQ(list->flows[0].sequence, callerPacket(false, 3).acknowledgement);
}

TEST_F(ServerGateTest, ARestartedAgentListsFlowsOnceItKnowsThoseInUse)
{
    makeReady();
    EXPECT_FALSE(listFlows(state, now)) << "a list of few flows would replace the complete one";
    now += state.options.defaultIdleTimeout + milliseconds(1);
    EXPECT_FALSE(listFlows(state, now)) << "flows may be idle for longer, as no balancer has stated a limit";
    applyLimits(state, {{}});
    EXPECT_TRUE(listFlows(state, now));
}

} // namespace
} // namespace oriolelever
