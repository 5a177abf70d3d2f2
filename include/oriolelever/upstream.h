/// Client side towards the backend server: one request at a time on each connection, answers checked for
/// wholeness, and exact knowledge of whether a byte may have left.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>

#include "oriolelever/request.h"

namespace oriolelever {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

struct UpstreamOptions
{
    Endpoint server;
    std::size_t heldBytes = 65'536; ///< Answers up to this size are held until they are whole.
    std::size_t maxHeadBytes = 32'768;
    std::uint64_t maxAnswerBytes = 1ULL << 32;
    std::chrono::milliseconds connectTimeout{1000};
    std::chrono::milliseconds idleLimit{30'000}; ///< Idle connections are closed after it.
    std::chrono::milliseconds freshLimit{1000}; ///< Idle time up to which non-idempotent requests use one.
    std::size_t maxIdle = 16;
};

/// A request as it is sent to the backend server.
struct ServerRequest
{
    RequestId id = 0;
    AttemptId attempt = 0;
    std::string tag; ///< Value of `Oriolelever-Request-Id`, unique among all agents.
    std::string method;
    std::string target;
    HeaderList headers;
    std::shared_ptr<const std::string> body;
    bool idempotent = false;
    bool fresh = false; ///< Takes a new connection.
    TimePoint deadline;
};

struct AnswerHead
{
    std::uint16_t status = 0;
    HeaderList headers;
};

/// Receives what happens to attempts; calls come on the thread of the io_context, never from within
/// `Upstream::send` or `Upstream::cancel`, except `byteLeft`.
class UpstreamEvents
{
public:
    virtual ~UpstreamEvents() = default;
    /// Called before the first byte is written.
    virtual void byteLeft(RequestId request, AttemptId attempt) = 0;
    /// An answer larger than `heldBytes` has begun; nothing more is read until `Upstream::resume`.
    virtual void answerBegan(RequestId request, AttemptId attempt) = 0;
    /// A part of a begun answer; nothing more is read until `Upstream::resume`.
    virtual void answerPart(RequestId request, AttemptId attempt, std::string part) = 0;
    /// The answer is whole.
    virtual void answerEnded(RequestId request, AttemptId attempt) = 0;
    virtual void attemptFailed(RequestId request, AttemptId attempt, AttemptFailure failure) = 0;
};

struct UpstreamCounters
{
    std::uint64_t connects = 0;
    std::uint64_t crossed = 0; ///< Answers with the id of another request.
    std::uint64_t truncated = 0;
    std::uint64_t malformed = 0;
    std::uint64_t oversized = 0;
    std::uint64_t stray = 0; ///< Connections with bytes outside an answer.
    std::uint64_t silent = 0; ///< Connections retired without a byte of the answer.
};

/// Headers between agent and server.
constexpr std::string_view requestIdHeader = "Oriolelever-Request-Id";
constexpr std::string_view notRunHeader = "Oriolelever-Not-Run";
constexpr std::string_view deadlineHeader = "Oriolelever-Deadline-Ms";

/// Case-insensitive look-up; null if absent.
const std::string *findHeader(const HeaderList &headers, std::string_view name);

class Upstream
{
public:
    Upstream(asio::io_context &context, UpstreamOptions options, UpstreamEvents &events);
    ~Upstream();

    void send(const ServerRequest &request);
    /// Closes the connection of the attempt, which tells the server; no event follows.
    void cancel(AttemptId attempt);
    /// Reads on after `answerBegan` or `answerPart`.
    void resume(AttemptId attempt);
    /// The head, and the held part of the body, of an attempt that has an answer; valid during `answerBegan`
    /// and `answerEnded`.
    const AnswerHead &head(AttemptId attempt) const;
    const std::string &held(AttemptId attempt) const;
    /// True once the whole answer was received.
    bool isWhole(AttemptId attempt) const;
    void closeIdle();
    const UpstreamCounters &counters() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oriolelever
