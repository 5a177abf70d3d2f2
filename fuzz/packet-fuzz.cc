// Parser of inner packets, and everything that is built from a parsed packet. An odd first byte has the
// lengths and the header checksum put right, so that the parts behind them are reached.
#include <cstdlib>
#include <vector>

#include "oriolelever/bytes.h"
#include "oriolelever/packet.h"

using namespace oriolelever;

namespace {

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

void repairHeader(std::span<std::uint8_t> packet)
{
    constexpr std::size_t v4HeaderSize = 20;
    constexpr std::size_t v6HeaderSize = 40;
    if (packet.size() >= v6HeaderSize && (packet[0] >> 4) == 6) {
        write16(&packet[4], static_cast<std::uint16_t>(packet.size() - v6HeaderSize));
        return;
    }
    const std::size_t headerSize = packet.empty() ? 0 : std::size_t{4} * (packet[0] & 0x0f);
    if (headerSize < v4HeaderSize || packet.size() < headerSize || (packet[0] >> 4) != 4) {
        return;
    }
    write16(&packet[2], static_cast<std::uint16_t>(packet.size()));
    write16(&packet[10], 0);
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < headerSize; i += 2) {
        sum += read16(&packet[i]);
    }
    sum = (sum & 0xffff) + (sum >> 16);
    sum = (sum & 0xffff) + (sum >> 16);
    write16(&packet[10], static_cast<std::uint16_t>(~sum));
}

void parseBuilt(std::span<const std::uint8_t> built, const FlowKey &flow)
{
    ParsedPacket parsed;
    require(parsePacket(built, parsed) == PacketFault::None);
    require(parsed.flow == flow);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    std::vector<std::uint8_t> bytes(data + 1, data + size);
    if ((data[0] & 1) != 0) {
        repairHeader(bytes);
    }
    ParsedPacket parsed;
    if (parsePacket(bytes, parsed) != PacketFault::None) {
        return 0;
    }
    require(parsed.payloadOffset <= parsed.size && parsed.size == bytes.size());
    std::vector<std::uint8_t> out(1500);
    if (const auto reset = buildReset(out, parsed); reset != 0) {
        parseBuilt(std::span(out).first(reset), reversed(parsed.flow));
    }
    if (parsed.isIcmpError) {
        return 0;
    }
    if (const auto error = buildTooBig(out, bytes, parsed, 1280); error != 0) {
        // It quotes the packet, so that it belongs to the flow in the direction of its sender.
        parseBuilt(std::span(out).first(error), reversed(parsed.flow));
    }
    const bool right = isTransportChecksumValid(bytes, parsed);
    if (clampMss(bytes, parsed, 536)) {
        require(isTransportChecksumValid(bytes, parsed) == right);
    }
    return 0;
}
