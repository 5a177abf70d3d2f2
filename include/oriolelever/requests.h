/// The HTTP gate of one backend server: front, gate, upstream, claims and handover on a thread of their own.
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

struct RequestsOptions
{
    Holder self; ///< Name and incarnation of the agent.
    GateOptions gate;
    FrontOptions front;
    UpstreamOptions upstream;
    ClaimOptions claims;
    StreamsOptions handover; ///< Listener for other agents of the service.
    std::vector<std::string> urgentPaths{"/status", "/dossier", "/confirmation", "/feed"};
    std::chrono::milliseconds deadline{5000}; ///< Of a request that names none.
    std::chrono::milliseconds maxDeadline{60'000};
    std::chrono::milliseconds tickInterval{5};
    std::chrono::milliseconds linger{1000}; ///< A shutdown tells connections to close for at least this long.
};

/// Options from `[process]`, `[control]`, `[server]` and `[requests]`.
RequestsOptions requestsOptions(const Settings &settings, Incarnation incarnation);

/// Another agent of the service.
struct RequestPeer
{
    Holder holder;
    Endpoint handover;
    bool takesRequests = false; ///< Ready, and its zone is in.
};

/// Peers of `service` in `view`, without `self`; those that are down are kept as holders of claims.
std::vector<RequestPeer> peersFrom(const ClusterView &view, const std::string &service,
                                   const std::string &self);

struct RequestsStatus
{
    GateCounters gate;
    UpstreamCounters upstream;
    std::uint32_t running = 0;
    double limit = 0.0;
    std::size_t waiting = 0;
    std::size_t connections = 0;
    std::size_t claims = 0;
    std::uint64_t handoversTaken = 0;
};

/// Runs the gate on its own thread. Calls are thread-safe but for `start` and `stop`.
///
///     RequestRunner runner(options);
///     BOOST_LEAF_CHECK(runner.start());
class RequestRunner
{
public:
    explicit RequestRunner(RequestsOptions options);
    ~RequestRunner();

    /// Tells outcome and time of each request of a caller, on the thread. Set before the start.
    void onFinished(std::function<void(Code outcome, Duration took)> observer);
    /// Opens both listeners and starts the thread.
    Result<void> start();
    void setPeers(std::vector<RequestPeer> peers);
    void setLimits(std::uint32_t slots, std::chrono::milliseconds deadline,
                   std::chrono::milliseconds rampTime);
    /// New requests are handed over or refused; `done` is called on the thread once none runs.
    void drain(std::function<void()> done);
    void stop();

    Endpoint listenEndpoint() const;
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

    /// Finds "records" for peers and limits, and "admin", "metrics" and "levels" if they are there.
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
