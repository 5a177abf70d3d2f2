#include "flags.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, listen, "", "ADDRESS:PORT to listen on");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random generators");
