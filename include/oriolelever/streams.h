/// Calls between processes of the system: nghttp2 streams over TCP, with mutual TLS unless settings allow
/// plain.
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

/// Keys of one process; all files are PEM.
struct TlsOptions
{
    bool plain = false; ///< No TLS.
    std::string certificate; ///< Chain of this process.
    std::string privateKey;
    std::string authority; ///< Whoever presents a certificate of this authority is a peer.
};

struct StreamsOptions
{
    Endpoint listen; ///< Address to listen on; port 0 takes a free one.
    TlsOptions tls;
    std::size_t maxMessageBytes = 1 << 20;
    std::uint32_t maxOpenStreams = 128; ///< On each connection.
    std::size_t maxConnections = 2048; ///< Accepted ones.
    std::chrono::milliseconds connectTimeout{1000};
    std::chrono::milliseconds keepalive{5000}; ///< A connection without an answer for this long is closed.
    std::chrono::milliseconds idleLimit{60000}; ///< A connection without calls for this long is closed.
    std::chrono::milliseconds minBackoff{50}; ///< Before the second attempt to connect.
    std::chrono::milliseconds maxBackoff{3000};
};

/// Options of the control port, from `[control]`.
StreamsOptions controlStreamsOptions(const Settings &settings);

/// What an instance has sent and received since its start.
struct StreamsTotals
{
    std::uint64_t callsOut = 0;
    std::uint64_t callsIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t refused = 0; ///< Messages over a limit, connections over the limit, failed handshakes.
};

/// Server and client of one port. All calls and callbacks on the thread of the given io_context.
///
/// Results passed to callbacks keep their error until they are handled by `handleError`.
///
///     streams.handle("/digest", [](std::string body, Streams::Reply reply) { reply(answer(body)); });
///     streams.call(peer, "/digest", body, 2s, [](Result<std::string> answer) { ... });
class Streams : public Service
{
public:
    /// Ends a call; only the first use counts, and none after the caller gave up.
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

    using Handler = std::function<void(std::string body, Reply reply)>;
    using Done = std::function<void(Result<std::string>)>;

    Streams(asio::io_context &context, StreamsOptions options);
    ~Streams() override;

    Result<void> start(Kernel &kernel) override;
    /// Starts without a kernel. Fails with `AddressInUse`, `SocketFailed`, `SettingMissing` or
    /// `FileUnreadable`.
    Result<void> open();
    void drain(std::function<void()> done) override;
    void stop() override;
    /// Reads the TLS files again; keeps the old keys when they cannot be read.
    void reload() override;

    /// Sets the handler of a path, for instance "/records".
    void handle(std::string path, Handler handler);

    /// Calls `path` of the process at `peer`; `done` is called once, never from within `call`.
    /// Errors: `PeerUnreachable` and `PeerRefused` when the peer did not run the call, `OutcomeUnknown` when
    /// the answer was lost or late, or the code that the peer's handler replied with.
    void call(const Endpoint &peer, std::string path, std::string body, std::chrono::milliseconds timeout,
              Done done);

    /// The endpoint that is listened on.
    Endpoint listenEndpoint() const;
    const StreamsTotals &totals() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oriolelever
