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
constexpr std::chrono::milliseconds acceptRetryDelay{100}; ///< After a failed accept.
constexpr std::chrono::milliseconds drainPollInterval{5};

const Log &streamsLog()
{
    static const Log instance("streams");
    return instance;
}

// Outside an error-handling scope, LEAF discards errors. A result for a callback therefore captures its
// error.
Result<std::string> capturedFailure(const Error &error)
{
    auto context = leaf::make_shared_context([](const Error &) {});
    return leaf::capture(std::move(context), [&]() -> Result<std::string> { return leaf::new_error(error); });
}

// Parses "CODE TEXT", with the number of the code, as sent by `Streams::Reply`.
Error parseError(const std::string &body)
{
    std::uint16_t number = 0;
    const auto [end, error] = std::from_chars(body.data(), body.data() + body.size(), number);
    const auto codes = codeTable();
    const bool known = std::any_of(codes.begin(), codes.end(), [&](const CodeRow &row) {
        return static_cast<std::uint16_t>(row.code) == number;
    });
    if (error != std::errc{} || !known || number == 0) {
        return {Code::MessageMalformed, "error answer of the peer does not begin with a known result code"};
    }
    const auto codeLength = static_cast<std::size_t>(end - body.data());
    return {static_cast<Code>(number), body.substr(std::min(body.size(), codeLength + 1))};
}

// A call to a peer that has not completed.
struct Call
{
    std::string path;
    std::string body;
    Streams::Done done;
    std::unique_ptr<asio::steady_timer> timer; ///< Timeout of the call.
    std::shared_ptr<Connection> connection; ///< Null until the request is submitted to it.
    StreamId stream = 0;
};

// The outgoing connection to a process and the calls to it.
struct Peer
{
    std::shared_ptr<Connection> connection; ///< Also set while connecting.
    bool isConnected = false; ///< The handshake succeeded.
    std::map<std::uint64_t, Call> calls; ///< By call number, which is unique in this instance.
    std::chrono::milliseconds backoff{0}; ///< Doubled by each failed connect; 0 after a successful one.
    TimePoint nextConnectTime{}; ///< Calls before it fail at once if there is no connection.
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
    State(asio::io_context &ioContext, StreamsOptions streamsOptions)
        : context(ioContext)
        , options(std::move(streamsOptions))
        , acceptor(ioContext)
        , acceptTimer(ioContext)
        , drainTimer(ioContext)
        , randomEngine(std::random_device{}())
    {
    }

    Result<void> loadTlsFiles();
    Result<void> listen();
    void accept();
    void acceptConnection(Tcp::socket socket);
    // Runs the handler of a received call.
    void handleRequest(const std::weak_ptr<Connection> &connection, StreamId stream, const std::string &path,
                       std::string body);

    void call(const Endpoint &endpoint, Call call, std::chrono::milliseconds timeout);
    void connect(const Endpoint &endpoint, Peer &peer);
    void handleConnectResult(const Endpoint &endpoint, bool established);
    void handleDisconnect(const Endpoint &endpoint, const Connection *connection);
    // Sends a call on the established connection of its peer.
    void submit(Peer &peer, std::uint64_t number, Call &call);
    void handleResponse(const Endpoint &endpoint, const Connection *connection, StreamId stream,
                        StreamEnd end, int status, std::string body);
    // Fails a call whose timeout has passed, and cancels its stream.
    void expireCall(const Endpoint &endpoint, std::uint64_t number);
    // Removes a call and posts its callback; does nothing if the call has completed.
    void completeCall(Peer &peer, std::uint64_t number, Result<std::string> result);
    // Fails all calls to a peer.
    void failCalls(Peer &peer, const std::function<Error(const Call &)> &error);
    Connection::Hooks byteCountingHooks();
    void close();
    void checkDrained();

