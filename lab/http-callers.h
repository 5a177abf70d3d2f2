/// HTTP callers on libcurl: idempotent GETs and non-idempotent POSTs, repeated as a careful client would.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "http-server.h"
#include "oriolelever/types.h"

namespace oriolelever::lab {

struct HttpCallersOptions
{
    std::vector<Endpoint> targets; ///< Agents, or the service's address.
    std::uint32_t concurrency = 8; ///< Requests at once.
    std::uint64_t requests = 0; ///< In all; 0 runs until `stop`.
    double requestsPerSecond = 0.0; ///< Limit of starts; 0 starts one whenever another ends.
    double postShare = 0.5; ///< Share of non-idempotent requests.
    double scanShare = 0.2; ///< Share of GETs that are ordinary and larger.
    std::size_t answerBytes = 128;
    std::size_t scanBytes = 16'384;
    std::chrono::milliseconds deadline{2000};
    std::uint32_t maxTries = 4;
    bool direct = false; ///< The targets are backend servers: any status 200 is an answer.
    std::shared_ptr<const RunLedger> ledger; ///< Checks refusals as not run; may be null.
    std::uint64_t seed = 1;
};

/// Counted at the callers. Each request ends in one of four ways.
struct HttpCallersFigures
{
    std::uint64_t sent = 0; ///< Requests, without repetitions.
    std::uint64_t answeredWhole = 0;
    std::uint64_t refusedNotRun = 0;
    std::uint64_t outcomeUnknown = 0;
    std::uint64_t lost = 0; ///< Ended without any outcome.
    std::uint64_t repetitions = 0;
    std::uint64_t wrongAnswers = 0; ///< Said to be whole, but with another body.
    std::uint64_t falseRefusals = 0; ///< Said to be not run, though the request's only submission ran.
    std::uint64_t cut = 0; ///< Connections that broke during a request.
    std::vector<double> urgentMs; ///< Time of each answered urgent request, repetitions included.
    std::vector<double> ordinaryMs;
};

class HttpCallers
{
public:
    explicit HttpCallers(HttpCallersOptions options);
    ~HttpCallers();

    void start();
    /// Waits until `options.requests` have ended.
    void wait();
    /// Waits until that many were answered whole, or all ended.
    void waitForAnswers(std::uint64_t count) const;
    /// Starts no more, waits for those under way.
    void stop();
    HttpCallersFigures figures() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// A UUID of version 7 with the given time.
std::string makeKeyAt(std::chrono::system_clock::time_point time, std::uint64_t random);
/// A UUID of version 7 with the time of now.
std::string makeKey(std::uint64_t random);

/// The value below which `share` of the values lie; 0 if there are none.
double percentile(std::vector<double> values, double share);

} // namespace oriolelever::lab
