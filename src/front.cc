#include "oriolelever/front.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <restinio/all.hpp>

#include "oriolelever/sockets.h"

namespace oriolelever {

namespace {

/// Between two checks whether the backlog of a listener is empty. Callers whose packets have reached the
/// kernel finish their handshake meanwhile.
constexpr std::chrono::milliseconds backlogPeriod{5};
constexpr int maxBacklogRounds = 20; ///< Of such checks, if nothing is accepted.

IpAddress fromAsio(const asio::ip::address &address)
{
    IpAddress out;
    const auto v6
        = address.is_v4() ? asio::ip::make_address_v6(asio::ip::v4_mapped, address.to_v4()) : address.to_v6();
    const auto bytes = v6.to_bytes();
    std::copy(bytes.begin(), bytes.end(), out.bytes.begin());
    return out;
}

// Number of open connections, in total and for each caller address.
struct CallerConnections
{
    std::size_t maxPerCaller = 0; ///< From `FrontOptions::maxConnectionsPerCaller`.
    std::size_t total = 0;
    std::map<IpAddress, std::size_t> countByAddress;
};

// Rejects connections of callers that have reached their limit.
class CallerLimitBlocker
{
public:
    explicit CallerLimitBlocker(const CallerConnections &connections)
        : m_connections(connections)
    {
    }

    restinio::ip_blocker::inspection_result_t
    inspect(const restinio::ip_blocker::incoming_info_t &info) noexcept
    {
        const auto found = m_connections.countByAddress.find(fromAsio(info.remote_endpoint().address()));
        const bool limitReached
            = found != m_connections.countByAddress.end() && found->second >= m_connections.maxPerCaller;
        return limitReached ? restinio::ip_blocker::deny() : restinio::ip_blocker::allow();
    }

private:
    const CallerConnections &m_connections;
};

// Counts connections and reports closed ones.
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
            ++m_connections.countByAddress[address];
            ++m_connections.total;
            return;
        }
        if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
            return;
        }
        const auto found = m_connections.countByAddress.find(address);
        if (found != m_connections.countByAddress.end() && --found->second == 0) {
            m_connections.countByAddress.erase(found);
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
    using ip_blocker_t = CallerLimitBlocker;
    static constexpr bool use_connection_count_limiter = true; // NOLINT: name is RESTinio's
};

using Server = restinio::http_server_t<FrontTraits>;
using KnownLength = restinio::response_builder_t<restinio::user_controlled_output_t>;
using Chunked = restinio::response_builder_t<restinio::chunked_output_t>;

// A request whose answer is not complete. At most one of the builders is set, once the answer has begun.
struct PendingRequest
{
    restinio::request_handle_t handle;
    restinio::connection_id_t connection = 0;
    std::optional<KnownLength> knownLength;
    std::optional<Chunked> chunked;
};

template<typename Builder>
void appendHeaders(Builder &builder, const CallerAnswer &answer)
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

// Up to 18 digits, which fit into 64 bits.
bool isDecimalLength(const std::string &text)
{
    constexpr std::size_t maxDigits = 18;
    return !text.empty() && text.size() <= maxDigits
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
}

// Tabs are allowed.
bool hasNoControlCharacters(const std::string &text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return c == '\t' || (c >= 0x20 && c != 0x7f); });
}

// A token as in RFC 9110, section 5.6.2.
bool isToken(const std::string &name)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](unsigned char c) {
        return std::isalnum(c) != 0 || punctuation.find(static_cast<char>(c)) != std::string_view::npos;
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
        if (!isToken(name) || !hasNoControlCharacters(value)) {
            return true;
        }
    }
    const auto *const length = findHeader(request.headers, "Content-Length");
    const auto *const encoding = findHeader(request.headers, "Transfer-Encoding");
    const bool repeated = counts["content-length"] > 1 || counts["transfer-encoding"] > 1
        || counts["host"] > 1 || counts["idempotency-key"] > 1;
    const bool badLength = length != nullptr && !isDecimalLength(*length);
    const bool badEncoding = encoding != nullptr && (*encoding != "chunked" || length != nullptr);
    const bool badTarget = request.target.empty() || request.target.front() != '/'
        || request.target.find(' ') != std::string::npos;
    return repeated || badLength || badEncoding || badTarget || !hasNoControlCharacters(request.target);
}

struct Front::State : std::enable_shared_from_this<Front::State>
{
    State(asio::io_context &ioContext, const FrontOptions &frontOptions, FrontEvents &frontEvents)
        : context(ioContext)
        , options(frontOptions)
        , events(frontEvents)
        , backlogTimer(ioContext)
    {
        connections.maxPerCaller = options.maxConnectionsPerCaller;
    }

