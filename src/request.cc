#include "oriolelever/request.h"

#include <algorithm>

namespace oriolelever {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds drainRetryAfter{1000};

RequestState *find(Gate &gate, RequestId request)
{
    const auto entry = gate.requests.find(request);
    return entry == gate.requests.end() ? nullptr : &entry->second;
}

Attempt *find(RequestState &state, AttemptId attempt)
{
    for (auto &known : state.attempts) {
        if (known.id == attempt) {
            return &known;
        }
    }
    return nullptr;
}

bool removeAttempt(RequestState &state, AttemptId attempt)
{
    return std::erase_if(state.attempts, [&](const Attempt &known) { return known.id == attempt; }) > 0;
}

Duration expectedAnswerTime(const Gate &gate)
{
    const auto usual = usualAnswerTime(gate.limiter);
    return usual.count() > 0 ? usual : Duration(gate.options.initialAnswerTime);
}

milliseconds ceilToMs(Duration duration)
{
    return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(duration));
}

void countOutcome(GateCounters &counters, Code outcome)
{
    switch (outcome) {
    case Code::Answered:
        ++counters.answered;
        return;
    case Code::RefusedNotRun:
        ++counters.refused;
        return;
    case Code::OutcomeUnknown:
        ++counters.unknown;
        return;
    default:
        ++counters.cancelled;
    }
}

ClaimEnd claimEndOf(Code outcome, bool mayHaveRun)
{
    if (outcome == Code::Answered) {
        return ClaimEnd::Answered;
    }
    return mayHaveRun ? ClaimEnd::Unknown : ClaimEnd::Released;
}

// Cancels running attempts and handovers, settles the claim and ends the request.
void finish(Gate &gate, RequestState &state, Code outcome, Reason reason, milliseconds retryAfter,
            GateEffects &effects)
{
    const auto id = state.facts.id;
    bool mayHaveRun = state.mayHaveRun || state.phase == Phase::HandedOver;
    for (const auto &attempt : state.attempts) {
        mayHaveRun = mayHaveRun || attempt.mayHaveReachedServer;
        effects.push_back(CancelAttempt{id, attempt.id});
        recordCancelled(gate.limiter);
    }
    if (state.phase == Phase::HandedOver) {
        effects.push_back(CancelHandover{id});
    }
    if (state.phase == Phase::Waiting) {
        remove(gate.queue, id);
    }
    if (outcome == Code::RefusedNotRun && mayHaveRun) {
        outcome = Code::OutcomeUnknown;
    }
    if (state.hasClaim) {
        effects.push_back(SettleClaim{id, claimEndOf(outcome, mayHaveRun)});
    }
    const bool relayed = state.relayedAttempt != 0;
    countOutcome(gate.counters, outcome);
    gate.requests.erase(id);
    effects.push_back(Finish{id, outcome, reason, retryAfter, relayed});
}

void refuse(Gate &gate, RequestState &state, Reason reason, Duration retryAfter, GateEffects &effects)
{
    finish(gate, state, Code::RefusedNotRun, reason, ceilToMs(retryAfter), effects);
}

bool canHandOver(const Gate &gate, const RequestState &state, TimePoint now)
{
    if (state.facts.fromPeer || state.handoverTried || !gate.peersAvailable) {
        return false;
    }
    const bool sent = state.mayHaveRun || !state.attempts.empty();
    if (sent && !state.facts.idempotent) {
        return false;
    }
    return now + gate.options.minHandoverTime < state.facts.deadline;
}

void handOver(Gate &gate, RequestState &state, Duration maxWait, GateEffects &effects)
{
    state.phase = Phase::HandedOver;
    state.handoverTried = true;
    ++gate.counters.handovers;
    effects.push_back(HandOver{state.facts.id, maxWait});
}

void handOverOrRefuse(Gate &gate, RequestState &state, Reason reason, Duration retryAfter, TimePoint now,
                      GateEffects &effects)
{
    if (!canHandOver(gate, state, now)) {
        refuse(gate, state, reason, retryAfter, effects);
        return;
    }
    handOver(gate, state, Duration::zero(), effects);
}

