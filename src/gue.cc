#include "oriolelever/gue.h"

#include <algorithm>

#include <fmt/format.h>
#include <sodium.h>

#include "oriolelever/bytes.h"

namespace oriolelever {

namespace {

constexpr std::size_t baseSize = 4;
constexpr std::size_t wordSize = 4;
constexpr std::size_t tagSize = 8;
constexpr std::size_t privateSize = 4 + 4 * 8;
constexpr std::size_t taggedPrivateSize = privateSize + tagSize;
constexpr std::size_t maxTaggedPayload = 64; // Covers the inner IP and TCP headers.
constexpr std::uint8_t privateVersion = 1;
constexpr std::uint8_t flagTag = 0x01;
constexpr std::uint8_t controlBit = 0x20;
constexpr std::uint8_t lengthMask = 0x1f;
constexpr std::size_t udpHeaderSize = 8;
constexpr std::size_t v4HeaderSize = 20;
constexpr std::size_t v6HeaderSize = 40;

static_assert(crypto_shorthash_BYTES == tagSize);
static_assert(crypto_shorthash_KEYBYTES == std::tuple_size_v<TagKey>);
static_assert(maxGueHeaderSize == baseSize + taggedPrivateSize);

using Tag = std::array<std::uint8_t, tagSize>;

// The tag covers the header, the private data, the payload's length and its first bytes; of a control
// message, every byte.
Tag computeTag(std::span<const std::uint8_t> header, std::span<const std::uint8_t> payload, bool control,
               const TagKey &key)
{
    Tag tag{};
    const std::size_t covered = control ? payload.size() : std::min(payload.size(), maxTaggedPayload);
    // Header and payload are adjacent but for the tag, which counts as the payload's length.
    std::array<std::uint8_t, baseSize + taggedPrivateSize + maxTaggedPayload> input{};
    auto end = std::copy(header.begin(), header.end(), input.begin());
    write64(&*end, payload.size());
    end += tagSize;
    if (covered <= maxTaggedPayload) {
        end = std::copy_n(payload.begin(), covered, end);
    } else {
        Tag digest{};
        crypto_shorthash(digest.data(), payload.data(), covered, key.data());
        end = std::copy(digest.begin(), digest.end(), end);
    }
    crypto_shorthash(tag.data(), input.data(), static_cast<std::size_t>(end - input.begin()), key.data());
    return tag;
}

bool isTagRight(std::span<const std::uint8_t> datagram, std::span<const std::uint8_t> payload, bool control,
                const TagKeys &keys)
{
    const auto header = datagram.first(baseSize + privateSize);
    const std::uint8_t *const found = datagram.data() + header.size();
    for (const auto &key : {keys.current, keys.previous}) {
        if (!key) {
            continue;
        }
        const auto expected = computeTag(header, payload, control, *key);
        if (sodium_memcmp(expected.data(), found, tagSize) == 0) {
            return true;
        }
    }
    return false;
}

struct Base
{
    std::size_t headerSize = 0;
    std::span<const std::uint8_t> privateData;
};

GueFault decodeBase(std::span<std::uint8_t> datagram, GuePacket &out, Base &base)
{
    out = {};
    if (datagram.size() < baseSize) {
        return GueFault::Truncated;
    }
    if ((datagram[0] >> 6) != 0) {
        return GueFault::UnknownVariant;
    }
    base.headerSize = baseSize + wordSize * (datagram[0] & lengthMask);
    if (datagram.size() < base.headerSize) {
        return GueFault::Truncated;
    }
    if (read16(datagram.data() + 2) != 0) {
        return GueFault::UnknownFlags;
    }
    out.control = (datagram[0] & controlBit) != 0;
    out.type = datagram[1];
    out.payload = datagram.subspan(base.headerSize);
    base.privateData = datagram.subspan(baseSize, base.headerSize - baseSize);
    return GueFault::None;
}

bool isTypeKnown(const GuePacket &packet)
{
    if (!packet.control) {
        return packet.type == gueIpv4 || packet.type == gueIpv6;
    }
    switch (static_cast<ControlType>(packet.type)) {
    case ControlType::Directory:
    case ControlType::StaleBalancer:
    case ControlType::WrongTarget:
        return true;
    }
    return false;
}

void writeHeader(std::uint8_t *out, std::size_t privateBytes, bool control, std::uint8_t type)
{
    out[0] = static_cast<std::uint8_t>((control ? controlBit : 0) | (privateBytes / wordSize));
    out[1] = type;
    write16(out + 2, 0);
}

bool parseKey(std::string_view text, std::optional<TagKey> &out)
{
    if (text.empty()) {
        return true;
    }
    TagKey key{};
    std::size_t size = 0;
    const char *end = nullptr;
    if (sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), nullptr, &size, &end) != 0
        || size != key.size() || end != text.data() + text.size()) {
        return false;
    }
    out = key;
    return true;
}

} // namespace

