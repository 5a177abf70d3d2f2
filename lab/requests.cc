#include "requests.h"

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include <fmt/format.h>

#include "http-callers.h"

namespace oriolelever::lab {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds tickInterval{5};
constexpr milliseconds recoveryInterval{300};
constexpr milliseconds callTimeout{250};
constexpr milliseconds viewDelay{1000};
constexpr milliseconds breakDelay{1};
constexpr TimePoint start{std::chrono::hours(1000)};
constexpr std::uint32_t coldSlots = 1;
constexpr double coldFactor = 3.0;

struct Submission
{
    std::uint64_t request = 0;
    std::uint64_t id = 0;
    std::size_t agent = 0; ///< That the caller talks to.
};

// One request of a caller.
struct Call
{
    std::string key;
    bool idempotent = false;
    Urgency urgency = Urgency::Urgent;
    TimePoint began;
    std::uint32_t tries = 0;
    bool ended = false;
};

enum class ServerFault : std::uint8_t { None, Shed, Stall, Crash, Late, Truncated, Crossed, Doubled };

struct Run
{
    std::uint64_t request = 0;
    std::uint64_t submission = 0;
    std::size_t agent = 0;
    Incarnation agentIncarnation = 0;
    RequestId gateRequest = 0;
    AttemptId attempt = 0;
    bool cancelled = false;
    bool holdsSlot = false;
    std::uint64_t serverStart = 0; ///< In which start of the server it runs.
};

struct Server
{
    bool up = true;
    std::uint64_t starts = 0;
    std::uint32_t running = 0;
    TimePoint coldUntil;
    std::uint64_t lastRequest = 0;
    std::map<AttemptId, std::shared_ptr<Run>> runs;
    std::vector<std::shared_ptr<Run>> waiting;
};

// A request in an agent.
struct Carried
{
    Submission submission;
    RequestFacts facts;
    std::string key;
    std::size_t from = 0; ///< Agent that handed it over.
    RequestId fromRequest = 0;
    std::uint64_t content = 0; ///< Of the answer.
    bool whole = true;
    std::shared_ptr<ClaimRound> round;
    ClaimRequest claim;
};

struct Agent
{
    bool up = true;
    Incarnation incarnation = 1;
    Gate gate;
    ClaimTable claims;
    std::map<RequestId, Carried> carried;
    RequestId lastRequest = 0;
    std::uint64_t lastClaim = 0;
};

class World
{
public:
    explicit World(const RequestsRunOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_servers(options.agents)
        , m_agents(options.agents)
        , m_partitioned(options.agents, false)
    {
    }

    RequestsRunFigures run();

private:
    using Action = std::function<void()>;

    struct Timed
    {
        TimePoint time;
        std::uint64_t order = 0;
        std::shared_ptr<Action> action;

        bool operator>(const Timed &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    void after(Duration delay, Action action);
    bool chance(double share);
    Duration networkDelay();
    std::chrono::system_clock::time_point wallClock() const;
    void record(HistoryKind kind, std::uint64_t request, std::uint64_t submission);

    // Callers.
    void nextCall();
    void submit(std::uint64_t request);
    void told(const Submission &submission, const Finish &end, std::uint64_t content, bool whole);
    void repeat(std::uint64_t request, Duration pause);

    // Agents.
    void startAgent(std::size_t i);
    void restartAgent(std::size_t i);
    void spreadView();
    void recoverClaims(std::size_t i);
    void tickAgent(std::size_t i);
    void step(std::size_t i, const std::function<void(Gate &, Effects &)> &decide);
    void execute(std::size_t i, const StartClaim &effect);
    void execute(std::size_t i, const SettleClaim &effect);
    void execute(std::size_t i, const SendAttempt &effect);
    void execute(std::size_t i, const CancelAttempt &effect);
    void execute(std::size_t i, const HandOver &effect);
    void execute(std::size_t i, const RelayAnswer &effect);
    void execute(std::size_t i, const Finish &effect);
    void askHolder(std::size_t i, RequestId request, const Holder &holder);
    void claimReplied(std::size_t i, RequestId request, std::uint64_t turn, const std::string &holder,
                      const HolderReply *reply);
    void settleAt(const ClaimRequest &claim, ClaimEnd end, const KeptAnswer &answer);
    bool reaches(std::size_t from, std::size_t to) const;
    std::size_t agentCalled(const std::string &name) const;

    // Backend servers.
    void arriveAtServer(std::size_t i, const std::shared_ptr<Run> &run);
    void startRun(std::size_t i, const std::shared_ptr<Run> &run);
    void endRun(std::size_t i, const std::shared_ptr<Run> &run, ServerFault fault);
    void freeSlot(std::size_t i, const std::shared_ptr<Run> &run);
    void cancelRun(std::size_t i, const std::shared_ptr<Run> &run);
    void crashServer(std::size_t i);
    void attemptResult(const std::shared_ptr<Run> &run, bool failed, AttemptFailure failure,
                       std::uint64_t content, bool whole);
    ServerFault drawFault();

    void planFaults();

    RequestsRunOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now = start;
    std::uint64_t m_order = 0;
    std::priority_queue<Timed, std::vector<Timed>, std::greater<>> m_events;
    std::vector<Server> m_servers;
    std::vector<Agent> m_agents;
    std::vector<bool> m_partitioned; ///< Agents that reach no other agent.
    std::vector<Call> m_calls;
    std::uint64_t m_lastSubmission = 0;
    std::vector<HistoryEvent> m_history;
    std::vector<double> m_urgentMs;
    std::vector<double> m_ordinaryMs;
    std::uint64_t m_urgentSent = 0;
    std::uint64_t m_answeredInTime = 0;
    RequestsRunFigures m_figures;
};

void World::after(Duration delay, Action action)
{
    m_events.push({m_now + delay, ++m_order, std::make_shared<Action>(std::move(action))});
}

bool World::chance(double share)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < share;
}

Duration World::networkDelay()
{
    return microseconds(200 + m_random() % 800);
}

std::chrono::system_clock::time_point World::wallClock() const
{
    return std::chrono::system_clock::time_point(
        std::chrono::duration_cast<std::chrono::system_clock::duration>(m_now.time_since_epoch()));
}

void World::record(HistoryKind kind, std::uint64_t request, std::uint64_t submission)
{
    HistoryEvent event;
    event.time = m_now;
    event.kind = kind;
    event.request = request;
    event.submission = submission;
    event.idempotent = m_calls[request].idempotent;
    m_history.push_back(event);
}

void World::nextCall()
{
    if (m_now >= start + m_options.duration) {
        return;
    }
    Call call;
    call.urgency = chance(m_options.urgentShare) ? Urgency::Urgent : Urgency::Ordinary;
    call.idempotent = call.urgency == Urgency::Ordinary || !chance(m_options.nonIdempotentShare);
    call.key = makeKeyAt(wallClock(), m_random());
    call.began = m_now;
    m_urgentSent += call.urgency == Urgency::Urgent ? 1 : 0;
    m_calls.push_back(call);
    submit(m_calls.size() - 1);
    const auto slots = static_cast<double>(m_options.agents * m_options.slots);
    const double time = m_options.urgentShare * std::chrono::duration<double>(m_options.serviceTime).count()
        + (1.0 - m_options.urgentShare) * std::chrono::duration<double>(m_options.scanTime).count();
    const double gap = time / (slots * m_options.load);
    const double drawn = std::exponential_distribution<double>(1.0 / gap)(m_random);
    after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(drawn)), [this] { nextCall(); });
}

void World::submit(std::uint64_t request)
{
    auto &call = m_calls[request];
    const Submission submission{request, ++m_lastSubmission, m_random() % m_agents.size()};
    ++call.tries;
    record(HistoryKind::Submitted, request, submission.id);
    after(networkDelay(), [this, submission] {
        auto &agent = m_agents[submission.agent];
        if (!agent.up) {
            // A refused connection is told by the caller's own host.
            told(submission, {0, Code::RefusedNotRun, Reason::ClaimUnreachable, milliseconds(20), false}, 0,
                 true);
            return;
        }
        const auto &known = m_calls[submission.request];
        auto &carried = agent.carried[++agent.lastRequest];
        carried.submission = submission;
        carried.key = known.key;
        carried.facts = {.id = agent.lastRequest,
                         .caller = submission.request % 50,
                         .urgency = known.urgency,
                         .idempotent = known.idempotent,
                         .keyed = true,
                         .arrived = m_now,
                         .deadline = m_now + m_options.deadline};
        const auto facts = carried.facts;
        step(submission.agent, [&](Gate &gate, Effects &effects) { arrive(gate, facts, m_now, effects); });
    });
}

void World::told(const Submission &submission, const Finish &end, std::uint64_t content, bool whole)
{
    auto &call = m_calls[submission.request];
    const auto kind = end.outcome == Code::Answered ? HistoryKind::Answered
        : end.outcome == Code::RefusedNotRun        ? HistoryKind::Refused
                                                    : HistoryKind::Unknown;
    record(kind, submission.request, submission.id);
    m_history.back().content = content;
    m_history.back().whole = whole;
    m_history.back().speaksForKey
        = end.reason != Reason::NotProvenFresh && end.reason != Reason::ClaimUnreachable;
    if (kind == HistoryKind::Answered) {
        call.ended = true;
        m_answeredInTime += m_now < start + m_options.duration ? 1 : 0;
        const std::chrono::duration<double, std::milli> time = m_now - call.began;
        (call.urgency == Urgency::Urgent ? m_urgentMs : m_ordinaryMs).push_back(time.count());
        return;
    }
    repeat(submission.request, std::max(end.retryAfter, milliseconds(5)));
}

void World::repeat(std::uint64_t request, Duration pause)
{
    auto &call = m_calls[request];
    if (call.tries >= m_options.maxTries) {
        call.ended = true;
        return;
    }
    after(pause, [this, request] { submit(request); });
}

void World::startAgent(std::size_t i)
{
    auto &agent = m_agents[i];
    GateOptions options;
    options.limiter.slots = m_options.slots;
    options.limiter.rampTime = m_options.rampTime;
    options.limiter.badAnswers = m_options.fixedLimit ? UINT32_MAX : options.limiter.badAnswers;
    options.retries = m_options.retries;
    if (m_options.unlimitedRetries) {
        options.budget = {.ratio = 100.0, .capacity = 1e9, .tokens = 1e9};
        options.maxAttempts = 10;
    }
    agent.gate = Gate(options);
    beginRamp(agent.gate.limiter, m_now);
    if (m_options.warm && m_options.coldTime.count() == 0) {
        agent.gate.limiter.limit = m_options.slots;
    }
    agent.gate.peersAvailable = m_agents.size() > 1;
    // Attempt ids of one server never repeat.
    agent.gate.lastAttempt = agent.incarnation << 40;
    agent.claims = {};
    agent.claims.self = {fmt::format("agent-{}", i), agent.incarnation};
    agent.claims.startedAt = m_options.warm && agent.incarnation == 1 ? m_now - std::chrono::hours(1) : m_now;
    agent.carried.clear();
    agent.up = true;
}

void World::spreadView()
{
    std::vector<Holder> present;
    for (const auto &agent : m_agents) {
        present.push_back(agent.claims.self);
    }
    for (std::size_t i = 0; i < m_agents.size(); ++i) {
        if (!m_partitioned[i]) {
            setMembers(m_agents[i].claims, present, m_now);
        }
    }
}

bool World::reaches(std::size_t from, std::size_t to) const
{
    return from == to || (m_agents[to].up && !m_partitioned[from] && !m_partitioned[to]);
}

std::size_t World::agentCalled(const std::string &name) const
{
    return std::stoul(name.substr(name.find('-') + 1));
}

void World::recoverClaims(std::size_t i)
{
    auto &agent = m_agents[i];
    after(recoveryInterval, [this, i] { recoverClaims(i); });
    expire(agent.claims, m_now);
    for (const auto &peer : missingRecoveries(agent.claims)) {
        const auto other = agentCalled(peer.name);
        if (!agent.up || !reaches(i, other) || !m_agents[other].claims.membersKnown) {
            continue;
        }
        const auto self = agent.claims.self;
        const auto claims = claimsFor(m_agents[other].claims, self, m_now);
        after(networkDelay() * 2, [this, i, self, name = peer.name, claims] {
            if (m_agents[i].claims.self == self) {
                recover(m_agents[i].claims, name, claims, m_now);
            }
        });
    }
}

void World::restartAgent(std::size_t i)
{
    auto &agent = m_agents[i];
    if (!agent.up) {
        return;
    }
    ++m_figures.restarts;
    agent.up = false;
    for (const auto &[id, carried] : agent.carried) {
        if (carried.facts.handedOver) {
            const auto from = carried.from;
            const auto request = carried.fromRequest;
            after(breakDelay, [this, from, request] {
                step(from, [&](Gate &gate, Effects &effects) {
                    handoverEnded(gate, request, HandoverEnd::Unknown, {}, m_now, effects);
                });
            });
            continue;
        }
        const auto submission = carried.submission;
        after(breakDelay, [this, submission] {
            record(HistoryKind::Broken, submission.request, submission.id);
            // A caller asks on until it is told an outcome.
            --m_calls[submission.request].tries;
            repeat(submission.request, milliseconds(20));
        });
    }
    for (auto &[attempt, run] : m_servers[i].runs) {
        cancelRun(i, run);
    }
    m_servers[i].runs.clear();
    agent.carried.clear();
    after(milliseconds(50 + m_random() % 400), [this, i] {
        ++m_agents[i].incarnation;
        startAgent(i);
        after(viewDelay, [this] { spreadView(); });
        spreadView();
    });
}

void World::tickAgent(std::size_t i)
{
    after(tickInterval, [this, i] { tickAgent(i); });
    if (m_agents[i].up) {
        step(i, [&](Gate &gate, Effects &effects) { tick(gate, m_now, effects); });
    }
}

void World::step(std::size_t i, const std::function<void(Gate &, Effects &)> &decide)
{
    if (!m_agents[i].up) {
        return;
    }
    Effects effects;
    decide(m_agents[i].gate, effects);
    for (const auto &effect : effects) {
        std::visit([&](const auto &known) { execute(i, known); }, effect);
    }
}

void World::execute(std::size_t i, const StartClaim &effect)
{
    auto &agent = m_agents[i];
    const auto known = agent.carried.find(effect.request);
    if (known == agent.carried.end()) {
        return;
    }
    if (m_options.mutation == Mutation::ClaimsIgnored) {
        const auto request = effect.request;
        after(networkDelay(), [this, i, request] {
            step(i, [&](Gate &gate, Effects &effects) {
                claimEnded(gate, request, ClaimVerdict::Fresh, {}, m_now, effects);
            });
        });
        return;
    }
    auto &carried = known->second;
    carried.claim = {carried.key,
                     {agent.claims.self.name, agent.incarnation, ++agent.lastClaim},
                     holdersOf(agent.claims, carried.key),
                     carried.facts.deadline};
    carried.round = std::make_shared<ClaimRound>();
    carried.round->holders = carried.claim.holders;
    carried.round->need = freshnessNeed(carried.key, agent.claims.options, wallClock());
    if (m_options.mutation == Mutation::MemoryIgnored) {
        carried.round->need = {};
    }
    const auto holders = carried.claim.holders;
    if (holders.empty()) {
        const auto request = effect.request;
        after(networkDelay(), [this, i, request] {
            step(i, [&](Gate &gate, Effects &effects) {
                claimEnded(gate, request, ClaimVerdict::Unreachable, milliseconds(100), m_now, effects);
            });
        });
    }
    for (const auto &holder : holders) {
        askHolder(i, effect.request, holder);
    }
}

void World::askHolder(std::size_t i, RequestId request, const Holder &holder)
{
    const auto other = agentCalled(holder.name);
    const auto claimRequest = m_agents[i].carried.at(request).claim;
    const auto turn = claimRequest.id.request;
    const auto incarnation = m_agents[i].incarnation;
    const auto replied = [this, i, request, turn, incarnation, name = holder.name](const HolderReply *reply) {
        if (m_agents[i].incarnation == incarnation) {
            claimReplied(i, request, turn, name, reply);
        }
    };
    if (!reaches(i, other) || chance(m_options.faults ? 0.01 : 0.0)) {
        after(callTimeout, [replied] { replied(nullptr); });
        return;
    }
    after(networkDelay(), [this, other, claimRequest, replied] {
        if (!m_agents[other].up) {
            after(callTimeout, [replied] { replied(nullptr); });
            return;
        }
        const auto reply = claim(m_agents[other].claims, claimRequest, m_now);
        after(networkDelay(), [reply, replied] { replied(&reply); });
    });
}

void World::claimReplied(std::size_t i, RequestId request, std::uint64_t turn, const std::string &holder,
                         const HolderReply *reply)
{
    auto &agent = m_agents[i];
    const auto known = agent.carried.find(request);
    if (!agent.up || known == agent.carried.end() || known->second.round == nullptr
        || known->second.claim.id.request != turn) {
        return;
    }
    auto &carried = known->second;
    auto &round = *carried.round;
    if (reply == nullptr) {
        round.failed.insert(holder);
    } else {
        round.replies[holder] = *reply;
    }
    const auto decision = decide(round);
    if (decision == RoundDecision::Waiting) {
        return;
    }
    const auto answer = keptAnswer(round);
    const auto wait = provenAfter(round);
    carried.round = nullptr;
    if (decision != RoundDecision::Fresh) {
        settleAt(carried.claim, ClaimEnd::Released, {});
    }
    auto verdict = ClaimVerdict::Fresh;
    switch (decision) {
    case RoundDecision::Waiting:
    case RoundDecision::Fresh:
        break;
    case RoundDecision::Answered:
        verdict = ClaimVerdict::Answered;
        carried.content = std::stoull(answer.body);
        break;
    case RoundDecision::Busy:
        if (m_now + milliseconds(100) < carried.facts.deadline) {
            after(milliseconds(25 + m_random() % 25),
                  [this, i, request] { execute(i, StartClaim{request}); });
            return;
        }
        verdict = ClaimVerdict::EarlierUnknown;
        break;
    case RoundDecision::EarlierUnknown:
        verdict = ClaimVerdict::EarlierUnknown;
        break;
    case RoundDecision::Unreachable:
        verdict = ClaimVerdict::Unreachable;
        break;
    case RoundDecision::NotProven:
        verdict = ClaimVerdict::NotProven;
        break;
    }
    step(i, [&](Gate &gate, Effects &effects) { claimEnded(gate, request, verdict, wait, m_now, effects); });
}

void World::settleAt(const ClaimRequest &claimRequest, ClaimEnd end, const KeptAnswer &answer)
{
    for (const auto &holder : claimRequest.holders) {
        if (chance(m_options.faults ? 0.02 : 0.0)) {
            continue;
        }
        const auto other = agentCalled(holder.name);
        after(networkDelay(), [this, other, claimRequest, end, answer] {
            if (m_agents[other].up && !m_partitioned[other]) {
                settle(m_agents[other].claims, claimRequest.key, claimRequest.id, end, answer);
            }
        });
    }
}

void World::execute(std::size_t i, const SettleClaim &effect)
{
    const auto known = m_agents[i].carried.find(effect.request);
    if (known == m_agents[i].carried.end()) {
        return;
    }
    settleAt(known->second.claim, effect.end, {200, "text/plain", fmt::format("{}", known->second.content)});
}

void World::execute(std::size_t i, const SendAttempt &effect)
{
    const auto known = m_agents[i].carried.find(effect.request);
    if (known == m_agents[i].carried.end()) {
        return;
    }
    auto run = std::make_shared<Run>();
    run->request = known->second.submission.request;
    run->submission = known->second.submission.id;
    run->agent = i;
    run->agentIncarnation = m_agents[i].incarnation;
    run->gateRequest = effect.request;
    run->attempt = effect.attempt;
    m_servers[i].runs[effect.attempt] = run;
    after(microseconds(100), [this, i, run] {
        if (run->cancelled) {
            return;
        }
        if (!m_servers[i].up) {
            attemptResult(run, true, AttemptFailure::NotSent, 0, true);
            return;
        }
        if (m_options.mutation != Mutation::SentForgotten) {
            byteLeft(m_agents[i].gate, run->gateRequest, run->attempt);
        }
        ++m_figures.attempts;
        after(microseconds(100), [this, i, run] { arriveAtServer(i, run); });
    });
}

void World::execute(std::size_t i, const CancelAttempt &effect)
{
    const auto known = m_servers[i].runs.find(effect.attempt);
    if (known != m_servers[i].runs.end()) {
        cancelRun(i, known->second);
        m_servers[i].runs.erase(known);
    }
}

void World::cancelRun(std::size_t i, const std::shared_ptr<Run> &run)
{
    run->cancelled = true;
    after(microseconds(100), [this, i, run] { freeSlot(i, run); });
}

void World::execute(std::size_t i, const HandOver &effect)
{
    const auto known = m_agents[i].carried.find(effect.request);
    if (known == m_agents[i].carried.end()) {
        return;
    }
    const auto other = (i + 1 + m_random() % (m_agents.size() - 1)) % m_agents.size();
    const auto request = effect.request;
    auto original = known->second;
    original.facts.maxWait = effect.maxWait;
    const auto incarnation = m_agents[i].incarnation;
    const auto ended = [this, i, request, incarnation](HandoverEnd end) {
        if (m_agents[i].incarnation == incarnation) {
            step(i, [&](Gate &gate, Effects &effects) {
                handoverEnded(gate, request, end, {}, m_now, effects);
            });
        }
    };
    if (!reaches(i, other)) {
        after(networkDelay(), [ended] { ended(HandoverEnd::NotSent); });
        return;
    }
    after(networkDelay(), [this, i, other, request, original, ended] {
        auto &agent = m_agents[other];
        if (!agent.up) {
            ended(HandoverEnd::NotSent);
            return;
        }
        auto &carried = agent.carried[++agent.lastRequest];
        carried.submission = original.submission;
        carried.key = original.key;
        carried.facts = original.facts;
        carried.facts.id = agent.lastRequest;
        carried.facts.handedOver = true;
        carried.from = i;
        carried.fromRequest = request;
        const auto facts = carried.facts;
        step(other, [&](Gate &gate, Effects &effects) { arrive(gate, facts, m_now, effects); });
    });
}

void World::execute(std::size_t, const RelayAnswer &)
{
}

void World::execute(std::size_t i, const Finish &effect)
{
    auto &agent = m_agents[i];
    const auto known = agent.carried.find(effect.request);
    if (known == agent.carried.end()) {
        return;
    }
    const auto carried = known->second;
    agent.carried.erase(known);
    if (!carried.facts.handedOver) {
        const bool forgotten = m_options.mutation == Mutation::EndForgotten && chance(0.01);
        if (!forgotten) {
            after(networkDelay(), [this, carried, effect] {
                told(carried.submission, effect, carried.content, carried.whole);
            });
        }
        return;
    }
    after(networkDelay(), [this, carried, effect] {
        auto &first = m_agents[carried.from];
        const auto waiting = first.carried.find(carried.fromRequest);
        if (waiting == first.carried.end() || waiting->second.submission.id != carried.submission.id) {
            return;
        }
        waiting->second.content = carried.content;
        waiting->second.whole = carried.whole;
        const auto end = effect.outcome == Code::Answered ? HandoverEnd::Answered
            : effect.outcome == Code::RefusedNotRun       ? HandoverEnd::RefusedNotRun
                                                          : HandoverEnd::Unknown;
        step(carried.from, [&](Gate &gate, Effects &effects) {
            handoverEnded(gate, carried.fromRequest, end, effect.retryAfter, m_now, effects);
        });
    });
}

ServerFault World::drawFault()
{
    if (chance(m_options.brokenShare)) {
        return ServerFault::Truncated;
    }
    if (!m_options.faults || !chance(m_options.faultShare)) {
        return ServerFault::None;
    }
    return static_cast<ServerFault>(1 + m_random() % 7);
}

void World::arriveAtServer(std::size_t i, const std::shared_ptr<Run> &run)
{
    auto &server = m_servers[i];
    if (!server.up) {
        attemptResult(run, true, AttemptFailure::Broken, 0, true);
        return;
    }
    if (server.running >= m_options.slots) {
        server.waiting.push_back(run);
        return;
    }
    startRun(i, run);
}

void World::startRun(std::size_t i, const std::shared_ptr<Run> &run)
{
    auto &server = m_servers[i];
    const auto fault = drawFault();
    if (fault == ServerFault::Shed) {
        attemptResult(run, true, AttemptFailure::Shed, 0, true);
        return;
    }
    record(HistoryKind::RunStarted, run->request, run->submission);
    ++server.running;
    run->holdsSlot = true;
    run->serverStart = server.starts;
    const bool cold = m_now < server.coldUntil;
    m_figures.coldOverloads += cold && server.running > coldSlots ? 1 : 0;
    const auto &call = m_calls[run->request];
    const auto base = call.urgency == Urgency::Urgent ? m_options.serviceTime : m_options.scanTime;
    const double mean = std::chrono::duration<double>(base).count() * (cold ? coldFactor : 1.0);
    const double drawn = mean * std::uniform_real_distribution<double>(0.6, 1.4)(m_random);
    auto time = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(drawn));
    if (fault == ServerFault::Stall) {
        return;
    }
    after(time, [this, i, run, fault] {
        if (run->holdsSlot && run->serverStart == m_servers[i].starts) {
            endRun(i, run, fault);
        }
    });
}

