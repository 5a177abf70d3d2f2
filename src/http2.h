/// HTTP/2 framing of one connection by nghttp2, without I/O.
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

/// How a stream of a client ended.
enum class StreamEnd { Whole, Refused, Lost };

struct Http2Events
{
    /// Server: a whole request has come.
    std::function<void(StreamId, std::string path, std::string body)> request;
    /// Client: a stream ended; status and body are valid only when it is whole.
    std::function<void(StreamId, StreamEnd, int status, std::string body)> response;
    /// Server: a stream is closed.
    std::function<void(StreamId)> closed;
    /// A message was over the size limit.
    std::function<void()> oversized;
};

struct Http2Options
{
    bool server = false;
    std::size_t maxMessageBytes = 0;
    std::uint32_t maxOpenStreams = 0;
};

class Http2Session
{
public:
    Http2Session(const Http2Options &options, Http2Events events);
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    /// Returns the new stream, or a negative nghttp2 error.
    StreamId submitRequest(const std::string &path, std::string body);
    void submitResponse(StreamId stream, int status, std::string body);
    void cancel(StreamId stream);
    void ping();
    void goAway();

    /// False when the peer broke the protocol.
    bool receive(const std::uint8_t *data, std::size_t size);
    /// Appends what has to be sent next; false on a fault.
    bool takeOutput(std::string &out, std::size_t limit);
    bool wantsToGo() const;

    std::size_t openStreams() const
    {
        return m_streams.size();
    }

private:
    struct Stream
    {
        std::string path;
        std::string received;
        std::string toSend;
        std::size_t sent = 0;
        int status = 0;
        bool whole = false;
    };

    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                        std::size_t nameLength, const std::uint8_t *value, std::size_t valueLength,
                        std::uint8_t flags, void *self);
    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *self);
    static int onData(nghttp2_session *, std::uint8_t flags, std::int32_t stream, const std::uint8_t *data,
                      std::size_t size, void *self);
    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *self);
    static int onClose(nghttp2_session *, std::int32_t stream, std::uint32_t error, void *self);
    static ssize_t readBody(nghttp2_session *, std::int32_t stream, std::uint8_t *out, std::size_t size,
                            std::uint32_t *flags, nghttp2_data_source *source, void *self);

    Stream *find(StreamId stream);

    Http2Options m_options;
    Http2Events m_events;
    nghttp2_session *m_session = nullptr;
    std::unordered_map<StreamId, Stream> m_streams;
};

} // namespace oriolelever::detail
