/// Spreading of records over many members in virtual time, over the functions of `dissem.h`.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "oriolelever/dissem.h"

namespace oriolelever::lab {

struct SpreadOptions
{
    std::size_t nodes = 100;
    std::size_t zones = 13;
    std::size_t changes = 20; ///< Each reaches the platform watchers of all zones at once.
    std::size_t watchersPerZone = 2;
    Duration pushDelay = std::chrono::milliseconds(20);
    Duration delay = std::chrono::milliseconds(1); ///< One way.
    std::size_t failed = 0; ///< Nodes that are down and still in everyone's view.
    double loss = 0; ///< Fraction of the calls that fail.
    Duration timeout = std::chrono::seconds(1); ///< Until a call that failed is made to another node.
    Duration watcherInterval = std::chrono::milliseconds(150);
    Duration repairInterval = std::chrono::seconds(2); ///< Between a node's comparisons with a random one.
    std::uint32_t seed = 1;
};

struct SpreadFigures
{
    double messagesPerChange = 0; ///< Sent by one node, mean.
    double bytesPerChange = 0; ///< Bodies sent by one node, mean.
    double busiestMessagesPerChange = 0; ///< Sent and received by the busiest node.
    double processorPerChange = 0; ///< Microseconds of one node, mean.
    Duration longest{0}; ///< From the change to the last live node.
    std::size_t repaired = 0; ///< Pairs of live node and change that push did not reach.
};

SpreadFigures measureSpread(const SpreadOptions &options);

/// Members of a synthetic fleet, ascending by label.
std::vector<Member> syntheticMembers(std::size_t count, std::size_t zones);

} // namespace oriolelever::lab
