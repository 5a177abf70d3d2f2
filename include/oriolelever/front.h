/// HTTP server for callers, on RESTinio: enforces limits, rejects malformed requests, detects disconnects and
/// streams answers.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "oriolelever/upstream.h"

namespace oriolelever {

struct FrontOptions
{
    Endpoint listen; ///< Port 0 selects a free port.
    std::size_t maxConnections = 2000; ///< Open connections of all callers.
    std::size_t maxConnectionsPerCaller = 256; ///< Open connections of one caller address.
    std::size_t maxBodyBytes = 1 << 20;
    std::size_t maxTargetBytes = 8192; ///< Path and query.
    std::size_t maxHeaderFieldBytes = 8192; ///< For the name of a header field, and for its value.
    std::size_t maxHeaderFields = 64;
    /// To receive one complete request, and for idle connections.
    std::chrono::milliseconds readTimeout{10'000};
    std::chrono::milliseconds writeTimeout{30'000}; ///< For one write to the caller's connection.
    std::chrono::milliseconds handlingTimeout{120'000}; ///< From request to answer; above every deadline.
};

/// A complete request of a caller.
struct CallerRequest
{
    RequestId id = 0; ///< Assigned by `Front`.
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
    IpAddress caller; ///< Source address of the connection.
};

/// An answer, or its head, to a caller.
struct CallerAnswer
{
    std::uint16_t status = 0;
    HeaderList headers;
    std::string body;
    bool close = false; ///< Sends `Connection: close` and closes the connection.
};

/// Receives callers' requests. Called on the thread of the io_context.
class FrontEvents
{
public:
    virtual ~FrontEvents() = default;
    virtual void requestArrived(CallerRequest request) = 0;
    /// The caller's connection closed before the request was answered.
    virtual void callerGone(RequestId request) = 0;
};

/// True if two HTTP parsers may interpret the request differently, for instance because of a repeated length
/// field, a control character or an invalid target.
bool isAmbiguous(const CallerRequest &request);

/// Accepts callers' connections and sends the answers to their requests. Not thread-safe.
///
/// Answers to requests whose caller has disconnected are discarded.
class Front
{
public:
    Front(asio::io_context &context, FrontOptions options, FrontEvents &events);
    ~Front();

    /// Starts listening. Fails with `AddressInUse`.
    Result<void> open();
    /// Accepts the connections that callers have opened so far, then no further ones; open ones stay in use.
    void stopAccepting();
    /// Whether connections may still be accepted, also for a short time after `stopAccepting`.
    bool isAccepting() const;
    /// Stops the server and discards unanswered requests.
    void close();
    /// The address and port that the listener is bound to.
    Endpoint listenEndpoint() const;

    /// Sends a complete answer.
    void answer(RequestId request, const CallerAnswer &answer);
    /// Begins an answer whose body follows in parts; chunked unless `head` has a `Content-Length`.
    void beginAnswer(RequestId request, const CallerAnswer &head);
    /// Sends a part of the body; `written` is called after it was written to the caller's connection.
    void answerPart(RequestId request, std::string part, std::function<void()> written);
    /// Ends an answer begun with `beginAnswer`.
    void endAnswer(RequestId request);
    /// Closes the caller's connection before the answer is complete, so that the caller detects the failure.
    void abortAnswer(RequestId request);

    /// Number of open connections.
    std::size_t connections() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oriolelever
