/// The faults of a soak, drawn from its seed.
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace oriolelever::lab {

enum class FaultKind : std::uint8_t {
    KillNode, ///< SIGKILL; the process is started again.
    StopNode, ///< SIGTERM; the process is started again when it has ended.
    PauseNode, ///< SIGSTOP, later SIGCONT.
    KillMany, ///< SIGKILL of a share of all processes at once.
    ReloadNode, ///< SIGHUP.
    CutStore, ///< Silence between a process and the store.
    DeafStore, ///< The store's answers to a process are lost.
    SlowStore, ///< The answers to a process are late.
    ResetStore, ///< The connections of a process to the store are reset.
    StoreBusy, ///< The store turns all calls away.
    StoreSilent,
    StoreLate,
    StoreLosesAnswers, ///< Writes are done and not answered.
    StoreForgets, ///< The history of changes is gone.
    CutNode, ///< Silence between a process and the other processes.
    DeafNode, ///< Only what it is sent is lost.
    MuteNode, ///< Only what it sends is lost.
    LossyNode, ///< A share of the datagrams is lost.
    LateNode, ///< Datagrams are late.
    CutZones, ///< Silence between two zones.
    CrashServer, ///< A backend server ends without a word and comes back cold.
    RestartServer, ///< The same under its id, at once.
    ReplaceServer, ///< A server leaves; another one, perhaps of another service, gets its address.
    StepClock, ///< The next starts of servers on a host read another time of day.
    Evacuate, ///< A zone's servers get no new flows for a while.
    Configure, ///< A new version moves a route to another service.
    ConfigureOften, ///< Several versions in a row.
    StoreStepsBack, ///< The store is silent, then back from an older copy; the operator writes again.
};

constexpr std::size_t faultKindCount = static_cast<std::size_t>(FaultKind::StoreStepsBack) + 1;
std::string_view toString(FaultKind kind);

struct PlannedFault
{
    FaultKind kind = FaultKind::KillNode;
    std::chrono::milliseconds at{0}; ///< After the start of the callers.
    std::chrono::milliseconds lasting{0};
    std::uint32_t target = 0; ///< Taken modulo the number of things that the fault can meet.
    double strength = 0; ///< 0 to 1.
};

/// Faults in series that overlap, with calm spans between the series; the same for the same arguments. Steps
/// back of the store come on top, from a sequence of their own.
std::vector<PlannedFault> planFaults(std::uint64_t seed, std::chrono::milliseconds duration);

} // namespace oriolelever::lab
