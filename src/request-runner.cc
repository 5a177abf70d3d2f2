#include <algorithm>
#include <atomic>
#include <charconv>
#include <mutex>
#include <random>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "oriolelever/log.h"
#include "oriolelever/requests.h"
#include "requests.pb.h"

namespace oriolelever {

namespace {

using std::chrono::milliseconds;

// Requests of other agents have ids of their own.
constexpr RequestId firstHandoverId = RequestId{1} << 62;
constexpr std::size_t maxHandoverAnswer = 768 * 1024;
constexpr std::size_t maxHandoverBody = 768 * 1024;
constexpr milliseconds refusalMemory{200};
constexpr milliseconds quietTime{100};
constexpr std::uint32_t maintenanceTicks = 100;

const Log &requestLog()
{
    static const Log instance("requests");
    return instance;
}

bool isIdempotent(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "PUT"
        || method == "DELETE";
}

bool isKnownMethod(const std::string &method)
{
    return isIdempotent(method) || method == "POST" || method == "PATCH";
}

// Headers that concern one connection only, or that the agent sets itself.
bool isForwarded(const std::string &name)
{
    static const std::vector<std::string> own{"Connection",
                                              "Keep-Alive",
                                              "Proxy-Connection",
                                              "TE",
                                              "Trailer",
                                              "Transfer-Encoding",
                                              "Upgrade",
                                              "Host",
                                              "Content-Length",
                                              "Expect",
                                              "Oriolelever-Request-Id",
                                              "Oriolelever-Deadline-Ms",
                                              "Oriolelever-Outcome",
                                              "Oriolelever-Code",
                                              "Oriolelever-Reason",
                                              "Oriolelever-Not-Run"};
    return std::none_of(own.begin(), own.end(), [&](const auto &header) {
        return findHeader({{name, {}}}, header) != nullptr;
    });
}

HeaderList forwarded(const HeaderList &headers)
{
    HeaderList kept;
    for (const auto &header : headers) {
        if (isForwarded(header.first)) {
            kept.push_back(header);
        }
    }
    return kept;
}

std::uint16_t statusOf(const Finish &end)
{
    if (end.reason == Reason::Invalid) {
        return 400;
    }
    if (end.outcome == Code::RefusedNotRun) {
        return end.reason == Reason::CallerLimit ? 429 : 503;
    }
    return end.reason == Reason::AnswerBroken ? 502 : 504;
}

HeaderList outcomeHeaders(Code outcome, Reason reason)
{
    return {{"Oriolelever-Outcome", std::string(toString(outcome))},
            {"Oriolelever-Code", fmt::format("{}", static_cast<int>(outcome))},
            {"Oriolelever-Reason", std::string(toString(reason))}};
}

CallerAnswer answerOf(const Finish &end)
{
    CallerAnswer answer;
    answer.status = statusOf(end);
    answer.headers = outcomeHeaders(end.outcome, end.reason);
    if (end.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(end.retryAfter).count();
        answer.headers.emplace_back("Retry-After", fmt::format("{}", seconds));
        answer.headers.emplace_back("Oriolelever-Retry-After-Ms", fmt::format("{}", end.retryAfter.count()));
    }
    answer.headers.emplace_back("Content-Type", "application/json");
    answer.body = nlohmann::json{{"outcome", toString(end.outcome)},
                                 {"code", static_cast<int>(end.outcome)},
                                 {"reason", toString(end.reason)},
                                 {"retryAfterMs", end.retryAfter.count()}}
                      .dump()
        + "\n";
    return answer;
}

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
    bool balanced = false; ///< Handed over to start earlier, not because it cannot run here.
    AnswerHead head;
    std::string body; ///< Whole answer, or its part so far for another agent.
    KeptAnswer kept;
    bool relayed = false;
    bool streaming = false;
    std::uint32_t attempts = 0;
};

} // namespace

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

    void handoverArrived(const std::string &body, const Streams::Reply &reply);
    milliseconds deadlineOf(const HeaderList &headers) const;
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
    void execute(const RelayAnswer &effect);
    void execute(const Finish &effect);
    void handoverReplied(RequestId request, const std::string &peer, const std::string *body, Code error);
    void relayToCaller(RequestId request, Carried &carried, AttemptId attempt);
    void replyToAgent(Carried &carried, const Finish &end);
    const RequestPeer *choosePeer(TimePoint now);
    Carried *find(RequestId request);
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
    std::unordered_map<RequestId, Carried> carried;
    std::vector<RequestPeer> peers;
    std::map<std::string, TimePoint> refusedUntil; ///< Peers that refused a handover.
    RequestId lastHandover = firstHandoverId;
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

