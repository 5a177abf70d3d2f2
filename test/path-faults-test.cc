#include "path-deployment.h"

#include "oriolelever/bytes.h"

using namespace oriolelever;
using namespace oriolelever::test;

namespace {

constexpr auto endTime = std::chrono::seconds(15);
constexpr auto *callerAddress = "198.18.0.1:5000";
constexpr auto *serviceAddress = "198.51.100.10:443";

// A packet of one caller with room for headers before it.
class CallerPacket
{
public:
    explicit CallerPacket(std::uint8_t flags, std::size_t payloadSize = 0, std::uint16_t mss = 0)
        : m_buffer(maxGueHeaderSize + 2000)
    {
        const std::vector<std::uint8_t> payload(payloadSize, 'd');
        const auto room = std::span(m_buffer).subspan(maxGueHeaderSize);
        m_size = buildTcp(room,
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

// An agent of its own with raw sockets for its backend server and for the callers' side.
struct LoneAgent
{
    FileDescriptor server = openLoopback();
    FileDescriptor callers = openLoopback();
    FileDescriptor balancer = openLoopback();
    std::unique_ptr<AgentPath> agent;
    RoutingBuilder builder;

    explicit LoneAgent(const TagKeys &keys = {}, std::uint16_t mtu = 1500)
    {
        auto delivery
            = handleError([&] { return makeSocketDelivery({.server = localEndpoint(server), .mtu = mtu}); },
                          [](const Error &) { return std::unique_ptr<Delivery>(); });
        agent = std::make_unique<AgentPath>(
            AgentPathOptions{.listen = endpointOf("127.0.0.1:0"),
                             .returnTo = localEndpoint(callers),
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
        auto made = std::make_shared<ServiceRoute>();
        made->id = idOf<ServiceId>("sportello");
        made->address = endpointOf(serviceAddress);
        made->connectionLimit = 2000;
        made->version = 1;
        made->servers.push_back({.id = idOf<ServerId>("s0"),
                                 .data = agent->local(),
                                 .incarnation = 1,
                                 .state = NodeState::Ready,
                                 .weight = 100,
                                 .connectionLimit = 2000});
        made->owners.resize(smallBucketCount);
        return made;
    }

    void pass(CallerPacket &packet, const TagKeys &keys = {})
    {
        const PathData path{.service = idOf<ServiceId>("sportello"), .target = 1, .rosterVersion = 1};
        Deployment::send(balancer, prependGue(packet.bytes(), false, gueIpv4, path, keys), agent->local());
    }

    // Repeats a SYN until the backend server has it; the first instant may refuse it.
    bool open(CallerPacket &packet, ReceiveBatch &arrived, const TagKeys &keys = {})
    {
        return waitFor([&] {
            pass(packet, keys);
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            return arrived.receive(server) != 0;
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

// Drains, returns and agent restarts in a row, each learned by every node or not, so that rosters of several
// ages are in use at once.
TEST(PathFaultsTest, UnevenChangesInARowBreakNoFlow)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        std::mt19937_64 random(seed);
        Deployment deployment({.balancers = 3, .servers = 5});
        EXPECT_TRUE(deployment.openFlows(30));
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
            deployment.publishUnevenly(random);
            EXPECT_TRUE(deployment.openFlows(5));
        }
        deployment.publish();
        EXPECT_TRUE(deployment.openFlows(20));
        deployment.fabric().finish(endTime);
        EXPECT_EQ(deployment.fabric().figures().flowsBroken, 0U) << "seed " << seed << "\n"
                                                                 << deployment.faults();
        EXPECT_EQ(deployment.fabric().figures().flowsOpen, 0U);
    }
}

// An agent is killed and starts anew beside its living server; its buckets stay with it.
TEST(PathFaultsTest, KilledAgentTakesItsFlowsUpAgain)
{
    Deployment deployment({.servers = 3});
    EXPECT_TRUE(deployment.openFlows(60));
    for (std::size_t i = 0; i < 3; ++i) {
        auto &server = deployment.server(i);
        const auto listen = server.agent->local();
        deployment.killAgent(server);
        deployment.startAgentAgain(server, listen);
        deployment.publish();
        EXPECT_TRUE(deployment.openFlows(30));
    }
    deployment.fabric().finish(endTime);
    EXPECT_EQ(deployment.fabric().figures().flowsBroken, 0U) << deployment.faults();
    EXPECT_EQ(deployment.fabric().figures().flowsOpen, 0U);
}

TEST(PathFaultsTest, DeadServerTakesOnlyItsOwnFlows)
{
    Deployment deployment({.servers = 4, .patience = std::chrono::seconds(4)});
    EXPECT_TRUE(deployment.openFlows(60));
    auto &server = deployment.server(2);
    deployment.fabric().markServerDead(server.name);
    deployment.killAgent(server);
    server.server->stop();
    deployment.announce(server, NodeState::Down);
    deployment.publish();
    EXPECT_TRUE(deployment.openFlows(60));
    deployment.fabric().finish(endTime);
    const auto figures = deployment.fabric().figures();
    EXPECT_EQ(figures.flowsBroken, 0U) << deployment.faults();
    EXPECT_GT(figures.flowsLostWithServer, 0U);
}

TEST(PathFaultsTest, ServerThatLostItsFlowsResetsThemAndGoesOn)
{
    Deployment deployment({.servers = 3});
    EXPECT_TRUE(deployment.openFlows(40));
    auto &server = deployment.server(0);
    deployment.fabric().markServerDead(server.name);
    server.server->forgetFlows();
    EXPECT_TRUE(waitFor([&] { return deployment.fabric().figures().flowsLostWithServer > 0; }));
    const auto opened = server.server->figures().flowsOpened;
    EXPECT_TRUE(waitFor([&] { return server.server->figures().flowsOpened > opened; }));
    deployment.fabric().finish(endTime);
    EXPECT_EQ(deployment.fabric().figures().flowsBroken, 0U) << deployment.faults();
}

TEST(PathFaultsTest, ThreadsOfABalancerShareItsPort)
{
    Deployment deployment({.balancers = 1, .threads = 3});
    EXPECT_TRUE(deployment.openFlows(50));
    deployment.fabric().finish(endTime);
    EXPECT_EQ(deployment.fabric().figures().flowsBroken, 0U) << deployment.faults();
    // Another process must not share it unnoticed.
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
    BalancerPath balancer({.listen = endpointOf("127.0.0.1:0"), .returnTo = localEndpoint(callers)});
    ASSERT_TRUE(succeeds([&] { return balancer.start(); }));
    balancer.setRouting(deployment.routing());
    CallerPacket packet(tcp::ack, 1450);
    Deployment::send(callers, prependPlainGue(packet.bytes()), balancer.local());
    ReceiveBatch arrived(1, 2048);
    ASSERT_TRUE(waitFor([&] { return arrived.receive(callers) == 1; }));
    GuePacket outer;
    ASSERT_EQ(decodePlainGue(arrived.datagram(0), outer), GueFault::None);
    EXPECT_EQ(outer.payload[20], 3); // Destination unreachable,
    EXPECT_EQ(outer.payload[21], 4); // fragmentation needed.
    const auto overhead = outerOverhead(false, true, {});
    EXPECT_EQ(read32(&outer.payload[24]), 1500 - overhead);
    EXPECT_EQ(balancer.total(PathEvent::TooBig), 1U);
    EXPECT_EQ(balancer.total(PathEvent::Relayed), 0U);
}

TEST(PathFaultsTest, MssIsClampedSoThatSegmentsFitBothWays)
{
    LoneAgent lone;
    ReceiveBatch arrived(1, 2048);
    CallerPacket syn(tcp::syn, 0, 1460);
    ASSERT_TRUE(lone.open(syn, arrived));
    ParsedPacket parsed;
    const auto delivered = arrived.datagram(0);
    ASSERT_EQ(parsePacket(delivered, parsed), PacketFault::None);
    EXPECT_TRUE(isTransportChecksumRight(delivered, parsed));
    EXPECT_EQ(read16(&delivered[delivered.size() - 2]),
              mssFor(1500 - outerOverhead(false, false, {}), false));

    std::vector<std::uint8_t> answer(200);
    answer.resize(buildTcp(answer,
                           {.source = endpointOf(serviceAddress),
                            .destination = endpointOf(callerAddress),
                            .tcpFlags = tcp::syn | tcp::ack,
                            .mss = 1460}));
    Deployment::send(lone.server, answer, toEndpoint(arrived.sender(0)));
    ReceiveBatch returned(1, 2048);
    GuePacket outer;
    // Resets of the first instant may come before it.
    ASSERT_TRUE(waitFor([&] {
        return returned.receive(lone.callers) == 1
            && decodePlainGue(returned.datagram(0), outer) == GueFault::None
            && (outer.payload[33] & tcp::syn) != 0;
    }));
    EXPECT_EQ(read16(&outer.payload[outer.payload.size() - 2]),
              mssFor(1500 - outerOverhead(false, true, {}), false));
}

TEST(PathFaultsTest, AnswerThatDoesNotFitIsRefusedTowardsTheServer)
{
    LoneAgent lone;
    ReceiveBatch arrived(1, 2048);
    CallerPacket syn(tcp::syn);
    ASSERT_TRUE(lone.open(syn, arrived));
    const std::vector<std::uint8_t> payload(1450, 'a');
    std::vector<std::uint8_t> answer(1600);
    answer.resize(buildTcp(answer,
                           {.source = endpointOf(serviceAddress),
                            .destination = endpointOf(callerAddress),
                            .tcpFlags = tcp::ack,
                            .payload = payload}));
    Deployment::send(lone.server, answer, toEndpoint(arrived.sender(0)));
    ParsedPacket parsed;
    ASSERT_TRUE(waitFor([&] {
        return arrived.receive(lone.server) == 1
            && parsePacket(arrived.datagram(0), parsed) == PacketFault::None && parsed.icmpError;
    }));
    EXPECT_EQ(parsed.flow.caller, endpointOf(callerAddress));
    EXPECT_EQ(lone.count(PathEvent::TooBig), 1U);
    EXPECT_EQ(lone.count(PathEvent::Answered), 0U);
}

TEST(PathFaultsTest, ForgedPacketIsNotDeliveredAndThePreviousKeyIs)
{
    const auto keys = keysOf(newKey, oldKey);
    LoneAgent lone(keys);
    ReceiveBatch arrived(1, 2048);
    CallerPacket syn(tcp::syn);
    lone.pass(syn);
    EXPECT_TRUE(waitFor([&] { return lone.agent->counters().value(GueFault::MissingTag) == 1; }));
    lone.pass(syn, keysOf("aa0102030405060708090a0b0c0d0e0f"));
    EXPECT_TRUE(waitFor([&] { return lone.agent->counters().value(GueFault::WrongTag) == 1; }));
    EXPECT_EQ(arrived.receive(lone.server), 0U);
    EXPECT_TRUE(lone.open(syn, arrived, keysOf(oldKey)));
}

TEST(PathFaultsTest, EveryHostileDatagramIsCountedAndNothingElseHappens)
{
    LoneAgent lone;
    CallerPacket packet(tcp::syn);
    const PathData path{.service = idOf<ServiceId>("sportello"), .target = 1, .rosterVersion = 1};
    const auto datagram = prependGue(packet.bytes(), false, gueIpv4, path, {});
    std::uint64_t sent = 0;
    // Cut anywhere: in the encapsulation, in the inner headers.
    for (std::size_t size = 1; size < datagram.size(); ++size) {
        Deployment::send(lone.balancer, datagram.first(size), lone.agent->local());
        ++sent;
    }
    // Another address of the same service.
    datagram[datagram.size() - 20 - 1] ^= 1;
    const auto faults = [&] {
        std::uint64_t sum = lone.count(PathEvent::WrongAddress);
        lone.agent->counters().forEach([&](std::string_view kind, std::string_view, std::uint64_t value) {
            sum += kind == "encapsulation" || kind == "packet" ? value : 0;
        });
        return sum;
    };
    Deployment::send(lone.balancer, datagram, lone.agent->local());
    ++sent;
    EXPECT_TRUE(waitFor([&] { return faults() == sent; }));
    EXPECT_EQ(lone.count(PathEvent::Delivered), 0U);
    EXPECT_EQ(lone.count(PathEvent::ResetSent), 0U);
}
