#include "oriolelever/delivery.h"

#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <poll.h>

#include "path-deployment.h"

using namespace oriolelever;
using namespace oriolelever::test;
using namespace std::chrono_literals;
using testing::_;

namespace {

class MockSink : public AnswerSink
{
public:
    MOCK_METHOD(void, answer, (std::span<std::uint8_t>, const ParsedPacket &), (override));
    MOCK_METHOD(void, flush, (), (override));
    MOCK_METHOD(void, malformed, (PacketFault), (override));
    MOCK_METHOD(void, foreign, (), (override));
    MOCK_METHOD(void, sample, (const AnswerSample &), (override));
    MOCK_METHOD(void, closed, (const FlowKey &), (override));
};

class DeliveryTest : public testing::Test
{
public:
    DeliveryTest()
    {
        server = openLoopback();
        delivery = handleError([&] { return makeSocketDelivery({.server = localEndpoint(server)}); },
                               [](const Error &) { return std::unique_ptr<Delivery>(); });
    }

    std::vector<std::uint8_t> packet(std::uint8_t flags, bool fromCaller = true)
    {
        std::vector<std::uint8_t> bytes(200);
        bytes.resize(buildTcp(bytes,
                              {.source = fromCaller ? key.caller : key.service,
                               .destination = fromCaller ? key.service : key.caller,
                               .tcpFlags = flags}));
        return bytes;
    }

    void deliver(std::uint8_t flags)
    {
        const auto bytes = packet(flags);
        ParsedPacket parsed;
        ASSERT_EQ(parsePacket(bytes, parsed), PacketFault::None);
        ASSERT_TRUE(delivery->deliver(bytes, parsed, now));
        ASSERT_TRUE(waitFor([&] { return arrived.receive(server) == 1; }));
    }

    void answer(const std::vector<std::uint8_t> &bytes)
    {
        SendBatch single(1);
        single.add(bytes, toEndpoint(arrived.sender(0)));
        ASSERT_EQ(single.flush(server), 0U);
        pollfd entry{.fd = delivery->pollDescriptor(), .events = POLLIN, .revents = 0};
        ASSERT_EQ(::poll(&entry, 1, 5000), 1);
        delivery->receive(sink, now);
    }

    FlowKey key{endpointOf("198.18.0.1:5000"), endpointOf("198.51.100.10:443"), Protocol::Tcp};
    TimePoint now{1h};
    FileDescriptor server;
    std::unique_ptr<Delivery> delivery;
    ReceiveBatch arrived{1, 2048};
    testing::NiceMock<MockSink> sink;
};

} // namespace

TEST_F(DeliveryTest, FirstAnswerIsASampleOfTheServer)
{
    deliver(tcp::syn);
    now += 30ms;
    EXPECT_CALL(sink,
                sample(testing::AllOf(testing::Field(&AnswerSample::time, Duration(30ms)),
                                      testing::Field(&AnswerSample::failed, false))));
    EXPECT_CALL(sink, answer(_, _)).Times(2);
    answer(packet(tcp::syn | tcp::ack, false));
    answer(packet(tcp::ack, false));
}

TEST_F(DeliveryTest, AnswerThatBelongsToAnotherFlowIsRefused)
{
    deliver(tcp::syn);
    EXPECT_CALL(sink, answer(_, _)).Times(0);
    EXPECT_CALL(sink, foreign());
    key.caller.port = 5001;
    answer(packet(tcp::ack, false));
    EXPECT_CALL(sink, malformed(PacketFault::Truncated));
    answer({0x45, 0});
}

TEST_F(DeliveryTest, FlowIsFreedOnceBothSidesHaveEnded)
{
    deliver(tcp::syn);
    deliver(tcp::ack | tcp::fin);
    now += 1h;
    EXPECT_CALL(sink, closed(_)).Times(0);
    delivery->sweep(sink, now);
    answer(packet(tcp::ack | tcp::fin, false));
    delivery->sweep(sink, now);
    testing::Mock::VerifyAndClearExpectations(&sink);
    EXPECT_CALL(sink, closed(key));
    now += 2s;
    delivery->sweep(sink, now);
    EXPECT_EQ(delivery->openFlows(), 0U);
}

TEST_F(DeliveryTest, ResetFreesTheFlowAndANewSynKeepsIt)
{
    deliver(tcp::syn);
    deliver(tcp::rst);
    deliver(tcp::syn);
    now += 1min;
    EXPECT_CALL(sink, closed(_)).Times(0);
    delivery->sweep(sink, now);
    testing::Mock::VerifyAndClearExpectations(&sink);
    deliver(tcp::rst);
    now += 2s;
    EXPECT_CALL(sink, closed(key));
    delivery->sweep(sink, now);
}

TEST_F(DeliveryTest, SilentFlowsAreFreedAndNoOthers)
{
    constexpr std::uint16_t count = 600; // More than one sweep looks at.
    for (std::uint16_t i = 0; i < count; ++i) {
        key.caller.port = static_cast<std::uint16_t>(1000 + i);
        deliver(tcp::syn);
    }
    now += 1h;
    key.caller.port = 1300;
    deliver(tcp::ack);
    now += 1h + 1min;
    EXPECT_CALL(sink, closed(_)).Times(count - 1);
    for (int i = 0; i < 10; ++i) {
        delivery->sweep(sink, now);
    }
    EXPECT_EQ(delivery->openFlows(), 1U);
}

TEST(TunDeliveryTest, DeviceThatCannotBeOpenedIsNamed)
{
    const auto text = handleError(
        []() -> Result<std::string> {
            BOOST_LEAF_CHECK(makeTunDelivery({.device = "a-name-that-is-too-long"}));
            return std::string();
        },
        [](const Error &error) { return error.text; });
    EXPECT_EQ(text, "TUN device \"a-name-that-is-too-long\" has too long a name");
}
