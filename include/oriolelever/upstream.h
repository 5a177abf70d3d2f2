/// HTTP/1.1 client of the backend server. Each connection carries one request at a time. The client detects
/// incomplete answers and reports when the first byte of a request is about to be written, so that a request
/// the server cannot have received is told apart from one that it may have run.
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
    std::size_t maxBufferedBytes = 65'536; ///< Answers with larger bodies are streamed.
    std::size_t maxHeadBytes = 32'768; ///< Names and values of all header fields.
    std::uint64_t maxAnswerBytes = 1ULL << 32; ///< Of the body.
    std::chrono::milliseconds connectTimeout{1000};
    std::chrono::milliseconds idleTimeout{30'000}; ///< Idle connections are closed after this time.
    /// Connections that were idle for longer are not reused for non-idempotent requests.
    std::chrono::milliseconds nonIdempotentIdleLimit{1000};
    std::size_t maxIdleConnections = 16; ///< Beyond it, the one that was idle for longest is closed.
};

/// A request as it is sent to the backend server.
struct ServerRequest
{
    RequestId id = 0;
    AttemptId attempt = 0; ///< Each try of a request, including hedges, has its own.
    std::string tag; ///< Value of `Oriolelever-Request-Id`; unique for each attempt among all agents.
    std::string method;
    std::string target;
    HeaderList headers;
    std::shared_ptr<const std::string> body; ///< Null if there is none.
    bool idempotent = false;
    bool needsNewConnection = false; ///< Never sent on a reused connection.
    TimePoint deadline; ///< Sent to the server as the milliseconds left.
};

/// Status and header fields of a server's answer.
struct AnswerHead
{
    std::uint16_t status = 0;
    HeaderList headers;
};

/// Receives the events of attempts. Called on the thread of the io_context, never from within
/// `Upstream::send` or `Upstream::cancel`, except `byteLeft`.
class UpstreamEvents
{
public:
    virtual ~UpstreamEvents() = default;
    /// Called before the first byte of the request is written; from here on the server may run it.
    virtual void byteLeft(RequestId request, AttemptId attempt) = 0;
    /// The body exceeds `maxBufferedBytes`; `Upstream::bufferedBody` has its beginning. Nothing more is read
    /// until `Upstream::resume`.
    virtual void answerBegan(RequestId request, AttemptId attempt) = 0;
    /// The next part of a streamed body. Nothing more is read until `Upstream::resume`.
    virtual void answerPart(RequestId request, AttemptId attempt, std::string part) = 0;
    /// The complete answer was received.
    virtual void answerEnded(RequestId request, AttemptId attempt) = 0;
    /// No complete answer was received, or the server did not run the request.
    virtual void attemptFailed(RequestId request, AttemptId attempt, AttemptFailure failure) = 0;
};

/// Counts since the start.
struct UpstreamCounters
{
    std::uint64_t connects = 0; ///< Attempts to open a connection.
    std::uint64_t crossed = 0; ///< Answers with the request id of another attempt.
    std::uint64_t truncated = 0; ///< Connections that ended before the answer was complete.
    std::uint64_t malformed = 0; ///< Answers that are not valid HTTP.
    std::uint64_t oversized = 0; ///< Answers over `maxHeadBytes` or `maxAnswerBytes`.
    std::uint64_t unsolicitedData = 0; ///< Connections readable while idle or after the answer.
    std::uint64_t silent = 0; ///< Connections closed by `cancel` before any byte of the answer.
};

/// Identifies the attempt; the server copies it into the answer.
constexpr std::string_view requestIdHeader = "Oriolelever-Request-Id";
/// In the server's answer: the request was not run.
constexpr std::string_view notRunHeader = "Oriolelever-Not-Run";
/// Time until the request's deadline, in milliseconds.
constexpr std::string_view deadlineHeader = "Oriolelever-Deadline-Ms";

/// Returns the value of the first field of this name, ignoring case, or null if there is none.
const std::string *findHeader(const HeaderList &headers, std::string_view name);

/// Sends requests to one backend server and keeps idle connections for reuse. Not thread-safe.
class Upstream
{
public:
    Upstream(asio::io_context &context, UpstreamOptions options, UpstreamEvents &events);
    ~Upstream();

    /// Sends a request on an idle connection or on a new one.
    void send(const ServerRequest &request);
    /// Closes the attempt's connection, which signals the cancellation to the server. No event follows.
    void cancel(AttemptId attempt);
    /// Continues reading after `answerBegan` or `answerPart`, and discards what `bufferedBody` returned.
    void resume(AttemptId attempt);
    /// Status and headers of the answer. Valid during `answerBegan` and `answerEnded`.
    const AnswerHead &head(AttemptId attempt) const;
    /// The body received so far without the parts passed to `answerPart`. Valid during `answerBegan` and
    /// `answerEnded`.
    const std::string &bufferedBody(AttemptId attempt) const;
    /// True once the complete answer was received, until `answerEnded` returns.
    bool isComplete(AttemptId attempt) const;
    /// Closes the connections that carry no request.
    void closeIdleConnections();
    const UpstreamCounters &counters() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oriolelever
