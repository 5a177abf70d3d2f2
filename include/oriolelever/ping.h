/// Datagrams of the failure detector, with a keyed tag.
#pragma once

#include <optional>
#include <string>

#include "oriolelever/gue.h"
#include "oriolelever/types.h"

namespace oriolelever {

enum class PingType : std::uint8_t {
    Ping = 1, ///< Asks `to` for an Ack with the same nonce.
    Ack = 2,
    Probe = 3, ///< Asks `to` to ping `subject` and to report.
    Report = 4, ///< Whether `subject` was reached.
};

struct Ping
{
    PingType type = PingType::Ping;
    std::string from;
    std::string to; ///< A receiver of another name drops the datagram.
    std::uint64_t nonce = 0; ///< Of the question; an answer repeats it.
    std::string subject;
    Endpoint endpoint; ///< Of the subject.
    bool reached = false;

    bool operator==(const Ping &) const = default;
};

constexpr std::size_t maxPingBytes = 512;

std::string encodePing(const Ping &ping, const TagKeys &keys);
/// None when the tag is forged or the datagram malformed.
std::optional<Ping> decodePing(std::string_view bytes, const TagKeys &keys);

} // namespace oriolelever
