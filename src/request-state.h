// State of the request thread; shared by the sources of `RequestRunner`.
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

// Requests of other agents have ids of their own.
constexpr RequestId firstHandoverId = RequestId{1} << 62;
constexpr std::size_t maxHandoverAnswer = 768 * 1024;

bool isIdempotent(const std::string &method);
bool isKnownMethod(const std::string &method);
// The headers that are passed on.
HeaderList forwarded(const HeaderList &headers);
HeaderList outcomeHeaders(Code outcome, Reason reason);
// What the caller is told of a request that got no answer.
CallerAnswer answerOf(const Finish &end);

// A request that the gate knows.
struct Carried
{
    ServerRequest outbound;
    std::string key;
    Urgency urgency = Urgency::Urgent;
    std::uint64_t caller = 0;
    TimePoint arrived{};
    Streams::Reply reply{nullptr}; ///< Of a request of another agent.
    bool handedOver = false;
    std::string origin; ///< Name of a handed over request at the agent it came from.
    Endpoint peer; ///< Where it was handed over to.
    bool balanced = false; ///< Handed over to start earlier, not because it cannot run here.
    AnswerHead head;
    std::string body; ///< Whole answer, or its part so far for another agent.
    KeptAnswer kept;
    bool relayed = false;
    bool streaming = false;
    std::uint32_t attempts = 0;
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
    void tickLater();
    void maintain();
    void checkDrained();

    void requestArrived(CallerRequest request) override;
    void callerGone(RequestId request) override;
    void byteLeft(RequestId request, AttemptId attempt) override;
    void answerBegan(RequestId request, AttemptId attempt) override;
    void answerPart(RequestId request, AttemptId attempt, std::string part) override;
    void answerEnded(RequestId request, AttemptId attempt) override;
    void attemptFailed(RequestId request, AttemptId attempt, AttemptFailure failure) override;

    void cancelArrived(const std::string &body, const Streams::Reply &reply);
    std::string originOf(RequestId request) const;
    void handoverArrived(const std::string &body, const Streams::Reply &reply);
    std::chrono::milliseconds deadlineOf(const HeaderList &headers) const;
    Urgency urgencyOf(const CallerRequest &request) const;

    template<typename Step>
    void step(Step &&decide)
    {
        Effects effects;
        decide(TimePoint::clock::now(), effects);
        for (const auto &effect : effects) {
            std::visit([this](const auto &known) { this->execute(known); }, effect);
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
    void handoverReplied(RequestId request, const std::string &peer, const std::string *body, Code error);
    void relayToCaller(RequestId request, detail::Carried &carried, AttemptId attempt);
    void replyToAgent(detail::Carried &carried, const Finish &end);
    const RequestPeer *choosePeer(TimePoint now);
    detail::Carried *find(RequestId request);
    void publishStatus();

    RequestsOptions options;
    std::function<void(Code outcome, Duration took)> finished;
    asio::io_context context;
    Gate gate;
    std::minstd_rand random;
    asio::steady_timer timer;
    std::unique_ptr<Streams> streams;
    std::unique_ptr<ClaimLink> claims;
    std::unique_ptr<Upstream> upstream;
    std::unique_ptr<Front> front;
    std::unordered_map<RequestId, detail::Carried> carried;
    std::map<std::string, RequestId> byOrigin; ///< Requests of other agents.
    std::vector<RequestPeer> peers;
    std::map<std::string, TimePoint> refusedUntil; ///< Peers that refused a handover.
    RequestId lastHandover = detail::firstHandoverId;
    std::uint64_t handoversTaken = 0;
    std::uint32_t ticks = 0;
    std::function<void()> drained;
    TimePoint drainStarted;
    TimePoint lastArrival;
    bool draining = false;
    bool closing = false; ///< Takes no new connections.
    std::thread thread;
    mutable std::mutex statusMutex;
    RequestsStatus status;
};

} // namespace oriolelever
