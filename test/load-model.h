/// Balancers, agents, backend servers and callers in virtual time, for tests that play a load and check what
/// callers get. Balancers and agents are the program's own state and functions; the model only carries their
/// packets. Callers are 3 ms from the balancers and repeat opening packets after 200 and 600 ms. They give up
/// an attempt after 1.4 s or at a reset, a request after three attempts or at its time limit, without a word.
///
///     LoadModel model({.balancers = 4, .servers = 7, .slots = 5});
///     model.addLoad(lookup, 300, seconds(5));
///     model.run(seconds(8));
///     EXPECT_EQ(model.results[&lookup].unserved(), 0);
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <random>

#include "oriolelever/server-gate.h"
#include "oriolelever/steering.h"

namespace oriolelever {

/// Requests of one kind, each on a flow of its own.
struct LoadKind
{
    RouteTerms terms; ///< As balancers send them: times rounded down, see `roundToEncodable`.
    std::chrono::milliseconds work{30}; ///< Mean time at a slot; varies by half of it.
    Endpoint address; ///< Virtual address of its route.
    std::chrono::milliseconds goal{250}; ///< As callers have it.
    std::chrono::milliseconds timeLimit{3000}; ///< As callers have it, from their first attempt.
};

/// What callers of a kind got.
struct LoadResult
{
    int sent = 0;
    int inTime = 0; ///< Answered within the goal.
    int late = 0; ///< Answered within the time limit.
    int refusedTries = 0;

    int unserved() const
    {
        return sent - inTime - late;
    }
};

struct LoadModelOptions
{
    std::size_t balancers = 1; ///< All in the servers' zone.
    std::size_t servers = 1;
    std::uint16_t slots = 2;
    std::size_t serverQueue = 20; ///< Requests that a server holds beyond its slots.
    std::size_t callers = 100; ///< Addresses.
    std::chrono::milliseconds reportPeriod{200};
    std::vector<const LoadKind *> kinds;
    SteeringOptions steering;
    GateOptions gate;
};

/// One service in one availability zone.
class LoadModel
{
public:
    using milliseconds = std::chrono::milliseconds;

    explicit LoadModel(LoadModelOptions options)
        : m_options(std::move(options))
        , m_balancers(m_options.balancers)
        , m_agents(m_options.servers)
    {
        for (std::size_t i = 0; i < m_agents.size(); ++i) {
            m_hosts.push_back(ipv4Address(0x0a000001 + static_cast<std::uint32_t>(i)));
            auto &gate = m_agents[i].gate;
            gate.options = m_options.gate;
            gate.options.service = service;
            gate.agentStartedAt = now;
            gate.coldFlowsPerSecond = noColdLimit;
            startServer(i, milliseconds(0));
            every(milliseconds(100), [this, i] {
                markOverdueRequests(m_agents[i].gate, now);
                serveQueue(i);
            });
        }
        RoutingTable table{.position = {.revision = 1}, .version = 1};
        for (const auto *kind : m_options.kinds) {
            table.routes[kind->address] = {.services = {{service, 1}}, .terms = kind->terms};
        }
        for (std::size_t i = 0; i < m_balancers.size(); ++i) {
            auto &state = m_balancers[i];
            state.options = m_options.steering;
            state.options.zone = zone;
            applyTable(state, table, now);
            applyAgentList(state, m_hosts, now);
            for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
                setReportPeriod(state, static_cast<BackendIndex>(agent), m_options.reportPeriod, now);
            }
            every(m_options.reportPeriod, [this, i] { reportTo(i); });
        }
        run(milliseconds(1000));
    }

    LoadModel(const LoadModel &) = delete;
    LoadModel &operator=(const LoadModel &) = delete;

    void run(Duration time)
    {
        const auto end = now + time;
        while (!m_events.empty() && m_events.begin()->first < end) {
            auto event = m_events.extract(m_events.begin());
            now = event.key();
            event.mapped()();
        }
        now = end;
    }

