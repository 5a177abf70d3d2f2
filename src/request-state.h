// State of the gate's thread; shared by the sources of `RequestRunner`.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <unordered_map>

#include <asio/steady_timer.hpp>

#include "oriolelever/requests.h"

namespace oriolelever {

namespace detail {

// Requests handed over by other agents get ids from here on, apart from those of callers.
constexpr RequestId firstHandoverId = RequestId{1} << 62;
constexpr std::size_t maxHandoverAnswerBytes = 768 * 1024; // Leaves room for headers in a message of 1 MiB.

bool isIdempotent(const std::string &method);
bool isKnownMethod(const std::string &method);
// Returns the headers to forward, without those of one connection and the agent's own.
HeaderList forwardedHeaders(const HeaderList &headers);
HeaderList outcomeHeaders(Code outcome, Reason reason);
// Answer to the caller for a request that the server did not answer.
CallerAnswer answerFor(const Finish &end);

// Request without an end, from a caller or another agent, with what the gate doesn't need to know.
struct ActiveRequest
{
    ServerRequest outbound;
    std::string key; ///< Idempotency key; empty if there is none.
    Urgency urgency = Urgency::Urgent;
    std::uint64_t caller = 0; ///< Hash of the caller's address.
    TimePoint arrived{};
    Streams::Reply reply{nullptr}; ///< Set if `fromPeer`.
    bool fromPeer = false; ///< Handed over by another agent.
    std::string origin; ///< Set if `fromPeer`: identifies the request for a cancellation.
    Endpoint peerEndpoint; ///< Agent that it was handed over to; port 0 for none.
    bool isBalancingHandover = false; ///< Handed over to start earlier, not because it cannot run here.
    AnswerHead head; ///< Head of the answer to forward.
    std::string body; ///< Whole body, or the part received so far if `fromPeer`.
    KeptAnswer answerToKeep; ///< Answer for the holders of the key; empty if it was not held whole.
    bool relayed = false; ///< `RelayAnswer` came.
    bool streaming = false; ///< The head has been sent to the caller; the body follows in parts.
    std::uint32_t attemptCount = 0; ///< Attempts so far.
};

} // namespace detail

struct RequestRunner::State : UpstreamEvents, FrontEvents, std::enable_shared_from_this<RequestRunner::State>
{
    explicit State(RequestsOptions runnerOptions)
        : options(std::move(runnerOptions))
        , gate(options.gate)
        , random(options.self.incarnation)
        , timer(context)
    {
    }

    Result<void> open();
    void run();
    void scheduleTick();
    void maintain();
    void advanceDrain();

    void requestArrived(CallerRequest request) override;
    void callerGone(RequestId request) override;
    void byteLeft(RequestId request, AttemptId attempt) override;
    void answerBegan(RequestId request, AttemptId attempt) override;
    void answerPart(RequestId request, AttemptId attempt, std::string part) override;
    void answerEnded(RequestId request, AttemptId attempt) override;
    void attemptFailed(RequestId request, AttemptId attempt, AttemptFailure failure) override;

    void handleCancel(const std::string &body, const Streams::Reply &reply);
    // Name of a request of this agent that other agents can cancel it by.
    std::string originOf(RequestId request) const;
    void handleHandover(const std::string &body, const Streams::Reply &reply);
    // Time until the deadline that the headers name, or the default.
    std::chrono::milliseconds timeAllowedFor(const HeaderList &headers) const;
    Urgency urgencyOf(const CallerRequest &request) const;

    // Runs one transition of the gate and executes its effects.
    template<typename Step>
    void step(Step &&transition)
    {
        GateEffects effects;
        transition(TimePoint::clock::now(), effects);
        for (const auto &effect : effects) {
            std::visit([this](const auto &typedEffect) { this->execute(typedEffect); }, effect);
        }
    }

    void execute(const StartClaim &effect);
    void execute(const SettleClaim &effect);
    void execute(const SendAttempt &effect);
    void execute(const CancelAttempt &effect);
    void execute(const HandOver &effect);
    void execute(const CancelHandover &effect);
    void execute(const RelayAnswer &effect);
    void execute(const Finish &effect);
    // Handles the reply to a handover; `body` is null if the call failed with `error`.
    void handleHandoverReply(RequestId request, const std::string &peer, const std::string *body, Code error);
    // Begins an answer that is forwarded in parts as they come.
    void startStreaming(RequestId request, detail::ActiveRequest &active, AttemptId attempt);
    void replyToAgent(detail::ActiveRequest &active, const Finish &end);
    // Random peer that accepts requests and has refused none recently; null if there is none.
    const RequestPeer *choosePeer(TimePoint now);
    detail::ActiveRequest *find(RequestId request);
    void publishStatus();

    RequestsOptions options;
    std::function<void(Code outcome, Duration took)> finishedObserver; ///< See `onFinished`.
    asio::io_context context;
    Gate gate;
    std::minstd_rand random;
    asio::steady_timer timer;
    std::unique_ptr<Streams> streams;
    std::unique_ptr<ClaimLink> claims;
    std::unique_ptr<Upstream> upstream;
    std::unique_ptr<Front> front;
    std::unordered_map<RequestId, detail::ActiveRequest> activeRequests;
    std::map<std::string, RequestId> requestsByOrigin; ///< Requests of other agents, by `origin`.
    std::vector<RequestPeer> peers;
    std::map<std::string, TimePoint> refusedUntil; ///< Time until which a peer gets no handover, by name.
    RequestId lastHandoverId = detail::firstHandoverId;
    std::uint64_t handoversAccepted = 0;
    std::uint32_t tickCount = 0;
    std::function<void()> drainCallback; ///< Called once at the end of the drain.
    TimePoint drainStarted;
    TimePoint lastArrival; ///< Of a caller's request, or the stop of accepting.
    bool draining = false;
    bool stoppedAccepting = false; ///< Callers can open no new connections.
    std::thread thread;
    mutable std::mutex statusMutex;
    RequestsStatus status; ///< Guarded by `statusMutex`.
};

} // namespace oriolelever
