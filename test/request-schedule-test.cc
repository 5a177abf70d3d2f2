#include "oriolelever/request-schedule.h"

#include <deque>
#include <functional>
#include <map>
#include <random>

#include <gtest/gtest.h>

#include "oriolelever/server-gate.h"

namespace oriolelever {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view serviceName = "register-desk";

FlowKey flowOf(std::uint16_t port, int caller = 1)
{
    FlowKey key;
    EXPECT_TRUE(
        parseEndpoint("203.0.113." + std::to_string(caller) + ":" + std::to_string(port), key.caller));
    EXPECT_TRUE(parseEndpoint("198.51.100.1:443", key.service));
    return key;
}

struct Kind
{
    RouteTerms terms;
    milliseconds work{0};
    double worth = 0; ///< Of an answer within the goal.
    double lateWorth = 0; ///< Of an answer within the time limit.
    bool opensFlow = false;
    double perSecond = 0;
    int callers = 20; ///< Addresses.
    int firstCaller = 1; ///< Last byte of the first address.
};

const Kind checkIn{.terms
                   = {.priority = 1, .timeLimit = milliseconds(1131), .latencyGoal = milliseconds(200)},
                   .work = milliseconds(29),
                   .worth = 2,
                   .lateWorth = 0.6,
                   .opensFlow = true,
                   .perSecond = 375.0 / 46};
const Kind feed{.terms = {.isRepeatable = true,
                          .priority = 2,
                          .timeLimit = milliseconds(1131),
                          .latencyGoal = milliseconds(200)},
                .work = milliseconds(22),
                .worth = 1,
                .lateWorth = 0.3,
                .perSecond = 1312.0 / 46};

struct Result
{
    int sent = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0; ///< By the server.

    double worth(const Kind &kind) const
    {
        return kind.worth * inTime + kind.lateWorth * late;
    }
};

// A server of two slots and a queue of eight behind its gate, and its callers, in virtual time. Callers are
// 3 ms away; they repeat opening packets after 200 and 600 ms and requests after 200 ms, and reset the flow
// of a request without an answer at its time limit.
class World
{
public:
    World(bool withTerms, double workFactor)
        : m_withTerms(withTerms)
        , m_workFactor(workFactor)
    {
        m_gate.options.service = idOf<ServiceId>(serviceName);
        m_gate.coldFlowsPerSecond = noColdLimit;
        applyHeartbeat(m_gate,
                       {.id = "i-1",
                        .startTimeMs = 1000,
                        .sequence = 1,
                        .service = std::string(serviceName),
                        .zone = "a",
                        .slots = slotCount},
                       now, milliseconds(1000));
    }

    void run(milliseconds duration)
    {
        const auto end = now + duration;
        tick(end);
        while (!m_events.empty() && m_events.begin()->first < end) {
            const auto event = m_events.extract(m_events.begin());
            now = event.key();
            event.mapped()();
        }
        now = end;
    }

    // Requests of a kind at random moments, from now on.
    void addLoad(const Kind &kind, double factor, milliseconds duration)
    {
        std::exponential_distribution<double> pause(kind.perSecond * factor);
        for (auto time = pause(m_random); time < std::chrono::duration<double>(duration).count();
             time += pause(m_random)) {
            at(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time)),
               [this, &kind] { begin(kind); });
        }
    }

    void begin(const Kind &kind)
    {
        const auto index = m_requests.size();
        const auto port = static_cast<std::uint16_t>(1024 + index);
        const int caller = kind.firstCaller + static_cast<int>(index) % kind.callers;
        m_requests.push_back({.kind = &kind, .flow = flowOf(port, caller), .sentAt = now});
        m_byFlow[m_requests.back().flow] = index;
        ++results[&kind].sent;
        if (kind.opensFlow) {
            for (std::uint32_t copy = 0; copy < 3; ++copy) {
                at(waitBeforeCopy(copy) + milliseconds(3), [this, index, copy] {
                    if (!m_requests[index].isOpen) {
                        arrive(index, {.syn = true, .acknowledgement = copy});
                    }
                });
            }
        } else {
            auto &flow = m_gate.flows[m_requests[index].flow];
            flow.lastPacketAt = now;
            at(milliseconds(3), [this, index] { request(index); });
        }
        at(kind.terms.timeLimit, [this, index] {
            if (!m_requests[index].isDone) {
                m_requests[index].isDone = true;
                arrive(index, {.ack = true, .rst = true, .acknowledgement = 501});
            }
        });
    }

    std::map<const Kind *, Result> results;
    std::map<int, Duration> longestWaits; ///< At the agent, by priority.
    bool isResetting = false; ///< The server resets flows instead of answering.
    TimePoint now{std::chrono::hours(1)};

