#include "oriolelever/kernel.h"

#include <csignal>
#include <stdexcept>

#include "oriolelever/log.h"

namespace oriolelever {

namespace {

const Log &kernelLog()
{
    static const Log instance("kernel");
    return instance;
}

} // namespace

void Kernel::add(std::string name, std::unique_ptr<Service> service)
{
    if (lookUp(name) != nullptr) {
        throw std::logic_error("service \"" + name + "\" exists already");
    }
    m_services.push_back({std::move(name), std::move(service)});
}

Service *Kernel::lookUp(std::string_view name)
{
    for (const auto &entry : m_services) {
        if (entry.name == name) {
            return entry.service.get();
        }
    }
    return nullptr;
}

Service &Kernel::service(std::string_view name)
{
    auto *const found = lookUp(name);
    if (found == nullptr) {
        throw std::logic_error("service \"" + std::string(name) + "\" does not exist");
    }
    return *found;
}

bool Kernel::startAll()
{
    for (auto &entry : m_services) {
        const bool started = handleError(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(entry.service->start(*this));
                return true;
            },
            [&](const Error &error) {
                kernelLog().error("service {} did not start: {} ({})", entry.name, error.text,
                                  toString(error.code));
                return false;
            });
        if (!started) {
            return false;
        }
        ++m_started;
    }
    return true;
}

int Kernel::run(std::chrono::milliseconds drainLimit)
{
    m_drainLimit = drainLimit;
    asio::signal_set signals(m_control, SIGTERM, SIGINT, SIGHUP);
    waitForSignal(signals);
    if (!startAll()) {
        stopAll();
        return 2;
    }
    kernelLog().info("started");
    m_control.run();
    stopAll();
    kernelLog().info("stopped");
    return 0;
}

void Kernel::waitForSignal(asio::signal_set &signals)
{
    signals.async_wait([this, &signals](const asio::error_code &error, int number) {
        if (error) {
            return;
        }
        if (number != SIGHUP) {
            shutDown();
            return;
        }
        for (auto &entry : m_services) {
            entry.service->reload();
        }
        waitForSignal(signals);
    });
}

void Kernel::shutDown()
{
    if (m_draining) {
        return;
    }
    m_draining = true;
    kernelLog().info("draining");
    m_drainTimer = std::make_unique<asio::steady_timer>(m_control, m_drainLimit);
    m_drainTimer->async_wait([this](const asio::error_code &error) {
        if (!error) {
            kernelLog().warn("drain limit reached; stopping the services that are not drained");
            m_control.stop();
        }
    });
    for (std::size_t index = m_started; index > 0; --index) {
        m_services[index - 1].service->beginDrain();
    }
    drainFrom(m_started);
}

void Kernel::drainFrom(std::size_t index)
{
    if (index == 0) {
        m_control.stop();
        return;
    }
    m_services[index - 1].service->drain([this, index] { drainFrom(index - 1); });
}

void Kernel::stopAll()
{
    while (m_started > 0) {
        --m_started;
        m_services[m_started].service->stop();
    }
}

} // namespace oriolelever
