#include "oriolelever/segment.h"

namespace oriolelever {

FlowKey flowFromCaller(const Segment &segment)
{
    return {.caller = segment.source, .service = segment.destination};
}

FlowKey flowFromServer(const Segment &segment)
{
    return {.caller = segment.destination, .service = segment.source};
}

} // namespace oriolelever
