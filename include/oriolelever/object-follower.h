/// Follows all objects of one kind by list and watch.
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
    std::string kind;
    /// Bounds how old the objects may be unnoticed when a watch hears nothing without its connection being
    /// lost.
    std::chrono::milliseconds wait{4000};
    std::chrono::milliseconds firstRetry{150};
    std::chrono::milliseconds longestRetry{1200}; ///< Under the two seconds in which entries must be back.
};

/// Wait before the next attempt after `failures` failures; `unit` is uniform in [0, 1).
std::chrono::milliseconds followerBackoff(const FollowerOptions &options, int failures, double unit);

/// Runs until destroyed. After a failed call it goes on from the last revision; after lost history it lists
/// again.
class ObjectFollower
{
public:
    using Objects = std::map<std::string, Object>; ///< By name.

    struct Events
    {
        /// All objects, after each change and after the first list.
        std::function<void(const Objects &objects)> changed;
        /// The platform answers again, or has stopped answering; the text says what came.
        std::function<void(bool available, const std::string &text)> availability;
    };

    ObjectFollower(asio::io_context &context, ObjectApi &api, FollowerOptions options, Events events);
    ~ObjectFollower();

    void start();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oriolelever
