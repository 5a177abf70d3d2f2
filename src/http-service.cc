#include "oriolelever/http-service.h"

#include <restinio/all.hpp>

#include "oriolelever/log.h"

namespace oriolelever {

namespace {

using Traits = restinio::single_thread_traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>;

constexpr std::chrono::seconds readTimeout{60}; ///< Includes idle time before a request.
constexpr std::size_t maxBodyBytes = 64 << 10;
constexpr std::size_t readBufferBytes = 2048;

} // namespace

struct HttpService::Server
{
    restinio::http_server_t<Traits> http;
    std::string address;
    std::uint16_t port = 0;
};

HttpService::HttpService(asio::io_context &context, const Endpoint &address, Handler handler)
    : m_server(new Server{
        {restinio::external_io_context(context),
         [&](auto &settings) {
             settings.port(address.port)
                 .protocol(asio::ip::tcp::v4())
                 .address(toString(address.address))
                 .buffer_size(readBufferBytes)
                 .read_next_http_message_timelimit(readTimeout)
                 .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}.max_body_size(maxBodyBytes))
                 .acceptor_post_bind_hook(
                     [this](auto &acceptor) { m_server->port = acceptor.local_endpoint().port(); })
                 .request_handler([handler = std::move(handler)](const restinio::request_handle_t &request) {
                     const auto reply = handler({.method = request->header().method().c_str(),
                                                 .path = std::string(request->header().path()),
                                                 .query = std::string(request->header().query()),
                                                 .body = request->body()});
                     auto response = request->create_response(restinio::http_status_line_t(
                         restinio::http_status_code_t(static_cast<std::uint16_t>(reply.status)),
                         reply.status < 300 ? "OK" : "Refused"));
                     response.append_header(restinio::http_field::content_type, reply.contentType);
                     for (const auto &[name, value] : reply.headers) {
                         response.append_header(name, value);
                     }
                     response.set_body(reply.body).done();
                     return restinio::request_accepted();
                 });
         }},
        toString(address)})
{
    m_server->http.open_async([] {},
                              [name = m_server->address](const std::exception_ptr &) {
                                  static const Log log("http");
                                  log.error("cannot listen on {}", name);
                              });
}

HttpService::~HttpService() = default;

std::uint16_t HttpService::port() const
{
    return m_server->port;
}

} // namespace oriolelever