Result<void> RequestRunner::State::open()
{
    auto handover = options.handover;
    handover.maxMessageBytes = std::max<std::size_t>(handover.maxMessageBytes, std::size_t{1} << 20);
    streams = std::make_unique<Streams>(context, handover);
    BOOST_LEAF_CHECK(streams->open());
    upstream = std::make_unique<Upstream>(context, options.upstream, *this);
    ClaimLinkOptions linkOptions;
    linkOptions.claims = options.claims;
    linkOptions.self = options.self;
    claims = std::make_unique<ClaimLink>(context, *streams, linkOptions);
    streams->handle("/handover", [this](const std::string &body, const Streams::Reply &reply) {
        handoverArrived(body, reply);
    });
    front = std::make_unique<Front>(context, options.front, *this);
    BOOST_LEAF_CHECK(front->open());
    return {};
}

void RequestRunner::State::run()
{
    beginRamp(gate.limiter, TimePoint::clock::now());
    tickLater();
    context.run();
}

void RequestRunner::State::tickLater()
{
    timer.expires_after(options.tickInterval);
    timer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        step([this](TimePoint now, Effects &effects) { tick(gate, now, effects); });
        if (ticks++ % maintenanceTicks == 0) {
            maintain();
        }
        checkDrained();
        publishStatus();
        tickLater();
    });
}

void RequestRunner::State::maintain()
{
    claims->tick();
}

// First connections are told to close by their next answer, then no new ones are taken, then the last ones
// end.
void RequestRunner::State::checkDrained()
{
    const auto now = TimePoint::clock::now();
    if (!draining || now - drainStarted < options.linger) {
        return;
    }
    if (!closing) {
        closing = true;
        lastArrival = now;
        // Takes what waits in the listener's backlog; it would be reset.
        context.poll();
        front->stopAccepting();
    }
    const bool quiet = front->connections() == 0 || now - lastArrival >= quietTime;
    if (drained && quiet && gate.requests.empty() && carried.empty()) {
        streams->drain(std::exchange(drained, nullptr));
    }
}

milliseconds RequestRunner::State::deadlineOf(const HeaderList &headers) const
{
    const auto *const text = findHeader(headers, deadlineHeader);
    std::int64_t value = 0;
    if (text == nullptr) {
        return options.deadline;
    }
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc{} || end != text->data() + text->size()) {
        return options.deadline;
    }
    return std::clamp(milliseconds(value), milliseconds(0), options.maxDeadline);
}

Urgency RequestRunner::State::urgencyOf(const CallerRequest &request) const
{
    const auto *const asked = findHeader(request.headers, "Oriolelever-Class");
    if (asked != nullptr && *asked == "ordinary") {
        return Urgency::Ordinary;
    }
    for (const auto &prefix : options.urgentPaths) {
        if (request.target.starts_with(prefix)) {
            return Urgency::Urgent;
        }
    }
    return Urgency::Ordinary;
}

