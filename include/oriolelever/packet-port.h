/// A UDP socket on an event loop, with batched receive and send.
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

/// Receives datagrams in batches and calls a handler for each. Datagrams that the handler sends are sent
/// together after the batch.
///
///     PacketPort port(context);
///     BOOST_LEAF_CHECK(port.open(address, [&](std::span<std::uint8_t> bytes, const Endpoint &from) { ...
///     }));
class PacketPort
{
public:
    /// Called with a datagram and its sender. `bytes` is valid until the next batch and has
    /// `ReceiveBatch::headroom` free bytes before it.
    using Handler = std::function<void(std::span<std::uint8_t> bytes, const Endpoint &from)>;

    static constexpr std::size_t batchSize = 32; ///< Datagrams per batch.
    static constexpr std::size_t maxDatagramSize = 1500; ///< Bytes; longer received datagrams are dropped.

    explicit PacketPort(asio::io_context &context);

    /// Binds the socket to `local` and starts to receive. Fails with `Code::AddressInUse` or
    /// `Code::SocketFailed`.
    Result<void> open(const Endpoint &local, Handler handler);
    void close();

    /// Queues a datagram without a copy: `bytes` must stay valid until the end of the batch or, outside of a
    /// handler, until `flush`.
    void send(std::span<const std::uint8_t> bytes, const Endpoint &to);
    /// Queues a copy of the first `maxCopySize` bytes of a datagram.
    void sendCopy(std::span<const std::uint8_t> bytes, const Endpoint &to);
    /// Sends the queued datagrams. Called after each batch; outside of a handler, the caller calls it.
    void flush();

    static constexpr std::size_t maxCopySize = 160; ///< Bytes.

    /// Number of datagrams that the kernel refused to send or that were received longer than
    /// `maxDatagramSize`.
    std::uint64_t lostDatagrams() const
    {
        return m_lostDatagrams;
    }

    /// Whether the last batch was full, so that more datagrams may be waiting, or may have been dropped.
    bool isLastBatchFull() const
    {
        return m_isLastBatchFull;
    }

    /// Called after each batch of received datagrams.
    std::function<void()> afterBatch;

private:
    void waitForInput();
    void receive();

    asio::posix::stream_descriptor m_descriptor;
    FileDescriptor m_socket;
    Handler m_handler;
    ReceiveBatch m_receiveBatch;
    SendBatch m_sendBatch;
    std::array<std::array<std::uint8_t, maxCopySize>, 2 * batchSize> m_copies{}; ///< Buffers of `sendCopy`.
    std::size_t m_usedCopies = 0; ///< Buffers used since the last flush.
    std::uint64_t m_lostDatagrams = 0;
    bool m_isLastBatchFull = false;
};

/// Queues a reset for the caller of `reset.flow`, at the caller's address and `callerPort`.
void sendReset(PacketPort &port, const PacketFormat &format, const FlowReset &reset,
               std::uint16_t callerPort);

} // namespace oriolelever