void World::freeSlot(std::size_t i, const std::shared_ptr<Run> &run)
{
    auto &server = m_servers[i];
    if (!std::exchange(run->holdsSlot, false) || run->serverStart != server.starts) {
        return;
    }
    --server.running;
    while (server.running < m_options.slots && !server.waiting.empty()) {
        const auto next = server.waiting.front();
        server.waiting.erase(server.waiting.begin());
        if (!next->cancelled) {
            startRun(i, next);
        }
    }
}

void World::endRun(std::size_t i, const std::shared_ptr<Run> &run, ServerFault fault)
{
    auto &server = m_servers[i];
    const auto previous = std::exchange(server.lastRequest, run->request);
    freeSlot(i, run);
    switch (fault) {
    case ServerFault::Late:
        after(m_options.deadline,
              [this, run] { attemptResult(run, false, AttemptFailure::Broken, run->request, true); });
        return;
    case ServerFault::Crash:
        crashServer(i);
        return;
    case ServerFault::Truncated:
        attemptResult(run, m_options.mutation != Mutation::TruncatedPassed, AttemptFailure::Broken,
                      run->request, false);
        return;
    case ServerFault::Crossed:
        attemptResult(run, m_options.mutation != Mutation::CrossedPassed, AttemptFailure::Broken, previous,
                      true);
        return;
    case ServerFault::Doubled:
        attemptResult(run, false, AttemptFailure::Broken, run->request, true);
        break;
    default:
        break;
    }
    attemptResult(run, false, AttemptFailure::Broken, run->request, true);
}

