#include "connection.h"

#include <asio/write.hpp>

namespace oriolelever::detail {

namespace {

constexpr std::size_t maxWriteBytes = 64 * 1024;

std::string opensslText(const asio::error_code &error, const std::string &file)
{
    return "file \"" + file + "\": " + error.message();
}

} // namespace

Result<TlsContext> makeTlsContext(const TlsOptions &options, bool server)
{
    if (options.plain) {
        return TlsContext();
    }
    auto context = std::make_shared<asio::ssl::context>(server ? asio::ssl::context::tlsv13_server
                                                               : asio::ssl::context::tlsv13_client);
    asio::error_code error;
    context->use_certificate_chain_file(options.certificate, error);
    if (error) {
        return fail(Code::FileUnreadable, opensslText(error, options.certificate));
    }
    context->use_private_key_file(options.privateKey, asio::ssl::context::pem, error);
    if (error) {
        return fail(Code::FileUnreadable, opensslText(error, options.privateKey));
    }
    context->load_verify_file(options.authority, error);
    if (error) {
        return fail(Code::FileUnreadable, opensslText(error, options.authority));
    }
    context->set_verify_mode(asio::ssl::verify_peer | asio::ssl::verify_fail_if_no_peer_cert);
    return context;
}

Tcp::endpoint toTcp(const Endpoint &endpoint)
{
    if (endpoint.address.isV4()) {
        asio::ip::address_v4::bytes_type bytes{};
        std::copy(endpoint.address.bytes.begin() + 12, endpoint.address.bytes.end(), bytes.begin());
        return {asio::ip::address_v4(bytes), endpoint.port};
    }
    return {asio::ip::address_v6(endpoint.address.bytes), endpoint.port};
}

Endpoint fromTcp(const Tcp::endpoint &endpoint)
{
    Endpoint result;
    parseIpAddress(endpoint.address().to_string(), result.address);
    result.port = endpoint.port();
    return result;
}

Connection::Connection(Tcp::socket socket, TlsContext tls, const StreamsOptions &options, bool server)
    : m_socket(std::move(socket))
    , m_tls(std::move(tls))
    , m_options(options)
    , m_server(server)
    , m_timer(m_socket.get_executor())
{
    if (m_tls != nullptr) {
        m_tlsStream = std::make_unique<asio::ssl::stream<Tcp::socket &>>(m_socket, *m_tls);
    }
}

template<typename Handler>
void Connection::handshake(Handler handler)
{
    if (m_tlsStream == nullptr) {
        handler(asio::error_code());
        return;
    }
    m_tlsStream->async_handshake(m_server ? asio::ssl::stream_base::server : asio::ssl::stream_base::client,
                                 std::move(handler));
}

template<typename Handler>
void Connection::readSome(Handler handler)
{
    if (m_tlsStream == nullptr) {
        m_socket.async_read_some(asio::buffer(m_input), std::move(handler));
    } else {
        m_tlsStream->async_read_some(asio::buffer(m_input), std::move(handler));
    }
}

template<typename Handler>
void Connection::writeAll(Handler handler)
{
    if (m_tlsStream == nullptr) {
        asio::async_write(m_socket, asio::buffer(m_output), std::move(handler));
    } else {
        asio::async_write(*m_tlsStream, asio::buffer(m_output), std::move(handler));
    }
}

void Connection::attach(Hooks hooks, Http2Events events)
{
    m_hooks = std::move(hooks);
    m_session = std::make_unique<Http2Session>(Http2Options{.server = m_server,
                                                            .maxMessageBytes = m_options.maxMessageBytes,
                                                            .maxOpenStreams = m_options.maxOpenStreams},
                                               std::move(events));
}

// A peer that neither refuses nor answers must not hold the connection open.
void Connection::limitOpening()
{
    m_timer.expires_after(m_options.connectTimeout);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error && !self->m_open) {
            self->failedToOpen();
        }
    });
}

void Connection::accept()
{
    limitOpening();
    handshake([self = shared_from_this()](const asio::error_code &error) {
        if (error) {
            self->failedToOpen();
        } else {
            self->established();
        }
    });
}

void Connection::connect(const Endpoint &peer)
{
    limitOpening();
    m_socket.async_connect(toTcp(peer), [self = shared_from_this()](const asio::error_code &error) {
        if (error) {
            self->failedToOpen();
            return;
        }
        self->handshake([self](const asio::error_code &failed) {
            if (failed) {
                self->failedToOpen();
            } else {
                self->established();
            }
        });
    });
}

void Connection::failedToOpen()
{
    if (m_closed || m_open) {
        return;
    }
    close();
    m_hooks.opened(false);
}

void Connection::established()
{
    if (m_closed) {
        return;
    }
    m_open = true;
    asio::error_code ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
    touch();
    checkLiveness();
    m_hooks.opened(true);
    flush();
    read();
}

void Connection::refuseNew()
{
    if (m_open && !m_closed) {
        m_session->goAway();
        flush();
    }
}

bool Connection::isQuiet() const
{
    return m_closed || !m_open || (!m_writing && m_session->openStreams() == 0);
}

void Connection::touch()
{
    m_lastCall = std::chrono::steady_clock::now();
}

void Connection::read()
{
    readSome([self = shared_from_this()](const asio::error_code &error, std::size_t size) {
        if (error || self->m_closed) {
            self->close();
            return;
        }
        self->m_heard = true;
        self->m_hooks.moved(size, 0);
        self->m_receiving = true;
        const bool valid = self->m_session->receive(self->m_input.data(), size);
        self->m_receiving = false;
        if (!valid) {
            self->close();
            return;
        }
        self->flush();
        self->read();
    });
}

void Connection::flush()
{
    if (m_receiving || m_writing || m_closed || !m_open) {
        return;
    }
    m_output.clear();
    if (!m_session->takeOutput(m_output, maxWriteBytes)) {
        close();
        return;
    }
    if (m_output.empty()) {
        if (m_session->wantsToGo()) {
            close();
        }
        return;
    }
    m_writing = true;
    writeAll([self = shared_from_this()](const asio::error_code &error, std::size_t size) {
        self->m_writing = false;
        if (error) {
            self->close();
            return;
        }
        self->m_hooks.moved(0, size);
        self->flush();
    });
}

void Connection::checkLiveness()
{
    m_timer.expires_after(m_options.keepalive);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (error || self->m_closed) {
            return;
        }
        const bool idle = self->m_session->openStreams() == 0
            && std::chrono::steady_clock::now() - self->m_lastCall > self->m_options.idleLimit;
        const bool silent = self->m_pinged && !self->m_heard;
        if (silent || idle) {
            self->close();
            return;
        }
        self->m_pinged = !self->m_heard;
        self->m_heard = false;
        if (self->m_pinged) {
            self->m_session->ping();
            self->flush();
        }
        self->checkLiveness();
    });
}

void Connection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_timer.cancel();
    asio::error_code ignored;
    m_socket.close(ignored);
    if (m_open) {
        m_hooks.closed();
    }
}

} // namespace oriolelever::detail
