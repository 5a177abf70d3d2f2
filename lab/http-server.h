/// HTTP side of the backend server emulator: slots, service time, cold start and faults.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "oriolelever/types.h"

namespace oriolelever::lab {

/// Shares of requests, each in [0, 1], that meet a fault; at most one fault a request.
struct HttpFaults
{
    double shed = 0.0; ///< Answered as not run.
    double stall = 0.0; ///< Never answered.
    double crash = 0.0; ///< Run, then the connection closes without an answer.
    double late = 0.0; ///< Answered after `lateTime`.
    double truncated = 0.0;
    double crossed = 0.0; ///< Answered with the id and body of another request.
    double doubled = 0.0; ///< Answered twice.
};

struct HttpServerOptions
{
    Endpoint listen; ///< Port 0 takes a free one.
    std::uint32_t slots = 2;
    std::chrono::milliseconds serviceTime{5};
    std::chrono::milliseconds coldTime{0}; ///< After the start or `turnCold`.
    double coldFactor = 3.0; ///< Service time while cold, relative to warm.
    std::uint32_t coldSlots = 1; ///< More at once while cold counts as an overload.
    std::chrono::milliseconds lateTime{2000};
    std::size_t answerBytes = 128; ///< Unless the target says `?bytes=N`.
    HttpFaults faults;
    std::uint64_t seed = 1;
};

/// Counted at the server. A run is known by the request's `Idempotency-Key`.
struct HttpServerFigures
{
    std::uint64_t received = 0;
    std::uint64_t runs = 0;
    std::uint64_t nonIdempotentRuns = 0;
    std::uint64_t ranTwice = 0; ///< Second and later runs of one non-idempotent request.
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0; ///< The client closed the connection during the run.
    std::uint32_t mostRunning = 0;
    std::uint64_t coldOverloads = 0;
};

/// Runs that several servers share, so that a second run at another server shows.
class RunLedger;
std::shared_ptr<RunLedger> makeRunLedger();
/// True if the ledger knows a run of the non-idempotent request.
bool hasRun(const RunLedger &ledger, const std::string &key);
/// Number of runs of each non-idempotent request.
std::map<std::string, std::uint32_t> runsOf(const RunLedger &ledger);

class HttpServer
{
public:
    HttpServer(HttpServerOptions options, std::shared_ptr<RunLedger> ledger);
    ~HttpServer();

    /// False if the address is taken.
    bool start();
    void stop();
    void turnCold();
    Endpoint endpoint() const;
    HttpServerFigures figures() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// The body that a server answers to the request called `key`; callers compare it.
std::string expectedBody(const std::string &key, std::size_t bytes);

} // namespace oriolelever::lab
