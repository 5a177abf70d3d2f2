/// Parsing and building of the inner IP packets: IPv4, IPv6, TCP, UDP and the ICMP errors that belong to a
/// flow.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "oriolelever/flow.h"

namespace oriolelever {

/// Why a packet cannot be handled; docs/PACKETS.md holds the treatment of each.
enum class PacketFault : std::uint8_t {
    None,
    Truncated, ///< Ends inside a header.
    NotIp, ///< Neither IPv4 nor IPv6.
    HeaderLength, ///< A header states an impossible length.
    TotalLength, ///< The stated length is not the length of the packet.
    HeaderChecksum, ///< The IPv4 header checksum is wrong.
    Fragment, ///< A fragment has no ports, or only the first has.
    UnknownProtocol, ///< Neither TCP nor UDP nor an ICMP error about one.
    ExtensionHeaders, ///< More IPv6 extension headers than are read, or one that is not known.
    TransportHeader, ///< Port 0, impossible TCP flags or a wrong UDP length.
};

constexpr std::size_t packetFaultCount = static_cast<std::size_t>(PacketFault::TransportHeader) + 1;

std::string_view toString(PacketFault fault);

namespace tcp {
constexpr std::uint8_t fin = 0x01;
constexpr std::uint8_t syn = 0x02;
constexpr std::uint8_t rst = 0x04;
constexpr std::uint8_t psh = 0x08;
constexpr std::uint8_t ack = 0x10;
} // namespace tcp

/// What the headers of one packet say. Offsets are bytes from the start of the packet.
struct ParsedPacket
{
    FlowKey flow; ///< Source is `flow.caller`, destination is `flow.service`.
    std::uint16_t size = 0;
    std::uint16_t transportOffset = 0;
    std::uint16_t payloadOffset = 0;
    std::uint8_t tcpFlags = 0; ///< 0 for UDP.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    bool v6 = false;
    bool mayFragment = false; ///< IPv4 without the "do not fragment" bit.
    bool icmpError
        = false; ///< `flow` is that of the packet quoted by the error, turned to the caller's view.

    std::size_t payloadSize() const
    {
        return static_cast<std::size_t>(size) - payloadOffset;
    }

    bool isNewTcpFlow() const
    {
        return flow.protocol == Protocol::Tcp && (tcpFlags & (tcp::syn | tcp::ack)) == tcp::syn;
    }
};

/// Reads the headers of `packet`. `out` is meaningful only after `PacketFault::None`.
///
///     ParsedPacket parsed;
///     if (parsePacket(bytes, parsed) != PacketFault::None) {
///         return;
///     }
PacketFault parsePacket(std::span<const std::uint8_t> packet, ParsedPacket &out);

/// The key with source and destination exchanged.
FlowKey reversed(const FlowKey &key);

/// True when the TCP or UDP checksum is right, or absent (UDP over IPv4).
bool isTransportChecksumRight(std::span<const std::uint8_t> packet, const ParsedPacket &parsed);

/// A TCP segment or UDP datagram to build.
struct PacketOptions
{
    Endpoint source;
    Endpoint destination;
    std::uint8_t tcpFlags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint16_t mss = 0; ///< Option of a SYN; 0 leaves it out.
    std::span<const std::uint8_t> payload;
};

/// Builds a whole IP packet with right checksums into `out`. Returns its size, or 0 if `out` is too small.
std::size_t buildTcp(std::span<std::uint8_t> out, const PacketOptions &options);
std::size_t buildUdp(std::span<std::uint8_t> out, const PacketOptions &options);

/// Builds the TCP RST that answers `parsed` (RFC 9293, 3.10.7.1). Returns 0 for a RST and for other
/// protocols.
std::size_t buildReset(std::span<std::uint8_t> out, const ParsedPacket &parsed);

/// Builds the ICMP error that tells the sender of `packet` that only `mtu` bytes fit (RFC 1191, RFC 8201).
std::size_t buildTooBig(std::span<std::uint8_t> out, std::span<const std::uint8_t> packet,
                        const ParsedPacket &parsed, std::uint16_t mtu);

/// Lowers the MSS option of a SYN to `mss` and updates the checksum incrementally, so that a wrong one stays
/// wrong. Returns whether the packet was changed.
bool clampMss(std::span<std::uint8_t> packet, const ParsedPacket &parsed, std::uint16_t mss);

/// Largest MSS whose segments fit into `mtu` bytes of IP packet.
std::uint16_t mssFor(std::uint16_t mtu, bool v6);

} // namespace oriolelever
