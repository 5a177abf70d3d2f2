#include "oriolelever/agent-path.h"

#include "agent-worker.h"

namespace oriolelever {

AgentPath::AgentPath(const AgentPathOptions &options, std::unique_ptr<Delivery> delivery)
    : m_options(options)
    , m_delivery(std::move(delivery))
{
}

AgentPath::~AgentPath()
{
    stop();
}

Result<void> AgentPath::start()
{
    BOOST_LEAF_AUTO(socket, openDatagramSocket(m_options.listen));
    BOOST_LEAF_AUTO(wakeDescriptor, openWakeDescriptor());
    m_worker = std::make_unique<Worker>(m_options, std::move(socket), std::move(wakeDescriptor), *m_delivery);
    m_worker->run();
    return {};
}

void AgentPath::stop()
{
    if (m_worker) {
        m_worker->stop();
    }
}

void AgentPath::setRoute(std::shared_ptr<const ServiceRoute> route)
{
    m_worker->setRoute(std::move(route));
}

void AgentPath::addSample(const AnswerSample &sample)
{
    m_worker->addSample(sample);
}

Endpoint AgentPath::local() const
{
    return m_worker ? m_worker->local() : m_options.listen;
}

TimePoint AgentPath::lastReceiveTime() const
{
    return m_worker->lastReceiveTime();
}

AgentPathStatus AgentPath::status() const
{
    return m_worker->status();
}

const PathCounters &AgentPath::counters() const
{
    return m_worker->counters();
}

} // namespace oriolelever
