/// Replay of a trace in virtual time through the decision functions of the daemons.
#pragma once

#include <map>
#include <string>

#include "trace.h"

namespace oriolelever::lab {

enum class Baseline {
    None, ///< Directories.
    Hash, ///< Consistent hashing alone.
    Table, ///< Consistent hashing and a flow table in each balancer.
};

/// "", "hash" or "table"; false for another name.
bool parseBaseline(std::string_view text, Baseline &out);

/// What a replay saw.
struct ReplayFigures
{
    std::uint64_t flowsOpened = 0;
    std::uint64_t brokenByChange = 0;
    std::uint64_t brokenByCrash = 0;
    std::uint64_t givenUpWithZone = 0;
    std::uint64_t wrongService = 0;
    std::uint64_t zoneAfterLeft = 0;
    std::uint64_t overCold = 0;
    std::uint64_t offered = 0; ///< New flows while some server could take one.
    std::uint64_t served = 0; ///< Of these, opened within three seconds.
    std::uint64_t offeredAroundZone = 0; ///< The same while a zone leaves and returns.
    std::uint64_t servedAroundZone = 0;
    double imbalance = 0;
    std::uint64_t packets = 0; ///< Sent by callers.
    std::uint64_t delivered = 0;
    std::uint64_t extraHops = 0; ///< Of delivered packets, beyond balancer and owner.
    std::uint64_t callerRetries = 0;
    double balancerBytes = 0; ///< Control bytes per second per balancer.
    double agentBytes = 0; ///< Directory bytes per second per agent.
    double stateBytesPerFlow = 0;
    std::uint64_t resets = 0; ///< That reached callers.

    double service() const;
    double serviceAroundZone() const;
};

ReplayFigures replayTrace(const Trace &trace, Baseline baseline);

/// Figures by the names that are printed and that requirements use.
std::map<std::string, double> namedFigures(const ReplayFigures &figures);

} // namespace oriolelever::lab
