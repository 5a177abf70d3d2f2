// Event loop for tests over loopback.
#pragma once

#include <functional>

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

namespace oriolelever {

/// Runs the loop until `condition` holds. Fails the test after half a minute, which bounds hangs rather than
/// speed.
inline void runUntil(asio::io_context &context, const std::function<bool()> &condition)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!condition()) {
        if (context.stopped()) {
            context.restart();
        }
        context.run_one_for(std::chrono::milliseconds(20));
        if (std::chrono::steady_clock::now() > limit) {
            FAIL() << "the condition did not hold within 30 s";
        }
    }
}

} // namespace oriolelever
