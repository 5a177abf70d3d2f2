/// One run of the soak: processes of the system, and everything around them.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "oriolelever/codes.h"
#include "soak-callers.h"
#include "soak-ledger.h"

namespace oriolelever::lab {

/// A lie of the soak's surroundings, to show that the ledger finds it.
enum class SoakPlant : std::uint8_t {
    None,
    RunTwice, ///< Servers run repeated requests again.
    HideDeparture, ///< Agents are not told that a server leaves.
    HideCold, ///< Nor that it is cold.
    HideEvacuation, ///< The operator's evacuations do not reach the store.
    HideConfiguration, ///< Nor do new configurations.
    KeepFaults, ///< Faults do not end.
    KillUnseen, ///< A process is killed that should live.
    HideEra, ///< The store does not state its era.
};

struct SoakOptions
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds duration{60'000}; ///< With faults; start, recovery and end come on top.
    std::size_t processes = 12;
    std::string program; ///< The small program.
    std::string directory; ///< For settings and logs; made, and kept if a promise broke.
    SoakPlant plant = SoakPlant::None;
};

struct SoakOutcome
{
    std::vector<Violation> violations;
    std::map<Promise, std::uint64_t> judged;
    CallerFigures figures;
    std::uint64_t faults = 0; ///< Played.
    std::uint64_t stalls = 0; ///< Times at which the soak itself stood still.
    std::uint64_t largestMemory = 0; ///< Resident bytes of a process.
    TimePoint began{}; ///< Start of the callers.
    bool interrupted = false;
};

/// Runs until the end or a signal. Fails if addresses or processes cannot be had.
Result<SoakOutcome> runSoak(const SoakOptions &options);

} // namespace oriolelever::lab
