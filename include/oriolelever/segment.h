/// Packets of flows in the platform's own format. Only `PacketFormat` knows the layout of their bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "oriolelever/flow.h"

namespace oriolelever {

/// The decoded header of one packet.
struct Segment
{
    Endpoint source;
    Endpoint destination;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
    bool returned = false; ///< A backend server rejected the packet and sent it back.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint32_t mark = 0; ///< Set by the agent; a backend server returns it unchanged.
    std::size_t payloadSize = 0; ///< Bytes after the header.

    /// Whether the packet opens a flow.
    bool opens() const
    {
        return syn && !ack;
    }
};

/// Returns the key of the flow that a caller's packet belongs to.
FlowKey flowFromCaller(const Segment &segment);
/// Returns the key of the flow that a backend server's packet belongs to.
FlowKey flowFromServer(const Segment &segment);

/// Reads and writes packets in one platform's format.
///
///     Segment segment;
///     if (!format.parse(bytes, segment)) {
///         return;
///     }
struct PacketFormat
{
    /// Decodes the header; returns false if `bytes` is not one whole packet.
    bool (*parse)(std::span<const std::uint8_t> bytes, Segment &out) = nullptr;
    /// Sets the mark of a packet.
    void (*setMark)(std::span<std::uint8_t> bytes, std::uint32_t mark) = nullptr;
    /// Restores a returned packet to what its sender wrote.
    void (*clearReturned)(std::span<std::uint8_t> bytes) = nullptr;
    /// Writes a reset from `source` to `destination` into `out`, which must hold `maxResetSize` bytes.
    /// Returns the reset's size in bytes.
    std::size_t (*writeReset)(std::span<std::uint8_t> out, const Endpoint &source,
                              const Endpoint &destination, std::uint32_t sequence)
        = nullptr;
};

/// A reset for the caller of a flow that no server holds any more.
struct FlowReset
{
    FlowKey flow;
    std::uint32_t sequence = 0; ///< Within `sequenceWindow` of the caller's last acknowledgement.
};

constexpr std::size_t maxResetSize = 64; ///< Bytes.
/// Largest distance, in bytes, of a reset's sequence from the caller's last acknowledgement, and of data in
/// flight.
constexpr std::uint32_t sequenceWindow = 76'800;

} // namespace oriolelever
