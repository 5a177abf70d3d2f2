#include "oriolelever/packet.h"

#include <array>
#include <numeric>
#include <vector>

#include <gtest/gtest.h>

#include "oriolelever/bytes.h"

using namespace oriolelever;

namespace {

using Packet = std::vector<std::uint8_t>;

Endpoint endpointOf(std::string_view text)
{
    Endpoint endpoint;
    EXPECT_TRUE(parseEndpoint(text, endpoint)) << text;
    return endpoint;
}

const std::array<std::pair<Endpoint, Endpoint>, 2> families = {
    std::pair{endpointOf("192.0.2.1:4000"), endpointOf("198.51.100.9:443")},
    std::pair{endpointOf("[2001:db8::1]:4000"), endpointOf("[2001:db8::9]:443")},
};

Packet tcpPacket(const std::pair<Endpoint, Endpoint> &endpoints, std::uint8_t flags, std::size_t payload = 0,
                 std::uint16_t mss = 0)
{
    Packet data(payload);
    std::iota(data.begin(), data.end(), std::uint8_t{1});
    Packet packet(2000);
    packet.resize(buildTcp(packet,
                           {.source = endpoints.first,
                            .destination = endpoints.second,
                            .tcpFlags = flags,
                            .sequence = 100,
                            .acknowledgement = 200,
                            .mss = mss,
                            .payload = data}));
    return packet;
}

Packet udpPacket(const std::pair<Endpoint, Endpoint> &endpoints, std::size_t payload)
{
    const Packet data(payload, 0x61);
    Packet packet(2000);
    packet.resize(
        buildUdp(packet, {.source = endpoints.first, .destination = endpoints.second, .payload = data}));
    return packet;
}

PacketFault faultOf(const Packet &packet)
{
    ParsedPacket parsed;
    return parsePacket(packet, parsed);
}

ParsedPacket parse(const Packet &packet)
{
    ParsedPacket parsed;
    EXPECT_EQ(parsePacket(packet, parsed), PacketFault::None);
    return parsed;
}

} // namespace

TEST(PacketTest, BuiltPacketsParseAndHaveRightChecksums)
{
    for (const auto &endpoints : families) {
        for (const std::size_t size : {0, 1, 64, 1400}) {
            const auto segment = tcpPacket(endpoints, tcp::ack | tcp::psh, size);
            const auto parsed = parse(segment);
            EXPECT_EQ(parsed.flow, (FlowKey{endpoints.first, endpoints.second, Protocol::Tcp}));
            EXPECT_EQ(parsed.payloadSize(), size);
            EXPECT_EQ(parsed.sequence, 100U);
            EXPECT_TRUE(isTransportChecksumValid(segment, parsed));
            const auto datagram = udpPacket(endpoints, size);
            EXPECT_EQ(parse(datagram).flow, (FlowKey{endpoints.first, endpoints.second, Protocol::Udp}));
            EXPECT_TRUE(isTransportChecksumValid(datagram, parse(datagram)));
        }
    }
}

TEST(PacketTest, EveryTruncationIsFound)
{
    for (const auto &endpoints : families) {
        for (const auto &whole : {tcpPacket(endpoints, tcp::syn, 0, 1460), udpPacket(endpoints, 30)}) {
            for (std::size_t size = 0; size < whole.size(); ++size) {
                EXPECT_EQ(faultOf({whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(size)}),
                          PacketFault::Truncated)
                    << size;
            }
        }
    }
}

TEST(PacketTest, MalformedHeadersAreReportedByFault)
{
    const auto faultWith = [](std::size_t family, std::size_t index, std::uint8_t value) {
        auto packet = tcpPacket(families[family], tcp::syn);
        packet[index] = value;
        if (family == 0 && index != 10) {
            // Corrects the header checksum, so that the fault under test is not hidden by a checksum fault.
            write16(&packet[10], 0);
            std::uint32_t sum = 0;
            for (std::size_t i = 0; i < 20; i += 2) {
                sum += read16(&packet[i]);
            }
            sum = (sum & 0xffff) + (sum >> 16);
            write16(&packet[10], static_cast<std::uint16_t>(~((sum & 0xffff) + (sum >> 16))));
        }
        return faultOf(packet);
    };
    EXPECT_EQ(faultWith(0, 0, 0x55), PacketFault::NotIp);
    EXPECT_EQ(faultWith(0, 0, 0x44), PacketFault::HeaderLength);
    EXPECT_EQ(faultWith(0, 3, 39), PacketFault::TotalLength);
    EXPECT_EQ(faultWith(0, 6, 0x20), PacketFault::Fragment);
    EXPECT_EQ(faultWith(0, 7, 0x01), PacketFault::Fragment);
    EXPECT_EQ(faultWith(0, 9, 47), PacketFault::UnknownProtocol);
    EXPECT_EQ(faultWith(0, 10, 0), PacketFault::HeaderChecksum);
    EXPECT_EQ(faultWith(0, 32, 0x40), PacketFault::HeaderLength);
    EXPECT_EQ(faultWith(0, 33, tcp::syn | tcp::fin), PacketFault::TransportHeader);
    EXPECT_EQ(faultWith(0, 33, 0), PacketFault::TransportHeader);
    EXPECT_EQ(faultWith(1, 5, 21), PacketFault::Truncated);
    EXPECT_EQ(faultWith(1, 5, 19), PacketFault::TotalLength);
    EXPECT_EQ(faultWith(1, 6, 44), PacketFault::Fragment);
    EXPECT_EQ(faultWith(1, 6, 50), PacketFault::UnknownProtocol);
}

