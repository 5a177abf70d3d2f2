#include "oriolelever/daemon.h"
#include "oriolelever/requests.h"

namespace oriolelever {

std::unique_ptr<Service> makeRequests(const Settings &settings, Incarnation incarnation)
{
    return std::make_unique<Requests>(settings, incarnation);
}

} // namespace oriolelever