private:
    static constexpr std::uint16_t slotCount = 2;
    static constexpr std::size_t serverQueueLength = 8;

    struct Request
    {
        const Kind *kind = nullptr;
        FlowKey flow;
        TimePoint sentAt{};
        bool isOpen = false;
        bool isAtServer = false;
        bool isDone = false;
    };

    void at(Duration delay, std::function<void()> event)
    {
        m_events.emplace(now + delay, std::move(event));
    }

    void tick(TimePoint end)
    {
        markOverdueRequests(m_gate, now);
        serve();
        if (now < end) {
            at(milliseconds(100), [this, end] { tick(end); });
        }
    }

    void request(std::size_t index)
    {
        if (m_requests[index].isDone || m_requests[index].isAtServer) {
            return;
        }
        arrive(index, {.ack = true, .acknowledgement = 501, .payloadSize = 90});
        at(milliseconds(200), [this, index] { request(index); });
    }

    // A caller's packet at the agent, which does what `GateNode` does with it.
    void arrive(std::size_t index, Segment segment)
    {
        const auto &request = m_requests[index];
        segment.source = request.flow.caller;
        segment.destination = request.flow.service;
        const auto terms = m_withTerms ? request.kind->terms : RouteTerms{};
        if (WaitingWork dropped; segment.rst) {
            dropHeldRequest(m_gate, request.flow, dropped);
        }
        const auto &options = m_gate.options.schedule;
        const auto decision = admit(m_gate, segment, m_gate.options.service, now, false, terms);
        if (decision.action == GateAction::Deliver) {
            deliver(index, segment);
        } else if (decision.action == GateAction::Queue) {
            WaitingWork opening{.flow = request.flow,
                                .isOpening = true,
                                .terms = terms,
                                .intendedService = m_gate.options.service,
                                .queuedAt = now,
                                .waitedBefore = waitBeforeCopy(segment.acknowledgement)};
            addOpening(m_gate.schedule, options, currentPace(m_gate, now), std::move(opening), now);
        } else if (decision.action == GateAction::Hold) {
            EXPECT_NE(holdPacket(m_gate.schedule, options, request.flow, terms, segment, {}, {}, now),
                      HeldPacketOutcome::NoSpace);
        }
        serve();
    }

    void serve()
    {
        const auto &options = m_gate.options.schedule;
        OpeningRefusal refusal;
        while (takeExpired(m_gate.schedule, options, currentPace(m_gate, now), now, refusal)) { }
        NextWork next;
        while (!isBusy(m_gate, now)
               && takeNext(m_gate.schedule, options, currentPace(m_gate, now), now, next)) {
            auto &longestWait = longestWaits[next.work.terms.priority];
            longestWait = std::max(longestWait, now - next.work.queuedAt);
            Segment segment{.source = next.work.flow.caller,
                            .destination = next.work.flow.service,
                            .syn = next.work.isOpening,
                            .ack = !next.work.isOpening,
                            .acknowledgement = 501,
                            .payloadSize = next.work.isOpening ? 0U : 90U};
            if (next.work.isOpening) {
                EXPECT_EQ(admitQueued(m_gate, next.work, now).action, GateAction::Deliver);
            } else {
                recordRelease(m_gate, segment, now);
            }
            deliver(m_byFlow[next.work.flow], segment);
        }
    }

    void deliver(std::size_t index, const Segment &segment)
    {
        auto &request = m_requests[index];
        if (segment.opens()) {
            answer(request, true);
            if (!std::exchange(request.isOpen, true)) {
                at(milliseconds(6), [this, index] { this->request(index); });
            }
            return;
        }
        if (segment.payloadSize == 0 || std::exchange(request.isAtServer, true)) {
            return;
        }
        if (isResetting || m_running + m_serverQueue.size() >= slotCount + serverQueueLength) {
            ++results[request.kind].refused;
            request.isDone = true;
            answer(request, false, true);
            return;
        }
        m_serverQueue.push_back(index);
        startRequests();
    }

    void startRequests()
    {
        while (m_running < slotCount && !m_serverQueue.empty()) {
            const auto index = m_serverQueue.front();
            m_serverQueue.pop_front();
            ++m_running;
            std::uniform_real_distribution<double> variation(0.7, 1.3);
            const auto work = std::chrono::duration_cast<Duration>(m_requests[index].kind->work
                                                                   * (m_workFactor * variation(m_random)));
            at(work, [this, index] { finish(index); });
        }
    }

    void finish(std::size_t index)
    {
        --m_running;
        startRequests();
        auto &request = m_requests[index];
        answer(request, false);
        if (!std::exchange(request.isDone, true)) {
            auto &result = results[request.kind];
            const bool inTime = now + milliseconds(3) - request.sentAt <= milliseconds(250);
            ++(inTime ? result.inTime : result.late);
        }
        serve();
    }

    // A packet of the server.
    void answer(const Request &request, bool opens, bool resets = false)
    {
        recordServerPacket(m_gate,
                           {.source = request.flow.service,
                            .destination = request.flow.caller,
                            .syn = opens,
                            .ack = true,
                            .rst = resets,
                            .sequence = opens ? 500U : 501U,
                            .payloadSize = opens || resets ? 0U : 600U},
                           now);
    }

    bool m_withTerms;
    double m_workFactor;
    GateState m_gate;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<Request> m_requests;
    std::unordered_map<FlowKey, std::size_t> m_byFlow;
    std::deque<std::size_t> m_serverQueue;
    std::size_t m_running = 0;
    std::mt19937 m_random{1};
};

