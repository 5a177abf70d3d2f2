/// Abseil flags that several commands share.
#pragma once

#include <string>

#include <absl/flags/declare.h>

ABSL_DECLARE_FLAG(std::string, config);
