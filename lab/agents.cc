#include "agents.h"

#include <future>
#include <stdexcept>

#include <fmt/format.h>

namespace oriolelever::lab {

namespace {

Endpoint loopback()
{
    Endpoint endpoint;
    parseEndpoint("127.0.0.1:0", endpoint);
    return endpoint;
}

std::string agentName(std::size_t i)
{
    return fmt::format("agent-{}", i);
}

} // namespace

RequestsOptions loopbackAgentOptions(const std::string &name, Incarnation incarnation, const Endpoint &server)
{
    RequestsOptions options;
    options.self = {name, incarnation};
    options.front.listen = loopback();
    options.upstream.server = server;
    options.handover.listen = loopback();
    options.handover.tls.plain = true;
    // All clocks are the same one.
    options.claims.clockTolerance = std::chrono::milliseconds(0);
    options.linger = std::chrono::milliseconds(100);
    return options;
}

AgentCluster::AgentCluster(std::size_t count, const HttpServerOptions &server)
    : m_ledger(makeRunLedger())
{
    for (std::size_t i = 0; i < count; ++i) {
        auto options = server;
        options.listen = loopback();
        options.seed += i;
        m_servers.push_back(std::make_unique<HttpServer>(options, m_ledger));
        if (!m_servers.back()->start()) {
            throw std::runtime_error("backend server cannot listen");
        }
        m_incarnations.push_back(1);
        m_agents.push_back(makeAgent(i, loopback(), loopback()));
    }
    tellPeers();
}

std::unique_ptr<RequestRunner> AgentCluster::makeAgent(std::size_t i, const Endpoint &listen,
                                                       const Endpoint &handover)
{
    auto options = loopbackAgentOptions(agentName(i), m_incarnations[i], m_servers[i]->endpoint());
    options.front.listen = listen;
    options.handover.listen = handover;
    auto agent = std::make_unique<RequestRunner>(options);
    handleError([&]() -> Result<void> { return agent->start(); },
                [](const Error &error) { throw std::runtime_error(error.text); });
    return agent;
}

void AgentCluster::tellPeers()
{
    for (std::size_t i = 0; i < m_agents.size(); ++i) {
        std::vector<RequestPeer> peers;
        for (std::size_t j = 0; j < m_agents.size(); ++j) {
            if (j != i) {
                peers.push_back({{agentName(j), m_incarnations[j]}, m_agents[j]->handoverEndpoint(), true});
            }
        }
        m_agents[i]->setPeers(peers);
    }
}

void AgentCluster::stop(std::size_t i)
{
    m_agents[i]->stop();
}

void AgentCluster::stopServer(std::size_t i)
{
    m_servers[i]->stop();
}

void AgentCluster::restart(std::size_t i)
{
    const auto listen = m_agents[i]->listenEndpoint();
    const auto handover = m_agents[i]->handoverEndpoint();
    m_agents[i]->stop();
    ++m_incarnations[i];
    m_agents[i] = makeAgent(i, listen, handover);
    tellPeers();
}

void AgentCluster::drainAndRestart(std::size_t i)
{
    std::promise<void> drained;
    m_agents[i]->drain([&] { drained.set_value(); });
    drained.get_future().wait();
    restart(i);
}

Endpoint AgentCluster::endpoint(std::size_t i) const
{
    return m_agents[i]->listenEndpoint();
}

std::vector<Endpoint> AgentCluster::endpoints() const
{
    std::vector<Endpoint> all;
    for (const auto &agent : m_agents) {
        all.push_back(agent->listenEndpoint());
    }
    return all;
}

std::vector<Endpoint> AgentCluster::serverEndpoints() const
{
    std::vector<Endpoint> all;
    for (const auto &server : m_servers) {
        all.push_back(server->endpoint());
    }
    return all;
}

std::shared_ptr<const RunLedger> AgentCluster::ledger() const
{
    return m_ledger;
}

std::uint64_t AgentCluster::runs() const
{
    std::uint64_t sum = 0;
    for (const auto &server : m_servers) {
        sum += server->figures().runs;
    }
    return sum;
}

std::uint64_t AgentCluster::cancelled() const
{
    std::uint64_t sum = 0;
    for (const auto &server : m_servers) {
        sum += server->figures().cancelled;
    }
    return sum;
}

std::uint64_t AgentCluster::ranTwice() const
{
    std::uint64_t sum = 0;
    for (const auto &server : m_servers) {
        sum += server->figures().ranTwice;
    }
    return sum;
}

} // namespace oriolelever::lab
