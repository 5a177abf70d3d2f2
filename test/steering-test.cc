#include "oriolelever/steering.h"

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

namespace oriolelever {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view serviceName = "sportello";

Endpoint endpoint(std::string_view text)
{
    Endpoint parsed;
    EXPECT_TRUE(parseEndpoint(text, parsed)) << text;
    return parsed;
}

IpAddress address(std::string_view text)
{
    IpAddress parsed;
    EXPECT_TRUE(parseIpAddress(text, parsed)) << text;
    return parsed;
}

// A balancer of zone "a" with a configuration and no agents yet.
class SteeringTest : public testing::Test
{
public:
    SteeringTest()
    {
        state.options.zone = idOf<ZoneId>("a");
        RoutingTable table{.position = {.revision = 10}, .version = 1};
        table.routes[virtualAddress] = {.services = {{idOf<ServiceId>(serviceName), 1}}};
        table.idleLimit = milliseconds(15'000);
        EXPECT_EQ(applyTable(state, table, now), TableOutcome::InForce);
    }

    // Applies a list of the agents' entries.
    void listAgents(std::initializer_list<std::string_view> hosts)
    {
        std::vector<IpAddress> addresses;
        for (const auto host : hosts) {
            addresses.push_back(address(host));
        }
        applyAgentList(state, addresses, now);
    }

    // Applies a report; service and zone "a" are filled in.
    void report(std::string_view host, Report report)
    {
        if (!report.service) {
            report.service = idOf<ServiceId>(serviceName);
        }
        if (!report.zone) {
            report.zone = idOf<ZoneId>("a");
        }
        applyReport(state, indexOf(host), report, now);
    }

    // Three ready servers: the first two in zone "a", the third in zone "b".
    void reportThreeReady()
    {
        listAgents({"10.0.0.1", "10.0.0.2", "10.0.0.3"});
        report("10.0.0.1", {.state = BackendState::Ready, .slots = 2, .flows = 4});
        report("10.0.0.2", {.state = BackendState::Ready, .slots = 2, .flows = 2});
        report("10.0.0.3", {.zone = idOf<ZoneId>("b"), .state = BackendState::Ready, .slots = 2, .flows = 0});
    }

    // Age at which the last report of an agent with the usual report period makes it unreachable.
    milliseconds reportTimeout() const
    {
        return std::chrono::duration_cast<milliseconds>(state.options.reportTimeoutPeriods
                                                        * state.options.reportPeriod);
    }

    BackendIndex indexOf(std::string_view host)
    {
        return findOrAddBackend(state, address(host), now);
    }

    Segment packet(std::uint16_t port, bool opens)
    {
        return {.source = endpoint("203.0.113.7:" + std::to_string(port)),
                .destination = virtualAddress,
                .syn = opens,
                .ack = !opens,
                .acknowledgement = opens ? 0U : 1000U,
                .payloadSize = opens ? 0U : 100U};
    }

    // An opening packet of the caller at `port`.
    SteeringDecision open(std::uint16_t port)
    {
        return steerCallerPacket(state, packet(port, true), now);
    }

    // A data packet of the caller at `port`.
    SteeringDecision data(std::uint16_t port)
    {
        return steerCallerPacket(state, packet(port, false), now);
    }

    // A data packet that acknowledges an answer of the server.
    SteeringDecision dataAfterAnswer(std::uint16_t port)
    {
        auto next = packet(port, false);
        next.acknowledgement += 600;
        return steerCallerPacket(state, next, now);
    }

    // The caller at `port` opens a flow, gets an answer and acknowledges it, and the holder's agent reports
    // since. Returns the holder.
    BackendIndex openAnsweredFlow(std::uint16_t port)
    {
        const auto holder = open(port).backend;
        data(port);
        EXPECT_EQ(dataAfterAnswer(port).backend, holder);
        now += milliseconds(100);
        applyReport(state, holder, state.backends[holder].report, now);
        return holder;
    }

    // An agent returns the packet of the caller at `port`.
    SteeringDecision returnPacket(std::uint16_t port, bool opens, BackendIndex from, ReturnReason reason,
                                  const IpAddress &holder = {})
    {
        return steerReturnedPacket(state, packet(port, opens), from, reason, holder, now);
    }

    // Lets each agent that is queried answer that it has no note.
    SteeringDecision answerNoteQueries(std::uint16_t port, SteeringDecision decision)
    {
        while (decision.action == SteeringAction::QueryNote) {
            decision = returnPacket(port, false, decision.backend, ReturnReason::NotNoted);
        }
        return decision;
    }

    // Lets each agent return the packet; returns those that were offered it, and the last decision.
    std::pair<std::set<BackendIndex>, SteeringDecision> searchAllAgents(std::uint16_t port,
                                                                        SteeringDecision decision)
    {
        std::set<BackendIndex> offered;
        decision = answerNoteQueries(port, decision);
        while (decision.action == SteeringAction::Forward) {
            EXPECT_EQ(decision.cause, SteeringCause::Searching);
            EXPECT_TRUE(offered.insert(decision.backend).second);
            decision
                = answerNoteQueries(port, returnPacket(port, false, decision.backend, ReturnReason::NotHeld));
        }
        return {offered, decision};
    }

    SteeringState state;
    TimePoint now{std::chrono::hours(1)};
    const Endpoint virtualAddress = endpoint("198.51.100.1:443");
};

TEST_F(SteeringTest, NothingIsDecidedBeforeTheConfigurationIsRead)
{
    SteeringState empty;
    const auto decision = steerCallerPacket(empty, packet(1, true), now);
    EXPECT_EQ(decision.action, SteeringAction::Drop);
    EXPECT_EQ(decision.cause, SteeringCause::NotReady);
}

TEST_F(SteeringTest, ARestartedBalancerResetsNothingBeforeItKnowsTheAgents)
{
    EXPECT_EQ(data(1).action, SteeringAction::Drop);
    EXPECT_EQ(open(2).action, SteeringAction::Drop);
}

TEST_F(SteeringTest, AnOpeningWaitsForTheFirstReports)
{
    listAgents({"10.0.0.1"});
    EXPECT_EQ(open(1).cause, SteeringCause::NotReady);
    EXPECT_EQ(data(2).cause, SteeringCause::NotReady);
    now += state.options.firstReportWait;
    EXPECT_EQ(open(1).action, SteeringAction::Reset);
    EXPECT_EQ(data(3).cause, SteeringCause::Undecided) << "the unreachable agent's server may hold the flow";
    now += state.options.restartTimeout;
    EXPECT_EQ(data(2).cause, SteeringCause::Undecided) << "an isolated balancer cannot rule out any server";
    report("10.0.0.2", {.state = BackendState::Ready});
    now += state.options.undecidedRetryDelay;
    report("10.0.0.2", {.state = BackendState::Ready});
    const auto [offered, decision] = searchAllAgents(2, data(2));
    EXPECT_EQ(decision.cause, SteeringCause::NotHeld);
}

TEST_F(SteeringTest, ANewFlowGoesToTheLeastLoadedServerOfTheOwnZone)
{
    reportThreeReady();
    const auto decision = open(1);
    EXPECT_EQ(decision.action, SteeringAction::Forward);
    EXPECT_EQ(decision.cause, SteeringCause::Placed);
    EXPECT_EQ(decision.backend, indexOf("10.0.0.2"));
}

TEST_F(SteeringTest, ANewFlowGoesToAnotherZoneWhenTheOwnOneIsLoaded)
{
    reportThreeReady();
    report("10.0.0.1", {.state = BackendState::Ready, .slots = 2, .flows = 40});
    report("10.0.0.2", {.state = BackendState::Ready, .slots = 2, .flows = 40});
    EXPECT_EQ(open(1).backend, indexOf("10.0.0.3"));
}

TEST_F(SteeringTest, PacketsAndCopiesFollowTheFlow)
{
    reportThreeReady();
    const auto placed = open(1).backend;
    EXPECT_EQ(open(1).backend, placed);
    EXPECT_EQ(data(1).backend, placed);
    EXPECT_EQ(data(1).cause, SteeringCause::Known);
}

TEST_F(SteeringTest, ACopyOfAnOpeningMovesFromAnUnreachableAgent)
{
    reportThreeReady();
    const auto first = open(1).backend;
    now += reportTimeout();
    for (const auto host : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
        if (indexOf(host) != first) {
            report(host, {.state = BackendState::Ready, .slots = 2});
        }
    }
    const auto second = open(1);
    EXPECT_EQ(second.cause, SteeringCause::Moved);
    EXPECT_NE(second.backend, first);
}

TEST_F(SteeringTest, NoNewFlowGoesToAnEvacuatedZone)
{
    reportThreeReady();
    state.evacuatedZones.insert(idOf<ZoneId>("a"));
    EXPECT_EQ(open(1).backend, indexOf("10.0.0.3"));
    state.evacuatedZones.insert(idOf<ZoneId>("b"));
    EXPECT_EQ(open(2).cause, SteeringCause::NoServer);
}

TEST_F(SteeringTest, AnOpenFlowStaysInAnEvacuatedZone)
{
    reportThreeReady();
    const auto placed = open(1).backend;
    state.evacuatedZones.insert(idOf<ZoneId>("a"));
    EXPECT_EQ(data(1).backend, placed);
}

TEST_F(SteeringTest, AReturnedOpeningTriesEachServerOnceAndIsThenRefused)
{
    reportThreeReady();
    std::set<BackendIndex> offered;
    auto decision = open(1);
    while (decision.action == SteeringAction::Forward) {
        ASSERT_TRUE(offered.insert(decision.backend).second);
        decision = returnPacket(1, true, decision.backend, ReturnReason::Full);
    }
    EXPECT_EQ(offered.size(), 3U);
    EXPECT_EQ(decision.action, SteeringAction::Reset);
    EXPECT_EQ(decision.cause, SteeringCause::NoServer);
}

TEST_F(SteeringTest, AnUnknownFlowIsOfferedToEachAgentAndThenReset)
{
    reportThreeReady();
    const auto [offered, decision] = searchAllAgents(1, data(1));
    EXPECT_EQ(offered.size(), 3U);
    EXPECT_EQ(decision.action, SteeringAction::Reset);
    EXPECT_EQ(decision.cause, SteeringCause::NotHeld);
}

TEST_F(SteeringTest, AFlowThatAnUnreachableAgentsServerMayHoldIsNotReset)
{
    reportThreeReady();
    now += milliseconds(500);
    report("10.0.0.1", {.state = BackendState::Ready});
    report("10.0.0.2", {.state = BackendState::Ready});
    now += milliseconds(300);
    const auto [offered, decision] = searchAllAgents(1, data(1));
    EXPECT_EQ(offered.size(), 2U);
    EXPECT_EQ(decision.action, SteeringAction::Drop);
    EXPECT_EQ(decision.cause, SteeringCause::Undecided);
}

TEST_F(SteeringTest, AnIsolatedBalancerResetsNoOpenFlow)
{
    reportThreeReady();
    now += state.options.restartTimeout + milliseconds(1);
    EXPECT_TRUE(isIsolated(state, now));
    EXPECT_EQ(data(3).cause, SteeringCause::Undecided) << "the servers may be alive, but unreachable";
    EXPECT_EQ(open(4).cause, SteeringCause::NoServer)
        << "no server has the flow yet, and the caller's next attempt may succeed";
    report("10.0.0.1", {.state = BackendState::Ready, .slots = 2});
    EXPECT_FALSE(isIsolated(state, now));
}

TEST_F(SteeringTest, ABalancerThatKnowsNoAgentResetsNoOpenFlow)
{
    listAgents({});
    EXPECT_TRUE(isIsolated(state, now));
    EXPECT_EQ(data(3).cause, SteeringCause::Undecided);
    EXPECT_TRUE(resolveSearches(state, now + std::chrono::seconds(1)).empty());
}

TEST_F(SteeringTest, AServerThatRejectedAnOpeningIsStillOfferedPackets)
{
    reportThreeReady();
    const auto refusing = open(1).backend;
    const auto holder = returnPacket(1, true, refusing, ReturnReason::Full).backend;
    data(1);
    dataAfterAnswer(1);
    const auto [offered, decision]
        = searchAllAgents(1, answerNoteQueries(1, returnPacket(1, false, holder, ReturnReason::NotHeld)));
    EXPECT_TRUE(offered.contains(refusing)) << "it may have accepted a copy from another balancer";
}

TEST_F(SteeringTest, AfterAStallAgentsReportBeforeAnythingIsReset)
{
    reportThreeReady();
    now += std::chrono::seconds(5);
    handleStall(state, std::chrono::seconds(5), now);
    endStall(state);
    EXPECT_FALSE(hasInitialReports(state, now));
    EXPECT_EQ(open(3).cause, SteeringCause::NotReady) << "the caller retransmits it";
    EXPECT_EQ(data(4).cause, SteeringCause::NotReady);
    report("10.0.0.1", {.state = BackendState::Ready, .slots = 2});
    EXPECT_EQ(open(5).action, SteeringAction::Forward);
    now += state.options.firstReportWait + milliseconds(1);
    auto [offered, decision] = searchAllAgents(6, data(6));
    EXPECT_EQ(decision.cause, SteeringCause::Undecided) << "two agents have not reported since";
}

// Guards against flows at servers that nobody uses: a balancer that stood still finds opening packets whose
// callers have given up, or opened the flow at another server by a copy.
TEST_F(SteeringTest, OpeningsFromALongStallAreNotPlaced)
{
    reportThreeReady();
    handleStall(state, state.options.openingTimeout - milliseconds(1), now);
    reportThreeReady();
    EXPECT_EQ(open(1).cause, SteeringCause::Placed) << "its caller may still wait";
    handleStall(state, state.options.openingTimeout, now);
    reportThreeReady();
    EXPECT_EQ(open(2).cause, SteeringCause::Stalled);
    EXPECT_EQ(data(1).action, SteeringAction::Forward) << "open flows go on";
    endStall(state);
    EXPECT_EQ(open(3).cause, SteeringCause::Placed) << "the packets that were waiting have been read";
    handleStall(state, state.options.openingTimeout, now);
    reportThreeReady();
    now += state.options.stallBacklogTime;
    EXPECT_EQ(open(4).cause, SteeringCause::Placed) << "without any waiting packet";
}

TEST_F(SteeringTest, AnUndecidedFlowIsSearchedAtGrowingIntervals)
{
    reportThreeReady();
    listAgents({"10.0.0.4"});
    int searches = 0;
    for (int elapsed = 0; elapsed < 2000; elapsed += 100) {
        now += milliseconds(100);
        for (const auto host : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
            report(host, {.state = BackendState::Ready});
        }
        report("10.0.0.4", {.state = BackendState::Ready});
        state.backends[indexOf("10.0.0.4")].reportedAt -= reportTimeout();
        const auto decision = data(1);
        searches += decision.action == SteeringAction::QueryNote ? 1 : 0;
        searchAllAgents(1, decision);
    }
    EXPECT_GE(searches, 2);
    EXPECT_LE(searches, 3) << "in the two seconds after which a flow counts as broken";
}

TEST_F(SteeringTest, ANewSearchOffersOnlyToAgentsThatDidNotAnswer)
{
    reportThreeReady();
    state.backends[indexOf("10.0.0.3")].reportedAt -= reportTimeout();
    const auto [offered, undecided] = searchAllAgents(1, data(1));
    EXPECT_EQ(offered.size(), 2U);
    EXPECT_EQ(undecided.cause, SteeringCause::Undecided);
    now += reportTimeout();
    report("10.0.0.3", {.state = BackendState::Ready});
    const auto [offeredLater, decision] = searchAllAgents(1, data(1));
    EXPECT_EQ(offeredLater, std::set<BackendIndex>{indexOf("10.0.0.3")})
        << "the others have returned the packet";
    EXPECT_EQ(decision.cause, SteeringCause::NotHeld);
}

TEST_F(SteeringTest, APacketThatIsReturnedLateCounts)
{
    reportThreeReady();
    const auto late = answerNoteQueries(1, data(1)).backend;
    now += state.options.searchRetryDelay;
    auto decision = answerNoteQueries(1, data(1));
    returnPacket(1, false, late, ReturnReason::NotHeld);
    const auto [offered, last] = searchAllAgents(1, decision);
    EXPECT_EQ(offered.size(), 2U);
    EXPECT_EQ(last.cause, SteeringCause::NotHeld);
}

TEST_F(SteeringTest, ADecommissionedServerDelaysNoSearch)
{
    reportThreeReady();
    report("10.0.0.3", {.state = BackendState::Gone});
    state.backends[indexOf("10.0.0.3")].reportedAt -= reportTimeout();
    const auto [offered, decision] = searchAllAgents(1, data(1));
    EXPECT_EQ(decision.cause, SteeringCause::NotHeld);
}

TEST_F(SteeringTest, ASearchEndsAtTheServerThatKeepsThePacket)
{
    reportThreeReady();
    const auto first = answerNoteQueries(1, data(1)).backend;
    const auto second = returnPacket(1, false, first, ReturnReason::NotHeld).backend;
    EXPECT_EQ(data(1).backend, second);
    EXPECT_EQ(data(1).cause, SteeringCause::Known);
}

TEST_F(SteeringTest, ANoteLeadsToTheHolderAtOnce)
{
    reportThreeReady();
    const auto queried = data(1);
    EXPECT_EQ(queried.action, SteeringAction::QueryNote);
    EXPECT_EQ(data(1).action, SteeringAction::QueryNote) << "further packets are sent as queries as well";
    const auto found = returnPacket(1, false, queried.backend, ReturnReason::Noted, address("10.0.0.3"));
    EXPECT_EQ(found.action, SteeringAction::Forward);
    EXPECT_EQ(found.backend, indexOf("10.0.0.3"));
    EXPECT_EQ(data(1).backend, indexOf("10.0.0.3"));
}

TEST_F(SteeringTest, EachPacketOfASearchedFlowFollowsTheSearch)
{
    reportThreeReady();
    const auto queried = data(1).backend;
    EXPECT_EQ(data(1).backend, queried);
    const auto second = returnPacket(1, false, queried, ReturnReason::NotNoted);
    ASSERT_EQ(second.action, SteeringAction::QueryNote);
    const auto late = returnPacket(1, false, queried, ReturnReason::NotNoted);
    EXPECT_EQ(late.action, SteeringAction::QueryNote) << "the other packet of the flow is not lost";
    EXPECT_EQ(late.backend, second.backend);
}

TEST_F(SteeringTest, ANotedHolderIsKeptWhileItsAgentRestarts)
{
    reportThreeReady();
    listAgents({"10.0.0.4"});
    now += state.options.firstReportWait;
    const auto queried = data(1);
    const auto found = returnPacket(1, false, queried.backend, ReturnReason::Noted, address("10.0.0.4"));
    EXPECT_EQ(found.backend, indexOf("10.0.0.4")) << "unreachable, but no other server has the flow";
}

TEST_F(SteeringTest, AWrongNoteIsFollowedByASearch)
{
    reportThreeReady();
    const auto queried = data(1);
    const auto wrong = returnPacket(1, false, queried.backend, ReturnReason::Noted, address("10.0.0.1"));
    const auto [offered, decision] = searchAllAgents(
        1, answerNoteQueries(1, returnPacket(1, false, wrong.backend, ReturnReason::NotHeld)));
    EXPECT_EQ(offered.size(), 2U);
    EXPECT_EQ(decision.cause, SteeringCause::NotHeld);
}

TEST_F(SteeringTest, TheHolderOfANewFlowIsNotedOnceItHasAnswered)
{
    reportThreeReady();
    EXPECT_FALSE(open(1).mustSendNotes);
    EXPECT_FALSE(data(1).mustSendNotes);
    EXPECT_TRUE(dataAfterAnswer(1).mustSendNotes);
    EXPECT_FALSE(dataAfterAnswer(1).mustSendNotes);
}

TEST_F(SteeringTest, AFlowThatAnotherBalancerPlacedElsewhereIsNotReset)
{
    reportThreeReady();
    const auto here = open(1).backend;
    const auto next = returnPacket(1, false, data(1).backend, ReturnReason::NotHeld);
    EXPECT_EQ(here, state.flows.begin()->second.rejectedBy.front());
    EXPECT_EQ(next.action, SteeringAction::QueryNote)
        << "a late opening packet may have been placed a second time";
}

TEST_F(SteeringTest, BalancersAgreeOnTheAgentsThatKeepNotes)
{
    reportThreeReady();
    SteeringState other;
    for (const auto host : {"10.0.0.3", "10.0.0.1", "10.0.0.2"}) {
        findOrAddBackend(other, address(host), now);
    }
    const auto key = flowFromCaller(packet(1, false));
    const auto ours = noteAgentsFor(state, key, now);
    const auto theirs = noteAgentsFor(other, key, now);
    for (std::size_t i = 0; i < noteQueryCount; ++i) {
        EXPECT_EQ(state.backends[ours[i]].host, other.backends[theirs[i]].host);
    }
}

TEST_F(SteeringTest, ASearchContinuesWhenAnAgentIsUnresponsive)
{
    reportThreeReady();
    const auto first = answerNoteQueries(1, data(1)).backend;
    now += milliseconds(50);
    EXPECT_EQ(data(1).backend, first) << "too early for a retransmission";
    now += milliseconds(150);
    const auto [offered, decision] = searchAllAgents(1, data(1));
    EXPECT_EQ(offered.size(), 2U);
    EXPECT_FALSE(offered.contains(first));
    EXPECT_EQ(decision.cause, SteeringCause::Undecided)
        << "the unresponsive agent's server may hold the flow";
}

TEST_F(SteeringTest, AFlowWhoseServerRestartedIsResetAtOnce)
{
    reportThreeReady();
    const auto holder = open(1).backend;
    data(1);
    const auto decision = returnPacket(1, false, holder, ReturnReason::Ended);
    EXPECT_EQ(decision.action, SteeringAction::Reset);
    EXPECT_EQ(decision.cause, SteeringCause::NotHeld);
}

TEST_F(SteeringTest, AFlowOfADecommissionedServerIsReset)
{
    reportThreeReady();
    const auto holder = openAnsweredFlow(1);
    applyReport(state, holder, {.service = idOf<ServiceId>(serviceName), .state = BackendState::Gone}, now);
    EXPECT_EQ(data(1).action, SteeringAction::Forward)
        << "a server that is leaving still answers for a while";
    now += reportTimeout();
    EXPECT_EQ(data(1).action, SteeringAction::Reset);
}

TEST_F(SteeringTest, AnAgentThatIsAskedForANoteMayLeaveMeanwhile)
{
    reportThreeReady();
    listAgents({"10.0.0.4"});
    now += state.options.firstReportWait;
    const auto queried = data(1).backend;
    ASSERT_NE(queried, noBackend);
    applyReport(state, queried, {.service = idOf<ServiceId>(serviceName), .state = BackendState::Gone}, now);
    now += reportTimeout();
    EXPECT_NE(data(1).action, SteeringAction::Reset) << "the queried agent's server was never the holder";
}

TEST_F(SteeringTest, AFlowThatTwoServersWereOfferedIsSearched)
{
    reportThreeReady();
    const auto first = open(1).backend;
    const auto second = returnPacket(1, true, first, ReturnReason::Full).backend;
    EXPECT_EQ(returnPacket(1, false, second, ReturnReason::NotHeld).action, SteeringAction::QueryNote);
}

TEST_F(SteeringTest, AFlowWhoseServerAnswersStaysThere)
{
    reportThreeReady();
    const auto holder = answerNoteQueries(1, data(1)).backend;
    now += milliseconds(200);
    auto next = packet(1, false);
    next.acknowledgement += 600;
    EXPECT_EQ(steerCallerPacket(state, next, now).backend, holder);
    now += milliseconds(200);
    EXPECT_EQ(steerCallerPacket(state, next, now).backend, holder);
    EXPECT_EQ(steerCallerPacket(state, next, now).cause, SteeringCause::Known);
}

TEST_F(SteeringTest, OnlyAgentsThatHadTimeToWriteAnEntryAreMissing)
{
    listAgents({});
    report("10.0.0.1", {.state = BackendState::Ready});
    listAgents({});
    EXPECT_FALSE(state.backends[0].isEntryMissing);
    now += state.options.entryCreationTimeout + milliseconds(1);
    report("10.0.0.1", {.state = BackendState::Ready});
    listAgents({});
    EXPECT_TRUE(state.backends[0].isEntryMissing);
    listAgents({"10.0.0.1"});
    EXPECT_FALSE(state.backends[0].isEntryMissing);
}

// Hosts of another writer's entries.
class OddEntriesTest : public SteeringTest
{
public:
    static constexpr std::size_t oddHostCount = 100'000;

