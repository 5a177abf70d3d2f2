#include <optional>

#include <gtest/gtest.h>

#include "certificates.h"

using namespace oriolelever;
using namespace std::chrono_literals;

namespace {

class TlsTest : public testing::Test
{
protected:
    void SetUp() override
    {
        auto pattern = (std::filesystem::temp_directory_path() / "tls-test-XXXXXX").string();
        m_directory = mkdtemp(pattern.data());
    }

    void TearDown() override
    {
        std::filesystem::remove_all(m_directory);
    }

    TlsOptions files(const std::string &process, const Identity &authority)
    {
        const auto directory = m_directory / process;
        std::filesystem::create_directories(directory);
        return writeIdentity(directory, makeIdentity(process, &authority), authority);
    }

    std::unique_ptr<Streams> open(const TlsOptions &tls)
    {
        Endpoint listen;
        parseIpAddress("127.0.0.1", listen.address);
        StreamsOptions options;
        options.listen = listen;
        options.tls = tls;
        auto streams = std::make_unique<Streams>(m_context, options);
        EXPECT_TRUE(streams->open());
        streams->handle("/echo", [this](std::string body, const Streams::Reply &reply) {
            ++m_served;
            reply(std::move(body));
        });
        return streams;
    }

    bool echoes(Streams &client, const Streams &server)
    {
        std::optional<bool> whole;
        client.call(server.listenEndpoint(), "/echo", "x", 10s, [&](Result<std::string> result) {
            whole = handleError(
                [&]() -> Result<bool> {
                    BOOST_LEAF_AUTO(text, std::move(result));
                    return text.size() == 1;
                },
                [](const Error &) { return false; });
        });
        while (!whole) {
            m_context.run_one();
        }
        return *whole;
    }

    asio::io_context m_context;
    std::filesystem::path m_directory;
    int m_served = 0;
};

} // namespace

TEST_F(TlsTest, ProcessesOfOneAuthorityTalk)
{
    const auto authority = makeIdentity("authority", nullptr);
    const auto server = open(files("b1", authority));
    const auto client = open(files("b2", authority));
    EXPECT_TRUE(echoes(*client, *server));
}

TEST_F(TlsTest, ProcessOfAnotherAuthorityOrWithoutTlsIsNotServed)
{
    const auto authority = makeIdentity("authority", nullptr);
    const auto other = makeIdentity("other", nullptr);
    const auto server = open(files("b1", authority));
    // It trusts the server, but its own certificate is of another authority.
    auto forged = files("b2", other);
    forged.authority = files("b3", authority).authority;
    const auto client = open(forged);
    EXPECT_FALSE(echoes(*client, *server));
    const auto plain = open({.plain = true});
    EXPECT_FALSE(echoes(*plain, *server));
    EXPECT_EQ(m_served, 0);
    EXPECT_GE(server->totals().refused, 1U);
}

TEST_F(TlsTest, KeysAreReadAgainWithoutARestart)
{
    const auto authority = makeIdentity("authority", nullptr);
    const auto next = makeIdentity("next", nullptr);
    const auto server = open(files("b1", authority));
    const auto client = open(files("b2", authority));
    ASSERT_TRUE(echoes(*client, *server));
    files("b1", next);
    server->reload();
    // The open connection goes on; a new one needs the new authority.
    EXPECT_TRUE(echoes(*client, *server));
    const auto late = open(files("b3", authority));
    EXPECT_FALSE(echoes(*late, *server));
    const auto renewed = open(files("b4", next));
    EXPECT_TRUE(echoes(*renewed, *server));
}

TEST_F(TlsTest, UnreadableKeysKeepTheOldOnes)
{
    const auto authority = makeIdentity("authority", nullptr);
    const auto tls = files("b1", authority);
    const auto server = open(tls);
    std::filesystem::remove(tls.privateKey);
    server->reload();
    const auto client = open(files("b2", authority));
    EXPECT_TRUE(echoes(*client, *server));
}