    asio::io_context &context;
    StreamsOptions options;
    TlsContext serverTls;
    TlsContext clientTls;
    Tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    asio::steady_timer drainTimer;
    std::minstd_rand randomEngine;
    std::map<std::string, Handler> handlers; ///< By path.
    std::map<Endpoint, Peer> peers; ///< Processes that were called.
    std::unordered_set<std::shared_ptr<Connection>> accepted; ///< Incoming connections.
    StreamsTotals totals;
    std::uint64_t nextCallNumber = 1;
    std::size_t pendingReplies = 0; ///< Received calls that were not answered yet.
    std::function<void()> onDrained; ///< Set from `drain` until it is called.
    bool draining = false;
    bool closed = false;
};

Result<void> Streams::State::loadTlsFiles()
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
    const auto endpoint = detail::toAsioEndpoint(options.listen);
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
        return fail(code, fmt::format("cannot listen on {}: {}", toString(options.listen), error.message()));
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
            self->acceptConnection(std::move(socket));
            self->accept();
            return;
        }
        // Most likely out of file descriptors: retry after some may have been closed.
        self->acceptTimer.expires_after(acceptRetryDelay);
        self->acceptTimer.async_wait([self](const asio::error_code &) {
            if (self->acceptor.is_open()) {
                self->accept();
            }
        });
    });
}

Connection::Hooks Streams::State::byteCountingHooks()
{
    Connection::Hooks hooks;
    hooks.transferred = [self = shared_from_this()](std::size_t in, std::size_t out) {
        self->totals.bytesReceived += in;
        self->totals.bytesSent += out;
    };
    return hooks;
}

void Streams::State::acceptConnection(Tcp::socket socket)
{
    if (accepted.size() >= options.maxConnections) {
        ++totals.refused;
        return;
    }
    auto connection = std::make_shared<Connection>(std::move(socket), serverTls, options, true);
    const std::weak_ptr<Connection> weak = connection;
    const auto self = shared_from_this();
    auto hooks = byteCountingHooks();
    hooks.openCompleted = [self, weak](bool established) {
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
        self->handleRequest(weak, stream, path, std::move(body));
    };
    events.closed = [](StreamId) {
    };
    events.oversized = [self] {
        ++self->totals.refused;
    };
    connection->setCallbacks(std::move(hooks), std::move(events));
    accepted.insert(connection);
    connection->accept();
}

void Streams::State::handleRequest(const std::weak_ptr<Connection> &connection, StreamId stream,
                                   const std::string &path, std::string body)
{
    ++totals.callsReceived;
    if (const auto openConnection = connection.lock()) {
        openConnection->recordCall();
    }
    ++pendingReplies;
    auto send = [self = shared_from_this(), connection, stream,
                 replied = std::make_shared<bool>(false)](int status, std::string answer) {
        if (std::exchange(*replied, true)) {
            return;
        }
        if (const auto openConnection = connection.lock()) {
            openConnection->session().submitResponse(stream, status, std::move(answer));
            openConnection->flush();
        }
        --self->pendingReplies;
    };
    const Reply reply(std::move(send));
    if (draining) {
        reply(Error{Code::PeerRefused, "this process is draining and accepts no new calls"});
        return;
    }
    const auto handler = handlers.find(path);
    if (handler == handlers.end()) {
        reply(Error{Code::PeerRefused, fmt::format("no handler for path \"{}\"", path)});
        return;
    }
    handler->second(std::move(body), reply);
}

void Streams::State::call(const Endpoint &endpoint, Call call, std::chrono::milliseconds timeout)
{
    auto &peer = peers[endpoint];
    const auto now = std::chrono::steady_clock::now();
    const auto number = nextCallNumber++;
    ++totals.callsSent;
    call.timer = std::make_unique<asio::steady_timer>(context, timeout);
    call.timer->async_wait([self = shared_from_this(), endpoint, number](const asio::error_code &error) {
        if (!error) {
            self->expireCall(endpoint, number);
        }
    });
    auto &entry = peer.calls.emplace(number, std::move(call)).first->second;
    if (peer.isConnected) {
        submit(peer, number, entry);
        return;
    }
    if (peer.connection != nullptr) {
        return;
    }
    if (closed || now < peer.nextConnectTime) {
        asio::post(context, [self = shared_from_this(), endpoint, number] {
            const Error error{Code::PeerUnreachable,
                              fmt::format("peer {} did not accept a connection", toString(endpoint))};
            self->completeCall(self->peers[endpoint], number, capturedFailure(error));
        });
        return;
    }
    connect(endpoint, peer);
}

