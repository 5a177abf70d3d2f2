#include "oriolelever/http-client.h"

#include <deque>
#include <strings.h>
#include <utility>

#include <netinet/tcp.h>

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <http_parser.h>

#include "oriolelever/sockets.h"

namespace oriolelever {

namespace {

constexpr std::size_t readBufferBytes = 16'384;
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;

void setSocketOptions(int socket, std::chrono::milliseconds tcpUserTimeout)
{
    const auto set = [socket](int level, int option, int value) {
        // An unsupported option is no error: the call's own timeout still applies.
        [[maybe_unused]] const int ignored = ::setsockopt(socket, level, option, &value, sizeof(value));
    };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(tcpUserTimeout.count()));
}

} // namespace

class HttpClient::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(asio::io_context &context, const HttpClientOptions &options)
        : m_context(context)
        , m_options(options)
        , m_timer(context)
        , m_address(asio::ip::make_address(toString(options.server.address)), options.server.port)
        , m_host(toString(options.server))
    {
    }

    void enqueue(HttpCall call)
    {
        m_queue.push_back(std::move(call));
        if (!m_busy) {
            m_busy = true;
            asio::post(m_context, [self = shared_from_this()] { self->startNextCall(); });
        }
    }

    void abortCall()
    {
        asio::post(m_context, [self = shared_from_this(), callNumber = m_callNumber] {
            if (self->m_busy && !self->m_closed && self->m_callNumber == callNumber) {
                self->failCall();
            }
        });
    }

    void close()
    {
        m_closed = true;
        m_queue.clear();
        m_timer.cancel();
        closeConnection();
    }

    std::uint64_t connectCount = 0;