void RequestRunner::State::requestArrived(CallerRequest request)
{
    if (isAmbiguous(request) || !isKnownMethod(request.method)) {
        auto refusal = answerOf({request.id, Code::RefusedNotRun, Reason::Invalid, {}, false});
        refusal.close = true;
        front->answer(request.id, refusal);
        return;
    }
    const auto now = TimePoint::clock::now();
    lastArrival = now;
    auto &added = carried[request.id];
    added.arrived = now;
    const auto *const key = findHeader(request.headers, "Idempotency-Key");
    added.key = key == nullptr ? std::string() : *key;
    added.urgency = urgencyOf(request);
    added.caller = hashName(toString(request.caller));
    auto &outbound = added.outbound;
    outbound.id = request.id;
    outbound.method = request.method;
    outbound.target = request.target;
    outbound.headers = forwarded(request.headers);
    outbound.body = std::make_shared<const std::string>(std::move(request.body));
    outbound.idempotent = isIdempotent(request.method);
    outbound.deadline = now + deadlineOf(request.headers);
    const RequestFacts facts{.id = request.id,
                             .caller = added.caller,
                             .urgency = added.urgency,
                             .idempotent = outbound.idempotent,
                             .keyed = !added.key.empty(),
                             .arrived = now,
                             .deadline = outbound.deadline};
    step([&](TimePoint, Effects &effects) { arrive(gate, facts, now, effects); });
}

void RequestRunner::State::handoverArrived(const std::string &body, const Streams::Reply &reply)
{
    proto::HandoverRequest in;
    if (!in.ParseFromString(body) || !isKnownMethod(in.method())) {
        reply(Error{Code::MessageMalformed, "handover cannot be decoded"});
        return;
    }
    ++handoversTaken;
    const auto now = TimePoint::clock::now();
    const auto id = ++lastHandover;
    auto &added = carried[id];
    added.reply = reply;
    added.handedOver = true;
    added.urgency = in.ordinary() ? Urgency::Ordinary : Urgency::Urgent;
    added.caller = in.caller();
    auto &outbound = added.outbound;
    outbound.id = id;
    outbound.method = in.method();
    outbound.target = in.target();
    for (const auto &field : in.headers()) {
        outbound.headers.emplace_back(field.name(), field.value());
    }
    outbound.body = std::make_shared<const std::string>(in.body());
    outbound.idempotent = in.idempotent();
    outbound.deadline = now + milliseconds(in.left_ms());
    const RequestFacts facts{.id = id,
                             .caller = added.caller,
                             .urgency = added.urgency,
                             .idempotent = outbound.idempotent,
                             .handedOver = true,
                             .maxWait = std::chrono::microseconds(in.max_wait_us()),
                             .arrived = now,
                             .deadline = outbound.deadline};
    step([&](TimePoint, Effects &effects) { arrive(gate, facts, now, effects); });
}

void RequestRunner::State::callerGone(RequestId request)
{
    step([&](TimePoint now, Effects &effects) { oriolelever::callerGone(gate, request, now, effects); });
}

void RequestRunner::State::byteLeft(RequestId request, AttemptId attempt)
{
    oriolelever::byteLeft(gate, request, attempt);
}

void RequestRunner::State::answerBegan(RequestId request, AttemptId attempt)
{
    step([&](TimePoint, Effects &effects) { oriolelever::answerBegan(gate, request, attempt, effects); });
}

void RequestRunner::State::answerPart(RequestId request, AttemptId attempt, std::string part)
{
    auto *const known = find(request);
    if (known == nullptr) {
        return;
    }
    if (!known->handedOver) {
        front->answerPart(request, std::move(part), [this, attempt] { upstream->resume(attempt); });
        return;
    }
    known->body += part;
    if (known->body.size() > maxHandoverAnswer) {
        upstream->cancel(attempt);
        attemptFailed(request, attempt, AttemptFailure::Broken);
        return;
    }
    upstream->resume(attempt);
}

void RequestRunner::State::answerEnded(RequestId request, AttemptId attempt)
{
    step([&](TimePoint now, Effects &effects) {
        oriolelever::answerEnded(gate, request, attempt, now, effects);
    });
}

void RequestRunner::State::attemptFailed(RequestId request, AttemptId attempt, AttemptFailure failure)
{
    step([&](TimePoint now, Effects &effects) {
        oriolelever::attemptFailed(gate, request, attempt, failure, now, effects);
    });
}