void World::crashServer(std::size_t i)
{
    auto &server = m_servers[i];
    server.up = false;
    ++server.starts;
    const auto runs = std::exchange(server.runs, {});
    server.waiting.clear();
    server.running = 0;
    for (const auto &[attempt, run] : runs) {
        attemptResult(run, true, AttemptFailure::Broken, 0, true);
    }
    after(milliseconds(100 + m_random() % 400), [this, i] {
        m_servers[i].up = true;
        m_servers[i].coldUntil = m_now + milliseconds(500);
    });
}

void World::attemptResult(const std::shared_ptr<Run> &run, bool failed, AttemptFailure failure,
                          std::uint64_t content, bool whole)
{
    after(microseconds(100), [this, run, failed, failure, content, whole] {
        auto &agent = m_agents[run->agent];
        if (!agent.up || agent.incarnation != run->agentIncarnation) {
            return;
        }
        m_servers[run->agent].runs.erase(run->attempt);
        const auto known = agent.carried.find(run->gateRequest);
        if (!failed && known != agent.carried.end() && !run->cancelled) {
            known->second.content = content;
            known->second.whole = whole;
        }
        const auto told = m_options.mutation == Mutation::SentForgotten ? AttemptFailure::NotSent : failure;
        step(run->agent, [&](Gate &gate, Effects &effects) {
            if (failed) {
                attemptFailed(gate, run->gateRequest, run->attempt, told, m_now, effects);
            } else {
                answerEnded(gate, run->gateRequest, run->attempt, m_now, effects);
            }
        });
    });
}