double share(World &world, const Kind &kind)
{
    const auto &result = world.results[&kind];
    return result.worth(kind) / (kind.worth * result.sent);
}

// The two kinds of work of a service at 0.43 of its capacity, then a burst of `factor` for five seconds.
World runBurst(bool withTerms, double factor)
{
    World world(withTerms, 1);
    world.addLoad(checkIn, 1, milliseconds(2000));
    world.addLoad(feed, 1, milliseconds(2000));
    world.run(milliseconds(2000));
    world.results.clear();
    world.addLoad(checkIn, factor, milliseconds(5000));
    world.addLoad(feed, factor, milliseconds(5000));
    world.run(milliseconds(7000));
    return world;
}

// Guards against a schedule that costs answers while the server can serve all work in time.
TEST(RequestScheduleLoadTest, ABurstWithinTheCapacityIsServedInTime)
{
    auto world = runBurst(true, 1.7);
    EXPECT_GE(share(world, checkIn), 0.98);
    EXPECT_GE(share(world, feed), 0.98);
}

// A burst of 1.3 times the capacity. Guards against urgent work that waits behind other work.
TEST(RequestScheduleLoadTest, ABurstBeyondTheCapacityDelaysTheLessUrgent)
{
    auto before = runBurst(false, 3);
    auto world = runBurst(true, 3);
    EXPECT_LT(share(before, checkIn), 0.7) << "the load must exceed the capacity";
    EXPECT_GE(share(world, checkIn), 0.98);
    // All check-ins, with what remains of the capacity the feed in time, and after the burst as much of it
    // late as the server answers until the time limit of the last requests.
    const auto &urgent = world.results[&checkIn];
    const auto &other = world.results[&feed];
    const double capacity = 2 * (5000 + 250) - 29.0 * urgent.sent;
    const double inTime = std::min<double>(other.sent, capacity / 22);
    const double late = std::min(other.sent - inTime, 2.0 * (1131 - 250) / 22);
    const double best = checkIn.worth * urgent.sent + feed.worth * inTime + feed.lateWorth * late;
    EXPECT_GE(urgent.worth(checkIn) + other.worth(feed), 0.95 * best);
    EXPECT_EQ(urgent.refused + other.refused, 0);
}

// Overload of 2 and of 4 times the capacity: check-ins alone need 0.8 and 1.6 of it.
TEST(RequestScheduleLoadTest, UnderDeepOverloadUrgentWorkKeepsTheServer)
{
    auto deep = runBurst(true, 5);
    EXPECT_GE(share(deep, checkIn), 0.98);
    EXPECT_GT(deep.results[&feed].inTime, 0);
    auto before = runBurst(false, 10);
    auto deepest = runBurst(true, 10);
    EXPECT_GT(share(deepest, checkIn), 0.5);
    EXPECT_GT(share(deepest, checkIn), 5 * share(before, checkIn));
}

