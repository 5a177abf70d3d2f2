/// One TCP connection that carries HTTP/2 streams, plain or over TLS.
#pragma once

#include <array>
#include <functional>
#include <memory>

#include <asio/ip/tcp.hpp>
#include <asio/ssl/context.hpp>
#include <asio/ssl/stream.hpp>
#include <asio/steady_timer.hpp>

#include "http2.h"
#include "oriolelever/streams.h"

namespace oriolelever::detail {

using Tcp = asio::ip::tcp;
using TlsContext = std::shared_ptr<asio::ssl::context>;

/// Returns the TLS context of a server or a client; null if `options.plain` is set.
Result<TlsContext> makeTlsContext(const TlsOptions &options, bool server);

Tcp::endpoint toAsioEndpoint(const Endpoint &endpoint);
Endpoint fromAsioEndpoint(const Tcp::endpoint &endpoint);

/// Transfers bytes between a socket and an `Http2Session`. Closes itself when the peer does not respond, or
/// when no call was made for `StreamsOptions::idleTimeout`.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    struct Hooks
    {
        std::function<void(bool established)> openCompleted; ///< Connect and handshake succeeded or failed.
        std::function<void()> closed; ///< Called once for each established connection.
        std::function<void(std::size_t in, std::size_t out)> transferred; ///< Bytes read, bytes written.
    };

    Connection(Tcp::socket socket, TlsContext tls, const StreamsOptions &options, bool server);

    /// Sets the callbacks and creates the session; must precede `accept` and `connect`.
    void setCallbacks(Hooks hooks, Http2Events events);
    /// Performs the server's handshake.
    void accept();
    /// Connects to `peer` and performs the client's handshake.
    void connect(const Endpoint &peer);
    void close();

    Http2Session &session()
    {
        return *m_session;
    }

    /// Writes the session's pending output.
    void flush();
    /// Sends GOAWAY, so that the peer knows that streams which it opens later are not processed.
    void rejectNewStreams();

    /// True if no stream is open and all output was passed to the socket, or if the connection is not open.
    bool isDrained() const;

    /// Records the time of a call, which defers closing the connection as idle.
    void recordCall();

private:
    template<typename Handler>
    void handshake(Handler handler);
    template<typename Handler>
    void readSome(Handler handler);
    template<typename Handler>
    void writeAll(Handler handler);

    void startOpenTimeout();
    void handleOpened();
    void handleOpenFailure();
    void read();
    /// Runs every `keepaliveInterval`: pings a peer that sent nothing, and closes unresponsive and idle
    /// connections.
    void checkLiveness();

    Tcp::socket m_socket;
    TlsContext m_tls; ///< Null without TLS.
    std::unique_ptr<asio::ssl::stream<Tcp::socket &>> m_tlsStream;
    StreamsOptions m_options;
    bool m_server = false;
    Hooks m_hooks;
    std::unique_ptr<Http2Session> m_session;
    asio::steady_timer m_timer; ///< Until established: connect timeout; then: next liveness check.
    std::array<std::uint8_t, 8192> m_input{};
    std::string m_output;
    TimePoint m_lastCallTime; ///< Initially the time when the connection was established.
    bool m_receivedSinceCheck = false; ///< Bytes arrived since the last liveness check.
    bool m_pingSent = false; ///< The last liveness check sent a ping.
    bool m_established = false; ///< Connect and handshake succeeded.
    bool m_closed = false;
    bool m_inReceive = false; ///< `Http2Session::receive` is running; `flush` waits until it returns.
    bool m_writing = false; ///< A write to the socket is in progress.
};

} // namespace oriolelever::detail
