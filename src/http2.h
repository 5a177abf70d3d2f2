/// HTTP/2 framing of one connection, on nghttp2, without I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include <nghttp2/nghttp2.h>

namespace oriolelever::detail {

using StreamId = std::int32_t;

/// How a client's stream ended.
enum class StreamEnd {
    Complete, ///< The complete response was received.
    Refused, ///< The server did not process the request.
    Lost ///< No complete response was received; the server may have processed the request.
};

/// Callbacks of a session. Called from within `Http2Session::receive` and `Http2Session::appendOutput`.
struct Http2Events
{
    /// Server: a complete request was received.
    std::function<void(StreamId, std::string path, std::string body)> request;
    /// Client: a stream ended; status and body are valid only for `StreamEnd::Complete`.
    std::function<void(StreamId, StreamEnd, int status, std::string body)> response;
    /// Server: a stream was closed.
    std::function<void(StreamId)> closed;
    /// A received message exceeded the size limit; its stream was reset.
    std::function<void()> oversized;
};

struct Http2Options
{
    bool server = false; ///< Otherwise the session is a client.
    std::size_t maxMessageBytes = 0; ///< Of a received body.
    std::uint32_t maxConcurrentStreams = 0; ///< Opened by the peer.
};

/// State of one HTTP/2 connection: received bytes go into `receive`, bytes to send come from `appendOutput`.
class Http2Session
{
public:
    Http2Session(const Http2Options &options, Http2Events events);
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    /// Returns the new stream, or a negative nghttp2 error.
    StreamId submitRequest(const std::string &path, std::string body);
    /// Ignored if the stream is closed.
    void submitResponse(StreamId stream, int status, std::string body);
    /// Resets the stream.
    void cancel(StreamId stream);
    void ping();
    /// Sends GOAWAY: streams that the peer opens later are not processed.
    void goAway();

    /// Processes received bytes; false if the peer violated the protocol.
    bool receive(const std::uint8_t *data, std::size_t size);
    /// Appends bytes to send until `out` has at least `limit` bytes; false if nghttp2 failed.
    bool appendOutput(std::string &out, std::size_t limit);
    /// True if the session expects no more input and has no more output.
    bool isFinished() const;

    std::size_t openStreams() const
    {
        return m_streams.size();
    }

private:
    struct Stream
    {
        std::string path; ///< Server: of the request.
        std::string receivedBody;
        std::string outgoingBody;
        std::size_t sentBytes = 0; ///< Of `outgoingBody`, passed to nghttp2.
        int status = 0; ///< Client: of the response.
        bool endReceived = false; ///< The peer's message is complete.
    };

    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                        std::size_t nameLength, const std::uint8_t *value, std::size_t valueLength,
                        std::uint8_t flags, void *userData);
    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *userData);
    static int onData(nghttp2_session *, std::uint8_t flags, std::int32_t stream, const std::uint8_t *data,
                      std::size_t size, void *userData);
    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *userData);
    static int onClose(nghttp2_session *, std::int32_t stream, std::uint32_t error, void *userData);
    static ssize_t readBody(nghttp2_session *, std::int32_t stream, std::uint8_t *out, std::size_t size,
                            std::uint32_t *flags, nghttp2_data_source *source, void *userData);

    Stream *find(StreamId stream);

    Http2Options m_options;
    Http2Events m_events;
    nghttp2_session *m_session = nullptr;
    std::unordered_map<StreamId, Stream> m_streams;
};

} // namespace oriolelever::detail
