/// Replicates the configuration rows of the platform by list and watch.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "oriolelever/dissem.h"
#include "oriolelever/platform.h"

namespace oriolelever {

/// Returns the kinds of the platform's objects that are configuration rows.
std::vector<std::string> configurationKinds();

/// Returns the record of a configuration object, or none for an object of another kind.
std::optional<Record> toRecord(const Object &object, bool deleted);

/// Returns the records of a list of one kind: its rows, and deletions of the rows of `view` that the list
/// lacks. A row later than the list's revision is not deleted, so that an outdated list cannot remove it.
std::vector<Record> makeListRecords(const ClusterView &view, const std::string &kind, const ObjectList &list);

/// Lists all configuration rows, then watches for changes until stopped. Passes records to `sink`. Retries a
/// failed call with exponential backoff and jitter, and continues from the last position.
class PlatformWatch : public std::enable_shared_from_this<PlatformWatch>
{
public:
    /// Called with the records of each list and of each batch of changes.
    using Sink = std::function<void(const std::vector<Record> &records)>;

    /// `watchTimeout` bounds one watch call. `view` returns the rows in force, to find rows that a list
    /// lacks.
    PlatformWatch(asio::io_context &context, ObjectApi &api, std::chrono::milliseconds watchTimeout,
                  Sink sink, std::function<const ClusterView &()> view);

    void start();
    void stop();

    /// Calls of the platform so far.
    std::uint64_t calls() const
    {
        return m_calls;
    }

    /// Returns true if all lists are complete and the last call succeeded.
    bool isCurrent() const
    {
        return m_failures == 0 && m_lastPosition != StorePosition{};
    }

private:
    /// Lists `configurationKinds()[kind]` and the kinds after it, then starts to watch.
    void list(std::size_t kind);
    void watch();
    void retry(std::function<void()> operation);

    ObjectApi &m_api;
    std::chrono::milliseconds m_watchTimeout;
    Sink m_sink;
    std::function<const ClusterView &()> m_view;
    asio::steady_timer m_timer;
    std::minstd_rand m_random;
    StorePosition m_lastPosition; ///< Changes up to here were received; zero before the lists are complete.
    StorePosition m_listedPosition; ///< Earliest of the lists received since `start`.
    std::uint64_t m_calls = 0;
    int m_failures = 0; ///< Retries since the last success.
    bool m_stopped = false;
};

/// Returns the delay before attempt `failures` + 1: from half to all of the exponential backoff, by `jitter`,
/// which is uniform in [0, 1).
std::chrono::milliseconds watchBackoff(int failures, double jitter);

} // namespace oriolelever
