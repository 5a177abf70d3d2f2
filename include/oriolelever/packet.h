/// Parsing and building of IP packets: TCP and UDP over IPv4 and IPv6, and the ICMP errors about such
/// packets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "oriolelever/flow.h"

namespace oriolelever {

/// Why a packet cannot be handled. docs/PACKETS.md says how each case is treated.
enum class PacketFault : std::uint8_t {
    None,
    Truncated, ///< Ends inside a header.
    NotIp, ///< Neither IPv4 nor IPv6.
    HeaderLength, ///< The length field of an IPv4 or TCP header is below the minimum.
    TotalLength, ///< The packet is longer than its header says, or than 65535 bytes.
    HeaderChecksum, ///< The IPv4 header checksum is wrong.
    Fragment, ///< Only the first fragment of a packet has the ports, so fragments cannot be routed.
    UnknownProtocol, ///< Neither TCP nor UDP nor an ICMP error about one of them.
    ExtensionHeaders, ///< More IPv6 extension headers than are parsed.
    TransportHeader, ///< Port 0, an invalid combination of TCP flags or a wrong UDP length.
};

constexpr std::size_t packetFaultCount = static_cast<std::size_t>(PacketFault::TransportHeader) + 1;

std::string_view toString(PacketFault fault);

/// Flags of the TCP header.
namespace tcp {
constexpr std::uint8_t fin = 0x01;
constexpr std::uint8_t syn = 0x02;
constexpr std::uint8_t rst = 0x04;
constexpr std::uint8_t psh = 0x08;
constexpr std::uint8_t ack = 0x10;
} // namespace tcp

/// Fields of the headers of one packet. Sizes are in bytes, offsets in bytes from the start of the packet.
struct ParsedPacket
{
    /// Source as `flow.caller`, destination as `flow.service`, also in a packet from a server to a caller. Of
    /// an ICMP error it is the flow of the quoted packet with source and destination exchanged, because the
    /// service sent the quoted packet.
    FlowKey flow;
    std::uint16_t size = 0; ///< Of the whole packet.
    std::uint16_t transportOffset = 0; ///< Of the TCP, UDP or ICMP header.
    std::uint16_t payloadOffset = 0; ///< Of the data after the transport header.
    std::uint8_t tcpFlags = 0; ///< Set for TCP only, as are the two numbers below.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    bool v6 = false; ///< IPv6, not IPv4.
    bool mayFragment = false; ///< IPv4 without the "don't fragment" bit.
    bool isIcmpError = false;

    /// Bytes after the transport header.
    std::size_t payloadSize() const
    {
        return static_cast<std::size_t>(size) - payloadOffset;
    }

    /// SYN without ACK.
    bool isNewTcpFlow() const
    {
        return flow.protocol == Protocol::Tcp && (tcpFlags & (tcp::syn | tcp::ack)) == tcp::syn;
    }
};

/// Parses the headers of `packet` into `out`, which is valid only if the result is `PacketFault::None`. The
/// checksum of the transport header is not checked.
///
///     ParsedPacket parsed;
///     if (parsePacket(bytes, parsed) != PacketFault::None) {
///         return;
///     }
PacketFault parsePacket(std::span<const std::uint8_t> packet, ParsedPacket &out);

/// Returns the key with caller and service exchanged.
FlowKey reversed(const FlowKey &key);

/// Returns whether the TCP or UDP checksum is correct, or absent as UDP over IPv4 allows.
bool isTransportChecksumValid(std::span<const std::uint8_t> packet, const ParsedPacket &parsed);

/// A TCP segment or UDP datagram to build.
struct PacketOptions
{
    Endpoint source;
    Endpoint destination;
    std::uint8_t tcpFlags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint16_t mss = 0; ///< Value of the MSS option, in bytes; 0 omits the option.
    std::span<const std::uint8_t> payload;
};

/// Writes an IP packet with correct checksums to `out`. Returns its size in bytes, or 0 if `out` is too
/// small.
std::size_t buildTcp(std::span<std::uint8_t> out, const PacketOptions &options);
/// The same for UDP; the fields for TCP are ignored.
std::size_t buildUdp(std::span<std::uint8_t> out, const PacketOptions &options);

/// Writes the TCP RST that answers `parsed` (RFC 9293, 3.10.7.1) to `out`. Returns its size in bytes, or 0 if
/// `parsed` is a RST, not TCP or an ICMP error, or if `out` is too small.
std::size_t buildReset(std::span<std::uint8_t> out, const ParsedPacket &parsed);

/// Writes the ICMP error by which the sender of `packet` learns the path MTU `mtu`, in bytes, to `out`
/// (RFC 1191, RFC 8201). Returns its size in bytes, or 0 if `out` is too small.
std::size_t buildTooBig(std::span<std::uint8_t> out, std::span<const std::uint8_t> packet,
                        const ParsedPacket &parsed, std::uint16_t mtu);

/// Lowers the MSS option of a SYN to `mss` bytes. The checksum is updated incrementally, so that a wrong
/// checksum stays wrong. Returns whether the packet was changed.
bool clampMss(std::span<std::uint8_t> packet, const ParsedPacket &parsed, std::uint16_t mss);

/// Returns the largest MSS whose segments fit into IP packets of `mtu` bytes, without options.
std::uint16_t mssFor(std::uint16_t mtu, bool v6);

} // namespace oriolelever
