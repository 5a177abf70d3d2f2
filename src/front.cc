#include "oriolelever/front.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>

#include <asio/post.hpp>
#include <fmt/format.h>
#include <restinio/all.hpp>

namespace oriolelever {

namespace {

IpAddress fromAsio(const asio::ip::address &address)
{
    IpAddress out;
    const auto v6
        = address.is_v4() ? asio::ip::make_address_v6(asio::ip::v4_mapped, address.to_v4()) : address.to_v6();
    const auto bytes = v6.to_bytes();
    std::copy(bytes.begin(), bytes.end(), out.bytes.begin());
    return out;
}

// Counts the connections of each caller address.
struct CallerConnections
{
    std::size_t limit = 0;
    std::size_t total = 0;
    std::map<IpAddress, std::size_t> counts;
};

class CallerBlocker
{
public:
    explicit CallerBlocker(const CallerConnections &connections)
        : m_connections(connections)
    {
    }

    restinio::ip_blocker::inspection_result_t
    inspect(const restinio::ip_blocker::incoming_info_t &info) noexcept
    {
        const auto known = m_connections.counts.find(fromAsio(info.remote_endpoint().address()));
        const bool full = known != m_connections.counts.end() && known->second >= m_connections.limit;
        return full ? restinio::ip_blocker::deny() : restinio::ip_blocker::allow();
    }

private:
    const CallerConnections &m_connections;
};

class ConnectionListener
{
public:
    using Closed = std::function<void(restinio::connection_id_t)>;

    ConnectionListener(CallerConnections &connections, Closed closed)
        : m_connections(connections)
        , m_closed(std::move(closed))
    {
    }

    void state_changed(const restinio::connection_state::notice_t &notice) // NOLINT: name is RESTinio's
    {
        const auto address = fromAsio(notice.remote_endpoint().address());
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(notice.cause())) {
            ++m_connections.counts[address];
            ++m_connections.total;
            return;
        }
        if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
            return;
        }
        const auto known = m_connections.counts.find(address);
        if (known != m_connections.counts.end() && --known->second == 0) {
            m_connections.counts.erase(known);
        }
        --m_connections.total;
        m_closed(notice.connection_id());
    }

private:
    CallerConnections &m_connections;
    Closed m_closed;
};

struct FrontTraits : restinio::default_single_thread_traits_t
{
    using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    using connection_state_listener_t = ConnectionListener;
    using ip_blocker_t = CallerBlocker;
    static constexpr bool use_connection_count_limiter = true; // NOLINT: name is RESTinio's
};

using Server = restinio::http_server_t<FrontTraits>;
using KnownLength = restinio::response_builder_t<restinio::user_controlled_output_t>;
using Chunked = restinio::response_builder_t<restinio::chunked_output_t>;

// A request whose answer is not complete.
struct Open
{
    restinio::request_handle_t handle;
    restinio::connection_id_t connection = 0;
    std::optional<KnownLength> knownLength;
    std::optional<Chunked> chunked;
};

template<typename Builder>
void fillHead(Builder &builder, const CallerAnswer &answer)
{
    for (const auto &[name, value] : answer.headers) {
        builder.append_header(name, value);
    }
    if (answer.close) {
        builder.connection_close();
    }
}

restinio::http_status_line_t statusLine(std::uint16_t status)
{
    return {restinio::http_status_code_t(status), status < 400 ? "OK" : "Error"};
}

bool isSmallNumber(const std::string &text)
{
    constexpr std::size_t maxDigits = 18;
    return !text.empty() && text.size() <= maxDigits
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
}

bool isPlainText(const std::string &text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return c == '\t' || (c >= 0x20 && c != 0x7f); });
}

bool isToken(const std::string &name)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](unsigned char c) {
        return std::isalnum(c) != 0 || marks.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

} // namespace

