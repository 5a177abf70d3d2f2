/// Bounded queue of requests: two classes, fair between callers, earliest deadline first within a caller.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "oriolelever/types.h"

namespace oriolelever {

/// Class of a request. Urgent requests go first, but ordinary ones keep a share.
enum class Urgency : std::uint8_t { Urgent, Ordinary };

struct QueueOptions
{
    std::size_t capacity = 256;
    std::size_t callerCapacity = 32; ///< Waiting requests of one caller.
    std::uint32_t ordinaryShare = 8; ///< At least one in this many starts is ordinary, if one waits.
};

struct Waiting
{
    std::uint64_t request = 0;
    std::uint64_t caller = 0;
    Urgency urgency = Urgency::Urgent;
    TimePoint deadline;
};

/// Waiting requests of one class.
struct Lane
{
    std::map<std::uint64_t, std::vector<Waiting>> callers; ///< Each sorted by deadline.
    std::deque<std::uint64_t> turns; ///< Callers in the order of their turns.
    std::size_t size = 0;
};

struct Queue
{
    QueueOptions options;
    Lane urgent;
    Lane ordinary;
    std::uint32_t urgentInRow = 0; ///< Urgent starts since the last ordinary one.
};

std::size_t size(const Queue &queue);
/// Requests that start before a new one of this class.
std::size_t ahead(const Queue &queue, Urgency urgency);

enum class PushResult : std::uint8_t { Queued, Full, CallerFull };

/// Adds a request. A full queue gives up the ordinary request with the latest deadline for an urgent one; it
/// is returned in `evicted`.
PushResult push(Queue &queue, const Waiting &waiting, std::optional<Waiting> &evicted);
/// Takes the next request to start.
std::optional<Waiting> pop(Queue &queue);
/// Removes a request; false if it does not wait.
bool remove(Queue &queue, std::uint64_t request);
/// Removes the requests whose deadline is before `limit`.
std::vector<Waiting> removeLate(Queue &queue, TimePoint limit);

} // namespace oriolelever
