#include "path-deployment.h"

#include "oriolelever/bytes.h"

using namespace oriolelever;
using namespace oriolelever::test;

namespace {

constexpr auto finishLimit = std::chrono::seconds(15);
constexpr auto *callerAddress = "198.18.0.1:5000";
constexpr auto *serviceAddress = "198.51.100.10:443";

// A TCP packet from a caller to the service, with space for a GUE header before it.
class CallerPacket
{
public:
    explicit CallerPacket(std::uint8_t flags, std::size_t payloadSize = 0, std::uint16_t mss = 0)
        : m_buffer(maxGueHeaderSize + 2000)
    {
        const std::vector<std::uint8_t> payload(payloadSize, 'd');
        const auto space = std::span(m_buffer).subspan(maxGueHeaderSize);
        m_size = buildTcp(space,
                          {.source = endpointOf(callerAddress),
                           .destination = endpointOf(serviceAddress),
                           .tcpFlags = flags,
                           .mss = mss,
                           .payload = payload});
    }

    std::span<std::uint8_t> bytes()
    {
        return std::span(m_buffer).subspan(maxGueHeaderSize, m_size);
    }

private:
    std::vector<std::uint8_t> m_buffer;
    std::size_t m_size = 0;
};

// An agent without a deployment. Plain sockets stand for its backend server, for the callers' side and for a
// balancer.
struct StandaloneAgent
{
    FileDescriptor serverSocket = openLoopback();
    FileDescriptor callerSocket = openLoopback();
    FileDescriptor balancerSocket = openLoopback();
    std::unique_ptr<AgentPath> agent;
    RoutingBuilder builder;

    explicit StandaloneAgent(const TagKeys &keys = {}, std::uint16_t mtu = 1500)
    {
        auto delivery = handleError(
            [&] { return makeSocketDelivery({.server = localEndpoint(serverSocket), .mtu = mtu}); },
            [](const Error &) { return std::unique_ptr<Delivery>(); });
        agent = std::make_unique<AgentPath>(
            AgentPathOptions{.listen = endpointOf("127.0.0.1:0"),
                             .returnEndpoint = localEndpoint(callerSocket),
                             .keys = keys,
                             .mtu = mtu,
                             .directory = {.self = idOf<ServerId>("s0"),
                                           .service = idOf<ServiceId>("sportello"),
                                           .incarnation = 1,
                                           .warm = true}},
            std::move(delivery));
        EXPECT_TRUE(succeeds([&] { return agent->start(); }));
        agent->setRoute(route());
    }

    std::shared_ptr<const ServiceRoute> route() const
    {
        auto result = std::make_shared<ServiceRoute>();
        result->id = idOf<ServiceId>("sportello");
        result->address = endpointOf(serviceAddress);
        result->connectionLimit = 2000;
        result->version = 1;
        result->servers.push_back({.id = idOf<ServerId>("s0"),
                                   .data = agent->local(),
                                   .incarnation = 1,
                                   .state = NodeState::Ready,
                                   .weight = 100,
                                   .connectionLimit = 2000});
        result->owners.resize(smallBucketCount);
        return result;
    }

    void sendFromBalancer(CallerPacket &packet, const TagKeys &keys = {})
    {
        const PathData path{
            .service = idOf<ServiceId>("sportello"), .targetIncarnation = 1, .rosterVersion = 1};
        Deployment::send(balancerSocket, prependGue(packet.bytes(), false, gueIpv4, path, keys),
                         agent->local());
    }

    // Sends a SYN until the backend server receives it. The agent resets it before it may place flows.
    bool openFlow(CallerPacket &packet, ReceiveBatch &received, const TagKeys &keys = {})
    {
        return waitFor([&] {
            sendFromBalancer(packet, keys);
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            return received.receive(serverSocket) != 0;
        });
    }

