/// One run of the soak: processes of the system, and everything around them.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
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

/// In which order the processes of an earlier build are replaced.
enum class UpgradeOrder : std::uint8_t {
    BalancersFirst,
    AgentsFirst,
    Mixed,
    MixedAndBack, ///< Mixed, and then back to the earlier build in the same order.
};

std::string_view toString(UpgradeOrder order);

/// Replacement of an earlier build's processes while the run goes on, see `upgradeCommand`.
struct SoakUpgrade
{
    std::string earlierProgram; ///< The small program of the build that runs at the start.
    UpgradeOrder order = UpgradeOrder::BalancersFirst;
};

/// Resident bytes of the balancers together, at three times of a run with entries of another writer.
struct BalancerMemory
{
    std::uint64_t before = 0; ///< Before the entries are written.
    std::uint64_t with = 0; ///< The most while they are there.
    std::uint64_t after = 0; ///< At the end, after they are gone.
};

struct SoakOptions
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds duration{60'000}; ///< With faults; start, recovery and end come on top.
    std::size_t processes = 12;
    std::string program; ///< The small program.
    std::string directory; ///< For settings and logs; made, and kept if a promise broke.
    SoakPlant plant = SoakPlant::None;
    std::optional<SoakUpgrade> upgrade;
    /// If set, another writer leaves this many entries of agents that do not exist in the store, from the
    /// first quarter of the run to its half; no other fault is played, and each request must be answered.
    std::optional<std::size_t> oddEntries;
};

struct SoakOutcome
{
    std::vector<Violation> violations;
    std::map<Promise, std::uint64_t> judged;
    CallerFigures figures;
    std::uint64_t faults = 0; ///< Played.
    std::uint64_t replaced = 0; ///< Processes that were stopped to run another build.
    std::uint64_t stalls = 0; ///< Times at which the soak itself stood still.
    std::uint64_t largestMemory = 0; ///< Resident bytes of a process.
    TimePoint began{}; ///< Start of the callers.
    BalancerMemory balancerMemory; ///< Of a run with `SoakOptions::oddEntries`.
    bool interrupted = false;
};

/// Prints what a run showed, and removes its directory if it broke no promise. Returns the exit status.
int reportSoak(const SoakOptions &options, const SoakOutcome &outcome);

/// Runs until the end or a signal. Fails if addresses or processes cannot be had.
Result<SoakOutcome> runSoak(const SoakOptions &options);

} // namespace oriolelever::lab
