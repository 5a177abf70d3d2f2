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
/// Tells the story of one request or flow from structured logs.
Command explainCommand();
/// Prints every setting of every role.
Command settingsCommand();
/// Makes a token of an operator.
Command tokenCommand();
/// Validates settings files and tables.
Command checkCommand();
/// Service-level burn per service and target.
Command burnCommand();
/// Shows, exports and imports the operators' table, lists and undoes changes.
Command tableCommand();
/// Changes cells of the table.
Command setCommand();
/// Takes an availability zone out or returns it.
Command zoneCommand();
/// Gives a backend server no new work.
Command drainCommand();
/// Takes back a drain.
Command undrainCommand();
/// Members, versions in force, flows, limits and who is stale.
Command statusCommand();

} // namespace oriolelever
