#include "oriolelever/streams.h"

#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>

using namespace oriolelever;
using namespace std::chrono_literals;

namespace {

Endpoint loopback(std::uint16_t port = 0)
{
    Endpoint endpoint{.port = port};
    parseIpAddress("127.0.0.1", endpoint.address);
    return endpoint;
}

StreamsOptions plainOptions()
{
    return {.listen = loopback(), .tls = {.plain = true}, .maxMessageBytes = 100'000};
}

struct Outcome
{
    Code code = Code::Ok;
    std::string text;
};

Outcome outcomeOf(Result<std::string> result)
{
    return handleError(
        [&]() -> Result<Outcome> {
            BOOST_LEAF_AUTO(text, std::move(result));
            return Outcome{Code::Ok, text};
        },
        [](const Error &error) {
            return Outcome{error.code, error.text};
        });
}

class StreamsTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_server.open());
        ASSERT_TRUE(m_client.open());
        m_server.handle("/echo", [](std::string body, Streams::Reply reply) { reply(std::move(body)); });
        m_server.handle("/fail", [](std::string, Streams::Reply reply) {
            reply(Error{Code::VersionStale, "version 3 is stale"});
        });
        m_server.handle("/never",
                        [this](std::string, Streams::Reply reply) { m_pendingReplies.push_back(reply); });
    }

    Outcome call(const Endpoint &peer, const std::string &path, std::string body,
                 std::chrono::milliseconds timeout = 20s)
    {
        std::optional<Outcome> outcome;
        m_client.call(peer, path, std::move(body), timeout,
                      [&](Result<std::string> result) { outcome = outcomeOf(std::move(result)); });
        while (!outcome) {
            m_context.run_one();
        }
        return *outcome;
    }

    asio::io_context m_context;
    Streams m_server{m_context, plainOptions()};
    Streams m_client{m_context, plainOptions()};
    std::vector<Streams::Reply> m_pendingReplies;
};

} // namespace

TEST_F(StreamsTest, AnswersAreCompleteAndOneConnectionCarriesManyCalls)
{
    int answered = 0;
    for (int i = 0; i < 500; ++i) {
        const std::string body(static_cast<std::size_t>(i) * 100, static_cast<char>('a' + i % 26));
        m_client.call(m_server.listenEndpoint(), "/echo", body, 20s, [&, body](Result<std::string> result) {
            EXPECT_EQ(outcomeOf(std::move(result)).text, body);
            ++answered;
        });
    }
    while (answered < 500) {
        m_context.run_one();
    }
    EXPECT_EQ(m_server.totals().callsReceived, 500U);
}

TEST_F(StreamsTest, CodeAndTextOfAHandlersErrorArrive)
{
    const auto outcome = call(m_server.listenEndpoint(), "/fail", "");
    EXPECT_EQ(outcome.code, Code::VersionStale);
    EXPECT_EQ(outcome.text, "version 3 is stale");
    EXPECT_EQ(call(m_server.listenEndpoint(), "/none", "").code, Code::PeerRefused);
}

TEST_F(StreamsTest, OversizedMessageIsRefusedAndTheConnectionStaysOpen)
{
    EXPECT_EQ(call(m_server.listenEndpoint(), "/echo", std::string(200'000, 'x')).code, Code::PeerRefused);
    EXPECT_EQ(call(m_server.listenEndpoint(), "/echo", "y").text, "y");
    EXPECT_EQ(m_server.totals().refused, 1U);
}

TEST_F(StreamsTest, AbsentPeerIsUnreachable)
{
    asio::ip::tcp::acceptor reserved(m_context, {asio::ip::address_v4::loopback(), 0});
    const auto unusedEndpoint = loopback(reserved.local_endpoint().port());
    reserved.close();
    EXPECT_EQ(call(unusedEndpoint, "/echo", "x").code, Code::PeerUnreachable);
    EXPECT_EQ(call(unusedEndpoint, "/echo", "x").code, Code::PeerUnreachable);
}

TEST_F(StreamsTest, LateAnswerIsAnUnknownOutcome)
{
    EXPECT_EQ(call(m_server.listenEndpoint(), "/never", "x", 50ms).code, Code::OutcomeUnknown);
    m_pendingReplies.front()("late");
    EXPECT_EQ(call(m_server.listenEndpoint(), "/echo", "y").text, "y");
}

TEST_F(StreamsTest, LostConnectionIsAnUnknownOutcomeAndTheNextCallReconnects)
{
    std::optional<Outcome> outcome;
    m_client.call(m_server.listenEndpoint(), "/never", "x", 20s,
                  [&](Result<std::string> result) { outcome = outcomeOf(std::move(result)); });
    while (m_pendingReplies.empty()) {
        m_context.run_one();
    }
    auto options = plainOptions();
    options.listen = m_server.listenEndpoint();
    m_server.stop();
    while (!outcome) {
        m_context.run_one();
    }
    EXPECT_EQ(outcome->code, Code::OutcomeUnknown);
    Streams restarted(m_context, options);
    ASSERT_TRUE(restarted.open());
    restarted.handle("/echo", [](std::string body, Streams::Reply reply) { reply(std::move(body)); });
    EXPECT_EQ(call(options.listen, "/echo", "z").text, "z");
}

// A draining process must answer every call that it has accepted, to the last byte. Later calls must fail
// with a code which says that they did not run.
TEST_F(StreamsTest, DrainFinishesAcceptedCallsAndRefusesLaterOnes)
{
    const auto peer = m_server.listenEndpoint();
    std::optional<Outcome> accepted;
    m_client.call(peer, "/never", "", 20s,
                  [&](Result<std::string> result) { accepted = outcomeOf(std::move(result)); });
    while (m_pendingReplies.empty()) {
        m_context.run_one();
    }
    bool drained = false;
    m_server.drain([&] {
        drained = true;
        m_server.stop();
    });
    const auto later = call(peer, "/echo", "later");
    EXPECT_TRUE(later.code == Code::PeerRefused || later.code == Code::PeerUnreachable) << later.text;
    EXPECT_FALSE(drained);
    m_pendingReplies.front()(std::string(50'000, 'x'));
    while (!accepted) {
        m_context.run_one();
    }
    EXPECT_EQ(accepted->code, Code::Ok) << accepted->text;
    EXPECT_EQ(accepted->text.size(), 50'000U);
    while (!drained) {
        m_context.run_one();
    }
}

TEST_F(StreamsTest, SecondListenerFailsWithAddressInUse)
{
    auto options = plainOptions();
    options.listen = m_server.listenEndpoint();
    Streams second(m_context, options);
    const auto code = handleError(
        [&]() -> Result<Code> {
            BOOST_LEAF_CHECK(second.open());
            return Code::Ok;
        },
        [](const Error &error) { return error.code; });
    EXPECT_EQ(code, Code::AddressInUse);
}

TEST_F(StreamsTest, MissingKeysWithoutPlainFailToStart)
{
    Streams unconfigured(m_context, {.listen = loopback()});
    const auto code = handleError(
        [&]() -> Result<Code> {
            BOOST_LEAF_CHECK(unconfigured.open());
            return Code::Ok;
        },
        [](const Error &error) { return error.code; });
    EXPECT_EQ(code, Code::SettingMissing);
}
