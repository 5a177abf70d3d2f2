/// Bounded queue of waiting requests: two classes, round robin between callers, earliest deadline first
/// within a caller.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "oriolelever/types.h"

namespace oriolelever {

/// Class of a request. Urgent requests start first, but a share of the starts is left to ordinary ones.
enum class Urgency : std::uint8_t { Urgent, Ordinary };

struct QueueOptions
{
    std::size_t capacity = 256; ///< Requests of both classes together.
    std::size_t callerCapacity = 32; ///< Requests of one caller, of both classes together.
    std::uint32_t ordinaryInterval = 8; ///< At least one in this many starts is ordinary, if one waits.
};

struct WaitingRequest
{
    std::uint64_t request = 0; ///< Id of the request.
    std::uint64_t caller = 0; ///< Hash of the caller's address.
    Urgency urgency = Urgency::Urgent;
    TimePoint deadline; ///< When the caller needs the answer at the latest.
};

/// Waiting requests of one class.
struct ClassQueue
{
    std::map<std::uint64_t, std::vector<WaitingRequest>> callers; ///< By caller; each sorted by deadline.
    std::deque<std::uint64_t> callerOrder; ///< Callers with requests; the first is served next.
    std::size_t size = 0; ///< Requests of all callers.
};

struct Queue
{
    QueueOptions options;
    ClassQueue urgent;
    ClassQueue ordinary;
    std::uint32_t consecutiveUrgent = 0; ///< Urgent requests taken since the last ordinary one.
};

/// Returns the number of waiting requests.
std::size_t size(const Queue &queue);
/// Returns an estimate of the waiting requests that start before a new one of this class.
std::size_t requestsAhead(const Queue &queue, Urgency urgency);

enum class PushResult : std::uint8_t {
    Queued,
    Full, ///< The queue has `capacity` requests and none that may be evicted.
    CallerFull ///< The caller has `callerCapacity` requests.
};

/// Adds a request. If the queue is full, an urgent request replaces the ordinary one with the latest
/// deadline, which is returned in `evicted`.
PushResult push(Queue &queue, const WaitingRequest &waiting, std::optional<WaitingRequest> &evicted);
/// Removes and returns the next request to start, if any.
std::optional<WaitingRequest> pop(Queue &queue);
/// Removes a request; returns false if it is not in the queue.
bool remove(Queue &queue, std::uint64_t request);
/// Removes and returns the requests whose deadline is before `limit`.
std::vector<WaitingRequest> removeDueBefore(Queue &queue, TimePoint limit);

} // namespace oriolelever
