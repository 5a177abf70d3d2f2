#include "path-deployment.h"

using namespace oriolelever;
using namespace oriolelever::test;

namespace {

constexpr auto endTime = std::chrono::seconds(10);

void expectWhole(Deployment &deployment)
{
    deployment.fabric().finish(endTime);
    const auto figures = deployment.fabric().figures();
    EXPECT_EQ(figures.flowsBroken, 0U) << deployment.faults();
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
            EXPECT_TRUE(deployment.openFlows(30));
            expectWhole(deployment);
            for (std::size_t i = 0; i < 3; ++i) {
                EXPECT_EQ(deployment.server(i).server->figures().packetsToWrongService, 0U);
                EXPECT_EQ(deployment.server(i).server->figures().packetsMalformed, 0U);
            }
        }
    }
}
