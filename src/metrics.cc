#include "oriolelever/metrics.h"

#include <prometheus/text_serializer.h>

namespace oriolelever {

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
{
}

Result<void> Metrics::start(Kernel &)
{
    return {};
}

void Metrics::stop()
{
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace oriolelever
