#include "http-server.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <http_parser.h>

#include "oriolelever/upstream.h"

namespace oriolelever::lab {

class RunLedger
{
public:
    /// Notes a run; returns how many there are now.
    std::uint32_t note(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        return ++m_runs[key];
    }

    bool has(const std::string &key) const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs.contains(key);
    }

    std::map<std::string, std::uint32_t> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint32_t> m_runs;
};

std::shared_ptr<RunLedger> makeRunLedger()
{
    return std::make_shared<RunLedger>();
}

bool hasRun(const RunLedger &ledger, const std::string &key)
{
    return ledger.has(key);
}

std::map<std::string, std::uint32_t> runsOf(const RunLedger &ledger)
{
    return ledger.runs();
}

std::string expectedBody(const std::string &key, std::size_t bytes)
{
    std::string body = key + "\n";
    while (body.size() < bytes) {
        body += body.substr(0, std::min(body.size(), bytes - body.size()));
    }
    body.resize(std::max(bytes, key.size() + 1));
    return body;
}

namespace {

enum class Fault : std::uint8_t { None, Shed, Stall, Crash, Late, Truncated, Crossed, Doubled };

struct Session
{
    explicit Session(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
        , timer(socket.get_executor())
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 16'384> buffer{};
    http_parser parser{};
    std::string target;
    HeaderList headers;
    bool valueLast = false;
    bool complete = false;
    bool running = false; ///< Holds a slot.
    bool closed = false;
    std::string output;
};

using Handle = std::shared_ptr<Session>;

std::string headerOr(const HeaderList &headers, std::string_view name, const std::string &fallback)
{
    const auto *const value = findHeader(headers, name);
    return value == nullptr ? fallback : *value;
}

std::string makeAnswer(const std::string &tag, const std::string &body, bool notRun)
{
    const std::string_view status = notRun ? "503 Service Unavailable" : "200 OK";
    const std::string extra = notRun ? fmt::format("{}: true\r\n", notRunHeader) : std::string();
    return fmt::format("HTTP/1.1 {}\r\nContent-Type: text/plain\r\n{}: {}\r\n{}Content-Length: {}\r\n\r\n{}",
                       status, requestIdHeader, tag, extra, body.size(), body);
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
    State(HttpServerOptions serverOptions, std::shared_ptr<RunLedger> runLedger)
        : options(serverOptions)
        , ledger(std::move(runLedger))
        , acceptor(context)
        , random(serverOptions.seed)
    {
        settings.on_url = [](http_parser *parser, const char *data, std::size_t length) {
            of(parser).target.append(data, length);
            return 0;
        };
        settings.on_header_field = [](http_parser *parser, const char *data, std::size_t length) {
            auto &session = of(parser);
            if (session.valueLast || session.headers.empty()) {
                session.headers.emplace_back();
            }
            session.valueLast = false;
            session.headers.back().first.append(data, length);
            return 0;
        };
        settings.on_header_value = [](http_parser *parser, const char *data, std::size_t length) {
            auto &session = of(parser);
            session.valueLast = true;
            session.headers.back().second.append(data, length);
            return 0;
        };
        settings.on_message_complete = [](http_parser *parser) {
            of(parser).complete = true;
            return 0;
        };
    }

    static Session &of(http_parser *parser)
    {
        return *static_cast<Session *>(parser->data);
    }

    void accept();
    void begin(const Handle &session);
    void read(const Handle &session);
    void arrived(const Handle &session);
    void run(const Handle &session);
    void finish(const Handle &session, Fault fault);
    void write(const Handle &session, std::string answer, bool last);
    void release(const Handle &session);
    void close(const Handle &session);
    Fault drawFault();
    bool isCold() const;

    HttpServerOptions options;
    std::shared_ptr<RunLedger> ledger;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::mt19937_64 random;
    http_parser_settings settings{};
    std::set<Handle> sessions;
    std::deque<Handle> waiting;
    std::uint32_t running = 0;
    TimePoint coldUntil;
    std::string lastTag = "none";
    std::thread thread;
    Endpoint bound;
    mutable std::mutex figuresMutex;
    HttpServerFigures figures;
};

bool HttpServer::State::isCold() const
{
    return TimePoint::clock::now() < coldUntil;
}

void HttpServer::State::accept()
{
    acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error) {
            return;
        }
        socket.set_option(asio::ip::tcp::no_delay(true));
        const auto session = std::make_shared<Session>(std::move(socket));
        sessions.insert(session);
        begin(session);
        read(session);
        accept();
    });
}

