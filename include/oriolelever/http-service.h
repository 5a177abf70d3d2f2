/// HTTP server on the control thread, for health checks, heartbeats and metrics.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>

#include "oriolelever/types.h"

namespace oriolelever {

struct HttpRequest
{
    std::string method;
    std::string path; ///< Without the query.
    std::string query; ///< After the question mark, as received; empty if there is none.
    std::string body;
};

struct HttpReply
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json"; ///< Value of `Content-Type`.
    std::vector<std::pair<std::string, std::string>> headers; ///< Further ones: names and values.
};

/// Answers each request with the reply that `handler` returns. Listens on IPv4 only.
///
///     HttpService service(context, address, [](const HttpRequest &) { return HttpReply{.status = 204}; });
class HttpService
{
public:
    using Handler = std::function<HttpReply(const HttpRequest &)>;

    HttpService(asio::io_context &context, const Endpoint &address, Handler handler);
    ~HttpService();
    HttpService(const HttpService &) = delete;
    HttpService &operator=(const HttpService &) = delete;

    /// The port that the listener is bound to; 0 until the event loop runs.
    std::uint16_t port() const;

private:
    struct Server;
    std::unique_ptr<Server> m_server;
};

} // namespace oriolelever
