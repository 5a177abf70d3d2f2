/// The gate of one backend server: decides, without I/O, when each request is sent, queued, retried, handed
/// over to another agent or refused.
///
/// Each function takes one event and appends the actions to execute to `effects`; the daemon, the tests and
/// the lab run the same functions.
///
///     Gate gate;
///     GateEffects effects;
///     handleRequest(gate, facts, now, effects);
#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "oriolelever/codes.h"
#include "oriolelever/limiter.h"
#include "oriolelever/queue.h"

namespace oriolelever {

using RequestId = std::uint64_t;
using AttemptId = std::uint64_t;

/// Properties of a request that the gate decides by.
struct RequestFacts
{
    RequestId id = 0;
    std::uint64_t caller = 0; ///< Hash of the caller's address; the queue is fair between callers.
    Urgency urgency = Urgency::Urgent;
    bool idempotent = false; ///< May run more than once.
    bool hasIdempotencyKey = false; ///< Claimed first unless `idempotent` or `fromPeer`.
    bool fromPeer = false; ///< Handed over by another agent; never handed over again.
    Duration maxWait{0}; ///< Refused if the expected wait is longer; 0 for no such limit.
    TimePoint arrived; ///< When this agent received it.
    TimePoint deadline; ///< When the caller needs the answer at the latest.
};

/// Why a request ended with its outcome.
enum class Reason : std::uint8_t {
    None,
    QueueFull, ///< The queue is full, or the expected wait exceeds `RequestFacts::maxWait`.
    CallerLimit, ///< The caller has too many waiting requests.
    DeadlineTooClose, ///< The answer is not expected before the deadline.
    Draining, ///< The agent is draining.
    ServerUnavailable, ///< The server accepts no connection, or is paused after a failure.
    ServerShed, ///< The backend server reported that it did not run the request.
    ClaimUnreachable, ///< Too few holders accepted the claim on the idempotency key.
    NotProvenFresh, ///< An earlier run with the key cannot be ruled out.
    EarlierUnknown, ///< An earlier request with the key may have run.
    AnswerBroken, ///< Truncated, malformed, crossed or oversized, or the reply to a handover is missing.
    DeadlinePassed, ///< The deadline passed before the end of the answer.
    CallerGone, ///< The caller closed its connection.
    Invalid, ///< The request itself is malformed.
};

std::string_view toString(Reason reason);

/// Claims the request's idempotency key; answered by `handleClaimEnd`.
struct StartClaim
{
    RequestId request = 0;
};

/// How a claimed request ended.
enum class ClaimEnd : std::uint8_t {
    Released, ///< It did not run; the key may be claimed again.
    Answered, ///< It was answered; the answer is kept.
    Unknown ///< It may have run without an answer.
};

/// Reports the end of the request to the holders of its key.
struct SettleClaim
{
    RequestId request = 0;
    ClaimEnd end = ClaimEnd::Released;
};

/// Sends the request to the backend server as a new attempt.
struct SendAttempt
{
    RequestId request = 0;
    AttemptId attempt = 0;
};

/// Cancels an attempt that has no end yet.
struct CancelAttempt
{
    RequestId request = 0;
    AttemptId attempt = 0;
};

/// Sends the request to another agent of the service, which the executor of the effects chooses; answered by
/// `handleHandoverEnd`.
struct HandOver
{
    RequestId request = 0;
    Duration maxWait{0}; ///< Longest expected wait at which the other agent accepts it; 0 for no limit.
};

/// Cancels the request at the agent that it was handed over to.
struct CancelHandover
{
    RequestId request = 0;
};

/// Forwards the answer of this attempt to the caller.
struct RelayAnswer
{
    RequestId request = 0;
    AttemptId attempt = 0; ///< 0 for the answer of a handover or of an earlier request with the key.
};

/// End of the request; no effect for it follows.
struct Finish
{
    RequestId request = 0;
    Code outcome = Code::Answered;
    Reason reason = Reason::None;
    std::chrono::milliseconds retryAfter{0}; ///< When a repetition may succeed; 0 if unknown.
    bool relayed = false; ///< `RelayAnswer` for an attempt of this agent came before.
};

using Effect = std::variant<StartClaim, SettleClaim, SendAttempt, CancelAttempt, HandOver, CancelHandover,
                            RelayAnswer, Finish>;
using GateEffects = std::vector<Effect>;

struct GateOptions
{
    LimiterOptions limiter;
    QueueOptions queue;
    RetryBudget budget;
    bool retriesEnabled = true; ///< Whether requests are retried and hedged at all.
    std::uint32_t maxAttempts = 3; ///< Attempts of one request, with hedges.
    double hedgeDelayFactor = 3.0; ///< Delay of a hedge in usual answer times.
    std::chrono::milliseconds minHedgeDelay{20}; ///< Shortest delay of a hedge.
    std::chrono::milliseconds initialAnswerTime{5}; ///< Expected answer time before the first answer.
    /// Expected wait, in usual answer times, above which an urgent request is handed over to a peer.
    double balanceWaitFactor = 1.0;
    std::chrono::milliseconds minHandoverTime{
        5}; ///< A handover needs more time than this until the deadline.
};

enum class Phase : std::uint8_t {
    Claiming, ///< Waits for the claim on its idempotency key.
    Waiting, ///< In the queue.
    Running, ///< Has attempts at the backend server.
    HandedOver ///< Waits for the reply of another agent.
};

/// One transmission of a request to the backend server.
struct Attempt
{
    AttemptId id = 0;
    TimePoint started;
    bool mayHaveReachedServer = false; ///< A byte may have been sent; set by `recordSendStart`.
};

/// Request without an end.
struct RequestState
{
    RequestFacts facts;
    Phase phase = Phase::Waiting;
    std::vector<Attempt> attempts; ///< Attempts without an end.
    AttemptId relayedAttempt = 0; ///< Attempt whose answer is forwarded to the caller; 0 for none.
    std::uint32_t attemptCount = 0; ///< Attempts so far, with ended ones.
    bool mayHaveRun = false; ///< An attempt or handover that has ended may have run it.
    bool hasClaim = false; ///< The claim on its key succeeded and must be settled.
    bool handoverTried = false; ///< Was handed over once; not handed over again.
};

/// Totals since the start of the gate.
struct GateCounters
{
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0; ///< Refused without having run.
    std::uint64_t unknown = 0; ///< Ended with an unknown outcome.
    std::uint64_t cancelled = 0; ///< Ended because the caller was gone.
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t handovers = 0; ///< Requests handed over to other agents.
    std::uint64_t brokenAnswers = 0;
    std::uint64_t lateAnswers = 0; ///< Answers that came after the end of their attempt; dropped.
};

/// State of the gate; the functions below change it.
struct Gate
{
    explicit Gate(const GateOptions &gateOptions = {});

