#include "soak-plan.h"

#include <algorithm>
#include <random>

namespace oriolelever::lab {

std::string_view toString(FaultKind kind)
{
    switch (kind) {
    case FaultKind::KillNode:
        return "kill";
    case FaultKind::StopNode:
        return "stop";
    case FaultKind::PauseNode:
        return "pause";
    case FaultKind::KillMany:
        return "kill many";
    case FaultKind::ReloadNode:
        return "reload";
    case FaultKind::CutStore:
        return "store link cut";
    case FaultKind::DeafStore:
        return "store link one way";
    case FaultKind::SlowStore:
        return "store link late";
    case FaultKind::ResetStore:
        return "store link reset";
    case FaultKind::StoreBusy:
        return "store busy";
    case FaultKind::StoreSilent:
        return "store silent";
    case FaultKind::StoreLate:
        return "store late";
    case FaultKind::StoreLosesAnswers:
        return "store loses answers";
    case FaultKind::StoreForgets:
        return "store forgets history";
    case FaultKind::CutNode:
        return "node cut";
    case FaultKind::DeafNode:
        return "node hears nothing";
    case FaultKind::MuteNode:
        return "node is not heard";
    case FaultKind::LossyNode:
        return "lossy link";
    case FaultKind::LateNode:
        return "late link";
    case FaultKind::CutZones:
        return "zones cut";
    case FaultKind::CrashServer:
        return "server crash";
    case FaultKind::RestartServer:
        return "server restart";
    case FaultKind::ReplaceServer:
        return "server replaced";
    case FaultKind::StepClock:
        return "clock step";
    case FaultKind::Evacuate:
        return "evacuation";
    case FaultKind::Configure:
        return "configuration";
    case FaultKind::ConfigureOften:
        return "configurations in a row";
    case FaultKind::StoreStepsBack:
        return "store steps back";
    }
    return "unknown";
}

namespace {

// Planned apart from the other kinds, so that a seed keeps the faults that it had without them.
void planStepsBack(std::uint64_t seed, std::chrono::milliseconds duration, std::vector<PlannedFault> &plan)
{
    using std::chrono::milliseconds;
    constexpr std::uint64_t ownSequence = 0x65726173;
    std::mt19937_64 random(seed ^ ownSequence);
    for (milliseconds at(2000 + random() % 12'000); at < duration;
         at += milliseconds(8000 + random() % 9000)) {
        plan.push_back({.kind = FaultKind::StoreStepsBack,
                        .at = at,
                        .lasting = milliseconds(100 + random() % 900),
                        .target = static_cast<std::uint32_t>(random() % (1U << 20))});
    }
    std::stable_sort(plan.begin(), plan.end(),
                     [](const PlannedFault &a, const PlannedFault &b) { return a.at < b.at; });
}

} // namespace

std::vector<PlannedFault> planFaults(std::uint64_t seed, std::chrono::milliseconds duration)
{
    using std::chrono::milliseconds;
    constexpr milliseconds start{2000}; ///< Callers open their flows first.
    constexpr int largestSeries = 6;
    constexpr auto drawnKindCount = static_cast<std::uint64_t>(FaultKind::ConfigureOften) + 1;
    // The engine's sequence is fixed by the language's standard, unlike that of its distributions.
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t limit) {
        return random() % limit;
    };
    std::vector<PlannedFault> plan;
    milliseconds at = start;
    while (at < duration) {
        const auto series = 1 + below(largestSeries);
        for (std::uint64_t i = 0; i < series && at < duration; ++i) {
            plan.push_back({.kind = static_cast<FaultKind>(below(drawnKindCount)),
                            .at = at,
                            .lasting = milliseconds(200 + below(4000)),
                            .target = static_cast<std::uint32_t>(below(1U << 20)),
                            .strength = static_cast<double>(below(1000)) / 1000});
            at += milliseconds(below(1500));
        }
        at += milliseconds(2000 + below(9000));
    }
    planStepsBack(seed, duration, plan);
    return plan;
}

} // namespace oriolelever::lab
