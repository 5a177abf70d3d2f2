/// A whole packet path in one process: fabric, balancers, agents and backend servers on loopback. The records
/// are put in force by the test.
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

inline FileDescriptor openLoopback()
{
    return handleError([] { return openDatagramSocket(endpointOf("127.0.0.1:0")); },
                       [](const Error &) { return FileDescriptor(); });
}

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

/// Waits until `condition` holds; false after ten seconds.
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
    std::string address = "198.51.100.10:443";
    std::string host = "127.0.0.1:0"; ///< Outer addresses.
    std::string key;
    double flowsPerSecond = 200;
    std::size_t threads = 1; ///< Of a balancer.
    std::uint16_t mtu = 1500;
    std::size_t payloadSize = 64;
    std::chrono::milliseconds patience{10000}; ///< Of callers.
};

class Deployment
{
public:
    struct Server
    {
        std::string name;
        std::string zone;
        Announcement announcement;
        std::uint64_t sequence = 1;
        std::unique_ptr<lab::PacketServer> server;
        std::unique_ptr<AgentPath> agent;
    };

    explicit Deployment(const DeploymentOptions &options)
        : m_options(options)
        , m_keys(handleError([&] { return parseTagKeys(options.key, ""); },
                             [](const Error &) { return TagKeys{}; }))
    {
        const lab::FabricService service{"sportello", endpointOf(options.address), options.protocol};
        m_fabric
            = std::make_unique<lab::Fabric>(lab::FabricOptions{.listen = endpointOf(options.host),
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

    /// The fabric sprays over the first `count` balancers.
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
            std::make_unique<BalancerPath>(BalancerPathOptions{.listen = endpointOf(m_options.host),
                                                               .threads = m_options.threads,
                                                               .keys = m_keys,
                                                               .mtu = m_options.mtu,
                                                               .returnTo = m_fabric->local()}));
        EXPECT_TRUE(succeeds([&] { return m_balancers.back()->start(); }));
    }

    /// Puts the server's announcement in force, in the given state.
    void announce(Server &server, NodeState state)
    {
        server.announcement.state = state;
        put(RecordKind::Node, server.name, {server.announcement.incarnation, server.sequence++},
            encodeAnnouncement(server.announcement));
    }

    void putZone(const std::string &zone, ZoneState state)
    {
        put(RecordKind::Zone, zone, {0, ++m_rowVersion},
            encodeZoneRow({.name = zone, .state = state, .rampTime = std::chrono::milliseconds(100)}));
    }

    /// Ends the agent without a word.
    void killAgent(Server &server)
    {
        server.agent->stop();
        server.agent.reset();
    }

    /// Stops the agent as a graceful shutdown at its drain limit does, and starts it anew; the server lives
    /// on.
    void restartAgent(Server &server)
    {
        announce(server, NodeState::Draining);
        publish();
        EXPECT_TRUE(handedOver(server));
        const auto asked = std::chrono::steady_clock::now();
        EXPECT_TRUE(waitFor([&] {
            const auto figures = server.agent->figures();
            return figures.copied && figures.takenAt > asked;
        }));
        const auto listen = server.agent->local();
        killAgent(server);
        startAgentAgain(server, listen);
    }

    /// Starts the next incarnation of an agent that has stopped; `publish` makes it known.
    void startAgentAgain(Server &server, const Endpoint &listen)
    {
        ++server.announcement.incarnation;
        server.sequence = 1;
        startAgent(server, listen);
        announce(server, NodeState::Ready);
    }

    /// Gives the routes in force to the agents and to the balancers from `firstBalancer` on.
    void publish(std::size_t firstBalancer = 0)
    {
        update();
        for (auto &server : m_servers) {
            giveRoute(server);
        }
        for (std::size_t i = firstBalancer; i < m_balancers.size(); ++i) {
            m_balancers[i]->setRouting(m_builder.current);
        }
    }

    std::shared_ptr<const Routing> routing() const
    {
        return m_builder.current;
    }

    /// Gives the routes in force to each node with even odds; the others keep what they had.
    void publishUnevenly(std::mt19937_64 &random)
    {
        update();
        for (auto &server : m_servers) {
            if (random() % 2 == 0) {
                giveRoute(server);
            }
        }
        for (auto &balancer : m_balancers) {
            if (random() % 2 == 0) {
                balancer->setRouting(m_builder.current);
            }
        }
    }

    std::uint64_t sum(PathEvent event) const
    {
        std::uint64_t total = 0;
        for (const auto &server : m_servers) {
            total += server.agent ? server.agent->counters().value(event) : 0;
        }
        return total;
    }

    /// Sends one datagram from `socket`.
    static void send(const FileDescriptor &socket, std::span<const std::uint8_t> datagram, const Endpoint &to)
    {
        SendBatch single(1);
        single.add(datagram, to);
        EXPECT_EQ(single.flush(socket), 0U);
    }

    /// Waits until that many flows more have been opened.
    bool openFlows(std::uint64_t count)
    {
        const auto goal = m_fabric->figures().flowsOpened + count;
        return waitFor([&] { return m_fabric->figures().flowsOpened >= goal; });
    }

    /// Waits until the server owns no bucket and the others may place flows of all of theirs.
    bool handedOver(const Server &left)
    {
        return waitFor([&] {
            std::size_t owned = 0;
            std::size_t granted = 0;
            for (const auto &server : m_servers) {
                const auto figures = server.agent->figures();
                owned += figures.ownedBuckets;
                granted += figures.grantedBuckets;
            }
            return left.agent->figures().ownedBuckets == 0 && owned == smallBucketCount && granted == owned;
        });
    }

    std::string faults() const
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
                const auto figures = server.agent->figures();
                text += fmt::format(" owned={} granted={} flows={}", figures.ownedBuckets,
                                    figures.grantedBuckets, figures.knownFlows);
            }
            text += "\n";
        }
        return text;
    }

private:
    void put(RecordKind kind, const std::string &name, RecordVersion version, std::string value)
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

    void update()
    {
        updateRouting(m_builder, m_view, std::exchange(m_changed, {}), std::chrono::steady_clock::now());
    }

    void giveRoute(Server &server)
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
        put(RecordKind::Service, row.name, {0, ++m_rowVersion}, encodeServiceRow(row));
    }

    void addServer(std::size_t index)
    {
        Server server;
        server.name = "s" + std::to_string(index);
        server.zone = index % 2 == 0 ? "milano-a" : "bergamo";
        server.server = std::make_unique<lab::PacketServer>(
            lab::PacketServerOptions{.name = server.name,
                                     .listen = endpointOf(m_options.host),
                                     .service = endpointOf(m_options.address),
                                     .protocol = m_options.protocol});
        EXPECT_TRUE(succeeds([&] { return server.server->start(); }));
        server.announcement
            = {.name = server.name, .zone = server.zone, .service = "sportello", .incarnation = 1};
        m_fabric->setServerZone(server.name, server.zone);
        startAgent(server, endpointOf(m_options.host));
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
                             .returnTo = m_fabric->local(),
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
    std::vector<Record> m_changed;
    std::uint64_t m_rowVersion = 0;
};

} // namespace oriolelever::test
