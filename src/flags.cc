#include "oriolelever/flags.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, config, "", "settings file of the process");
ABSL_FLAG(std::string, format, "text", "format of the output");
ABSL_FLAG(std::string, expect, "", "version that the row must have");
ABSL_FLAG(bool, wait, false, "returns when in force on every live process");
ABSL_FLAG(std::uint64_t, timeout, 15000, "milliseconds that --wait waits at most");
