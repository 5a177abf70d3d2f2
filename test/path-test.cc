#include "path-deployment.h"

using namespace oriolelever;
using namespace oriolelever::test;

namespace {

constexpr auto finishLimit = std::chrono::seconds(10);

void finishWithoutBrokenFlow(Deployment &deployment)
{
    deployment.fabric().finish(finishLimit);
    const auto figures = deployment.fabric().figures();
    EXPECT_EQ(figures.flowsBroken, 0U) << deployment.describeFaults();
    EXPECT_EQ(figures.flowsOpen, 0U);
    EXPECT_EQ(figures.answersMalformed, 0U);
    EXPECT_GT(figures.flowsEnded, 0U);
}

} // namespace

TEST(PathTest, FlowsOfBothProtocolsAndFamiliesAreServed)
{
    for (const auto protocol : {Protocol::Tcp, Protocol::Udp}) {
        for (const auto *const address : {"198.51.100.10:443", "[2001:db8::10]:443"}) {
            Deployment deployment(
                {.protocol = protocol, .address = address, .key = "000102030405060708090a0b0c0d0e0f"});
            EXPECT_TRUE(deployment.waitForNewFlows(30));
            finishWithoutBrokenFlow(deployment);
            for (std::size_t i = 0; i < 3; ++i) {
                EXPECT_EQ(deployment.server(i).server->figures().packetsToWrongService, 0U);
                EXPECT_EQ(deployment.server(i).server->figures().packetsMalformed, 0U);
            }
        }
    }
}

TEST(PathTest, PlannedChangesBreakNoFlow)
{
    for (const auto protocol : {Protocol::Tcp, Protocol::Udp}) {
        Deployment deployment({.balancers = 3, .servers = 4, .protocol = protocol});
        EXPECT_TRUE(deployment.waitForNewFlows(40));

        // Balancer 0 keeps the roster that was in force before the changes.
        deployment.announce(deployment.server(1), NodeState::Draining);
        deployment.publish(1);
        EXPECT_TRUE(deployment.waitForNewFlows(40));

        // An agent restarts while its server keeps running.
        deployment.restartAgent(deployment.server(2));
        deployment.publish(1);
        EXPECT_TRUE(deployment.waitForNewFlows(40));

        // A balancer is added.
        deployment.addBalancer();
        deployment.publish(1);
        deployment.useBalancers(4);
        EXPECT_TRUE(deployment.waitForNewFlows(40));
        deployment.announce(deployment.server(1), NodeState::Ready);
        deployment.publish(1);
        EXPECT_TRUE(deployment.waitForNewFlows(40));
        finishWithoutBrokenFlow(deployment);
        EXPECT_GT(deployment.agentTotal(PathEvent::StaleNotice), 0U);
        EXPECT_GT(deployment.balancer(0).total(PathEvent::StaleNotice), 0U);
    }
}

TEST(PathTest, DrainingServerTakesNoNewFlows)
{
    Deployment deployment({.servers = 3});
    EXPECT_TRUE(deployment.waitForNewFlows(30));
    deployment.announce(deployment.server(0), NodeState::Draining);
    deployment.publish();
    EXPECT_TRUE(deployment.waitForHandover(deployment.server(0)));
    const auto before = deployment.server(0).server->figures().flowsOpened;
    EXPECT_TRUE(deployment.waitForNewFlows(60));
    EXPECT_EQ(deployment.server(0).server->figures().flowsOpened, before);
    finishWithoutBrokenFlow(deployment);
}

TEST(PathTest, ZoneThatIsOutGetsNoPackets)
{
    Deployment deployment({.servers = 4});
    EXPECT_TRUE(deployment.waitForNewFlows(40));
    deployment.fabric().markZoneOut("bergamo");
    deployment.putZone("bergamo", ZoneState::Out);
    deployment.publish(1);
    auto &server = deployment.server(1);
    EXPECT_TRUE(waitFor([&] { return server.agent->counters().value(DropReason::ZoneOut) > 0; }));
    EXPECT_TRUE(waitFor([&] {
        return server.agent->counters().value(PathEvent::Delivered) == server.server->figures().packets;
    }));
    const auto before = server.server->figures().packets;
    EXPECT_TRUE(deployment.waitForNewFlows(60));
    // Balancer 0 still routes packets to the zone, whose agents drop them.
    EXPECT_EQ(server.server->figures().packets, before);
    deployment.putZone("bergamo", ZoneState::In);
    deployment.publish();
    const auto opened = server.server->figures().flowsOpened;
    EXPECT_TRUE(waitFor([&] { return server.server->figures().flowsOpened > opened; }));
    finishWithoutBrokenFlow(deployment);
    EXPECT_GT(deployment.fabric().figures().flowsGivenUpWithZone, 0U);
}

TEST(PathTest, PacketOfAnUnknownServiceIsCountedOnly)
{
    Deployment deployment({.flowsPerSecond = 0});
    const auto socket = openLoopback();
    std::vector<std::uint8_t> buffer(200);
    const auto space = std::span(buffer).subspan(maxGueHeaderSize);
    const auto size = buildTcp(space,
                               {.source = endpointOf("198.18.0.1:5000"),
                                .destination = endpointOf("198.51.100.99:443"),
                                .tcpFlags = tcp::syn});
    Deployment::send(socket, prependPlainGue(space.first(size)), deployment.balancer(0).local());
    EXPECT_TRUE(waitFor([&] { return deployment.balancer(0).total(PathEvent::UnknownService) == 1; }));
    EXPECT_EQ(deployment.balancer(0).total(PathEvent::Received), 1U);
    EXPECT_EQ(deployment.balancer(0).total(PathEvent::Relayed), 0U);
}

TEST(PathTest, PacketForAnotherServiceIsRefusedWithANotice)
{
    Deployment deployment({.flowsPerSecond = 0});
    const auto socket = openLoopback();
    std::vector<std::uint8_t> buffer(200);
    const auto space = std::span(buffer).subspan(maxGueHeaderSize);
    const auto size = buildTcp(space,
                               {.source = endpointOf("198.18.0.1:5000"),
                                .destination = endpointOf("198.51.100.10:443"),
                                .tcpFlags = tcp::syn});
    const PathData path{.service = idOf<ServiceId>("archivio"), .targetIncarnation = 1, .rosterVersion = 1};
    auto &agent = *deployment.server(0).agent;
    Deployment::send(socket, prependGue(space.first(size), false, gueIpv4, path, {}), agent.local());
    ReceiveBatch receive(1, 200);
    ASSERT_TRUE(waitFor([&] { return receive.receive(socket) == 1; }));
    GuePacket notice;
    ASSERT_EQ(decodeGue(receive.datagram(0), {}, notice), GueFault::None);
    EXPECT_EQ(notice.type, static_cast<std::uint8_t>(ControlType::WrongTarget));
    EXPECT_EQ(notice.path->service, idOf<ServiceId>("sportello"));
    EXPECT_EQ(notice.path->sender, idOf<ServerId>("s0"));
    EXPECT_EQ(agent.counters().value(DropReason::WrongService), 1U);
    EXPECT_EQ(deployment.server(0).server->figures().packets, 0U);
}
