#include "oriolelever/claim-link.h"

#include <algorithm>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include "oriolelever/log.h"
#include "requests.pb.h"

namespace oriolelever {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t recoveryPageBytes = 400'000;
constexpr milliseconds unreachableRetry{1000};

const Log &claimLog()
{
    static const Log instance("claims");
    return instance;
}

std::int64_t msUntil(TimePoint later, TimePoint now)
{
    return std::chrono::floor<milliseconds>(later - now).count();
}

void put(const ClaimId &id, proto::ClaimId &out)
{
    out.set_owner(id.owner);
    out.set_incarnation(id.incarnation);
    out.set_request(id.request);
}

ClaimId take(const proto::ClaimId &id)
{
    return {id.owner(), id.incarnation(), id.request()};
}

void put(const KeptAnswer &answer, proto::KeptAnswer &out)
{
    out.set_status(answer.status);
    out.set_content_type(answer.contentType);
    out.set_body(answer.body);
}

KeptAnswer take(const proto::KeptAnswer &answer)
{
    return {static_cast<std::uint16_t>(answer.status()), answer.content_type(), answer.body()};
}

std::string encode(const ClaimRequest &request, TimePoint now)
{
    proto::ClaimRequest out;
    out.set_key(request.key);
    put(request.id, *out.mutable_id());
    for (const auto &holder : request.holders) {
        auto &added = *out.add_holders();
        added.set_name(holder.name);
        added.set_incarnation(holder.incarnation);
    }
    out.set_left_ms(msUntil(request.deadline, now));
    return out.SerializeAsString();
}

ClaimRequest take(const proto::ClaimRequest &in, TimePoint now)
{
    ClaimRequest request;
    request.key = in.key();
    request.id = take(in.id());
    request.deadline = now + milliseconds(in.left_ms());
    for (const auto &holder : in.holders()) {
        request.holders.push_back({holder.name(), holder.incarnation()});
    }
    return request;
}

std::string encode(const HolderReply &reply)
{
    proto::ClaimReply out;
    out.set_verdict(static_cast<std::uint32_t>(reply.verdict));
    out.set_memory_ms(reply.memory.count());
    if (reply.verdict == HolderVerdict::Answered) {
        put(reply.answer, *out.mutable_answer());
    }
    return out.SerializeAsString();
}

HolderReply decodeReply(const std::string &bytes)
{
    proto::ClaimReply in;
    if (!in.ParseFromString(bytes) || in.verdict() > static_cast<std::uint32_t>(HolderVerdict::Refused)) {
        return {};
    }
    return {static_cast<HolderVerdict>(in.verdict()), milliseconds(in.memory_ms()), take(in.answer())};
}

RecoveredClaims take(const proto::RecoverReply &in, TimePoint now)
{
    RecoveredClaims claims;
    claims.memory = milliseconds(in.memory_ms());
    for (const auto &entry : in.entries()) {
        const auto state = static_cast<ClaimState>(std::min<std::uint32_t>(entry.state(), 2));
        claims.entries.emplace_back(entry.key(),
                                    ClaimEntry{take(entry.id()), state, now - milliseconds(entry.age_ms()),
                                               now + milliseconds(entry.left_ms()), take(entry.answer())});
    }
    return claims;
}

std::string recoverPage(RecoveredClaims &claims, const std::string &after, TimePoint now)
{
    std::sort(claims.entries.begin(), claims.entries.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    proto::RecoverReply out;
    out.set_memory_ms(claims.memory.count());
    std::size_t bytes = 0;
    for (const auto &[key, entry] : claims.entries) {
        if (key <= after) {
            continue;
        }
        if (bytes > recoveryPageBytes) {
            out.set_more(true);
            break;
        }
        auto &added = *out.add_entries();
        added.set_key(key);
        put(entry.id, *added.mutable_id());
        added.set_state(static_cast<std::uint32_t>(entry.state));
        added.set_age_ms(msUntil(now, entry.claimedAt));
        added.set_left_ms(msUntil(entry.deadline, now));
        put(entry.answer, *added.mutable_answer());
        bytes += added.ByteSizeLong();
    }
    return out.SerializeAsString();
}

// One submission on its way through its holders, perhaps several times.
struct Asking
{
    ClaimRequest request;
    ClaimRound round;
    ClaimLink::Done done;
    RequestId owner = 0;
    std::uint32_t turn = 0; ///< Replies of earlier turns are ignored.
    bool ended = false;
};

} // namespace

struct ClaimLink::State : std::enable_shared_from_this<ClaimLink::State>
{
    using AskingHandle = std::shared_ptr<Asking>;

