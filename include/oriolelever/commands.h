/// The subcommands of the shipped binary; each lives in a source file of its own.
#pragma once

#include "oriolelever/cli.h"

namespace oriolelever {

/// Runs the daemon of an entry host.
Command balancerCommand();
/// Runs the daemon beside a backend server.
Command agentCommand();
/// Prints the table of result codes.
Command codesCommand();
/// Validates settings files.
Command checkCommand();

} // namespace oriolelever
