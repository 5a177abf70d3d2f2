/// The two clocks of a process.
#pragma once

#include <chrono>

#include "oriolelever/types.h"

namespace oriolelever {

/// Monotonic time, for everything that decides.
inline TimePoint steadyNow()
{
    return std::chrono::steady_clock::now();
}

/// Time since 1970 by the host's clock, which may be set at any moment.
inline std::chrono::milliseconds timeOfDay()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace oriolelever