    OddEntriesTest()
    {
        for (std::uint32_t i = 0; i < oddHostCount; ++i) {
            oddHosts.push_back(ipv4Address(0x0B000000 + i));
        }
    }

    // Lists the odd hosts and, behind them, `hosts`.
    AgentListChange listWithOddHosts(std::initializer_list<std::string_view> hosts)
    {
        auto listed = oddHosts;
        for (const auto host : hosts) {
            listed.push_back(address(host));
        }
        return applyAgentList(state, listed, now);
    }

    std::vector<IpAddress> oddHosts;
};

// Guards against an index of agents that overflows, so that packets go to another host than was chosen.
TEST_F(OddEntriesTest, EachKeptAgentHasAPlaceOfItsOwn)
{
    const auto change = listWithOddHosts({});
    EXPECT_EQ(state.backends.size(), state.options.maxUnreportedAgents);
    EXPECT_EQ(change.excluded, oddHostCount - state.options.maxUnreportedAgents);
    EXPECT_EQ(state.backendByHost.size(), state.backends.size());
    for (const auto &host : oddHosts) {
        const auto index = findOrAddBackend(state, host, now);
        ASSERT_TRUE(index == noBackend || state.backends[index].host == host);
    }
    EXPECT_EQ(state.backends.size(), noBackend);
}

TEST_F(OddEntriesTest, AnAgentBeyondTheLimitIsKnownByItsReport)
{
    listWithOddHosts({"10.0.0.1"});
    EXPECT_FALSE(state.backendByHost.contains(address("10.0.0.1")));
    report("10.0.0.1", {.state = BackendState::Ready, .slots = 2});
    now += state.options.firstReportWait;
    EXPECT_EQ(state.backends[open(1).backend].host, address("10.0.0.1"));
    listWithOddHosts({"10.0.0.1"});
    EXPECT_TRUE(state.backends[indexOf("10.0.0.1")].isListed);
}

// Guards against a reset of a flow whose server's agent is among the hosts that are not kept.
TEST_F(OddEntriesTest, AFlowThatAnExcludedAgentsServerMayHoldIsNotReset)
{
    reportThreeReady();
    listWithOddHosts({"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"});
    now += state.options.firstReportWait;
    for (const auto host : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
        report(host, state.backends[indexOf(host)].report);
    }
    auto decision = answerNoteQueries(7, data(7));
    while (decision.action == SteeringAction::Forward) {
        decision = answerNoteQueries(7, returnPacket(7, false, decision.backend, ReturnReason::NotHeld));
    }
    EXPECT_EQ(decision.cause, SteeringCause::Undecided);
    EXPECT_TRUE(awaitsExcludedAgents(state, state.options.neverReportedTimeout, now));
    now += state.options.neverReportedTimeout;
    EXPECT_FALSE(awaitsExcludedAgents(state, state.options.neverReportedTimeout, now));
    listWithOddHosts({"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"});
    EXPECT_FALSE(awaitsExcludedAgents(state, state.options.neverReportedTimeout, now)) << "the same hosts";
}

// Guards against memory and hellos for hosts that have no entry any more.
TEST_F(OddEntriesTest, HostsWithoutAnEntryAreForgotten)
{
    reportThreeReady();
    listWithOddHosts({"10.0.0.1", "10.0.0.2", "10.0.0.3"});
    report("10.0.0.9", {.state = BackendState::Ready, .slots = 2, .flows = 0});
    now += state.options.firstReportWait;
    report("10.0.0.9", {.state = BackendState::Ready, .slots = 2, .flows = 0});
    const auto holder = open(1).backend;
    EXPECT_EQ(holder, indexOf("10.0.0.9")) << "its place is behind those of the odd hosts";
    EXPECT_GT(state.backends.size(), state.options.maxUnreportedAgents);

    // A list that lacks an entry may be from before it was written.
    listAgents({"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.9"});
    EXPECT_GT(state.backends.size(), state.options.maxUnreportedAgents);
    now += state.options.neverReportedTimeout;
    listAgents({"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.9"});
    EXPECT_EQ(state.backends.size(), 4U);
    EXPECT_LE(state.backends.capacity(), 8U);
    EXPECT_EQ(indexOf("10.0.0.9"), 3U);
    EXPECT_EQ(state.backends[data(1).backend].host, address("10.0.0.9")) << "the flow stays with its server";
}

TEST_F(OddEntriesTest, AnAgentThatAFlowNamesIsNotForgotten)
{
    reportThreeReady();
    const auto holder = state.backends[openAnsweredFlow(1)].host;
    now += state.options.agentRetention + milliseconds(1);
    listAgents({});
    ASSERT_EQ(state.backends.size(), 1U);
    EXPECT_EQ(state.backends[0].host, holder);
    state.flows.clear();
    listAgents({});
    EXPECT_EQ(state.backends.size(), 0U);
}

TEST_F(SteeringTest, AnOlderConfigurationIsIgnored)
{
    RoutingTable older{.position = {.revision = 9}, .version = 0};
    EXPECT_EQ(applyTable(state, older, now), TableOutcome::Older);
    EXPECT_EQ(state.table.version, 1U);
}

// The store has come back from a copy that lacks the configuration in force.
TEST_F(SteeringTest, AConfigurationThatTheStoreHasLostStaysInForceUntilItIsWrittenAgain)
{
    EXPECT_EQ(applyTable(state, {.position = {1, 12}, .version = 24}, now), TableOutcome::InForce);
    EXPECT_EQ(applyTable(state, {.position = {2, 9}, .version = 18}, now), TableOutcome::Held);
    EXPECT_EQ(applyTable(state, {.position = {2, 10}, .version = 21}, now), TableOutcome::Held);
    EXPECT_EQ(state.table.version, 24U);
    EXPECT_EQ(applyTable(state, {.position = {2, 11}, .version = 24}, now), TableOutcome::InForce);
    EXPECT_EQ(state.table.position, (StorePosition{2, 11}));
    EXPECT_FALSE(endHold(state, now + state.options.eraHoldTime));
    EXPECT_EQ(applyTable(state, {.position = {1, 90}, .version = 27}, now), TableOutcome::Older);
}

TEST_F(SteeringTest, AConfigurationThatIsNotWrittenAgainIsHeldForALimitedTime)
{
    EXPECT_EQ(applyTable(state, {.position = {1, 12}, .version = 24}, now), TableOutcome::InForce);
    EXPECT_EQ(applyTable(state, {.position = {2, 9}, .version = 18}, now), TableOutcome::Held);
    const auto end = now + state.options.eraHoldTime;
    EXPECT_FALSE(endHold(state, end - milliseconds(1)));
    EXPECT_TRUE(endHold(state, end));
    EXPECT_EQ(state.table.version, 18U);
    EXPECT_FALSE(endHold(state, end));
}

TEST_F(SteeringTest, AnEvacuationThatTheStoreHasLostStaysInForceUntilItIsWrittenAgain)
{
    const auto a = idOf<ZoneId>("a");
    const auto b = idOf<ZoneId>("b");
    const auto c = idOf<ZoneId>("c");
    applyEvacuations(state, {a, b}, {1, 10}, now);
    applyEvacuations(state, {c}, {2, 9}, now);
    EXPECT_EQ(state.evacuatedZones, (std::unordered_set<ZoneId>{a, b, c}));
    applyEvacuations(state, {a, c}, {2, 10}, now);
    EXPECT_EQ(state.evacuatedZones, (std::unordered_set<ZoneId>{a, b, c}));
    applyEvacuations(state, {c}, {2, 11}, now);
    EXPECT_EQ(state.evacuatedZones, (std::unordered_set<ZoneId>{b, c})) << "a was written again and removed";
    EXPECT_TRUE(endHold(state, now + state.options.eraHoldTime));
    EXPECT_EQ(state.evacuatedZones, std::unordered_set<ZoneId>{c}) << "b was not written again";
}

TEST_F(SteeringTest, AFirstListOfEvacuationsHoldsNothing)
{
    applyEvacuations(state, {}, {3, 9}, now);
    EXPECT_TRUE(state.evacuatedZones.empty());
    EXPECT_FALSE(endHold(state, now + state.options.eraHoldTime));
}

TEST_F(SteeringTest, FlowsOfARemovedRouteAreResetAtOnce)
{
    reportThreeReady();
    open(1);
    RoutingTable next{.position = {.revision = 11}, .version = 2};
    EXPECT_EQ(applyTable(state, next, now), TableOutcome::InForce);
    EXPECT_EQ(data(1).cause, SteeringCause::NoRoute);
    EXPECT_EQ(open(2).action, SteeringAction::Reset);
}

TEST_F(SteeringTest, PacketsThatCallersDoNotSendAreDropped)
{
    reportThreeReady();
    auto forged = packet(1, true);
    forged.ack = true;
    EXPECT_EQ(steerCallerPacket(state, forged, now).cause, SteeringCause::NotFromCaller);
    forged = packet(1, false);
    forged.returned = true;
    EXPECT_EQ(steerCallerPacket(state, forged, now).cause, SteeringCause::NotFromCaller);
}

TEST_F(SteeringTest, SharesOfAWeightedRouteAreKept)
{
    reportThreeReady();
    RoutingTable table{.position = {.revision = 11}, .version = 2};
    table.routes[virtualAddress]
        = {.services = {{idOf<ServiceId>(serviceName), 90}, {idOf<ServiceId>("archivio"), 10}}};
    EXPECT_EQ(applyTable(state, table, now), TableOutcome::InForce);
    report("10.0.0.3", {.service = idOf<ServiceId>("archivio"), .state = BackendState::Ready, .slots = 2});
    int other = 0;
    constexpr int flows = 2000;
    for (int i = 0; i < flows; ++i) {
        other += open(static_cast<std::uint16_t>(1000 + i)).backend == indexOf("10.0.0.3") ? 1 : 0;
    }
    EXPECT_NEAR(other, 200, 40);
}

// After all processes were killed, the agents discover their servers within one heartbeat period: of seven
// servers one is ready at first. Eighty callers open a flow at once, and retransmit after 200 ms and 600 ms.
// Placing all of them on the first ready server would overload it.
TEST_F(SteeringTest, ARestartDoesNotPlaceAllFlowsOnTheFirstServerDiscovered)
{
    const std::vector<std::string> hosts{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4",
                                         "10.0.0.5", "10.0.0.6", "10.0.0.7"};
    std::vector<IpAddress> addresses;
    for (const auto &host : hosts) {
        addresses.push_back(address(host));
    }
    applyAgentList(state, addresses, now);
    const auto reportAll = [&](std::size_t ready) {
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            report(hosts[i],
                   {.lifetime = 1,
                    .state = i < ready ? BackendState::Ready : BackendState::Unknown,
                    .slots = 2,
                    .flows = state.backends[i].report.flows + state.backends[i].placedFlows});
        }
    };
    std::vector<int> placed(hosts.size());
    int waiting = 80;
    std::set<std::uint16_t> open;
    const auto openMissingFlows = [&] {
        for (std::uint16_t port = 1; port <= 80; ++port) {
            if (open.contains(port)) {
                continue;
            }
            const auto decision = this->open(port);
            EXPECT_NE(decision.action, SteeringAction::Reset);
            if (decision.action == SteeringAction::Forward) {
                ++placed[decision.backend];
                open.insert(port);
                --waiting;
            }
        }
    };
    reportAll(1);
    openMissingFlows();
    EXPECT_GT(placed[0], 0) << "the ready server gets some flows";
    now += milliseconds(200);
    reportAll(3);
    openMissingFlows();
    now += milliseconds(400);
    reportAll(7);
    openMissingFlows();
    EXPECT_EQ(waiting, 0);
    EXPECT_LE(*std::max_element(placed.begin(), placed.end()), 2 * 80 / 7);
}

TEST_F(SteeringTest, OneRestartedAgentDelaysNoFlow)
{
    reportThreeReady();
    report("10.0.0.1", {.lifetime = 2, .state = BackendState::Unknown, .slots = 2});
    EXPECT_EQ(open(1).action, SteeringAction::Forward);
}

TEST_F(SteeringTest, ServerDiscoveryDelaysFlowsForALimitedTime)
{
    listAgents({"10.0.0.1"});
    report("10.0.0.1", {.lifetime = 1, .state = BackendState::Unknown});
    EXPECT_EQ(open(1).cause, SteeringCause::NotReady);
    now += state.options.serverDiscoveryTimeout;
    report("10.0.0.1", {.lifetime = 1, .state = BackendState::Unknown});
    EXPECT_EQ(open(1).cause, SteeringCause::NoServer);
}

// The route's first service has no server. Its flows must not overload the second one, which is far smaller
// and has callers of its own.
TEST_F(SteeringTest, AnotherServiceOfTheRouteStandsInOnlyWithFreeSlots)
{
    listAgents({"10.0.0.1"});
    RoutingTable table{.position = {.revision = 11}, .version = 2};
    table.routes[virtualAddress]
        = {.services = {{idOf<ServiceId>(serviceName), 90}, {idOf<ServiceId>("archivio"), 10}}};
    EXPECT_EQ(applyTable(state, table, now), TableOutcome::InForce);
    report("10.0.0.1", {.service = idOf<ServiceId>("archivio"), .state = BackendState::Ready, .slots = 4});
    int taken = 0;
    for (std::uint16_t port = 1; port <= 100; ++port) {
        taken += open(port).action == SteeringAction::Forward ? 1 : 0;
    }
    EXPECT_GE(taken, 2);
    EXPECT_LE(taken, 30) << "its own tenth, and as many as its free slots serve";
}

// After a power loss that has ended all servers too, each agent reports that its server holds no flows.
class LostServersTest : public SteeringTest
{
public:
    LostServersTest()
    {
        listAgents({"10.0.0.1", "10.0.0.2", "10.0.0.3"});
        reportAll();
    }

