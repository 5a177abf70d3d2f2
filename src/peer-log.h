/// Log lines about messages between balancers and agents.
#pragma once

#include <span>
#include <string_view>

#include "oriolelever/event-log.h"
#include "oriolelever/types.h"

namespace oriolelever {

/// Logs a datagram that `decodePeerHeader` has refused: with both versions if a process of another build has
/// sent it. `port` is the name of the receiving port.
void logUnreadableMessage(EventLog &log, TimePoint now, std::string_view port, const Endpoint &from,
                          std::span<const std::uint8_t> bytes);

} // namespace oriolelever
