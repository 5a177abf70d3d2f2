#include "http2.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

namespace oriolelever::detail {

namespace {

constexpr std::uint32_t windowBytes = 1 << 20; ///< Flow control, of each stream and of the connection.

nghttp2_nv header(std::string_view name, std::string_view value)
{
    // nghttp2 copies name and value; the pointers in its structure lack const.
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

Http2Session *toSession(void *userData)
{
    return static_cast<Http2Session *>(userData);
}

} // namespace

Http2Session::Http2Session(const Http2Options &options, Http2Events events)
    : m_options(options)
    , m_events(std::move(events))
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onClose);
    if (m_options.server) {
        nghttp2_session_server_new(&m_session, callbacks, this);
    } else {
        nghttp2_session_client_new(&m_session, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    const std::array<nghttp2_settings_entry, 2> settings = {{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_options.maxConcurrentStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, windowBytes},
    }};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, windowBytes);
}

Http2Session::~Http2Session()
{
    nghttp2_session_del(m_session);
}

Http2Session::Stream *Http2Session::find(StreamId stream)
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? nullptr : &found->second;
}

StreamId Http2Session::submitRequest(const std::string &path, std::string body)
{
    // After the peer's GOAWAY, nghttp2 would accept the request but never send it.
    if (nghttp2_session_check_request_allowed(m_session) == 0) {
        return NGHTTP2_ERR_START_STREAM_NOT_ALLOWED;
    }
    const std::array<nghttp2_nv, 4> headers = {header(":method", "POST"), header(":scheme", "http"),
                                               header(":authority", "oriolelever"), header(":path", path)};
    nghttp2_data_provider provider{};
    provider.read_callback = readBody;
    const auto stream
        = nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (stream > 0) {
        m_streams[stream].outgoingBody = std::move(body);
    }
    return stream;
}

void Http2Session::submitResponse(StreamId stream, int status, std::string body)
{
    auto *const entry = find(stream);
    if (entry == nullptr) {
        return;
    }
    entry->outgoingBody = std::move(body);
    const auto text = std::to_string(status);
    const std::array<nghttp2_nv, 1> headers = {header(":status", text)};
    nghttp2_data_provider provider{};
    provider.read_callback = readBody;
    nghttp2_submit_response(m_session, stream, headers.data(), headers.size(), &provider);
}

void Http2Session::cancel(StreamId stream)
{
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
}

void Http2Session::ping()
{
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
}

void Http2Session::goAway()
{
    nghttp2_submit_shutdown_notice(m_session);
    nghttp2_submit_goaway(m_session, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(m_session),
                          NGHTTP2_NO_ERROR, nullptr, 0);
}

bool Http2Session::receive(const std::uint8_t *data, std::size_t size)
{
    return nghttp2_session_mem_recv(m_session, data, size) == static_cast<ssize_t>(size);
}

bool Http2Session::appendOutput(std::string &out, std::size_t limit)
{
    while (out.size() < limit) {
        const std::uint8_t *data = nullptr;
        const auto size = nghttp2_session_mem_send(m_session, &data);
        if (size < 0) {
            return false;
        }
        if (size == 0) {
            break;
        }
        out.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(size));
    }
    return true;
}

bool Http2Session::isFinished() const
{
    return nghttp2_session_want_read(m_session) == 0 && nghttp2_session_want_write(m_session) == 0;
}

int Http2Session::onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *userData)
{
    auto *const session = toSession(userData);
    if (session->m_options.server && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
        session->m_streams[frame->hd.stream_id];
    }
    return 0;
}

int Http2Session::onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                           std::size_t nameLength, const std::uint8_t *value, std::size_t valueLength,
                           std::uint8_t, void *userData)
{
    auto *const stream = toSession(userData)->find(frame->hd.stream_id);
    if (stream == nullptr) {
        return 0;
    }
    const std::string_view key(reinterpret_cast<const char *>(name), nameLength);
    const std::string_view text(reinterpret_cast<const char *>(value), valueLength);
    if (key == ":path") {
        stream->path = text;
    } else if (key == ":status") {
        std::from_chars(text.data(), text.data() + text.size(), stream->status);
    }
    return 0;
}

int Http2Session::onData(nghttp2_session *nghttp2Session, std::uint8_t, std::int32_t id,
                         const std::uint8_t *data, std::size_t size, void *userData)
{
    auto *const session = toSession(userData);
    auto *const stream = session->find(id);
    if (stream == nullptr) {
        return 0;
    }
    // REFUSED_STREAM lets the peer know that the message was not processed.
    if (stream->receivedBody.size() + size > session->m_options.maxMessageBytes) {
        nghttp2_submit_rst_stream(nghttp2Session, NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
        session->m_streams.erase(id);
        session->m_events.oversized();
        return 0;
    }
    stream->receivedBody.append(reinterpret_cast<const char *>(data), size);
    return 0;
}

int Http2Session::onFrame(nghttp2_session *, const nghttp2_frame *frame, void *userData)
{
    const bool carriesMessage = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (!carriesMessage || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
        return 0;
    }
    auto *const session = toSession(userData);
    auto *const stream = session->find(frame->hd.stream_id);
    if (stream == nullptr) {
        return 0;
    }
    stream->endReceived = true;
    if (session->m_options.server) {
        session->m_events.request(frame->hd.stream_id, std::move(stream->path),
                                  std::move(stream->receivedBody));
    }
    return 0;
}

int Http2Session::onClose(nghttp2_session *, std::int32_t id, std::uint32_t error, void *userData)
{
    auto *const session = toSession(userData);
    auto *const found = session->find(id);
    if (session->m_options.server) {
        session->m_streams.erase(id);
        session->m_events.closed(id);
        return 0;
    }
    if (found == nullptr) {
        session->m_events.response(id, StreamEnd::Lost, 0, {});
        return 0;
    }
    auto stream = std::move(*found);
    session->m_streams.erase(id);
    const auto end = stream.endReceived   ? StreamEnd::Complete
        : error == NGHTTP2_REFUSED_STREAM ? StreamEnd::Refused
                                          : StreamEnd::Lost;
    session->m_events.response(id, end, stream.status, std::move(stream.receivedBody));
    return 0;
}

// Copies the next bytes of `outgoingBody` into a DATA frame.
ssize_t Http2Session::readBody(nghttp2_session *, std::int32_t id, std::uint8_t *out, std::size_t size,
                               std::uint32_t *flags, nghttp2_data_source *, void *userData)
{
    auto *const stream = toSession(userData)->find(id);
    if (stream == nullptr) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    const auto count = std::min(size, stream->outgoingBody.size() - stream->sentBytes);
    std::memcpy(out, stream->outgoingBody.data() + stream->sentBytes, count);
    stream->sentBytes += count;
    if (stream->sentBytes == stream->outgoingBody.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

} // namespace oriolelever::detail
