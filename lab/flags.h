/// Abseil flags that several commands of the test tool share.
#pragma once

#include <cstdint>
#include <string>

#include <absl/flags/declare.h>

ABSL_DECLARE_FLAG(std::string, listen);
ABSL_DECLARE_FLAG(std::uint64_t, seed);
ABSL_DECLARE_FLAG(std::string, report);
ABSL_DECLARE_FLAG(int, seconds);
