#include "oriolelever/sockets.h"

#include <vector>

#include <gtest/gtest.h>
#include <poll.h>

using namespace oriolelever;

namespace {

Endpoint loopback(std::string_view text = "127.0.0.1:0")
{
    Endpoint endpoint;
    parseEndpoint(text, endpoint);
    return endpoint;
}

// Opens a socket with the default options; an empty descriptor on failure.
FileDescriptor openSocket(const Endpoint &local)
{
    return handleError([&] { return openDatagramSocket(local); },
                       [](const Error &) { return FileDescriptor(); });
}

// Waits up to 5 seconds for a datagram.
std::size_t waitAndReceive(ReceiveBatch &batch, const FileDescriptor &socket)
{
    pollfd entry{.fd = socket.value(), .events = POLLIN, .revents = 0};
    ::poll(&entry, 1, 5000);
    return batch.receive(socket);
}

} // namespace

// Opens a TCP connection without waiting for it.
FileDescriptor beginConnection(const SocketAddress &address)
{
    FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    ::connect(socket.value(), reinterpret_cast<const sockaddr *>(&address.storage), address.size);
    return socket;
}

TEST(SocketsTest, AListenerThatClosesResetsNoConnection)
{
    const FileDescriptor listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    auto address = toSocketAddress(loopback());
    ASSERT_EQ(::bind(listener.value(), reinterpret_cast<const sockaddr *>(&address.storage), address.size),
              0);
    ASSERT_EQ(::listen(listener.value(), 16), 0);
    address = toSocketAddress(localEndpoint(listener));
    EXPECT_FALSE(hasPendingConnection(listener.value()));
    const auto early = beginConnection(address);
    pollfd pending{.fd = listener.value(), .events = POLLIN, .revents = 0};
    EXPECT_EQ(::poll(&pending, 1, 5000), 1);
    ASSERT_TRUE(dropNewConnections(listener.value()));
    const auto late = beginConnection(address);
    EXPECT_TRUE(hasPendingConnection(listener.value()));
    const FileDescriptor accepted(::accept(listener.value(), nullptr, nullptr));
    EXPECT_TRUE(accepted);
    EXPECT_FALSE(hasPendingConnection(listener.value())) << "the second one is not opened";
    pollfd entry{.fd = late.value(), .events = POLLOUT, .revents = 0};
    EXPECT_EQ(::poll(&entry, 1, 0), 0) << "nor refused so far";
}

TEST(SocketsTest, BatchTravelsWithItsSender)
{
    for (const auto *const address : {"127.0.0.1:0", "[::1]:0"}) {
        const auto from = openSocket(loopback(address));
        const auto to = openSocket(loopback(address));
        ASSERT_TRUE(from && to);
        const std::vector<std::uint8_t> first{1, 2, 3};
        const std::vector<std::uint8_t> second{4};
        SendBatch send(2);
        send.add(first, localEndpoint(to));
        send.add(second, localEndpoint(to));
        EXPECT_TRUE(send.isFull());
        EXPECT_EQ(send.flush(from), 0U);
        ReceiveBatch receive(4, 100);
        ASSERT_EQ(waitAndReceive(receive, to), 2U);
        EXPECT_EQ(receive.datagram(0).size(), 3U);
        EXPECT_EQ(receive.datagram(1)[0], 4);
        EXPECT_EQ(toEndpoint(receive.sender(1)), localEndpoint(from));
        EXPECT_EQ(receive.receive(to), 0U);
    }
}

TEST(SocketsTest, CutDatagramIsReported)
{
    const auto socket = openSocket(loopback());
    const std::vector<std::uint8_t> bytes(200);
    SendBatch send(1);
    send.add(bytes, localEndpoint(socket));
    EXPECT_EQ(send.flush(socket), 0U);
    ReceiveBatch receive(1, 100);
    ASSERT_EQ(waitAndReceive(receive, socket), 1U);
    EXPECT_TRUE(receive.isTruncated(0));
}

TEST(SocketsTest, RefusedDatagramDoesNotKeepTheOthersBack)
{
    const auto socket = openSocket(loopback());
    const std::vector<std::uint8_t> tooLong(70'000);
    const std::vector<std::uint8_t> sendable(10);
    SendBatch send(2);
    send.add(tooLong, localEndpoint(socket));
    send.add(sendable, localEndpoint(socket));
    EXPECT_EQ(send.flush(socket), 1U);
    ReceiveBatch receive(2, 100);
    EXPECT_EQ(waitAndReceive(receive, socket), 1U);
}

TEST(SocketsTest, PortInUseIsNamed)
{
    const auto socket = openSocket(loopback());
    const auto boundEndpoint = localEndpoint(socket);
    const auto error = handleError(
        [&]() -> Result<Error> {
            BOOST_LEAF_CHECK(openDatagramSocket(boundEndpoint));
            return Error{Code::Ok, ""};
        },
        [](const Error &e) { return e; });
    EXPECT_EQ(error.code, Code::AddressInUse);
    EXPECT_NE(error.text.find(toString(boundEndpoint)), std::string::npos);
}