TEST(PacketTest, LongChainOfExtensionHeadersIsRefused)
{
    Packet packet(40 + 8 * 6);
    packet[0] = 0x60;
    packet[5] = 8 * 6;
    packet[6] = 60;
    for (std::size_t i = 0; i < 6; ++i) {
        packet[40 + 8 * i] = 60;
    }
    EXPECT_EQ(faultOf(packet), PacketFault::ExtensionHeaders);
}

TEST(PacketTest, MappedAddressInsideIpv6IsRefused)
{
    const auto v4 = families[0];
    Packet packet(40 + 20);
    packet[0] = 0x60;
    packet[5] = 20;
    packet[6] = 6;
    std::copy(v4.first.address.bytes.begin(), v4.first.address.bytes.end(), packet.begin() + 8);
    std::copy(v4.second.address.bytes.begin(), v4.second.address.bytes.end(), packet.begin() + 24);
    EXPECT_EQ(faultOf(packet), PacketFault::NotIp);
}

TEST(PacketTest, ClampedMssKeepsTheChecksumRight)
{
    for (const auto &endpoints : families) {
        auto packet = tcpPacket(endpoints, tcp::syn, 0, 1460);
        const auto parsed = parse(packet);
        EXPECT_TRUE(clampMss(packet, parsed, 1200));
        EXPECT_EQ(read16(&packet[packet.size() - 2]), 1200);
        EXPECT_TRUE(isTransportChecksumValid(packet, parsed));
        EXPECT_FALSE(clampMss(packet, parsed, 1200));
        packet[packet.size() - 1] ^= 0x01;
        EXPECT_TRUE(clampMss(packet, parsed, 1100));
        EXPECT_FALSE(isTransportChecksumValid(packet, parsed));
    }
}

TEST(PacketTest, ResetAnswersTheSegment)
{
    const auto data = parse(tcpPacket(families[0], tcp::ack, 10));
    Packet reset(100);
    reset.resize(buildReset(reset, data));
    auto parsed = parse(reset);
    EXPECT_EQ(parsed.flow, reversed(data.flow));
    EXPECT_EQ(parsed.tcpFlags, tcp::rst);
    EXPECT_EQ(parsed.sequence, 200U);

    reset.resize(100);
    reset.resize(buildReset(reset, parse(tcpPacket(families[1], tcp::syn))));
    parsed = parse(reset);
    EXPECT_EQ(parsed.tcpFlags, tcp::rst | tcp::ack);
    EXPECT_EQ(parsed.acknowledgement, 101U);

    reset.resize(100);
    EXPECT_EQ(buildReset(reset, parse(tcpPacket(families[0], tcp::rst | tcp::ack))), 0U);
    EXPECT_EQ(buildReset(reset, parse(udpPacket(families[0], 4))), 0U);
}

TEST(PacketTest, TooBigErrorIsParsedWithTheFlowThatItQuotes)
{
    for (const auto &endpoints : families) {
        // A packet from the service exceeds the MTU on the callers' side; the error goes to the service.
        const auto answer = tcpPacket({endpoints.second, endpoints.first}, tcp::ack, 1400);
        Packet error(1500);
        error.resize(buildTooBig(error, answer, parse(answer), 1300));
        ASSERT_FALSE(error.empty());
        const auto parsed = parse(error);
        EXPECT_TRUE(parsed.isIcmpError);
        EXPECT_EQ(parsed.flow, (FlowKey{endpoints.first, endpoints.second, Protocol::Tcp}));
        EXPECT_LE(error.size(), 1280U);
        EXPECT_FALSE(parsed.isNewTcpFlow());
    }
}
