/// World of the concurrent run of requests: callers, agents and backend servers on one queue of timed
/// actions.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "requests.h"

namespace oriolelever::lab::requestrun {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds tickInterval{5};
constexpr milliseconds recoveryInterval{300};
constexpr milliseconds breakDelay{1}; ///< Until the other end sees a broken connection.
constexpr TimePoint start{std::chrono::hours(1000)};

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
    std::size_t to = 0; ///< Agent that it was handed over to.
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
    void step(std::size_t i, const std::function<void(Gate &, GateEffects &)> &decide);
    void execute(std::size_t i, const StartClaim &effect);
    void execute(std::size_t i, const SettleClaim &effect);
    void execute(std::size_t i, const SendAttempt &effect);
    void execute(std::size_t i, const CancelAttempt &effect);
    void execute(std::size_t i, const HandOver &effect);
    void execute(std::size_t i, const CancelHandover &effect);
    void execute(std::size_t i, const RelayAnswer &effect);
    void execute(std::size_t i, const Finish &effect);
    void askHolder(std::size_t i, RequestId request, const AgentId &holder);
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

} // namespace oriolelever::lab::requestrun