private:
    // One TCP connection and the answer being received on it. Handlers compare it with `m_connection` to
    // detect that it was replaced.
    struct Connection
    {
        explicit Connection(asio::io_context &context)
            : socket(context)
        {
        }

        asio::ip::tcp::socket socket;
        http_parser parser{};
        const HttpClientOptions *options = nullptr; ///< For the callbacks of the parser.
        std::string body; ///< Of the answer, as far as received.
        std::string headerName; ///< Of the header that is being received, as far as received.
        bool isHeaderNameComplete = false; ///< Its value has begun.
        std::string header; ///< See `HttpAnswer::header`.
        std::string output; ///< The serialized request; must outlive the write.
        std::array<char, readBufferBytes> input{};
        bool isComplete = false; ///< The answer was received completely.
    };

    void startNextCall()
    {
        if (m_closed) {
            return;
        }
        if (m_queue.empty()) {
            m_busy = false;
            return;
        }
        m_busy = true;
        ++m_callNumber;
        m_retried = false;
        startTimer(m_queue.front().timeout);
        startAttempt();
    }

    // Sends the current call on the open connection, or connects first.
    void startAttempt()
    {
        m_requestWritten = false;
        m_answerStarted = false;
        if (m_connection) {
            m_connectionReused = true;
            writeRequest();
            return;
        }
        m_connectionReused = false;
        connect();
    }

    void startTimer(std::chrono::milliseconds timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error && self->m_busy && !self->m_closed) {
                self->failCall();
            }
        });
    }

    void connect()
    {
        auto connection = std::make_shared<Connection>(m_context);
        m_connection = connection;
        ++connectCount;
        asio::error_code error;
        connection->socket.open(m_address.protocol(), error);
        setSocketOptions(connection->socket.native_handle(), m_options.tcpUserTimeout);
        connection->socket.async_connect(
            m_address, [self = shared_from_this(), connection](const asio::error_code &connectError) {
                if (self->m_connection != connection) {
                    return;
                }
                if (connectError) {
                    self->failCall();
                    return;
                }
                self->read(connection);
                self->writeRequest();
            });
    }

    void writeRequest()
    {
        auto connection = m_connection;
        const auto &call = m_queue.front();
        http_parser_init(&connection->parser, HTTP_RESPONSE);
        connection->parser.data = connection.get();
        connection->options = &m_options;
        connection->body.clear();
        connection->header.clear();
        connection->headerName.clear();
        connection->isComplete = false;
        connection->output = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", call.method, call.target, m_host);
        if (!call.body.empty()) {
            connection->output
                += fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", call.body.size());
        }
        connection->output += "\r\n";
        connection->output += call.body;
        m_requestWritten = true;
        asio::async_write(
            connection->socket, asio::buffer(connection->output),
            [self = shared_from_this(), connection](const asio::error_code &error, std::size_t) {
                if (error && self->m_connection == connection) {
                    self->handleConnectionLoss();
                }
            });
    }

    void read(const std::shared_ptr<Connection> &connection)
    {
        connection->socket.async_read_some(
            asio::buffer(connection->input),
            [self = shared_from_this(), connection](const asio::error_code &error, std::size_t size) {
                if (self->m_connection != connection) {
                    return;
                }
                if (error == asio::error::eof && self->endsWithConnection(*connection)) {
                    self->completeWithAnswer(connection, false);
                    return;
                }
                if (error) {
                    self->handleConnectionLoss();
                    return;
                }
                self->parse(connection, size);
            });
    }

    void parse(const std::shared_ptr<Connection> &connection, std::size_t size)
    {
        if (!m_busy || !m_requestWritten) {
            // Data outside of an answer: later answers could not be matched to their calls.
            closeConnection();
            return;
        }
        m_answerStarted = true;
        const auto parsedBytes
            = http_parser_execute(&connection->parser, &parserSettings(), connection->input.data(), size);
        const bool isInvalid = parsedBytes != size || connection->parser.http_errno != HPE_OK
            || connection->body.size() > m_options.maxAnswerBytes;
        if (isInvalid) {
            failCall();
            return;
        }
        if (!connection->isComplete) {
            read(connection);
            return;
        }
        completeWithAnswer(connection, http_should_keep_alive(&connection->parser) != 0);
    }

    void completeWithAnswer(const std::shared_ptr<Connection> &connection, bool keepAlive)
    {
        HttpAnswer answer{.status = static_cast<int>(connection->parser.status_code),
                          .body = std::move(connection->body),
                          .header = std::move(connection->header)};
        if (keepAlive) {
            read(connection);
        } else {
            closeConnection();
        }
        completeCall(std::move(answer));
    }

    static const http_parser_settings &parserSettings()
    {
        static const http_parser_settings settings = [] {
            http_parser_settings callbacks{};
            callbacks.on_body = [](http_parser *parser, const char *at, std::size_t length) {
                static_cast<Connection *>(parser->data)->body.append(at, length);
                return 0;
            };
            callbacks.on_header_field = [](http_parser *parser, const char *at, std::size_t length) {
                auto &receiving = *static_cast<Connection *>(parser->data);
                if (std::exchange(receiving.isHeaderNameComplete, false)) {
                    receiving.headerName.clear();
                }
                receiving.headerName.append(at, length);
                return 0;
            };
            callbacks.on_header_value = [](http_parser *parser, const char *at, std::size_t length) {
                auto &receiving = *static_cast<Connection *>(parser->data);
                receiving.isHeaderNameComplete = true;
                const auto &wanted = receiving.options->answerHeader;
                if (!wanted.empty() && ::strcasecmp(receiving.headerName.c_str(), wanted.c_str()) == 0) {
                    receiving.header.append(at, length);
                }
                return 0;
            };
            callbacks.on_message_complete = [](http_parser *parser) {
                // An interim answer (1xx) precedes the answer.
                static_cast<Connection *>(parser->data)->isComplete = parser->status_code >= 200;
                return 0;
            };
            return callbacks;
        }();
        return settings;
    }

    // Whether the answer is complete because its body ends with the connection.
    bool endsWithConnection(Connection &connection) const
    {
        return m_busy && m_answerStarted
            && http_parser_execute(&connection.parser, &parserSettings(), nullptr, 0) == 0
            && connection.isComplete;
    }

    // Retries the current call once if the server closed the reused connection before answering, or fails it.
    void handleConnectionLoss()
    {
        if (!m_busy || !m_requestWritten) {
            closeConnection();
            return;
        }
        const auto &call = m_queue.front();
        const bool canRetry = call.method == "GET" && call.retryable;
        if (m_connectionReused && !m_answerStarted && !m_retried && canRetry) {
            m_retried = true;
            closeConnection();
            startAttempt();
            return;
        }
        failCall();
    }

    void failCall()
    {
        closeConnection();
        completeCall({.state = m_requestWritten ? TransferState::Lost : TransferState::NotSent});
    }

    void completeCall(HttpAnswer answer)
    {
        m_timer.cancel();
        auto done = std::move(m_queue.front().done);
        m_queue.pop_front();
        m_requestWritten = false;
        auto self = shared_from_this();
        done(std::move(answer));
        startNextCall();
    }

    void closeConnection()
    {
        if (!m_connection) {
            return;
        }
        asio::error_code ignored; // The connection is discarded in any case.
        m_connection->socket.close(ignored);
        m_connection.reset();
    }

    asio::io_context &m_context;
    HttpClientOptions m_options;
    asio::steady_timer m_timer;
    asio::ip::tcp::endpoint m_address;
    std::string m_host;
    std::deque<HttpCall> m_queue; ///< The first is the current call.
    std::shared_ptr<Connection> m_connection; ///< Null when there is none.
    std::uint64_t m_callNumber = 0; ///< Of the current call.
    bool m_busy = false; ///< A call is running or about to start.
    bool m_requestWritten = false; ///< Writing has begun; the server may receive the current call.
    bool m_answerStarted = false; ///< Bytes of the answer were received.
    bool m_connectionReused = false; ///< The connection was open before the current attempt.
    bool m_retried = false; ///< The current call was sent a second time.
    bool m_closed = false;
};

HttpClient::HttpClient(asio::io_context &context, HttpClientOptions options)
    : m_session(std::make_shared<Session>(context, options))
{
}

HttpClient::~HttpClient()
{
    m_session->close();
}

void HttpClient::abortCall()
{
    m_session->abortCall();
}

void HttpClient::send(HttpCall call)
{
    m_session->enqueue(std::move(call));
}

std::uint64_t HttpClient::connectCount() const
{
    return m_session->connectCount;
}

} // namespace oriolelever
