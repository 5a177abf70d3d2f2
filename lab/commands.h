/// The subcommands of the test tool; each lives in a source file of its own.
#pragma once

#include "oriolelever/cli.h"

namespace oriolelever::lab {

/// Backend server for a deployment run.
Command serverCommand();
/// Callers and fabric for a deployment run.
Command driveCommand();
/// Rate of control traffic of running processes.
Command controlBytesCommand();
/// Figures of a deployment run from its reports.
Command summaryCommand();
/// Stand-in of the platform's object API.
Command platformCommand();

/// Writes a trace of a case and a deployment.
Command traceCommand();
/// Replays traces against their stated outcomes.
Command replayCommand();
/// Replays many seeds of one case.
Command sweepCommand();
/// Measures the costs of control for one node.
Command controlCommand();
/// Compares ways to learn that a version is in force everywhere.
Command stabilityCommand();

/// Runs callers, agents and faulty backend servers in virtual time.
Command requestsCommand();
/// Runs the small programs under faults.
Command soakCommand();
/// Replaces the processes of an earlier build under faults.
Command upgradeCommand();

} // namespace oriolelever::lab
