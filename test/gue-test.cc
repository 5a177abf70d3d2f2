#include "oriolelever/gue.h"

#include <numeric>
#include <vector>

#include <gtest/gtest.h>

using namespace oriolelever;

namespace {

constexpr PathData path{.service = {0x1122334455667788},
                        .targetIncarnation = 7,
                        .rosterVersion = 9,
                        .sender = {5},
                        .hops = 2,
                        .purpose = 3};

TagKeys keysOf(std::string_view current, std::string_view previous = "")
{
    return handleError([&] { return parseTagKeys(current, previous); },
                       [](const Error &) { return TagKeys{}; });
}

const TagKeys taggedKeys = keysOf("000102030405060708090a0b0c0d0e0f");

struct PayloadBuffer
{
    std::vector<std::uint8_t> buffer = std::vector<std::uint8_t>(maxGueHeaderSize + 100);
    std::span<std::uint8_t> payload = std::span(buffer).subspan(maxGueHeaderSize);

    PayloadBuffer()
    {
        std::iota(payload.begin(), payload.end(), std::uint8_t{0x45});
    }
};

} // namespace

TEST(GueTest, PathDataSurvivesEncoding)
{
    for (const auto &keys : {TagKeys{}, taggedKeys}) {
        PayloadBuffer payloadBuffer;
        const auto datagram = prependGue(payloadBuffer.payload, false, gueIpv4, path, keys);
        GuePacket packet;
        ASSERT_EQ(decodeGue(datagram, keys, packet), GueFault::None);
        EXPECT_EQ(packet.path, path);
        EXPECT_EQ(packet.type, gueIpv4);
        EXPECT_FALSE(packet.control);
        EXPECT_EQ(packet.payload.data(), payloadBuffer.payload.data());
        EXPECT_EQ(packet.payload.size(), payloadBuffer.payload.size());
    }
}

TEST(GueTest, PlainHeaderHasThePublishedForm)
{
    PayloadBuffer payloadBuffer;
    const auto datagram = prependPlainGue(payloadBuffer.payload);
    EXPECT_EQ((std::vector<std::uint8_t>{datagram.begin(), datagram.begin() + 4}),
              (std::vector<std::uint8_t>{0x00, 4, 0, 0}));
    GuePacket packet;
    EXPECT_EQ(decodePlainGue(datagram, packet), GueFault::None);
    EXPECT_FALSE(packet.path);
}

TEST(GueTest, EveryChangedByteOfTheTaggedPartIsFound)
{
    for (const bool control : {false, true}) {
        PayloadBuffer payloadBuffer;
        const auto type = control ? static_cast<std::uint8_t>(ControlType::Directory) : gueIpv4;
        const auto datagram = prependGue(payloadBuffer.payload, control, type, path, taggedKeys);
        const std::size_t coveredSize = control ? datagram.size() : maxGueHeaderSize + 64;
        for (std::size_t i = 0; i < coveredSize; ++i) {
            datagram[i] ^= 0x01;
            GuePacket packet;
            EXPECT_NE(decodeGue(datagram, taggedKeys, packet), GueFault::None) << "byte " << i;
            datagram[i] ^= 0x01;
        }
        GuePacket packet;
        EXPECT_EQ(decodeGue(datagram.first(datagram.size() - 1), taggedKeys, packet), GueFault::WrongTag);
    }
}

TEST(GueTest, PreviousKeyIsAcceptedWhileKeysChange)
{
    const auto rotatedKeys = keysOf("ff0102030405060708090a0b0c0d0e0f", "000102030405060708090a0b0c0d0e0f");
    PayloadBuffer payloadBuffer;
    const auto datagram = prependGue(payloadBuffer.payload, false, gueIpv4, path, taggedKeys);
    GuePacket packet;
    EXPECT_EQ(decodeGue(datagram, rotatedKeys, packet), GueFault::None);
    EXPECT_EQ(decodeGue(datagram, keysOf("ff0102030405060708090a0b0c0d0e0f"), packet), GueFault::WrongTag);
}

TEST(GueTest, UntaggedDatagramIsRefusedOnceAKeyIsSet)
{
    PayloadBuffer payloadBuffer;
    GuePacket packet;
    EXPECT_EQ(decodeGue(prependGue(payloadBuffer.payload, false, gueIpv4, path, {}), taggedKeys, packet),
              GueFault::MissingTag);
    EXPECT_EQ(decodeGue(prependPlainGue(payloadBuffer.payload), taggedKeys, packet),
              GueFault::MissingPrivateData);
}

TEST(GueTest, UnknownHeaderFormsAreRefused)
{
    PayloadBuffer payloadBuffer;
    const auto datagram = prependPlainGue(payloadBuffer.payload);
    const auto faultWith = [&](std::size_t index, std::uint8_t value) {
        const auto old = datagram[index];
        datagram[index] = value;
        GuePacket packet;
        const auto fault = decodePlainGue(datagram, packet);
        datagram[index] = old;
        return fault;
    };
    EXPECT_EQ(faultWith(0, 0x45), GueFault::UnknownVariant);
    EXPECT_EQ(faultWith(0, 0x1f), GueFault::Truncated);
    EXPECT_EQ(faultWith(0, 0x20), GueFault::UnknownProtocol);
    EXPECT_EQ(faultWith(1, 6), GueFault::UnknownProtocol);
    EXPECT_EQ(faultWith(3, 1), GueFault::UnknownFlags);
    GuePacket packet;
    EXPECT_EQ(decodePlainGue(datagram.first(3), packet), GueFault::Truncated);
}

TEST(GueTest, InvalidKeyIsNamed)
{
    const auto text = handleError(
        []() -> Result<std::string> {
            BOOST_LEAF_CHECK(parseTagKeys("00", ""));
            return std::string();
        },
        [](const Error &error) { return error.text; });
    EXPECT_EQ(text, "control.key must be empty or 32 hexadecimal digits");
}
