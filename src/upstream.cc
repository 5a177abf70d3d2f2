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

constexpr std::size_t readBytes = 16'384;

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

std::string serialize(const ServerRequest &request, const Endpoint &server, TimePoint now)
{
    const auto left = std::chrono::floor<std::chrono::milliseconds>(request.deadline - now).count();
    std::string text
        = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", request.method, request.target, toString(server));
    for (const auto &[name, value] : request.headers) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    text += fmt::format("{}: {}\r\n{}: {}\r\n", requestIdHeader, request.tag, deadlineHeader,
                        std::max<std::int64_t>(left, 0));
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

enum class Progress : std::uint8_t { Head, Held, Streaming, Ended };

} // namespace

const std::string *findHeader(const HeaderList &headers, std::string_view name)
{
    for (const auto &[known, value] : headers) {
        if (equalsIgnoringCase(known, name)) {
            return &value;
        }
    }
    return nullptr;
}

namespace {

// A connection to the backend server and the exchange under way on it.
struct Exchange
{
    explicit Exchange(asio::io_context &context)
        : socket(context)
        , timer(context)
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, readBytes> buffer{};
    std::size_t unparsedBegin = 0; ///< Bytes of `buffer` that wait for `resume`.
    std::size_t unparsedEnd = 0;
    TimePoint idleSince;
    bool idle = false;
    bool closed = false;

    // The exchange under way.
    ServerRequest request;
    std::string output;
    http_parser parser{};
    Progress progress = Progress::Head;
    AnswerHead answer;
    std::string body; ///< Held part, or the parts since the last event.
    std::size_t headBytes = 0;
    std::uint64_t bodyBytes = 0;
    bool byteLeft = false;
    bool received = false;
    bool valueLast = false; ///< The parser's last header callback was a value.
    bool informational = false;
    bool oversized = false;
    bool waitsForResume = false;

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
    using Handle = std::shared_ptr<Exchange>;

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

    static Exchange &of(http_parser *parser)
    {
        return *static_cast<Exchange *>(parser->data);
    }

    static int onField(http_parser *parser, const char *data, std::size_t length);
    static int onValue(http_parser *parser, const char *data, std::size_t length);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t length);
    static int onMessageComplete(http_parser *parser);

    Handle takeIdle(const ServerRequest &request);
    void connect(const Handle &connection);
    void write(const Handle &connection);
    void read(const Handle &connection);
    void parse(const Handle &connection);
    void afterParse(const Handle &connection);
    void end(const Handle &connection);
    void fail(const Handle &connection, AttemptFailure failure);
    void keep(const Handle &connection);
    void watchIdle(const Handle &connection);
    void forget(const Handle &connection);
    Handle find(AttemptId attempt) const;

    asio::io_context &context;
    UpstreamOptions options;
    UpstreamEvents &events;
    UpstreamCounters counters;
    http_parser_settings settings{};
    std::unordered_map<AttemptId, Handle> active;
    std::deque<Handle> idle;
    bool stopped = false;
};

int Upstream::State::onField(http_parser *parser, const char *data, std::size_t length)
{
    auto &connection = of(parser);
    connection.headBytes += length;
    if (connection.valueLast || connection.answer.headers.empty()) {
        connection.answer.headers.emplace_back();
    }
    connection.valueLast = false;
    connection.answer.headers.back().first.append(data, length);
    return 0;
}

int Upstream::State::onValue(http_parser *parser, const char *data, std::size_t length)
{
    auto &connection = of(parser);
    connection.headBytes += length;
    connection.valueLast = true;
    if (connection.answer.headers.empty()) {
        return 1;
    }
    connection.answer.headers.back().second.append(data, length);
    return 0;
}

int Upstream::State::onHeadersComplete(http_parser *parser)
{
    auto &connection = of(parser);
    connection.answer.status = static_cast<std::uint16_t>(parser->status_code);
    connection.informational = parser->status_code < 200;
    if (!connection.informational) {
        connection.progress = Progress::Held;
    }
    return connection.request.method == "HEAD" ? 1 : 0;
}

int Upstream::State::onBody(http_parser *parser, const char *data, std::size_t length)
{
    auto &connection = of(parser);
    connection.bodyBytes += length;
    connection.body.append(data, length);
    return 0;
}

