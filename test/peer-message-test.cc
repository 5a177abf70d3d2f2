#include "oriolelever/peer-message.h"

#include <array>

#include <gtest/gtest.h>

namespace oriolelever {
namespace {

IpAddress address(std::string_view text)
{
    IpAddress parsed;
    EXPECT_TRUE(parseIpAddress(text, parsed));
    return parsed;
}

std::array<std::uint8_t, maxPeerMessageSize> buffer{};

TEST(PeerMessageTest, AHelloRoundTrips)
{
    const Hello hello{.lifetime = 0x0102030405060708,
                      .coldFlowsPerSecond = 42,
                      .idleLimit = std::chrono::milliseconds(15'000),
                      .unlisted = true,
                      .wantsFlows = true,
                      .zone = idOf<ZoneId>("bergamo"),
                      .documents = {.configuration = 70'000'000'000, .evacuations = 12},
                      .reportPeriod = std::chrono::milliseconds(1000)};
    const auto size = encodeHello(buffer, hello);
    Hello decoded;
    ASSERT_TRUE(decodeHello({buffer.data(), size}, decoded));
    EXPECT_EQ(decoded, hello);
    EXPECT_FALSE(decodeHello({buffer.data(), size - 1}, decoded)) << "truncated";
}

TEST(PeerMessageTest, AReportRoundTrips)
{
    const Report report{.lifetime = 9,
                        .service = idOf<ServiceId>("sportello"),
                        .zone = idOf<ZoneId>("bergamo"),
                        .state = BackendState::Draining,
                        .slots = 2,
                        .flows = 75,
                        .waiting = 3,
                        .coldLeft = std::chrono::milliseconds(1900),
                        .bornAt = 1'700'000'000'000,
                        .isFailing = true,
                        .balancers = 59,
                        .documents = {.configuration = 7, .evacuations = 80'000'000'000}};
    const auto size = encodeReport(buffer, report);
    Report decoded;
    ASSERT_TRUE(decodeReport({buffer.data(), size}, decoded));
    EXPECT_EQ(decoded, report);
    EXPECT_FALSE(decodeReport({buffer.data(), size - 1}, decoded)) << "truncated";
    buffer[peerHeaderSize + 16] = 200;
    EXPECT_FALSE(decodeReport({buffer.data(), size}, decoded)) << "invalid state";
}

TEST(PeerMessageTest, AReportMayCarryAFilterOfAllFlows)
{
    FlowKey held;
    FlowKey other;
    ASSERT_TRUE(parseEndpoint("203.0.113.7:40001", held.caller));
    ASSERT_TRUE(parseEndpoint("203.0.113.7:40002", other.caller));
    Report report{.heldFlowFilter = FlowFilter{}};
    report.heldFlowFilter->add(hashFlow(held));
    const auto size = encodeReport(buffer, report);
    Report decoded;
    ASSERT_TRUE(decodeReport({buffer.data(), size}, decoded));
    EXPECT_EQ(decoded, report);
    EXPECT_TRUE(decoded.heldFlowFilter->mayContain(hashFlow(held)));
    EXPECT_FALSE(decoded.heldFlowFilter->mayContain(hashFlow(other)));
    EXPECT_FALSE(decodeReport({buffer.data(), size - 1}, decoded)) << "truncated";
}

TEST(PeerMessageTest, AFilterHasFewFalsePositives)
{
    FlowFilter filter;
    FlowKey flow;
    constexpr std::uint16_t held = 50;
    for (flow.caller.port = 0; flow.caller.port < held; ++flow.caller.port) {
        filter.add(hashFlow(flow));
    }
    int falsePositives = 0;
    for (flow.caller.port = 1000; flow.caller.port < 2000; ++flow.caller.port) {
        falsePositives += filter.mayContain(hashFlow(flow)) ? 1 : 0;
    }
    EXPECT_LT(falsePositives, 50) << "one in twenty";
}

TEST(PeerMessageTest, ANoteRoundTrips)
{
    FlowKey flow;
    ASSERT_TRUE(parseEndpoint("203.0.113.7:40001", flow.caller));
    ASSERT_TRUE(parseEndpoint("198.51.100.1:443", flow.service));
    encodeNote(buffer, flow, address("10.3.0.5"));
    FlowKey decoded;
    IpAddress holder;
    ASSERT_TRUE(decodeNote({buffer.data(), noteSize}, decoded, holder));
    EXPECT_EQ(decoded, flow);
    EXPECT_EQ(holder, address("10.3.0.5"));
    EXPECT_FALSE(decodeNote({buffer.data(), noteSize - 1}, decoded, holder));
}

TEST(PeerMessageTest, HeadersOfOtherVersionsAndTypesAreRejected)
{
    encodePeerHeader(buffer, {.type = PeerMessageType::Return, .reason = ReturnReason::Cold, .number = 5});
    PeerHeader header;
    ASSERT_TRUE(decodePeerHeader(buffer, header));
    EXPECT_EQ(header.reason, ReturnReason::Cold);
    EXPECT_EQ(header.number, 5U);
    EXPECT_FALSE(decodePeerHeader({buffer.data(), peerHeaderSize - 1}, header)) << "truncated";
    buffer[2] = 99;
    EXPECT_FALSE(decodePeerHeader(buffer, header)) << "invalid reason";
    buffer[1] = 99;
    EXPECT_FALSE(decodePeerHeader(buffer, header)) << "invalid type";
    buffer[1] = 1;
    buffer[0] = 3;
    EXPECT_FALSE(decodePeerHeader(buffer, header)) << "another version";
}

} // namespace
} // namespace oriolelever