bool isAmbiguous(const CallerRequest &request)
{
    std::map<std::string, int> counts;
    for (const auto &[name, value] : request.headers) {
        auto lower = name;
        std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
        ++counts[lower];
        if (!isToken(name) || !isPlainText(value)) {
            return true;
        }
    }
    const auto *const length = findHeader(request.headers, "Content-Length");
    const auto *const encoding = findHeader(request.headers, "Transfer-Encoding");
    const bool repeated = counts["content-length"] > 1 || counts["transfer-encoding"] > 1
        || counts["host"] > 1 || counts["idempotency-key"] > 1;
    const bool badLength = length != nullptr && !isSmallNumber(*length);
    const bool badEncoding = encoding != nullptr && (*encoding != "chunked" || length != nullptr);
    const bool badTarget = request.target.empty() || request.target.front() != '/'
        || request.target.find(' ') != std::string::npos;
    return repeated || badLength || badEncoding || badTarget || !isPlainText(request.target);
}

struct Front::State : std::enable_shared_from_this<Front::State>
{
    State(asio::io_context &ioContext, const FrontOptions &frontOptions, FrontEvents &frontEvents)
        : context(ioContext)
        , options(frontOptions)
        , events(frontEvents)
    {
        connections.limit = options.maxConnectionsPerCaller;
    }

    void accept(const restinio::request_handle_t &handle);
    void connectionClosed(restinio::connection_id_t connection);
    Open *find(RequestId request);

    asio::io_context &context;
    FrontOptions options;
    FrontEvents &events;
    CallerConnections connections;
    std::map<RequestId, Open> open;
    std::map<restinio::connection_id_t, std::set<RequestId>> byConnection;
    RequestId lastRequest = 0;
    std::unique_ptr<Server> server;
    std::uint16_t port = 0;

    void forget(RequestId request);
};

void Front::State::accept(const restinio::request_handle_t &handle)
{
    CallerRequest request;
    request.id = ++lastRequest;
    request.method = handle->header().method().c_str();
    request.target = handle->header().request_target();
    for (const auto &field : handle->header()) {
        request.headers.emplace_back(field.name(), field.value());
    }
    request.body = handle->body();
    request.caller = fromAsio(handle->remote_endpoint().address());
    auto &added = open[request.id];
    added.handle = handle;
    added.connection = handle->connection_id();
    byConnection[handle->connection_id()].insert(request.id);
    events.requestArrived(std::move(request));
}

void Front::State::connectionClosed(restinio::connection_id_t connection)
{
    const auto known = byConnection.find(connection);
    if (known == byConnection.end()) {
        return;
    }
    const auto requests = std::move(known->second);
    byConnection.erase(known);
    for (const auto request : requests) {
        open.erase(request);
        // Not from within RESTinio's own handler.
        asio::post(context, [weak = weak_from_this(), request] {
            const auto self = weak.lock();
            if (self != nullptr) {
                self->events.callerGone(request);
            }
        });
    }
}

Open *Front::State::find(RequestId request)
{
    const auto known = open.find(request);
    return known == open.end() ? nullptr : &known->second;
}

void Front::State::forget(RequestId request)
{
    const auto known = open.find(request);
    if (known == open.end()) {
        return;
    }
    const auto connection = known->second.connection;
    open.erase(known);
    const auto entry = byConnection.find(connection);
    if (entry == byConnection.end()) {
        return;
    }
    entry->second.erase(request);
    if (entry->second.empty()) {
        byConnection.erase(entry);
    }
}

Front::Front(asio::io_context &context, FrontOptions options, FrontEvents &events)
    : m_state(std::make_shared<State>(context, options, events))
{
}

Front::~Front()
{
    close();
}

