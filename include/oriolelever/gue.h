/// Generic UDP Encapsulation, variant 0, with the private data that the processes of the system add.
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

/// Protocol numbers of an encapsulated packet.
constexpr std::uint8_t gueIpv4 = 4;
constexpr std::uint8_t gueIpv6 = 41;

/// Types of the control messages between the processes (C bit set).
enum class ControlType : std::uint8_t {
    Directory = 240, ///< Agent to agent; directory-codec.h.
    StaleBalancer = 241, ///< Agent to balancer: it decided by an old roster version.
    WrongTarget = 242, ///< Agent to sender: this is not the service or incarnation that was meant.
};

/// Private data of the header: what the sender decided by and whom it means.
struct PathData
{
    ServiceId service;
    Incarnation target = 0; ///< Incarnation of the process that is meant; 0 means any.
    std::uint64_t rosterVersion = 0;
    ServerId sender; ///< The agent that sends; 0 for a balancer.
    std::uint8_t hops = 0; ///< Times the packet has been passed on from agent to agent.
    std::uint8_t purpose = 0; ///< `PacketPurpose` of a packet.

    bool operator==(const PathData &) const = default;
};

/// Secret of the packet tags.
using TagKey = std::array<std::uint8_t, 16>;

/// Keys of a process. Without a current key packets carry no tag and none is asked for.
struct TagKeys
{
    std::optional<TagKey> current; ///< Signs, and is accepted.
    std::optional<TagKey> previous; ///< Only accepted.
};

/// Parses 32 hexadecimal digits each; empty text means no key. Fails with `Code::SettingInvalid`.
Result<TagKeys> parseTagKeys(std::string_view current, std::string_view previous);

enum class GueFault : std::uint8_t {
    None,
    Truncated,
    UnknownVariant,
    UnknownFlags, ///< Extension fields that are not known; the header says to drop such packets.
    UnknownProtocol,
    UnknownPrivateData,
    MissingPrivateData,
    MissingTag,
    WrongTag,
};

constexpr std::size_t gueFaultCount = static_cast<std::size_t>(GueFault::WrongTag) + 1;

std::string_view toString(GueFault fault);

/// A decoded datagram; `payload` points into it.
struct GuePacket
{
    bool control = false;
    std::uint8_t type = 0; ///< Protocol number, or the control type.
    std::optional<PathData> path;
    std::span<std::uint8_t> payload;
};

/// Room to leave before a payload for `prependGue`.
constexpr std::size_t maxGueHeaderSize = 4 + 4 + 4 * 8 + 8;

/// True when the datagram claims to be a control message.
inline bool isControl(std::span<const std::uint8_t> datagram)
{
    constexpr std::uint8_t controlBit = 0x20;
    return !datagram.empty() && (datagram[0] & controlBit) != 0;
}

/// Decodes a datagram of another process of the system: private data, and a right tag if keys are set, are
/// required.
GueFault decodeGue(std::span<std::uint8_t> datagram, const TagKeys &keys, GuePacket &out);

/// Decodes a datagram of the fabric or of an agent's answers, which have no private data of ours.
GueFault decodePlainGue(std::span<std::uint8_t> datagram, GuePacket &out);

/// Writes a header with private data right before `payload`, in the same buffer, which must have
/// `maxGueHeaderSize` bytes before it. Returns the whole datagram.
std::span<std::uint8_t> prependGue(std::span<std::uint8_t> payload, bool control, std::uint8_t type,
                                   const PathData &path, const TagKeys &keys);

/// Writes a header without private data right before the IP packet `payload`.
std::span<std::uint8_t> prependPlainGue(std::span<std::uint8_t> payload);

/// Bytes that encapsulation adds to an inner packet, the outer IP and UDP headers included.
std::size_t outerOverhead(bool outerV6, bool withPath, const TagKeys &keys);

} // namespace oriolelever
