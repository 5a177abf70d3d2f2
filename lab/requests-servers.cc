#include <algorithm>

#include "requests-world.h"

namespace oriolelever::lab::requestrun {

namespace {

constexpr std::uint32_t coldSlots = 1;
constexpr double coldFactor = 3.0;

} // namespace

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
        step(run->agent, [&](Gate &gate, GateEffects &effects) {
            if (failed) {
                handleAttemptFailure(gate, run->gateRequest, run->attempt, told, m_now, effects);
            } else {
                handleAnswerEnd(gate, run->gateRequest, run->attempt, m_now, effects);
            }
        });
    });
}

} // namespace oriolelever::lab::requestrun
