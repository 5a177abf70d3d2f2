/// Datagrams of the failure detector, authenticated by a keyed tag.
#pragma once

#include <optional>
#include <string>

#include "oriolelever/gue.h"
#include "oriolelever/types.h"

namespace oriolelever {

enum class PingType : std::uint8_t {
    Ping = 1, ///< Requests an `Ack` with the same nonce.
    Ack = 2,
    Probe = 3, ///< Requests that `to` pings `subject` and answers with a `Report`.
    Report = 4, ///< Whether `subject` was reached.
};

/// Any datagram of the failure detector.
struct Ping
{
    PingType type = PingType::Ping;
    std::string from;
    std::string to; ///< Name of the receiver; a node of another name drops the datagram.
    std::uint64_t nonce = 0; ///< Chosen by the sender of a `Ping` or `Probe`; the answer repeats it.
    std::string subject; ///< Name of the node to ping, in a `Probe` or `Report`.
    Endpoint endpoint; ///< Of the subject, in a `Probe`.
    bool reached = false; ///< In a `Report`: the subject answered.

    bool operator==(const Ping &) const = default;
};

/// Size of the receive buffer.
constexpr std::size_t maxPingBytes = 512;

/// Appends a tag of the current key, if there is one.
std::string encodePing(const Ping &ping, const TagKeys &keys);
/// Accepts tags of the current and the previous key. Returns none if the tag is wrong or missing, or the
/// datagram malformed.
std::optional<Ping> decodePing(std::string_view bytes, const TagKeys &keys);

} // namespace oriolelever
