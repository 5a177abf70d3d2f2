/// Packets of flows whose header the platform defines. `PacketFormat` is the only thing that knows their
/// bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "oriolelever/flow.h"

namespace oriolelever {

/// What the header of one packet says.
struct Segment
{
    Endpoint source;
    Endpoint destination;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
    bool returned = false; ///< A backend server gave the packet back because it does not take it.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint32_t mark = 0; ///< Free for the system; a backend server returns it unchanged.
    std::size_t payloadSize = 0; ///< Bytes after the header.

    /// True for the packet that asks for a new flow.
    bool opens() const
    {
        return syn && !ack;
    }
};

/// Key of the flow of a packet that a caller sent.
FlowKey flowFromCaller(const Segment &segment);
/// Key of the flow of a packet that a backend server sent.
FlowKey flowFromServer(const Segment &segment);

/// Reads and writes packets of one platform.
///
///     Segment segment;
///     if (!format.parse(bytes, segment)) {
///         return;
///     }
struct PacketFormat
{
    /// Reads the header; false if `bytes` is no whole packet.
    bool (*parse)(std::span<const std::uint8_t> bytes, Segment &out) = nullptr;
    /// Writes the mark of a whole packet.
    void (*setMark)(std::span<std::uint8_t> bytes, std::uint32_t mark) = nullptr;
    /// Turns a returned packet into what its sender wrote.
    void (*clearReturned)(std::span<std::uint8_t> bytes) = nullptr;
    /// Writes a reset from `source` to `destination` into `out`, which holds `maxResetSize` bytes. Returns
    /// its size.
    std::size_t (*writeReset)(std::span<std::uint8_t> out, const Endpoint &source,
                              const Endpoint &destination, std::uint32_t sequence)
        = nullptr;
};

/// A reset for the caller of a flow that no server has any more.
struct FlowReset
{
    FlowKey flow;
    std::uint32_t sequence = 0; ///< Within `sequenceWindow` of the caller's last acknowledgement.
};

constexpr std::size_t maxResetSize = 64; ///< Bytes.
/// Largest distance between a reset's sequence and the caller's last acknowledgement, and of data in flight.
constexpr std::uint32_t sequenceWindow = 76'800;

} // namespace oriolelever
