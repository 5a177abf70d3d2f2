/// Composition of the two daemons from their services.
#pragma once

#include "oriolelever/kernel.h"
#include "oriolelever/node.h"
#include "oriolelever/settings.h"

namespace oriolelever {

/// Adds the services of a role to `kernel`, each after those that it finds at its start. Fails when settings
/// that depend on each other clash.
Result<void> addServices(Kernel &kernel, const Settings &settings, NodeRole role);

/// Reads and checks `file` for a role, runs the daemon until a graceful shutdown. Returns the exit status.
int runDaemon(const std::string &file, NodeRole role);

} // namespace oriolelever