    State(asio::io_context &ioContext, Streams &peerStreams, const ClaimLinkOptions &linkOptions)
        : context(ioContext)
        , streams(peerStreams)
        , options(linkOptions)
        , random(linkOptions.self.incarnation)
    {
        table.options = options.claims;
        table.self = options.self;
        table.startedAt = TimePoint::clock::now();
    }

    void serve();
    void ask(const AskingHandle &asking);
    void askHolder(const AskingHandle &asking, const Holder &holder);
    void noteReply(const AskingHandle &asking, std::uint32_t turn, const std::string &holder,
                   const HolderReply *reply);
    void conclude(const AskingHandle &asking, RoundDecision decision);
    void askAgain(const AskingHandle &asking);
    void end(const AskingHandle &asking, const ClaimOutcome &outcome);
    void settleAt(const std::vector<Holder> &holders, const std::string &key, const ClaimId &id, ClaimEnd end,
                  const KeptAnswer &answer);
    void recoverFrom(const Holder &peer, const std::string &after);

    asio::io_context &context;
    Streams &streams;
    ClaimLinkOptions options;
    ClaimTable table;
    std::map<std::string, Endpoint> endpoints;
    std::set<std::string> recovering;
    std::map<RequestId, ClaimRequest> granted; ///< Claims without an end.
    std::uint64_t lastClaim = 0;
    std::minstd_rand random;
};

void ClaimLink::State::serve()
{
    const std::weak_ptr<State> weak = weak_from_this();
    streams.handle("/claim", [weak](const std::string &body, const Streams::Reply &reply) {
        const auto self = weak.lock();
        proto::ClaimRequest in;
        if (self == nullptr || !in.ParseFromString(body)) {
            reply(Error{Code::MessageMalformed, "claim cannot be decoded"});
            return;
        }
        const auto now = TimePoint::clock::now();
        reply(encode(claim(self->table, take(in, now), now)));
    });
    streams.handle("/settle", [weak](const std::string &body, const Streams::Reply &reply) {
        const auto self = weak.lock();
        proto::SettleRequest in;
        if (self == nullptr || !in.ParseFromString(body) || in.end() > 2) {
            reply(Error{Code::MessageMalformed, "end of a claim cannot be decoded"});
            return;
        }
        oriolelever::settle(self->table, in.key(), take(in.id()), static_cast<ClaimEnd>(in.end()),
                            take(in.answer()));
        reply(std::string());
    });
    streams.handle("/recover", [weak](const std::string &body, const Streams::Reply &reply) {
        const auto self = weak.lock();
        proto::RecoverRequest in;
        if (self == nullptr || !in.ParseFromString(body)) {
            reply(Error{Code::MessageMalformed, "recovery cannot be decoded"});
            return;
        }
        if (!self->table.membersKnown) {
            reply(Error{Code::PeerRefused, "members of the service are not known yet"});
            return;
        }
        const auto now = TimePoint::clock::now();
        auto claims = claimsFor(self->table, {in.member().name(), in.member().incarnation()}, now);
        reply(recoverPage(claims, in.after(), now));
    });
}

void ClaimLink::State::ask(const AskingHandle &asking)
{
    ++asking->turn;
    // Each turn has its own id, so that a late release of one turn cannot undo the grant of the next.
    asking->request.id.request = ++lastClaim;
    asking->request.holders = holdersOf(table, asking->request.key);
    asking->round = {};
    asking->round.holders = asking->request.holders;
    asking->round.need = freshnessNeed(asking->request.key, options.claims, std::chrono::system_clock::now());
    const auto holders = asking->request.holders;
    if (holders.empty()) {
        asio::post(context, [self = shared_from_this(), asking] {
            self->conclude(asking, RoundDecision::Unreachable);
        });
    }
    for (const auto &holder : holders) {
        askHolder(asking, holder);
    }
}

void ClaimLink::State::askHolder(const AskingHandle &asking, const Holder &holder)
{
    const auto turn = asking->turn;
    if (holder.name == options.self.name) {
        const auto reply = claim(table, asking->request, TimePoint::clock::now());
        asio::post(context, [self = shared_from_this(), asking, turn, name = holder.name, reply] {
            self->noteReply(asking, turn, name, &reply);
        });
        return;
    }
    const auto endpoint = endpoints.find(holder.name);
    if (endpoint == endpoints.end()) {
        asio::post(context, [self = shared_from_this(), asking, turn, name = holder.name] {
            self->noteReply(asking, turn, name, nullptr);
        });
        return;
    }
    const auto body = encode(asking->request, TimePoint::clock::now());
    streams.call(endpoint->second, "/claim", body, options.callTimeout,
                 [weak = weak_from_this(), asking, turn, name = holder.name](Result<std::string> answer) {
                     const auto self = weak.lock();
                     if (self == nullptr) {
                         return;
                     }
                     if (!answer) {
                         self->noteReply(asking, turn, name, nullptr);
                         return;
                     }
                     const auto reply = decodeReply(*answer);
                     self->noteReply(asking, turn, name, &reply);
                 });
}

void ClaimLink::State::noteReply(const AskingHandle &asking, std::uint32_t turn, const std::string &holder,
                                 const HolderReply *reply)
{
    if (asking->ended || turn != asking->turn) {
        return;
    }
    if (reply == nullptr) {
        asking->round.failed.insert(holder);
    } else {
        asking->round.replies[holder] = *reply;
    }
    const auto decision = decide(asking->round);
    if (decision != RoundDecision::Waiting) {
        conclude(asking, decision);
    }
}

void ClaimLink::State::conclude(const AskingHandle &asking, RoundDecision decision)
{
    const auto &request = asking->request;
    if (decision != RoundDecision::Fresh) {
        settleAt(request.holders, request.key, request.id, ClaimEnd::Released, {});
    }
    switch (decision) {
    case RoundDecision::Waiting:
        return;
    case RoundDecision::Fresh:
        granted[asking->owner] = request;
        end(asking, {ClaimVerdict::Fresh, {}, {}});
        return;
    case RoundDecision::Answered:
        end(asking, {ClaimVerdict::Answered, {}, keptAnswer(asking->round)});
        return;
    case RoundDecision::EarlierUnknown:
        end(asking, {ClaimVerdict::EarlierUnknown, {}, {}});
        return;
    case RoundDecision::Busy:
        askAgain(asking);
        return;
    case RoundDecision::Unreachable:
        end(asking, {ClaimVerdict::Unreachable, unreachableRetry, {}});
        return;
    case RoundDecision::NotProven:
        end(asking, {ClaimVerdict::NotProven, provenAfter(asking->round), {}});
        return;
    }
}

void ClaimLink::State::askAgain(const AskingHandle &asking)
{
    ++asking->turn;
    const auto jitter = milliseconds(random() % static_cast<unsigned>(options.pollInterval.count()));
    const auto wait = options.pollInterval + jitter;
    const auto now = TimePoint::clock::now();
    if (now + wait + options.pollInterval >= asking->request.deadline) {
        end(asking, {ClaimVerdict::EarlierUnknown, {}, {}});
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context, wait);
    timer->async_wait([weak = weak_from_this(), asking, timer](const asio::error_code &error) {
        const auto self = weak.lock();
        if (self != nullptr && !error) {
            self->ask(asking);
        }
    });
}

void ClaimLink::State::end(const AskingHandle &asking, const ClaimOutcome &outcome)
{
    asking->ended = true;
    asking->done(outcome);
}

void ClaimLink::State::settleAt(const std::vector<Holder> &holders, const std::string &key, const ClaimId &id,
                                ClaimEnd end, const KeptAnswer &answer)
{
    proto::SettleRequest out;
    out.set_key(key);
    put(id, *out.mutable_id());
    out.set_end(static_cast<std::uint32_t>(end));
    if (end == ClaimEnd::Answered && answer.body.size() <= options.claims.maxAnswerBytes) {
        put(answer, *out.mutable_answer());
    }
    const auto body = out.SerializeAsString();
    for (const auto &holder : holders) {
        if (holder.name == options.self.name) {
            oriolelever::settle(table, key, id, end, answer);
            continue;
        }
        const auto endpoint = endpoints.find(holder.name);
        if (endpoint == endpoints.end()) {
            continue;
        }
        streams.call(endpoint->second, "/settle", body, options.callTimeout,
                     [](const Result<std::string> &) {});
    }
}

void ClaimLink::State::recoverFrom(const Holder &peer, const std::string &after)
{
    const auto endpoint = endpoints.find(peer.name);
    if (endpoint == endpoints.end() || !recovering.insert(peer.name).second) {
        return;
    }
    proto::RecoverRequest out;
    out.mutable_member()->set_name(options.self.name);
    out.mutable_member()->set_incarnation(options.self.incarnation);
    out.set_after(after);
    streams.call(endpoint->second, "/recover", out.SerializeAsString(), options.callTimeout * 4,
                 [weak = weak_from_this(), peer](Result<std::string> answer) {
                     const auto self = weak.lock();
                     proto::RecoverReply in;
                     if (self == nullptr) {
                         return;
                     }
                     self->recovering.erase(peer.name);
                     if (!answer || !in.ParseFromString(*answer)) {
                         return;
                     }
                     const auto now = TimePoint::clock::now();
                     const auto claims = take(in, now);
                     recover(self->table, peer.name, claims, now);
                     if (in.more() && !claims.entries.empty()) {
                         self->table.recoveredFrom.erase(peer.name);
                         self->recoverFrom(peer, claims.entries.back().first);
                         return;
                     }
                     claimLog().info("recovered the claims of {}", peer.name);
                 });
}

ClaimLink::ClaimLink(asio::io_context &context, Streams &streams, const ClaimLinkOptions &options)
    : m_state(std::make_shared<State>(context, streams, options))
{
    m_state->serve();
}

ClaimLink::~ClaimLink() = default;

void ClaimLink::setPeers(const std::vector<ClaimPeer> &peers)
{
    std::vector<Holder> present{m_state->options.self};
    for (const auto &peer : peers) {
        present.push_back(peer.holder);
        m_state->endpoints[peer.holder.name] = peer.endpoint;
    }
    setMembers(m_state->table, present, TimePoint::clock::now());
}

void ClaimLink::start(const std::string &key, RequestId request, TimePoint deadline, Done done)
{
    auto asking = std::make_shared<Asking>();
    asking->request.key = key;
    asking->request.id = {m_state->options.self.name, m_state->options.self.incarnation, 0};
    asking->owner = request;
    asking->request.deadline = deadline;
    asking->done = std::move(done);
    m_state->ask(asking);
}

void ClaimLink::settle(RequestId request, ClaimEnd end, const KeptAnswer &answer)
{
    const auto known = m_state->granted.find(request);
    if (known == m_state->granted.end()) {
        return;
    }
    const auto granted = std::move(known->second);
    m_state->granted.erase(known);
    m_state->settleAt(granted.holders, granted.key, granted.id, end, answer);
}

void ClaimLink::tick()
{
    expire(m_state->table, TimePoint::clock::now());
    for (const auto &peer : missingRecoveries(m_state->table)) {
        m_state->recoverFrom(peer, {});
    }
}

const ClaimTable &ClaimLink::table() const
{
    return m_state->table;
}

} // namespace oriolelever
