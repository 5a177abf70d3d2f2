#include "request-state.h"

#include <algorithm>

#include <asio/post.hpp>
#include <fmt/format.h>

#include "requests.pb.h"

namespace oriolelever {

using namespace detail;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t maxHandoverBodyBytes = 768 * 1024; // Leaves room for headers in a message of 1 MiB.
constexpr milliseconds minPeerRefusalTime{200}; // Shortest time without handovers to a peer that refused one.

} // namespace

void RequestRunner::State::handleHandover(const std::string &body, const Streams::Reply &reply)
{
    proto::HandoverRequest in;
    if (!in.ParseFromString(body) || !isKnownMethod(in.method())) {
        reply(Error{Code::MessageMalformed,
                    "handover request cannot be decoded, or its method is not supported"});
        return;
    }
    ++handoversAccepted;
    const auto now = TimePoint::clock::now();
    const auto id = ++lastHandoverId;
    auto &added = activeRequests[id];
    added.reply = reply;
    added.fromPeer = true;
    added.urgency = in.ordinary() ? Urgency::Ordinary : Urgency::Urgent;
    added.caller = in.caller();
    added.origin = in.origin();
    requestsByOrigin[added.origin] = id;
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
                             .fromPeer = true,
                             .maxWait = std::chrono::microseconds(in.max_wait_us()),
                             .arrived = now,
                             .deadline = outbound.deadline};
    step([&](TimePoint, GateEffects &effects) { handleRequest(gate, facts, now, effects); });
}

ActiveRequest *RequestRunner::State::find(RequestId request)
{
    const auto entry = activeRequests.find(request);
    return entry == activeRequests.end() ? nullptr : &entry->second;
}

void RequestRunner::State::execute(const StartClaim &effect)
{
    auto *const active = find(effect.request);
    if (active == nullptr) {
        return;
    }
    const auto request = effect.request;
    claims->startClaim(
        active->key, request, active->outbound.deadline, [this, request](const ClaimOutcome &outcome) {
            auto *const waiting = find(request);
            if (waiting != nullptr && outcome.verdict == ClaimVerdict::Answered) {
                waiting->head.status = outcome.answer.status;
                waiting->head.headers = {{"Content-Type", outcome.answer.contentType}};
                waiting->body = outcome.answer.body;
            }
            step([&](TimePoint now, GateEffects &effects) {
                handleClaimEnd(gate, request, outcome.verdict, outcome.retryAfter, now, effects);
            });
        });
}

void RequestRunner::State::execute(const SettleClaim &effect)
{
    const auto *const active = find(effect.request);
    claims->settle(effect.request, effect.end, active == nullptr ? KeptAnswer{} : active->answerToKeep);
}

void RequestRunner::State::execute(const SendAttempt &effect)
{
    auto *const active = find(effect.request);
    if (active == nullptr) {
        return;
    }
    auto outbound = active->outbound;
    outbound.attempt = effect.attempt;
    outbound.needsNewConnection = active->attemptCount++ > 0;
    outbound.tag = fmt::format("{}-{}-{}", options.self.name, options.self.incarnation, effect.attempt);
    upstream->send(outbound);
}

void RequestRunner::State::execute(const CancelAttempt &effect)
{
    upstream->cancel(effect.attempt);
}

const RequestPeer *RequestRunner::State::choosePeer(TimePoint now)
{
    std::vector<const RequestPeer *> candidates;
    for (const auto &peer : peers) {
        const auto refused = refusedUntil.find(peer.agent.name);
        if (!peer.acceptsRequests || (refused != refusedUntil.end() && now < refused->second)) {
            continue;
        }
        candidates.push_back(&peer);
    }
    return candidates.empty() ? nullptr : candidates[random() % candidates.size()];
}

void RequestRunner::State::execute(const HandOver &effect)
{
    const auto request = effect.request;
    auto *const active = find(request);
    const auto now = TimePoint::clock::now();
    const auto *const peer = choosePeer(now);
    const bool possible
        = active != nullptr && peer != nullptr && active->outbound.body->size() <= maxHandoverBodyBytes;
    if (!possible) {
        asio::post(context,
                   [this, request] { handleHandoverReply(request, {}, nullptr, Code::PeerUnreachable); });
        return;
    }
    active->isBalancingHandover = effect.maxWait.count() > 0;
    active->peerEndpoint = peer->handover;
    const auto left = std::chrono::floor<milliseconds>(active->outbound.deadline - now);
    proto::HandoverRequest out;
    out.set_method(active->outbound.method);
    out.set_target(active->outbound.target);
    for (const auto &[name, value] : active->outbound.headers) {
        auto &field = *out.add_headers();
        field.set_name(name);
        field.set_value(value);
    }
    out.set_body(*active->outbound.body);
    out.set_idempotent(active->outbound.idempotent);
    out.set_ordinary(active->urgency == Urgency::Ordinary);
    out.set_caller(active->caller);
    out.set_origin(originOf(request));
    out.set_left_ms(left.count());
    out.set_max_wait_us(std::chrono::floor<std::chrono::microseconds>(effect.maxWait).count());
    streams->call(
        peer->handover, "/handover", out.SerializeAsString(), left,
        [this, request, name = peer->agent.name](Result<std::string> answer) {
            handleError(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(body, std::move(answer));
                    handleHandoverReply(request, name, &body, Code::Ok);
                    return {};
                },
                [&](const Error &error) { handleHandoverReply(request, name, nullptr, error.code); });
        });
}