    /// Adds requests at random moments from now on.
    void addLoad(const LoadKind &kind, double perSecond, std::chrono::milliseconds time)
    {
        std::exponential_distribution<double> pause(perSecond);
        for (double at = pause(m_random); at < std::chrono::duration<double>(time).count();
             at += pause(m_random)) {
            after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at)),
                  [this, &kind] { begin(kind); });
        }
    }

    /// Starts a server, cold for a while; the former one loses its work, and its agent learns of it at once.
    void startServer(std::size_t index, std::chrono::milliseconds coldTime)
    {
        auto &agent = m_agents[index];
        ++agent.start;
        agent.running = 0;
        agent.queue.clear();
        agent.coldUntil = now + coldTime;
        takeAllRequests(agent.gate.schedule);
        removeAllFlows(agent.gate, now);
        applyHeartbeat(agent.gate,
                       {.id = "i-" + std::to_string(index) + "-" + std::to_string(agent.start),
                        .startTimeMs = 1000 + agent.start,
                        .sequence = 1,
                        .service = "register-desk",
                        .zone = "a",
                        .slots = m_options.slots,
                        .coldLeft = coldTime},
                       now, milliseconds(1000));
        for (std::size_t i = 0; i < m_balancers.size() && agent.start > 1; ++i) {
            reportTo(i);
        }
    }

    /// The server resets the flows of requests until further notice, and accepts new ones.
    void setResetting(std::size_t server, bool isResetting)
    {
        m_agents[server].isResetting = isResetting;
    }

    /// All hosts lose power for `time`, and come back with servers that are cold for `coldTime`.
    void losePower(milliseconds time, milliseconds coldTime)
    {
        m_outageEnd = now + time;
        for (std::size_t i = 0; i < m_agents.size(); ++i) {
            startServer(i, time + coldTime);
        }
    }

    std::map<const LoadKind *, LoadResult> results;
    std::vector<int> opened; ///< Opening packets that each server got.
    TimePoint now{std::chrono::hours(1)};

