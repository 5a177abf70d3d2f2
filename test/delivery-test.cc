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

class MockSink : public ServerPacketSink
{
public:
    MOCK_METHOD(void, handleServerPacket, (std::span<std::uint8_t>, const ParsedPacket &), (override));
    MOCK_METHOD(void, flush, (), (override));
    MOCK_METHOD(void, handleMalformed, (PacketFault), (override));
    MOCK_METHOD(void, handleFlowMismatch, (), (override));
    MOCK_METHOD(void, recordServerSample, (const AnswerSample &), (override));
    MOCK_METHOD(void, handleFlowExpired, (const FlowKey &), (override));
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

    void deliverFromCaller(std::uint8_t flags)
    {
        const auto bytes = packet(flags);
        ParsedPacket parsed;
        ASSERT_EQ(parsePacket(bytes, parsed), PacketFault::None);
        ASSERT_TRUE(delivery->deliver(bytes, parsed, now));
        ASSERT_TRUE(waitFor([&] { return received.receive(server) == 1; }));
    }

    void sendFromServer(const std::vector<std::uint8_t> &bytes)
    {
        SendBatch single(1);
        single.add(bytes, toEndpoint(received.sender(0)));
        ASSERT_EQ(single.flush(server), 0U);
        pollfd entry{.fd = delivery->pollDescriptor(), .events = POLLIN, .revents = 0};
        ASSERT_EQ(::poll(&entry, 1, 5000), 1);
        delivery->receive(sink, now);
    }

    FlowKey key{endpointOf("198.18.0.1:5000"), endpointOf("198.51.100.10:443"), Protocol::Tcp};
    TimePoint now{1h};
    FileDescriptor server;
    std::unique_ptr<Delivery> delivery;
    ReceiveBatch received{1, 2048};
    testing::NiceMock<MockSink> sink;
};

} // namespace

TEST_F(DeliveryTest, FirstAnswerIsASampleOfTheServer)
{
    deliverFromCaller(tcp::syn);
    now += 30ms;
    EXPECT_CALL(sink,
                recordServerSample(testing::AllOf(testing::Field(&AnswerSample::time, Duration(30ms)),
                                                  testing::Field(&AnswerSample::failed, false))));
    EXPECT_CALL(sink, handleServerPacket(_, _)).Times(2);
    sendFromServer(packet(tcp::syn | tcp::ack, false));
    sendFromServer(packet(tcp::ack, false));
}

TEST_F(DeliveryTest, AnswerThatBelongsToAnotherFlowIsRefused)
{
    deliverFromCaller(tcp::syn);
    EXPECT_CALL(sink, handleServerPacket(_, _)).Times(0);
    EXPECT_CALL(sink, handleFlowMismatch());
    key.caller.port = 5001;
    sendFromServer(packet(tcp::ack, false));
    EXPECT_CALL(sink, handleMalformed(PacketFault::Truncated));
    sendFromServer({0x45, 0});
}

TEST_F(DeliveryTest, FlowIsFreedOnceBothSidesHaveEnded)
{
    deliverFromCaller(tcp::syn);
    deliverFromCaller(tcp::ack | tcp::fin);
    now += 1h;
    EXPECT_CALL(sink, handleFlowExpired(_)).Times(0);
    delivery->expireFlows(sink, now);
    sendFromServer(packet(tcp::ack | tcp::fin, false));
    delivery->expireFlows(sink, now);
    testing::Mock::VerifyAndClearExpectations(&sink);
    EXPECT_CALL(sink, handleFlowExpired(key));
    now += 2s;
    delivery->expireFlows(sink, now);
    EXPECT_EQ(delivery->openFlowCount(), 0U);
}

TEST_F(DeliveryTest, ResetFreesTheFlowAndANewSynKeepsIt)
{
    deliverFromCaller(tcp::syn);
    deliverFromCaller(tcp::rst);
    deliverFromCaller(tcp::syn);
    now += 1min;
    EXPECT_CALL(sink, handleFlowExpired(_)).Times(0);
    delivery->expireFlows(sink, now);
    testing::Mock::VerifyAndClearExpectations(&sink);
    deliverFromCaller(tcp::rst);
    now += 2s;
    EXPECT_CALL(sink, handleFlowExpired(key));
    delivery->expireFlows(sink, now);
}

TEST_F(DeliveryTest, SilentFlowsAreFreedAndNoOthers)
{
    constexpr std::uint16_t count = 600; // More than one call of `expireFlows` examines.
    for (std::uint16_t i = 0; i < count; ++i) {
        key.caller.port = static_cast<std::uint16_t>(1000 + i);
        deliverFromCaller(tcp::syn);
    }
    now += 1h;
    key.caller.port = 1300;
    deliverFromCaller(tcp::ack);
    now += 1h + 1min;
    EXPECT_CALL(sink, handleFlowExpired(_)).Times(count - 1);
    for (int i = 0; i < 10; ++i) {
        delivery->expireFlows(sink, now);
    }
    EXPECT_EQ(delivery->openFlowCount(), 1U);
}

TEST(TunDeliveryTest, DeviceThatCannotBeOpenedIsNamed)
{
    const auto text = handleError(
        []() -> Result<std::string> {
            BOOST_LEAF_CHECK(makeTunDelivery({.device = "a-name-that-is-too-long"}));
            return std::string();
        },
        [](const Error &error) { return error.text; });
    EXPECT_EQ(text, "name of TUN device \"a-name-that-is-too-long\" is longer than 15 bytes");
}
