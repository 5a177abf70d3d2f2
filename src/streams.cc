#include "oriolelever/streams.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <random>
#include <unordered_set>

#include <asio/post.hpp>
#include <fmt/format.h>

#include "connection.h"
#include "oriolelever/log.h"

namespace oriolelever {

namespace {

using detail::Connection;
using detail::StreamEnd;
using detail::StreamId;
using detail::Tcp;
using detail::TlsContext;

constexpr int statusOk = 200;
constexpr int statusFailed = 500;
constexpr std::chrono::milliseconds acceptPause{100};
constexpr std::chrono::milliseconds drainPollTime{5};

const Log &streamsLog()
{
    static const Log instance("streams");
    return instance;
}

// Outside of an error-handling scope LEAF drops errors, so a result for a callback captures its own.
Result<std::string> capturedFailure(const Error &error)
{
    auto context = leaf::make_shared_context([](const Error &) {});
    return leaf::capture(std::move(context), [&]() -> Result<std::string> { return leaf::new_error(error); });
}

// "CODE TEXT", as sent by `Streams::Reply`.
Error parseError(const std::string &body)
{
    std::uint16_t number = 0;
    const auto [end, error] = std::from_chars(body.data(), body.data() + body.size(), number);
    const auto codes = codeTable();
    const bool known = std::any_of(codes.begin(), codes.end(), [&](const CodeRow &row) {
        return static_cast<std::uint16_t>(row.code) == number;
    });
    if (error != std::errc{} || !known || number == 0) {
        return {Code::MessageMalformed, "answer of the peer has no result code"};
    }
    const auto text = static_cast<std::size_t>(end - body.data());
    return {static_cast<Code>(number), body.substr(std::min(body.size(), text + 1))};
}

struct Call
{
    std::string path;
    std::string body;
    Streams::Done done;
    std::unique_ptr<asio::steady_timer> timer;
    std::shared_ptr<Connection> connection; ///< Set once the request may have been sent.
    StreamId stream = 0;
};

struct Peer
{
    std::shared_ptr<Connection> connection;
    bool open = false;
    std::map<std::uint64_t, Call> calls; ///< By a number of this instance.
    std::chrono::milliseconds backoff{0};
    TimePoint nextAttempt{};
};

} // namespace

StreamsOptions controlStreamsOptions(const Settings &settings)
{
    StreamsOptions options;
    options.listen = settings.address("control", "listen");
    options.tls = {.plain = settings.flag("control", "plain"),
                   .certificate = settings.text("control", "certificate"),
                   .privateKey = settings.text("control", "private_key"),
                   .authority = settings.text("control", "authority")};
    return options;
}

void Streams::Reply::operator()(std::string answer) const
{
    m_send(statusOk, std::move(answer));
}

void Streams::Reply::operator()(const Error &error) const
{
    m_send(statusFailed, fmt::format("{} {}", static_cast<std::uint16_t>(error.code), error.text));
}

struct Streams::State : std::enable_shared_from_this<Streams::State>
{
    State(asio::io_context &io, StreamsOptions given)
        : context(io)
        , options(std::move(given))
        , acceptor(io)
        , acceptTimer(io)
        , drainTimer(io)
        , random(std::random_device{}())
    {
    }

    Result<void> loadKeys();
    Result<void> listen();
    void accept();
    void take(Tcp::socket socket);
    void serve(const std::weak_ptr<Connection> &connection, StreamId stream, const std::string &path,
               std::string body);

    void call(const Endpoint &endpoint, Call call, std::chrono::milliseconds timeout);
    void connect(const Endpoint &endpoint, Peer &peer);
    void connected(const Endpoint &endpoint, bool established);
    void disconnected(const Endpoint &endpoint, const Connection *connection);
    void submit(Peer &peer, std::uint64_t number, Call &call);
    void answered(const Endpoint &endpoint, const Connection *connection, StreamId stream, StreamEnd end,
                  int status, std::string body);
    void expire(const Endpoint &endpoint, std::uint64_t number);
    void finish(Peer &peer, std::uint64_t number, Result<std::string> result);
    void failAll(Peer &peer, const std::function<Error(const Call &)> &error);
    Connection::Hooks countingHooks();
    void close();
    void endDrain();

