#include "oriolelever/deferred-openings.h"

#include <algorithm>

namespace oriolelever {

bool defer(DeferredOpenings &deferred, const DeferOptions &options, const FlowKey &flow,
           std::span<const std::uint8_t> packet, TimePoint now)
{
    auto &openings = deferred.openings;
    if (packet.size() > maxDeferredSize) {
        return false;
    }
    auto found = std::find_if(openings.begin(), openings.end(),
                              [&](const DeferredOpening &opening) { return opening.flow == flow; });
    if (found == openings.end()) {
        if (openings.size() >= options.maxOpenings) {
            return false;
        }
        found = openings.insert(openings.end(), {.flow = flow, .firstAt = now});
    }
    found->size = packet.size();
    std::copy(packet.begin(), packet.end(), found->packet().begin());
    return true;
}

bool beginRetry(DeferredOpenings &deferred, const DeferOptions &options, TimePoint now)
{
    if (deferred.openings.empty() || now - deferred.retriedAt < options.retryPeriod) {
        return false;
    }
    deferred.retriedAt = now;
    std::erase_if(deferred.openings,
                  [&](const DeferredOpening &opening) { return now - opening.firstAt >= options.lifetime; });
    return !deferred.openings.empty();
}

} // namespace oriolelever