void HttpServer::State::begin(const Handle &session)
{
    http_parser_init(&session->parser, HTTP_REQUEST);
    session->parser.data = session.get();
    session->target.clear();
    session->headers.clear();
    session->valueLast = false;
    session->complete = false;
}

void HttpServer::State::read(const Handle &session)
{
    session->socket.async_read_some(
        asio::buffer(session->buffer), [this, session](const asio::error_code &error, std::size_t length) {
            if (error) {
                close(session);
                return;
            }
            http_parser_execute(&session->parser, &settings, session->buffer.data(), length);
            if (HTTP_PARSER_ERRNO(&session->parser) != HPE_OK) {
                close(session);
                return;
            }
            if (session->complete && !session->running) {
                arrived(session);
            }
            // Reading on shows a client that hangs up.
            read(session);
        });
}

Fault HttpServer::State::drawFault()
{
    double draw = std::uniform_real_distribution<double>(0.0, 1.0)(random);
    const auto &faults = options.faults;
    const std::array<std::pair<double, Fault>, 7> shares{{{faults.shed, Fault::Shed},
                                                          {faults.stall, Fault::Stall},
                                                          {faults.crash, Fault::Crash},
                                                          {faults.late, Fault::Late},
                                                          {faults.truncated, Fault::Truncated},
                                                          {faults.crossed, Fault::Crossed},
                                                          {faults.doubled, Fault::Doubled}}};
    for (const auto &[share, fault] : shares) {
        if (draw < share) {
            return fault;
        }
        draw -= share;
    }
    return Fault::None;
}

void HttpServer::State::arrived(const Handle &session)
{
    {
        const std::lock_guard lock(figuresMutex);
        ++figures.received;
    }
    if (running >= options.slots) {
        waiting.push_back(session);
        return;
    }
    run(session);
}

void HttpServer::State::run(const Handle &session)
{
    const auto fault = drawFault();
    const auto tag = headerOr(session->headers, requestIdHeader, "none");
    if (fault == Fault::Shed) {
        {
            const std::lock_guard lock(figuresMutex);
            ++figures.shed;
        }
        write(session, makeAnswer(tag, "busy\n", true), false);
        return;
    }
    ++running;
    session->running = true;
    const bool idempotent = session->parser.method != HTTP_POST && session->parser.method != HTTP_PATCH;
    const auto key = headerOr(session->headers, "Idempotency-Key", "none");
    const auto runs = idempotent ? 0 : ledger->note(key);
    const bool cold = isCold();
    {
        const std::lock_guard lock(figuresMutex);
        ++figures.runs;
        figures.nonIdempotentRuns += idempotent ? 0 : 1;
        figures.ranTwice += !idempotent && key != "none" && runs > 1 ? 1 : 0;
        figures.mostRunning = std::max(figures.mostRunning, running);
        figures.coldOverloads += cold && running > options.coldSlots ? 1 : 0;
    }
    const double factor = cold ? options.coldFactor : 1.0;
    Duration time = std::chrono::duration_cast<Duration>(options.serviceTime * factor);
    time = fault == Fault::Late ? Duration(options.lateTime) : time;
    if (fault == Fault::Stall) {
        return;
    }
    session->timer.expires_after(time);
    session->timer.async_wait([this, session, fault](const asio::error_code &error) {
        if (!error && !session->closed) {
            finish(session, fault);
        }
    });
}

