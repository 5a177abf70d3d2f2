#include "request-state.h"

#include <algorithm>

#include <asio/post.hpp>
#include <fmt/format.h>

#include "requests.pb.h"

namespace oriolelever {

using namespace detail;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t maxHandoverBody = 768 * 1024;
constexpr milliseconds refusalMemory{200};

} // namespace

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
    added.origin = in.origin();
    byOrigin[added.origin] = id;
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
    known->peer = peer->handover;
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
    out.set_origin(originOf(request));
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

void RequestRunner::State::execute(const CancelHandover &effect)
{
    constexpr milliseconds cancelTimeout{250};
    const auto *const known = find(effect.request);
    if (known == nullptr || known->peer.port == 0) {
        return;
    }
    proto::CancelRequest out;
    out.set_origin(originOf(effect.request));
    streams->call(known->peer, "/cancel", out.SerializeAsString(), cancelTimeout,
                  [](const Result<std::string> &) {});
}

void RequestRunner::State::cancelArrived(const std::string &body, const Streams::Reply &reply)
{
    proto::CancelRequest in;
    if (!in.ParseFromString(body)) {
        reply(Error{Code::MessageMalformed, "cancellation cannot be decoded"});
        return;
    }
    const auto known = byOrigin.find(in.origin());
    if (known != byOrigin.end()) {
        callerGone(known->second);
    }
    reply(std::string());
}

std::string RequestRunner::State::originOf(RequestId request) const
{
    return fmt::format("{}-{}-{}", options.self.name, options.self.incarnation, request);
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
    byOrigin.erase(known->origin);
    carried.erase(effect.request);
}

} // namespace oriolelever
