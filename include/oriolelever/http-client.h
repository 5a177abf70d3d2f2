/// HTTP/1.1 client over one kept connection, with a time limit for each call.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "oriolelever/types.h"

namespace oriolelever {

enum class TransferState {
    Complete, ///< A whole HTTP answer arrived.
    NotSent, ///< No connection; the server saw nothing.
    Lost, ///< The call may have reached the server.
};

/// What came of one HTTP call.
struct HttpAnswer
{
    TransferState state = TransferState::Complete;
    int status = 0;
    std::string body;
};

/// One call; `done` is called once, never before `HttpClient::send` returns.
struct HttpCall
{
    std::string method = "GET";
    std::string target;
    std::string body; ///< JSON; sent if not empty.
    std::chrono::milliseconds timeout{1000};
    bool repeatable = true; ///< A GET may be sent again if a kept connection turns out to be closed.
    std::function<void(HttpAnswer)> done;
};

struct HttpClientOptions
{
    Endpoint server;
    std::chrono::milliseconds connectTimeout{500};
    std::chrono::milliseconds silenceLimit{2500}; ///< Without acknowledgement by the peer's kernel.
    std::size_t maxAnswerBytes = 8UL << 20;
};

/// Sends calls one after another on one connection, which is opened again when needed. A repeatable
/// GET is sent once more if a kept connection turns out to be closed. Not thread-safe.
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

    void send(HttpCall call);

    /// Connections opened so far.
    std::uint64_t connects() const;

private:
    class Session;
    std::shared_ptr<Session> m_session;
};

} // namespace oriolelever
