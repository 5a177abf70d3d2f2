#include "oriolelever/request.h"

#include <gtest/gtest.h>

using namespace oriolelever;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1000s};

template<typename T>
std::vector<T> effectsOf(const GateEffects &effects)
{
    std::vector<T> found;
    for (const auto &effect : effects) {
        if (const auto *const match = std::get_if<T>(&effect)) {
            found.push_back(*match);
        }
    }
    return found;
}

RequestFacts facts(RequestId id, bool idempotent)
{
    return {.id = id, .caller = id, .idempotent = idempotent, .arrived = start, .deadline = start + 1s};
}

class GateTest : public testing::Test
{
protected:
    GateEffects add(const RequestFacts &request, TimePoint now = start)
    {
        GateEffects effects;
        handleRequest(m_gate, request, now, effects);
        return effects;
    }

    GateEffects fail(const SendAttempt &sent, AttemptFailure failure, TimePoint now = start)
    {
        GateEffects effects;
        handleAttemptFailure(m_gate, sent.request, sent.attempt, failure, now, effects);
        return effects;
    }

    SendAttempt sendFirst(bool idempotent)
    {
        const auto sent = effectsOf<SendAttempt>(add(facts(1, idempotent))).at(0);
        recordSendStart(m_gate, sent.request, sent.attempt);
        return sent;
    }

    Gate m_gate;
};

} // namespace

TEST_F(GateTest, AnswerIsRelayedAndEnds)
{
    const auto sent = sendFirst(false);
    GateEffects effects;
    handleAnswerEnd(m_gate, 1, sent.attempt, start + 5ms, effects);
    ASSERT_EQ(effectsOf<RelayAnswer>(effects).size(), 1U);
    EXPECT_EQ(effectsOf<Finish>(effects).at(0).outcome, Code::Answered);
    EXPECT_TRUE(m_gate.requests.empty());
    EXPECT_EQ(m_gate.limiter.running, 0U);
}

TEST_F(GateTest, NonIdempotentIsNeverSentAgainAfterAByteLeft)
{
    const auto effects = fail(sendFirst(false), AttemptFailure::Broken);
    EXPECT_TRUE(effectsOf<SendAttempt>(effects).empty());
    EXPECT_EQ(effectsOf<Finish>(effects).at(0).outcome, Code::OutcomeUnknown);
}

TEST_F(GateTest, ShedNonIdempotentIsRefusedAndNotSentAgain)
{
    const auto effects = fail(sendFirst(false), AttemptFailure::Shed);
    EXPECT_TRUE(effectsOf<SendAttempt>(effects).empty());
    const auto end = effectsOf<Finish>(effects).at(0);
    EXPECT_EQ(end.outcome, Code::RefusedNotRun);
    EXPECT_GE(end.retryAfter, 20ms);
}

TEST_F(GateTest, UnsentMayBeSentOnceMoreAfterThePause)
{
    const auto sent = effectsOf<SendAttempt>(add(facts(1, false))).at(0);
    EXPECT_TRUE(effectsOf<Finish>(fail(sent, AttemptFailure::NotSent)).empty());
    GateEffects effects;
    tick(m_gate, start + 25ms, effects);
    EXPECT_EQ(effectsOf<SendAttempt>(effects).size(), 1U);
}

TEST_F(GateTest, FailureAfterAnIdempotentRunIsReportedAsUnknown)
{
    auto sent = sendFirst(true);
    m_gate.budget.tokens = 0;
    EXPECT_EQ(effectsOf<Finish>(fail(sent, AttemptFailure::Broken)).at(0).outcome, Code::OutcomeUnknown);
}

TEST_F(GateTest, DeadlineBeforeSendingIsARefusalAndAfterItUnknown)
{
    sendFirst(false);
    add(facts(2, false));
    GateEffects effects;
    tick(m_gate, start + 2s, effects);
    const auto ends = effectsOf<Finish>(effects);
    ASSERT_EQ(ends.size(), 2U);
    for (const auto &end : ends) {
        EXPECT_EQ(end.outcome, end.request == 1 ? Code::OutcomeUnknown : Code::RefusedNotRun);
    }
    EXPECT_EQ(effectsOf<CancelAttempt>(effects).size(), 1U);
}

