#include "oriolelever/packet.h"

#include <algorithm>
#include <array>

#include "oriolelever/bytes.h"

namespace oriolelever {

namespace {

// Sizes and offsets in bytes. The IPv4 and TCP headers are those without options.
constexpr std::size_t v4HeaderSize = 20;
constexpr std::size_t v6HeaderSize = 40;
constexpr std::size_t tcpHeaderSize = 20;
constexpr std::size_t udpHeaderSize = 8;
constexpr std::size_t icmpHeaderSize = 8;
constexpr std::size_t mssOptionSize = 4;
constexpr std::size_t mappedOffset = 12; // Of the IPv4 address in an IPv4-mapped IPv6 address.
constexpr std::size_t maxExtensionHeaders = 4; // Bounds the work on one packet.
constexpr std::uint8_t initialTtl = 64;
constexpr std::size_t maxV4QuoteSize = 548; // RFC 1812: the error has at most 576 bytes.
constexpr std::size_t maxV6ErrorSize = 1280; // RFC 4443: the error does not exceed the minimum MTU.

constexpr std::uint8_t protocolHopByHop = 0;
constexpr std::uint8_t protocolIcmp = 1;
constexpr std::uint8_t protocolTcp = 6;
constexpr std::uint8_t protocolUdp = 17;
constexpr std::uint8_t protocolRouting = 43;
constexpr std::uint8_t protocolFragment = 44;
constexpr std::uint8_t protocolIcmp6 = 58;
constexpr std::uint8_t protocolDestination = 60;

constexpr std::uint8_t icmpUnreachable = 3;
constexpr std::uint8_t icmpFragmentationNeeded = 4;
constexpr std::uint8_t icmpTimeExceeded = 11;
constexpr std::uint8_t icmp6Unreachable = 1;
constexpr std::uint8_t icmp6TooBig = 2;
constexpr std::uint8_t icmp6TimeExceeded = 3;

constexpr std::uint8_t tcpOptionEnd = 0;
constexpr std::uint8_t tcpOptionNop = 1;
constexpr std::uint8_t tcpOptionMss = 2;

using Bytes = std::span<const std::uint8_t>;

// Adds 16-bit words in network byte order to a checksum (RFC 1071); an odd last byte is padded with 0.
std::uint32_t sumWords(Bytes bytes, std::uint32_t sum)
{
    std::size_t i = 0;
    for (; i + 1 < bytes.size(); i += 2) {
        sum += read16(bytes.data() + i);
    }
    if (i < bytes.size()) {
        sum += static_cast<std::uint32_t>(bytes[i]) << 8;
    }
    return sum;
}

std::uint16_t foldSum(std::uint32_t sum)
{
    while ((sum >> 16) != 0) {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    return static_cast<std::uint16_t>(sum);
}

IpAddress mappedAddress(const std::uint8_t *v4)
{
    IpAddress address;
    address.bytes[10] = 0xff;
    address.bytes[11] = 0xff;
    std::copy(v4, v4 + 4, address.bytes.begin() + mappedOffset);
    return address;
}

std::uint32_t pseudoHeaderSum(const IpAddress &source, const IpAddress &destination, std::uint8_t protocol,
                              std::size_t length)
{
    // The pseudo header of IPv4 has the bare address, without the prefix of the mapped form.
    const std::size_t skip = source.isV4() ? mappedOffset : 0;
    std::uint32_t sum = sumWords(Bytes(source.bytes).subspan(skip), 0);
    sum = sumWords(Bytes(destination.bytes).subspan(skip), sum);
    return sum + protocol + static_cast<std::uint32_t>(length);
}

struct IpLayer
{
    std::uint8_t protocol = 0; // Of the transport layer.
    std::size_t headerSize = 0; // Bytes, extension headers included.
    std::size_t totalSize = 0; // Bytes, as the header says.
};

// `quoted`: the packet is quoted in an ICMP error, so it may be cut short.
PacketFault parseV4(Bytes packet, bool quoted, ParsedPacket &out, IpLayer &ip)
{
    if (packet.size() < v4HeaderSize) {
        return PacketFault::Truncated;
    }
    ip.headerSize = static_cast<std::size_t>(packet[0] & 0x0f) * 4;
    if (ip.headerSize < v4HeaderSize) {
        return PacketFault::HeaderLength;
    }
    if (packet.size() < ip.headerSize) {
        return PacketFault::Truncated;
    }
    ip.totalSize = read16(packet.data() + 2);
    if (!quoted && ip.totalSize != packet.size()) {
        return ip.totalSize > packet.size() ? PacketFault::Truncated : PacketFault::TotalLength;
    }
    if (!quoted && foldSum(sumWords(packet.first(ip.headerSize), 0)) != 0xffff) {
        return PacketFault::HeaderChecksum;
    }
    constexpr std::uint16_t fragmentBits = 0x3fff; // The "more fragments" bit and the fragment offset.
    if ((read16(packet.data() + 6) & fragmentBits) != 0) {
        return PacketFault::Fragment;
    }
    out.mayFragment = (packet[6] & 0x40) == 0;
    ip.protocol = packet[9];
    out.flow.caller.address = mappedAddress(packet.data() + 12);
    out.flow.service.address = mappedAddress(packet.data() + 16);
    return PacketFault::None;
}

PacketFault skipExtensionHeaders(Bytes packet, IpLayer &ip)
{
    for (std::size_t count = 0; count <= maxExtensionHeaders; ++count) {
        switch (ip.protocol) {
        case protocolFragment:
            return PacketFault::Fragment;
        case protocolHopByHop:
        case protocolRouting:
        case protocolDestination:
            break;
        default:
            return PacketFault::None;
        }
        if (packet.size() < ip.headerSize + 8) {
            return PacketFault::Truncated;
        }
        const std::uint8_t *const header = packet.data() + ip.headerSize;
        ip.protocol = header[0];
        ip.headerSize += 8 * (std::size_t{header[1]} + 1);
        if (packet.size() < ip.headerSize) {
            return PacketFault::Truncated;
        }
    }
    return PacketFault::ExtensionHeaders;
}

PacketFault parseV6(Bytes packet, bool quoted, ParsedPacket &out, IpLayer &ip)
{
    if (packet.size() < v6HeaderSize) {
        return PacketFault::Truncated;
    }
    ip.headerSize = v6HeaderSize;
    ip.totalSize = v6HeaderSize + read16(packet.data() + 4);
    if (!quoted && ip.totalSize != packet.size()) {
        return ip.totalSize > packet.size() ? PacketFault::Truncated : PacketFault::TotalLength;
    }
    ip.protocol = packet[6];
    std::copy_n(packet.data() + 8, 16, out.flow.caller.address.bytes.begin());
    std::copy_n(packet.data() + 24, 16, out.flow.service.address.bytes.begin());
    // An IPv4-mapped address in an IPv6 packet would give the same flow key as an IPv4 packet.
    if (out.flow.caller.address.isV4() || out.flow.service.address.isV4()) {
        return PacketFault::NotIp;
    }
    out.v6 = true;
    return skipExtensionHeaders(packet, ip);
}

PacketFault parseIp(Bytes packet, bool quoted, ParsedPacket &out, IpLayer &ip)
{
    if (packet.empty()) {
        return PacketFault::Truncated;
    }
    switch (packet[0] >> 4) {
    case 4:
        return parseV4(packet, quoted, out, ip);
    case 6:
        return parseV6(packet, quoted, out, ip);
    default:
        return PacketFault::NotIp;
    }
}

bool areTcpFlagsValid(std::uint8_t flags)
{
    const int exclusiveFlags
        = ((flags & tcp::syn) != 0) + ((flags & tcp::fin) != 0) + ((flags & tcp::rst) != 0);
    if (exclusiveFlags > 1) {
        return false;
    }
    return (flags & (tcp::syn | tcp::rst | tcp::ack)) != 0;
}

PacketFault parseTcp(Bytes packet, ParsedPacket &out)
{
    if (packet.size() < out.transportOffset + tcpHeaderSize) {
        return PacketFault::Truncated;
    }
    const std::uint8_t *const header = packet.data() + out.transportOffset;
    const std::size_t size = static_cast<std::size_t>(header[12] >> 4) * 4;
    if (size < tcpHeaderSize) {
        return PacketFault::HeaderLength;
    }
    if (packet.size() < out.transportOffset + size) {
        return PacketFault::Truncated;
    }
    out.sequence = read32(header + 4);
    out.acknowledgement = read32(header + 8);
    out.tcpFlags = header[13];
    out.payloadOffset = static_cast<std::uint16_t>(out.transportOffset + size);
    return areTcpFlagsValid(out.tcpFlags) ? PacketFault::None : PacketFault::TransportHeader;
}

PacketFault parseUdp(Bytes packet, ParsedPacket &out)
{
    if (packet.size() < out.transportOffset + udpHeaderSize) {
        return PacketFault::Truncated;
    }
    const std::uint16_t length = read16(packet.data() + out.transportOffset + 4);
    out.payloadOffset = static_cast<std::uint16_t>(out.transportOffset + udpHeaderSize);
    const bool matches = length == packet.size() - out.transportOffset;
    return matches ? PacketFault::None : PacketFault::TransportHeader;
}

// Parses the ports, which have the same offset in TCP and UDP headers.
PacketFault parsePorts(Bytes packet, std::uint8_t protocol, ParsedPacket &out)
{
    if (protocol != protocolTcp && protocol != protocolUdp) {
        return PacketFault::UnknownProtocol;
    }
    if (packet.size() < out.transportOffset + std::size_t{4}) {
        return PacketFault::Truncated;
    }
    out.flow.protocol = static_cast<Protocol>(protocol);
    out.flow.caller.port = read16(packet.data() + out.transportOffset);
    out.flow.service.port = read16(packet.data() + out.transportOffset + 2);
    const bool portsValid = out.flow.caller.port != 0 && out.flow.service.port != 0;
    return portsValid ? PacketFault::None : PacketFault::TransportHeader;
}

bool isIcmpErrorType(std::uint8_t type, bool v6)
{
    if (v6) {
        return type == icmp6Unreachable || type == icmp6TooBig || type == icmp6TimeExceeded;
    }
    return type == icmpUnreachable || type == icmpTimeExceeded;
}

// The quoted packet was sent by the service, so its source is the service and the flow is reversed.
PacketFault parseIcmpError(Bytes packet, std::size_t offset, ParsedPacket &out)
{
    if (packet.size() < offset + icmpHeaderSize) {
        return PacketFault::Truncated;
    }
    if (!isIcmpErrorType(packet[offset], out.v6)) {
        return PacketFault::UnknownProtocol;
    }
    const auto quoted = packet.subspan(offset + icmpHeaderSize);
    ParsedPacket inner;
    IpLayer ip;
    if (const auto fault = parseIp(quoted, true, inner, ip); fault != PacketFault::None) {
        return fault;
    }
    if (inner.v6 != out.v6) {
        return PacketFault::NotIp;
    }
    inner.transportOffset = static_cast<std::uint16_t>(ip.headerSize);
    if (const auto fault = parsePorts(quoted, ip.protocol, inner); fault != PacketFault::None) {
        return fault;
    }
    out.flow = reversed(inner.flow);
    out.payloadOffset = static_cast<std::uint16_t>(offset + icmpHeaderSize);
    out.isIcmpError = true;
    return PacketFault::None;
}

// Returns the size of the header, or 0 if the packet does not fit into `out` or the length field.
std::size_t writeIpHeader(std::span<std::uint8_t> out, const Endpoint &source, const Endpoint &destination,
                          std::uint8_t protocol, std::size_t transportSize)
{
    if (source.address.isV4()) {
        const std::size_t total = v4HeaderSize + transportSize;
        if (out.size() < total || total > UINT16_MAX) {
            return 0;
        }
        std::fill_n(out.begin(), v4HeaderSize, 0);
        out[0] = 0x45;
        write16(&out[2], static_cast<std::uint16_t>(total));
        write16(&out[6], 0x4000); // Don't fragment.
        out[8] = initialTtl;
        out[9] = protocol;
        std::copy_n(source.address.bytes.begin() + mappedOffset, 4, &out[12]);
        std::copy_n(destination.address.bytes.begin() + mappedOffset, 4, &out[16]);
        write16(&out[10], static_cast<std::uint16_t>(~foldSum(sumWords(out.first(v4HeaderSize), 0))));
        return v4HeaderSize;
    }
    if (out.size() < v6HeaderSize + transportSize || transportSize > UINT16_MAX) {
        return 0;
    }
    std::fill_n(out.begin(), v6HeaderSize, 0);
    out[0] = 0x60;
    write16(&out[4], static_cast<std::uint16_t>(transportSize));
    out[6] = protocol;
    out[7] = initialTtl;
    std::copy_n(source.address.bytes.begin(), 16, &out[8]);
    std::copy_n(destination.address.bytes.begin(), 16, &out[24]);
    return v6HeaderSize;
}

std::uint16_t transportChecksum(Bytes transport, const IpAddress &source, const IpAddress &destination,
                                std::uint8_t protocol)
{
    const auto sum = pseudoHeaderSum(source, destination, protocol, transport.size());
    return static_cast<std::uint16_t>(~foldSum(sumWords(transport, sum)));
}

} // namespace

std::string_view toString(PacketFault fault)
{
    constexpr std::array<std::string_view, packetFaultCount> names = {"none",
                                                                      "truncated",
                                                                      "not_ip",
                                                                      "header_length",
                                                                      "total_length",
                                                                      "header_checksum",
                                                                      "fragment",
                                                                      "unknown_protocol",
                                                                      "extension_header",
                                                                      "transport_header"};
    return names.at(static_cast<std::size_t>(fault));
}

FlowKey reversed(const FlowKey &key)
{
    return {.caller = key.service, .service = key.caller, .protocol = key.protocol};
}

PacketFault parsePacket(std::span<const std::uint8_t> packet, ParsedPacket &out)
{
    out = {};
    if (packet.size() > UINT16_MAX) {
        return PacketFault::TotalLength;
    }
    out.size = static_cast<std::uint16_t>(packet.size());
    IpLayer ip;
    if (const auto fault = parseIp(packet, false, out, ip); fault != PacketFault::None) {
        return fault;
    }
    out.transportOffset = static_cast<std::uint16_t>(ip.headerSize);
    if (ip.protocol == (out.v6 ? protocolIcmp6 : protocolIcmp)) {
        return parseIcmpError(packet, ip.headerSize, out);
    }
    if (const auto fault = parsePorts(packet, ip.protocol, out); fault != PacketFault::None) {
        return fault;
    }
    return ip.protocol == protocolTcp ? parseTcp(packet, out) : parseUdp(packet, out);
}

bool isTransportChecksumValid(std::span<const std::uint8_t> packet, const ParsedPacket &parsed)
{
    const auto transport = packet.subspan(parsed.transportOffset);
    const bool udp = parsed.flow.protocol == Protocol::Udp;
    if (udp && !parsed.v6 && read16(transport.data() + 6) == 0) {
        return true;
    }
    const auto sum = pseudoHeaderSum(parsed.flow.caller.address, parsed.flow.service.address,
                                     static_cast<std::uint8_t>(parsed.flow.protocol), transport.size());
    return foldSum(sumWords(transport, sum)) == 0xffff;
}

std::size_t buildTcp(std::span<std::uint8_t> out, const PacketOptions &options)
{
    const std::size_t headerSize = tcpHeaderSize + (options.mss != 0 ? mssOptionSize : 0);
    const std::size_t size = headerSize + options.payload.size();
    const std::size_t offset = writeIpHeader(out, options.source, options.destination, protocolTcp, size);
    if (offset == 0) {
        return 0;
    }
    const auto segment = out.subspan(offset, size);
    std::fill_n(segment.begin(), headerSize, 0);
    write16(&segment[0], options.source.port);
    write16(&segment[2], options.destination.port);
    write32(&segment[4], options.sequence);
    write32(&segment[8], options.acknowledgement);
    segment[12] = static_cast<std::uint8_t>((headerSize / 4) << 4);
    segment[13] = options.tcpFlags;
    write16(&segment[14], (options.tcpFlags & tcp::rst) != 0 ? 0 : UINT16_MAX);
    if (options.mss != 0) {
        segment[20] = tcpOptionMss;
        segment[21] = mssOptionSize;
        write16(&segment[22], options.mss);
    }
    std::copy(options.payload.begin(), options.payload.end(), segment.begin() + headerSize);
    write16(&segment[16],
            transportChecksum(segment, options.source.address, options.destination.address, protocolTcp));
    return offset + size;
}

std::size_t buildUdp(std::span<std::uint8_t> out, const PacketOptions &options)
{
    const std::size_t size = udpHeaderSize + options.payload.size();
    const std::size_t offset = writeIpHeader(out, options.source, options.destination, protocolUdp, size);
    if (offset == 0) {
        return 0;
    }
    const auto datagram = out.subspan(offset, size);
    write16(&datagram[0], options.source.port);
    write16(&datagram[2], options.destination.port);
    write16(&datagram[4], static_cast<std::uint16_t>(size));
    write16(&datagram[6], 0);
    std::copy(options.payload.begin(), options.payload.end(), datagram.begin() + udpHeaderSize);
    const auto checksum
        = transportChecksum(datagram, options.source.address, options.destination.address, protocolUdp);
    write16(&datagram[6], checksum == 0 ? UINT16_MAX : checksum);
    return offset + size;
}

std::size_t buildReset(std::span<std::uint8_t> out, const ParsedPacket &parsed)
{
    if (parsed.flow.protocol != Protocol::Tcp || parsed.isIcmpError || (parsed.tcpFlags & tcp::rst) != 0) {
        return 0;
    }
    PacketOptions options{.source = parsed.flow.service, .destination = parsed.flow.caller};
    if ((parsed.tcpFlags & tcp::ack) != 0) {
        options.tcpFlags = tcp::rst;
        options.sequence = parsed.acknowledgement;
    } else {
        const auto length = static_cast<std::uint32_t>(parsed.payloadSize());
        const bool occupiesSequenceNumber = (parsed.tcpFlags & (tcp::syn | tcp::fin)) != 0;
        options.tcpFlags = tcp::rst | tcp::ack;
        options.acknowledgement = parsed.sequence + length + (occupiesSequenceNumber ? 1 : 0);
    }
    return buildTcp(out, options);
}

std::size_t buildTooBig(std::span<std::uint8_t> out, std::span<const std::uint8_t> packet,
                        const ParsedPacket &parsed, std::uint16_t mtu)
{
    const std::size_t maxQuoteSize
        = parsed.v6 ? maxV6ErrorSize - v6HeaderSize - icmpHeaderSize : maxV4QuoteSize;
    const std::size_t quoteSize = std::min(packet.size(), maxQuoteSize);
    const std::size_t size = icmpHeaderSize + quoteSize;
    const std::uint8_t protocol = parsed.v6 ? protocolIcmp6 : protocolIcmp;
    const std::size_t offset = writeIpHeader(out, parsed.flow.service, parsed.flow.caller, protocol, size);
    if (offset == 0) {
        return 0;
    }
    const auto message = out.subspan(offset, size);
    std::fill_n(message.begin(), icmpHeaderSize, 0);
    message[0] = parsed.v6 ? icmp6TooBig : icmpUnreachable;
    message[1] = parsed.v6 ? 0 : icmpFragmentationNeeded;
    write32(&message[4], mtu);
    std::copy_n(packet.begin(), quoteSize, message.begin() + icmpHeaderSize);
    const auto pseudo = parsed.v6
        ? pseudoHeaderSum(parsed.flow.service.address, parsed.flow.caller.address, protocol, size)
        : 0;
    write16(&message[2], static_cast<std::uint16_t>(~foldSum(sumWords(message, pseudo))));
    return offset + size;
}

bool clampMss(std::span<std::uint8_t> packet, const ParsedPacket &parsed, std::uint16_t mss)
{
    if ((parsed.tcpFlags & tcp::syn) == 0 || parsed.flow.protocol != Protocol::Tcp || parsed.isIcmpError) {
        return false;
    }
    std::size_t offset = parsed.transportOffset + tcpHeaderSize;
    while (offset < parsed.payloadOffset) {
        const std::uint8_t kind = packet[offset];
        if (kind == tcpOptionEnd) {
            return false;
        }
        if (kind == tcpOptionNop) {
            ++offset;
            continue;
        }
        if (offset + 2 > parsed.payloadOffset || packet[offset + 1] < 2) {
            return false;
        }
        const std::size_t length = packet[offset + 1];
        if (kind == tcpOptionMss && length == mssOptionSize && offset + length <= parsed.payloadOffset) {
            const std::uint16_t old = read16(&packet[offset + 2]);
            if (old <= mss) {
                return false;
            }
            write16(&packet[offset + 2], mss);
            // Incremental update of the checksum (RFC 1624). A value at an odd offset is added with its bytes
            // swapped, as it spans two 16-bit words.
            const bool odd = ((offset - parsed.transportOffset) & 1) != 0;
            const auto inChecksumOrder = [odd](std::uint16_t value) {
                return odd ? static_cast<std::uint16_t>((value << 8) | (value >> 8)) : value;
            };
            std::uint8_t *const field = &packet[parsed.transportOffset + std::size_t{16}];
            const std::uint32_t sum = static_cast<std::uint16_t>(~read16(field))
                + static_cast<std::uint32_t>(static_cast<std::uint16_t>(~inChecksumOrder(old)))
                + inChecksumOrder(mss);
            write16(field, static_cast<std::uint16_t>(~foldSum(sum)));
            return true;
        }
        offset += length;
    }
    return false;
}

std::uint16_t mssFor(std::uint16_t mtu, bool v6)
{
    const std::size_t headers = (v6 ? v6HeaderSize : v4HeaderSize) + tcpHeaderSize;
    return static_cast<std::uint16_t>(mtu > headers ? mtu - headers : 0);
}

} // namespace oriolelever
