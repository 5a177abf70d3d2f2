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

    TlsOptions makeTlsFiles(const std::string &process, const Identity &authority)
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
            ++m_servedCalls;
            reply(std::move(body));
        });
        return streams;
    }

    bool echoes(Streams &client, const Streams &server)
    {
        std::optional<bool> succeeded;
        client.call(server.listenEndpoint(), "/echo", "x", 10s, [&](Result<std::string> result) {
            succeeded = handleError(
                [&]() -> Result<bool> {
                    BOOST_LEAF_AUTO(text, std::move(result));
                    return text.size() == 1;
                },
                [](const Error &) { return false; });
        });
        while (!succeeded) {
            m_context.run_one();
        }
        return *succeeded;
    }

    asio::io_context m_context;
    std::filesystem::path m_directory;
    int m_servedCalls = 0;
};

} // namespace

TEST_F(TlsTest, ProcessesOfOneAuthorityConnect)
{
    const auto authority = makeIdentity("authority", nullptr);
    const auto server = open(makeTlsFiles("b1", authority));
    const auto client = open(makeTlsFiles("b2", authority));
    EXPECT_TRUE(echoes(*client, *server));
}

TEST_F(TlsTest, ProcessOfAnotherAuthorityOrWithoutTlsIsNotServed)
{
    const auto authority = makeIdentity("authority", nullptr);
    const auto other = makeIdentity("other", nullptr);
    const auto server = open(makeTlsFiles("b1", authority));
    // The client trusts the server, but its own certificate is signed by another authority.
    auto forged = makeTlsFiles("b2", other);
    forged.authority = makeTlsFiles("b3", authority).authority;
    const auto client = open(forged);
    EXPECT_FALSE(echoes(*client, *server));
    const auto plain = open({.plain = true});
    EXPECT_FALSE(echoes(*plain, *server));
    EXPECT_EQ(m_servedCalls, 0);
    EXPECT_GE(server->totals().refused, 1U);
}

TEST_F(TlsTest, KeysReloadWithoutRestart)
{
    const auto authority = makeIdentity("authority", nullptr);
    const auto next = makeIdentity("next", nullptr);
    const auto server = open(makeTlsFiles("b1", authority));
    const auto client = open(makeTlsFiles("b2", authority));
    ASSERT_TRUE(echoes(*client, *server));
    makeTlsFiles("b1", next);
    server->reload();
    // The open connection stays in use; a new one requires a certificate of the new authority.
    EXPECT_TRUE(echoes(*client, *server));
    const auto newClient = open(makeTlsFiles("b3", authority));
    EXPECT_FALSE(echoes(*newClient, *server));
    const auto renewed = open(makeTlsFiles("b4", next));
    EXPECT_TRUE(echoes(*renewed, *server));
}

TEST_F(TlsTest, UnreadableKeyFilesLeaveTheOldKeysInUse)
{
    const auto authority = makeIdentity("authority", nullptr);
    const auto tls = makeTlsFiles("b1", authority);
    const auto server = open(tls);
    std::filesystem::remove(tls.privateKey);
    server->reload();
    const auto client = open(makeTlsFiles("b2", authority));
    EXPECT_TRUE(echoes(*client, *server));
}
