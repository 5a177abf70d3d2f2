#include "oriolelever/upstream.h"

#include <algorithm>
#include <array>
#include <deque>
#include <unordered_map>

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <http_parser.h>

namespace oriolelever {

namespace {

constexpr std::size_t readBufferBytes = 16'384;

asio::ip::tcp::endpoint toAsio(const Endpoint &endpoint)
{
    if (endpoint.address.isV4()) {
        asio::ip::address_v4::bytes_type v4{};
        std::copy_n(endpoint.address.bytes.begin() + 12, v4.size(), v4.begin());
        return {asio::ip::address_v4(v4), endpoint.port};
    }
    return {asio::ip::address_v6(endpoint.address.bytes), endpoint.port};
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

// The request as HTTP/1.1 text, with the request id and the time left until the deadline.
std::string serialize(const ServerRequest &request, const Endpoint &server, TimePoint now)
{
    const auto remainingMs = std::chrono::floor<std::chrono::milliseconds>(request.deadline - now).count();
    std::string text
        = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", request.method, request.target, toString(server));
    for (const auto &[name, value] : request.headers) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    text += fmt::format("{}: {}\r\n{}: {}\r\n", requestIdHeader, request.tag, deadlineHeader,
                        std::max<std::int64_t>(remainingMs, 0));
    const auto length = request.body == nullptr ? 0 : request.body->size();
    if (length > 0 || request.method == "POST" || request.method == "PUT" || request.method == "PATCH") {
        text += fmt::format("Content-Length: {}\r\n", length);
    }
    text += "\r\n";
    if (length > 0) {
        text += *request.body;
    }
    return text;
}

// How far an answer has been received; `Streaming` once its body exceeds `maxBufferedBytes`.
enum class AnswerProgress : std::uint8_t { Head, Buffering, Streaming, Complete };

} // namespace

const std::string *findHeader(const HeaderList &headers, std::string_view name)
{
    for (const auto &[headerName, value] : headers) {
        if (equalsIgnoringCase(headerName, name)) {
            return &value;
        }
    }
    return nullptr;
}

namespace {

// A connection to the backend server and the state of its current attempt.
struct ServerConnection
{
    explicit ServerConnection(asio::io_context &context)
        : socket(context)
        , timer(context)
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer; ///< Limits the connection attempt and, later, each idle period.
    std::array<char, readBufferBytes> buffer{};
    std::size_t unparsedBegin = 0; ///< Range of `buffer` that was received but not parsed yet.
    std::size_t unparsedEnd = 0;
    TimePoint idleSince;
    bool isIdle = false; ///< In `idleConnections`.
    bool closed = false;

    // State of the current attempt; reset by `send`.
    ServerRequest request;
    std::string output; ///< The serialized request; must outlive the write.
    http_parser parser{};
    AnswerProgress progress = AnswerProgress::Head;
    AnswerHead answer;
    std::string body; ///< The whole body so far or, while streaming, what was not passed on yet.
    std::size_t headBytes = 0; ///< Names and values of the header fields so far.
    std::uint64_t bodyBytes = 0; ///< Whole body so far, including parts passed on.
    bool writeStarted = false; ///< The server may receive the request.
    bool hasReceivedBytes = false; ///< A byte of the answer was received.
    bool lastCallbackWasValue = false; ///< The parser may pass a field name or value in several calls.
    bool isInformational = false; ///< The head being parsed has a 1xx status; the final one follows.
    bool oversized = false; ///< Unused; `parse` checks the sizes.
    bool awaitsResume = false; ///< Reading is paused until `Upstream::resume`.

    void close()
    {
        closed = true;
        asio::error_code ignored;
        timer.cancel();
        socket.close(ignored);
    }
};

} // namespace

struct Upstream::State : std::enable_shared_from_this<Upstream::State>
{
    using ConnectionPtr = std::shared_ptr<ServerConnection>;

    State(asio::io_context &ioContext, UpstreamOptions upstreamOptions, UpstreamEvents &upstreamEvents)
        : context(ioContext)
        , options(upstreamOptions)
        , events(upstreamEvents)
    {
        settings.on_header_field = onField;
        settings.on_header_value = onValue;
        settings.on_headers_complete = onHeadersComplete;
        settings.on_body = onBody;
        settings.on_message_complete = onMessageComplete;
    }

    static ServerConnection &connectionOf(http_parser *parser)
    {
        return *static_cast<ServerConnection *>(parser->data);
    }

    static int onField(http_parser *parser, const char *data, std::size_t length);
    static int onValue(http_parser *parser, const char *data, std::size_t length);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t length);
    static int onMessageComplete(http_parser *parser);

