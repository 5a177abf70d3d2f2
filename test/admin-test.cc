#include "oriolelever/admin.h"

#include <asio.hpp>
#include <gtest/gtest.h>
#include <prometheus/counter.h>

using namespace oriolelever;

namespace {

class AdminTest : public testing::Test
{
protected:
    AdminTest()
        : m_admin(std::make_unique<Admin>(loopback(0), m_metrics))
    {
    }

    static Endpoint loopback(std::uint16_t port)
    {
        Endpoint endpoint;
        parseEndpoint("127.0.0.1:1", endpoint);
        endpoint.port = port;
        return endpoint;
    }

    bool start(Admin &admin)
    {
        return handleError(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(admin.startOn(m_control));
                return true;
            },
            [&](const Error &error) {
                m_error = error;
                return false;
            });
    }

    // Sends a GET request and returns the complete response, including the headers.
    std::string sendGet(const std::string &path, const std::string &token = {})
    {
        asio::ip::tcp::socket socket(m_control);
        std::string answer;
        bool ended = false;
        while (m_admin->port() == 0) {
            m_control.run_one();
        }
        socket.connect({asio::ip::address_v4::loopback(), m_admin->port()});
        asio::write(socket,
                    asio::buffer("GET " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + token
                                 + "\r\nConnection: close\r\n\r\n"));
        asio::async_read(socket, asio::dynamic_buffer(answer),
                         [&](const asio::error_code &, std::size_t) { ended = true; });
        while (!ended) {
            m_control.run_one();
        }
        return answer;
    }

    asio::io_context m_control;
    Metrics m_metrics;
    std::unique_ptr<Admin> m_admin;
    Error m_error;
};

} // namespace

TEST_F(AdminTest, ServesMetricsHealthAndStatus)
{
    prometheus::BuildCounter()
        .Name("oriolelever_x_total")
        .Register(m_metrics.registry())
        .Add({})
        .Increment(3);
    m_admin->addStatus("members", [] { return nlohmann::json{{"live", 7}}; });
    ASSERT_TRUE(start(*m_admin));
    EXPECT_NE(sendGet("/metrics").find("oriolelever_x_total 3"), std::string::npos);
    EXPECT_NE(sendGet("/status").find(R"({"members":{"live":7}})"), std::string::npos);
    EXPECT_NE(sendGet("/health").find("200 OK"), std::string::npos);
    m_admin->setDraining();
    EXPECT_NE(sendGet("/health").find("503"), std::string::npos);
    EXPECT_NE(sendGet("/other").find("404"), std::string::npos);
    m_admin->stop();
}

TEST_F(AdminTest, StatusAndQueriesNeedAToken)
{
    m_admin = std::make_unique<Admin>(
        loopback(0), m_metrics,
        std::vector<OperatorToken>{{"luca", OperatorRole::Viewer, hashToken("a")},
                                   {"marta", OperatorRole::Operator, hashToken("b")}});
    m_admin->addQuery("/echo", OperatorRole::Operator,
                      [](const Admin::Query &query, const Admin::Reply &reply) { reply(200, query); });
    ASSERT_TRUE(start(*m_admin));
    EXPECT_NE(sendGet("/status").find("401"), std::string::npos);
    EXPECT_NE(sendGet("/status", "wrong").find("401"), std::string::npos);
    EXPECT_NE(sendGet("/status", "a").find("200 OK"), std::string::npos);
    EXPECT_NE(sendGet("/echo?x=1", "a").find("401"), std::string::npos);
    EXPECT_NE(sendGet("/echo?x=1", "b").find(R"({"x":"1"})"), std::string::npos);
    EXPECT_NE(sendGet("/metrics").find("200 OK"), std::string::npos);
    m_admin->stop();
}

TEST_F(AdminTest, PortInUseIsNamed)
{
    asio::ip::tcp::acceptor holder(m_control, {asio::ip::address_v4::loopback(), 0});
    const auto port = holder.local_endpoint().port();
    Admin second(loopback(port), m_metrics);
    EXPECT_FALSE(start(second));
    EXPECT_EQ(m_error.code, Code::AddressInUse);
    EXPECT_NE(m_error.text.find(":" + std::to_string(port)), std::string::npos);
}
