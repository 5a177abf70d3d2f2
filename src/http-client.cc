#include "oriolelever/http-client.h"

#include <deque>
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

constexpr std::size_t readSize = 16'384; ///< Bytes.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;

void setSocketOptions(int socket, std::chrono::milliseconds silenceLimit)
{
    const auto set = [socket](int level, int option, int value) {
        // A kernel that lacks an option leaves the call's own time limit.
        [[maybe_unused]] const int ignored = ::setsockopt(socket, level, option, &value, sizeof(value));
    };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(silenceLimit.count()));
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

    void add(HttpCall call)
    {
        m_queue.push_back(std::move(call));
        if (!m_busy) {
            m_busy = true;
            asio::post(m_context, [self = shared_from_this()] { self->next(); });
        }
    }

    void close()
    {
        m_closed = true;
        m_queue.clear();
        m_timer.cancel();
        drop();
    }

    std::uint64_t connects = 0;

private:
    // One TCP connection; handlers of an earlier one recognise that it is no longer the session's.
    struct Link
    {
        explicit Link(asio::io_context &context)
            : socket(context)
        {
        }

        asio::ip::tcp::socket socket;
        http_parser parser{};
        std::string body;
        std::string output;
        std::array<char, readSize> input{};
        bool answered = false;
    };

    void next()
    {
        if (m_closed) {
            return;
        }
        if (m_queue.empty()) {
            m_busy = false;
            return;
        }
        m_busy = true;
        m_repeated = false;
        startTimer(m_queue.front().timeout);
        begin();
    }

    void begin()
    {
        m_sent = false;
        m_begun = false;
        if (m_link) {
            m_reused = true;
            transmit();
            return;
        }
        m_reused = false;
        connect();
    }

    void startTimer(std::chrono::milliseconds timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error && self->m_busy && !self->m_closed) {
                self->fail();
            }
        });
    }

    void connect()
    {
        auto link = std::make_shared<Link>(m_context);
        m_link = link;
        ++connects;
        asio::error_code error;
        link->socket.open(m_address.protocol(), error);
        setSocketOptions(link->socket.native_handle(), m_options.silenceLimit);
        link->socket.async_connect(m_address,
                                   [self = shared_from_this(), link](const asio::error_code &failed) {
                                       if (self->m_link != link) {
                                           return;
                                       }
                                       if (failed) {
                                           self->fail();
                                           return;
                                       }
                                       self->read(link);
                                       self->transmit();
                                   });
    }

    void transmit()
    {
        auto link = m_link;
        const auto &call = m_queue.front();
        http_parser_init(&link->parser, HTTP_RESPONSE);
        link->parser.data = link.get();
        link->body.clear();
        link->answered = false;
        link->output = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", call.method, call.target, m_host);
        if (!call.body.empty()) {
            link->output
                += fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", call.body.size());
        }
        link->output += "\r\n";
        link->output += call.body;
        m_sent = true;
        asio::async_write(link->socket, asio::buffer(link->output),
                          [self = shared_from_this(), link](const asio::error_code &error, std::size_t) {
                              if (error && self->m_link == link) {
                                  self->connectionEnded();
                              }
                          });
    }

    void read(const std::shared_ptr<Link> &link)
    {
        link->socket.async_read_some(
            asio::buffer(link->input),
            [self = shared_from_this(), link](const asio::error_code &error, std::size_t size) {
                if (self->m_link != link) {
                    return;
                }
                if (error) {
                    self->connectionEnded();
                    return;
                }
                self->parse(link, size);
            });
    }

    void parse(const std::shared_ptr<Link> &link, std::size_t size)
    {
        if (!m_busy || !m_sent) {
            // Bytes that answer nothing.
            drop();
            return;
        }
        m_begun = true;
        static const http_parser_settings settings = [] {
            http_parser_settings made{};
            made.on_body = [](http_parser *parser, const char *at, std::size_t length) {
                static_cast<Link *>(parser->data)->body.append(at, length);
                return 0;
            };
            made.on_message_complete = [](http_parser *parser) {
                static_cast<Link *>(parser->data)->answered = true;
                return 0;
            };
            return made;
        }();
        const auto used = http_parser_execute(&link->parser, &settings, link->input.data(), size);
        const bool broken = used != size || link->parser.http_errno != HPE_OK
            || link->body.size() > m_options.maxAnswerBytes;
        if (broken) {
            fail();
            return;
        }
        if (!link->answered) {
            read(link);
            return;
        }
        HttpAnswer answer{.status = static_cast<int>(link->parser.status_code),
                          .body = std::move(link->body)};
        if (http_should_keep_alive(&link->parser) != 0) {
            read(link);
        } else {
            drop();
        }
        finish(std::move(answer));
    }

    void connectionEnded()
    {
        if (!m_busy || !m_sent) {
            drop();
            return;
        }
        const auto &call = m_queue.front();
        const bool mayRepeat = call.method == "GET" && call.repeatable;
        if (m_reused && !m_begun && !m_repeated && mayRepeat) {
            m_repeated = true;
            drop();
            begin();
            return;
        }
        fail();
    }

    void fail()
    {
        drop();
        finish({.state = m_sent ? TransferState::Lost : TransferState::NotSent});
    }

    void finish(HttpAnswer answer)
    {
        m_timer.cancel();
        auto done = std::move(m_queue.front().done);
        m_queue.pop_front();
        m_sent = false;
        auto self = shared_from_this();
        done(std::move(answer));
        next();
    }

    void drop()
    {
        if (!m_link) {
            return;
        }
        asio::error_code ignored; // The connection is given up either way.
        m_link->socket.close(ignored);
        m_link.reset();
    }

    asio::io_context &m_context;
    HttpClientOptions m_options;
    asio::steady_timer m_timer;
    asio::ip::tcp::endpoint m_address;
    std::string m_host;
    std::deque<HttpCall> m_queue;
    std::shared_ptr<Link> m_link;
    bool m_busy = false;
    bool m_sent = false; ///< Bytes of the call may have left.
    bool m_begun = false; ///< Bytes of the answer have come.
    bool m_reused = false;
    bool m_repeated = false;
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

void HttpClient::send(HttpCall call)
{
    m_session->add(std::move(call));
}

std::uint64_t HttpClient::connects() const
{
    return m_session->connects;
}

} // namespace oriolelever
