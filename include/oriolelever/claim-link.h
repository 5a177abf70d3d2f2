/// Claims on idempotency keys between agents, over streams: sends claims to the holders of a key, replies as
/// a holder, and recovers the agent's claims after its start.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include <asio/io_context.hpp>

#include "oriolelever/claims.h"
#include "oriolelever/streams.h"

namespace oriolelever {

struct ClaimLinkOptions
{
    ClaimOptions claims;
    AgentId self; ///< This agent.
    std::chrono::milliseconds callTimeout{250}; ///< For one call of a holder.
    std::chrono::milliseconds pollInterval{25}; ///< Shortest delay of a retry while another claim runs.
};

/// Another agent of the service, as a holder of claims.
struct ClaimPeer
{
    AgentId agent;
    Endpoint endpoint; ///< Address that takes handovers and claims.
};

/// Result of a claim.
struct ClaimOutcome
{
    ClaimVerdict verdict = ClaimVerdict::Unreachable;
    std::chrono::milliseconds retryAfter{0}; ///< Set for `Unreachable` and `NotProven`.
    KeptAnswer answer; ///< Set for `Answered`.
};

/// Makes and holds the claims of one agent. All calls and callbacks are on the thread of the streams.
///
///     ClaimLink claims(context, streams, options);
///     claims.setPeers(peers);
///     claims.startClaim(key, request, deadline, [](const ClaimOutcome &outcome) {});
class ClaimLink
{
public:
    using Done = std::function<void(const ClaimOutcome &)>;

    ClaimLink(asio::io_context &context, Streams &streams, const ClaimLinkOptions &options);
    ~ClaimLink();

    /// Sets the other agents of the service, those that are down too.
    void setPeers(const std::vector<ClaimPeer> &peers);
    /// Claims `key` for `request`; `done` is called once, before the deadline. While another claim on
    /// the key runs, retries until shortly before the deadline.
    void startClaim(const std::string &key, RequestId request, TimePoint deadline, Done done);
    /// Ends the claim of `request` at all holders; does nothing if its verdict was not `Fresh`.
    void settle(RequestId request, ClaimEnd end, const KeptAnswer &answer);
    /// Expires old claims and requests missing claims from peers; call it a few times a second.
    void tick();
    const ClaimTable &table() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oriolelever
