#include "oriolelever/claim-link.h"

#include <algorithm>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include "oriolelever/log.h"
#include "requests.pb.h"

namespace oriolelever {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t recoveryPageBytes = 400'000; // A page ends with the entry that exceeds it.
constexpr milliseconds unreachableRetryAfter{1000};

const Log &claimLog()
{
    static const Log instance("claims");
    return instance;
}

std::int64_t msBetween(TimePoint later, TimePoint earlier)
{
    return std::chrono::floor<milliseconds>(later - earlier).count();
}

void encodeInto(const ClaimId &id, proto::ClaimId &out)
{
    out.set_owner(id.agent);
    out.set_incarnation(id.incarnation);
    out.set_request(id.request);
}

ClaimId decode(const proto::ClaimId &id)
{
    return {id.owner(), id.incarnation(), id.request()};
}

void encodeInto(const KeptAnswer &answer, proto::KeptAnswer &out)
{
    out.set_status(answer.status);
    out.set_content_type(answer.contentType);
    out.set_body(answer.body);
}

KeptAnswer decode(const proto::KeptAnswer &answer)
{
    return {static_cast<std::uint16_t>(answer.status()), answer.content_type(), answer.body()};
}

std::string encode(const ClaimRequest &request, TimePoint now)
{
    proto::ClaimRequest out;
    out.set_key(request.key);
    encodeInto(request.id, *out.mutable_id());
    for (const auto &holder : request.holders) {
        auto &added = *out.add_holders();
        added.set_name(holder.name);
        added.set_incarnation(holder.incarnation);
    }
    out.set_left_ms(msBetween(request.deadline, now));
    return out.SerializeAsString();
}

ClaimRequest decode(const proto::ClaimRequest &in, TimePoint now)
{
    ClaimRequest request;
    request.key = in.key();
    request.id = decode(in.id());
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
    out.set_memory_ms(reply.memorySpan.count());
    if (reply.verdict == HolderVerdict::Answered) {
        encodeInto(reply.answer, *out.mutable_answer());
    }
    return out.SerializeAsString();
}

HolderReply decodeReply(const std::string &bytes)
{
    proto::ClaimReply in;
    if (!in.ParseFromString(bytes) || in.verdict() > static_cast<std::uint32_t>(HolderVerdict::Refused)) {
        return {};
    }
    return {static_cast<HolderVerdict>(in.verdict()), milliseconds(in.memory_ms()), decode(in.answer())};
}

RecoveredClaims decode(const proto::RecoverReply &in, TimePoint now)
{
    RecoveredClaims claims;
    claims.memorySpan = milliseconds(in.memory_ms());
    for (const auto &entry : in.entries()) {
        const auto state = static_cast<ClaimState>(std::min<std::uint32_t>(entry.state(), 2));
        claims.entries.emplace_back(entry.key(),
                                    ClaimEntry{decode(entry.id()), state, now - milliseconds(entry.age_ms()),
                                               now + milliseconds(entry.left_ms()), decode(entry.answer())});
    }
    return claims;
}

// Encodes the claims whose keys come after `after`, up to the size of a page.
std::string encodeRecoveryPage(RecoveredClaims &claims, const std::string &after, TimePoint now)
{
    std::sort(claims.entries.begin(), claims.entries.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    proto::RecoverReply out;
    out.set_memory_ms(claims.memorySpan.count());
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
        encodeInto(entry.id, *added.mutable_id());
        added.set_state(static_cast<std::uint32_t>(entry.state));
        added.set_age_ms(msBetween(now, entry.claimedAt));
        added.set_left_ms(msBetween(entry.deadline, now));
        encodeInto(entry.answer, *added.mutable_answer());
        bytes += added.ByteSizeLong();
    }
    return out.SerializeAsString();
}

// Claim that waits for its result; each retry starts a new round.
struct PendingClaim
{
    ClaimRequest request;
    ClaimRound round;
    ClaimLink::Done done;
    RequestId localRequest = 0; ///< Request of this agent that the claim is for.
    std::uint32_t roundNumber = 0; ///< Replies of earlier rounds are ignored.
    bool finished = false; ///< `done` has been called.
};

} // namespace

struct ClaimLink::State : std::enable_shared_from_this<ClaimLink::State>
{
    using PendingClaimPtr = std::shared_ptr<PendingClaim>;

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

    void registerHandlers();
    // Begins a round: sends the claim to all holders of the key.
    void queryHolders(const PendingClaimPtr &pending);
    void queryHolder(const PendingClaimPtr &pending, const AgentId &holder);
    // Handles the reply of one holder; `reply` is null if the call failed.
    void handleReply(const PendingClaimPtr &pending, std::uint32_t roundNumber, const std::string &holder,
                     const HolderReply *reply);
    void applyDecision(const PendingClaimPtr &pending, RoundDecision decision);
    // Begins another round after a random delay, or ends the claim as unknown if the deadline is too close.
    void scheduleRetry(const PendingClaimPtr &pending);
    void finish(const PendingClaimPtr &pending, const ClaimOutcome &outcome);
    void settleAtHolders(const std::vector<AgentId> &holders, const std::string &key, const ClaimId &id,
                         ClaimEnd end, const KeptAnswer &answer);
    // Requests the claims of `peer` with keys after `after`, page by page.
    void requestRecovery(const AgentId &peer, const std::string &after);

