/// Claims on idempotency keys over streams: asks the holders of a key, answers as a holder, recovers after a
/// start.
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
    Holder self;
    std::chrono::milliseconds callTimeout{250}; ///< For one holder.
    std::chrono::milliseconds pollInterval{25}; ///< Between questions while an earlier submission runs.
};

/// Another agent of the service.
struct ClaimPeer
{
    Holder holder;
    Endpoint endpoint; ///< Handover address.
};

struct ClaimOutcome
{
    ClaimVerdict verdict = ClaimVerdict::Unreachable;
    std::chrono::milliseconds retryAfter{0};
    KeptAnswer answer;
};

/// All calls and callbacks on the thread of the streams.
class ClaimLink
{
public:
    using Done = std::function<void(const ClaimOutcome &)>;

    ClaimLink(asio::io_context &context, Streams &streams, const ClaimLinkOptions &options);
    ~ClaimLink();

    /// Members of the service besides this agent, those that are down too.
    void setPeers(const std::vector<ClaimPeer> &peers);
    /// Claims `key` for `request`; `done` is called once, before the deadline.
    void start(const std::string &key, RequestId request, TimePoint deadline, Done done);
    /// Ends the claim of `request`, which was fresh.
    void settle(RequestId request, ClaimEnd end, const KeptAnswer &answer);
    /// Expires old claims and asks for those of peers; call it a few times a second.
    void tick();
    const ClaimTable &table() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oriolelever
