#include "requests.h"

#include <algorithm>

#include "http-callers.h"
#include "requests-world.h"

namespace oriolelever::lab {

namespace requestrun {

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
                         .hasIdempotencyKey = true,
                         .arrived = m_now,
                         .deadline = m_now + m_options.deadline};
        const auto facts = carried.facts;
        step(submission.agent,
             [&](Gate &gate, GateEffects &effects) { handleRequest(gate, facts, m_now, effects); });
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

} // namespace requestrun

RequestsRunFigures runRequests(const RequestsRunOptions &options)
{
    return requestrun::World(options).run();
}

} // namespace oriolelever::lab