void HttpServer::State::finish(const Handle &session, Fault fault)
{
    const auto key = headerOr(session->headers, "Idempotency-Key", "none");
    const auto tag = headerOr(session->headers, requestIdHeader, "none");
    std::size_t bytes = options.answerBytes;
    const auto asked = session->target.find("bytes=");
    if (asked != std::string::npos) {
        bytes = std::strtoull(session->target.c_str() + asked + 6, nullptr, 10);
    }
    auto answer = makeAnswer(tag, expectedBody(key, bytes), false);
    const auto crossed = makeAnswer(lastTag, expectedBody("other", bytes), false);
    lastTag = tag;
    release(session);
    switch (fault) {
    case Fault::Crash:
        close(session);
        return;
    case Fault::Truncated:
        write(session, answer.substr(0, answer.size() - bytes / 2 - 1), true);
        return;
    case Fault::Crossed:
        write(session, crossed, false);
        return;
    case Fault::Doubled:
        write(session, answer + answer, false);
        return;
    default:
        write(session, std::move(answer), false);
    }
}

void HttpServer::State::write(const Handle &session, std::string answer, bool last)
{
    session->output = std::move(answer);
    begin(session);
    asio::async_write(session->socket, asio::buffer(session->output),
                      [this, session, last](const asio::error_code &error, std::size_t) {
                          if (error || last) {
                              close(session);
                          }
                      });
}

void HttpServer::State::release(const Handle &session)
{
    if (!session->running) {
        return;
    }
    session->running = false;
    --running;
    while (running < options.slots && !waiting.empty()) {
        const auto next = waiting.front();
        waiting.pop_front();
        if (!next->closed) {
            run(next);
        }
    }
}

void HttpServer::State::close(const Handle &session)
{
    if (session->closed) {
        return;
    }
    session->closed = true;
    if (session->running) {
        const std::lock_guard lock(figuresMutex);
        ++figures.cancelled;
    }
    release(session);
    asio::error_code ignored;
    session->timer.cancel();
    session->socket.close(ignored);
    sessions.erase(session);
}

HttpServer::HttpServer(HttpServerOptions options, std::shared_ptr<RunLedger> ledger)
    : m_state(std::make_shared<State>(options, std::move(ledger)))
{
}

HttpServer::~HttpServer()
{
    stop();
}

bool HttpServer::start()
{
    const auto &listen = m_state->options.listen;
    asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), listen.port);
    if (listen.address.isV4()) {
        asio::ip::address_v4::bytes_type bytes{};
        std::copy_n(listen.address.bytes.begin() + 12, bytes.size(), bytes.begin());
        endpoint.address(asio::ip::address_v4(bytes));
    }
    asio::error_code error;
    auto &acceptor = m_state->acceptor;
    acceptor.open(endpoint.protocol(), error);
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    acceptor.bind(endpoint, error);
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return false;
    }
    const auto local = acceptor.local_endpoint();
    parseEndpoint(fmt::format("{}:{}", local.address().to_string(), local.port()), m_state->bound);
    m_state->coldUntil = TimePoint::clock::now() + m_state->options.coldTime;
    m_state->accept();
    m_state->thread = std::thread([state = m_state] { state->context.run(); });
    return true;
}

void HttpServer::stop()
{
    if (!m_state->thread.joinable()) {
        return;
    }
    asio::post(m_state->context, [state = m_state.get()] {
        asio::error_code ignored;
        state->acceptor.close(ignored);
        const auto sessions = state->sessions;
        for (const auto &session : sessions) {
            state->close(session);
        }
        state->context.stop();
    });
    m_state->thread.join();
}

void HttpServer::turnCold()
{
    asio::post(m_state->context, [state = m_state.get()] {
        state->coldUntil = TimePoint::clock::now() + state->options.coldTime;
    });
}

Endpoint HttpServer::endpoint() const
{
    return m_state->bound;
}

HttpServerFigures HttpServer::figures() const
{
    const std::lock_guard lock(m_state->figuresMutex);
    return m_state->figures;
}

} // namespace oriolelever::lab