    std::uint64_t count(PathEvent event) const
    {
        return agent->counters().value(event);
    }
};

TagKeys keysOf(std::string_view current, std::string_view previous = "")
{
    return handleError([&] { return parseTagKeys(current, previous); },
                       [](const Error &) { return TagKeys{}; });
}

constexpr auto *oldKey = "000102030405060708090a0b0c0d0e0f";
constexpr auto *newKey = "f00102030405060708090a0b0c0d0e0f";

} // namespace

// Servers drain and return and agents restart, and each change reaches only a random part of the nodes, so
// that nodes use rosters of several versions at the same time.
TEST(PathFaultsTest, UnevenChangesInARowBreakNoFlow)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        std::mt19937_64 random(seed);
        Deployment deployment({.balancers = 3, .servers = 5});
        EXPECT_TRUE(deployment.waitForNewFlows(30));
        std::size_t draining = 0;
        for (int step = 0; step < 12; ++step) {
            auto &server = deployment.server(random() % 5);
            if (random() % 4 == 0 && draining < 2) {
                draining -= server.announcement.state == NodeState::Draining ? 1 : 0;
                deployment.restartAgent(server);
            } else if (server.announcement.state == NodeState::Draining) {
                deployment.announce(server, NodeState::Ready);
                --draining;
            } else if (draining < 2) {
                deployment.announce(server, NodeState::Draining);
                ++draining;
            }
            deployment.publishToRandomNodes(random);
            EXPECT_TRUE(deployment.waitForNewFlows(5));
        }
        deployment.publish();
        EXPECT_TRUE(deployment.waitForNewFlows(20));
        deployment.fabric().finish(finishLimit);
        EXPECT_EQ(deployment.fabric().figures().flowsBroken, 0U) << "seed " << seed << "\n"
                                                                 << deployment.describeFaults();
        EXPECT_EQ(deployment.fabric().figures().flowsOpen, 0U);
    }
}

// A killed agent starts again while its server keeps running; it keeps its buckets. It must recover the flows
// of the server instead of resetting them.
TEST(PathFaultsTest, KilledAgentRecoversItsFlows)
{
    Deployment deployment({.servers = 3});
    EXPECT_TRUE(deployment.waitForNewFlows(60));
    for (std::size_t i = 0; i < 3; ++i) {
        auto &server = deployment.server(i);
        const auto listen = server.agent->local();
        deployment.killAgent(server);
        deployment.startNextIncarnation(server, listen);
        deployment.publish();
        EXPECT_TRUE(deployment.waitForNewFlows(30));
    }
    deployment.fabric().finish(finishLimit);
    EXPECT_EQ(deployment.fabric().figures().flowsBroken, 0U) << deployment.describeFaults();
    EXPECT_EQ(deployment.fabric().figures().flowsOpen, 0U);
}

TEST(PathFaultsTest, DeadServerBreaksOnlyItsOwnFlows)
{
    Deployment deployment({.servers = 4, .patience = std::chrono::seconds(4)});
    EXPECT_TRUE(deployment.waitForNewFlows(60));
    auto &server = deployment.server(2);
    deployment.fabric().markServerDead(server.name);
    deployment.killAgent(server);
    server.server->stop();
    deployment.announce(server, NodeState::Down);
    deployment.publish();
    EXPECT_TRUE(deployment.waitForNewFlows(60));
    deployment.fabric().finish(finishLimit);
    const auto figures = deployment.fabric().figures();
    EXPECT_EQ(figures.flowsBroken, 0U) << deployment.describeFaults();
    EXPECT_GT(figures.flowsLostWithServer, 0U);
}