private:
    static constexpr milliseconds callerDelay{3};
    static constexpr std::chrono::microseconds linkDelay{500};
    static constexpr int maxTries = 3;
    static constexpr double coldFactor = 1.6; ///< Work of a cold server relative to a warm one.

    struct Request
    {
        const LoadKind *kind = nullptr;
        FlowKey flow; ///< Of the current try.
        TimePoint sentAt{};
        int tries = 0;
        bool isOpen = false;
        bool isAtServer = false;
        bool isDone = false;
    };

    struct Agent
    {
        GateState gate;
        std::deque<FlowKey> queue; ///< Within the server.
        std::size_t running = 0;
        bool isResetting = false;
        std::uint64_t start = 0;
        TimePoint coldUntil{};
    };

    void after(Duration delay, std::function<void()> event)
    {
        m_events.emplace(now + delay, std::move(event));
    }

    // Begins at a random moment of the first period.
    void every(milliseconds period, const std::function<void()> &event)
    {
        after(std::chrono::duration_cast<Duration>(period * (static_cast<double>(m_random() % 1000) / 1000)),
              [this, period, event] { repeat(period, event); });
    }

    void repeat(milliseconds period, const std::function<void()> &event)
    {
        event();
        after(period, [this, period, event] { repeat(period, event); });
    }

    void reportTo(std::size_t balancer)
    {
        for (std::size_t i = 0; i < m_agents.size(); ++i) {
            applyReport(m_balancers[balancer], static_cast<BackendIndex>(i),
                        makeReport(m_agents[i].gate, 1, now, false), now);
        }
    }

    void begin(const LoadKind &kind)
    {
        const auto index = m_requests.size();
        m_requests.push_back({.kind = &kind, .sentAt = now});
        ++results[&kind].sent;
        after(kind.timeLimit, [this, index] { m_requests[index].isDone = true; });
        open(index);
    }

    void open(std::size_t index)
    {
        auto &request = m_requests[index];
        if (request.isDone || request.tries == maxTries) {
            return;
        }
        ++request.tries;
        request.isOpen = false;
        request.isAtServer = false;
        const auto caller = static_cast<std::uint32_t>(index % m_options.callers);
        request.flow = {.caller = {ipv4Address(0xc0000000 + caller),
                                   static_cast<std::uint16_t>(1024 + ++m_flows % 60'000)},
                        .service = request.kind->address};
        m_byFlow[request.flow] = index;
        const auto balancer = m_random() % m_balancers.size();
        for (std::uint32_t copy = 0; copy < 3; ++copy) {
            after(waitBeforeCopy(copy) + callerDelay, [this, index, balancer, copy, flow = request.flow] {
                if (m_requests[index].flow == flow && !m_requests[index].isOpen) {
                    steer(balancer, packet(flow, {.syn = true, .acknowledgement = copy}));
                }
            });
        }
        after(milliseconds(1400), [this, index, flow = request.flow] {
            if (m_requests[index].flow == flow && !m_requests[index].isOpen) {
                open(index);
            }
        });
    }

    static Segment packet(const FlowKey &flow, Segment segment)
    {
        segment.source = flow.caller;
        segment.destination = flow.service;
        return segment;
    }

    void steer(std::size_t balancer, const Segment &segment)
    {
        if (now < m_outageEnd) {
            return;
        }
        act(balancer, segment, steerCallerPacket(m_balancers[balancer], segment, now));
    }

    void act(std::size_t balancer, const Segment &segment, const SteeringDecision &decision)
    {
        if (decision.action == SteeringAction::Reset) {
            after(callerDelay, [this, flow = flowFromCaller(segment)] { refuse(flow); });
        }
        if (decision.action != SteeringAction::Forward) {
            return;
        }
        after(linkDelay, [this, balancer, segment, decision] { arrive(balancer, segment, decision); });
    }

    void refuse(const FlowKey &flow)
    {
        const auto index = m_byFlow[flow];
        if (m_requests[index].flow != flow || m_requests[index].isOpen || m_requests[index].isDone) {
            return;
        }
        ++results[m_requests[index].kind].refusedTries;
        open(index);
    }

    // A caller's packet at an agent, which does what `GateNode` does with it.
    void arrive(std::size_t balancer, const Segment &segment, const SteeringDecision &decision)
    {
        auto &gate = m_agents[decision.backend].gate;
        const auto &terms = m_requests[m_byFlow[flowFromCaller(segment)]].kind->terms;
        const auto admitted = admit(gate, segment, service, now, decision.mayReturnBusy, terms);
        if (admitted.action == GateAction::Deliver) {
            deliver(decision.backend, segment);
        } else if (admitted.action == GateAction::Queue) {
            WaitingWork opening{.flow = flowFromCaller(segment),
                                .isOpening = true,
                                .terms = terms,
                                .intendedService = service,
                                .queuedAt = now,
                                .waitedBefore = waitBeforeCopy(segment.acknowledgement)};
            opening.packets.push_back({.balancer = ipv4Address(static_cast<std::uint32_t>(balancer))});
            const auto added = addOpening(gate.schedule, gate.options.schedule, currentPace(gate, now),
                                          std::move(opening), now);
            if (added.refusal) {
                sendBack(decision.backend, added.refusal->work, ReturnReason::Full);
            }
        } else if (admitted.action == GateAction::Return) {
            const auto pending
                = admitted.reason == ReturnReason::Busy ? pendingRequests(gate, now) : std::uint32_t{0};
            sendBack(decision.backend, balancer, segment, admitted.reason, pending);
        }
        serveQueue(decision.backend);
    }

    void sendBack(std::size_t agent, const WaitingWork &work, ReturnReason reason)
    {
        sendBack(agent, ipv4Number(work.packets.front().balancer), packet(work.flow, {.syn = true}), reason,
                 0);
    }

    void sendBack(std::size_t agent, std::size_t balancer, const Segment &segment, ReturnReason reason,
                  std::uint32_t pending)
    {
        after(linkDelay, [this, agent, balancer, segment, reason, pending] {
            auto &state = m_balancers[balancer];
            const auto from = static_cast<BackendIndex>(agent);
            if (reason == ReturnReason::Busy) {
                recordBusyServer(state, from, pending);
            }
            act(balancer, segment, steerReturnedPacket(state, segment, from, reason, {}, now));
        });
    }

    void serveQueue(std::size_t index)
    {
        auto &gate = m_agents[index].gate;
        const auto &options = gate.options.schedule;
        OpeningRefusal refusal;
        while (takeExpired(gate.schedule, options, currentPace(gate, now), now, refusal)) {
            sendBack(index, refusal.work, ReturnReason::Full);
        }
        NextWork next;
        while (!isBusy(gate, now) && takeNext(gate.schedule, options, currentPace(gate, now), now, next)) {
            const auto &work = next.work;
            const auto decision = admitQueued(gate, work, now);
            if (decision.action == GateAction::Return) {
                sendBack(index, work, decision.reason);
                continue;
            }
            deliver(index, packet(work.flow, {.syn = true}));
        }
    }

    // A caller's packet at the server.
    void deliver(std::size_t index, const Segment &segment)
    {
        auto &agent = m_agents[index];
        const auto flow = flowFromCaller(segment);
        auto &request = m_requests[m_byFlow[flow]];
        if (segment.opens()) {
            opened.resize(m_agents.size());
            ++opened[index];
            answer(index, flow, true);
            after(callerDelay, [this, index, flow] { confirm(index, flow); });
            return;
        }
        if (segment.payloadSize == 0 || request.flow != flow || std::exchange(request.isAtServer, true)) {
            return;
        }
        if (agent.isResetting
            || agent.running + agent.queue.size() >= m_options.slots + m_options.serverQueue) {
            resetRequest(index, flow);
            return;
        }
        agent.queue.push_back(flow);
        startRequests(index);
    }

    // The caller gets the server's SYN+ACK and sends its request, if it still waits.
    void confirm(std::size_t index, const FlowKey &flow)
    {
        auto &request = m_requests[m_byFlow[flow]];
        if (request.flow != flow || request.isDone) {
            return;
        }
        request.isOpen = true;
        after(callerDelay, [this, index, flow] {
            const auto segment
                = packet(flow, {.ack = true, .sequence = 1, .acknowledgement = 501, .payloadSize = 90});
            auto &gate = m_agents[index].gate;
            if (now < m_outageEnd) {
                return;
            }
            if (admit(gate, segment, service, now).action == GateAction::Deliver) {
                deliver(index, segment);
            }
        });
    }

    // The server resets the flow. Its caller tries again only if the request may be repeated.
    void resetRequest(std::size_t index, const FlowKey &flow)
    {
        recordServerPacket(m_agents[index].gate,
                           {.source = flow.service, .destination = flow.caller, .rst = true}, now);
        after(callerDelay, [this, flow] {
            const auto request = m_byFlow[flow];
            if (m_requests[request].flow == flow && m_requests[request].kind->terms.isRepeatable) {
                open(request);
            }
        });
    }

    void startRequests(std::size_t index)
    {
        auto &agent = m_agents[index];
        while (agent.running < m_options.slots && !agent.queue.empty()) {
            const auto flow = agent.queue.front();
            agent.queue.pop_front();
            ++agent.running;
            std::uniform_real_distribution<double> variation(0.5, 1.5);
            const double factor = variation(m_random) * (now < agent.coldUntil ? coldFactor : 1);
            const auto work
                = std::chrono::duration_cast<Duration>(m_requests[m_byFlow[flow]].kind->work * factor);
            after(work, [this, index, flow, start = agent.start] {
                if (m_agents[index].start == start) {
                    finish(index, flow);
                }
            });
        }
    }

    void finish(std::size_t index, const FlowKey &flow)
    {
        --m_agents[index].running;
        startRequests(index);
        answer(index, flow, false);
        auto &request = m_requests[m_byFlow[flow]];
        if (request.flow == flow && !std::exchange(request.isDone, true)) {
            auto &result = results[request.kind];
            const auto time = now + Duration(callerDelay) - request.sentAt;
            ++(time <= request.kind->goal ? result.inTime : result.late);
            after(2 * callerDelay, [this, index, flow] { close(index, flow); });
        }
        serveQueue(index);
    }

    void close(std::size_t index, const FlowKey &flow)
    {
        admit(m_agents[index].gate, packet(flow, {.ack = true, .fin = true, .acknowledgement = 601}), service,
              now);
        recordServerPacket(m_agents[index].gate,
                           {.source = flow.service, .destination = flow.caller, .ack = true, .fin = true},
                           now);
    }

    void answer(std::size_t index, const FlowKey &flow, bool opens)
    {
        recordServerPacket(m_agents[index].gate,
                           {.source = flow.service,
                            .destination = flow.caller,
                            .syn = opens,
                            .ack = true,
                            .sequence = opens ? 500U : 501U,
                            .payloadSize = opens ? 0U : 600U},
                           now);
    }

    static inline const ServiceId service = idOf<ServiceId>("register-desk");
    static inline const ZoneId zone = idOf<ZoneId>("a");

    LoadModelOptions m_options;
    std::vector<SteeringState> m_balancers;
    std::vector<Agent> m_agents;
    std::vector<IpAddress> m_hosts;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<Request> m_requests;
    std::unordered_map<FlowKey, std::size_t> m_byFlow;
    TimePoint m_outageEnd{}; ///< No host has power before.
    std::uint32_t m_flows = 0;
    std::mt19937 m_random{11};
};

} // namespace oriolelever
