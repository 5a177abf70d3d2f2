#include "request-state.h"

#include <algorithm>
#include <charconv>

#include <asio/post.hpp>

#include "oriolelever/log.h"

namespace oriolelever {

using namespace detail;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds quietPeriod{100}; // Without a new request, after which a drain may end.
constexpr std::uint32_t maintenanceTicks = 100; // Ticks between two calls of `maintain`.

const Log &requestLog()
{
    static const Log instance("requests");
    return instance;
}

} // namespace

Result<void> RequestRunner::State::open()
{
    auto handover = options.handover;
    // A message must hold a body of `maxHandoverAnswerBytes` and the headers.
    handover.maxMessageBytes = std::max<std::size_t>(handover.maxMessageBytes, std::size_t{1} << 20);
    streams = std::make_unique<Streams>(context, handover);
    BOOST_LEAF_CHECK(streams->open());
    upstream = std::make_unique<Upstream>(context, options.upstream, *this);
    ClaimLinkOptions linkOptions;
    linkOptions.claims = options.claims;
    linkOptions.self = options.self;
    claims = std::make_unique<ClaimLink>(context, *streams, linkOptions);
    streams->handle("/handover", [this](const std::string &body, const Streams::Reply &reply) {
        handleHandover(body, reply);
    });
    streams->handle("/cancel", [this](const std::string &body, const Streams::Reply &reply) {
        handleCancel(body, reply);
    });
    front = std::make_unique<Front>(context, options.front, *this);
    BOOST_LEAF_CHECK(front->open());
    return {};
}

void RequestRunner::State::run()
{
    beginRamp(gate.limiter, TimePoint::clock::now());
    scheduleTick();
    context.run();
}

void RequestRunner::State::scheduleTick()
{
    timer.expires_after(options.tickInterval);
    timer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        step([this](TimePoint now, GateEffects &effects) { tick(gate, now, effects); });
        if (tickCount++ % maintenanceTicks == 0) {
            maintain();
        }
        advanceDrain();
        publishStatus();
        scheduleTick();
    });
}

void RequestRunner::State::maintain()
{
    claims->tick();
}

// The end of a drain in three steps: answers ask callers to close their connections, then no new connections
// are accepted, then the remaining requests end.
void RequestRunner::State::advanceDrain()
{
    const auto now = TimePoint::clock::now();
    if (!draining || now - drainStarted < options.linger) {
        return;
    }
    if (!stoppedAccepting) {
        stoppedAccepting = true;
        lastArrival = now;
        front->stopAccepting();
    }
    if (front->isAccepting()) {
        return;
    }
    const bool quiet = front->connections() == 0 || now - lastArrival >= quietPeriod;
    if (drainCallback && quiet && gate.requests.empty() && activeRequests.empty()) {
        streams->drain(std::exchange(drainCallback, nullptr));
    }
}

// The time that the caller allows by the deadline header, in milliseconds. A malformed header is ignored.
milliseconds RequestRunner::State::timeAllowedFor(const HeaderList &headers) const
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
    const auto *const requestedClass = findHeader(request.headers, "Oriolelever-Class");
    if (requestedClass != nullptr && *requestedClass == "ordinary") {
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
        // Without a time after which to retry, and without an answer relayed before.
        auto refusal = answerFor({request.id, Code::RefusedNotRun, Reason::Invalid, {}, false});
        refusal.close = true;
        front->answer(request.id, refusal);
        return;
    }
    const auto now = TimePoint::clock::now();
    lastArrival = now;
    auto &added = activeRequests[request.id];
    added.arrived = now;
    const auto *const key = findHeader(request.headers, "Idempotency-Key");
    added.key = key == nullptr ? std::string() : *key;
    added.urgency = urgencyOf(request);
    added.caller = hashName(toString(request.caller));
    auto &outbound = added.outbound;
    outbound.id = request.id;
    outbound.method = request.method;
    outbound.target = request.target;
    outbound.headers = forwardedHeaders(request.headers);
    outbound.body = std::make_shared<const std::string>(std::move(request.body));
    outbound.idempotent = isIdempotent(request.method);
    outbound.deadline = now + timeAllowedFor(request.headers);
    const RequestFacts facts{.id = request.id,
                             .caller = added.caller,
                             .urgency = added.urgency,
                             .idempotent = outbound.idempotent,
                             .hasIdempotencyKey = !added.key.empty(),
                             .arrived = now,
                             .deadline = outbound.deadline};
    step([&](TimePoint, GateEffects &effects) { handleRequest(gate, facts, now, effects); });
}

void RequestRunner::State::callerGone(RequestId request)
{
    step([&](TimePoint now, GateEffects &effects) {
        oriolelever::handleCallerGone(gate, request, now, effects);
    });
}

void RequestRunner::State::byteLeft(RequestId request, AttemptId attempt)
{
    oriolelever::recordSendStart(gate, request, attempt);
}

void RequestRunner::State::answerBegan(RequestId request, AttemptId attempt)
{
    step([&](TimePoint, GateEffects &effects) {
        oriolelever::handleAnswerStart(gate, request, attempt, effects);
    });
}

void RequestRunner::State::answerPart(RequestId request, AttemptId attempt, std::string part)
{
    auto *const active = find(request);
    if (active == nullptr) {
        return;
    }
    if (!active->fromPeer) {
        front->answerPart(request, std::move(part), [this, attempt] { upstream->resume(attempt); });
        return;
    }
    // An agent that handed the request over gets the whole answer in one message.
    active->body += part;
    if (active->body.size() > maxHandoverAnswerBytes) {
        upstream->cancel(attempt);
        attemptFailed(request, attempt, AttemptFailure::Broken);
        return;
    }
    upstream->resume(attempt);
}

void RequestRunner::State::answerEnded(RequestId request, AttemptId attempt)
{
    step([&](TimePoint now, GateEffects &effects) {
        oriolelever::handleAnswerEnd(gate, request, attempt, now, effects);
    });
}

void RequestRunner::State::attemptFailed(RequestId request, AttemptId attempt, AttemptFailure failure)
{
    step([&](TimePoint now, GateEffects &effects) {
        oriolelever::handleAttemptFailure(gate, request, attempt, failure, now, effects);
    });
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
    status.handoversAccepted = handoversAccepted;
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
    m_state->finishedObserver = std::move(observer);
}

Result<void> RequestRunner::start()
{
    BOOST_LEAF_CHECK(m_state->open());
    requestLog().info("listening on {}", toString(listenEndpoint()));
    m_state->thread = std::thread([state = m_state.get()] { state->run(); });
    return {};
}

void RequestRunner::setPeers(std::vector<RequestPeer> peers)
{
    asio::post(m_state->context, [state = m_state, peers = std::move(peers)]() mutable {
        std::vector<ClaimPeer> holders;
        state->gate.peersAvailable = false;
        for (const auto &peer : peers) {
            holders.push_back({peer.agent, peer.handover});
            state->gate.peersAvailable = state->gate.peersAvailable || peer.acceptsRequests;
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
        state->drainCallback = done;
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