Carried *RequestRunner::State::find(RequestId request)
{
    const auto known = carried.find(request);
    return known == carried.end() ? nullptr : &known->second;
}

void RequestRunner::State::execute(const StartClaim &effect)
{
    auto *const known = find(effect.request);
    if (known == nullptr) {
        return;
    }
    const auto request = effect.request;
    claims->start(known->key, request, known->outbound.deadline,
                  [this, request](const ClaimOutcome &outcome) {
                      auto *const waiting = find(request);
                      if (waiting != nullptr && outcome.verdict == ClaimVerdict::Answered) {
                          waiting->head.status = outcome.answer.status;
                          waiting->head.headers = {{"Content-Type", outcome.answer.contentType}};
                          waiting->body = outcome.answer.body;
                      }
                      step([&](TimePoint now, Effects &effects) {
                          claimEnded(gate, request, outcome.verdict, outcome.retryAfter, now, effects);
                      });
                  });
}

void RequestRunner::State::execute(const SettleClaim &effect)
{
    const auto *const known = find(effect.request);
    claims->settle(effect.request, effect.end, known == nullptr ? KeptAnswer{} : known->kept);
}

void RequestRunner::State::execute(const SendAttempt &effect)
{
    auto *const known = find(effect.request);
    if (known == nullptr) {
        return;
    }
    auto outbound = known->outbound;
    outbound.attempt = effect.attempt;
    outbound.fresh = known->attempts++ > 0;
    outbound.tag = fmt::format("{}-{}-{}", options.self.name, options.self.incarnation, effect.attempt);
    upstream->send(outbound);
}

void RequestRunner::State::execute(const CancelAttempt &effect)
{
    upstream->cancel(effect.attempt);
}

const RequestPeer *RequestRunner::State::choosePeer(TimePoint now)
{
    std::vector<const RequestPeer *> able;
    for (const auto &peer : peers) {
        const auto refused = refusedUntil.find(peer.holder.name);
        if (!peer.takesRequests || (refused != refusedUntil.end() && now < refused->second)) {
            continue;
        }
        able.push_back(&peer);
    }
    return able.empty() ? nullptr : able[random() % able.size()];
}

void RequestRunner::State::execute(const HandOver &effect)
{
    const auto request = effect.request;
    auto *const known = find(request);
    const auto now = TimePoint::clock::now();
    const auto *const peer = choosePeer(now);
    const bool possible
        = known != nullptr && peer != nullptr && known->outbound.body->size() <= maxHandoverBody;
    if (!possible) {
        asio::post(context,
                   [this, request] { handoverReplied(request, {}, nullptr, Code::PeerUnreachable); });
        return;
    }
    known->balanced = effect.maxWait.count() > 0;
    const auto left = std::chrono::floor<milliseconds>(known->outbound.deadline - now);
    proto::HandoverRequest out;
    out.set_method(known->outbound.method);
    out.set_target(known->outbound.target);
    for (const auto &[name, value] : known->outbound.headers) {
        auto &field = *out.add_headers();
        field.set_name(name);
        field.set_value(value);
    }
    out.set_body(*known->outbound.body);
    out.set_idempotent(known->outbound.idempotent);
    out.set_ordinary(known->urgency == Urgency::Ordinary);
    out.set_caller(known->caller);
    out.set_left_ms(left.count());
    out.set_max_wait_us(std::chrono::floor<std::chrono::microseconds>(effect.maxWait).count());
    streams->call(peer->handover, "/handover", out.SerializeAsString(), left,
                  [this, request, name = peer->holder.name](Result<std::string> answer) {
                      handleError(
                          [&]() -> Result<void> {
                              BOOST_LEAF_AUTO(body, std::move(answer));
                              handoverReplied(request, name, &body, Code::Ok);
                              return {};
                          },
                          [&](const Error &error) { handoverReplied(request, name, nullptr, error.code); });
                  });
}