void World::planFaults()
{
    for (milliseconds at{2500}; m_options.faults && at < m_options.duration; at += milliseconds(700)) {
        const auto i = m_random() % m_agents.size();
        const auto kind = m_random() % 4;
        after(at, [this, i, kind] {
            if (kind <= 1) {
                restartAgent(i);
            } else if (kind == 2) {
                m_servers[i].coldUntil = m_now + milliseconds(1000);
            } else {
                m_partitioned[i] = true;
                after(milliseconds(500), [this, i] { m_partitioned[i] = false; });
            }
        });
    }
}

RequestsRunFigures World::run()
{
    for (std::size_t i = 0; i < m_agents.size(); ++i) {
        startAgent(i);
        m_servers[i].coldUntil = m_now + m_options.coldTime;
    }
    spreadView();
    for (std::size_t i = 0; i < m_agents.size(); ++i) {
        after(recoveryInterval, [this, i] { recoverClaims(i); });
        after(tickInterval, [this, i] { tickAgent(i); });
    }
    planFaults();
    after(Duration::zero(), [this] { nextCall(); });
    const auto end = start + m_options.duration + m_options.deadline * (2 * m_options.maxTries);
    while (!m_events.empty() && m_events.top().time < end) {
        const auto next = m_events.top();
        m_events.pop();
        m_now = next.time;
        (*next.action)();
    }
    m_figures.history = checkHistory(m_history);
    const double seconds = std::chrono::duration<double>(m_options.duration).count();
    m_figures.goodput = static_cast<double>(m_answeredInTime) / seconds;
    m_figures.urgentAnswered = static_cast<double>(m_urgentMs.size())
        / static_cast<double>(std::max<std::uint64_t>(m_urgentSent, 1));
    m_figures.urgentP99Ms = percentile(m_urgentMs, 0.99);
    m_figures.ordinaryP99Ms = percentile(m_ordinaryMs, 0.99);
    for (const auto &agent : m_agents) {
        m_figures.handovers += agent.gate.counters.handovers;
        m_figures.hedges += agent.gate.counters.hedges;
        m_figures.retries += agent.gate.counters.retries;
        m_figures.lateAnswers += agent.gate.counters.lateAnswers;
    }
    return m_figures;
}

} // namespace

RequestsRunFigures runRequests(const RequestsRunOptions &options)
{
    return World(options).run();
}

} // namespace oriolelever::lab