TEST(PathFaultsTest, ServerThatLostItsFlowsResetsThemAndTakesNewOnes)
{
    Deployment deployment({.servers = 3});
    EXPECT_TRUE(deployment.waitForNewFlows(40));
    auto &server = deployment.server(0);
    deployment.fabric().markServerDead(server.name);
    server.server->forgetFlows();
    EXPECT_TRUE(waitFor([&] { return deployment.fabric().figures().flowsLostWithServer > 0; }));
    const auto opened = server.server->figures().flowsOpened;
    EXPECT_TRUE(waitFor([&] { return server.server->figures().flowsOpened > opened; }));
    deployment.fabric().finish(finishLimit);
    EXPECT_EQ(deployment.fabric().figures().flowsBroken, 0U) << deployment.describeFaults();
}

TEST(PathFaultsTest, ThreadsOfABalancerShareItsPort)
{
    Deployment deployment({.balancers = 1, .threads = 3});
    EXPECT_TRUE(deployment.waitForNewFlows(50));
    deployment.fabric().finish(finishLimit);
    EXPECT_EQ(deployment.fabric().figures().flowsBroken, 0U) << deployment.describeFaults();
    // Another process that opens the same port must get an error, although the threads share the port.
    BalancerPath other({.listen = deployment.balancer(0).local(), .threads = 2});
    const auto code = handleError(
        [&]() -> Result<Code> {
            BOOST_LEAF_CHECK(other.start());
            return Code::Ok;
        },
        [](const Error &error) { return error.code; });
    EXPECT_EQ(code, Code::AddressInUse);
}

TEST(PathFaultsTest, TooBigPacketIsAnsweredByAnIcmpError)
{
    Deployment deployment({.flowsPerSecond = 0});
    const auto callers = openLoopback();
    BalancerPath balancer({.listen = endpointOf("127.0.0.1:0"), .returnEndpoint = localEndpoint(callers)});
    ASSERT_TRUE(succeeds([&] { return balancer.start(); }));
    balancer.setRouting(deployment.routing());
    CallerPacket packet(tcp::ack, 1450);
    Deployment::send(callers, prependPlainGue(packet.bytes()), balancer.local());
    ReceiveBatch received(1, 2048);
    ASSERT_TRUE(waitFor([&] { return received.receive(callers) == 1; }));
    GuePacket outer;
    ASSERT_EQ(decodePlainGue(received.datagram(0), outer), GueFault::None);
    EXPECT_EQ(outer.payload[20], 3); // Destination unreachable,
    EXPECT_EQ(outer.payload[21], 4); // fragmentation needed.
    const auto overhead = outerOverhead(false, true, {});
    EXPECT_EQ(read32(&outer.payload[24]), 1500 - overhead);
    EXPECT_EQ(balancer.total(PathEvent::TooBig), 1U);
    EXPECT_EQ(balancer.total(PathEvent::Relayed), 0U);
}

TEST(PathFaultsTest, MssIsClampedSoThatSegmentsFitBothWays)
{
    StandaloneAgent standalone;
    ReceiveBatch received(1, 2048);
    CallerPacket syn(tcp::syn, 0, 1460);
    ASSERT_TRUE(standalone.openFlow(syn, received));
    ParsedPacket parsed;
    const auto delivered = received.datagram(0);
    ASSERT_EQ(parsePacket(delivered, parsed), PacketFault::None);
    EXPECT_TRUE(isTransportChecksumValid(delivered, parsed));
    EXPECT_EQ(read16(&delivered[delivered.size() - 2]),
              mssFor(1500 - outerOverhead(false, false, {}), false));

    std::vector<std::uint8_t> answer(200);
    answer.resize(buildTcp(answer,
                           {.source = endpointOf(serviceAddress),
                            .destination = endpointOf(callerAddress),
                            .tcpFlags = tcp::syn | tcp::ack,
                            .mss = 1460}));
    Deployment::send(standalone.serverSocket, answer, toEndpoint(received.sender(0)));
    ReceiveBatch returned(1, 2048);
    GuePacket outer;
    // Resets from before the agent could place flows may arrive first.
    ASSERT_TRUE(waitFor([&] {
        return returned.receive(standalone.callerSocket) == 1
            && decodePlainGue(returned.datagram(0), outer) == GueFault::None
            && (outer.payload[33] & tcp::syn) != 0;
    }));
    EXPECT_EQ(read16(&outer.payload[outer.payload.size() - 2]),
              mssFor(1500 - outerOverhead(false, true, {}), false));
}

