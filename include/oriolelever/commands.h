/// The subcommands of the shipped binary; each lives in a source file of its own.
#pragma once

#include "oriolelever/cli.h"

namespace oriolelever {

/// Prints the table of result codes.
Command codesCommand();
/// Validates settings files.
Command checkCommand();

} // namespace oriolelever