TEST_F(GateTest, RequestThatCannotMeetItsDeadlineIsRefusedAtOnce)
{
    sendFirst(false);
    m_gate.limiter.usualNs = 1e9;
    const auto end = effectsOf<Finish>(add(facts(2, true))).at(0);
    EXPECT_EQ(end.outcome, Code::RefusedNotRun);
    EXPECT_EQ(end.reason, Reason::DeadlineTooClose);
    EXPECT_GT(end.retryAfter, 0ms);
}

TEST_F(GateTest, CallerThatHangsUpCancels)
{
    sendFirst(false);
    GateEffects effects;
    handleCallerGone(m_gate, 1, start, effects);
    EXPECT_EQ(effectsOf<CancelAttempt>(effects).size(), 1U);
    EXPECT_EQ(effectsOf<Finish>(effects).at(0).outcome, Code::Cancelled);
}

TEST_F(GateTest, DrainRefusesNewAndLetsRunningFinish)
{
    const auto sent = sendFirst(false);
    beginDrain(m_gate);
    EXPECT_EQ(effectsOf<Finish>(add(facts(2, false))).at(0).reason, Reason::Draining);
    GateEffects effects;
    handleAnswerEnd(m_gate, 1, sent.attempt, start + 1ms, effects);
    EXPECT_EQ(effectsOf<Finish>(effects).at(0).outcome, Code::Answered);
}

TEST_F(GateTest, DrainHandsOverButOnlyOnce)
{
    m_gate.peersAvailable = true;
    beginDrain(m_gate);
    EXPECT_EQ(effectsOf<HandOver>(add(facts(1, false))).size(), 1U);
    GateEffects effects;
    handleHandoverEnd(m_gate, 1, HandoverEnd::RefusedNotRun, 10ms, start, effects);
    EXPECT_TRUE(effectsOf<HandOver>(effects).empty());
    EXPECT_EQ(effectsOf<Finish>(effects).at(0).outcome, Code::RefusedNotRun);
    auto further = facts(2, false);
    further.fromPeer = true;
    EXPECT_TRUE(effectsOf<HandOver>(add(further)).empty());
}

TEST_F(GateTest, UrgentRequestTriesAPeerBeforeALongWait)
{
    m_gate.peersAvailable = true;
    m_gate.limiter.usualNs = 10e6;
    sendFirst(false);
    EXPECT_TRUE(effectsOf<HandOver>(add(facts(2, false))).empty());
    const auto handover = effectsOf<HandOver>(add(facts(3, false))).at(0);
    EXPECT_EQ(handover.maxWait, 10ms);
    auto strict = facts(4, false);
    strict.fromPeer = true;
    strict.maxWait = 10ms;
    EXPECT_EQ(effectsOf<Finish>(add(strict)).at(0).outcome, Code::RefusedNotRun);
    GateEffects effects;
    handleHandoverEnd(m_gate, 3, HandoverEnd::RefusedNotRun, 0ms, start, effects);
    EXPECT_TRUE(effects.empty());
    EXPECT_EQ(m_gate.requests.at(3).phase, Phase::Waiting);
}

TEST_F(GateTest, LostHandoverOfNonIdempotentIsUnknown)
{
    m_gate.peersAvailable = true;
    beginDrain(m_gate);
    add(facts(1, false));
    GateEffects effects;
    handleHandoverEnd(m_gate, 1, HandoverEnd::Unknown, 0ms, start, effects);
    EXPECT_EQ(effectsOf<Finish>(effects).at(0).outcome, Code::OutcomeUnknown);
}

TEST_F(GateTest, KeyedRequestRunsOnlyAfterItsClaim)
{
    auto request = facts(1, false);
    request.hasIdempotencyKey = true;
    const auto first = add(request);
    EXPECT_EQ(effectsOf<StartClaim>(first).size(), 1U);
    EXPECT_TRUE(effectsOf<SendAttempt>(first).empty());
    GateEffects effects;
    handleClaimEnd(m_gate, 1, ClaimVerdict::Fresh, 0ms, start, effects);
    EXPECT_EQ(effectsOf<SendAttempt>(effects).size(), 1U);
}