// Guards against a caller with many flows that crowds out the others of its kind.
TEST(RequestScheduleLoadTest, ACallerWithManyFlowsDoesNotCrowdOutOthers)
{
    auto crowd = feed;
    crowd.callers = 1;
    crowd.perSecond = 200;
    auto single = feed;
    single.callers = 1;
    single.firstCaller = 100;
    single.perSecond = 2;
    World world(true, 1);
    world.addLoad(checkIn, 1, milliseconds(11'000));
    world.addLoad(feed, 1, milliseconds(1000));
    world.run(milliseconds(1000)); // Until the flows have shown two priorities.
    world.results.clear();
    world.addLoad(crowd, 1, milliseconds(10'000));
    world.addLoad(single, 1, milliseconds(10'000));
    world.run(milliseconds(12'000));
    EXPECT_LT(share(world, crowd), 0.6) << "the load must exceed the capacity";
    EXPECT_GE(share(world, single), 0.98);
    EXPECT_GE(share(world, checkIn), 0.98);
}

// Guards against urgent work that waits for more than one request of lower priority.
TEST(RequestScheduleLoadTest, UrgentWorkWaitsForOneRequestAtMost)
{
    auto rare = checkIn;
    rare.perSecond = 1;
    World world(true, 1);
    world.begin(rare);
    world.begin(feed);
    world.run(milliseconds(100)); // Until the flows have shown two priorities.
    world.addLoad(rare, 1, milliseconds(9000));
    world.addLoad(feed, 5, milliseconds(9000));
    world.run(milliseconds(10'000));
    EXPECT_GT(world.longestWaits[feed.terms.priority], milliseconds(200));
    EXPECT_LE(world.longestWaits[rare.terms.priority], feed.work * 13 / 10);
}

// Guards against work that stays behind after a server has failed.
TEST(RequestScheduleLoadTest, AServerThatResetsForASecondIsUsedAgain)
{
    World world(true, 1);
    world.addLoad(checkIn, 1.5, milliseconds(6000));
    world.addLoad(feed, 1.5, milliseconds(6000));
    world.run(milliseconds(1000));
    world.isResetting = true;
    world.run(milliseconds(1000));
    EXPECT_GT(world.results[&feed].refused, 0);
    world.isResetting = false;
    world.results.clear();
    world.run(milliseconds(6000));
    EXPECT_GE(world.results[&feed].inTime, 4 * 28 * 1.5 * 0.9);
    EXPECT_EQ(world.results[&feed].refused, 0);
}

// Guards against permanent starvation by a flood of urgent work, and against a flood that takes more than
// seven starts in eight.
TEST(RequestScheduleLoadTest, AFloodOfUrgentWorkLeavesOneStartInEight)
{
    auto flood = checkIn;
    flood.perSecond = 300;
    World world(true, 1);
    world.addLoad(flood, 1, milliseconds(5000));
    world.addLoad(feed, 1, milliseconds(5000));
    world.run(milliseconds(7000));
    const auto &other = world.results[&feed];
    EXPECT_GE(other.inTime + other.late, 5 * 70 / 8 * 9 / 10);
}

// After a loss of all power: all callers open their flows at once before a server that takes 1.6 times as
// long. Those that come later can be served in time, if they do not wait behind the crowd.
TEST(RequestScheduleLoadTest, ACrowdBeforeAColdServerDelaysNeitherNewNorUrgentWork)
{
    auto reopened = feed;
    reopened.opensFlow = true;
    const auto run = [&](bool withTerms) {
        World world(withTerms, 1.6);
        for (int i = 0; i < 40; ++i) {
            world.begin(reopened);
        }
        for (int i = 0; i < 8; ++i) {
            world.begin(checkIn);
        }
        world.addLoad(checkIn, 1, milliseconds(2000));
        world.addLoad(reopened, 1, milliseconds(2000));
        world.run(milliseconds(4000));
        return world;
    };
    auto before = run(false);
    auto world = run(true);
    EXPECT_GT(share(world, checkIn), share(before, checkIn) + 0.1);
    const auto newWork = world.results[&reopened].sent - 40;
    EXPECT_GE(world.results[&reopened].inTime, newWork * 9 / 10);
}

class RequestScheduleTest : public testing::Test
{
public:
    bool addOpening(std::uint16_t port, const RouteTerms &terms, Duration waitedBefore = {})
    {
        return oriolelever::addOpening(schedule, options, pace,
                                       {.flow = flowOf(port),
                                        .isOpening = true,
                                        .terms = terms,
                                        .queuedAt = now,
                                        .waitedBefore = waitedBefore},
                                       now)
            .accepted;
    }

    HeldPacketOutcome hold(std::uint16_t port, const RouteTerms &terms, std::uint32_t sequence = 1,
                           int caller = 1)
    {
        const std::vector<std::uint8_t> bytes(1232);
        return holdPacket(schedule, options, flowOf(port, caller), terms,
                          {.sequence = sequence, .payloadSize = 1200}, bytes, {}, now);
    }

    std::uint16_t next()
    {
        NextWork work;
        return takeNext(schedule, options, pace, now, work) ? work.work.flow.caller.port : std::uint16_t{0};
    }

    ScheduleOptions options;
    RequestSchedule schedule;
    SchedulePace pace{.usualWork = milliseconds(20), .answersPerSecond = 100};
    TimePoint now{std::chrono::hours(1)};
};

TEST_F(RequestScheduleTest, PriorityThenReachableGoalThenRemainingTime)
{
    auto shorter = feed.terms;
    shorter.latencyGoal = milliseconds(100);
    hold(1, shorter);
    now += milliseconds(70); // The first request cannot be answered within 100 ms any more.
    hold(2, feed.terms);
    auto longer = feed.terms;
    longer.latencyGoal = milliseconds(400);
    hold(3, longer);
    addOpening(4, checkIn.terms);
    for (const std::uint16_t port : {4, 2, 3, 1, 0}) {
        EXPECT_EQ(next(), port);
    }
}

// Guards against an overload in which all work is started with the least time left, and so answered late.
TEST_F(RequestScheduleTest, UnderOverloadWorkWithTheMostTimeLeftIsStartedFirst)
{
    hold(1, feed.terms);
    now += milliseconds(180); // The first request cannot be answered within 200 ms any more.
    hold(2, feed.terms);
    auto longer = feed.terms;
    longer.latencyGoal = milliseconds(400);
    hold(3, longer);
    addOpening(4, checkIn.terms);
    for (const std::uint16_t port : {4, 3, 2, 1, 0}) {
        EXPECT_EQ(next(), port);
    }
}

// Guards against servers that work for callers who are gone, after a burst: a caller that gives up on an open
// flow may send nothing that says so.
TEST_F(RequestScheduleTest, ARequestIsRemovedOnceItsCallerMustHaveGivenUp)
{
    hold(1, feed.terms);
    WaitingWork lost;
    now += feed.terms.timeLimit * 3 / 2;
    EXPECT_FALSE(takeLostRequest(schedule, now, lost)) << "stated limits are rounded down";
    now += milliseconds(1);
    hold(2, feed.terms);
    ASSERT_TRUE(takeLostRequest(schedule, now, lost));
    EXPECT_EQ(lost.flow, flowOf(1));
    EXPECT_FALSE(takeLostRequest(schedule, now, lost));
    EXPECT_EQ(schedule.requests, 1U);
}

TEST_F(RequestScheduleTest, OneStartInEightGoesToTheLongestWaitingOfLowerPriority)
{
    hold(100, feed.terms);
    now += milliseconds(1);
    hold(101, feed.terms);
    for (std::uint16_t port = 1; port <= 8; ++port) {
        hold(port, checkIn.terms);
    }
    for (std::uint16_t start = 1; start < 8; ++start) {
        EXPECT_LT(next(), 100);
    }
    EXPECT_EQ(next(), 100);
}

TEST_F(RequestScheduleTest, AmongEqualsTheCallerWithFewerStartsIsNext)
{
    for (std::uint16_t port = 1; port <= 3; ++port) {
        hold(port, feed.terms, 1, 1);
    }
    hold(9, feed.terms, 1, 2);
    EXPECT_EQ(next(), 1);
    EXPECT_EQ(next(), 9);
    EXPECT_EQ(next(), 2);
}

TEST_F(RequestScheduleTest, WorkOfEqualTermsIsServedNewestFirstOnceTheOldestMissesItsGoal)
{
    addOpening(1, checkIn.terms);
    now += options.overloadWait;
    addOpening(2, checkIn.terms);
    EXPECT_EQ(next(), 1) << "80 ms apply only where no goal is stated";
    addOpening(3, checkIn.terms);
    now += milliseconds(170);
    addOpening(4, checkIn.terms);
    EXPECT_EQ(next(), 4);
}

// Guards against callers that are held until they give up.
TEST_F(RequestScheduleTest, AnOpeningThatCannotBeServedInTimeIsRefusedAtOnce)
{
    pace = {.usualWork = milliseconds(200), .answersPerSecond = 5};
    auto terms = checkIn.terms;
    terms.latencyGoal = milliseconds(3200);
    terms.timeLimit = milliseconds(4525);
    for (std::uint16_t port = 1; port <= 6; ++port) {
        EXPECT_TRUE(addOpening(port, terms)) << port;
    }
    EXPECT_TRUE(addOpening(7, terms)) << "1,200 ms for the six before it";
    EXPECT_FALSE(addOpening(8, terms)) << "the caller gives up after 1.4 s";
    EXPECT_FALSE(addOpening(9, terms, waitBeforeCopy(2))) << "the third copy comes 600 ms after the first";
    OpeningRefusal refusal;
    EXPECT_FALSE(takeExpired(schedule, options, pace, now, refusal));
    now += milliseconds(300);
    ASSERT_TRUE(takeExpired(schedule, options, pace, now, refusal));
    EXPECT_LT(refusal.remaining, refusal.expectedWait);
}

// Guards against a bound on the queue's length that refuses what a fast server can start in time.
TEST_F(RequestScheduleTest, AnOpeningWaitsAsLongAsTheServerCanStartItInTime)
{
    constexpr int slots = 5;
    pace = {.usualWork = milliseconds(32), .answersPerSecond = slots / 0.032};
    const auto inTime = static_cast<int>(pace.answersPerSecond);
    for (std::uint16_t port = 1; port <= inTime; ++port) {
        ASSERT_TRUE(addOpening(port, feed.terms)) << port;
    }
}

TEST_F(RequestScheduleTest, ACopyTellsHowLongAnOpeningHasWaitedElsewhere)
{
    addOpening(1, checkIn.terms);
    now += milliseconds(100);
    addOpening(1, checkIn.terms, waitBeforeCopy(2));
    ASSERT_EQ(schedule.work.size(), 1U);
    EXPECT_EQ(schedule.work.front().waitedBefore, milliseconds(500));
}

TEST_F(RequestScheduleTest, AFullQueueKeepsTheMostUrgentOpenings)
{
    options.maxOpenings = 2;
    addOpening(1, feed.terms);
    now += milliseconds(1);
    addOpening(2, feed.terms);
    now += milliseconds(1);
    EXPECT_FALSE(addOpening(3, feed.terms));
    EXPECT_TRUE(addOpening(4, checkIn.terms));
    EXPECT_EQ(next(), 4);
    EXPECT_EQ(next(), 1);
    EXPECT_EQ(next(), 0);
}

TEST_F(RequestScheduleTest, PacketsOfAHeldRequestStayInOrderAndCopiesAreDropped)
{
    EXPECT_EQ(hold(1, feed.terms, 1), HeldPacketOutcome::NewRequest);
    EXPECT_EQ(hold(1, feed.terms, 1201), HeldPacketOutcome::Held);
    EXPECT_EQ(hold(1, feed.terms, 1), HeldPacketOutcome::Copy);
    EXPECT_EQ(hold(1, feed.terms, 2401), HeldPacketOutcome::Held);
    WaitingWork request;
    ASSERT_TRUE(takeRequest(schedule, flowOf(1), request));
    ASSERT_EQ(request.packets.size(), 3U);
    EXPECT_EQ(request.packets[1].sequence, 1201U);
    EXPECT_EQ(request.packets[2].sequence, 2401U);
    EXPECT_EQ(schedule.requestBytes, 0U);
}

TEST_F(RequestScheduleTest, MemoryIsBounded)
{
    for (std::uint16_t port = 1; port <= 256; ++port) {
        EXPECT_EQ(hold(port, feed.terms), HeldPacketOutcome::NewRequest);
    }
    EXPECT_EQ(hold(300, feed.terms), HeldPacketOutcome::NoSpace);
    options.maxRequests = 10'000;
    for (std::uint16_t port = 301; port < 3000; ++port) {
        hold(port, feed.terms);
    }
    EXPECT_LE(schedule.requestBytes, options.maxRequestBytes);
}

TEST_F(RequestScheduleTest, ARequestWhoseCallerGaveUpIsServedLast)
{
    hold(1, feed.terms);
    holdPacket(schedule, options, flowOf(1), feed.terms, {.fin = true, .sequence = 1201}, {}, {}, now);
    auto least = feed.terms;
    least.priority = lowestPriority;
    hold(2, least);
    EXPECT_EQ(next(), 2);
    EXPECT_EQ(next(), 1);
}

} // namespace
} // namespace oriolelever