    asio::io_context &context;
    Streams &streams;
    ClaimLinkOptions options;
    ClaimTable table;
    std::map<std::string, Endpoint> endpoints; ///< By agent name.
    std::set<std::string> pendingRecoveries; ///< Names of peers with a recovery call in progress.
    std::map<RequestId, ClaimRequest> freshClaims; ///< Claims that succeeded and are not settled yet.
    std::uint64_t lastClaimId = 0;
    std::minstd_rand random;
};

void ClaimLink::State::registerHandlers()
{
    const std::weak_ptr<State> weak = weak_from_this();
    streams.handle("/claim", [weak](const std::string &body, const Streams::Reply &reply) {
        const auto self = weak.lock();
        proto::ClaimRequest in;
        if (self == nullptr || !in.ParseFromString(body)) {
            reply(Error{Code::MessageMalformed, "claim request cannot be decoded"});
            return;
        }
        const auto now = TimePoint::clock::now();
        reply(encode(handleClaim(self->table, decode(in, now), now)));
    });
    streams.handle("/settle", [weak](const std::string &body, const Streams::Reply &reply) {
        const auto self = weak.lock();
        proto::SettleRequest in;
        if (self == nullptr || !in.ParseFromString(body) || in.end() > 2) {
            reply(Error{Code::MessageMalformed, "settle request cannot be decoded, or its end is above 2"});
            return;
        }
        oriolelever::settle(self->table, in.key(), decode(in.id()), static_cast<ClaimEnd>(in.end()),
                            decode(in.answer()));
        reply(std::string());
    });
    streams.handle("/recover", [weak](const std::string &body, const Streams::Reply &reply) {
        const auto self = weak.lock();
        proto::RecoverRequest in;
        if (self == nullptr || !in.ParseFromString(body)) {
            reply(Error{Code::MessageMalformed, "recover request cannot be decoded"});
            return;
        }
        if (!self->table.membersKnown) {
            reply(Error{Code::PeerRefused, "the members of the service are not known yet"});
            return;
        }
        const auto now = TimePoint::clock::now();
        auto claims = exportClaims(self->table, {in.member().name(), in.member().incarnation()}, now);
        reply(encodeRecoveryPage(claims, in.after(), now));
    });
}

void ClaimLink::State::queryHolders(const PendingClaimPtr &pending)
{
    ++pending->roundNumber;
    // Each round has its own id, so that a late release of one round cannot release the claim of the next.
    pending->request.id.request = ++lastClaimId;
    pending->request.holders = holdersOf(table, pending->request.key);
    pending->round = {};
    pending->round.holders = pending->request.holders;
    pending->round.requirement
        = freshnessRequirement(pending->request.key, options.claims, std::chrono::system_clock::now());
    const auto holders = pending->request.holders;
    if (holders.empty()) {
        asio::post(context, [self = shared_from_this(), pending] {
            self->applyDecision(pending, RoundDecision::Unreachable);
        });
    }
    for (const auto &holder : holders) {
        queryHolder(pending, holder);
    }
}

void ClaimLink::State::queryHolder(const PendingClaimPtr &pending, const AgentId &holder)
{
    const auto roundNumber = pending->roundNumber;
    if (holder.name == options.self.name) {
        const auto reply = handleClaim(table, pending->request, TimePoint::clock::now());
        asio::post(context, [self = shared_from_this(), pending, roundNumber, name = holder.name, reply] {
            self->handleReply(pending, roundNumber, name, &reply);
        });
        return;
    }
    const auto endpoint = endpoints.find(holder.name);
    if (endpoint == endpoints.end()) {
        asio::post(context, [self = shared_from_this(), pending, roundNumber, name = holder.name] {
            self->handleReply(pending, roundNumber, name, nullptr);
        });
        return;
    }
    const auto body = encode(pending->request, TimePoint::clock::now());
    streams.call(
        endpoint->second, "/claim", body, options.callTimeout,
        [weak = weak_from_this(), pending, roundNumber, name = holder.name](Result<std::string> answer) {
            const auto self = weak.lock();
            if (self == nullptr) {
                return;
            }
            if (!answer) {
                self->handleReply(pending, roundNumber, name, nullptr);
                return;
            }
            const auto reply = decodeReply(*answer);
            self->handleReply(pending, roundNumber, name, &reply);
        });
}

void ClaimLink::State::handleReply(const PendingClaimPtr &pending, std::uint32_t roundNumber,
                                   const std::string &holder, const HolderReply *reply)
{
    if (pending->finished || roundNumber != pending->roundNumber) {
        return;
    }
    if (reply == nullptr) {
        pending->round.unreachableHolders.insert(holder);
    } else {
        pending->round.replies[holder] = *reply;
    }
    const auto decision = decide(pending->round);
    if (decision != RoundDecision::Waiting) {
        applyDecision(pending, decision);
    }
}

