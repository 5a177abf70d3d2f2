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

/// TLS context of one side; null when `options.plain`.
Result<TlsContext> makeTlsContext(const TlsOptions &options, bool server);

Tcp::endpoint toTcp(const Endpoint &endpoint);
Endpoint fromTcp(const Tcp::endpoint &endpoint);

/// Moves bytes between a socket and an `Http2Session`.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    struct Hooks
    {
        std::function<void(bool established)> opened; ///< Connect and handshake ended.
        std::function<void()> closed; ///< Called once for each established connection.
        std::function<void(std::size_t in, std::size_t out)> moved;
    };

    Connection(Tcp::socket socket, TlsContext tls, const StreamsOptions &options, bool server);

    /// Sets who hears of the connection and of its streams; call before `accept` or `connect`.
    void attach(Hooks hooks, Http2Events events);
    void accept();
    void connect(const Endpoint &peer);
    void close();

    Http2Session &session()
    {
        return *m_session;
    }

    /// Sends what the session has to send.
    void flush();
    /// Tells the peer that no further stream is served. The peer knows later ones for not run.
    void refuseNew();

    /// No stream is open, and all that was to be sent has been handed to the socket.
    bool isQuiet() const;

    /// Notes a call, which keeps the connection from being closed as idle.
    void touch();

private:
    template<typename Handler>
    void handshake(Handler handler);
    template<typename Handler>
    void readSome(Handler handler);
    template<typename Handler>
    void writeAll(Handler handler);

    void limitOpening();
    void established();
    void failedToOpen();
    void read();
    void checkLiveness();

    Tcp::socket m_socket;
    TlsContext m_tls;
    std::unique_ptr<asio::ssl::stream<Tcp::socket &>> m_tlsStream;
    StreamsOptions m_options;
    bool m_server = false;
    Hooks m_hooks;
    std::unique_ptr<Http2Session> m_session;
    asio::steady_timer m_timer;
    std::array<std::uint8_t, 8192> m_input{};
    std::string m_output;
    TimePoint m_lastCall;
    bool m_heard = false; ///< Since the last liveness check.
    bool m_pinged = false;
    bool m_open = false;
    bool m_closed = false;
    bool m_receiving = false;
    bool m_writing = false;
};

} // namespace oriolelever::detail
