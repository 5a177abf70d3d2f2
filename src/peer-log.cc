#include "peer-log.h"

#include "oriolelever/peer-message.h"

namespace oriolelever {

void logUnreadableMessage(EventLog &log, TimePoint now, std::string_view port, const Endpoint &from,
                          std::span<const std::uint8_t> bytes)
{
    if (const auto version = unreadableVersion(bytes)) {
        log.write(now, "peer_version_unreadable", "port", port, "from", from, "version",
                  static_cast<unsigned>(*version), "own", static_cast<unsigned>(peerMessageVersion));
        return;
    }
    log.write(now, "datagram_malformed", "port", port, "from", from, "size", bytes.size());
}

} // namespace oriolelever
