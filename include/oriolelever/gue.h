/// Generic UDP Encapsulation (GUE), variant 0, with the private data that balancers and agents add.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "oriolelever/codes.h"
#include "oriolelever/types.h"

namespace oriolelever {

/// IP protocol numbers of the encapsulated packet.
constexpr std::uint8_t gueIpv4 = 4;
constexpr std::uint8_t gueIpv6 = 41;

/// Types of the control messages between balancers and agents (C bit set).
enum class ControlType : std::uint8_t {
    Directory = 240, ///< Agent to agent: a message of directory-codec.h.
    StaleRoster = 241, ///< Agent to balancer: the packet was routed by an old roster or incarnation.
    WrongTarget = 242, ///< Agent to sender: the packet was meant for another service.
};

/// Private data of the header: the roster that the sender routed by, and the intended receiver.
struct PathData
{
    ServiceId service;
    Incarnation targetIncarnation = 0; ///< Incarnation of the intended receiver; 0 means any.
    std::uint64_t rosterVersion = 0; ///< Version of the sender's roster.
    ServerId sender; ///< Server whose agent sends the packet; 0 if a balancer sends it.
    std::uint8_t hops = 0; ///< Number of agents that have forwarded the packet.
    std::uint8_t purpose = 0; ///< A `PacketPurpose`; 0 in control messages.

    bool operator==(const PathData &) const = default;
};

/// Secret key of the packet tags, which authenticate packets between balancers and agents.
using TagKey = std::array<std::uint8_t, 16>;

/// Keys of a process. Without a current key, packets are sent without a tag and accepted without one.
struct TagKeys
{
    std::optional<TagKey> current; ///< Makes the tags of sent packets; accepted in received ones.
    std::optional<TagKey> previous; ///< Accepted in received packets only, while the key is changed.
};

/// Parses two keys of 32 hexadecimal digits; an empty text means no key. Fails with `Code::SettingInvalid`.
Result<TagKeys> parseTagKeys(std::string_view current, std::string_view previous);

/// Why a datagram cannot be decoded.
enum class GueFault : std::uint8_t {
    None,
    Truncated, ///< Ends inside the header.
    UnknownVariant, ///< The variant is not 0.
    UnknownFlags, ///< Unknown extension fields; GUE requires that such packets are dropped.
    UnknownProtocol, ///< Neither IPv4 nor IPv6 nor a known control type.
    UnknownPrivateData, ///< Private data of an unknown version or size.
    MissingPrivateData,
    MissingTag, ///< The receiver has a key, but the datagram has no tag.
    WrongTag, ///< The tag matches neither key.
};

constexpr std::size_t gueFaultCount = static_cast<std::size_t>(GueFault::WrongTag) + 1;

std::string_view toString(GueFault fault);

/// A decoded datagram.
struct GuePacket
{
    bool control = false; ///< The C bit: a control message, not an IP packet.
    std::uint8_t type = 0; ///< `gueIpv4` or `gueIpv6`, or the `ControlType` of a control message.
    std::optional<PathData> path; ///< Set by `decodeGue`, not by `decodePlainGue`.
    std::span<std::uint8_t> payload; ///< Points into the datagram.
};

/// Bytes to leave free before a payload for `prependGue`: base header, private data and tag.
constexpr std::size_t maxGueHeaderSize = 4 + 4 + 4 * 8 + 8;

/// Returns whether the C bit, which marks a control message, is set. Nothing else is checked.
inline bool isControl(std::span<const std::uint8_t> datagram)
{
    constexpr std::uint8_t controlBit = 0x20;
    return !datagram.empty() && (datagram[0] & controlBit) != 0;
}

/// Decodes a datagram from a balancer or an agent. It must have private data and, if `keys` has a current
/// key, a valid tag.
GueFault decodeGue(std::span<std::uint8_t> datagram, const TagKeys &keys, GuePacket &out);

/// Decodes a datagram without private data of ours: from the fabric to a balancer, or from an agent to the
/// callers' side. Control messages are refused.
GueFault decodePlainGue(std::span<std::uint8_t> datagram, GuePacket &out);

/// Writes a header with private data directly before `payload`, in the same buffer, which must have
/// `maxGueHeaderSize` bytes before it. `type` is as in `GuePacket`. With a current key the header has a tag.
/// Returns the whole datagram.
std::span<std::uint8_t> prependGue(std::span<std::uint8_t> payload, bool control, std::uint8_t type,
                                   const PathData &path, const TagKeys &keys);

/// Writes a header without private data, which is 4 bytes long, directly before the IP packet `payload`, in
/// the same buffer. Returns the whole datagram.
std::span<std::uint8_t> prependPlainGue(std::span<std::uint8_t> payload);

/// Bytes that the encapsulation adds to an inner packet, outer IP and UDP headers included. `withPathData`
/// says whether the header has private data.
std::size_t outerOverhead(bool outerV6, bool withPathData, const TagKeys &keys);

} // namespace oriolelever