    void handleRequest(const restinio::request_handle_t &handle);
    // Removes the connection's requests and reports that their caller is gone.
    void handleClosedConnection(restinio::connection_id_t connection);
    PendingRequest *find(RequestId request);

    asio::io_context &context;
    FrontOptions options;
    FrontEvents &events;
    CallerConnections connections;
    std::map<RequestId, PendingRequest> pendingRequests; ///< Those whose answer is not complete.
    std::map<restinio::connection_id_t, std::set<RequestId>> requestsByConnection; ///< Pending ones.
    RequestId lastRequest = 0; ///< The id assigned last.
    std::unique_ptr<Server> server;
    std::uint16_t boundPort = 0; ///< 0 until the listener is open.
    asio::steady_timer backlogTimer;
    bool isAccepting = true; ///< The listener is open.
    int listener = -1; ///< Descriptor of the listening socket, which `server` owns.

    void removeRequest(RequestId request);
    // Closes the listener as soon as its backlog is empty, at the latest after `rounds` checks.
    void closeListenerLater(int rounds);
};

void Front::State::closeListenerLater(int rounds)
{
    backlogTimer.expires_after(backlogPeriod);
    backlogTimer.async_wait([self = shared_from_this(), rounds](const asio::error_code &error) {
        if (error || self->server == nullptr) {
            return;
        }
        if (hasPendingConnection(self->listener) && rounds > 1) {
            self->closeListenerLater(rounds - 1);
            return;
        }
        self->server->close_sync();
        self->isAccepting = false;
    });
}

void Front::State::handleRequest(const restinio::request_handle_t &handle)
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
    auto &added = pendingRequests[request.id];
    added.handle = handle;
    added.connection = handle->connection_id();
    requestsByConnection[handle->connection_id()].insert(request.id);
    events.requestArrived(std::move(request));
}

void Front::State::handleClosedConnection(restinio::connection_id_t connection)
{
    const auto found = requestsByConnection.find(connection);
    if (found == requestsByConnection.end()) {
        return;
    }
    const auto requests = std::move(found->second);
    requestsByConnection.erase(found);
    for (const auto request : requests) {
        pendingRequests.erase(request);
        // Posted, so that the callback does not run inside RESTinio's connection listener.
        asio::post(context, [weak = weak_from_this(), request] {
            const auto self = weak.lock();
            if (self != nullptr) {
                self->events.callerGone(request);
            }
        });
    }
}

PendingRequest *Front::State::find(RequestId request)
{
    const auto found = pendingRequests.find(request);
    return found == pendingRequests.end() ? nullptr : &found->second;
}

