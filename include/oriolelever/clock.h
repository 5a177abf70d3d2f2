/// The monotonic clock and the wall clock of a process.
#pragma once

#include <chrono>

#include "oriolelever/types.h"

namespace oriolelever {

/// Monotonic time, which timers and decisions use.
inline TimePoint steadyNow()
{
    return std::chrono::steady_clock::now();
}

/// Time since 1970 by the host's wall clock, which may be set forward or back at any moment.
inline std::chrono::milliseconds unixTimeNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace oriolelever