    asio::io_context &context;
    StreamsOptions options;
    TlsContext serverTls;
    TlsContext clientTls;
    Tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    asio::steady_timer drainTimer;
    std::minstd_rand random;
    std::map<std::string, Handler> handlers;
    std::map<Endpoint, Peer> peers;
    std::unordered_set<std::shared_ptr<Connection>> accepted;
    StreamsTotals totals;
    std::uint64_t nextCall = 1;
    std::size_t serving = 0;
    std::function<void()> drained;
    bool draining = false;
    bool closed = false;
};

Result<void> Streams::State::loadKeys()
{
    const auto &tls = options.tls;
    const bool incomplete = tls.certificate.empty() || tls.privateKey.empty() || tls.authority.empty();
    if (!tls.plain && incomplete) {
        return fail(Code::SettingMissing,
                    "control.certificate, control.private_key and control.authority are required unless "
                    "control.plain = true");
    }
    BOOST_LEAF_AUTO(server, detail::makeTlsContext(tls, true));
    BOOST_LEAF_AUTO(client, detail::makeTlsContext(tls, false));
    serverTls = server;
    clientTls = client;
    return {};
}

Result<void> Streams::State::listen()
{
    const auto endpoint = detail::toTcp(options.listen);
    asio::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        const auto code = error == asio::error::address_in_use ? Code::AddressInUse : Code::SocketFailed;
        return fail(code, fmt::format("address {}: {}", toString(options.listen), error.message()));
    }
    accept();
    return {};
}

void Streams::State::accept()
{
    acceptor.async_accept([self = shared_from_this()](const asio::error_code &error, Tcp::socket socket) {
        if (self->closed || !self->acceptor.is_open()) {
            return;
        }
        if (!error) {
            self->take(std::move(socket));
            self->accept();
            return;
        }
        // Out of descriptors: waiting lets some become free.
        self->acceptTimer.expires_after(acceptPause);
        self->acceptTimer.async_wait([self](const asio::error_code &) {
            if (self->acceptor.is_open()) {
                self->accept();
            }
        });
    });
}

Connection::Hooks Streams::State::countingHooks()
{
    Connection::Hooks hooks;
    hooks.moved = [self = shared_from_this()](std::size_t in, std::size_t out) {
        self->totals.bytesIn += in;
        self->totals.bytesOut += out;
    };
    return hooks;
}

void Streams::State::take(Tcp::socket socket)
{
    if (accepted.size() >= options.maxConnections) {
        ++totals.refused;
        return;
    }
    auto connection = std::make_shared<Connection>(std::move(socket), serverTls, options, true);
    const std::weak_ptr<Connection> weak = connection;
    const auto self = shared_from_this();
    auto hooks = countingHooks();
    hooks.opened = [self, weak](bool established) {
        if (!established) {
            ++self->totals.refused;
            self->accepted.erase(weak.lock());
        }
    };
    hooks.closed = [self, weak] {
        self->accepted.erase(weak.lock());
    };
    detail::Http2Events events;
    events.request = [self, weak](StreamId stream, std::string path, std::string body) {
        self->serve(weak, stream, path, std::move(body));
    };
    events.closed = [](StreamId) {
    };
    events.oversized = [self] {
        ++self->totals.refused;
    };
    connection->attach(std::move(hooks), std::move(events));
    accepted.insert(connection);
    connection->accept();
}

void Streams::State::serve(const std::weak_ptr<Connection> &connection, StreamId stream,
                           const std::string &path, std::string body)
{
    ++totals.callsIn;
    if (const auto live = connection.lock()) {
        live->touch();
    }
    ++serving;
    auto send = [self = shared_from_this(), connection, stream,
                 replied = std::make_shared<bool>(false)](int status, std::string answer) {
        if (std::exchange(*replied, true)) {
            return;
        }
        if (const auto live = connection.lock()) {
            live->session().submitResponse(stream, status, std::move(answer));
            live->flush();
        }
        --self->serving;
    };
    const Reply reply(std::move(send));
    if (draining) {
        reply(Error{Code::PeerRefused, "this process is leaving"});
        return;
    }
    const auto handler = handlers.find(path);
    if (handler == handlers.end()) {
        reply(Error{Code::PeerRefused, fmt::format("path \"{}\" is not served", path)});
        return;
    }
    handler->second(std::move(body), reply);
}

void Streams::State::call(const Endpoint &endpoint, Call call, std::chrono::milliseconds timeout)
{
    auto &peer = peers[endpoint];
    const auto now = std::chrono::steady_clock::now();
    const auto number = nextCall++;
    ++totals.callsOut;
    call.timer = std::make_unique<asio::steady_timer>(context, timeout);
    call.timer->async_wait([self = shared_from_this(), endpoint, number](const asio::error_code &error) {
        if (!error) {
            self->expire(endpoint, number);
        }
    });
    auto &entry = peer.calls.emplace(number, std::move(call)).first->second;
    if (peer.open) {
        submit(peer, number, entry);
        return;
    }
    if (peer.connection != nullptr) {
        return;
    }
    if (closed || now < peer.nextAttempt) {
        asio::post(context, [self = shared_from_this(), endpoint, number] {
            const Error error{Code::PeerUnreachable,
                              fmt::format("peer {} did not accept a connection", toString(endpoint))};
            self->finish(self->peers[endpoint], number, capturedFailure(error));
        });
        return;
    }
    connect(endpoint, peer);
}

