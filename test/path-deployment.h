/// A complete packet path in one process for tests: fabric, balancers, agents and backend servers on
/// loopback. The tests publish the records; there is no control plane.
#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "fabric.h"
#include "oriolelever/agent-path.h"
#include "oriolelever/balancer-path.h"
#include "packet-server.h"

namespace oriolelever::test {

inline Endpoint endpointOf(std::string_view text)
{
    Endpoint endpoint;
    EXPECT_TRUE(parseEndpoint(text, endpoint)) << text;
    return endpoint;
}

/// Opens a UDP socket at a free port of 127.0.0.1.
inline FileDescriptor openLoopback()
{
    return handleError([] { return openDatagramSocket(endpointOf("127.0.0.1:0")); },
                       [](const Error &) { return FileDescriptor(); });
}

/// Returns whether `attempt` succeeds; reports its error as a test failure otherwise.
inline bool succeeds(const std::function<Result<void>()> &attempt)
{
    return handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(attempt());
            return true;
        },
        [](const Error &error) {
            ADD_FAILURE() << error.text;
            return false;
        });
}

/// Polls `condition` until it holds. Returns false after 10 s.
inline bool waitFor(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

struct DeploymentOptions
{
    std::size_t balancers = 2;
    std::size_t servers = 3;
    Protocol protocol = Protocol::Tcp;
    std::string address = "198.51.100.10:443"; ///< Virtual address and port of the service.
    std::string outerAddress = "127.0.0.1:0"; ///< Listen address of every process, outside of the tunnel.
    std::string key; ///< Tag key of balancers and agents; empty for none.
    double flowsPerSecond = 200; ///< New flows that the fabric opens.
    std::size_t threads = 1; ///< Packet threads of each balancer.
    std::uint16_t mtu = 1500; ///< Bytes.
    std::size_t payloadSize = 64; ///< Of each packet, in bytes.
    std::chrono::milliseconds patience{10000}; ///< A flow without an answer for this time is broken.
};

/// Balancers "b0", "b1", ... and servers "s0", "s1", ... of the service "sportello". Servers are alternately
/// in the zones "milano-a" and "bergamo". The fabric opens flows from the start.
class Deployment
{
public:
    /// A backend server and its agent.
    struct Server
    {
        std::string name;
        std::string zone;
        Announcement announcement;
        std::uint64_t sequence = 1; ///< Of the next announcement of this incarnation.
        std::unique_ptr<lab::PacketServer> server;
        std::unique_ptr<AgentPath> agent; ///< Null while the agent is killed.
    };

    explicit Deployment(const DeploymentOptions &options)
        : m_options(options)
        , m_keys(handleError([&] { return parseTagKeys(options.key, ""); },
                             [](const Error &) { return TagKeys{}; }))
    {
        const lab::FabricService service{"sportello", endpointOf(options.address), options.protocol};
        m_fabric
            = std::make_unique<lab::Fabric>(lab::FabricOptions{.listen = endpointOf(options.outerAddress),
                                                               .services = {service},
                                                               .flowsPerSecond = options.flowsPerSecond,
                                                               .packetGap = std::chrono::milliseconds(20),
                                                               .flowTime = std::chrono::milliseconds(300),
                                                               .payloadSize = options.payloadSize,
                                                               .patience = options.patience});
        EXPECT_TRUE(succeeds([&] { return m_fabric->start(); }));
        putService();
        for (std::size_t i = 0; i < options.servers; ++i) {
            addServer(i);
        }
        for (std::size_t i = 0; i < options.balancers; ++i) {
            addBalancer();
        }
        publish();
        useBalancers(options.balancers);
    }

    ~Deployment()
    {
        m_fabric->stop();
    }

    lab::Fabric &fabric()
    {
        return *m_fabric;
    }

    Server &server(std::size_t index)
    {
        return m_servers[index];
    }

    BalancerPath &balancer(std::size_t index)
    {
        return *m_balancers[index];
    }

    /// Lets the fabric send to the first `count` balancers.
    void useBalancers(std::size_t count)
    {
        std::vector<lab::FabricBalancer> balancers;
        for (std::size_t i = 0; i < count; ++i) {
            balancers.push_back(
                {.name = "b" + std::to_string(i), .data = m_balancers[i]->local(), .admin = {}});
        }
        m_fabric->setBalancers(balancers);
    }

    void addBalancer()
    {
        m_balancers.push_back(
            std::make_unique<BalancerPath>(BalancerPathOptions{.listen = endpointOf(m_options.outerAddress),
                                                               .threads = m_options.threads,
                                                               .keys = m_keys,
                                                               .mtu = m_options.mtu,
                                                               .returnEndpoint = m_fabric->local()}));
        EXPECT_TRUE(succeeds([&] { return m_balancers.back()->start(); }));
    }

    /// Records the server's announcement with `state`; `publish` puts it in force.
    void announce(Server &server, NodeState state)
    {
        server.announcement.state = state;
        putRecord(RecordKind::Node, server.name, {server.announcement.incarnation, server.sequence++},
                  encodeAnnouncement(server.announcement));
    }

    /// Records the state of a zone; `publish` puts it in force.
    void putZone(const std::string &zone, ZoneState state)
    {
        putRecord(RecordKind::Zone, zone, {0, ++m_rowVersion},
                  encodeZoneRow({.name = zone, .state = state, .rampTime = std::chrono::milliseconds(100)}));
    }

    /// Stops the agent without a handover.
    void killAgent(Server &server)
    {
        server.agent->stop();
        server.agent.reset();
    }

    /// Restarts the agent as a graceful shutdown at the drain limit does: it stops once its buckets are
    /// handed over and its flows replicated. The backend server keeps running.
    void restartAgent(Server &server)
    {
        announce(server, NodeState::Draining);
        publish();
        EXPECT_TRUE(waitForHandover(server));
        const auto handoverTime = std::chrono::steady_clock::now();
        EXPECT_TRUE(waitFor([&] {
            const auto status = server.agent->status();
            return status.localFlowsReplicated && status.updatedAt > handoverTime;
        }));
        const auto listen = server.agent->local();
        killAgent(server);
        startNextIncarnation(server, listen);
    }

    /// Starts the next incarnation of a stopped agent at `listen`; `publish` puts its announcement in force.
    void startNextIncarnation(Server &server, const Endpoint &listen)
    {
        ++server.announcement.incarnation;
        server.sequence = 1;
        startAgent(server, listen);
        announce(server, NodeState::Ready);
    }

    /// Puts the recorded changes in force at all agents and at the balancers from `firstBalancer` on. Earlier
    /// balancers keep their routes.
    void publish(std::size_t firstBalancer = 0)
    {
        updateRoutes();
        for (auto &server : m_servers) {
            setAgentRoute(server);
        }
        for (std::size_t i = firstBalancer; i < m_balancers.size(); ++i) {
            m_balancers[i]->setRouting(m_builder.current);
        }
    }

    /// The routes of the last `publish`.
    std::shared_ptr<const Routing> routing() const
    {
        return m_builder.current;
    }

    /// Puts the recorded changes in force at each node with probability 1/2; other nodes keep their routes.
    void publishToRandomNodes(std::mt19937_64 &random)
    {
        updateRoutes();
        for (auto &server : m_servers) {
            if (random() % 2 == 0) {
                setAgentRoute(server);
            }
        }
        for (auto &balancer : m_balancers) {
            if (random() % 2 == 0) {
                balancer->setRouting(m_builder.current);
            }
        }
    }

    /// Sum of one counter over all running agents.
    std::uint64_t agentTotal(PathEvent event) const
    {
        std::uint64_t total = 0;
        for (const auto &server : m_servers) {
            total += server.agent ? server.agent->counters().value(event) : 0;
        }
        return total;
    }

    /// Sends a datagram from `socket`.
    static void send(const FileDescriptor &socket, std::span<const std::uint8_t> datagram, const Endpoint &to)
    {
        SendBatch single(1);
        single.add(datagram, to);
        EXPECT_EQ(single.flush(socket), 0U);
    }

    /// Waits until `count` more flows have been opened. Returns false after 10 s.
    bool waitForNewFlows(std::uint64_t count)
    {
        const auto targetCount = m_fabric->figures().flowsOpened + count;
        return waitFor([&] { return m_fabric->figures().flowsOpened >= targetCount; });
    }

    /// Waits until `drained` owns no bucket and the other servers have been granted all buckets. Returns
    /// false after 10 s.
    bool waitForHandover(const Server &drained)
    {
        return waitFor([&] {
            std::size_t owned = 0;
            std::size_t granted = 0;
            for (const auto &server : m_servers) {
                const auto status = server.agent->status();
                owned += status.ownedBuckets;
                granted += status.grantedBuckets;
            }
            return drained.agent->status().ownedBuckets == 0 && owned == smallBucketCount && granted == owned;
        });
    }

    /// The faults that the fabric saw and the state of all agents; empty without faults.
    std::string describeFaults() const
    {
        std::string text;
        for (const auto &fault : m_fabric->figures().faults) {
            text += fault + "\n";
        }
        if (text.empty()) {
            return text;
        }
        for (const auto &server : m_servers) {
            text += server.name + ":";
            if (server.agent) {
                server.agent->counters().forEach(
                    [&](std::string_view kind, std::string_view name, std::uint64_t value) {
                        if (value != 0) {
                            text += fmt::format(" {}/{}={}", kind, name, value);
                        }
                    });
                const auto status = server.agent->status();
                text += fmt::format(" owned={} granted={} flows={}", status.ownedBuckets,
                                    status.grantedBuckets, status.knownFlows);
            }
            text += "\n";
        }
        return text;
    }

private:
    void putRecord(RecordKind kind, const std::string &name, RecordVersion version, std::string value)
    {
        Record record;
        record.key.kind = kind;
        record.key.name = name;
        record.version = version;
        record.value = std::move(value);
        const bool applied
            = handleError([&] { return applyRecord(m_view, record); }, [](const Error &) { return false; });
        EXPECT_TRUE(applied);
        m_changed.push_back(std::move(record));
    }

    void updateRoutes()
    {
        updateRouting(m_builder, m_view, std::exchange(m_changed, {}), std::chrono::steady_clock::now());
    }

    void setAgentRoute(Server &server)
    {
        const auto &service = m_view.services.at("sportello").row;
        const auto *const found = findRoute(*m_builder.current, service.address, service.protocol);
        ASSERT_NE(found, nullptr);
        if (server.agent) {
            server.agent->setRoute(*found);
        }
    }

    void putService()
    {
        const ServiceRow row{.name = "sportello",
                             .address = endpointOf(m_options.address),
                             .protocol = m_options.protocol,
                             .rampTime = std::chrono::milliseconds(100)};
        putRecord(RecordKind::Service, row.name, {0, ++m_rowVersion}, encodeServiceRow(row));
    }

    void addServer(std::size_t index)
    {
        Server server;
        server.name = "s" + std::to_string(index);
        server.zone = index % 2 == 0 ? "milano-a" : "bergamo";
        server.server = std::make_unique<lab::PacketServer>(
            lab::PacketServerOptions{.name = server.name,
                                     .listen = endpointOf(m_options.outerAddress),
                                     .service = endpointOf(m_options.address),
                                     .protocol = m_options.protocol});
        EXPECT_TRUE(succeeds([&] { return server.server->start(); }));
        server.announcement
            = {.name = server.name, .zone = server.zone, .service = "sportello", .incarnation = 1};
        m_fabric->setServerZone(server.name, server.zone);
        startAgent(server, endpointOf(m_options.outerAddress));
        announce(server, NodeState::Ready);
        m_servers.push_back(std::move(server));
    }

    void startAgent(Server &server, const Endpoint &listen)
    {
        auto delivery = handleError([&] { return makeSocketDelivery({.server = server.server->local()}); },
                                    [](const Error &) { return std::unique_ptr<Delivery>(); });
        ASSERT_NE(delivery, nullptr);
        server.agent = std::make_unique<AgentPath>(
            AgentPathOptions{.listen = listen,
                             .returnEndpoint = m_fabric->local(),
                             .keys = m_keys,
                             .mtu = m_options.mtu,
                             .directory = {.self = idOf<ServerId>(server.name),
                                           .service = idOf<ServiceId>("sportello"),
                                           .incarnation = server.announcement.incarnation,
                                           .seed = 1,
                                           .warm = true}},
            std::move(delivery));
        EXPECT_TRUE(succeeds([&] { return server.agent->start(); }));
        server.announcement.data = server.agent->local();
    }

    DeploymentOptions m_options;
    TagKeys m_keys;
    std::unique_ptr<lab::Fabric> m_fabric;
    std::vector<Server> m_servers;
    std::vector<std::unique_ptr<BalancerPath>> m_balancers;
    ClusterView m_view;
    RoutingBuilder m_builder;
    std::vector<Record> m_changed; ///< Records since the last `updateRoutes`.
    std::uint64_t m_rowVersion = 0; ///< Of the last service or zone row.
};

} // namespace oriolelever::test