void startAttempt(Gate &gate, RequestState &state, TimePoint now, GateEffects &effects)
{
    if (state.attemptCount == 0) {
        addRetryTokens(gate.budget);
    }
    state.phase = Phase::Running;
    ++state.attemptCount;
    const auto attempt = ++gate.lastAttemptId;
    state.attempts.push_back({attempt, now, false});
    recordStart(gate.limiter);
    effects.push_back(SendAttempt{state.facts.id, attempt});
}

// Removes waiting requests that cannot be answered before their deadline, so that they can be handed over or
// refused early.
void evictLateRequests(Gate &gate, TimePoint now, GateEffects &effects)
{
    for (const auto &waiting : removeDueBefore(gate.queue, now + expectedAnswerTime(gate))) {
        auto *const state = find(gate, waiting.request);
        if (state != nullptr) {
            handOverOrRefuse(gate, *state, Reason::DeadlineTooClose, expectedWait(gate, waiting.urgency, now),
                             now, effects);
        }
    }
}

void startWaiting(Gate &gate, TimePoint now, GateEffects &effects)
{
    evictLateRequests(gate, now, effects);
    while (hasSlot(gate.limiter, now)) {
        const auto next = pop(gate.queue);
        if (!next) {
            return;
        }
        auto *const state = find(gate, next->request);
        if (state != nullptr) {
            startAttempt(gate, *state, now, effects);
        }
    }
}

// Reason not to queue the request here; `None` if it can be queued.
Reason refusalReason(const Gate &gate, const RequestState &state, TimePoint now)
{
    if (gate.draining) {
        return Reason::Draining;
    }
    const auto wait = expectedWait(gate, state.facts.urgency, now);
    const bool late = now + wait + expectedAnswerTime(gate) > state.facts.deadline;
    if (state.facts.maxWait.count() > 0 && wait > state.facts.maxWait) {
        return Reason::QueueFull;
    }
    if (!late) {
        return Reason::None;
    }
    return now < gate.limiter.pausedUntil ? Reason::ServerUnavailable : Reason::DeadlineTooClose;
}

// Time after which a repetition of a refused request may succeed.
Duration retryAfterOf(const Gate &gate, const RequestState &state, TimePoint now)
{
    return gate.draining ? Duration(drainRetryAfter) : expectedWait(gate, state.facts.urgency, now);
}

// An urgent request with a long expected wait may start earlier at a peer.
bool shouldTryPeer(const Gate &gate, const RequestState &state, Duration wait, TimePoint now)
{
    const auto limitNs
        = gate.options.balanceWaitFactor * static_cast<double>(expectedAnswerTime(gate).count());
    const bool longWait = static_cast<double>(wait.count()) > limitNs;
    return state.facts.urgency == Urgency::Urgent && longWait && canHandOver(gate, state, now);
}

// Queues, hands over or refuses a request that is allowed to run.
void scheduleRequest(Gate &gate, RequestState &state, TimePoint now, GateEffects &effects)
{
    const auto reason = refusalReason(gate, state, now);
    if (reason != Reason::None) {
        handOverOrRefuse(gate, state, reason, retryAfterOf(gate, state, now), now, effects);
        return;
    }
    const auto &facts = state.facts;
    const auto wait = expectedWait(gate, facts.urgency, now);
    if (shouldTryPeer(gate, state, wait, now)) {
        handOver(gate, state, wait / 2, effects);
        return;
    }
    std::optional<WaitingRequest> evicted;
    state.phase = Phase::Waiting;
    const auto result = push(gate.queue, {facts.id, facts.caller, facts.urgency, facts.deadline}, evicted);
    if (result == PushResult::CallerFull) {
        refuse(gate, state, Reason::CallerLimit, wait, effects);
        return;
    }
    if (result == PushResult::Full) {
        handOverOrRefuse(gate, state, Reason::QueueFull, wait, now, effects);
        return;
    }
    if (evicted) {
        handOverOrRefuse(gate, gate.requests.at(evicted->request), Reason::QueueFull, wait, now, effects);
    }
    startWaiting(gate, now, effects);
}

