/// Measurements of real agents over loopback.
#pragma once

#include <cstdint>

namespace oriolelever::lab {

/// Time of a request through an agent against a direct call of its server, in the same run. Prints figures.
int measureOverhead(std::uint64_t seed);
/// Graceful restarts of all agents, one after another, under load. Prints figures.
int measureRestarts(std::uint64_t seed);

} // namespace oriolelever::lab