void Streams::State::connect(const Endpoint &endpoint, Peer &peer)
{
    auto connection = std::make_shared<Connection>(Tcp::socket(context), clientTls, options, false);
    const auto self = shared_from_this();
    const auto *const raw = connection.get();
    auto hooks = countingHooks();
    hooks.opened = [self, endpoint](bool established) {
        self->connected(endpoint, established);
    };
    hooks.closed = [self, endpoint, raw] {
        self->disconnected(endpoint, raw);
    };
    detail::Http2Events events;
    events.response = [self, endpoint, raw](StreamId stream, StreamEnd end, int status, std::string body) {
        self->answered(endpoint, raw, stream, end, status, std::move(body));
    };
    events.closed = [](StreamId) {
    };
    events.oversized = [self] {
        ++self->totals.refused;
    };
    connection->attach(std::move(hooks), std::move(events));
    peer.connection = connection;
    connection->connect(endpoint);
}

void Streams::State::connected(const Endpoint &endpoint, bool established)
{
    auto &peer = peers[endpoint];
    if (!established) {
        peer.connection.reset();
        peer.backoff = std::clamp(peer.backoff * 2, options.minBackoff, options.maxBackoff);
        const auto half = peer.backoff / 2;
        const auto jitter = std::uniform_int_distribution<std::int64_t>(0, half.count())(random);
        peer.nextAttempt = std::chrono::steady_clock::now() + half + std::chrono::milliseconds(jitter);
        failAll(peer, [&](const Call &) {
            return Error{Code::PeerUnreachable,
                         fmt::format("peer {} did not accept a connection", toString(endpoint))};
        });
        return;
    }
    peer.open = true;
    peer.backoff = std::chrono::milliseconds(0);
    for (auto &[number, call] : peer.calls) {
        submit(peer, number, call);
    }
}

void Streams::State::disconnected(const Endpoint &endpoint, const Connection *connection)
{
    auto &peer = peers[endpoint];
    if (peer.connection.get() == connection) {
        peer.connection.reset();
        peer.open = false;
    }
    std::vector<std::uint64_t> lost;
    for (const auto &[number, call] : peer.calls) {
        if (call.connection.get() == connection) {
            lost.push_back(number);
        }
    }
    for (const auto number : lost) {
        const Error error{Code::OutcomeUnknown,
                          fmt::format("connection to peer {} was lost", toString(endpoint))};
        finish(peer, number, capturedFailure(error));
    }
    if (peer.calls.empty() && !peer.open && peer.connection == nullptr && peer.backoff.count() == 0) {
        peers.erase(endpoint);
    }
}

void Streams::State::submit(Peer &peer, std::uint64_t number, Call &call)
{
    call.connection = peer.connection;
    call.stream = call.connection->session().submitRequest(call.path, std::move(call.body));
    call.connection->touch();
    if (call.stream < 0) {
        // Stream numbers are used up: the next call opens another connection.
        peer.open = false;
        peer.connection.reset();
        asio::post(context, [self = shared_from_this(), number] {
            for (auto &[endpoint, other] : self->peers) {
                const Error error{Code::PeerUnreachable,
                                  fmt::format("connection to peer {} ended", toString(endpoint))};
                self->finish(other, number, capturedFailure(error));
            }
        });
        return;
    }
    call.connection->flush();
}

void Streams::State::answered(const Endpoint &endpoint, const Connection *connection, StreamId stream,
                              StreamEnd end, int status, std::string body)
{
    auto &peer = peers[endpoint];
    const auto found = std::find_if(peer.calls.begin(), peer.calls.end(), [&](const auto &entry) {
        return entry.second.connection.get() == connection && entry.second.stream == stream;
    });
    if (found == peer.calls.end()) {
        return;
    }
    const auto number = found->first;
    if (end == StreamEnd::Whole && status == statusOk) {
        finish(peer, number, std::move(body));
    } else if (end == StreamEnd::Whole) {
        finish(peer, number, capturedFailure(parseError(body)));
    } else if (end == StreamEnd::Refused) {
        const Error error{Code::PeerRefused, fmt::format("peer {} refused the call", toString(endpoint))};
        finish(peer, number, capturedFailure(error));
    } else {
        const Error error{Code::OutcomeUnknown,
                          fmt::format("answer of peer {} was lost", toString(endpoint))};
        finish(peer, number, capturedFailure(error));
    }
}