void ClaimLink::State::applyDecision(const PendingClaimPtr &pending, RoundDecision decision)
{
    const auto &request = pending->request;
    if (decision != RoundDecision::Fresh) {
        settleAtHolders(request.holders, request.key, request.id, ClaimEnd::Released, {});
    }
    switch (decision) {
    case RoundDecision::Waiting:
        return;
    case RoundDecision::Fresh:
        freshClaims[pending->localRequest] = request;
        finish(pending, {ClaimVerdict::Fresh, {}, {}});
        return;
    case RoundDecision::Answered:
        finish(pending, {ClaimVerdict::Answered, {}, keptAnswer(pending->round)});
        return;
    case RoundDecision::EarlierUnknown:
        finish(pending, {ClaimVerdict::EarlierUnknown, {}, {}});
        return;
    case RoundDecision::Busy:
        scheduleRetry(pending);
        return;
    case RoundDecision::Unreachable:
        finish(pending, {ClaimVerdict::Unreachable, unreachableRetryAfter, {}});
        return;
    case RoundDecision::NotProven:
        finish(pending, {ClaimVerdict::NotProven, timeUntilProven(pending->round), {}});
        return;
    }
}

void ClaimLink::State::scheduleRetry(const PendingClaimPtr &pending)
{
    ++pending->roundNumber;
    const auto jitter = milliseconds(random() % static_cast<unsigned>(options.pollInterval.count()));
    const auto wait = options.pollInterval + jitter;
    const auto now = TimePoint::clock::now();
    if (now + wait + options.pollInterval >= pending->request.deadline) {
        finish(pending, {ClaimVerdict::EarlierUnknown, {}, {}});
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context, wait);
    timer->async_wait([weak = weak_from_this(), pending, timer](const asio::error_code &error) {
        const auto self = weak.lock();
        if (self != nullptr && !error) {
            self->queryHolders(pending);
        }
    });
}

void ClaimLink::State::finish(const PendingClaimPtr &pending, const ClaimOutcome &outcome)
{
    pending->finished = true;
    pending->done(outcome);
}

void ClaimLink::State::settleAtHolders(const std::vector<AgentId> &holders, const std::string &key,
                                       const ClaimId &id, ClaimEnd end, const KeptAnswer &answer)
{
    proto::SettleRequest out;
    out.set_key(key);
    encodeInto(id, *out.mutable_id());
    out.set_end(static_cast<std::uint32_t>(end));
    if (end == ClaimEnd::Answered && answer.body.size() <= options.claims.maxAnswerBytes) {
        encodeInto(answer, *out.mutable_answer());
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

void ClaimLink::State::requestRecovery(const AgentId &peer, const std::string &after)
{
    const auto endpoint = endpoints.find(peer.name);
    if (endpoint == endpoints.end() || !pendingRecoveries.insert(peer.name).second) {
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
                     self->pendingRecoveries.erase(peer.name);
                     if (!answer || !in.ParseFromString(*answer)) {
                         return;
                     }
                     const auto now = TimePoint::clock::now();
                     const auto claims = decode(in, now);
                     importClaims(self->table, peer.name, claims, now);
                     if (in.more() && !claims.entries.empty()) {
                         self->table.recoveredMemoryStart.erase(peer.name);
                         self->requestRecovery(peer, claims.entries.back().first);
                         return;
                     }
                     claimLog().info("recovered claims from {}", peer.name);
                 });
}

ClaimLink::ClaimLink(asio::io_context &context, Streams &streams, const ClaimLinkOptions &options)
    : m_state(std::make_shared<State>(context, streams, options))
{
    m_state->registerHandlers();
}

ClaimLink::~ClaimLink() = default;

void ClaimLink::setPeers(const std::vector<ClaimPeer> &peers)
{
    std::vector<AgentId> present{m_state->options.self};
    for (const auto &peer : peers) {
        present.push_back(peer.agent);
        m_state->endpoints[peer.agent.name] = peer.endpoint;
    }
    setMembers(m_state->table, present, TimePoint::clock::now());
}

void ClaimLink::startClaim(const std::string &key, RequestId request, TimePoint deadline, Done done)
{
    auto pending = std::make_shared<PendingClaim>();
    pending->request.key = key;
    pending->request.id = {m_state->options.self.name, m_state->options.self.incarnation, 0};
    pending->localRequest = request;
    pending->request.deadline = deadline;
    pending->done = std::move(done);
    m_state->queryHolders(pending);
}

void ClaimLink::settle(RequestId request, ClaimEnd end, const KeptAnswer &answer)
{
    const auto known = m_state->freshClaims.find(request);
    if (known == m_state->freshClaims.end()) {
        return;
    }
    const auto settled = std::move(known->second);
    m_state->freshClaims.erase(known);
    m_state->settleAtHolders(settled.holders, settled.key, settled.id, end, answer);
}

void ClaimLink::tick()
{
    expireClaims(m_state->table, TimePoint::clock::now());
    for (const auto &peer : missingRecoveries(m_state->table)) {
        m_state->requestRecovery(peer, {});
    }
}

const ClaimTable &ClaimLink::table() const
{
    return m_state->table;
}

} // namespace oriolelever