std::string_view toString(GueFault fault)
{
    constexpr std::array<std::string_view, gueFaultCount> names = {"none",
                                                                   "truncated",
                                                                   "unknown_variant",
                                                                   "unknown_flags",
                                                                   "unknown_protocol",
                                                                   "unknown_private_data",
                                                                   "missing_private_data",
                                                                   "missing_tag",
                                                                   "wrong_tag"};
    return names.at(static_cast<std::size_t>(fault));
}

Result<TagKeys> parseTagKeys(std::string_view current, std::string_view previous)
{
    TagKeys keys;
    if (!parseKey(current, keys.current)) {
        return fail(Code::SettingInvalid, "control.key is not 32 hexadecimal digits");
    }
    if (!parseKey(previous, keys.previous)) {
        return fail(Code::SettingInvalid, "control.previous_key is not 32 hexadecimal digits");
    }
    return keys;
}

GueFault decodePlainGue(std::span<std::uint8_t> datagram, GuePacket &out)
{
    Base base;
    if (const auto fault = decodeBase(datagram, out, base); fault != GueFault::None) {
        return fault;
    }
    return !out.control && isTypeKnown(out) ? GueFault::None : GueFault::UnknownProtocol;
}

GueFault decodeGue(std::span<std::uint8_t> datagram, const TagKeys &keys, GuePacket &out)
{
    Base base;
    if (const auto fault = decodeBase(datagram, out, base); fault != GueFault::None) {
        return fault;
    }
    if (!isTypeKnown(out)) {
        return GueFault::UnknownProtocol;
    }
    const auto data = base.privateData;
    if (data.empty()) {
        return GueFault::MissingPrivateData;
    }
    if (data.size() < privateSize || data[0] != privateVersion) {
        return GueFault::UnknownPrivateData;
    }
    const bool tagged = (data[1] & flagTag) != 0;
    if (data.size() != (tagged ? taggedPrivateSize : privateSize)) {
        return GueFault::UnknownPrivateData;
    }
    if (keys.current) {
        if (!tagged) {
            return GueFault::MissingTag;
        }
        if (!isTagRight(datagram, out.payload, out.control, keys)) {
            return GueFault::WrongTag;
        }
    }
    out.path = PathData{.service = {read64(&data[4])},
                        .target = read64(&data[12]),
                        .rosterVersion = read64(&data[20]),
                        .sender = {read64(&data[28])},
                        .hops = data[2],
                        .purpose = data[3]};
    return GueFault::None;
}

std::span<std::uint8_t> prependGue(std::span<std::uint8_t> payload, bool control, std::uint8_t type,
                                   const PathData &path, const TagKeys &keys)
{
    const std::size_t dataSize = keys.current ? taggedPrivateSize : privateSize;
    const std::size_t headerSize = baseSize + dataSize;
    std::uint8_t *const start = payload.data() - headerSize;
    writeHeader(start, dataSize, control, type);
    std::uint8_t *const data = start + baseSize;
    data[0] = privateVersion;
    data[1] = keys.current ? flagTag : 0;
    data[2] = path.hops;
    data[3] = path.purpose;
    write64(data + 4, path.service.value);
    write64(data + 12, path.target);
    write64(data + 20, path.rosterVersion);
    write64(data + 28, path.sender.value);
    if (keys.current) {
        const auto tag = computeTag({start, baseSize + privateSize}, payload, control, *keys.current);
        std::copy(tag.begin(), tag.end(), data + privateSize);
    }
    return {start, headerSize + payload.size()};
}

std::span<std::uint8_t> prependPlainGue(std::span<std::uint8_t> payload)
{
    std::uint8_t *const start = payload.data() - baseSize;
    const bool v6 = !payload.empty() && (payload[0] >> 4) == 6;
    writeHeader(start, 0, false, v6 ? gueIpv6 : gueIpv4);
    return {start, baseSize + payload.size()};
}

std::size_t outerOverhead(bool outerV6, bool withPath, const TagKeys &keys)
{
    const std::size_t outer = (outerV6 ? v6HeaderSize : v4HeaderSize) + udpHeaderSize + baseSize;
    if (!withPath) {
        return outer;
    }
    return outer + (keys.current ? taggedPrivateSize : privateSize);
}

} // namespace oriolelever