void Streams::State::expire(const Endpoint &endpoint, std::uint64_t number)
{
    auto &peer = peers[endpoint];
    const auto found = peer.calls.find(number);
    if (found == peer.calls.end()) {
        return;
    }
    const auto connection = found->second.connection;
    const auto stream = found->second.stream;
    const auto code = connection == nullptr ? Code::PeerUnreachable : Code::OutcomeUnknown;
    const Error error{code, fmt::format("peer {} did not answer in time", toString(endpoint))};
    finish(peer, number, capturedFailure(error));
    if (connection != nullptr) {
        connection->session().cancel(stream);
        connection->flush();
    }
}

void Streams::State::finish(Peer &peer, std::uint64_t number, Result<std::string> result)
{
    auto found = peer.calls.extract(number);
    if (found.empty()) {
        return;
    }
    found.mapped().timer->cancel();
    // Posted, so that a callback cannot change the sessions that are being worked on.
    auto shared = std::make_shared<Result<std::string>>(std::move(result));
    asio::post(context, [done = std::move(found.mapped().done), shared] { done(std::move(*shared)); });
}

void Streams::State::failAll(Peer &peer, const std::function<Error(const Call &)> &error)
{
    while (!peer.calls.empty()) {
        const auto first = peer.calls.begin();
        finish(peer, first->first, capturedFailure(error(first->second)));
    }
}

void Streams::State::endDrain()
{
    if (!drained) {
        return;
    }
    const bool quiet = std::all_of(accepted.begin(), accepted.end(),
                                   [](const auto &connection) { return connection->isQuiet(); });
    if (serving == 0 && quiet) {
        std::exchange(drained, nullptr)();
        return;
    }
    drainTimer.expires_after(drainPollTime);
    drainTimer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->endDrain();
        }
    });
}

void Streams::State::close()
{
    closed = true;
    asio::error_code ignored;
    acceptor.close(ignored);
    acceptTimer.cancel();
    drainTimer.cancel();
    const auto connections = accepted;
    for (const auto &connection : connections) {
        connection->close();
    }
    accepted.clear();
    std::vector<std::shared_ptr<Connection>> outgoing;
    for (auto &[endpoint, peer] : peers) {
        outgoing.push_back(peer.connection);
        for (auto &[number, call] : peer.calls) {
            call.timer->cancel();
        }
        peer.calls.clear();
    }
    for (const auto &connection : outgoing) {
        if (connection != nullptr) {
            connection->close();
        }
    }
    peers.clear();
    handlers.clear();
}

Streams::Streams(asio::io_context &context, StreamsOptions options)
    : m_state(std::make_shared<State>(context, std::move(options)))
{
}

Streams::~Streams()
{
    stop();
}

Result<void> Streams::start(Kernel &)
{
    return open();
}

Result<void> Streams::open()
{
    BOOST_LEAF_CHECK(m_state->loadKeys());
    BOOST_LEAF_CHECK(m_state->listen());
    return {};
}

void Streams::drain(std::function<void()> done)
{
    asio::error_code ignored;
    m_state->acceptor.close(ignored);
    m_state->drained = std::move(done);
    m_state->draining = true;
    const auto connections = m_state->accepted;
    for (const auto &connection : connections) {
        connection->refuseNew();
    }
    m_state->endDrain();
}

void Streams::stop()
{
    if (!m_state->closed) {
        m_state->close();
    }
}

void Streams::reload()
{
    handleError([&] { return m_state->loadKeys(); },
                [](const Error &error) { streamsLog().error("keys not reloaded: {}", error.text); });
}

void Streams::handle(std::string path, Handler handler)
{
    m_state->handlers[std::move(path)] = std::move(handler);
}

void Streams::call(const Endpoint &peer, std::string path, std::string body,
                   std::chrono::milliseconds timeout, Done done)
{
    m_state->call(peer, Call{.path = std::move(path), .body = std::move(body), .done = std::move(done)},
                  timeout);
}

Endpoint Streams::listenEndpoint() const
{
    asio::error_code error;
    const auto endpoint = m_state->acceptor.local_endpoint(error);
    return error ? m_state->options.listen : detail::fromTcp(endpoint);
}

const StreamsTotals &Streams::totals() const
{
    return m_state->totals;
}

} // namespace oriolelever
