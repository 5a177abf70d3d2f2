#include "oriolelever/routing-table.h"

#include <xxhash.h>

namespace oriolelever {

std::size_t EndpointHash::operator()(const Endpoint &endpoint) const noexcept
{
    return XXH3_64bits_withSeed(endpoint.address.bytes.data(), endpoint.address.bytes.size(), endpoint.port);
}

} // namespace oriolelever