void Streams::State::connect(const Endpoint &endpoint, Peer &peer)
{
    auto connection = std::make_shared<Connection>(Tcp::socket(context), clientTls, options, false);
    const auto self = shared_from_this();
    const auto *const rawConnection = connection.get();
    auto hooks = byteCountingHooks();
    hooks.openCompleted = [self, endpoint](bool established) {
        self->handleConnectResult(endpoint, established);
    };
    hooks.closed = [self, endpoint, rawConnection] {
        self->handleDisconnect(endpoint, rawConnection);
    };
    detail::Http2Events events;
    events.response
        = [self, endpoint, rawConnection](StreamId stream, StreamEnd end, int status, std::string body) {
              self->handleResponse(endpoint, rawConnection, stream, end, status, std::move(body));
          };
    events.closed = [](StreamId) {
    };
    events.oversized = [self] {
        ++self->totals.refused;
    };
    connection->setCallbacks(std::move(hooks), std::move(events));
    peer.connection = connection;
    connection->connect(endpoint);
}

void Streams::State::handleConnectResult(const Endpoint &endpoint, bool established)
{
    auto &peer = peers[endpoint];
    if (!established) {
        peer.connection.reset();
        peer.backoff = std::clamp(peer.backoff * 2, options.minBackoff, options.maxBackoff);
        const auto halfBackoff = peer.backoff / 2;
        const auto jitter = std::uniform_int_distribution<std::int64_t>(0, halfBackoff.count())(randomEngine);
        peer.nextConnectTime
            = std::chrono::steady_clock::now() + halfBackoff + std::chrono::milliseconds(jitter);
        failCalls(peer, [&](const Call &) {
            return Error{Code::PeerUnreachable,
                         fmt::format("peer {} did not accept a connection", toString(endpoint))};
        });
        return;
    }
    peer.isConnected = true;
    peer.backoff = std::chrono::milliseconds(0);
    for (auto &[number, call] : peer.calls) {
        submit(peer, number, call);
    }
}

void Streams::State::handleDisconnect(const Endpoint &endpoint, const Connection *connection)
{
    auto &peer = peers[endpoint];
    if (peer.connection.get() == connection) {
        peer.connection.reset();
        peer.isConnected = false;
    }
    std::vector<std::uint64_t> lostCalls;
    for (const auto &[number, call] : peer.calls) {
        if (call.connection.get() == connection) {
            lostCalls.push_back(number);
        }
    }
    for (const auto number : lostCalls) {
        const Error error{Code::OutcomeUnknown,
                          fmt::format("connection to peer {} was lost", toString(endpoint))};
        completeCall(peer, number, capturedFailure(error));
    }
    if (peer.calls.empty() && !peer.isConnected && peer.connection == nullptr && peer.backoff.count() == 0) {
        peers.erase(endpoint);
    }
}

void Streams::State::submit(Peer &peer, std::uint64_t number, Call &call)
{
    call.connection = peer.connection;
    call.stream = call.connection->session().submitRequest(call.path, std::move(call.body));
    call.connection->recordCall();
    if (call.stream < 0) {
        // Stream ids are used up, or the peer sent GOAWAY: the next call opens a new connection.
        peer.isConnected = false;
        peer.connection.reset();
        asio::post(context, [self = shared_from_this(), number] {
            for (auto &[endpoint, other] : self->peers) {
                const Error error{
                    Code::PeerUnreachable,
                    fmt::format("connection to peer {} accepts no more calls", toString(endpoint))};
                self->completeCall(other, number, capturedFailure(error));
            }
        });
        return;
    }
    call.connection->flush();
}

