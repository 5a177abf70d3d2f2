#include <cerrno>
#include <cstring>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <fmt/format.h>
#include <sys/epoll.h>

#include "oriolelever/delivery.h"

namespace oriolelever {

namespace {

constexpr std::size_t slotCount = 64; ///< Packets of the backend server between two flushes.
constexpr std::size_t bufferSlack
    = 128; ///< Bytes beyond the MTU, so that a packet that exceeds the MTU is received whole.
constexpr int flowBufferBytes = 256 << 10; ///< Receive buffer of a flow's socket.
constexpr std::size_t expiryBatchSize = 256; ///< Flows that one call of `expireFlows` examines.

struct Flow
{
    FlowKey key;
    FileDescriptor socket; ///< Connected to the backend server.
    TimePoint openedAt; ///< Time of the caller's first packet.
    TimePoint lastPacketTime; ///< In either direction.
    bool hasAnswered = false; ///< The backend server has sent a packet.
    bool callerEnded = false; ///< The caller has sent a FIN.
    bool serverEnded = false; ///< The backend server has sent a FIN.
    bool wasReset = false; ///< Either side has sent a RST.

    bool hasEnded() const
    {
        return wasReset || (callerEnded && serverEnded);
    }
};

class SocketDelivery : public Delivery
{
public:
    SocketDelivery(const SocketDeliveryOptions &options, FileDescriptor epoll)
        : m_options(options)
        , m_epoll(std::move(epoll))
        , m_serverAddress(toSocketAddress(options.server))
        , m_slotSize(ReceiveBatch::headroom + options.mtu + bufferSlack)
        , m_buffers(slotCount * m_slotSize)
        , m_events(slotCount)
    {
    }

    int pollDescriptor() const override
    {
        return m_epoll.value();
    }

    std::size_t openFlowCount() const override
    {
        return m_flows.size();
    }

    bool deliver(std::span<const std::uint8_t> packet, const ParsedPacket &parsed, TimePoint now) override
    {
        Flow *const flow = findOrOpenFlow(parsed.flow, now);
        if (flow == nullptr) {
            return false;
        }
        flow->lastPacketTime = now;
        updateFlowState(*flow, parsed, flow->callerEnded);
        // ECONNREFUSED reports that an earlier packet was refused; this packet has not been sent. The error
        // is reported once, so the second attempt sends the packet.
        for (int attempt = 0; attempt < 2; ++attempt) {
            const auto sent = ::send(flow->socket.value(), packet.data(), packet.size(), MSG_DONTWAIT);
            if (sent >= 0) {
                return true;
            }
            if (errno != ECONNREFUSED) {
                return false;
            }
        }
        return false;
    }

    void receive(ServerPacketSink &sink, TimePoint now) override
    {
        const int count
            = ::epoll_wait(m_epoll.value(), m_events.data(), static_cast<int>(m_events.size()), 0);
        m_nextSlot = 0;
        for (int i = 0; i < count; ++i) {
            receiveFromFlow(*static_cast<Flow *>(m_events[static_cast<std::size_t>(i)].data.ptr), sink, now);
        }
        sink.flush();
    }

