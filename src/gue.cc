#include "oriolelever/gue.h"

#include <algorithm>

#include <fmt/format.h>
#include <sodium.h>

#include "oriolelever/bytes.h"

namespace oriolelever {

namespace {

// Sizes in bytes.
constexpr std::size_t baseHeaderSize = 4;
constexpr std::size_t wordSize = 4; // Unit of the header length field.
constexpr std::size_t tagSize = 8;
constexpr std::size_t privateDataSize = 4 + 4 * 8; // Version, flags, hops, purpose; the rest of `PathData`.
constexpr std::size_t taggedPrivateDataSize = privateDataSize + tagSize;
constexpr std::size_t maxTaggedPayloadSize = 64; // Enough for the inner IP and TCP headers.
constexpr std::uint8_t privateDataVersion = 1;
constexpr std::uint8_t tagFlag = 0x01;
constexpr std::uint8_t controlBit = 0x20;
constexpr std::uint8_t lengthMask = 0x1f;
constexpr std::size_t udpHeaderSize = 8;
constexpr std::size_t v4HeaderSize = 20;
constexpr std::size_t v6HeaderSize = 40;

static_assert(crypto_shorthash_BYTES == tagSize);
static_assert(crypto_shorthash_KEYBYTES == std::tuple_size_v<TagKey>);
static_assert(maxGueHeaderSize == baseHeaderSize + taggedPrivateDataSize);

using Tag = std::array<std::uint8_t, tagSize>;

// The tag covers the base header, the private data, the length of the payload, and the first
// `maxTaggedPayloadSize` bytes of the payload, or all of it in a control message.
Tag computeTag(std::span<const std::uint8_t> header, std::span<const std::uint8_t> payload, bool control,
               const TagKey &key)
{
    Tag tag{};
    const std::size_t coveredSize = control ? payload.size() : std::min(payload.size(), maxTaggedPayloadSize);
    // In the input of the hash, the length of the payload stands in the place of the tag. A longer payload is
    // replaced by its hash.
    std::array<std::uint8_t, baseHeaderSize + taggedPrivateDataSize + maxTaggedPayloadSize> input{};
    auto end = std::copy(header.begin(), header.end(), input.begin());
    write64(&*end, payload.size());
    end += tagSize;
    if (coveredSize <= maxTaggedPayloadSize) {
        end = std::copy_n(payload.begin(), coveredSize, end);
    } else {
        Tag digest{};
        crypto_shorthash(digest.data(), payload.data(), coveredSize, key.data());
        end = std::copy(digest.begin(), digest.end(), end);
    }
    crypto_shorthash(tag.data(), input.data(), static_cast<std::size_t>(end - input.begin()), key.data());
    return tag;
}

bool isTagValid(std::span<const std::uint8_t> datagram, std::span<const std::uint8_t> payload, bool control,
                const TagKeys &keys)
{
    const auto header = datagram.first(baseHeaderSize + privateDataSize);
    const std::uint8_t *const receivedTag = datagram.data() + header.size();
    for (const auto &key : {keys.current, keys.previous}) {
        if (!key) {
            continue;
        }
        const auto expected = computeTag(header, payload, control, *key);
        if (sodium_memcmp(expected.data(), receivedTag, tagSize) == 0) {
            return true;
        }
    }
    return false;
}

// The base header, and the private data that follows it.
struct BaseHeader
{
    std::size_t headerSize = 0;
    std::span<const std::uint8_t> privateData;
};

GueFault decodeBaseHeader(std::span<std::uint8_t> datagram, GuePacket &out, BaseHeader &base)
{
    out = {};
    if (datagram.size() < baseHeaderSize) {
        return GueFault::Truncated;
    }
    if ((datagram[0] >> 6) != 0) {
        return GueFault::UnknownVariant;
    }
    base.headerSize = baseHeaderSize + wordSize * (datagram[0] & lengthMask);
    if (datagram.size() < base.headerSize) {
        return GueFault::Truncated;
    }
    if (read16(datagram.data() + 2) != 0) {
        return GueFault::UnknownFlags;
    }
    out.control = (datagram[0] & controlBit) != 0;
    out.type = datagram[1];
    out.payload = datagram.subspan(base.headerSize);
    base.privateData = datagram.subspan(baseHeaderSize, base.headerSize - baseHeaderSize);
    return GueFault::None;
}

bool isTypeKnown(const GuePacket &packet)
{
    if (!packet.control) {
        return packet.type == gueIpv4 || packet.type == gueIpv6;
    }
    switch (static_cast<ControlType>(packet.type)) {
    case ControlType::Directory:
    case ControlType::StaleRoster:
    case ControlType::WrongTarget:
        return true;
    }
    return false;
}

void writeHeader(std::uint8_t *out, std::size_t privateDataBytes, bool control, std::uint8_t type)
{
    out[0] = static_cast<std::uint8_t>((control ? controlBit : 0) | (privateDataBytes / wordSize));
    out[1] = type;
    write16(out + 2, 0);
}

// Parses 32 hexadecimal digits; an empty text leaves `out` empty. Returns false for any other text.
bool parseTagKey(std::string_view text, std::optional<TagKey> &out)
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
    if (!parseTagKey(current, keys.current)) {
        return fail(Code::SettingInvalid, "control.key must be empty or 32 hexadecimal digits");
    }
    if (!parseTagKey(previous, keys.previous)) {
        return fail(Code::SettingInvalid, "control.previous_key must be empty or 32 hexadecimal digits");
    }
    return keys;
}

GueFault decodePlainGue(std::span<std::uint8_t> datagram, GuePacket &out)
{
    BaseHeader base;
    if (const auto fault = decodeBaseHeader(datagram, out, base); fault != GueFault::None) {
        return fault;
    }
    return !out.control && isTypeKnown(out) ? GueFault::None : GueFault::UnknownProtocol;
}

GueFault decodeGue(std::span<std::uint8_t> datagram, const TagKeys &keys, GuePacket &out)
{
    BaseHeader base;
    if (const auto fault = decodeBaseHeader(datagram, out, base); fault != GueFault::None) {
        return fault;
    }
    if (!isTypeKnown(out)) {
        return GueFault::UnknownProtocol;
    }
    const auto data = base.privateData;
    if (data.empty()) {
        return GueFault::MissingPrivateData;
    }
    if (data.size() < privateDataSize || data[0] != privateDataVersion) {
        return GueFault::UnknownPrivateData;
    }
    const bool tagged = (data[1] & tagFlag) != 0;
    if (data.size() != (tagged ? taggedPrivateDataSize : privateDataSize)) {
        return GueFault::UnknownPrivateData;
    }
    if (keys.current) {
        if (!tagged) {
            return GueFault::MissingTag;
        }
        if (!isTagValid(datagram, out.payload, out.control, keys)) {
            return GueFault::WrongTag;
        }
    }
    out.path = PathData{.service = {read64(&data[4])},
                        .targetIncarnation = read64(&data[12]),
                        .rosterVersion = read64(&data[20]),
                        .sender = {read64(&data[28])},
                        .hops = data[2],
                        .purpose = data[3]};
    return GueFault::None;
}

std::span<std::uint8_t> prependGue(std::span<std::uint8_t> payload, bool control, std::uint8_t type,
                                   const PathData &path, const TagKeys &keys)
{
    const std::size_t dataSize = keys.current ? taggedPrivateDataSize : privateDataSize;
    const std::size_t headerSize = baseHeaderSize + dataSize;
    std::uint8_t *const start = payload.data() - headerSize;
    writeHeader(start, dataSize, control, type);
    std::uint8_t *const data = start + baseHeaderSize;
    data[0] = privateDataVersion;
    data[1] = keys.current ? tagFlag : 0;
    data[2] = path.hops;
    data[3] = path.purpose;
    write64(data + 4, path.service.value);
    write64(data + 12, path.targetIncarnation);
    write64(data + 20, path.rosterVersion);
    write64(data + 28, path.sender.value);
    if (keys.current) {
        const auto tag
            = computeTag({start, baseHeaderSize + privateDataSize}, payload, control, *keys.current);
        std::copy(tag.begin(), tag.end(), data + privateDataSize);
    }
    return {start, headerSize + payload.size()};
}

std::span<std::uint8_t> prependPlainGue(std::span<std::uint8_t> payload)
{
    std::uint8_t *const start = payload.data() - baseHeaderSize;
    const bool v6 = !payload.empty() && (payload[0] >> 4) == 6;
    writeHeader(start, 0, false, v6 ? gueIpv6 : gueIpv4);
    return {start, baseHeaderSize + payload.size()};
}

std::size_t outerOverhead(bool outerV6, bool withPathData, const TagKeys &keys)
{
    const std::size_t outer = (outerV6 ? v6HeaderSize : v4HeaderSize) + udpHeaderSize + baseHeaderSize;
    if (!withPathData) {
        return outer;
    }
    return outer + (keys.current ? taggedPrivateDataSize : privateDataSize);
}

} // namespace oriolelever
