/// Concurrent run of callers, agents and faulty backend servers in virtual time, over the decision functions
/// of the daemons.
#pragma once

#include <vector>

#include "history.h"
#include "oriolelever/claims.h"
#include "oriolelever/request.h"

namespace oriolelever::lab {

/// A defect planted to show that the checker finds it.
enum class Mutation : std::uint8_t {
    None,
    ClaimsIgnored, ///< Every claim counts as fresh: doubles.
    MemoryIgnored, ///< A holder without memory proves keys fresh: doubles after restarts.
    SentForgotten, ///< An attempt that left counts as not sent: false refusals and doubles.
    TruncatedPassed,
    CrossedPassed,
    EndForgotten, ///< Some outcomes are never told: lost.
};

struct RequestsRunOptions
{
    std::uint64_t seed = 1;
    std::size_t agents = 7;
    std::uint32_t slots = 2;
    std::chrono::milliseconds serviceTime{10};
    std::chrono::milliseconds scanTime{10};
    double load = 0.4; ///< Offered load relative to the servers' slots.
    double urgentShare = 0.6;
    double nonIdempotentShare = 0.5; ///< Of urgent requests.
    std::chrono::milliseconds duration{20'000};
    std::chrono::milliseconds deadline{1000};
    std::uint32_t maxTries = 5; ///< Submissions of one request by its caller.
    bool warm = false; ///< The agents have run long enough to prove keys fresh.
    bool faults = true;
    double faultShare = 0.03; ///< Of requests that meet a faulty server.
    bool retries = true; ///< Of the agents.
    bool fixedLimit = false; ///< Broken answers don't lower the concurrency limit.
    bool unlimitedRetries = false; ///< Retries and hedges without a budget.
    double brokenShare = 0.0; ///< Answers that break, on top of the faults.
    std::chrono::milliseconds rampTime{1000};
    std::chrono::milliseconds coldTime{0}; ///< All servers start cold for this long.
    Mutation mutation = Mutation::None;
};

struct RequestsRunFigures
{
    HistoryFigures history;
    double goodput = 0.0; ///< Requests answered a second, while new ones come.
    double urgentP99Ms = 0.0; ///< Of answered urgent requests, from their first submission.
    double ordinaryP99Ms = 0.0;
    double urgentAnswered = 0.0; ///< Share of urgent requests.
    std::uint64_t attempts = 0; ///< Sent to backend servers.
    std::uint64_t handovers = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t lateAnswers = 0;
    std::uint64_t coldOverloads = 0; ///< Starts at a cold server that was at its limit.
    std::uint64_t restarts = 0;
};

RequestsRunFigures runRequests(const RequestsRunOptions &options);

} // namespace oriolelever::lab
