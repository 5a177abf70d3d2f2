#include "oriolelever/admin.h"

#include <fmt/format.h>
#include <restinio/all.hpp>

#include "oriolelever/log.h"

namespace oriolelever {

namespace {

using Traits = restinio::single_thread_traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>;

const Log &adminLog()
{
    static const Log instance("admin");
    return instance;
}

void respond(const restinio::request_handle_t &request, restinio::http_status_line_t status,
             std::string_view type, std::string body)
{
    request->create_response(std::move(status))
        .append_header(restinio::http_field::content_type, std::string(type))
        .set_body(std::move(body))
        .done();
}

asio::ip::tcp::endpoint toAsio(const Endpoint &endpoint)
{
    if (endpoint.address.isV4()) {
        asio::ip::address_v4::bytes_type bytes{};
        std::copy_n(endpoint.address.bytes.begin() + 12, bytes.size(), bytes.begin());
        return {asio::ip::address_v4(bytes), endpoint.port};
    }
    return {asio::ip::address_v6(endpoint.address.bytes), endpoint.port};
}

// Binds the address for a test. RESTinio reports a failed bind only when the event loop runs, which is too
// late to fail the start.
Result<void> checkCanListen(const asio::ip::tcp::endpoint &endpoint, asio::io_context &control)
{
    asio::ip::tcp::acceptor acceptor(control);
    asio::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(1, error);
    }
    if (!error) {
        return {};
    }
    const auto code = error == asio::error::address_in_use ? Code::AddressInUse : Code::SocketFailed;
    return fail(code,
                fmt::format("address {}:{} of setting \"process.admin\" cannot be listened on: {}",
                            endpoint.address().to_string(), endpoint.port(), error.message()));
}

} // namespace

class Admin::Server
{
public:
    Server(asio::io_context &control, Admin &admin, const asio::ip::tcp::endpoint &endpoint)
        : m_http(restinio::external_io_context(control), [&](auto &settings) {
            settings.port(endpoint.port())
                .protocol(endpoint.protocol())
                .address(endpoint.address())
                .acceptor_post_bind_hook(
                    [&admin](auto &acceptor) { admin.m_port = acceptor.local_endpoint().port(); })
                .request_handler([&admin](const restinio::request_handle_t &request) {
                    return handleRequest(admin, request);
                });
        })
    {
    }

    void open()
    {
        m_http.open_async([] {},
                          [](const std::exception_ptr &) {
                              adminLog().error("address of setting \"process.admin\" can no longer be bound");
                          });
    }

    void close()
    {
        m_http.close_async([] {}, [](const std::exception_ptr &) {});
    }

private:
    static restinio::request_handling_status_t handleRequest(Admin &admin,
                                                             const restinio::request_handle_t &request)
    {
        const std::string path(request->header().path());
        if (request->header().method() != restinio::http_method_get()) {
            respond(request, restinio::status_method_not_allowed(), "text/plain", "allowed: GET\n");
        } else if (path == "/metrics") {
            respond(request, restinio::status_ok(), "text/plain; version=0.0.4", admin.m_metrics.text());
        } else if (path == "/health") {
            auto status = admin.m_draining ? restinio::status_service_unavailable() : restinio::status_ok();
            respond(request, std::move(status), "text/plain", admin.m_draining ? "draining\n" : "ok\n");
        } else if (!isPermitted(admin, path, request)) {
            respond(request, restinio::status_unauthorized(), "text/plain", "a bearer token is needed\n");
        } else if (path == "/status") {
            respond(request, restinio::status_ok(), "application/json", admin.status().dump());
        } else if (admin.m_queryEndpoints.contains(path)) {
            admin.m_queryEndpoints.at(path).handler(
                parseQuery(request), [request](int status, const nlohmann::json &json) {
                    const auto code = static_cast<std::uint16_t>(status);
                    respond(request,
                            restinio::http_status_line_t(restinio::http_status_code_t(code), "answer"),
                            "application/json", json.dump());
                });
        } else {
            respond(request, restinio::status_not_found(), "text/plain",
                    "paths: /metrics, /health, /status\n");
        }
        return restinio::request_accepted();
    }

    static bool isPermitted(const Admin &admin, const std::string &path,
                            const restinio::request_handle_t &request)
    {
        const auto queryEndpoint = admin.m_queryEndpoints.find(path);
        const auto role = queryEndpoint == admin.m_queryEndpoints.end() ? OperatorRole::Viewer
                                                                        : queryEndpoint->second.role;
        constexpr std::string_view scheme = "Bearer ";
        const std::string authorizationValue(
            request->header().get_field_or(restinio::http_field::authorization, ""));
        const bool hasBearerScheme = authorizationValue.starts_with(scheme);
        return isAllowed(admin.m_tokens,
                         hasBearerScheme ? authorizationValue.substr(scheme.size()) : std::string(), role);
    }

    static Query parseQuery(const restinio::request_handle_t &request)
    {
        Query query;
        for (const auto &[name, value] : restinio::parse_query(request->header().query())) {
            query.emplace(name, value);
        }
        return query;
    }

    restinio::http_server_t<Traits> m_http;
};

Admin::Admin(Endpoint address, Metrics &metrics, std::vector<OperatorToken> tokens)
    : m_address(address)
    , m_metrics(metrics)
    , m_tokens(std::move(tokens))
{
}

Admin::~Admin() = default;

Result<void> Admin::start(Kernel &kernel)
{
    return startOn(kernel.control());
}

Result<void> Admin::startOn(asio::io_context &control)
{
    const auto endpoint = toAsio(m_address);
    BOOST_LEAF_CHECK(checkCanListen(endpoint, control));
    m_server = std::make_unique<Server>(control, *this, endpoint);
    m_server->open();
    return {};
}

void Admin::beginDrain()
{
    setDraining();
}

void Admin::stop()
{
    if (m_server) {
        m_server->close();
    }
}

void Admin::addStatus(std::string name, std::function<nlohmann::json()> provider)
{
    m_providers[std::move(name)] = std::move(provider);
}

void Admin::addQuery(std::string path, OperatorRole role, std::function<void(const Query &, Reply)> handler)
{
    m_queryEndpoints[std::move(path)] = {role, std::move(handler)};
}

void Admin::setDraining()
{
    m_draining = true;
}

nlohmann::json Admin::status() const
{
    nlohmann::json merged = nlohmann::json::object();
    for (const auto &[name, provider] : m_providers) {
        merged[name] = provider();
    }
    return merged;
}

} // namespace oriolelever
