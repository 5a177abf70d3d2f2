/// The HTTP gate of one backend server: receives requests, decides about them, forwards them to the server,
/// and exchanges claims and handovers with other agents, on a thread of its own.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "oriolelever/claim-link.h"
#include "oriolelever/front.h"
#include "oriolelever/kernel.h"
#include "oriolelever/model.h"
#include "oriolelever/request.h"
#include "oriolelever/settings.h"
#include "oriolelever/upstream.h"

namespace oriolelever {

/// Options of `RequestRunner`.
struct RequestsOptions
{
    AgentId self; ///< Name and incarnation of the agent.
    GateOptions gate;
    FrontOptions front;
    UpstreamOptions upstream;
    ClaimOptions claims;
    StreamsOptions handover; ///< Listener for handovers and claims of other agents of the service.
    /// Targets that begin with one of these are urgent.
    std::vector<std::string> urgentPaths{"/status", "/dossier", "/confirmation", "/feed"};
    std::chrono::milliseconds deadline{5000}; ///< Time allowed for a request without a deadline header.
    std::chrono::milliseconds maxDeadline{60'000}; ///< Longest time allowed for any request.
    std::chrono::milliseconds tickInterval{5}; ///< Interval of `tick` of the gate.
    std::chrono::milliseconds linger{1000}; ///< Shortest time in which a drain asks connections to close.
};

/// Returns the options from the settings `[process]`, `[control]`, `[server]` and `[requests]`.
RequestsOptions requestsOptions(const Settings &settings, Incarnation incarnation);

/// Another agent of the service.
struct RequestPeer
{
    AgentId agent;
    Endpoint handover; ///< Address for handovers and claims.
    bool acceptsRequests = false; ///< It is ready or cold, not ordered to drain, and its zone is in.
};

/// Returns the agents of `service` in `view` other than `self`. Agents that are down are included, since they
/// stay holders of claims.
std::vector<RequestPeer> peersFrom(const ClusterView &view, const std::string &service,
                                   const std::string &self);

/// Counters and current values of the gate, as of its latest tick.
struct RequestsStatus
{
    GateCounters gate;
    UpstreamCounters upstream;
    std::uint32_t running = 0; ///< Attempts without an end.
    double limit = 0.0; ///< Concurrency limit.
    std::size_t waiting = 0; ///< Requests in the queue.
    std::size_t connections = 0; ///< Open connections of callers.
    std::size_t claims = 0; ///< Claims that this agent holds.
    std::uint64_t handoversAccepted = 0; ///< Requests received from other agents.
};

/// Runs the gate on its own thread. All functions but `start` and `stop` are thread-safe.
///
///     RequestRunner runner(options);
///     BOOST_LEAF_CHECK(runner.start());
class RequestRunner
{
public:
    explicit RequestRunner(RequestsOptions options);
    ~RequestRunner();

    /// Sets a function that is called on the gate's thread with the outcome and duration of each request of a
    /// caller, but not of handovers from other agents. Call it before `start`.
    void onFinished(std::function<void(Code outcome, Duration took)> observer);
    /// Opens both listeners and starts the thread.
    Result<void> start();
    /// Sets the other agents of the service.
    void setPeers(std::vector<RequestPeer> peers);
    /// Sets the slots of the server, the time allowed for a request without a deadline header, and the
    /// duration of the slow start.
    void setLimits(std::uint32_t slots, std::chrono::milliseconds deadline,
                   std::chrono::milliseconds rampTime);
    /// Begins the drain: new requests are handed over or refused. Calls `done` on the gate's thread once no
    /// request is left.
    void drain(std::function<void()> done);
    /// Closes all connections and joins the thread.
    void stop();

    /// Address that callers connect to; valid after `start`.
    Endpoint listenEndpoint() const;
    /// Address that other agents connect to; valid after `start`.
    Endpoint handoverEndpoint() const;
    RequestsStatus status() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// The service "requests" of an agent.
class Requests : public Service
{
public:
    Requests(const Settings &settings, Incarnation incarnation);
    ~Requests() override;

    /// Starts the gate. Uses the services "records" for peers and limits, "metrics" and "levels", each if it
    /// is there.
    Result<void> start(Kernel &kernel) override;
    void beginDrain() override;
    void drain(std::function<void()> done) override;
    void stop() override;

    Endpoint listenEndpoint() const;
    Endpoint handoverEndpoint() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oriolelever