// True if the request may be sent once more; takes a token of the budget then.
bool mayRetry(Gate &gate, const RequestState &state, TimePoint now)
{
    if (!gate.options.retriesEnabled || state.relayedAttempt != 0
        || state.attemptCount >= gate.options.maxAttempts) {
        return false;
    }
    return now + expectedAnswerTime(gate) < state.facts.deadline && takeRetryToken(gate.budget);
}

void retry(Gate &gate, RequestState &state, TimePoint now, GateEffects &effects)
{
    ++gate.counters.retries;
    scheduleRequest(gate, state, now, effects);
}

void recordFailure(Limiter &limiter, AttemptFailure failure, TimePoint now)
{
    switch (failure) {
    case AttemptFailure::NotSent:
        recordUnreachable(limiter, now);
        return;
    case AttemptFailure::Shed:
        recordShed(limiter, now);
        return;
    case AttemptFailure::Broken:
        recordBadAnswer(limiter);
        return;
    }
}

// Handles a failure after which the server cannot have run this attempt.
void handleNotRunFailure(Gate &gate, RequestState &state, AttemptFailure failure, TimePoint now,
                         GateEffects &effects)
{
    const auto reason = failure == AttemptFailure::Shed ? Reason::ServerShed : Reason::ServerUnavailable;
    // A request that reached the server is not sent again, although the server shed it, unless it is
    // idempotent.
    const bool repeatable = state.facts.idempotent || failure == AttemptFailure::NotSent;
    const auto retryAfter
        = std::max<Duration>(gate.limiter.pausedUntil - now, expectedWait(gate, state.facts.urgency, now));
    if (!repeatable) {
        refuse(gate, state, reason, retryAfter, effects);
        return;
    }
    if (mayRetry(gate, state, now)) {
        retry(gate, state, now, effects);
        return;
    }
    handOverOrRefuse(gate, state, reason, retryAfter, now, effects);
}

void handleBrokenAnswer(Gate &gate, RequestState &state, TimePoint now, GateEffects &effects)
{
    ++gate.counters.brokenAnswers;
    if (state.facts.idempotent && mayRetry(gate, state, now)) {
        retry(gate, state, now, effects);
        return;
    }
    finish(gate, state, Code::OutcomeUnknown, Reason::AnswerBroken, milliseconds(0), effects);
}

// Sends a second attempt if the first is slow and nothing waits for the free slot.
void hedgeIfSlow(Gate &gate, RequestState &state, TimePoint now, GateEffects &effects)
{
    const bool hasOneAttempt = state.phase == Phase::Running && state.attempts.size() == 1;
    if (!gate.options.retriesEnabled || !state.facts.idempotent || !hasOneAttempt
        || state.relayedAttempt != 0) {
        return;
    }
    const auto delayNs
        = gate.options.hedgeDelayFactor * static_cast<double>(expectedAnswerTime(gate).count());
    const auto delay
        = std::max<Duration>(gate.options.minHedgeDelay, Duration(static_cast<Duration::rep>(delayNs)));
    const bool idle = size(gate.queue) == 0 && hasSlot(gate.limiter, now);
    if (!idle || now - state.attempts.front().started < delay || !mayRetry(gate, state, now)) {
        return;
    }
    ++gate.counters.hedges;
    startAttempt(gate, state, now, effects);
}

void handleDeadline(Gate &gate, RequestState &state, TimePoint now, GateEffects &effects)
{
    for (const auto &attempt : state.attempts) {
        effects.push_back(CancelAttempt{state.facts.id, attempt.id});
        state.mayHaveRun = state.mayHaveRun || attempt.mayHaveReachedServer;
        recordBadAnswer(gate.limiter);
    }
    state.attempts.clear();
    // While its claim has no result, the request may be a repetition of one that ran.
    const auto reason = state.phase == Phase::Claiming ? Reason::NotProvenFresh : Reason::DeadlinePassed;
    finish(gate, state, Code::RefusedNotRun, reason, ceilToMs(expectedWait(gate, state.facts.urgency, now)),
           effects);
}

} // namespace

