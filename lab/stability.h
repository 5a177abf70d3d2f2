/// Ways to learn that a version is in force on every live node, compared in virtual time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "oriolelever/stability.h"

namespace oriolelever::lab {

struct StabilityOptions
{
    std::size_t nodes = 100;
    std::size_t failed = 0; ///< Neighbours of one node that do not answer and are still in everyone's view.
    std::size_t zones = 13;
    std::chrono::microseconds delay{1000}; ///< One way.
    std::chrono::microseconds handling{50}; ///< Of one message by one node, one after the other.
    std::chrono::milliseconds timeout{1000}; ///< Until a node that does not answer is given up.
    double platformWrites = 300; ///< A second.
    double platformReads = 2000; ///< A second.
    std::uint32_t seed = 1;
};

struct StabilityFigures
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t largestLoad = 0; ///< Messages sent and received by one node, or calls of the platform.
    Duration time{0}; ///< Until the node that asked, or every node of the hypercube, knows.
    std::size_t confirmed = 0; ///< Live nodes that are known to have the version at the end.
    std::size_t live = 0;
};

/// Each node writes its version to an object of its own; one node lists them.
StabilityFigures measurePlatformWrites(const StabilityOptions &options);
/// One node asks each of the others (Coord).
StabilityFigures measureCoordinator(const StabilityOptions &options);
/// Each question builds a tree over the members in view, by `splitQueryRange` as the daemons do.
StabilityFigures measureTree(const StabilityOptions &options);
/// CubeFullDist over the incomplete hypercube: every node learns.
StabilityFigures measureHypercube(const StabilityOptions &options);

/// Neighbours of each vertex in the incomplete hypercube of `count` vertices, with one more edge for each
/// pair of nodes that a missing vertex would connect.
std::vector<std::vector<std::size_t>> incompleteHypercube(std::size_t count);

} // namespace oriolelever::lab
