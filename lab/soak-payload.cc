#include "soak-payload.h"

#include "oriolelever/bytes.h"

namespace oriolelever::lab {

namespace {

constexpr std::size_t requestSize = 90; ///< Bytes.
constexpr std::size_t answerSize = 600; ///< Bytes.
constexpr std::size_t hashSize = 8; ///< Bytes.

} // namespace

std::vector<std::uint8_t> writeRequest(std::uint32_t number)
{
    std::vector<std::uint8_t> payload(requestSize, 'q');
    write32(payload.data(), number);
    return payload;
}

bool readRequest(std::span<const std::uint8_t> payload, std::uint32_t &number)
{
    if (payload.size() != requestSize) {
        return false;
    }
    number = read32(payload.data());
    return true;
}

std::vector<std::uint8_t> writeAnswer(const FlowKey &flow, std::uint32_t number)
{
    std::vector<std::uint8_t> payload(answerSize, 'a');
    write64(payload.data(), hashFlow(flow));
    write32(payload.data() + hashSize, number);
    return payload;
}

bool readAnswer(std::span<const std::uint8_t> payload, std::uint64_t &flowHash, std::uint32_t &number)
{
    if (payload.size() != answerSize) {
        return false;
    }
    flowHash = read64(payload.data());
    number = read32(payload.data() + hashSize);
    return true;
}

} // namespace oriolelever::lab
