/// HTTP/1.1 client over one persistent connection, with a timeout for each call.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "oriolelever/types.h"

namespace oriolelever {

/// Whether a call was answered, and if not, whether the server may have received it.
enum class TransferState {
    Complete, ///< A complete HTTP answer arrived.
    NotSent, ///< There was no connection; the server received nothing.
    Lost, ///< No complete answer arrived; the server may have received the call.
};

/// Result of one HTTP call; `status` and `body` are set only for `TransferState::Complete`.
struct HttpAnswer
{
    TransferState state = TransferState::Complete;
    int status = 0;
    std::string body;
    std::string header; ///< Value of `HttpClientOptions::answerHeader`; empty if the answer has none.
};

/// One call; `done` is called once, never before `HttpClient::send` returns.
struct HttpCall
{
    std::string method = "GET";
    std::string target; ///< Path and query.
    std::string body; ///< JSON; sent if not empty.
    std::chrono::milliseconds timeout{1000}; ///< Without the time in the queue.
    bool retryable = true; ///< A GET may be sent again if the reused connection turns out to be closed.
    std::function<void(HttpAnswer)> done;
};

struct HttpClientOptions
{
    Endpoint server;
    std::chrono::milliseconds connectTimeout{500}; ///< Unused; `HttpCall::timeout` includes connecting.
    std::chrono::milliseconds tcpUserTimeout{2500}; ///< For sent data without acknowledgement.
    std::size_t maxAnswerBytes = 8UL << 20; ///< Of the body.
    std::string answerHeader; ///< Name of a header of which answers report the value; empty for none.
};

/// Sends calls one after another on one connection, which is reopened when needed. A retryable GET is sent
/// once more if the reused connection turns out to be closed. Not thread-safe.
///
///     HttpClient client(context, {.server = server});
///     client.send({.target = "/objects/config", .done = [](const HttpAnswer &answer) { ... }});
class HttpClient
{
public:
    HttpClient(asio::io_context &context, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Queues a call.
    void send(HttpCall call);
    /// Ends the current call, if it has begun, as if its answer were lost. Its `done` is called after this
    /// function has returned.
    void abortCall();

    /// Attempts to open a connection so far.
    std::uint64_t connectCount() const;

private:
    class Session;
    std::shared_ptr<Session> m_session;
};

} // namespace oriolelever