TEST_F(GateTest, UnprovenKeyIsRefusedWithARetryTime)
{
    auto request = facts(1, false);
    request.hasIdempotencyKey = true;
    add(request);
    GateEffects effects;
    handleClaimEnd(m_gate, 1, ClaimVerdict::NotProven, 700ms, start, effects);
    const auto end = effectsOf<Finish>(effects).at(0);
    EXPECT_EQ(end.outcome, Code::RefusedNotRun);
    EXPECT_EQ(end.retryAfter, 700ms);
}

TEST_F(GateTest, RefusalAfterAClaimReleasesIt)
{
    auto request = facts(1, false);
    request.hasIdempotencyKey = true;
    add(request);
    GateEffects effects;
    handleClaimEnd(m_gate, 1, ClaimVerdict::Fresh, 0ms, start + 2s, effects);
    EXPECT_EQ(effectsOf<Finish>(effects).at(0).outcome, Code::RefusedNotRun);
    EXPECT_EQ(effectsOf<SettleClaim>(effects).at(0).end, ClaimEnd::Released);
}

TEST_F(GateTest, HedgeRunsInsideTheBudgetAndTheLoserIsCancelled)
{
    m_gate.limiter.limit = 2.0;
    const auto sent = sendFirst(true);
    GateEffects effects;
    tick(m_gate, start + 50ms, effects);
    const auto hedge = effectsOf<SendAttempt>(effects).at(0);
    effects.clear();
    handleAnswerEnd(m_gate, 1, hedge.attempt, start + 60ms, effects);
    EXPECT_EQ(effectsOf<CancelAttempt>(effects).at(0).attempt, sent.attempt);
    EXPECT_EQ(effectsOf<RelayAnswer>(effects).at(0).attempt, hedge.attempt);
    EXPECT_EQ(m_gate.limiter.running, 0U);
}

TEST_F(GateTest, NoHedgeWithoutBudget)
{
    m_gate.limiter.limit = 2.0;
    sendFirst(true);
    m_gate.budget.tokens = 0;
    GateEffects effects;
    tick(m_gate, start + 50ms, effects);
    EXPECT_TRUE(effectsOf<SendAttempt>(effects).empty());
}

TEST_F(GateTest, LateAnswerIsDroppedAndCounted)
{
    const auto sent = sendFirst(false);
    GateEffects effects;
    tick(m_gate, start + 2s, effects);
    effects.clear();
    handleAnswerEnd(m_gate, 1, sent.attempt, start + 3s, effects);
    EXPECT_TRUE(effects.empty());
    EXPECT_EQ(m_gate.counters.lateAnswers, 1U);
}

TEST_F(GateTest, BrokenAfterRelayIsNotSentAgain)
{
    const auto sent = sendFirst(true);
    GateEffects effects;
    handleAnswerStart(m_gate, 1, sent.attempt, effects);
    effects = fail(sent, AttemptFailure::Broken);
    EXPECT_TRUE(effectsOf<SendAttempt>(effects).empty());
    EXPECT_TRUE(effectsOf<Finish>(effects).at(0).relayed);
}

TEST(QueueTest, UrgentGoesFirstAndOrdinaryKeepsAShare)
{
    Queue queue;
    std::optional<WaitingRequest> evicted;
    for (std::uint64_t i = 0; i < 20; ++i) {
        push(queue, {i, i % 4, Urgency::Urgent, start}, evicted);
        push(queue, {100 + i, i % 4, Urgency::Ordinary, start}, evicted);
    }
    int ordinary = 0;
    for (int i = 0; i < 16; ++i) {
        ordinary += pop(queue)->urgency == Urgency::Ordinary ? 1 : 0;
    }
    EXPECT_EQ(ordinary, 2);
}

TEST(QueueTest, CallersTakeTurnsAndDeadlinesOrderWithinOne)
{
    Queue queue;
    std::optional<WaitingRequest> evicted;
    push(queue, {1, 7, Urgency::Urgent, start + 3s}, evicted);
    push(queue, {2, 7, Urgency::Urgent, start + 1s}, evicted);
    push(queue, {3, 8, Urgency::Urgent, start + 9s}, evicted);
    EXPECT_EQ(pop(queue)->request, 2U);
    EXPECT_EQ(pop(queue)->request, 3U);
    EXPECT_EQ(pop(queue)->request, 1U);
}

