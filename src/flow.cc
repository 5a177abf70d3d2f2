#include "oriolelever/flow.h"

#include <algorithm>

#include <xxhash.h>

namespace oriolelever {

namespace {

constexpr std::size_t addressSize = 16; // Bytes.
constexpr std::size_t endpointSize = addressSize + 2; // Address and port, in bytes.

void writeEndpoint(std::uint8_t *out, const Endpoint &endpoint)
{
    std::copy(endpoint.address.bytes.begin(), endpoint.address.bytes.end(), out);
    out[addressSize] = static_cast<std::uint8_t>(endpoint.port >> 8);
    out[addressSize + 1] = static_cast<std::uint8_t>(endpoint.port);
}

} // namespace

std::uint64_t hashFlow(const FlowKey &key)
{
    std::array<std::uint8_t, 2 * endpointSize + 1> bytes{};
    writeEndpoint(bytes.data(), key.caller);
    writeEndpoint(bytes.data() + endpointSize, key.service);
    bytes.back() = static_cast<std::uint8_t>(key.protocol);
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace oriolelever