    void reportAll()
    {
        for (const auto host : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
            report(host, {.state = BackendState::Ready, .slots = 2, .heldFlowFilter = filter});
        }
    }

    FlowFilter filter;
};

TEST_F(LostServersTest, TheirFlowsAreResetWithoutOffers)
{
    const auto first = answerNoteQueries(1, data(1));
    EXPECT_EQ(first.action, SteeringAction::Drop) << "the reports may be older than the flow";
    now += milliseconds(200);
    reportAll();
    EXPECT_EQ(answerNoteQueries(1, data(1)).cause, SteeringCause::NotHeld);
}

TEST_F(LostServersTest, TheirFlowsAreResetWithoutARetransmission)
{
    answerNoteQueries(1, data(1));
    EXPECT_TRUE(resolveSearches(state, now).empty());
    now += milliseconds(200);
    reportAll();
    const auto resets = resolveSearches(state, now);
    ASSERT_EQ(resets.size(), 1U);
    EXPECT_EQ(resets[0].flow, flowFromCaller(packet(1, false)));
    EXPECT_EQ(resets[0].sequence, packet(1, false).acknowledgement);
    EXPECT_TRUE(resolveSearches(state, now).empty()) << "each flow is reset once";
}

TEST_F(LostServersTest, APacketFromBeforeTheAgentListIsReadIsAnsweredLater)
{
    state.hasAgentList = false;
    EXPECT_EQ(data(1).cause, SteeringCause::NotReady);
    EXPECT_TRUE(resolveSearches(state, now).empty());
    state.hasAgentList = true;
    now += milliseconds(300);
    reportAll();
    EXPECT_EQ(resolveSearches(state, now).size(), 1U);
}

TEST_F(LostServersTest, AnAgentThatHasAnsweredASearchIsNotOfferedItsPacketLater)
{
    listAgents({"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"});
    now += milliseconds(100);
    reportAll();
    EXPECT_EQ(answerNoteQueries(1, data(1)).cause, SteeringCause::NotReady) << "one agent is unknown so far";
    now += state.options.firstReportWait;
    reportAll();
    EXPECT_EQ(answerNoteQueries(1, data(1)).cause, SteeringCause::Undecided);
    now += state.options.undecidedRetryDelay + state.options.flowFilterLifetime;
    for (const auto host : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
        report(host, {.state = BackendState::Ready, .slots = 2});
    }
    const auto decision = answerNoteQueries(1, data(1));
    EXPECT_NE(decision.action, SteeringAction::Forward);
}

TEST_F(LostServersTest, AFlowThatAnAgentMayHoldIsNotReset)
{
    answerNoteQueries(1, data(1));
    now += milliseconds(200);
    filter.add(hashFlow(flowFromCaller(packet(1, false))));
    reportAll();
    EXPECT_TRUE(resolveSearches(state, now).empty());
    EXPECT_EQ(answerNoteQueries(1, data(1)).action, SteeringAction::Forward);
}

TEST_F(LostServersTest, AReportFromBeforeTheFlowsPacketResetsNothing)
{
    answerNoteQueries(1, data(1));
    now += milliseconds(200);
    report("10.0.0.1", {.state = BackendState::Ready, .heldFlowFilter = filter});
    EXPECT_EQ(answerNoteQueries(1, data(1)).cause, SteeringCause::Undecided);
}

TEST_F(LostServersTest, AFlowInAnAgentsFilterIsOfferedThere)
{
    filter.add(hashFlow(flowFromCaller(packet(1, false))));
    report("10.0.0.2", {.state = BackendState::Ready, .slots = 2, .heldFlowFilter = filter});
    const auto decision = answerNoteQueries(1, data(1));
    EXPECT_EQ(decision.action, SteeringAction::Forward);
    EXPECT_EQ(decision.backend, indexOf("10.0.0.2"));
}

// After a power loss in which balancers and agents have lost their state, while the servers keep their flows.
class LostMemoryTest : public SteeringTest
{
public:
    static constexpr int servers = 41;
    static constexpr std::uint16_t flows = 1200;

