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
/// Explains the course of one request or flow from structured logs.
Command explainCommand();
/// Prints every setting of every role.
Command settingsCommand();
/// Creates an operator's token.
Command tokenCommand();
/// Validates settings files and tables.
Command checkCommand();
/// Prints the burn rate of every service and target.
Command burnCommand();
/// Shows, exports and imports the operators' table; lists and undoes changes.
Command tableCommand();
/// Changes cells of the table.
Command setCommand();
/// Takes an availability zone out of service or returns it to service.
Command zoneCommand();
/// Drains a backend server: it gets no new work.
Command drainCommand();
/// Ends the drain of a backend server.
Command undrainCommand();
/// Prints members, flows, limits, the versions in force and the processes that are stale.
Command statusCommand();

} // namespace oriolelever
