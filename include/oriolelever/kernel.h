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

/// A part of a process. These functions are called on the control thread, which runs `Kernel::run`.
class Service
{
public:
    virtual ~Service() = default;

    /// Starts the service; those added before it have already started.
    virtual Result<void> start(Kernel &kernel) = 0;

    /// Announces a graceful shutdown; called on every started service, in reverse order, before any `drain`.
    virtual void beginDrain()
    {
    }

    /// Stops accepting work, finishes the work that is running, then calls `done` once on the control thread.
    virtual void drain(std::function<void()> done)
    {
        done();
    }

    /// Releases threads and sockets.
    virtual void stop() = 0;

    /// Rereads the settings; called on SIGHUP.
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

    /// Adds a service; throws `std::logic_error` if the name is in use.
    void add(std::string name, std::unique_ptr<Service> service);

    /// The service called `name`; throws if it does not exist or is not a `T`.
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

    /// Starts all services and runs until SIGTERM or SIGINT. Then calls `beginDrain` on all, drains them one
    /// after another in reverse order and stops them; `drainLimit` bounds all drains together. Returns the
    /// exit status: 0 after a stop, also when the drain limit was reached, 2 if a service did not start.
    int run(std::chrono::milliseconds drainLimit);

    /// Begins a graceful shutdown, as SIGTERM does; to be called on the control thread.
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
    void drainFrom(std::size_t index); ///< Drains the first `index` services in reverse order.
    void stopAll(); ///< Stops the started services in reverse order.
    void waitForSignal(asio::signal_set &signals);

    asio::io_context m_control;
    std::vector<Entry> m_services; ///< In the order of their start.
    std::size_t m_started = 0; ///< How many of `m_services` are started, counted from the front.
    bool m_draining = false; ///< Set by `shutDown`.
    std::chrono::milliseconds m_drainLimit{0};
    std::unique_ptr<asio::steady_timer> m_drainTimer; ///< Stops the event loop after `m_drainLimit`.
};

} // namespace oriolelever