    void expireFlows(ServerPacketSink &sink, TimePoint now) override
    {
        // Each call examines only a part of the flows, so that its duration is bounded.
        for (std::size_t i = 0; i < expiryBatchSize && !m_expiryKeys.empty(); ++i) {
            m_expiryCursor = m_expiryCursor + 1 < m_expiryKeys.size() ? m_expiryCursor + 1 : 0;
            const auto entry = m_flows.find(m_expiryKeys[m_expiryCursor]);
            if (entry == m_flows.end() || hasExpired(*entry->second, now)) {
                const auto key = m_expiryKeys[m_expiryCursor];
                m_expiryKeys[m_expiryCursor] = m_expiryKeys.back();
                m_expiryKeys.pop_back();
                m_flows.erase(key);
                sink.handleFlowExpired(key);
            }
            if (i + 1 >= m_expiryKeys.size()) {
                return;
            }
        }
    }

private:
    Flow *findOrOpenFlow(const FlowKey &key, TimePoint now)
    {
        if (const auto found = m_flows.find(key); found != m_flows.end()) {
            return found->second.get();
        }
        auto flow = std::make_unique<Flow>();
        const auto family = m_serverAddress.storage.ss_family;
        flow->socket = FileDescriptor(::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        const auto *const address = reinterpret_cast<const sockaddr *>(&m_serverAddress.storage);
        if (!flow->socket || ::connect(flow->socket.value(), address, m_serverAddress.size) != 0) {
            return nullptr;
        }
        const int bytes = flowBufferBytes;
        ::setsockopt(flow->socket.value(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
        epoll_event event{.events = EPOLLIN, .data = {.ptr = flow.get()}};
        if (::epoll_ctl(m_epoll.value(), EPOLL_CTL_ADD, flow->socket.value(), &event) != 0) {
            return nullptr;
        }
        flow->key = key;
        flow->openedAt = now;
        m_expiryKeys.push_back(key);
        return m_flows.emplace(key, std::move(flow)).first->second.get();
    }

    void receiveFromFlow(Flow &flow, ServerPacketSink &sink, TimePoint now)
    {
        for (;;) {
            if (m_nextSlot == slotCount) {
                sink.flush();
                m_nextSlot = 0;
            }
            std::uint8_t *const start = m_buffers.data() + m_nextSlot * m_slotSize + ReceiveBatch::headroom;
            const auto size
                = ::recv(flow.socket.value(), start, m_slotSize - ReceiveBatch::headroom, MSG_DONTWAIT);
            if (size < 0) {
                return;
            }
            handleReceived(flow, {start, static_cast<std::size_t>(size)}, sink, now);
        }
    }

    void handleReceived(Flow &flow, std::span<std::uint8_t> packet, ServerPacketSink &sink, TimePoint now)
    {
        ParsedPacket parsed;
        if (const auto fault = parsePacket(packet, parsed); fault != PacketFault::None) {
            sink.handleMalformed(fault);
            return;
        }
        if (reversed(parsed.flow) != flow.key) {
            sink.handleFlowMismatch();
            return;
        }
        flow.lastPacketTime = now;
        updateFlowState(flow, parsed, flow.serverEnded);
        if (!flow.hasAnswered) {
            flow.hasAnswered = true;
            sink.recordServerSample(
                {.time = now - flow.openedAt, .failed = (parsed.tcpFlags & tcp::rst) != 0});
        }
        ++m_nextSlot;
        sink.handleServerPacket(packet, parsed);
    }

    // `ended` is the flag of the side that sent the packet.
    static void updateFlowState(Flow &flow, const ParsedPacket &parsed, bool &ended)
    {
        if (parsed.isIcmpError) {
            return;
        }
        if (parsed.isNewTcpFlow()) {
            // The caller reuses the port for a new connection.
            flow.callerEnded = false;
            flow.serverEnded = false;
            flow.wasReset = false;
        }
        ended = ended || (parsed.tcpFlags & tcp::fin) != 0;
        flow.wasReset = flow.wasReset || (parsed.tcpFlags & tcp::rst) != 0;
    }

    bool hasExpired(const Flow &flow, TimePoint now) const
    {
        if (flow.hasEnded()) {
            return now - flow.lastPacketTime >= m_options.endedFlowTimeout;
        }
        const bool tcpFlow = flow.key.protocol == Protocol::Tcp;
        return now - flow.lastPacketTime >= (tcpFlow ? m_options.tcpIdleTimeout : m_options.udpIdleTimeout);
    }

    SocketDeliveryOptions m_options;
    FileDescriptor m_epoll;
    SocketAddress m_serverAddress;
    std::size_t m_slotSize; ///< Bytes, headroom included.
    std::vector<std::uint8_t> m_buffers; ///< `slotCount` slots for received packets.
    std::size_t m_nextSlot = 0; ///< First slot that is free until the next flush.
    std::vector<epoll_event> m_events;
    absl::flat_hash_map<FlowKey, std::unique_ptr<Flow>, std::hash<FlowKey>> m_flows;
    std::vector<FlowKey> m_expiryKeys; ///< Every key of `m_flows` once, in the order of `expireFlows`.
    std::size_t m_expiryCursor = 0; ///< Index of the key that was examined last.
};

} // namespace

Result<std::unique_ptr<Delivery>> makeSocketDelivery(const SocketDeliveryOptions &options)
{
    FileDescriptor epoll(::epoll_create1(EPOLL_CLOEXEC));
    if (!epoll) {
        return fail(Code::SocketFailed,
                    fmt::format("epoll descriptor cannot be created: {}", std::strerror(errno)));
    }
    return std::unique_ptr<Delivery>(std::make_unique<SocketDelivery>(options, std::move(epoll)));
}

} // namespace oriolelever