TEST(PathFaultsTest, AnswerThatDoesNotFitIsRefusedTowardsTheServer)
{
    StandaloneAgent standalone;
    ReceiveBatch received(1, 2048);
    CallerPacket syn(tcp::syn);
    ASSERT_TRUE(standalone.openFlow(syn, received));
    const std::vector<std::uint8_t> payload(1450, 'a');
    std::vector<std::uint8_t> answer(1600);
    answer.resize(buildTcp(answer,
                           {.source = endpointOf(serviceAddress),
                            .destination = endpointOf(callerAddress),
                            .tcpFlags = tcp::ack,
                            .payload = payload}));
    Deployment::send(standalone.serverSocket, answer, toEndpoint(received.sender(0)));
    ParsedPacket parsed;
    ASSERT_TRUE(waitFor([&] {
        return received.receive(standalone.serverSocket) == 1
            && parsePacket(received.datagram(0), parsed) == PacketFault::None && parsed.isIcmpError;
    }));
    EXPECT_EQ(parsed.flow.caller, endpointOf(callerAddress));
    EXPECT_EQ(standalone.count(PathEvent::TooBig), 1U);
    EXPECT_EQ(standalone.count(PathEvent::Answered), 0U);
}

TEST(PathFaultsTest, ForgedPacketIsNotDeliveredAndThePreviousKeyIs)
{
    const auto keys = keysOf(newKey, oldKey);
    StandaloneAgent standalone(keys);
    ReceiveBatch received(1, 2048);
    CallerPacket syn(tcp::syn);
    standalone.sendFromBalancer(syn);
    EXPECT_TRUE(waitFor([&] { return standalone.agent->counters().value(GueFault::MissingTag) == 1; }));
    standalone.sendFromBalancer(syn, keysOf("aa0102030405060708090a0b0c0d0e0f"));
    EXPECT_TRUE(waitFor([&] { return standalone.agent->counters().value(GueFault::WrongTag) == 1; }));
    EXPECT_EQ(received.receive(standalone.serverSocket), 0U);
    EXPECT_TRUE(standalone.openFlow(syn, received, keysOf(oldKey)));
}

TEST(PathFaultsTest, EveryMalformedDatagramIsCountedAndDropped)
{
    StandaloneAgent standalone;
    CallerPacket packet(tcp::syn);
    const PathData path{.service = idOf<ServiceId>("sportello"), .targetIncarnation = 1, .rosterVersion = 1};
    const auto datagram = prependGue(packet.bytes(), false, gueIpv4, path, {});
    std::uint64_t sent = 0;
    // Truncates the datagram at every byte of the encapsulation and of the inner headers.
    for (std::size_t size = 1; size < datagram.size(); ++size) {
        Deployment::send(standalone.balancerSocket, datagram.first(size), standalone.agent->local());
        ++sent;
    }
    // A packet for another address, with the id of the agent's service.
    datagram[datagram.size() - 20 - 1] ^= 1;
    const auto faults = [&] {
        std::uint64_t sum = standalone.count(PathEvent::WrongAddress);
        standalone.agent->counters().forEach(
            [&](std::string_view kind, std::string_view, std::uint64_t value) {
                sum += kind == "encapsulation" || kind == "packet" ? value : 0;
            });
        return sum;
    };
    Deployment::send(standalone.balancerSocket, datagram, standalone.agent->local());
    ++sent;
    EXPECT_TRUE(waitFor([&] { return faults() == sent; }));
    EXPECT_EQ(standalone.count(PathEvent::Delivered), 0U);
    EXPECT_EQ(standalone.count(PathEvent::ResetSent), 0U);
}
