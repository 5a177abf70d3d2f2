#include "oriolelever/packet-port.h"

#include <algorithm>

namespace oriolelever {

PacketPort::PacketPort(asio::io_context &context)
    : m_descriptor(context)
    , m_receiveBatch(batchSize, maxDatagramSize)
    , m_sendBatch(2 * batchSize)
{
}

Result<void> PacketPort::open(const Endpoint &local, Handler handler)
{
    BOOST_LEAF_ASSIGN(m_socket, openDatagramSocket(local));
    m_handler = std::move(handler);
    m_descriptor.assign(m_socket.value());
    waitForInput();
    return {};
}

void PacketPort::close()
{
    if (m_descriptor.is_open()) {
        m_descriptor.release();
    }
    m_socket.reset();
}

void PacketPort::waitForInput()
{
    m_descriptor.async_wait(asio::posix::stream_descriptor::wait_read, [this](const asio::error_code &error) {
        if (error || !m_socket) {
            return;
        }
        receive();
        waitForInput();
    });
}

void PacketPort::receive()
{
    const auto count = m_receiveBatch.receive(m_socket);
    m_isLastBatchFull = count == batchSize;
    for (std::size_t i = 0; i < count; ++i) {
        if (m_receiveBatch.isTruncated(i)) {
            ++m_lostDatagrams;
            continue;
        }
        m_handler(m_receiveBatch.datagram(i), toEndpoint(m_receiveBatch.sender(i)));
    }
    flush();
    if (afterBatch) {
        afterBatch();
    }
}

void PacketPort::send(std::span<const std::uint8_t> bytes, const Endpoint &to)
{
    if (m_sendBatch.isFull()) {
        flush();
    }
    m_sendBatch.add(bytes, to);
}

void PacketPort::sendCopy(std::span<const std::uint8_t> bytes, const Endpoint &to)
{
    if (m_usedCopies == m_copies.size() || m_sendBatch.isFull()) {
        flush();
    }
    auto &copy = m_copies[m_usedCopies++];
    const auto size = std::min(bytes.size(), copy.size());
    std::copy_n(bytes.begin(), size, copy.begin());
    send({copy.data(), size}, to);
}

void PacketPort::flush()
{
    m_lostDatagrams += m_sendBatch.flush(m_socket);
    m_usedCopies = 0;
}

void sendReset(PacketPort &port, const PacketFormat &format, const FlowReset &reset, std::uint16_t callerPort)
{
    std::array<std::uint8_t, maxResetSize> bytes{};
    const auto &flow = reset.flow;
    const auto size = format.writeReset(bytes, flow.service, flow.caller, reset.sequence);
    port.sendCopy({bytes.data(), size}, {flow.caller.address, callerPort});
}

} // namespace oriolelever
