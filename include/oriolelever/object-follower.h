/// Keeps a copy of all objects of one kind in the platform's store, by list and watch.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>

#include "oriolelever/platform.h"

namespace oriolelever {

struct FollowerOptions
{
    std::string kind; ///< Kind of the objects.
    /// How long one watch call waits for changes. Bounds how long objects may be stale unnoticed when a watch
    /// gets no events although its connection is not lost. See `setWatchTimeout`.
    std::chrono::milliseconds watchTimeout{4000};
    std::chrono::milliseconds firstRetryDelay{150}; ///< After the first failed call; see `followerBackoff`.
    std::chrono::milliseconds maxRetryDelay{600};
    /// Replaces `maxRetryDelay` until the first list: a process without the objects cannot work.
    std::chrono::milliseconds maxFirstListDelay{1200};
    /// Keeps the objects' values for later calls of `ObjectFollower::Events::changed`; without, only objects
    /// that have changed since the last call have one, and the values of the others are null. Values of a
    /// megabyte take several times as much once they are parsed.
    bool keepsValues = true;
};

/// Returns the delay before the next attempt after `failures` consecutive failures: exponential up to
/// `maxRetryDelay`, of which the upper half is random. `randomFraction` is uniform in [0, 1).
std::chrono::milliseconds followerBackoff(const FollowerOptions &options, int failures,
                                          double randomFraction);

/// Returns how long each of `watchers` processes that tell each other of changes should let a watch call
/// wait. Their calls end at different times, so that of the time `noticeTime`, in which a change must become
/// known although the store has lost all watches, `watchEndsInNoticeTime` end on average; the more they are,
/// the longer each may wait.
std::chrono::milliseconds sharedWatchTimeout(std::size_t watchers, std::chrono::milliseconds noticeTime);

/// What preceded a watch.
enum class PreviousWatch {
    Unchanged, ///< A watch that waited its whole time and got no changes.
    Other, ///< A list, a failed call, changes, or a new timeout: other processes had the same at the same
           ///< time.
};

/// Returns how long a watch should wait. After what all processes meet together, such as their start, a
/// change or a failure of the store, the end is uniform in the whole time: otherwise no watch would end for
/// three quarters of `timeout`, and watches that the store has lost would all stay unnoticed so long.
/// `randomFraction` is uniform in [0, 1).
std::chrono::milliseconds watchWaitAfter(PreviousWatch previous, std::chrono::milliseconds timeout,
                                         double randomFraction);

/// With 8, all of them miss a given `noticeTime` in one of 3,000 cases.
constexpr int watchEndsInNoticeTime = 8;
constexpr std::chrono::milliseconds defaultNoticeTime{2800}; ///< Where the platform states none.
constexpr std::chrono::milliseconds minSharedWatchTimeout{4000};
/// Below the longest wait of the platform's store, 30 s.
constexpr std::chrono::milliseconds maxSharedWatchTimeout{20'000};

/// A list or watch that failed, for the log.
struct FailedCall
{
    std::string_view call; ///< "list", "watch" or "catch_up".
    std::chrono::milliseconds waited{0}; ///< From the start of the call to its failure.
    std::chrono::milliseconds retryDelay{0}; ///< Until the next call, unless `retryNow` comes first.
    int failures = 0; ///< Consecutive failed calls, this one included.
    std::string text; ///< Of the error.
};

/// The first list of a new era of the store, see `StorePosition`.
struct EraListing
{
    StorePosition before; ///< As of which the objects were known.
    StorePosition after; ///< Of the list.
    std::size_t objects = 0; ///< In the list.
    std::size_t dropped = 0; ///< Objects that were known and are not in the list.
};

/// How the objects became known as they are.
enum class ChangeSource {
    List, ///< Listed at the start, or because events were missed.
    Watch, ///< Events of a watch.
    Peer, ///< Listed because another process had seen a change; see `ObjectFollower::catchUp`.
};

std::string_view toString(ChangeSource source);

/// Runs until destroyed. Retries a failed watch from the last revision, at first with a short wait that shows
/// whether the store answers; lists again if the store no longer has the history since then, or has come back
/// from an older copy of itself.
class ObjectFollower
{
public:
    using Objects = std::map<std::string, Object>; ///< By name.

    struct Events
    {
        /// Called with all objects after each list and each change.
        std::function<void(const Objects &objects)> changed;
        /// Called for each failed call; may be unset.
        std::function<void(const FailedCall &call)> failed;
        /// Called before `changed` with the first list of a new era; may be unset.
        std::function<void(const EraListing &listing)> eraListed;
        /// Called when a call fails after a success, with the error's text, and when one succeeds again, with
        /// the kind.
        std::function<void(bool available, const std::string &text)> availability;
    };

    ObjectFollower(asio::io_context &context, ObjectApi &api, FollowerOptions options, Events events);
    ~ObjectFollower();

    /// Starts with a list.
    void start();
    /// Sets how long the watch calls from now on wait.
    void setWatchTimeout(std::chrono::milliseconds timeout);
    /// Position of the store at which the objects changed last, as far as is known; zero before the first
    /// change after the first list.
    StorePosition lastChange() const;
    /// How the objects became known at the last call of `Events::changed`.
    ChangeSource changeSource() const;
    /// Of the last list or watch.
    StorePosition position() const;
    /// Lists the objects if they are known as of an earlier position only: another process has seen them
    /// change at this one. The watch goes on. After a failed list, calls have no effect for 600 ms.
    void catchUp(StorePosition position);
    /// Makes a call at once that waits to be retried after a failure, as the store has answered another call.
    void retryNow();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oriolelever