std::string_view toString(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "none";
    case Reason::QueueFull:
        return "queue-full";
    case Reason::CallerLimit:
        return "caller-limit";
    case Reason::DeadlineTooClose:
        return "deadline-too-close";
    case Reason::Draining:
        return "draining";
    case Reason::ServerUnavailable:
        return "server-unavailable";
    case Reason::ServerShed:
        return "server-shed";
    case Reason::ClaimUnreachable:
        return "claim-unreachable";
    case Reason::NotProvenFresh:
        return "not-proven-fresh";
    case Reason::EarlierUnknown:
        return "earlier-unknown";
    case Reason::AnswerBroken:
        return "answer-broken";
    case Reason::DeadlinePassed:
        return "deadline-passed";
    case Reason::CallerGone:
        return "caller-gone";
    case Reason::Invalid:
        return "invalid";
    }
    return "unknown";
}

Gate::Gate(const GateOptions &gateOptions)
    : options(gateOptions)
    , limiter{.options = gateOptions.limiter}
    , queue{.options = gateOptions.queue}
    , budget(gateOptions.budget)
{
}

Duration expectedWait(const Gate &gate, Urgency urgency, TimePoint now)
{
    const auto pause = std::max(gate.limiter.pausedUntil - now, Duration::zero());
    const auto limit = std::max<std::size_t>(1, static_cast<std::size_t>(gate.limiter.limit));
    const auto queuedOrRunning = requestsAhead(gate.queue, urgency) + gate.limiter.running;
    if (queuedOrRunning < limit) {
        return pause;
    }
    return pause
        + expectedAnswerTime(gate) * static_cast<Duration::rep>(queuedOrRunning - limit + 1)
        / static_cast<Duration::rep>(limit);
}

void handleRequest(Gate &gate, const RequestFacts &facts, TimePoint now, GateEffects &effects)
{
    ++gate.counters.arrived;
    auto &state = gate.requests[facts.id];
    state.facts = facts;
    if (facts.hasIdempotencyKey && !facts.idempotent && !facts.fromPeer) {
        state.phase = Phase::Claiming;
        effects.push_back(StartClaim{facts.id});
        return;
    }
    scheduleRequest(gate, state, now, effects);
}

void handleClaimEnd(Gate &gate, RequestId request, ClaimVerdict verdict, milliseconds retryAfter,
                    TimePoint now, GateEffects &effects)
{
    auto *const state = find(gate, request);
    if (state == nullptr) {
        if (verdict == ClaimVerdict::Fresh) {
            effects.push_back(SettleClaim{request, ClaimEnd::Released});
        }
        return;
    }
    switch (verdict) {
    case ClaimVerdict::Fresh:
        state->hasClaim = true;
        scheduleRequest(gate, *state, now, effects);
        return;
    case ClaimVerdict::Answered:
        effects.push_back(RelayAnswer{request, 0});
        finish(gate, *state, Code::Answered, Reason::None, milliseconds(0), effects);
        return;
    case ClaimVerdict::EarlierUnknown:
        finish(gate, *state, Code::OutcomeUnknown, Reason::EarlierUnknown, milliseconds(0), effects);
        return;
    case ClaimVerdict::Unreachable:
        refuse(gate, *state, Reason::ClaimUnreachable, retryAfter, effects);
        return;
    case ClaimVerdict::NotProven:
        refuse(gate, *state, Reason::NotProvenFresh, retryAfter, effects);
        return;
    }
}

void recordSendStart(Gate &gate, RequestId request, AttemptId attempt)
{
    auto *const state = find(gate, request);
    auto *const known = state == nullptr ? nullptr : find(*state, attempt);
    if (known != nullptr) {
        known->mayHaveReachedServer = true;
    }
}