void RequestRunner::State::handleHandoverReply(RequestId request, const std::string &peer,
                                               const std::string *body, Code error)
{
    auto *const active = find(request);
    proto::HandoverReply in;
    if (active == nullptr) {
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
    if (end == HandoverEnd::NotSent || (end == HandoverEnd::RefusedNotRun && !active->isBalancingHandover)) {
        refusedUntil[peer] = TimePoint::clock::now() + std::max(retryAfter, minPeerRefusalTime);
    }
    if (end == HandoverEnd::Answered) {
        active->head.status = static_cast<std::uint16_t>(in.status());
        for (const auto &field : in.headers()) {
            active->head.headers.emplace_back(field.name(), field.value());
        }
        active->body = in.body();
    }
    step([&](TimePoint now, GateEffects &effects) {
        handleHandoverEnd(gate, request, end, retryAfter, now, effects);
    });
}

void RequestRunner::State::execute(const CancelHandover &effect)
{
    constexpr milliseconds cancelTimeout{250}; // The reply is not used.
    const auto *const active = find(effect.request);
    if (active == nullptr || active->peerEndpoint.port == 0) {
        return;
    }
    proto::CancelRequest out;
    out.set_origin(originOf(effect.request));
    streams->call(active->peerEndpoint, "/cancel", out.SerializeAsString(), cancelTimeout,
                  [](const Result<std::string> &) {});
}

void RequestRunner::State::handleCancel(const std::string &body, const Streams::Reply &reply)
{
    proto::CancelRequest in;
    if (!in.ParseFromString(body)) {
        reply(Error{Code::MessageMalformed, "cancel request cannot be decoded"});
        return;
    }
    const auto entry = requestsByOrigin.find(in.origin());
    if (entry != requestsByOrigin.end()) {
        callerGone(entry->second);
    }
    reply(std::string());
}

std::string RequestRunner::State::originOf(RequestId request) const
{
    return fmt::format("{}-{}-{}", options.self.name, options.self.incarnation, request);
}

void RequestRunner::State::execute(const RelayAnswer &effect)
{
    auto *const active = find(effect.request);
    if (active == nullptr) {
        return;
    }
    active->relayed = true;
    if (effect.attempt != 0) {
        active->head = upstream->head(effect.attempt);
        active->body = upstream->bufferedBody(effect.attempt);
    }
    const auto *const type = findHeader(active->head.headers, "Content-Type");
    active->answerToKeep = {active->head.status, type == nullptr ? std::string() : *type, active->body};
    const auto state = gate.requests.find(effect.request);
    // The gate ends the request at once if the answer is held whole; a larger one is forwarded in parts.
    const bool ends = effect.attempt == 0 || upstream->isComplete(effect.attempt);
    if (ends || state == gate.requests.end() || active->fromPeer) {
        if (!ends) {
            active->answerToKeep = {};
            upstream->resume(effect.attempt);
        }
        return;
    }
    active->answerToKeep = {};
    startStreaming(effect.request, *active, effect.attempt);
}

void RequestRunner::State::startStreaming(RequestId request, ActiveRequest &active, AttemptId attempt)
{
    active.streaming = true;
    CallerAnswer head;
    head.status = active.head.status;
    head.headers = forwardedHeaders(active.head.headers);
    const auto *const length = findHeader(active.head.headers, "Content-Length");
    if (length != nullptr) {
        head.headers.emplace_back("Content-Length", *length);
    }
    const auto outcome = outcomeHeaders(Code::Answered, Reason::None);
    head.headers.insert(head.headers.end(), outcome.begin(), outcome.end());
    front->beginAnswer(request, head);
    front->answerPart(request, std::exchange(active.body, {}),
                      [this, attempt] { upstream->resume(attempt); });
}

void RequestRunner::State::replyToAgent(ActiveRequest &active, const Finish &end)
{
    proto::HandoverReply out;
    out.set_outcome(static_cast<std::uint32_t>(end.outcome));
    out.set_reason(static_cast<std::uint32_t>(end.reason));
    out.set_retry_after_ms(end.retryAfter.count());
    if (end.outcome == Code::Answered) {
        out.set_status(active.head.status);
        for (const auto &[name, value] : active.head.headers) {
            auto &field = *out.add_headers();
            field.set_name(name);
            field.set_value(value);
        }
        out.set_body(active.body);
    }
    active.reply(out.SerializeAsString());
}

void RequestRunner::State::execute(const Finish &effect)
{
    auto *const active = find(effect.request);
    if (active == nullptr) {
        return;
    }
    if (finishedObserver && !active->fromPeer) {
        finishedObserver(effect.outcome, TimePoint::clock::now() - active->arrived);
    }
    if (active->fromPeer) {
        replyToAgent(*active, effect);
    } else if (active->streaming && effect.outcome == Code::Answered) {
        front->endAnswer(effect.request);
    } else if (active->streaming) {
        front->abortAnswer(effect.request);
    } else if (effect.outcome == Code::Answered) {
        CallerAnswer answer;
        answer.status = active->head.status;
        answer.headers = forwardedHeaders(active->head.headers);
        const auto outcome = outcomeHeaders(effect.outcome, effect.reason);
        answer.headers.insert(answer.headers.end(), outcome.begin(), outcome.end());
        answer.body = active->body;
        answer.close = draining;
        front->answer(effect.request, answer);
    } else if (effect.outcome != Code::Cancelled) {
        auto answer = answerFor(effect);
        answer.close = draining;
        front->answer(effect.request, answer);
    }
    requestsByOrigin.erase(active->origin);
    activeRequests.erase(effect.request);
}

} // namespace oriolelever
