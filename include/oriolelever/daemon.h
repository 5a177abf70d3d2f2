/// Composes the balancer and the agent from their services and runs them.
#pragma once

#include "oriolelever/kernel.h"
#include "oriolelever/node.h"
#include "oriolelever/settings.h"

namespace oriolelever {

/// Adds the services of a role to `kernel`, each after the services that it looks up at its start. Fails if
/// settings that depend on each other are inconsistent.
Result<void> addServices(Kernel &kernel, const Settings &settings, NodeRole role);

/// Reads the settings in `file`, checks them for the role and runs the daemon until a graceful shutdown.
/// Returns the exit status.
int runDaemon(const std::string &file, NodeRole role);

} // namespace oriolelever