void Streams::State::handleResponse(const Endpoint &endpoint, const Connection *connection, StreamId stream,
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
    if (end == StreamEnd::Complete && status == statusOk) {
        completeCall(peer, number, std::move(body));
    } else if (end == StreamEnd::Complete) {
        completeCall(peer, number, capturedFailure(parseError(body)));
    } else if (end == StreamEnd::Refused) {
        const Error error{Code::PeerRefused, fmt::format("peer {} refused the call", toString(endpoint))};
        completeCall(peer, number, capturedFailure(error));
    } else {
        const Error error{
            Code::OutcomeUnknown,
            fmt::format("stream to peer {} ended without a complete answer", toString(endpoint))};
        completeCall(peer, number, capturedFailure(error));
    }
}

void Streams::State::expireCall(const Endpoint &endpoint, std::uint64_t number)
{
    auto &peer = peers[endpoint];
    const auto found = peer.calls.find(number);
    if (found == peer.calls.end()) {
        return;
    }
    const auto connection = found->second.connection;
    const auto stream = found->second.stream;
    const auto code = connection == nullptr ? Code::PeerUnreachable : Code::OutcomeUnknown;
    const Error error{code, fmt::format("peer {} did not answer before the timeout", toString(endpoint))};
    completeCall(peer, number, capturedFailure(error));
    if (connection != nullptr) {
        connection->session().cancel(stream);
        connection->flush();
    }
}

void Streams::State::completeCall(Peer &peer, std::uint64_t number, Result<std::string> result)
{
    auto found = peer.calls.extract(number);
    if (found.empty()) {
        return;
    }
    found.mapped().timer->cancel();
    // Posted, because a callback may start calls and so modify the session that is being processed.
    auto sharedResult = std::make_shared<Result<std::string>>(std::move(result));
    asio::post(context,
               [done = std::move(found.mapped().done), sharedResult] { done(std::move(*sharedResult)); });
}

void Streams::State::failCalls(Peer &peer, const std::function<Error(const Call &)> &error)
{
    while (!peer.calls.empty()) {
        const auto first = peer.calls.begin();
        completeCall(peer, first->first, capturedFailure(error(first->second)));
    }
}

// Polls until all replies have been written, then reports the end of the drain.
void Streams::State::checkDrained()
{
    if (!onDrained) {
        return;
    }
    const bool allDrained = std::all_of(accepted.begin(), accepted.end(),
                                        [](const auto &connection) { return connection->isDrained(); });
    if (pendingReplies == 0 && allDrained) {
        std::exchange(onDrained, nullptr)();
        return;
    }
    drainTimer.expires_after(drainPollInterval);
    drainTimer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->checkDrained();
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
    BOOST_LEAF_CHECK(m_state->loadTlsFiles());
    BOOST_LEAF_CHECK(m_state->listen());
    return {};
}

void Streams::drain(std::function<void()> done)
{
    asio::error_code ignored;
    m_state->acceptor.close(ignored);
    m_state->onDrained = std::move(done);
    m_state->draining = true;
    const auto connections = m_state->accepted;
    for (const auto &connection : connections) {
        connection->rejectNewStreams();
    }
    m_state->checkDrained();
}

void Streams::stop()
{
    if (!m_state->closed) {
        m_state->close();
    }
}

void Streams::reload()
{
    handleError([&] { return m_state->loadTlsFiles(); },
                [](const Error &error) {
                    streamsLog().error("TLS files not reloaded, the previous keys stay in use: {}",
                                       error.text);
                });
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
    return error ? m_state->options.listen : detail::fromAsioEndpoint(endpoint);
}

const StreamsTotals &Streams::totals() const
{
    return m_state->totals;
}

} // namespace oriolelever
