#include "oriolelever/flags.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, config, "", "settings file of the process");