int Upstream::State::onMessageComplete(http_parser *parser)
{
    auto &connection = of(parser);
    if (connection.informational) {
        connection.informational = false;
        connection.answer = {};
        connection.valueLast = false;
        return 0;
    }
    connection.progress = Progress::Ended;
    http_parser_pause(parser, 1);
    return 0;
}

Upstream::State::Handle Upstream::State::find(AttemptId attempt) const
{
    const auto entry = active.find(attempt);
    return entry == active.end() ? nullptr : entry->second;
}

Upstream::State::Handle Upstream::State::takeIdle(const ServerRequest &request)
{
    const auto now = TimePoint::clock::now();
    const auto limit = request.idempotent ? options.idleLimit : options.freshLimit;
    while (!request.fresh && !idle.empty()) {
        auto connection = idle.back();
        if (now - connection->idleSince > limit) {
            return nullptr;
        }
        idle.pop_back();
        if (!connection->closed) {
            return connection;
        }
    }
    return nullptr;
}

void Upstream::State::connect(const Handle &connection)
{
    ++counters.connects;
    connection->timer.expires_after(options.connectTimeout);
    connection->timer.async_wait([connection](const asio::error_code &error) {
        if (!error && !connection->byteLeft) {
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
                self->fail(connection, AttemptFailure::NotSent);
                return;
            }
            asio::error_code ignored;
            connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->write(connection);
            self->read(connection);
        });
}

void Upstream::State::write(const Handle &connection)
{
    connection->output = serialize(connection->request, options.server, TimePoint::clock::now());
    connection->byteLeft = true;
    events.byteLeft(connection->request.id, connection->request.attempt);
    asio::async_write(connection->socket, asio::buffer(connection->output),
                      [connection](const asio::error_code &, std::size_t) {});
}

void Upstream::State::read(const Handle &connection)
{
    connection->socket.async_read_some(
        asio::buffer(connection->buffer),
        [self = shared_from_this(), connection](const asio::error_code &error, std::size_t length) {
            if (self->stopped || self->find(connection->request.attempt) != connection) {
                return;
            }
            if (error) {
                ++self->counters.truncated;
                self->fail(connection, AttemptFailure::Broken);
                return;
            }
            connection->received = true;
            connection->unparsedBegin = 0;
            connection->unparsedEnd = length;
            self->parse(connection);
        });
}

void Upstream::State::parse(const Handle &connection)
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
        fail(connection, AttemptFailure::Broken);
        return;
    }
    afterParse(connection);
}

void Upstream::State::afterParse(const Handle &connection)
{
    const auto &request = connection->request;
    if (connection->progress != Progress::Head) {
        const auto *const tag = findHeader(connection->answer.headers, requestIdHeader);
        if (tag != nullptr && *tag != request.tag) {
            ++counters.crossed;
            fail(connection, AttemptFailure::Broken);
            return;
        }
    }
    if (connection->progress == Progress::Ended) {
        end(connection);
        return;
    }
    if (connection->progress == Progress::Held && connection->body.size() > options.heldBytes) {
        connection->progress = Progress::Streaming;
        connection->waitsForResume = true;
        events.answerBegan(request.id, request.attempt);
        return;
    }
    if (connection->progress == Progress::Streaming && !connection->body.empty()) {
        connection->waitsForResume = true;
        events.answerPart(request.id, request.attempt, std::exchange(connection->body, {}));
        return;
    }
    read(connection);
}

void Upstream::State::end(const Handle &connection)
{
    const auto request = connection->request;
    const bool notRun = findHeader(connection->answer.headers, notRunHeader) != nullptr;
    const bool stray = connection->unparsedBegin < connection->unparsedEnd;
    const bool tagged = findHeader(connection->answer.headers, requestIdHeader) != nullptr;
    const bool reusable = tagged && !stray && http_should_keep_alive(&connection->parser) != 0;
    counters.stray += stray ? 1 : 0;
    if (notRun) {
        events.attemptFailed(request.id, request.attempt, AttemptFailure::Shed);
    } else {
        // A streamed answer may still owe its last part.
        const bool streamed = connection->bodyBytes > connection->body.size();
        if (streamed && !connection->body.empty()) {
            events.answerPart(request.id, request.attempt, std::exchange(connection->body, {}));
        }
        events.answerEnded(request.id, request.attempt);
    }
    active.erase(request.attempt);
    if (reusable && !connection->closed) {
        keep(connection);
    } else {
        connection->close();
    }
}

