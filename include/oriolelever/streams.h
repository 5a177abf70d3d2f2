/// Remote calls between processes of the system: nghttp2 streams over TCP, with mutual TLS unless the
/// settings allow unencrypted connections.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "oriolelever/codes.h"
#include "oriolelever/kernel.h"
#include "oriolelever/settings.h"
#include "oriolelever/types.h"

namespace oriolelever {

/// TLS files of one process, in PEM format.
struct TlsOptions
{
    bool plain = false; ///< Disables TLS; the files are then ignored.
    std::string certificate; ///< File with the certificate chain of this process.
    std::string privateKey; ///< File with the private key of this process.
    /// File with the CA certificate. Every process with a certificate of this CA is accepted as a peer.
    std::string authority;
};

struct StreamsOptions
{
    Endpoint listen; ///< Address to listen on; port 0 selects a free port.
    TlsOptions tls;
    std::size_t maxMessageBytes = 1 << 20; ///< Of a request's or an answer's body.
    std::uint32_t maxConcurrentStreams = 128; ///< Calls on each connection at the same time.
    std::size_t maxConnections = 2048; ///< Accepted connections.
    std::chrono::milliseconds connectTimeout{1000}; ///< Includes the TLS handshake.
    /// A connection that receives nothing for this time is pinged, and closed if nothing arrives for as long
    /// again.
    std::chrono::milliseconds keepaliveInterval{5000};
    std::chrono::milliseconds idleTimeout{60000}; ///< A connection without calls for this time is closed.
    std::chrono::milliseconds minBackoff{50}; ///< Before the second attempt to connect.
    std::chrono::milliseconds maxBackoff{3000}; ///< The delay doubles up to this value.
};

/// Options of the control port, from `[control]`.
StreamsOptions controlStreamsOptions(const Settings &settings);

/// Counts since the start of an instance.
struct StreamsTotals
{
    std::uint64_t callsSent = 0;
    std::uint64_t callsReceived = 0;
    std::uint64_t bytesSent = 0; ///< Before encryption.
    std::uint64_t bytesReceived = 0; ///< After decryption.
    std::uint64_t refused = 0; ///< Oversized messages, connections over the limit, failed handshakes.
};

/// Server and client of one process. Not thread-safe; callbacks run on the thread of the io_context.
///
/// Results passed to callbacks contain their error until `handleError` handles it.
///
///     streams.handle("/digest", [](std::string body, Streams::Reply reply) { reply(answer(body)); });
///     streams.call(peer, "/digest", body, 2s, [](Result<std::string> answer) { ... });
class Streams : public Service
{
public:
    /// Answers a call. Only the first use has an effect, and none once the calling process has cancelled.
    class Reply
    {
    public:
        explicit Reply(std::function<void(int status, std::string body)> send)
            : m_send(std::move(send))
        {
        }

        void operator()(std::string answer) const;
        void operator()(const Error &error) const;

    private:
        std::function<void(int status, std::string body)> m_send;
    };

    /// Handles a call; `reply` may be used later.
    using Handler = std::function<void(std::string body, Reply reply)>;
    /// Receives the answer or the error of a call.
    using Done = std::function<void(Result<std::string>)>;

    Streams(asio::io_context &context, StreamsOptions options);
    ~Streams() override;

    Result<void> start(Kernel &kernel) override;
    /// Starts without a kernel. Fails with `AddressInUse`, `SocketFailed`, `SettingMissing` or
    /// `FileUnreadable`.
    Result<void> open();
    /// Stops accepting connections and refuses new calls; calls `done` when all accepted calls are answered.
    void drain(std::function<void()> done) override;
    /// Closes all connections and discards the unfinished calls without running their callbacks.
    void stop() override;
    /// Reloads the TLS files, for new connections only; keeps the old keys if a file is unreadable.
    void reload() override;

    /// Sets the handler of calls to `path`, for instance "/records".
    void handle(std::string path, Handler handler);

    /// Calls `path` of the process at `peer`; `done` is called once, never from within `call`.
    /// Errors: `PeerUnreachable` and `PeerRefused` if the peer did not run the call, `OutcomeUnknown` if the
    /// answer was lost or did not arrive in time, or the code that the peer's handler replied with.
    void call(const Endpoint &peer, std::string path, std::string body, std::chrono::milliseconds timeout,
              Done done);

    /// The address and port that the listener is bound to.
    Endpoint listenEndpoint() const;
    const StreamsTotals &totals() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oriolelever
