/// Switches for experiments: each names a mechanism that decides about flows, and runs the program without
/// it. They measure what a mechanism is worth; see docs/design/ablation.md.
///
///     DecisionOptions options;
///     BOOST_LEAF_CHECK(disableMechanisms("spill-over,ejection", options));
#pragma once

#include <span>
#include <string_view>

#include "oriolelever/codes.h"
#include "oriolelever/deferred-openings.h"
#include "oriolelever/server-gate.h"
#include "oriolelever/steering.h"

namespace oriolelever {

/// Options of the modules that decide in a balancer or an agent of the platform.
struct DecisionOptions
{
    SteeringOptions steering;
    GateOptions gate;
    DeferOptions defer;
    std::chrono::milliseconds flowListPeriod{1000}; ///< Between two lists of a server's flows.
};

/// A switch.
struct Mechanism
{
    std::string_view name; ///< As `--without` takes it.
    void (*disable)(DecisionOptions &options) = nullptr;
};

/// All that can be switched off.
std::span<const Mechanism> mechanisms();

/// Switches off the mechanisms of a comma-separated list. An unknown name is an error that lists all names.
Result<void> disableMechanisms(std::string_view names, DecisionOptions &options);

} // namespace oriolelever