void Upstream::State::fail(const Handle &connection, AttemptFailure failure)
{
    const auto request = connection->request;
    active.erase(request.attempt);
    connection->close();
    events.attemptFailed(request.id, request.attempt, failure);
}

void Upstream::State::keep(const Handle &connection)
{
    connection->idle = true;
    connection->idleSince = TimePoint::clock::now();
    connection->request = {};
    idle.push_back(connection);
    if (idle.size() > options.maxIdle) {
        idle.front()->close();
        idle.pop_front();
    }
    watchIdle(connection);
}

// An idle connection that is closed or speaks out of turn must not be used again.
void Upstream::State::watchIdle(const Handle &connection)
{
    connection->timer.expires_after(options.idleLimit);
    connection->timer.async_wait([self = shared_from_this(), connection](const asio::error_code &error) {
        if (!error && connection->idle) {
            self->forget(connection);
        }
    });
    connection->socket.async_wait(asio::ip::tcp::socket::wait_read,
                                  [self = shared_from_this(), connection](const asio::error_code &error) {
                                      if (error || !connection->idle) {
                                          return;
                                      }
                                      ++self->counters.stray;
                                      self->forget(connection);
                                  });
}

void Upstream::State::forget(const Handle &connection)
{
    std::erase(idle, connection);
    connection->idle = false;
    connection->close();
}

Upstream::Upstream(asio::io_context &context, UpstreamOptions options, UpstreamEvents &events)
    : m_state(std::make_shared<State>(context, options, events))
{
}

Upstream::~Upstream()
{
    m_state->stopped = true;
    closeIdle();
    for (auto &[attempt, connection] : m_state->active) {
        connection->close();
    }
    m_state->active.clear();
}

void Upstream::send(const ServerRequest &request)
{
    auto connection = m_state->takeIdle(request);
    const bool pooled = connection != nullptr;
    if (!pooled) {
        connection = std::make_shared<Exchange>(m_state->context);
    }
    connection->idle = false;
    connection->timer.cancel();
    connection->request = request;
    connection->progress = Progress::Head;
    connection->answer = {};
    connection->body.clear();
    connection->headBytes = 0;
    connection->bodyBytes = 0;
    connection->byteLeft = false;
    connection->received = false;
    connection->valueLast = false;
    connection->informational = false;
    connection->waitsForResume = false;
    connection->unparsedBegin = 0;
    connection->unparsedEnd = 0;
    http_parser_init(&connection->parser, HTTP_RESPONSE);
    connection->parser.data = connection.get();
    m_state->active[request.attempt] = connection;
    if (!pooled) {
        m_state->connect(connection);
        return;
    }
    // Bytes that are there before the request is sent belong to no answer of it.
    asio::error_code error;
    if (connection->socket.available(error) > 0 || error) {
        ++m_state->counters.stray;
        connection->close();
        m_state->active.erase(request.attempt);
        auto again = request;
        again.fresh = true;
        send(again);
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
    if (connection->byteLeft && !connection->received) {
        // The path to the server may have lost track of the idle connections too.
        ++m_state->counters.silent;
        closeIdle();
    }
}

void Upstream::resume(AttemptId attempt)
{
    asio::post(m_state->context, [state = m_state, attempt] {
        const auto connection = state->find(attempt);
        if (connection == nullptr || !connection->waitsForResume) {
            return;
        }
        connection->waitsForResume = false;
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

const std::string &Upstream::held(AttemptId attempt) const
{
    static const std::string none;
    const auto connection = m_state->find(attempt);
    return connection == nullptr ? none : connection->body;
}

bool Upstream::isWhole(AttemptId attempt) const
{
    const auto connection = m_state->find(attempt);
    return connection != nullptr && connection->progress == Progress::Ended;
}

void Upstream::closeIdle()
{
    const auto connections = std::exchange(m_state->idle, {});
    for (const auto &connection : connections) {
        connection->idle = false;
        connection->close();
    }
}

const UpstreamCounters &Upstream::counters() const
{
    return m_state->counters;
}

} // namespace oriolelever
