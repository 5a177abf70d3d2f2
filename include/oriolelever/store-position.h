/// Order of what the platform's store says.
#pragma once

#include <compare>
#include <cstdint>

namespace oriolelever {

/// A point in the history of the platform's store. The store raises its revision with each change, except
/// when it comes back from an older copy of itself: it then loses the changes since, raises its era by one,
/// and gives out the revisions of the lost changes again.
///
///     StorePosition{.era = 2, .revision = 10} > StorePosition{.era = 1, .revision = 900}
struct StorePosition
{
    std::uint64_t era = 0; ///< 0 if the store states none.
    std::uint64_t revision = 0;

    auto operator<=>(const StorePosition &) const = default;
};

} // namespace oriolelever
