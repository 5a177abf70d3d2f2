#include "oriolelever/gue.h"

#include <numeric>
#include <vector>

#include <gtest/gtest.h>

using namespace oriolelever;

namespace {

constexpr PathData path{
    .service = {0x1122334455667788}, .target = 7, .rosterVersion = 9, .sender = {5}, .hops = 2, .purpose = 3};

TagKeys keysOf(std::string_view current, std::string_view previous = "")
{
    return handleError([&] { return parseTagKeys(current, previous); },
                       [](const Error &) { return TagKeys{}; });
}

const TagKeys tagged = keysOf("000102030405060708090a0b0c0d0e0f");

struct Sample
{
    std::vector<std::uint8_t> buffer = std::vector<std::uint8_t>(maxGueHeaderSize + 100);
    std::span<std::uint8_t> payload = std::span(buffer).subspan(maxGueHeaderSize);

    Sample()
    {
        std::iota(payload.begin(), payload.end(), std::uint8_t{0x45});
    }
};

} // namespace

TEST(GueTest, PathDataSurvivesEncoding)
{
    for (const auto &keys : {TagKeys{}, tagged}) {
        Sample sample;
        const auto datagram = prependGue(sample.payload, false, gueIpv4, path, keys);
        GuePacket packet;
        ASSERT_EQ(decodeGue(datagram, keys, packet), GueFault::None);
        EXPECT_EQ(packet.path, path);
        EXPECT_EQ(packet.type, gueIpv4);
        EXPECT_FALSE(packet.control);
        EXPECT_EQ(packet.payload.data(), sample.payload.data());
        EXPECT_EQ(packet.payload.size(), sample.payload.size());
    }
}

TEST(GueTest, PlainHeaderHasThePublishedForm)
{
    Sample sample;
    const auto datagram = prependPlainGue(sample.payload);
    EXPECT_EQ((std::vector<std::uint8_t>{datagram.begin(), datagram.begin() + 4}),
              (std::vector<std::uint8_t>{0x00, 4, 0, 0}));
    GuePacket packet;
    EXPECT_EQ(decodePlainGue(datagram, packet), GueFault::None);
    EXPECT_FALSE(packet.path);
}

TEST(GueTest, EveryChangedByteOfTheTaggedPartIsFound)
{
    for (const bool control : {false, true}) {
        Sample sample;
        const auto type = control ? static_cast<std::uint8_t>(ControlType::Directory) : gueIpv4;
        const auto datagram = prependGue(sample.payload, control, type, path, tagged);
        const std::size_t covered = control ? datagram.size() : maxGueHeaderSize + 64;
        for (std::size_t i = 0; i < covered; ++i) {
            datagram[i] ^= 0x01;
            GuePacket packet;
            EXPECT_NE(decodeGue(datagram, tagged, packet), GueFault::None) << "byte " << i;
            datagram[i] ^= 0x01;
        }
        GuePacket packet;
        EXPECT_EQ(decodeGue(datagram.first(datagram.size() - 1), tagged, packet), GueFault::WrongTag);
    }
}

TEST(GueTest, PreviousKeyIsAcceptedWhileKeysChange)
{
    const auto changed = keysOf("ff0102030405060708090a0b0c0d0e0f", "000102030405060708090a0b0c0d0e0f");
    Sample sample;
    const auto datagram = prependGue(sample.payload, false, gueIpv4, path, tagged);
    GuePacket packet;
    EXPECT_EQ(decodeGue(datagram, changed, packet), GueFault::None);
    EXPECT_EQ(decodeGue(datagram, keysOf("ff0102030405060708090a0b0c0d0e0f"), packet), GueFault::WrongTag);
}

TEST(GueTest, UntaggedIsRefusedOnceAKeyIsSet)
{
    Sample sample;
    GuePacket packet;
    EXPECT_EQ(decodeGue(prependGue(sample.payload, false, gueIpv4, path, {}), tagged, packet),
              GueFault::MissingTag);
    EXPECT_EQ(decodeGue(prependPlainGue(sample.payload), tagged, packet), GueFault::MissingPrivateData);
}

TEST(GueTest, UnknownFormsAreRefused)
{
    Sample sample;
    const auto datagram = prependPlainGue(sample.payload);
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

TEST(GueTest, WrongKeyIsNamed)
{
    const auto text = handleError(
        []() -> Result<std::string> {
            BOOST_LEAF_CHECK(parseTagKeys("00", ""));
            return std::string();
        },
        [](const Error &error) { return error.text; });
    EXPECT_EQ(text, "control.key is not 32 hexadecimal digits");
}
