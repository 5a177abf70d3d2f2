#include "connection.h"

#include <asio/write.hpp>

namespace oriolelever::detail {

namespace {

constexpr std::size_t maxWriteBytes = 64 * 1024; ///< Target size of one write to the socket.

std::string describeFileError(const asio::error_code &error, const std::string &file)
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
        return fail(Code::FileUnreadable, describeFileError(error, options.certificate));
    }
    context->use_private_key_file(options.privateKey, asio::ssl::context::pem, error);
    if (error) {
        return fail(Code::FileUnreadable, describeFileError(error, options.privateKey));
    }
    context->load_verify_file(options.authority, error);
    if (error) {
        return fail(Code::FileUnreadable, describeFileError(error, options.authority));
    }
    context->set_verify_mode(asio::ssl::verify_peer | asio::ssl::verify_fail_if_no_peer_cert);
    return context;
}

Tcp::endpoint toAsioEndpoint(const Endpoint &endpoint)
{
    if (endpoint.address.isV4()) {
        asio::ip::address_v4::bytes_type bytes{};
        std::copy(endpoint.address.bytes.begin() + 12, endpoint.address.bytes.end(), bytes.begin());
        return {asio::ip::address_v4(bytes), endpoint.port};
    }
    return {asio::ip::address_v6(endpoint.address.bytes), endpoint.port};
}

Endpoint fromAsioEndpoint(const Tcp::endpoint &endpoint)
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

void Connection::setCallbacks(Hooks hooks, Http2Events events)
{
    m_hooks = std::move(hooks);
    m_session
        = std::make_unique<Http2Session>(Http2Options{.server = m_server,
                                                      .maxMessageBytes = m_options.maxMessageBytes,
                                                      .maxConcurrentStreams = m_options.maxConcurrentStreams},
                                         std::move(events));
}

// Limits the time for connect and handshake: a peer may neither refuse nor answer.
void Connection::startOpenTimeout()
{
    m_timer.expires_after(m_options.connectTimeout);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error && !self->m_established) {
            self->handleOpenFailure();
        }
    });
}

void Connection::accept()
{
    startOpenTimeout();
    handshake([self = shared_from_this()](const asio::error_code &error) {
        if (error) {
            self->handleOpenFailure();
        } else {
            self->handleOpened();
        }
    });
}

void Connection::connect(const Endpoint &peer)
{
    startOpenTimeout();
    m_socket.async_connect(toAsioEndpoint(peer), [self = shared_from_this()](const asio::error_code &error) {
        if (error) {
            self->handleOpenFailure();
            return;
        }
        self->handshake([self](const asio::error_code &failed) {
            if (failed) {
                self->handleOpenFailure();
            } else {
                self->handleOpened();
            }
        });
    });
}

void Connection::handleOpenFailure()
{
    if (m_closed || m_established) {
        return;
    }
    close();
    m_hooks.openCompleted(false);
}

void Connection::handleOpened()
{
    if (m_closed) {
        return;
    }
    m_established = true;
    asio::error_code ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
    recordCall();
    checkLiveness();
    m_hooks.openCompleted(true);
    flush();
    read();
}

void Connection::rejectNewStreams()
{
    if (m_established && !m_closed) {
        m_session->goAway();
        flush();
    }
}

bool Connection::isDrained() const
{
    return m_closed || !m_established || (!m_writing && m_session->openStreams() == 0);
}

void Connection::recordCall()
{
    m_lastCallTime = std::chrono::steady_clock::now();
}

void Connection::read()
{
    readSome([self = shared_from_this()](const asio::error_code &error, std::size_t size) {
        if (error || self->m_closed) {
            self->close();
            return;
        }
        self->m_receivedSinceCheck = true;
        self->m_hooks.transferred(size, 0);
        self->m_inReceive = true;
        const bool valid = self->m_session->receive(self->m_input.data(), size);
        self->m_inReceive = false;
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
    if (m_inReceive || m_writing || m_closed || !m_established) {
        return;
    }
    m_output.clear();
    if (!m_session->appendOutput(m_output, maxWriteBytes)) {
        close();
        return;
    }
    if (m_output.empty()) {
        if (m_session->isFinished()) {
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
        self->m_hooks.transferred(0, size);
        self->flush();
    });
}

void Connection::checkLiveness()
{
    m_timer.expires_after(m_options.keepaliveInterval);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (error || self->m_closed) {
            return;
        }
        const bool idle = self->m_session->openStreams() == 0
            && std::chrono::steady_clock::now() - self->m_lastCallTime > self->m_options.idleTimeout;
        const bool pingUnanswered = self->m_pingSent && !self->m_receivedSinceCheck;
        if (pingUnanswered || idle) {
            self->close();
            return;
        }
        self->m_pingSent = !self->m_receivedSinceCheck;
        self->m_receivedSinceCheck = false;
        if (self->m_pingSent) {
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
    if (m_established) {
        m_hooks.closed();
    }
}

} // namespace oriolelever::detail
