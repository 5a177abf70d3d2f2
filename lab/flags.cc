#include "flags.h"

#include <charconv>

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, listen, "", "ADDRESS:PORT to listen on");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random generators");
ABSL_FLAG(std::string, seeds, "", "seeds to run one after another, FIRST-LAST");

namespace oriolelever::lab {

bool parseSeeds(std::string_view text, SeedRange &out)
{
    SeedRange range;
    const auto *const end = text.data() + text.size();
    const auto begun = std::from_chars(text.data(), end, range.first);
    if (begun.ec != std::errc{} || begun.ptr == end || *begun.ptr != '-') {
        return false;
    }
    const auto ended = std::from_chars(begun.ptr + 1, end, range.last);
    if (ended.ec != std::errc{} || ended.ptr != end || range.first > range.last) {
        return false;
    }
    out = range;
    return true;
}

} // namespace oriolelever::lab
