/// Opening packets that a balancer cannot place yet.
///
/// A balancer that has just started knows neither the configuration nor the servers for some hundred
/// milliseconds. After a loss of all power every caller opens a flow in that time; a dropped opening packet
/// comes again only after 200 or 400 ms, while servers that are already up idle. Deferred packets are placed
/// as soon as a server is known. The functions do no I/O and read no clock.
///
///     if (decision.cause == SteeringCause::NotReady && segment.opens()) {
///         defer(deferred, options, key, packet, now);
///     }
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

#include "oriolelever/flow.h"
#include "oriolelever/peer-message.h"

namespace oriolelever {

struct DeferOptions
{
    std::size_t maxOpenings = 1024; ///< Bounds the memory to 128 KB.
    std::chrono::milliseconds lifetime{1400}; ///< Callers give up an opening after it.
    /// Between two attempts to place the oldest one. An attempt goes through all servers, and the smallest
    /// balancers have a few hundredths of a core.
    std::chrono::milliseconds retryPeriod{20};
};

constexpr std::size_t maxDeferredSize = 64; ///< Bytes of an opening packet; longer ones are not deferred.

struct DeferredOpening
{
    FlowKey flow;
    TimePoint firstAt{}; ///< When the first copy came.
    /// The latest copy, behind space for the header of a relayed packet.
    std::array<std::uint8_t, peerHeaderSize + maxDeferredSize> bytes{};
    std::size_t size = 0; ///< Bytes of the packet.

    std::span<std::uint8_t> packet()
    {
        return {bytes.data() + peerHeaderSize, size};
    }
};

/// Oldest first.
struct DeferredOpenings
{
    std::vector<DeferredOpening> openings;
    TimePoint retriedAt{}; ///< Last attempt to place them.
};

/// Keeps an opening packet; a further copy replaces the one that is kept. Returns false if the packet is too
/// long or too many are kept.
bool defer(DeferredOpenings &deferred, const DeferOptions &options, const FlowKey &flow,
           std::span<const std::uint8_t> packet, TimePoint now);

/// Whether it is time for the next attempt to place the packets that are kept. Removes those whose callers
/// have given up, and records the attempt.
bool beginRetry(DeferredOpenings &deferred, const DeferOptions &options, TimePoint now);

} // namespace oriolelever