void handleAnswerStart(Gate &gate, RequestId request, AttemptId attempt, GateEffects &effects)
{
    auto *const state = find(gate, request);
    if (state == nullptr || find(*state, attempt) == nullptr || state->relayedAttempt != 0) {
        return;
    }
    state->relayedAttempt = attempt;
    for (const auto &other : state->attempts) {
        if (other.id == attempt) {
            continue;
        }
        effects.push_back(CancelAttempt{request, other.id});
        recordCancelled(gate.limiter);
        state->mayHaveRun = state->mayHaveRun || other.mayHaveReachedServer;
    }
    std::erase_if(state->attempts, [&](const Attempt &other) { return other.id != attempt; });
    effects.push_back(RelayAnswer{request, attempt});
}

void handleAnswerEnd(Gate &gate, RequestId request, AttemptId attempt, TimePoint now, GateEffects &effects)
{
    auto *const state = find(gate, request);
    const auto *const known = state == nullptr ? nullptr : find(*state, attempt);
    if (known == nullptr) {
        ++gate.counters.lateAnswers;
        return;
    }
    const auto elapsed = now - known->started;
    if (state->relayedAttempt == 0) {
        handleAnswerStart(gate, request, attempt, effects);
    }
    recordAnswer(gate.limiter, elapsed, now);
    removeAttempt(*state, attempt);
    finish(gate, *state, Code::Answered, Reason::None, milliseconds(0), effects);
    startWaiting(gate, now, effects);
}

void handleAttemptFailure(Gate &gate, RequestId request, AttemptId attempt, AttemptFailure failure,
                          TimePoint now, GateEffects &effects)
{
    auto *const state = find(gate, request);
    if (state == nullptr || !removeAttempt(*state, attempt)) {
        return;
    }
    recordFailure(gate.limiter, failure, now);
    state->mayHaveRun = state->mayHaveRun || failure == AttemptFailure::Broken;
    if (!state->attempts.empty()) {
        return;
    }
    if (failure == AttemptFailure::Broken) {
        handleBrokenAnswer(gate, *state, now, effects);
    } else {
        handleNotRunFailure(gate, *state, failure, now, effects);
    }
    startWaiting(gate, now, effects);
}

void handleHandoverEnd(Gate &gate, RequestId request, HandoverEnd end, milliseconds retryAfter, TimePoint now,
                       GateEffects &effects)
{
    auto *const state = find(gate, request);
    if (state == nullptr || state->phase != Phase::HandedOver) {
        return;
    }
    state->phase = Phase::Running;
    switch (end) {
    case HandoverEnd::Answered:
        effects.push_back(RelayAnswer{request, 0});
        finish(gate, *state, Code::Answered, Reason::None, milliseconds(0), effects);
        return;
    case HandoverEnd::RefusedNotRun:
    case HandoverEnd::NotSent:
        scheduleRequest(gate, *state, now, effects);
        return;
    case HandoverEnd::Unknown:
        state->mayHaveRun = true;
        break;
    }
    if (state->facts.idempotent && mayRetry(gate, *state, now)) {
        retry(gate, *state, now, effects);
        return;
    }
    finish(gate, *state, Code::OutcomeUnknown, Reason::AnswerBroken, retryAfter, effects);
}

void handleCallerGone(Gate &gate, RequestId request, TimePoint now, GateEffects &effects)
{
    auto *const state = find(gate, request);
    if (state == nullptr) {
        return;
    }
    finish(gate, *state, Code::Cancelled, Reason::CallerGone, milliseconds(0), effects);
    startWaiting(gate, now, effects);
}

void tick(Gate &gate, TimePoint now, GateEffects &effects)
{
    std::vector<RequestId> ids;
    for (const auto &[id, state] : gate.requests) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    for (const auto id : ids) {
        auto &state = gate.requests.at(id);
        if (now >= state.facts.deadline) {
            handleDeadline(gate, state, now, effects);
            continue;
        }
        hedgeIfSlow(gate, state, now, effects);
    }
    startWaiting(gate, now, effects);
}

void beginDrain(Gate &gate)
{
    gate.draining = true;
}

} // namespace oriolelever
