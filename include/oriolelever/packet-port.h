/// A UDP socket on the control thread's event loop, with batched receive and send.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <span>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>

#include "oriolelever/segment.h"
#include "oriolelever/sockets.h"

namespace oriolelever {

/// Calls `Handler` for each datagram; what the handler sends goes out after the batch.
///
///     PacketPort port(context);
///     BOOST_LEAF_CHECK(port.open(address, [&](std::span<std::uint8_t> bytes, const Endpoint &from) { ...
///     }));
class PacketPort
{
public:
    /// `bytes` has `ReceiveBatch::headroom` free bytes before it and is valid until the next batch.
    using Handler = std::function<void(std::span<std::uint8_t> bytes, const Endpoint &from)>;

    static constexpr std::size_t batchSize = 32; ///< Datagrams.
    static constexpr std::size_t datagramSize = 1500; ///< Bytes; longer ones are dropped.

    explicit PacketPort(asio::io_context &context);

    /// Fails with `Code::AddressInUse` or `Code::SocketFailed`.
    Result<void> open(const Endpoint &local, Handler handler);
    void close();

    /// Sends bytes that live until the end of the handler's batch, or until `flush` outside of a handler.
    void send(std::span<const std::uint8_t> bytes, const Endpoint &to);
    /// Copies up to `copySize` bytes and sends them.
    void sendCopy(std::span<const std::uint8_t> bytes, const Endpoint &to);
    void flush();

    static constexpr std::size_t copySize = 160; ///< Bytes.

    /// Datagrams that the kernel refused to send, and received ones that were longer than a buffer.
    std::uint64_t lost() const
    {
        return m_lost;
    }

    /// Called after each batch of received datagrams.
    std::function<void()> afterBatch;

private:
    void wait();
    void receive();

    asio::posix::stream_descriptor m_descriptor;
    FileDescriptor m_socket;
    Handler m_handler;
    ReceiveBatch m_batch;
    SendBatch m_sends;
    std::array<std::array<std::uint8_t, copySize>, 2 * batchSize> m_copies{};
    std::size_t m_copied = 0;
    std::uint64_t m_lost = 0;
};

/// Sends a reset to where the flow's caller takes packets.
void sendReset(PacketPort &port, const PacketFormat &format, const FlowReset &reset,
               std::uint16_t callerPort);

} // namespace oriolelever