    ConnectionPtr acquireIdle(const ServerRequest &request);
    void connect(const ConnectionPtr &connection);
    void write(const ConnectionPtr &connection);
    void read(const ConnectionPtr &connection);
    void parse(const ConnectionPtr &connection);
    void handleParsed(const ConnectionPtr &connection);
    // Reports a complete answer and keeps the connection if it can be reused.
    void completeAnswer(const ConnectionPtr &connection);
    // Closes the connection and reports the failure.
    void failAttempt(const ConnectionPtr &connection, AttemptFailure failure);
    void returnToPool(const ConnectionPtr &connection);
    void monitorIdle(const ConnectionPtr &connection);
    void discardIdle(const ConnectionPtr &connection);
    // The connection of an attempt that is under way, or null.
    ConnectionPtr find(AttemptId attempt) const;

    asio::io_context &context;
    UpstreamOptions options;
    UpstreamEvents &events;
    UpstreamCounters counters;
    http_parser_settings settings{};
    std::unordered_map<AttemptId, ConnectionPtr> active; ///< Connections with an attempt under way.
    std::deque<ConnectionPtr> idleConnections; ///< The most recently used is last.
    bool stopped = false; ///< `Upstream` was destroyed.
};

int Upstream::State::onField(http_parser *parser, const char *data, std::size_t length)
{
    auto &connection = connectionOf(parser);
    connection.headBytes += length;
    if (connection.lastCallbackWasValue || connection.answer.headers.empty()) {
        connection.answer.headers.emplace_back();
    }
    connection.lastCallbackWasValue = false;
    connection.answer.headers.back().first.append(data, length);
    return 0;
}

int Upstream::State::onValue(http_parser *parser, const char *data, std::size_t length)
{
    auto &connection = connectionOf(parser);
    connection.headBytes += length;
    connection.lastCallbackWasValue = true;
    if (connection.answer.headers.empty()) {
        return 1;
    }
    connection.answer.headers.back().second.append(data, length);
    return 0;
}

int Upstream::State::onHeadersComplete(http_parser *parser)
{
    auto &connection = connectionOf(parser);
    connection.answer.status = static_cast<std::uint16_t>(parser->status_code);
    connection.isInformational = parser->status_code < 200;
    if (!connection.isInformational) {
        connection.progress = AnswerProgress::Buffering;
    }
    // With 1, the parser expects no body.
    return connection.request.method == "HEAD" ? 1 : 0;
}

int Upstream::State::onBody(http_parser *parser, const char *data, std::size_t length)
{
    auto &connection = connectionOf(parser);
    connection.bodyBytes += length;
    connection.body.append(data, length);
    return 0;
}

int Upstream::State::onMessageComplete(http_parser *parser)
{
    auto &connection = connectionOf(parser);
    if (connection.isInformational) {
        connection.isInformational = false;
        connection.answer = {};
        connection.lastCallbackWasValue = false;
        return 0;
    }
    connection.progress = AnswerProgress::Complete;
    http_parser_pause(parser, 1);
    return 0;
}

Upstream::State::ConnectionPtr Upstream::State::find(AttemptId attempt) const
{
    const auto entry = active.find(attempt);
    return entry == active.end() ? nullptr : entry->second;
}

// Removes and returns the most recently used idle connection; null if the request needs a new one. The limit
// is shorter for a non-idempotent request: the server may be closing an idle connection, and such a request
// is not retried after a broken attempt.
Upstream::State::ConnectionPtr Upstream::State::acquireIdle(const ServerRequest &request)
{
    const auto now = TimePoint::clock::now();
    const auto limit = request.idempotent ? options.idleTimeout : options.nonIdempotentIdleLimit;
    while (!request.needsNewConnection && !idleConnections.empty()) {
        auto connection = idleConnections.back();
        if (now - connection->idleSince > limit) {
            return nullptr;
        }
        idleConnections.pop_back();
        if (!connection->closed) {
            return connection;
        }
    }
    return nullptr;
}

void Upstream::State::connect(const ConnectionPtr &connection)
{
    ++counters.connects;
    connection->timer.expires_after(options.connectTimeout);
    connection->timer.async_wait([connection](const asio::error_code &error) {
        if (!error && !connection->writeStarted) {
            connection->close();
        }
    });
    connection->socket.async_connect(
        toAsio(options.server), [self = shared_from_this(), connection](const asio::error_code &error) {
            connection->timer.cancel();
            const auto current = self->find(connection->request.attempt);
            if (current != connection) {
                return;
            }
            if (error || connection->closed) {
                self->failAttempt(connection, AttemptFailure::NotSent);
                return;
            }
            asio::error_code ignored;
            connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->write(connection);
            self->read(connection);
        });
}

void Upstream::State::write(const ConnectionPtr &connection)
{
    connection->output = serialize(connection->request, options.server, TimePoint::clock::now());
    connection->writeStarted = true;
    events.byteLeft(connection->request.id, connection->request.attempt);
    asio::async_write(connection->socket, asio::buffer(connection->output),
                      [connection](const asio::error_code &, std::size_t) {});
}

void Upstream::State::read(const ConnectionPtr &connection)
{
    connection->socket.async_read_some(
        asio::buffer(connection->buffer),
        [self = shared_from_this(), connection](const asio::error_code &error, std::size_t length) {
            if (self->stopped || self->find(connection->request.attempt) != connection) {
                return;
            }
            if (error) {
                ++self->counters.truncated;
                self->failAttempt(connection, AttemptFailure::Broken);
                return;
            }
            connection->hasReceivedBytes = true;
            connection->unparsedBegin = 0;
            connection->unparsedEnd = length;
            self->parse(connection);
        });
}

void Upstream::State::parse(const ConnectionPtr &connection)
{
    auto &parser = connection->parser;
    const auto length = connection->unparsedEnd - connection->unparsedBegin;
    const auto parsed = http_parser_execute(&parser, &settings,
                                            connection->buffer.data() + connection->unparsedBegin, length);
    connection->unparsedBegin += parsed;
    const auto error = HTTP_PARSER_ERRNO(&parser);
    const bool malformed = (error != HPE_OK && error != HPE_PAUSED) || parser.upgrade != 0;
    const bool oversized
        = connection->headBytes > options.maxHeadBytes || connection->bodyBytes > options.maxAnswerBytes;
    if (malformed || oversized) {
        ++(malformed ? counters.malformed : counters.oversized);
        failAttempt(connection, AttemptFailure::Broken);
        return;
    }
    handleParsed(connection);
}

// Acts on the progress of the answer after a chunk was parsed.
void Upstream::State::handleParsed(const ConnectionPtr &connection)
{
    const auto &request = connection->request;
    if (connection->progress != AnswerProgress::Head) {
        const auto *const tag = findHeader(connection->answer.headers, requestIdHeader);
        if (tag != nullptr && *tag != request.tag) {
            ++counters.crossed;
            failAttempt(connection, AttemptFailure::Broken);
            return;
        }
    }
    if (connection->progress == AnswerProgress::Complete) {
        completeAnswer(connection);
        return;
    }
    if (connection->progress == AnswerProgress::Buffering
        && connection->body.size() > options.maxBufferedBytes) {
        connection->progress = AnswerProgress::Streaming;
        connection->awaitsResume = true;
        events.answerBegan(request.id, request.attempt);
        return;
    }
    if (connection->progress == AnswerProgress::Streaming && !connection->body.empty()) {
        connection->awaitsResume = true;
        events.answerPart(request.id, request.attempt, std::exchange(connection->body, {}));
        return;
    }
    read(connection);
}

void Upstream::State::completeAnswer(const ConnectionPtr &connection)
{
    const auto request = connection->request;
    const bool notRun = findHeader(connection->answer.headers, notRunHeader) != nullptr;
    const bool unsolicitedData = connection->unparsedBegin < connection->unparsedEnd;
    const bool hasTag = findHeader(connection->answer.headers, requestIdHeader) != nullptr;
    const bool isReusable = hasTag && !unsolicitedData && http_should_keep_alive(&connection->parser) != 0;
    counters.unsolicitedData += unsolicitedData ? 1 : 0;
    if (notRun) {
        events.attemptFailed(request.id, request.attempt, AttemptFailure::Shed);
    } else {
        // The last part of a streamed body has not been passed on yet.
        const bool wasStreamed = connection->bodyBytes > connection->body.size();
        if (wasStreamed && !connection->body.empty()) {
            events.answerPart(request.id, request.attempt, std::exchange(connection->body, {}));
        }
        events.answerEnded(request.id, request.attempt);
    }
    active.erase(request.attempt);
    if (isReusable && !connection->closed) {
        returnToPool(connection);
    } else {
        connection->close();
    }
}

void Upstream::State::failAttempt(const ConnectionPtr &connection, AttemptFailure failure)
{
    const auto request = connection->request;
    active.erase(request.attempt);
    connection->close();
    events.attemptFailed(request.id, request.attempt, failure);
}

void Upstream::State::returnToPool(const ConnectionPtr &connection)
{
    connection->isIdle = true;
    connection->idleSince = TimePoint::clock::now();
    connection->request = {};
    idleConnections.push_back(connection);
    if (idleConnections.size() > options.maxIdleConnections) {
        idleConnections.front()->close();
        idleConnections.pop_front();
    }
    monitorIdle(connection);
}

// Discards an idle connection that the server closes or sends data on: its next answer could not be trusted.
void Upstream::State::monitorIdle(const ConnectionPtr &connection)
{
    connection->timer.expires_after(options.idleTimeout);
    connection->timer.async_wait([self = shared_from_this(), connection](const asio::error_code &error) {
        if (!error && connection->isIdle) {
            self->discardIdle(connection);
        }
    });
    connection->socket.async_wait(asio::ip::tcp::socket::wait_read,
                                  [self = shared_from_this(), connection](const asio::error_code &error) {
                                      if (error || !connection->isIdle) {
                                          return;
                                      }
                                      ++self->counters.unsolicitedData;
                                      self->discardIdle(connection);
                                  });
}

void Upstream::State::discardIdle(const ConnectionPtr &connection)
{
    std::erase(idleConnections, connection);
    connection->isIdle = false;
    connection->close();
}

Upstream::Upstream(asio::io_context &context, UpstreamOptions options, UpstreamEvents &events)
    : m_state(std::make_shared<State>(context, options, events))
{
}

Upstream::~Upstream()
{
    m_state->stopped = true;
    closeIdleConnections();
    for (auto &[attempt, connection] : m_state->active) {
        connection->close();
    }
    m_state->active.clear();
}

void Upstream::send(const ServerRequest &request)
{
    auto connection = m_state->acquireIdle(request);
    const bool isReused = connection != nullptr;
    if (!isReused) {
        connection = std::make_shared<ServerConnection>(m_state->context);
    }
    connection->isIdle = false;
    connection->timer.cancel();
    connection->request = request;
    connection->progress = AnswerProgress::Head;
    connection->answer = {};
    connection->body.clear();
    connection->headBytes = 0;
    connection->bodyBytes = 0;
    connection->writeStarted = false;
    connection->hasReceivedBytes = false;
    connection->lastCallbackWasValue = false;
    connection->isInformational = false;
    connection->awaitsResume = false;
    connection->unparsedBegin = 0;
    connection->unparsedEnd = 0;
    http_parser_init(&connection->parser, HTTP_RESPONSE);
    connection->parser.data = connection.get();
    m_state->active[request.attempt] = connection;
    if (!isReused) {
        m_state->connect(connection);
        return;
    }
    // Data received before the request is sent cannot be part of its answer.
    asio::error_code error;
    if (connection->socket.available(error) > 0 || error) {
        ++m_state->counters.unsolicitedData;
        connection->close();
        m_state->active.erase(request.attempt);
        auto retry = request;
        retry.needsNewConnection = true;
        send(retry);
        return;
    }
    asio::error_code ignored;
    connection->socket.cancel(ignored);
    m_state->write(connection);
    m_state->read(connection);
}

void Upstream::cancel(AttemptId attempt)
{
    const auto connection = m_state->find(attempt);
    if (connection == nullptr) {
        return;
    }
    m_state->active.erase(attempt);
    connection->close();
    if (connection->writeStarted && !connection->hasReceivedBytes) {
        // A device on the path may have dropped the state of the idle connections as well.
        ++m_state->counters.silent;
        closeIdleConnections();
    }
}

void Upstream::resume(AttemptId attempt)
{
    asio::post(m_state->context, [state = m_state, attempt] {
        const auto connection = state->find(attempt);
        if (connection == nullptr || !connection->awaitsResume) {
            return;
        }
        connection->awaitsResume = false;
        // The receiver of `answerBegan` has read the beginning through `bufferedBody`.
        connection->body.clear();
        if (connection->unparsedBegin < connection->unparsedEnd) {
            state->parse(connection);
            return;
        }
        state->read(connection);
    });
}

const AnswerHead &Upstream::head(AttemptId attempt) const
{
    static const AnswerHead none;
    const auto connection = m_state->find(attempt);
    return connection == nullptr ? none : connection->answer;
}

const std::string &Upstream::bufferedBody(AttemptId attempt) const
{
    static const std::string none;
    const auto connection = m_state->find(attempt);
    return connection == nullptr ? none : connection->body;
}

bool Upstream::isComplete(AttemptId attempt) const
{
    const auto connection = m_state->find(attempt);
    return connection != nullptr && connection->progress == AnswerProgress::Complete;
}

void Upstream::closeIdleConnections()
{
    const auto connections = std::exchange(m_state->idleConnections, {});
    for (const auto &connection : connections) {
        connection->isIdle = false;
        connection->close();
    }
}

const UpstreamCounters &Upstream::counters() const
{
    return m_state->counters;
}

} // namespace oriolelever
