/// Small HTTP server on the control thread, for health checks, heartbeats and metrics.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "oriolelever/types.h"

namespace oriolelever {

struct HttpRequest
{
    std::string method;
    std::string path; ///< Without the query.
    std::string body;
};

struct HttpReply
{
    int status = 200;
    std::string body;
    std::string type = "application/json";
};

/// Answers each request with what `handler` returns.
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

    /// The port that is listened on, once the event loop runs; 0 before.
    std::uint16_t port() const;

private:
    struct Server;
    std::unique_ptr<Server> m_server;
};

} // namespace oriolelever
