// Runs an event loop until a condition holds; used by tests over loopback.
#pragma once

#include <functional>

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

namespace oriolelever {

/// Fails the test if `condition` does not hold within half a minute: a bound on a hang, not on speed.
inline void runUntil(asio::io_context &context, const std::function<bool()> &condition)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!condition()) {
        if (context.stopped()) {
            context.restart();
        }
        context.run_one_for(std::chrono::milliseconds(20));
        if (std::chrono::steady_clock::now() > limit) {
            FAIL() << "the condition never held";
        }
    }
}

} // namespace oriolelever
