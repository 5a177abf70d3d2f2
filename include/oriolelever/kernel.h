/// Micro-kernel: starts named services in order, lets them find each other by name, and stops them
/// gracefully.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include "oriolelever/codes.h"

namespace oriolelever {

class Kernel;

/// A part of a process. All calls come on the control thread.
class Service
{
public:
    virtual ~Service() = default;

    /// Starts the service. The services added before it are already started.
    virtual Result<void> start(Kernel &kernel) = 0;

    /// A graceful shutdown begins; called on every service before the first drain, in reverse order.
    virtual void beginDrain()
    {
    }

    /// Takes no new work, finishes what is running, then calls `done` once on the control thread.
    virtual void drain(std::function<void()> done)
    {
        done();
    }

    /// Releases threads and sockets.
    virtual void stop() = 0;

    /// Reads changed settings again; called on SIGHUP.
    virtual void reload()
    {
    }
};

/// Owns the control thread's event loop and the services of one process.
///
///     Kernel kernel;
///     kernel.add("metrics", std::make_unique<Metrics>());
///     const int status = kernel.run(std::chrono::seconds(30));
class Kernel
{
public:
    Kernel() = default;
    Kernel(const Kernel &) = delete;
    Kernel &operator=(const Kernel &) = delete;

    /// Adds a service; its name must be new.
    void add(std::string name, std::unique_ptr<Service> service);

    /// The service called `name`, which must exist and be a `T`.
    template<typename T>
    T &find(std::string_view name)
    {
        return dynamic_cast<T &>(service(name));
    }

    /// The service called `name`, or null if there is none or it is not a `T`.
    template<typename T>
    T *tryFind(std::string_view name)
    {
        return dynamic_cast<T *>(lookUp(name));
    }

    /// The event loop of the control thread.
    asio::io_context &control()
    {
        return m_control;
    }

    /// Starts all services, runs until SIGTERM or SIGINT, announces the shutdown to all, drains one after
    /// another in reverse order within `drainLimit`, stops. Returns the exit status: 0 after a graceful stop,
    /// 2 if a service did not start.
    int run(std::chrono::milliseconds drainLimit);

    /// Begins a graceful shutdown, as SIGTERM does.
    void shutDown();

private:
    struct Entry
    {
        std::string name;
        std::unique_ptr<Service> service;
    };

    Service &service(std::string_view name);
    Service *lookUp(std::string_view name);
    bool startAll();
    void drainFrom(std::size_t index);
    void stopAll();
    void waitForSignal(asio::signal_set &signals);

    asio::io_context m_control;
    std::vector<Entry> m_services;
    std::size_t m_started = 0;
    bool m_draining = false;
    std::chrono::milliseconds m_drainLimit{0};
    std::unique_ptr<asio::steady_timer> m_drainTimer;
};

} // namespace oriolelever