    GateOptions options;
    Limiter limiter;
    Queue queue;
    RetryBudget budget;
    std::unordered_map<RequestId, RequestState> requests; ///< Those without an end.
    AttemptId lastAttemptId = 0;
    bool draining = false;
    bool peersAvailable = false; ///< Another agent of the service accepts handovers.
    GateCounters counters;
};

/// Handles a new request: claims its key, queues it, hands it over or refuses it.
void handleRequest(Gate &gate, const RequestFacts &facts, TimePoint now, GateEffects &effects);

/// Result of a claim on an idempotency key.
enum class ClaimVerdict : std::uint8_t {
    Fresh, ///< No earlier request with the key ran: this one may.
    Answered, ///< An earlier request with the key was answered.
    EarlierUnknown, ///< An earlier request with the key may have run.
    Unreachable, ///< Too few holders of the key accepted the claim.
    NotProven ///< The holders cannot prove the key fresh.
};

/// Handles the result of a claim. On `Answered` the executor of the effects has the earlier answer ready for
/// `RelayAnswer`. `retryAfter` is used for `Unreachable` and `NotProven`.
void handleClaimEnd(Gate &gate, RequestId request, ClaimVerdict verdict, std::chrono::milliseconds retryAfter,
                    TimePoint now, GateEffects &effects);

/// Records that the attempt may reach the server; call it before the first byte is sent.
void recordSendStart(Gate &gate, RequestId request, AttemptId attempt);
/// Handles the head of an answer that is too large to be held: forwards this attempt's answer and cancels the
/// other attempts.
void handleAnswerStart(Gate &gate, RequestId request, AttemptId attempt, GateEffects &effects);
/// Handles the end of a whole answer.
void handleAnswerEnd(Gate &gate, RequestId request, AttemptId attempt, TimePoint now, GateEffects &effects);

enum class AttemptFailure : std::uint8_t {
    NotSent, ///< No byte was sent.
    Shed, ///< The server reported that it did not run the request.
    Broken, ///< Any other failure: the server may have run the request.
};

/// Handles the failure of an attempt: retries the request, hands it over or ends it.
void handleAttemptFailure(Gate &gate, RequestId request, AttemptId attempt, AttemptFailure failure,
                          TimePoint now, GateEffects &effects);

enum class HandoverEnd : std::uint8_t {
    Answered, ///< The other agent sent an answer, which is ready for `RelayAnswer`.
    RefusedNotRun, ///< The other agent did not run the request.
    NotSent, ///< The request did not reach another agent.
    Unknown ///< The request may have run.
};

/// Handles the end of a handover. A request that did not run is scheduled here.
void handleHandoverEnd(Gate &gate, RequestId request, HandoverEnd end, std::chrono::milliseconds retryAfter,
                       TimePoint now, GateEffects &effects);

/// Handles the end of the caller's connection: cancels the request.
void handleCallerGone(Gate &gate, RequestId request, TimePoint now, GateEffects &effects);
/// Enforces deadlines, sends hedges and starts waiting requests; call it every few milliseconds, and at
/// once after a longer pause.
void tick(Gate &gate, TimePoint now, GateEffects &effects);
/// Begins the drain: from now on new requests are handed over or refused.
void beginDrain(Gate &gate);

/// Returns the expected wait of a new request of this class before it starts.
Duration expectedWait(const Gate &gate, Urgency urgency, TimePoint now);

} // namespace oriolelever
