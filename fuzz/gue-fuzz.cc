// Decoder of the encapsulation, with and without keys; what decodes must encode to the same.
#include <algorithm>
#include <cstdlib>
#include <vector>

#include "oriolelever/gue.h"

using namespace oriolelever;

namespace {

TagKeys fuzzKeys()
{
    return {.current = TagKey{1, 2, 3}, .previous = TagKey{4, 5, 6}};
}

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

void encodeAgain(const GuePacket &packet)
{
    std::vector<std::uint8_t> buffer(maxGueHeaderSize + packet.payload.size());
    const auto payload = std::span(buffer).subspan(maxGueHeaderSize);
    std::copy(packet.payload.begin(), packet.payload.end(), payload.begin());
    const auto datagram = prependGue(payload, packet.control, packet.type, *packet.path, fuzzKeys());
    GuePacket again;
    require(decodeGue(datagram, fuzzKeys(), again) == GueFault::None);
    require(again.path == packet.path && again.payload.size() == packet.payload.size());
    if (!datagram.empty()) {
        datagram.back() ^= 1;
        GuePacket forged;
        const bool covered = packet.control || packet.payload.size() <= 64;
        require(!covered || decodeGue(datagram, fuzzKeys(), forged) != GueFault::None);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::vector<std::uint8_t> bytes(data, data + size);
    GuePacket packet;
    (void)decodePlainGue(bytes, packet);
    (void)decodeGue(bytes, fuzzKeys(), packet);
    if (decodeGue(bytes, {}, packet) == GueFault::None) {
        encodeAgain(packet);
    }
    return 0;
}
