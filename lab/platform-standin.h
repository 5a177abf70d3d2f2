/// Small stand-in of the platform's object API over HTTP, with faults.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "oriolelever/types.h"

namespace oriolelever::lab {

struct StandinOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 takes any free one.
    std::string token; ///< Bearer token that calls need; empty asks for none.
};

/// Serves the protocol that `PlatformClient` describes, from memory, on a thread of its own.
///
/// PUT /fault with a JSON object sets any of: "down" (503), "slow_ms" (delay of every answer), "hang" (no
/// answer at all), "lose_answers" (so many writes take effect without an answer), "writes_per_second" and
/// "reads_per_second" (429 beyond; 0 is no limit), "stale_reads" (so many reads answer with the object's
/// previous state), "end_watches" (all waiting watches must restart). GET /fault shows them and the counts of
/// calls.
class PlatformStandin
{
public:
    /// Listens at once; throws `std::exception` if it cannot.
    explicit PlatformStandin(const StandinOptions &options);
    ~PlatformStandin();

    std::uint16_t port() const;
    /// Sets faults as PUT /fault does.
    void setFaults(const nlohmann::json &faults);
    /// Counts of calls: "reads", "writes", "watches", "throttled".
    nlohmann::json counters() const;

private:
    class Server;

    std::unique_ptr<Server> m_server;
};

} // namespace oriolelever::lab