void RequestRunner::State::handoverReplied(RequestId request, const std::string &peer,
                                           const std::string *body, Code error)
{
    auto *const known = find(request);
    proto::HandoverReply in;
    if (known == nullptr) {
        return;
    }
    auto end = HandoverEnd::Unknown;
    milliseconds retryAfter{0};
    const bool notSent = error == Code::PeerUnreachable || error == Code::PeerRefused;
    if (body == nullptr) {
        end = notSent ? HandoverEnd::NotSent : HandoverEnd::Unknown;
    } else if (in.ParseFromString(*body)) {
        const auto outcome = static_cast<Code>(in.outcome());
        retryAfter = milliseconds(in.retry_after_ms());
        end = outcome == Code::RefusedNotRun ? HandoverEnd::RefusedNotRun : end;
        end = outcome == Code::Answered ? HandoverEnd::Answered : end;
    }
    if (end == HandoverEnd::NotSent || (end == HandoverEnd::RefusedNotRun && !known->balanced)) {
        refusedUntil[peer] = TimePoint::clock::now() + std::max(retryAfter, refusalMemory);
    }
    if (end == HandoverEnd::Answered) {
        known->head.status = static_cast<std::uint16_t>(in.status());
        for (const auto &field : in.headers()) {
            known->head.headers.emplace_back(field.name(), field.value());
        }
        known->body = in.body();
    }
    step([&](TimePoint now, Effects &effects) {
        handoverEnded(gate, request, end, retryAfter, now, effects);
    });
}

void RequestRunner::State::execute(const RelayAnswer &effect)
{
    auto *const known = find(effect.request);
    if (known == nullptr) {
        return;
    }
    known->relayed = true;
    if (effect.attempt != 0) {
        known->head = upstream->head(effect.attempt);
        known->body = upstream->held(effect.attempt);
    }
    const auto *const type = findHeader(known->head.headers, "Content-Type");
    known->kept = {known->head.status, type == nullptr ? std::string() : *type, known->body};
    const auto state = gate.requests.find(effect.request);
    // The gate ends a held answer at once; a larger one goes on.
    const bool ends = effect.attempt == 0 || upstream->isWhole(effect.attempt);
    if (ends || state == gate.requests.end() || known->handedOver) {
        if (!ends) {
            known->kept = {};
            upstream->resume(effect.attempt);
        }
        return;
    }
    known->kept = {};
    relayToCaller(effect.request, *known, effect.attempt);
}

void RequestRunner::State::relayToCaller(RequestId request, Carried &known, AttemptId attempt)
{
    known.streaming = true;
    CallerAnswer head;
    head.status = known.head.status;
    head.headers = forwarded(known.head.headers);
    const auto *const length = findHeader(known.head.headers, "Content-Length");
    if (length != nullptr) {
        head.headers.emplace_back("Content-Length", *length);
    }
    const auto outcome = outcomeHeaders(Code::Answered, Reason::None);
    head.headers.insert(head.headers.end(), outcome.begin(), outcome.end());
    front->beginAnswer(request, head);
    front->answerPart(request, std::exchange(known.body, {}), [this, attempt] { upstream->resume(attempt); });
}

void RequestRunner::State::replyToAgent(Carried &known, const Finish &end)
{
    proto::HandoverReply out;
    out.set_outcome(static_cast<std::uint32_t>(end.outcome));
    out.set_reason(static_cast<std::uint32_t>(end.reason));
    out.set_retry_after_ms(end.retryAfter.count());
    if (end.outcome == Code::Answered) {
        out.set_status(known.head.status);
        for (const auto &[name, value] : known.head.headers) {
            auto &field = *out.add_headers();
            field.set_name(name);
            field.set_value(value);
        }
        out.set_body(known.body);
    }
    known.reply(out.SerializeAsString());
}

