/// Follows the configuration rows of the platform by list and watch.
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

/// Kinds of the objects that hold configuration rows.
std::vector<std::string> configurationKinds();

/// The record of a configuration object; none for another kind.
std::optional<Record> toRecord(const Object &object, bool deleted);

/// Records that a list of one kind brings: its rows, and deletions of the rows of `view` that it lacks.
/// A row later than the list's revision is not deleted, so that an old list takes nothing away.
std::vector<Record> recordsOfList(const ClusterView &view, const std::string &kind, const ObjectList &list);

/// Runs until destroyed. After a failed call it waits with exponential backoff and jitter, then goes on from
/// the last revision.
class PlatformWatch : public std::enable_shared_from_this<PlatformWatch>
{
public:
    using Sink = std::function<void(const std::vector<Record> &records)>;

    PlatformWatch(asio::io_context &context, ObjectApi &api, std::chrono::milliseconds wait, Sink sink,
                  std::function<const ClusterView &()> view);

    void start();
    void stop();

    std::uint64_t calls() const
    {
        return m_calls;
    }

    bool isCurrent() const
    {
        return m_failures == 0 && m_after > 0;
    }

private:
    void list(std::size_t kind);
    void watch();
    void retry(std::function<void()> again);

    ObjectApi &m_api;
    std::chrono::milliseconds m_wait;
    Sink m_sink;
    std::function<const ClusterView &()> m_view;
    asio::steady_timer m_timer;
    std::minstd_rand m_random;
    std::uint64_t m_after = 0;
    std::uint64_t m_listed = 0; ///< Smallest revision of the lists that are being made.
    std::uint64_t m_calls = 0;
    int m_failures = 0;
    bool m_stopped = false;
};

/// Wait before attempt `failures` + 1; `unit` is uniform in [0, 1).
std::chrono::milliseconds watchBackoff(int failures, double unit);

} // namespace oriolelever
