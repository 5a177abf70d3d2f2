/// Abseil flags that several commands share; flags.cc has their help texts.
#pragma once

#include <cstdint>
#include <string>

#include <absl/flags/declare.h>

ABSL_DECLARE_FLAG(std::string, config);
ABSL_DECLARE_FLAG(std::string, format);
ABSL_DECLARE_FLAG(std::string, expect);
ABSL_DECLARE_FLAG(bool, wait);
ABSL_DECLARE_FLAG(std::uint64_t, timeout);
