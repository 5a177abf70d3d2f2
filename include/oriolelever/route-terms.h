/// What callers need of the requests on a route, as the operators' configuration states it. Balancers send it
/// along with each packet, so that an agent can order the work that waits for its backend server.
///
///     PeerHeader header{.type = PeerMessageType::Relay, .terms = route.terms};
#pragma once

#include <chrono>
#include <cstdint>

namespace oriolelever {

constexpr std::uint8_t lowestPriority = 7; ///< Also of requests whose route states no priority.

/// Terms of a route; the default is a route that states none.
struct RouteTerms
{
    bool isRepeatable = false; ///< A request may run more than once.
    std::uint8_t priority = lowestPriority; ///< 0 is the most urgent.
    std::chrono::milliseconds timeLimit{0}; ///< After which callers no longer need the answer; 0 if unstated.
    std::chrono::milliseconds latencyGoal{0}; ///< Within which callers expect the answer; 0 if unstated.

    bool operator==(const RouteTerms &) const = default;
};

/// Returns the largest time of at most `time` that four bits can state, see `encodeTime`.
std::chrono::milliseconds roundToEncodable(std::chrono::milliseconds time);

/// Returns the terms for work that has waited: what is left of the stated times, but the shortest time that
/// can be stated where nothing is.
RouteTerms remainingTerms(const RouteTerms &terms, std::chrono::nanoseconds waited);

/// Encodes a time in four bits: 0 for none or less than 50 ms, otherwise one of 15 steps from 50 ms to 6.4 s,
/// two to each doubling, rounded down.
std::uint8_t encodeTime(std::chrono::milliseconds time);
/// Decodes the four lowest bits of `code`.
std::chrono::milliseconds decodeTime(std::uint8_t code);

} // namespace oriolelever
