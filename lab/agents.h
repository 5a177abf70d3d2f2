/// Agents of one service with their backend servers, on loopback, in one process.
#pragma once

#include <memory>
#include <vector>

#include "http-server.h"
#include "oriolelever/requests.h"

namespace oriolelever::lab {

/// Options of an agent on loopback with ephemeral ports.
RequestsOptions loopbackAgentOptions(const std::string &name, Incarnation incarnation,
                                     const Endpoint &server);

/// Agents that know each other; each has a server of its own.
class AgentCluster
{
public:
    AgentCluster(std::size_t count, const HttpServerOptions &server);

    /// Ends an agent without a shutdown.
    void stop(std::size_t i);
    void stopServer(std::size_t i);
    /// Starts the agent again at the same addresses, without a shutdown before.
    void restart(std::size_t i);
    /// Graceful shutdown, then a start at the same addresses.
    void drainAndRestart(std::size_t i);

    Endpoint endpoint(std::size_t i) const;
    std::vector<Endpoint> endpoints() const;
    std::vector<Endpoint> serverEndpoints() const;
    std::shared_ptr<const RunLedger> ledger() const;
    std::uint64_t runs() const;
    std::uint64_t ranTwice() const;
    std::uint64_t cancelled() const;

private:
    std::unique_ptr<RequestRunner> makeAgent(std::size_t i, const Endpoint &listen, const Endpoint &handover);
    void tellPeers();

    std::shared_ptr<RunLedger> m_ledger;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
    std::vector<std::unique_ptr<RequestRunner>> m_agents;
    std::vector<Incarnation> m_incarnations;
};

} // namespace oriolelever::lab
