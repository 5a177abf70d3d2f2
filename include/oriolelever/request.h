/// The gate of one backend server: decides, without I/O, what becomes of each request.
///
/// Events go in, effects come out; the daemon, the tests and the lab run the same functions.
///
///     Gate gate;
///     Effects effects;
///     arrive(gate, facts, now, effects);
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

/// What the gate needs to know of a request.
struct RequestFacts
{
    RequestId id = 0;
    std::uint64_t caller = 0; ///< Hash of the caller's address; fairness is between these.
    Urgency urgency = Urgency::Urgent;
    bool idempotent = false;
    bool keyed = false; ///< Carries an idempotency key that must be claimed before it runs.
    bool handedOver = false; ///< Came from another agent and goes no further.
    Duration maxWait{0}; ///< Refused if it would wait longer than this; 0 for no such limit.
    TimePoint arrived;
    TimePoint deadline;
};

/// Why a request ended as it did.
enum class Reason : std::uint8_t {
    None,
    QueueFull,
    CallerLimit, ///< One caller has too many requests waiting.
    DeadlineTooClose, ///< The answer cannot come before the deadline.
    Draining,
    ServerUnavailable,
    ServerShed, ///< The backend server said that it did not run the request.
    ClaimUnreachable, ///< Too few holders of the idempotency key answered.
    NotProvenFresh, ///< An earlier run under the key cannot be ruled out.
    EarlierUnknown, ///< An earlier request under the key may have run.
    AnswerBroken, ///< Truncated, malformed, crossed or oversized.
    DeadlinePassed,
    CallerGone,
    Invalid, ///< The request itself is malformed.
};

std::string_view toString(Reason reason);

struct StartClaim
{
    RequestId request = 0;
};

enum class ClaimEnd : std::uint8_t { Released, Answered, Unknown };

/// Tells the holders of the key how the request ended.
struct SettleClaim
{
    RequestId request = 0;
    ClaimEnd end = ClaimEnd::Released;
};

/// Sends the request to the backend server.
struct SendAttempt
{
    RequestId request = 0;
    AttemptId attempt = 0;
};

struct CancelAttempt
{
    RequestId request = 0;
    AttemptId attempt = 0;
};

/// Sends the request to another agent of the service, chosen by the edge.
struct HandOver
{
    RequestId request = 0;
    Duration maxWait{0}; ///< The other agent refuses it if it would wait longer there; 0 for no such limit.
};

/// Tells the other agent that the answer is no longer wanted.
struct CancelHandover
{
    RequestId request = 0;
};

/// Passes the answer of this attempt on to the caller.
struct RelayAnswer
{
    RequestId request = 0;
    AttemptId attempt = 0; ///< 0 for the answer of a handover.
};

/// The request's end; nothing follows for it.
struct Finish
{
    RequestId request = 0;
    Code outcome = Code::Answered;
    Reason reason = Reason::None;
    std::chrono::milliseconds retryAfter{0}; ///< When a repetition has a chance; 0 if unknown.
    bool relayed = false; ///< Part of an answer went to the caller before the end.
};

using Effect = std::variant<StartClaim, SettleClaim, SendAttempt, CancelAttempt, HandOver, CancelHandover,
                            RelayAnswer, Finish>;
using Effects = std::vector<Effect>;

struct GateOptions
{
    LimiterOptions limiter;
    QueueOptions queue;
    RetryBudget budget;
    bool retries = true; ///< Retries and hedges of idempotent requests.
    std::uint32_t maxAttempts = 3;
    double hedgeFactor = 3.0; ///< Usual answer times before an idempotent request is sent again.
    std::chrono::milliseconds minHedgeDelay{20};
    std::chrono::milliseconds firstEstimate{5}; ///< Assumed answer time before the first answer.
    double balanceWait = 1.0; ///< Usual answer times of waiting after which an urgent request tries a peer.
    std::chrono::milliseconds minHandover{5}; ///< Time left that makes a handover worthwhile.
};

enum class Phase : std::uint8_t { Claiming, Waiting, Running, HandedOver };

struct Attempt
{
    AttemptId id = 0;
    TimePoint started;
    bool byteLeft = false; ///< A byte may have left towards the backend server.
};

struct RequestState
{
    RequestFacts facts;
    Phase phase = Phase::Waiting;
    std::vector<Attempt> attempts; ///< Those without an end.
    AttemptId relayed = 0;
    std::uint32_t started = 0; ///< Attempts so far.
    bool mayHaveRun = false; ///< By an attempt or handover that has ended.
    bool claimed = false;
    bool handoverTried = false;
};

struct GateCounters
{
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t handovers = 0;
    std::uint64_t brokenAnswers = 0;
    std::uint64_t lateAnswers = 0;
};

struct Gate
{
    explicit Gate(const GateOptions &gateOptions = {});

    GateOptions options;
    Limiter limiter;
    Queue queue;
    RetryBudget budget;
    std::unordered_map<RequestId, RequestState> requests;
    AttemptId lastAttempt = 0;
    bool draining = false;
    bool peersAvailable = false; ///< Another agent of the service takes requests.
    GateCounters counters;
};

/// A request came in.
void arrive(Gate &gate, const RequestFacts &facts, TimePoint now, Effects &effects);

enum class ClaimVerdict : std::uint8_t { Fresh, Answered, EarlierUnknown, Unreachable, NotProven };

/// The claim ended. `Answered` means that the edge holds the first run's answer. `retryAfter` counts for
/// `NotProven`.
void claimEnded(Gate &gate, RequestId request, ClaimVerdict verdict, std::chrono::milliseconds retryAfter,
                TimePoint now, Effects &effects);

/// A byte of the attempt may have left towards the server; must come before the byte does.
void byteLeft(Gate &gate, RequestId request, AttemptId attempt);
/// The head of an answer too large to be held came: this attempt is the one passed on.
void answerBegan(Gate &gate, RequestId request, AttemptId attempt, Effects &effects);
/// The whole answer came.
void answerEnded(Gate &gate, RequestId request, AttemptId attempt, TimePoint now, Effects &effects);

enum class AttemptFailure : std::uint8_t {
    NotSent, ///< No byte left.
    Shed, ///< The server said that it did not run the request.
    Broken, ///< Anything else: the server may have run it.
};

void attemptFailed(Gate &gate, RequestId request, AttemptId attempt, AttemptFailure failure, TimePoint now,
                   Effects &effects);

enum class HandoverEnd : std::uint8_t { Answered, RefusedNotRun, NotSent, Unknown };

void handoverEnded(Gate &gate, RequestId request, HandoverEnd end, std::chrono::milliseconds retryAfter,
                   TimePoint now, Effects &effects);

/// The caller hung up.
void callerGone(Gate &gate, RequestId request, TimePoint now, Effects &effects);
/// Enforces deadlines, starts waiting requests and hedges; call it every few milliseconds and after a pause.
void tick(Gate &gate, TimePoint now, Effects &effects);
/// From now on new requests are handed over or refused.
void beginDrain(Gate &gate);

/// Expected wait of a new request of this class before it starts.
Duration expectedWait(const Gate &gate, Urgency urgency, TimePoint now);

} // namespace oriolelever