Result<void> Front::open()
{
    auto *const state = m_state.get();
    const auto &options = state->options;
    const auto limits = restinio::incoming_http_msg_limits_t{}
                            .max_url_size(options.maxTargetBytes)
                            .max_field_name_size(options.maxFieldBytes)
                            .max_field_value_size(options.maxFieldBytes)
                            .max_field_count(options.maxFields)
                            .max_body_size(options.maxBodyBytes);
    auto listener = std::make_shared<ConnectionListener>(
        state->connections,
        [state](restinio::connection_id_t connection) { state->connectionClosed(connection); });
    const auto address = options.listen.address.isV4()
        ? asio::ip::make_address_v4(asio::ip::v4_mapped, asio::ip::address_v6(options.listen.address.bytes))
        : asio::ip::address(asio::ip::address_v6(options.listen.address.bytes));
    auto settings = restinio::server_settings_t<FrontTraits>{}
                        .port(options.listen.port)
                        .address(address)
                        .request_handler([state](const restinio::request_handle_t &handle) {
                            state->accept(handle);
                            return restinio::request_accepted();
                        })
                        .connection_state_listener(listener)
                        .ip_blocker(std::make_shared<CallerBlocker>(state->connections))
                        .max_parallel_connections(options.maxConnections)
                        // A second read while a request runs is how a hang-up shows.
                        .max_pipelined_requests(2)
                        .read_next_http_message_timelimit(options.readLimit)
                        .write_http_response_timelimit(options.writeLimit)
                        .handle_request_timeout(options.handleLimit)
                        .incoming_http_msg_limits(limits)
                        .acceptor_post_bind_hook([state](asio::ip::tcp::acceptor &acceptor) {
                            state->port = acceptor.local_endpoint().port();
                        });
    try {
        state->server
            = std::make_unique<Server>(restinio::external_io_context(state->context), std::move(settings));
        state->server->open_sync();
    } catch (const std::exception &error) {
        return fail(Code::AddressInUse,
                    fmt::format("cannot listen on {}: {}", toString(options.listen), error.what()));
    }
    return {};
}

void Front::stopAccepting()
{
    if (m_state->server != nullptr) {
        m_state->server->close_sync();
    }
}

void Front::close()
{
    if (m_state->server == nullptr) {
        return;
    }
    m_state->server->close_sync();
    m_state->server.reset();
    m_state->open.clear();
    m_state->byConnection.clear();
}

Endpoint Front::listenEndpoint() const
{
    return {m_state->options.listen.address, m_state->port};
}

void Front::answer(RequestId request, const CallerAnswer &answer)
{
    auto *const open = m_state->find(request);
    if (open == nullptr) {
        return;
    }
    auto response = open->handle->create_response(statusLine(answer.status));
    fillHead(response, answer);
    response.set_body(answer.body);
    m_state->forget(request);
    response.done();
}

void Front::beginAnswer(RequestId request, const CallerAnswer &head)
{
    auto *const open = m_state->find(request);
    if (open == nullptr) {
        return;
    }
    const auto *const length = findHeader(head.headers, "Content-Length");
    auto others = head;
    std::erase_if(others.headers,
                  [](const auto &header) { return findHeader({header}, "Content-Length") != nullptr; });
    if (length == nullptr) {
        open->chunked.emplace(
            open->handle->create_response<restinio::chunked_output_t>(statusLine(head.status)));
        fillHead(*open->chunked, others);
        return;
    }
    open->knownLength.emplace(
        open->handle->create_response<restinio::user_controlled_output_t>(statusLine(head.status)));
    open->knownLength->set_content_length(std::stoull(*length));
    fillHead(*open->knownLength, others);
}

void Front::answerPart(RequestId request, std::string part, std::function<void()> written)
{
    auto *const open = m_state->find(request);
    if (open == nullptr) {
        return;
    }
    auto notify = [written = std::move(written)](const asio::error_code &error) {
        if (!error) {
            written();
        }
    };
    if (open->chunked) {
        open->chunked->append_chunk(std::move(part));
        open->chunked->flush(std::move(notify));
        return;
    }
    open->knownLength->append_body(std::move(part));
    open->knownLength->flush(std::move(notify));
}

void Front::endAnswer(RequestId request)
{
    auto *const open = m_state->find(request);
    if (open == nullptr) {
        return;
    }
    auto ending = std::move(*open);
    m_state->forget(request);
    if (ending.chunked) {
        ending.chunked->done();
    } else {
        ending.knownLength->done();
    }
}

void Front::breakAnswer(RequestId request)
{
    auto *const open = m_state->find(request);
    if (open == nullptr) {
        return;
    }
    auto ending = std::move(*open);
    m_state->forget(request);
    // RESTinio closes the connection when a write notificator throws.
    const auto closing = [](const asio::error_code &) {
        throw std::runtime_error("answer is broken");
    };
    if (ending.chunked) {
        ending.chunked->flush(closing);
    } else {
        ending.knownLength->flush(closing);
    }
}

std::size_t Front::connections() const
{
    return m_state->connections.total;
}

} // namespace oriolelever