TEST(QueueTest, FullQueueEvictsOrdinaryForUrgentAndLimitsCallers)
{
    Queue queue{.options = {.capacity = 2, .callerCapacity = 1}};
    std::optional<WaitingRequest> evicted;
    push(queue, {1, 1, Urgency::Ordinary, start}, evicted);
    EXPECT_EQ(push(queue, {2, 1, Urgency::Urgent, start}, evicted), PushResult::CallerFull);
    push(queue, {2, 2, Urgency::Ordinary, start + 1s}, evicted);
    EXPECT_EQ(push(queue, {3, 3, Urgency::Ordinary, start}, evicted), PushResult::Full);
    EXPECT_EQ(push(queue, {4, 4, Urgency::Urgent, start}, evicted), PushResult::Queued);
    ASSERT_TRUE(evicted);
    EXPECT_EQ(evicted->request, 2U);
}

namespace {

void recordAnswers(Limiter &limiter, int count, Duration elapsed, TimePoint now)
{
    for (int i = 0; i < count; ++i) {
        recordStart(limiter);
        recordAnswer(limiter, elapsed, now);
    }
}

} // namespace

TEST(LimiterTest, GrowsByEvidenceAndFallsBackWhenCold)
{
    Limiter limiter{.options = {.slots = 4, .rampTime = 0ms}};
    recordAnswers(limiter, 7, 10ms, start);
    EXPECT_EQ(allowedConcurrency(limiter, start), 1U);
    recordAnswers(limiter, 17, 10ms, start);
    EXPECT_EQ(allowedConcurrency(limiter, start), 4U);
    recordAnswers(limiter, 1, 60ms, start);
    EXPECT_EQ(allowedConcurrency(limiter, start), 4U);
    recordAnswers(limiter, 1, 60ms, start);
    EXPECT_EQ(allowedConcurrency(limiter, start), 1U);
    recordAnswers(limiter, 8, 10ms, start);
    EXPECT_EQ(allowedConcurrency(limiter, start), 1U);
    recordAnswers(limiter, 12, 10ms, start);
    EXPECT_EQ(allowedConcurrency(limiter, start), 2U);
}

TEST(LimiterTest, RampHoldsTheLimitBackAfterAStart)
{
    Limiter limiter{.options = {.slots = 4, .rampTime = 8s}};
    beginRamp(limiter, start);
    recordAnswers(limiter, 100, 10ms, start + 3s);
    EXPECT_EQ(allowedConcurrency(limiter, start), 1U);
    recordAnswers(limiter, 100, 10ms, start + 4s);
    EXPECT_EQ(allowedConcurrency(limiter, start), 2U);
    recordAnswers(limiter, 100, 10ms, start + 8s);
    EXPECT_EQ(allowedConcurrency(limiter, start), 4U);
}

TEST(LimiterTest, BadAnswersInARowAndShedRequestsLowerTheLimit)
{
    Limiter limiter{.options = {.slots = 4, .rampTime = 0ms}};
    recordAnswers(limiter, 100, 10ms, start);
    recordStart(limiter);
    recordShed(limiter, start);
    EXPECT_EQ(allowedConcurrency(limiter, start), 0U);
    EXPECT_EQ(allowedConcurrency(limiter, start + 20ms), 3U);
    recordStart(limiter);
    recordStart(limiter);
    recordBadAnswer(limiter);
    EXPECT_EQ(allowedConcurrency(limiter, start + 20ms), 3U);
    recordBadAnswer(limiter);
    EXPECT_EQ(allowedConcurrency(limiter, start + 20ms), 1U);
}

TEST(LimiterTest, UnreachableServerPausesLongerEachTime)
{
    Limiter limiter;
    recordStart(limiter);
    recordUnreachable(limiter, start);
    EXPECT_FALSE(hasSlot(limiter, start + 10ms));
    EXPECT_TRUE(hasSlot(limiter, start + 20ms));
    recordStart(limiter);
    recordUnreachable(limiter, start + 20ms);
    EXPECT_FALSE(hasSlot(limiter, start + 50ms));
    EXPECT_TRUE(hasSlot(limiter, start + 60ms));
}
