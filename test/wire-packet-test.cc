#include "wire-packet.h"

#include <array>
#include <vector>

#include <gtest/gtest.h>

namespace oriolelever::platform {
namespace {

// The platform's published example: SYN from 100.64.0.7:40001 to 198.18.0.1:443, sequence 0x11223344.
const std::vector<std::uint8_t> opening{0x00, 0x00, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0xc6,
                                        0x12, 0x00, 0x01, 0x20, 0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0x11, 0x22,
                                        0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};
// The platform's published example of a reset by the load balancer.
const std::vector<std::uint8_t> reset{0x00, 0x00, 0x9c, 0x41, 0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x64,
                                      0x40, 0x00, 0x07, 0x02, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                                      0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

const PacketFormat format = wirePacketFormat();

TEST(WirePacketTest, ReadsThePublishedExample)
{
    Segment segment;
    ASSERT_TRUE(format.parse(opening, segment));
    EXPECT_EQ(toString(segment.source), "100.64.0.7:40001");
    EXPECT_EQ(toString(segment.destination), "198.18.0.1:443");
    EXPECT_TRUE(segment.opens());
    EXPECT_FALSE(segment.fin || segment.rst || segment.returned);
    EXPECT_EQ(segment.sequence, 0x11223344U);
    EXPECT_EQ(segment.payloadSize, 0U);
}

TEST(WirePacketTest, WritesThePublishedReset)
{
    Segment segment;
    ASSERT_TRUE(format.parse(opening, segment));
    std::array<std::uint8_t, maxResetSize> out{};
    const auto size = format.writeReset(out, segment.destination, segment.source, 0);
    EXPECT_EQ(std::vector<std::uint8_t>(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(size)), reset);
}

TEST(WirePacketTest, RefusesWhatIsNoWholePacket)
{
    Segment segment;
    auto bytes = opening;
    bytes.pop_back();
    EXPECT_FALSE(format.parse(bytes, segment)) << "short";
    bytes = opening;
    bytes.push_back(0);
    EXPECT_FALSE(format.parse(bytes, segment)) << "longer than its length field";
    bytes = opening;
    bytes[1] = 1;
    EXPECT_FALSE(format.parse(bytes, segment)) << "shorter than its length field";
    bytes = opening;
    bytes[14] |= 0x40;
    EXPECT_FALSE(format.parse(bytes, segment)) << "unknown flag";
    bytes.assign(32 + 1201, 0);
    bytes[0] = 0x04;
    bytes[1] = 0xb1;
    EXPECT_FALSE(format.parse(bytes, segment)) << "more data than a packet may hold";
    EXPECT_FALSE(format.parse({}, segment));
}

TEST(WirePacketTest, MarkAndReturnedFlagChangeNothingElse)
{
    auto bytes = opening;
    bytes[14] |= 4;
    format.setMark(bytes, 0x0a010203);
    Segment segment;
    ASSERT_TRUE(format.parse(bytes, segment));
    EXPECT_TRUE(segment.returned);
    EXPECT_EQ(segment.mark, 0x0a010203U);
    format.clearReturned(bytes);
    format.setMark(bytes, 0);
    EXPECT_EQ(bytes, opening);
}

} // namespace
} // namespace oriolelever::platform