void Front::State::removeRequest(RequestId request)
{
    const auto found = pendingRequests.find(request);
    if (found == pendingRequests.end()) {
        return;
    }
    const auto connection = found->second.connection;
    pendingRequests.erase(found);
    const auto entry = requestsByConnection.find(connection);
    if (entry == requestsByConnection.end()) {
        return;
    }
    entry->second.erase(request);
    if (entry->second.empty()) {
        requestsByConnection.erase(entry);
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
                            .max_field_name_size(options.maxHeaderFieldBytes)
                            .max_field_value_size(options.maxHeaderFieldBytes)
                            .max_field_count(options.maxHeaderFields)
                            .max_body_size(options.maxBodyBytes);
    auto listener = std::make_shared<ConnectionListener>(
        state->connections,
        [state](restinio::connection_id_t connection) { state->handleClosedConnection(connection); });
    const auto address = options.listen.address.isV4()
        ? asio::ip::make_address_v4(asio::ip::v4_mapped, asio::ip::address_v6(options.listen.address.bytes))
        : asio::ip::address(asio::ip::address_v6(options.listen.address.bytes));
    auto settings = restinio::server_settings_t<FrontTraits>{}
                        .port(options.listen.port)
                        .address(address)
                        .request_handler([state](const restinio::request_handle_t &handle) {
                            state->handleRequest(handle);
                            return restinio::request_accepted();
                        })
                        .connection_state_listener(listener)
                        .ip_blocker(std::make_shared<CallerLimitBlocker>(state->connections))
                        .max_parallel_connections(options.maxConnections)
                        // Allows a read while a request runs, without which a disconnect is not detected.
                        .max_pipelined_requests(2)
                        .read_next_http_message_timelimit(options.readTimeout)
                        .write_http_response_timelimit(options.writeTimeout)
                        .handle_request_timeout(options.handlingTimeout)
                        .incoming_http_msg_limits(limits)
                        .acceptor_post_bind_hook([state](asio::ip::tcp::acceptor &acceptor) {
                            state->boundPort = acceptor.local_endpoint().port();
                            state->listener = acceptor.native_handle();
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
    if (m_state->server == nullptr) {
        return;
    }
    // Connections that nobody accepts are reset with the listener, although their callers may have sent
    // requests.
    dropNewConnections(m_state->listener);
    m_state->closeListenerLater(maxBacklogRounds);
}

bool Front::isAccepting() const
{
    return m_state->isAccepting;
}

void Front::close()
{
    if (m_state->server == nullptr) {
        return;
    }
    m_state->backlogTimer.cancel();
    m_state->server->close_sync();
    m_state->server.reset();
    m_state->pendingRequests.clear();
    m_state->requestsByConnection.clear();
}

Endpoint Front::listenEndpoint() const
{
    return {m_state->options.listen.address, m_state->boundPort};
}

void Front::answer(RequestId request, const CallerAnswer &answer)
{
    auto *const pending = m_state->find(request);
    if (pending == nullptr) {
        return;
    }
    auto response = pending->handle->create_response(statusLine(answer.status));
    appendHeaders(response, answer);
    response.set_body(answer.body);
    m_state->removeRequest(request);
    response.done();
}

// Ends a request whose answer goes on, ends or breaks off before it has begun, so that its caller does not
// wait for the rest; returns whether it did.
static bool rejectUnbegun(Front &front, RequestId request, const PendingRequest &pending)
{
    if (pending.chunked || pending.knownLength) {
        return false;
    }
    constexpr std::uint16_t badGateway = 502;
    front.answer(request, {.status = badGateway, .close = true});
    return true;
}

void Front::beginAnswer(RequestId request, const CallerAnswer &head)
{
    auto *const pending = m_state->find(request);
    if (pending == nullptr) {
        return;
    }
    const auto *const length = findHeader(head.headers, "Content-Length");
    auto otherHeaders = head;
    std::erase_if(otherHeaders.headers,
                  [](const auto &header) { return findHeader({header}, "Content-Length") != nullptr; });
    if (length == nullptr) {
        pending->chunked.emplace(
            pending->handle->create_response<restinio::chunked_output_t>(statusLine(head.status)));
        appendHeaders(*pending->chunked, otherHeaders);
        return;
    }
    pending->knownLength.emplace(
        pending->handle->create_response<restinio::user_controlled_output_t>(statusLine(head.status)));
    pending->knownLength->set_content_length(std::stoull(*length));
    appendHeaders(*pending->knownLength, otherHeaders);
}

void Front::answerPart(RequestId request, std::string part, std::function<void()> written)
{
    auto *const pending = m_state->find(request);
    if (pending == nullptr) {
        return;
    }
    if (rejectUnbegun(*this, request, *pending)) {
        return;
    }
    auto notify = [written = std::move(written)](const asio::error_code &error) {
        if (!error) {
            written();
        }
    };
    if (pending->chunked) {
        pending->chunked->append_chunk(std::move(part));
        pending->chunked->flush(std::move(notify));
        return;
    }
    pending->knownLength->append_body(std::move(part));
    pending->knownLength->flush(std::move(notify));
}

void Front::endAnswer(RequestId request)
{
    auto *const pending = m_state->find(request);
    if (pending == nullptr) {
        return;
    }
    if (rejectUnbegun(*this, request, *pending)) {
        return;
    }
    auto removed = std::move(*pending);
    m_state->removeRequest(request);
    if (removed.chunked) {
        removed.chunked->done();
    } else {
        removed.knownLength->done();
    }
}

void Front::abortAnswer(RequestId request)
{
    auto *const pending = m_state->find(request);
    if (pending == nullptr) {
        return;
    }
    if (rejectUnbegun(*this, request, *pending)) {
        return;
    }
    auto removed = std::move(*pending);
    m_state->removeRequest(request);
    // RESTinio closes the connection if a write notificator throws.
    const auto closeConnection = [](const asio::error_code &) {
        throw std::runtime_error("answer was aborted");
    };
    if (removed.chunked) {
        removed.chunked->flush(closeConnection);
    } else {
        removed.knownLength->flush(closeConnection);
    }
}

std::size_t Front::connections() const
{
    return m_state->connections.total;
}

} // namespace oriolelever
