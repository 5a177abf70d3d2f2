/// Abseil flags that several commands of the test tool share.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/flags/declare.h>

ABSL_DECLARE_FLAG(std::string, listen);
ABSL_DECLARE_FLAG(std::string, seeds);
ABSL_DECLARE_FLAG(std::uint64_t, seed);
ABSL_DECLARE_FLAG(std::string, report);
ABSL_DECLARE_FLAG(int, seconds);

namespace oriolelever::lab {

/// Seeds to run one after another.
struct SeedRange
{
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

/// Parses "FIRST-LAST"; false leaves `out` unchanged.
bool parseSeeds(std::string_view text, SeedRange &out);

} // namespace oriolelever::lab
