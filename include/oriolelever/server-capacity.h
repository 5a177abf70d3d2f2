/// What a backend server takes well, as its agent has learned it from the server's answers.
#pragma once

#include <chrono>
#include <cstdint>

namespace oriolelever {

/// Learned capacity of one start of a backend server, with what waits for it. All zero if nothing is known.
struct ServerCapacity
{
    double answersPerSecond = 0; ///< Answers a second within the usual time, at `concurrency`; 0 if unknown.
    double concurrency = 0; ///< Requests under way up to which the server answers well; 0 if unknown.
    std::uint16_t evidence = 0; ///< Answers behind the estimate; saturates.
    std::chrono::milliseconds usualAnswer{0}; ///< Usual time of an answer; at most 65,535 ms.
    std::uint16_t queuedOpenings = 0; ///< Opening packets that wait at the agent.
    std::uint16_t queuedRequests = 0; ///< Requests of open flows that wait at the agent.
    std::chrono::milliseconds longestWait{0}; ///< Of those that wait at the agent; at most 65,535 ms.
    std::uint32_t openings = 0; ///< Opening packets that have reached the agent since its start; wraps.

    bool operator==(const ServerCapacity &) const = default;
};

/// What a balancer returns to an agent that has restarted beside the same start of its server.
struct RememberedCapacity
{
    std::uint64_t bornAt = 0; ///< Start of the server that `capacity` was learned from, see `Report::bornAt`.
    ServerCapacity capacity; ///< Only the first four fields.

    bool operator==(const RememberedCapacity &) const = default;
};

} // namespace oriolelever
