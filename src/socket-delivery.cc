#include <cerrno>
#include <cstring>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <fmt/format.h>
#include <sys/epoll.h>

#include "oriolelever/delivery.h"

namespace oriolelever {

namespace {

constexpr std::size_t slotCount = 64; ///< Answers between two flushes.
constexpr std::size_t bufferSlack
    = 128; ///< Bytes beyond the MTU, so that longer packets are seen to be longer.
constexpr int flowBufferBytes = 256 << 10;
constexpr std::size_t sweepShare = 256; ///< Flows that one sweep looks at.

struct Flow
{
    FlowKey key;
    FileDescriptor socket;
    TimePoint openedAt;
    TimePoint lastSeen;
    bool answered = false;
    bool callerEnded = false;
    bool serverEnded = false;
    bool reset = false;

    bool hasEnded() const
    {
        return reset || (callerEnded && serverEnded);
    }
};

class SocketDelivery : public Delivery
{
public:
    SocketDelivery(const SocketDeliveryOptions &options, FileDescriptor epoll)
        : m_options(options)
        , m_epoll(std::move(epoll))
        , m_server(toSocketAddress(options.server))
        , m_stride(ReceiveBatch::headroom + options.mtu + bufferSlack)
        , m_memory(slotCount * m_stride)
        , m_events(slotCount)
    {
    }

    int pollDescriptor() const override
    {
        return m_epoll.value();
    }

    std::size_t openFlows() const override
    {
        return m_flows.size();
    }

    bool deliver(std::span<const std::uint8_t> packet, const ParsedPacket &parsed, TimePoint now) override
    {
        Flow *const flow = findOrOpen(parsed.flow, now);
        if (flow == nullptr) {
            return false;
        }
        flow->lastSeen = now;
        noteFlags(*flow, parsed, flow->callerEnded);
        // A connected UDP socket reports an earlier refusal once; the packet itself has not been sent then.
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

    void receive(AnswerSink &sink, TimePoint now) override
    {
        const int count
            = ::epoll_wait(m_epoll.value(), m_events.data(), static_cast<int>(m_events.size()), 0);
        m_slot = 0;
        for (int i = 0; i < count; ++i) {
            receiveFlow(*static_cast<Flow *>(m_events[static_cast<std::size_t>(i)].data.ptr), sink, now);
        }
        sink.flush();
    }

    void sweep(AnswerSink &sink, TimePoint now) override
    {
        // Looks at a part of the flows each time, so that the time of one sweep is bounded.
        for (std::size_t i = 0; i < sweepShare && !m_order.empty(); ++i) {
            m_cursor = m_cursor + 1 < m_order.size() ? m_cursor + 1 : 0;
            const auto entry = m_flows.find(m_order[m_cursor]);
            if (entry == m_flows.end() || isFinished(*entry->second, now)) {
                const auto key = m_order[m_cursor];
                m_order[m_cursor] = m_order.back();
                m_order.pop_back();
                m_flows.erase(key);
                sink.closed(key);
            }
            if (i + 1 >= m_order.size()) {
                return;
            }
        }
    }

private:
    Flow *findOrOpen(const FlowKey &key, TimePoint now)
    {
        if (const auto found = m_flows.find(key); found != m_flows.end()) {
            return found->second.get();
        }
        auto flow = std::make_unique<Flow>();
        const auto family = m_server.storage.ss_family;
        flow->socket = FileDescriptor(::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        const auto *const address = reinterpret_cast<const sockaddr *>(&m_server.storage);
        if (!flow->socket || ::connect(flow->socket.value(), address, m_server.size) != 0) {
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
        m_order.push_back(key);
        return m_flows.emplace(key, std::move(flow)).first->second.get();
    }

    void receiveFlow(Flow &flow, AnswerSink &sink, TimePoint now)
    {
        for (;;) {
            if (m_slot == slotCount) {
                sink.flush();
                m_slot = 0;
            }
            std::uint8_t *const start = m_memory.data() + m_slot * m_stride + ReceiveBatch::headroom;
            const auto size
                = ::recv(flow.socket.value(), start, m_stride - ReceiveBatch::headroom, MSG_DONTWAIT);
            if (size < 0) {
                return;
            }
            takeAnswer(flow, {start, static_cast<std::size_t>(size)}, sink, now);
        }
    }

    void takeAnswer(Flow &flow, std::span<std::uint8_t> packet, AnswerSink &sink, TimePoint now)
    {
        ParsedPacket parsed;
        if (const auto fault = parsePacket(packet, parsed); fault != PacketFault::None) {
            sink.malformed(fault);
            return;
        }
        if (reversed(parsed.flow) != flow.key) {
            sink.foreign();
            return;
        }
        flow.lastSeen = now;
        noteFlags(flow, parsed, flow.serverEnded);
        if (!flow.answered) {
            flow.answered = true;
            sink.sample({.time = now - flow.openedAt, .failed = (parsed.tcpFlags & tcp::rst) != 0});
        }
        ++m_slot;
        sink.answer(packet, parsed);
    }

    static void noteFlags(Flow &flow, const ParsedPacket &parsed, bool &ended)
    {
        if (parsed.icmpError) {
            return;
        }
        if (parsed.isNewTcpFlow()) {
            // The caller uses the port again.
            flow.callerEnded = false;
            flow.serverEnded = false;
            flow.reset = false;
        }
        ended = ended || (parsed.tcpFlags & tcp::fin) != 0;
        flow.reset = flow.reset || (parsed.tcpFlags & tcp::rst) != 0;
    }

    bool isFinished(const Flow &flow, TimePoint now) const
    {
        if (flow.hasEnded()) {
            return now - flow.lastSeen >= m_options.closeTime;
        }
        const bool tcpFlow = flow.key.protocol == Protocol::Tcp;
        return now - flow.lastSeen >= (tcpFlow ? m_options.tcpIdleTime : m_options.udpIdleTime);
    }

    SocketDeliveryOptions m_options;
    FileDescriptor m_epoll;
    SocketAddress m_server;
    std::size_t m_stride;
    std::vector<std::uint8_t> m_memory;
    std::size_t m_slot = 0;
    std::vector<epoll_event> m_events;
    absl::flat_hash_map<FlowKey, std::unique_ptr<Flow>, std::hash<FlowKey>> m_flows;
    std::vector<FlowKey> m_order; ///< Every key of `m_flows` once, for the sweep.
    std::size_t m_cursor = 0;
};

} // namespace

Result<std::unique_ptr<Delivery>> makeSocketDelivery(const SocketDeliveryOptions &options)
{
    FileDescriptor epoll(::epoll_create1(EPOLL_CLOEXEC));
    if (!epoll) {
        return fail(Code::SocketFailed, fmt::format("no epoll descriptor: {}", std::strerror(errno)));
    }
    return std::unique_ptr<Delivery>(std::make_unique<SocketDelivery>(options, std::move(epoll)));
}

} // namespace oriolelever
