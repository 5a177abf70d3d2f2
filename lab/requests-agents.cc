#include <fmt/format.h>

#include "requests-world.h"

namespace oriolelever::lab::requestrun {

namespace {

constexpr milliseconds callTimeout{250};
constexpr milliseconds viewDelay{1000};

} // namespace

void World::startAgent(std::size_t i)
{
    auto &agent = m_agents[i];
    GateOptions options;
    options.limiter.slots = m_options.slots;
    options.limiter.rampTime = m_options.rampTime;
    options.limiter.maxBadAnswers = m_options.fixedLimit ? UINT32_MAX : options.limiter.maxBadAnswers;
    options.retriesEnabled = m_options.retries;
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
    agent.gate.lastAttemptId = agent.incarnation << 40;
    agent.claims = {};
    agent.claims.self = {fmt::format("agent-{}", i), agent.incarnation};
    agent.claims.startedAt = m_options.warm && agent.incarnation == 1 ? m_now - std::chrono::hours(1) : m_now;
    agent.carried.clear();
    agent.up = true;
}

void World::spreadView()
{
    std::vector<AgentId> present;
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
    expireClaims(agent.claims, m_now);
    for (const auto &peer : missingRecoveries(agent.claims)) {
        const auto other = agentCalled(peer.name);
        if (!agent.up || !reaches(i, other) || !m_agents[other].claims.membersKnown) {
            continue;
        }
        const auto self = agent.claims.self;
        const auto claims = exportClaims(m_agents[other].claims, self, m_now);
        after(networkDelay() * 2, [this, i, self, name = peer.name, claims] {
            if (m_agents[i].claims.self == self) {
                importClaims(m_agents[i].claims, name, claims, m_now);
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
        if (carried.facts.fromPeer) {
            const auto from = carried.from;
            const auto request = carried.fromRequest;
            after(breakDelay, [this, from, request] {
                step(from, [&](Gate &gate, GateEffects &effects) {
                    handleHandoverEnd(gate, request, HandoverEnd::Unknown, {}, m_now, effects);
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
        step(i, [&](Gate &gate, GateEffects &effects) { tick(gate, m_now, effects); });
    }
}

void World::step(std::size_t i, const std::function<void(Gate &, GateEffects &)> &decide)
{
    if (!m_agents[i].up) {
        return;
    }
    GateEffects effects;
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
            step(i, [&](Gate &gate, GateEffects &effects) {
                handleClaimEnd(gate, request, ClaimVerdict::Fresh, {}, m_now, effects);
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
    carried.round->requirement = freshnessRequirement(carried.key, agent.claims.options, wallClock());
    if (m_options.mutation == Mutation::MemoryIgnored) {
        carried.round->requirement = {};
    }
    const auto holders = carried.claim.holders;
    if (holders.empty()) {
        const auto request = effect.request;
        after(networkDelay(), [this, i, request] {
            step(i, [&](Gate &gate, GateEffects &effects) {
                handleClaimEnd(gate, request, ClaimVerdict::Unreachable, milliseconds(100), m_now, effects);
            });
        });
    }
    for (const auto &holder : holders) {
        askHolder(i, effect.request, holder);
    }
}

void World::askHolder(std::size_t i, RequestId request, const AgentId &holder)
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
        const auto reply = handleClaim(m_agents[other].claims, claimRequest, m_now);
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
        round.unreachableHolders.insert(holder);
    } else {
        round.replies[holder] = *reply;
    }
    const auto decision = decide(round);
    if (decision == RoundDecision::Waiting) {
        return;
    }
    const auto answer = keptAnswer(round);
    const auto wait = timeUntilProven(round);
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
    step(i, [&](Gate &gate, GateEffects &effects) {
        handleClaimEnd(gate, request, verdict, wait, m_now, effects);
    });
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
            recordSendStart(m_agents[i].gate, run->gateRequest, run->attempt);
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
    known->second.to = other;
    auto original = known->second;
    original.facts.maxWait = effect.maxWait;
    const auto incarnation = m_agents[i].incarnation;
    const auto ended = [this, i, request, incarnation](HandoverEnd end) {
        if (m_agents[i].incarnation == incarnation) {
            step(i, [&](Gate &gate, GateEffects &effects) {
                handleHandoverEnd(gate, request, end, {}, m_now, effects);
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
        carried.facts.fromPeer = true;
        carried.from = i;
        carried.fromRequest = request;
        const auto facts = carried.facts;
        step(other, [&](Gate &gate, GateEffects &effects) { handleRequest(gate, facts, m_now, effects); });
    });
}

void World::execute(std::size_t i, const CancelHandover &effect)
{
    const auto known = m_agents[i].carried.find(effect.request);
    if (known == m_agents[i].carried.end()) {
        return;
    }
    const auto to = known->second.to;
    const auto submission = known->second.submission.id;
    after(networkDelay(), [this, i, to, submission] {
        for (const auto &[id, carried] : m_agents[to].carried) {
            if (carried.facts.fromPeer && carried.from == i && carried.submission.id == submission) {
                const auto request = id;
                step(to, [&](Gate &gate, GateEffects &effects) {
                    handleCallerGone(gate, request, m_now, effects);
                });
                return;
            }
        }
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
    if (!carried.facts.fromPeer) {
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
        step(carried.from, [&](Gate &gate, GateEffects &effects) {
            handleHandoverEnd(gate, carried.fromRequest, end, effect.retryAfter, m_now, effects);
        });
    });
}

} // namespace oriolelever::lab::requestrun