void RequestRunner::State::execute(const Finish &effect)
{
    auto *const known = find(effect.request);
    if (known == nullptr) {
        return;
    }
    if (finished && !known->handedOver) {
        finished(effect.outcome, TimePoint::clock::now() - known->arrived);
    }
    if (known->handedOver) {
        replyToAgent(*known, effect);
    } else if (known->streaming && effect.outcome == Code::Answered) {
        front->endAnswer(effect.request);
    } else if (known->streaming) {
        front->breakAnswer(effect.request);
    } else if (effect.outcome == Code::Answered) {
        CallerAnswer answer;
        answer.status = known->head.status;
        answer.headers = forwarded(known->head.headers);
        const auto outcome = outcomeHeaders(effect.outcome, effect.reason);
        answer.headers.insert(answer.headers.end(), outcome.begin(), outcome.end());
        answer.body = known->body;
        answer.close = draining;
        front->answer(effect.request, answer);
    } else if (effect.outcome != Code::Cancelled) {
        auto answer = answerOf(effect);
        answer.close = draining;
        front->answer(effect.request, answer);
    }
    carried.erase(effect.request);
}

void RequestRunner::State::publishStatus()
{
    const std::lock_guard lock(statusMutex);
    status.gate = gate.counters;
    status.upstream = upstream->counters();
    status.running = gate.limiter.running;
    status.limit = gate.limiter.limit;
    status.waiting = size(gate.queue);
    status.connections = front->connections();
    status.claims = claims->table().entries.size();
    status.handoversTaken = handoversTaken;
}

RequestRunner::RequestRunner(RequestsOptions options)
    : m_state(std::make_shared<State>(std::move(options)))
{
}

RequestRunner::~RequestRunner()
{
    stop();
}

void RequestRunner::onFinished(std::function<void(Code outcome, Duration took)> observer)
{
    m_state->finished = std::move(observer);
}

Result<void> RequestRunner::start()
{
    BOOST_LEAF_CHECK(m_state->open());
    requestLog().info("serves {}", toString(listenEndpoint()));
    m_state->thread = std::thread([state = m_state.get()] { state->run(); });
    return {};
}

void RequestRunner::setPeers(std::vector<RequestPeer> peers)
{
    asio::post(m_state->context, [state = m_state, peers = std::move(peers)]() mutable {
        std::vector<ClaimPeer> holders;
        state->gate.peersAvailable = false;
        for (const auto &peer : peers) {
            holders.push_back({peer.holder, peer.handover});
            state->gate.peersAvailable = state->gate.peersAvailable || peer.takesRequests;
        }
        state->peers = std::move(peers);
        state->claims->setPeers(holders);
        state->claims->tick();
    });
}

void RequestRunner::setLimits(std::uint32_t slots, milliseconds deadline, milliseconds rampTime)
{
    asio::post(m_state->context, [state = m_state, slots, deadline, rampTime] {
        state->gate.limiter.options.slots = std::max<std::uint32_t>(slots, 1);
        state->gate.limiter.limit = std::min<double>(state->gate.limiter.limit, slots);
        state->gate.limiter.options.rampTime = rampTime;
        state->options.deadline = std::min(deadline, state->options.maxDeadline);
    });
}

void RequestRunner::drain(std::function<void()> done)
{
    asio::post(m_state->context, [state = m_state, done = std::move(done)] {
        state->drained = done;
        if (!state->draining) {
            requestLog().info("draining");
            state->draining = true;
            state->drainStarted = TimePoint::clock::now();
            beginDrain(state->gate);
        }
    });
}

void RequestRunner::stop()
{
    if (!m_state->thread.joinable()) {
        return;
    }
    asio::post(m_state->context, [state = m_state] {
        state->timer.cancel();
        state->front->close();
        state->streams->stop();
        state->context.stop();
    });
    m_state->thread.join();
    m_state->upstream.reset();
    m_state->claims.reset();
    m_state->front.reset();
    m_state->streams.reset();
}

Endpoint RequestRunner::listenEndpoint() const
{
    return m_state->front->listenEndpoint();
}

Endpoint RequestRunner::handoverEndpoint() const
{
    return m_state->streams->listenEndpoint();
}

RequestsStatus RequestRunner::status() const
{
    const std::lock_guard lock(m_state->statusMutex);
    return m_state->status;
}

} // namespace oriolelever
