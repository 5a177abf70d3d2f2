#include "oriolelever/path-counters.h"

namespace oriolelever {

namespace {

constexpr std::array<std::string_view, pathEventCount> eventNames = {
    "received",
    "relayed",
    "cut",
    "send_refused",
    "unknown_service",
    "no_server",
    "too_big",
    "stale_notice",
    "wrong_target_notice",
    "wrong_address",
    "delivered",
    "delivery_failed",
    "forwarded",
    "held",
    "hold_full",
    "reset_sent",
    "unknown_datagram",
    "answered",
    "foreign_answer",
    "mss_clamped",
    "message_sent",
    "message_received",
    "message_malformed",
    "flow_opened",
    "flow_closed",
};

} // namespace

std::string_view toString(PathEvent event)
{
    return eventNames.at(static_cast<std::size_t>(event));
}

void PathCounters::forEach(
    const std::function<void(std::string_view, std::string_view, std::uint64_t)> &visit) const
{
    for (std::size_t i = 0; i < pathEventCount; ++i) {
        visit("event", eventNames.at(i), value(static_cast<PathEvent>(i)));
    }
    for (std::size_t i = 1; i < gueFaultCount; ++i) {
        visit("encapsulation", toString(static_cast<GueFault>(i)), value(static_cast<GueFault>(i)));
    }
    for (std::size_t i = 1; i < packetFaultCount; ++i) {
        visit("packet", toString(static_cast<PacketFault>(i)), value(static_cast<PacketFault>(i)));
    }
    for (std::size_t i = 1; i < dropReasonCount; ++i) {
        visit("drop", toString(static_cast<DropReason>(i)), value(static_cast<DropReason>(i)));
    }
}

} // namespace oriolelever