    std::string host(int server) const
    {
        return "10.0.1." + std::to_string(server + 1);
    }

    static ZoneId zoneOf(int number)
    {
        return idOf<ZoneId>(std::string(1, static_cast<char>('a' + number % 4)));
    }

    void reportAll(const std::vector<std::uint32_t> &flowsOf)
    {
        for (int i = 0; i < servers; ++i) {
            report(host(i),
                   {.zone = zoneOf(i), .state = BackendState::Ready, .slots = 2, .flows = flowsOf[i]});
        }
    }

    // Places all flows; agents report as often as in operation.
    void placeAll()
    {
        constexpr int flowsBetweenReports = 20;
        state.hasAgentList = true;
        reportAll(load);
        for (std::uint16_t flow = 0; flow < flows; ++flow) {
            // Callers use a balancer of their own zone.
            state.options.zone = zoneOf(flow);
            const auto placed = open(flow).backend;
            holders.push_back(state.backends[placed].host);
            ++load[placed];
            if (flow % flowsBetweenReports == 0) {
                reportAll(load);
            }
        }
    }

    std::vector<std::uint32_t> load = std::vector<std::uint32_t>(servers);
    std::vector<IpAddress> holders;
};

TEST_F(LostMemoryTest, FlowsAreFoundByAFewOffers)
{
    placeAll();
    state.flows.clear();
    int offers = 0;
    for (std::uint16_t flow = 0; flow < flows; ++flow) {
        state.options.zone = zoneOf(flow);
        auto decision = answerNoteQueries(flow, data(flow));
        while (decision.action == SteeringAction::Forward
               && state.backends[decision.backend].host != holders[flow]) {
            ++offers;
            decision
                = answerNoteQueries(flow, returnPacket(flow, false, decision.backend, ReturnReason::NotHeld));
        }
        ASSERT_EQ(decision.action, SteeringAction::Forward) << "flow " << flow << " was not found";
        ++offers;
    }
    EXPECT_LT(offers, 4 * flows) << "offering to all 41 servers in turn takes 20 offers on average";
}

TEST_F(LostMemoryTest, RankedServersShareTheLoadEvenly)
{
    placeAll();
    const auto largest = *std::max_element(load.begin(), load.end());
    // Servers of the own zone may have one flow per slot more than the others.
    EXPECT_LE(largest, 1.25 * flows / servers + 4);
}

TEST_F(SteeringTest, IdleFlowsExpire)
{
    reportThreeReady();
    open(1);
    now += milliseconds(31'000);
    expireFlows(state, now);
    EXPECT_TRUE(state.flows.empty());
}

TEST_F(SteeringTest, AnOpeningIsPassedOnOnceToALessLoadedServer)
{
    reportThreeReady();
    const auto first = open(1);
    EXPECT_TRUE(first.mayReturnBusy);
    recordBusyServer(state, first.backend, 8);
    const auto second = returnPacket(1, true, first.backend, ReturnReason::Busy);
    EXPECT_EQ(second.action, SteeringAction::Forward);
    EXPECT_NE(second.backend, first.backend);
    EXPECT_FALSE(second.mayReturnBusy);
    EXPECT_EQ(open(1).backend, second.backend) << "copies follow";
}

TEST_F(SteeringTest, AnOpeningWaitsAtABusyServerIfTheOthersHaveMoreToDo)
{
    reportThreeReady();
    const auto first = open(1);
    for (const auto *host : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
        if (indexOf(host) != first.backend) {
            report(host, {.state = BackendState::Ready, .slots = 2, .flows = 40, .waiting = 20});
        }
    }
    recordBusyServer(state, first.backend, 4);
    const auto second = returnPacket(1, true, first.backend, ReturnReason::Busy);
    EXPECT_EQ(second.action, SteeringAction::Forward);
    EXPECT_EQ(second.backend, first.backend);
    EXPECT_FALSE(second.mayReturnBusy);
}

TEST_F(SteeringTest, AnOpeningThatHasWaitedTooLongIsRefused)
{
    reportThreeReady();
    const auto first = open(1);
    now += milliseconds(500);
    reportThreeReady();
    const auto second = returnPacket(1, true, first.backend, ReturnReason::Full);
    EXPECT_EQ(second.action, SteeringAction::Forward);
    now += milliseconds(500);
    reportThreeReady();
    const auto third = returnPacket(1, true, second.backend, ReturnReason::Full);
    EXPECT_EQ(third.action, SteeringAction::Reset);
    EXPECT_EQ(third.cause, SteeringCause::NoServer);
}

// Guards against work for each route that balancers would repeat every 100 ms: they may have 24,000 routes.
// Guards against a limit that becomes any number, as a configured rate is too large for the message.
TEST(RoutingTableTest, ARateTooLargeForAHelloIsNoLimit)
{
    RoutingTable table;
    const ServiceId service = idOf<ServiceId>(serviceName);
    EXPECT_EQ(coldFlowLimit(table, service, 1.5, 5), noColdLimit);
    for (const auto &[rate, limit] : std::vector<std::pair<double, std::uint32_t>>{
             {12.5, 23}, {0.1, 5}, {4e9, noColdLimit}, {1e308, noColdLimit}}) {
        table.coldFlowsPerSecond[service] = rate;
        EXPECT_EQ(coldFlowLimit(table, service, 1.5, 5), limit) << rate;
    }
}

TEST(RoutingTableTest, ServicesHaveTheLeastUrgentPriorityOfTheirRoutes)
{
    const auto a = idOf<ServiceId>("a");
    const auto b = idOf<ServiceId>("b");
    const auto plain = idOf<ServiceId>("plain");
    const auto address = [](std::uint16_t port) {
        return Endpoint{ipv4Address(0xc6120001), port};
    };
    RoutingTable table;
    table.routes[address(1)] = {.services = {{a, 1}, {b, 1}}, .terms = {.priority = 1}};
    table.routes[address(2)] = {.services = {{a, 1}}, .terms = {.priority = 3}};
    table.routes[address(3)] = {.services = {{b, 1}, {plain, 1}}};
    const std::unordered_map<ServiceId, std::uint8_t> expected{{a, 3}, {b, lowestPriority}};
    EXPECT_EQ(leastUrgentPriorities(table), expected);
}

// A balancer whose route states terms.
class TermsTest : public SteeringTest
{
public:
    TermsTest()
    {
        auto table = state.table;
        table.routes[virtualAddress].terms = {.priority = 2, .timeLimit = milliseconds(1500)};
        applyTable(state, std::move(table), now);
    }

    // Three servers with so much work, and a pace of 100 requests a second.
    void reportWork(std::uint16_t queued)
    {
        listAgents({"10.0.0.1", "10.0.0.2", "10.0.0.3"});
        for (const auto host : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
            report(host,
                   {.state = BackendState::Ready,
                    .slots = 2,
                    .flows = 2,
                    .waiting = queued + 2U,
                    .capacity
                    = ServerCapacity{.answersPerSecond = 100, .concurrency = 2, .queuedOpenings = queued}});
        }
    }
};

// Offering a refused opening packet to each server in turn multiplies the load while all are full.
TEST_F(TermsTest, AnOpeningThatAgentsReturnAsFullIsOfferedToOneOtherServer)
{
    reportWork(50);
    const auto first = open(1);
    ASSERT_EQ(first.action, SteeringAction::Forward);
    const auto second = returnPacket(1, true, first.backend, ReturnReason::Full);
    EXPECT_EQ(second.action, SteeringAction::Forward);
    EXPECT_NE(second.backend, first.backend);
    const auto third = returnPacket(1, true, second.backend, ReturnReason::Full);
    EXPECT_EQ(third.action, SteeringAction::Reset);
    EXPECT_EQ(third.cause, SteeringCause::Overloaded);
    EXPECT_NE(open(2).backend, first.backend) << "Its agent has refused since its last report.";
}

TEST_F(TermsTest, AnOpeningThatNoServerCanStartInTimeIsRefusedAtOnce)
{
    reportWork(150);
    EXPECT_EQ(open(1).cause, SteeringCause::Overloaded);
    now += milliseconds(150);
    EXPECT_EQ(open(2).action, SteeringAction::Forward) << "1.52 s of work, of which 0.15 s are done.";
    auto copy = packet(3, true);
    copy.acknowledgement = 1;
    EXPECT_EQ(steerCallerPacket(state, copy, now).cause, SteeringCause::Overloaded)
        << "Its caller has waited for 0.2 s already.";
    now += milliseconds(200);
    EXPECT_EQ(open(4).action, SteeringAction::Forward) << "The reports are too old.";
}

TEST_F(TermsTest, AnotherServiceOfTheRouteTakesWhatAnOverloadedOneCannot)
{
    auto table = state.table;
    table.routes[virtualAddress].services.push_back({idOf<ServiceId>("other"), 1});
    applyTable(state, std::move(table), now);
    reportWork(150);
    report("10.0.0.4", {.service = idOf<ServiceId>("other"), .state = BackendState::Ready, .slots = 8});
    for (std::uint16_t port = 1; port <= 3; ++port) {
        EXPECT_EQ(open(port).action, SteeringAction::Forward);
    }
}

// A reset would tell callers that the service is full, although their packets may reach another balancer.
TEST_F(TermsTest, ABalancerThatHearsNoAgentRefusesNothing)
{
    reportWork(0);
    now += reportTimeout();
    EXPECT_EQ(open(1).action, SteeringAction::Drop);
    now += state.options.restartTimeout * 2;
    EXPECT_EQ(open(1).action, SteeringAction::Drop);
}

TEST_F(SteeringTest, ASearchThatFoundTheFlowLeavesNothingToTheNextOne)
{
    listAgents({"10.0.0.1", "10.0.0.2", "10.0.0.3"});
    report("10.0.0.1", {.state = BackendState::Ready, .slots = 2});
    report("10.0.0.2", {.state = BackendState::Ready, .slots = 2});
    now += state.options.firstReportWait;
    const auto reportBoth = [&] {
        report("10.0.0.1", {.state = BackendState::Ready, .slots = 2});
        report("10.0.0.2", {.state = BackendState::Ready, .slots = 2});
    };
    reportBoth();
    EXPECT_EQ(searchAllAgents(1, data(1)).second.cause, SteeringCause::Undecided);
    now += state.options.undecidedRetryDelay;
    reportBoth();
    auto query = data(1);
    ASSERT_EQ(query.action, SteeringAction::QueryNote);
    const auto found = returnPacket(1, false, query.backend, ReturnReason::Noted, address("10.0.0.3"));
    ASSERT_EQ(found.action, SteeringAction::Forward);
    const auto again = returnPacket(1, false, found.backend, ReturnReason::NotHeld);
    EXPECT_EQ(again.action, SteeringAction::QueryNote) << "the agents that keep notes are queried again";
    EXPECT_EQ(state.flows.at(flowFromCaller(packet(1, false))).undecidedSearches, 0);
}

TEST_F(SteeringTest, AFlowOnALostHostIsResetSoThatItsCallerCanOpenAnother)
{
    reportThreeReady();
    const auto holder = openAnsweredFlow(1);
    ASSERT_EQ(holder, indexOf("10.0.0.2"));
    const auto reportOthers = [&] {
        report("10.0.0.1", {.state = BackendState::Ready, .slots = 2});
        report("10.0.0.3", {.zone = idOf<ZoneId>("b"), .state = BackendState::Ready, .slots = 2});
    };
    now += state.options.restartTimeout;
    reportOthers();
    EXPECT_EQ(data(1).action, SteeringAction::Forward) << "the agent may be restarting";
    now += milliseconds(1);
    EXPECT_EQ(data(1).cause, SteeringCause::HolderLost);
}

// Guards against resets of flows that are open at a calm server: a balancer that stood still places an
// opening packet that has long been answered through another balancer, and the server that it chose leaves.
TEST_F(SteeringTest, AFlowOpenElsewhereIsNotResetWhenTheServerChosenForItsLateOpeningLeaves)
{
    reportThreeReady();
    const auto chosen = open(1).backend;
    ASSERT_EQ(chosen, indexOf("10.0.0.2"));
    report("10.0.0.2", {.state = BackendState::Gone});
    now += 2 * state.options.restartTimeout;
    report("10.0.0.1", {.state = BackendState::Ready, .slots = 2});
    report("10.0.0.3", {.zone = idOf<ZoneId>("b"), .state = BackendState::Ready, .slots = 2});
    const auto first = data(1);
    EXPECT_EQ(first.unconfirmedHolder, chosen);
    const auto [offered, decision] = searchAllAgents(1, first);
    EXPECT_EQ(offered, (std::set{indexOf("10.0.0.1"), indexOf("10.0.0.3")}));
    EXPECT_EQ(decision.cause, SteeringCause::NotHeld) << "no server is left that could have it";
}

// The same when a balancer has noted the holder that is lost now.
TEST_F(SteeringTest, AFlowIsNotResetBecauseItsNoteNamesALostHost)
{
    reportThreeReady();
    now += 2 * state.options.restartTimeout;
    report("10.0.0.1", {.state = BackendState::Ready, .slots = 2});
    report("10.0.0.3", {.zone = idOf<ZoneId>("b"), .state = BackendState::Ready, .slots = 2});
    const auto query = data(1);
    ASSERT_EQ(query.action, SteeringAction::QueryNote);
    const auto next = returnPacket(1, false, query.backend, ReturnReason::Noted, address("10.0.0.2"));
    ASSERT_EQ(next.action, SteeringAction::QueryNote) << "the next agent may name another host";
    const auto [offered, decision] = searchAllAgents(1, next);
    EXPECT_EQ(offered, (std::set{indexOf("10.0.0.1"), indexOf("10.0.0.3")}));
    EXPECT_EQ(decision.cause, SteeringCause::NotHeld);
}

// Guards against taking the answer of another server for one of the holder: the caller's packets may have
// gone through another balancer in between, and a lost agent returns nothing.
TEST_F(SteeringTest, AnAnswerCountsOnlyIfTheHolderHasReportedSince)
{
    reportThreeReady();
    const auto chosen = open(1).backend;
    data(1);
    EXPECT_EQ(dataAfterAnswer(1).backend, chosen);
    now += 2 * state.options.restartTimeout;
    report("10.0.0.1", {.state = BackendState::Ready, .slots = 2});
    report("10.0.0.3", {.zone = idOf<ZoneId>("b"), .state = BackendState::Ready, .slots = 2});
    EXPECT_EQ(dataAfterAnswer(1).action, SteeringAction::QueryNote);
}

// Guards against resets of open flows when an agent is asked to report more often and that hello is lost: its
// last report is up to a rare period old by then.
TEST_F(SteeringTest, AnAgentThatIsAskedToReportMoreOftenIsNotTakenForLost)
{
    reportThreeReady();
    const auto holder = openAnsweredFlow(1);
    setReportPeriod(state, holder, state.options.remoteReportPeriod, now);
    report("10.0.0.2", {.state = BackendState::Ready, .slots = 2});
    const auto reportOthers = [&] {
        report("10.0.0.1", {.state = BackendState::Ready, .slots = 2});
        report("10.0.0.3", {.zone = idOf<ZoneId>("b"), .state = BackendState::Ready, .slots = 2});
    };
    now += state.options.remoteReportPeriod;
    setReportPeriod(state, holder, state.options.reportPeriod, now);
    now += reportTimeout() + milliseconds(1);
    reportOthers();
    EXPECT_EQ(data(1).action, SteeringAction::Forward);
    const auto [offered, decision] = searchAllAgents(2, data(2));
    EXPECT_EQ(decision.cause, SteeringCause::Undecided) << "its server may hold the unknown flow";
    now += state.options.restartTimeout;
    reportOthers();
    EXPECT_EQ(data(1).cause, SteeringCause::HolderLost) << "several hellos were sent since";
}

// Guards against resets of open flows by a small balancer whose receive queue has overflowed, so that it has
// missed the reports of an agent that serves.
TEST_F(SteeringTest, ABalancerThatFallsBehindTakesNoHostForLost)
{
    reportThreeReady();
    openAnsweredFlow(1);
    const auto reportOthers = [&] {
        report("10.0.0.1", {.state = BackendState::Ready, .slots = 2});
        report("10.0.0.3", {.zone = idOf<ZoneId>("b"), .state = BackendState::Ready, .slots = 2});
    };
    now += milliseconds(600);
    state.lastBacklogAt = now;
    now += state.options.restartTimeout;
    reportOthers();
    EXPECT_EQ(data(1).action, SteeringAction::Forward);
    now += milliseconds(1);
    reportOthers();
    EXPECT_EQ(data(1).cause, SteeringCause::HolderLost) << "it has kept up for as long as a restart takes";
}

TEST_F(SteeringTest, ABalancerThatHearsNoAgentResetsNoFlowOfALostHost)
{
    reportThreeReady();
    open(1);
    now += 2 * state.options.restartTimeout;
    EXPECT_EQ(data(1).action, SteeringAction::Forward);
}

TEST_F(SteeringTest, AnotherZonesAgentsReportRarelyWhileTheOwnZoneSuffices)
{
    const auto reportServers = [&](std::uint32_t waiting) {
        for (const auto *host : {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}) {
            report(host, {.state = BackendState::Ready, .slots = 2, .waiting = waiting});
        }
        report("10.0.0.9", {.zone = idOf<ZoneId>("b"), .state = BackendState::Ready, .slots = 2});
    };
    const auto remote = indexOf("10.0.0.9");
    reportServers(0);
    EXPECT_EQ(reportPeriods(state, now)[remote], state.options.remoteReportPeriod);
    EXPECT_EQ(reportPeriods(state, now)[indexOf("10.0.0.1")], state.options.reportPeriod);
    reportServers(2);
    EXPECT_EQ(reportPeriods(state, now)[remote], state.options.reportPeriod) << "the own zone is loaded";
    reportServers(0);
    report("10.0.0.2", {.state = BackendState::Draining, .slots = 2});
    EXPECT_EQ(reportPeriods(state, now)[remote], state.options.reportPeriod) << "the own zone has too few";
    reportServers(0);
    data(1);
    state.lastOfferAt = now;
    EXPECT_EQ(reportPeriods(state, now)[remote], state.options.reportPeriod) << "a flow is being searched";
}

TEST_F(SteeringTest, AnAgentThatReportsRarelyStaysReachableForItsPeriods)
{
    report("10.0.0.1", {.state = BackendState::Ready, .slots = 2});
    const auto index = indexOf("10.0.0.1");
    setReportPeriod(state, index, state.options.remoteReportPeriod, now);
    now += milliseconds(3000);
    EXPECT_TRUE(isReachable(state, state.backends[index], now));
    setReportPeriod(state, index, state.options.reportPeriod, now);
    now += reportTimeout() - milliseconds(1);
    EXPECT_TRUE(isReachable(state, state.backends[index], now)) << "it has just been asked to report often";
    now += milliseconds(1);
    EXPECT_FALSE(isReachable(state, state.backends[index], now));
}

TEST_F(SteeringTest, AFailingServerGetsNoFlowsUnlessMostFail)
{
    reportThreeReady();
    report("10.0.0.2", {.state = BackendState::Ready, .slots = 2, .isFailing = true});
    for (std::uint16_t port = 1; port <= 20; ++port) {
        EXPECT_NE(open(port).backend, indexOf("10.0.0.2"));
    }
    report("10.0.0.1", {.state = BackendState::Ready, .slots = 2, .isFailing = true});
    std::set<BackendIndex> chosen;
    for (std::uint16_t port = 21; port <= 60; ++port) {
        chosen.insert(open(port).backend);
    }
    EXPECT_GT(chosen.size(), 1U) << "one server could not take the load of all";
}

TEST_F(SteeringTest, AnOldListOfFlowsRulesNothingOut)
{
    listAgents({"10.0.0.1"});
    report("10.0.0.1", {.state = BackendState::Ready, .slots = 2, .heldFlowFilter = FlowFilter{}});
    now += state.options.flowFilterLifetime;
    report("10.0.0.1", {.state = BackendState::Ready, .slots = 2});
    EXPECT_EQ(answerNoteQueries(1, data(1)).action, SteeringAction::Forward);
    EXPECT_TRUE(lacksFlowFilter(state, state.backends[indexOf("10.0.0.1")], now));
}

// 24 balancers have the same reports of 20 servers, one of which is idle. Each places three flows before the
// next reports.
TEST(SharedReportsTest, BalancersDoNotAllChooseTheServerThatReportedNoLoad)
{
    constexpr int balancerCount = 24;
    constexpr int serverCount = 20;
    constexpr int flowsEach = 3;
    const auto service = endpoint("198.51.100.1:443");
    const auto idle = address("10.0.0.1");
    std::uint16_t port = 1000;
    int placedOnIdle = 0;
    for (int i = 0; i < balancerCount; ++i) {
        const TimePoint now{std::chrono::hours(1)};
        SteeringState state;
        state.options.zone = idOf<ZoneId>("a");
        RoutingTable table{.position = {.revision = 1}};
        table.routes[service] = {.services = {{idOf<ServiceId>(serviceName), 1}}};
        applyTable(state, table, now);
        state.hasAgentList = true;
        for (int server = 1; server <= serverCount; ++server) {
            const auto host = address("10.0.0." + std::to_string(server));
            const bool isIdle = host == idle;
            applyReport(state, findOrAddBackend(state, host, now),
                        {.service = idOf<ServiceId>(serviceName),
                         .zone = idOf<ZoneId>("a"),
                         .state = BackendState::Ready,
                         .slots = 2,
                         .flows = isIdle ? 0U : 3U,
                         .waiting = isIdle ? 0U : 2U},
                        now);
        }
        for (int flow = 0; flow < flowsEach; ++flow) {
            const Segment opening{
                .source = {address("203.0.113.7"), ++port}, .destination = service, .syn = true};
            const auto decision = steerCallerPacket(state, opening, now);
            ASSERT_EQ(decision.action, SteeringAction::Forward);
            placedOnIdle += state.backends[decision.backend].host == idle ? 1 : 0;
        }
    }
    // Of four servers that each flow ranks first, one is the idle one for a fifth of the flows.
    EXPECT_LE(placedOnIdle, balancerCount * flowsEach / 3);
}

} // namespace
} // namespace oriolelever
