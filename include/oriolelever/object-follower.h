/// Keeps a copy of all objects of one kind in the platform's store, by list and watch.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "oriolelever/platform.h"

namespace oriolelever {

struct FollowerOptions
{
    std::string kind; ///< Kind of the objects.
    /// How long one watch call waits for changes. Bounds how long objects may be stale unnoticed when a watch
    /// gets no events although its connection is not lost.
    std::chrono::milliseconds watchTimeout{4000};
    std::chrono::milliseconds firstRetryDelay{150}; ///< After the first failed call; see `followerBackoff`.
    /// Below the two seconds in which entries must be restored.
    std::chrono::milliseconds maxRetryDelay{1200};
    /// Replaces `maxRetryDelay` until the first list: a process without the objects cannot work.
    std::chrono::milliseconds maxFirstListDelay{1200};
};

/// Returns the delay before the next attempt after `failures` consecutive failures: exponential up to
/// `maxRetryDelay`, of which the upper half is random. `randomFraction` is uniform in [0, 1).
std::chrono::milliseconds followerBackoff(const FollowerOptions &options, int failures,
                                          double randomFraction);

/// Runs until destroyed. Retries a failed watch from the last revision; lists again if the store no longer
/// has the history since then.
class ObjectFollower
{
public:
    using Objects = std::map<std::string, Object>; ///< By name.

    struct Events
    {
        /// Called with all objects after each list and each change.
        std::function<void(const Objects &objects)> changed;
        /// Called when a call fails after a success, with the error's text, and when one succeeds again, with
        /// the kind.
        std::function<void(bool available, const std::string &text)> availability;
    };

    ObjectFollower(asio::io_context &context, ObjectApi &api, FollowerOptions options, Events events);
    ~ObjectFollower();

    /// Starts with a list.
    void start();
    /// Makes a call at once that waits to be retried after a failure, as the store has answered another call.
    void retryNow();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oriolelever
