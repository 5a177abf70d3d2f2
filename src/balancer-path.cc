#include "oriolelever/balancer-path.h"

#include <ctime>
#include <thread>

#include <poll.h>
#include <pthread.h>

namespace oriolelever {

namespace {

constexpr std::size_t batchSize = 64; ///< Datagrams.
constexpr std::size_t batchesBeforePoll = 16; ///< Largest number of batches between two polls.
constexpr int pollTimeoutMs = 100;
constexpr std::size_t bufferSlack
    = 128; ///< Bytes beyond the MTU, so that a packet that exceeds the MTU is received whole.
constexpr std::size_t minMtuV6 = 1280; ///< Bytes; the minimum link MTU of IPv6.
constexpr std::size_t errorBufferSize = 1400; ///< Bytes; an ICMP error has at most 1280.

} // namespace

/// One packet thread with its socket. Public functions may be called from other threads.
class BalancerPath::Worker
{
public:
    Worker(const BalancerPathOptions &options, FileDescriptor socket, FileDescriptor wakeDescriptor)
        : m_options(options)
        , m_socket(std::move(socket))
        , m_wakeDescriptor(std::move(wakeDescriptor))
        , m_receiveBatch(batchSize, options.mtu + bufferSlack)
        , m_sendBatch(batchSize)
        , m_errorBuffer(ReceiveBatch::headroom + errorBufferSize)
        , m_isOuterV6(!options.listen.address.isV4())
        , m_outerOverhead(outerOverhead(m_isOuterV6, true, options.keys))
    {
    }

    void run()
    {
        m_thread = std::thread([this] { loop(); });
    }

    void stop()
    {
        m_stopping = true;
        wake(m_wakeDescriptor);
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    void setRouting(std::shared_ptr<const Routing> routing)
    {
        const std::lock_guard lock(m_mutex);
        m_pendingRouting = std::move(routing);
        m_hasPendingRouting.store(true, std::memory_order_release);
    }

    Endpoint local() const
    {
        return localEndpoint(m_socket);
    }

    const PathCounters &counters() const
    {
        return m_counters;
    }

    TimePoint lastReceiveTime() const
    {
        return TimePoint(Duration(m_lastReceiveTime.load(std::memory_order_relaxed)));
    }

    Duration processorTime() const
    {
        return Duration(m_processorTime.load(std::memory_order_relaxed));
    }

private:
    void loop()
    {
        std::array<pollfd, 2> entries{{{.fd = m_socket.value(), .events = POLLIN, .revents = 0},
                                       {.fd = m_wakeDescriptor.value(), .events = POLLIN, .revents = 0}}};
        while (!m_stopping) {
            ::poll(entries.data(), entries.size(), pollTimeoutMs);
            clearWake(m_wakeDescriptor);
            receiveBatches();
            updateProcessorTime();
        }
        receiveBatches();
    }

    void receiveBatches()
    {
        for (std::size_t i = 0; i < batchesBeforePoll; ++i) {
            applyPendingRouting();
            const std::size_t count = m_receiveBatch.receive(m_socket);
            if (count == 0) {
                return;
            }
            m_lastReceiveTime.store(std::chrono::steady_clock::now().time_since_epoch().count(),
                                    std::memory_order_relaxed);
            m_counters.count(PathEvent::Received, count);
            for (std::size_t k = 0; k < count; ++k) {
                handleDatagram(k);
            }
            m_counters.count(PathEvent::SendRefused, m_sendBatch.flush(m_socket));
            if (count < batchSize) {
                return;
            }
        }
    }

    void applyPendingRouting()
    {
        if (!m_hasPendingRouting.load(std::memory_order_acquire)) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        m_routing = std::move(m_pendingRouting);
        m_hasPendingRouting = false;
    }

    void handleDatagram(std::size_t index)
    {
        if (m_receiveBatch.isTruncated(index)) {
            m_counters.count(PathEvent::Oversized);
            return;
        }
        const auto datagram = m_receiveBatch.datagram(index);
        if (isControl(datagram)) {
            handleNotice(datagram);
            return;
        }
        GuePacket outer;
        if (const auto fault = decodePlainGue(datagram, outer); fault != GueFault::None) {
            m_counters.count(fault);
            return;
        }
        ParsedPacket packet;
        if (const auto fault = parsePacket(outer.payload, packet); fault != PacketFault::None) {
            m_counters.count(fault);
            return;
        }
        relay(outer, packet);
    }

    void relay(const GuePacket &outer, const ParsedPacket &packet)
    {
        if (!m_routing) {
            m_counters.count(PathEvent::UnknownService);
            return;
        }
        const auto decision = route(*m_routing, packet.flow);
        if (!decision) {
            const bool known = findRoute(*m_routing, packet.flow.service, packet.flow.protocol) != nullptr;
            m_counters.count(known ? PathEvent::NoServer : PathEvent::UnknownService);
            return;
        }
        if (outer.payload.size() + m_outerOverhead > m_options.mtu && !mayBeFragmented(packet)) {
            rejectTooBig(outer, packet);
            return;
        }
        const PathData path{.service = decision->service,
                            .targetIncarnation = decision->incarnation,
                            .rosterVersion = decision->version};
        m_sendBatch.add(prependGue(outer.payload, false, outer.type, path, m_options.keys), decision->target);
        m_counters.count(PathEvent::Relayed);
    }

    // Such a packet is sent whole: the kernel fragments the outer packet. An IPv6 sender cannot be asked for
    // less than the minimum MTU.
    static bool mayBeFragmented(const ParsedPacket &packet)
    {
        return packet.v6 ? packet.size <= minMtuV6 : packet.mayFragment;
    }

    void rejectTooBig(const GuePacket &outer, const ParsedPacket &packet)
    {
        m_counters.count(PathEvent::TooBig);
        if (m_options.returnEndpoint.port == 0 || packet.isIcmpError) {
            return;
        }
        const auto space = std::span(m_errorBuffer).subspan(ReceiveBatch::headroom);
        auto mtu = static_cast<std::uint16_t>(m_options.mtu - m_outerOverhead);
        if (packet.v6 && mtu < minMtuV6) {
            mtu = minMtuV6;
        }
        const auto size = buildTooBig(space, outer.payload, packet, mtu);
        if (size == 0) {
            return;
        }
        // Errors are rare enough for a system call each.
        SendBatch single(1);
        single.add(prependPlainGue(space.first(size)), m_options.returnEndpoint);
        m_counters.count(PathEvent::SendRefused, single.flush(m_socket));
    }

    void handleNotice(std::span<std::uint8_t> datagram)
    {
        GuePacket notice;
        if (const auto fault = decodeGue(datagram, m_options.keys, notice); fault != GueFault::None) {
            m_counters.count(fault);
            return;
        }
        const bool wrongTarget = notice.type == static_cast<std::uint8_t>(ControlType::WrongTarget);
        m_counters.count(wrongTarget ? PathEvent::WrongTargetNotice : PathEvent::StaleNotice);
        if (m_options.onRosterNotice) {
            m_options.onRosterNotice(notice.path->service, notice.path->rosterVersion);
        }
    }

    void updateProcessorTime()
    {
        timespec spent{};
        ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
        const auto time = std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
        m_processorTime.store(Duration(time).count(), std::memory_order_relaxed);
    }

    const BalancerPathOptions &m_options;
    FileDescriptor m_socket;
    FileDescriptor m_wakeDescriptor;
    ReceiveBatch m_receiveBatch;
    SendBatch m_sendBatch;
    std::vector<std::uint8_t> m_errorBuffer;
    bool m_isOuterV6; ///< The link to the agents uses IPv6.
    std::size_t m_outerOverhead; ///< Bytes that the encapsulation adds to a packet.
    PathCounters m_counters;
    std::shared_ptr<const Routing> m_routing; ///< In force; null before the first one.
    std::mutex m_mutex;
    std::shared_ptr<const Routing> m_pendingRouting; ///< To be applied by the thread; guarded by `m_mutex`.
    std::atomic<bool> m_hasPendingRouting{false};
    std::atomic<bool> m_stopping{false};
    std::atomic<Duration::rep> m_lastReceiveTime{0}; ///< Since the epoch of the steady clock.
    std::atomic<Duration::rep> m_processorTime{0}; ///< CPU time of the thread.
    std::thread m_thread;
};

BalancerPath::BalancerPath(BalancerPathOptions options)
    : m_options(std::move(options))
{
}

BalancerPath::~BalancerPath()
{
    stop();
}

Result<void> BalancerPath::start()
{
    auto address = m_options.listen;
    if (m_options.threads > 1 && address.port != 0) {
        // With SO_REUSEPORT another process that uses the port would be shared with silently, so the port is
        // first opened without it, which fails if the port is in use.
        BOOST_LEAF_CHECK(openDatagramSocket(address));
    }
    for (std::size_t i = 0; i < m_options.threads; ++i) {
        BOOST_LEAF_AUTO(socket, openDatagramSocket(address, {.reusePort = m_options.threads > 1}));
        BOOST_LEAF_AUTO(wakeDescriptor, openWakeDescriptor());
        address = localEndpoint(socket);
        m_workers.push_back(
            std::make_unique<Worker>(m_options, std::move(socket), std::move(wakeDescriptor)));
    }
    for (auto &worker : m_workers) {
        worker->run();
    }
    return {};
}

void BalancerPath::stop()
{
    for (auto &worker : m_workers) {
        worker->stop();
    }
}

void BalancerPath::setRouting(std::shared_ptr<const Routing> routing)
{
    for (auto &worker : m_workers) {
        worker->setRouting(routing);
    }
}

Endpoint BalancerPath::local() const
{
    return m_workers.empty() ? m_options.listen : m_workers.front()->local();
}

TimePoint BalancerPath::lastReceiveTime() const
{
    TimePoint last;
    for (const auto &worker : m_workers) {
        last = std::max(last, worker->lastReceiveTime());
    }
    return last;
}

Duration BalancerPath::processorTime() const
{
    Duration sum{0};
    for (const auto &worker : m_workers) {
        sum += worker->processorTime();
    }
    return sum;
}

void BalancerPath::forEachThreadCounters(const std::function<void(const PathCounters &)> &visit) const
{
    for (const auto &worker : m_workers) {
        visit(worker->counters());
    }
}

std::uint64_t BalancerPath::total(PathEvent event) const
{
    std::uint64_t sum = 0;
    for (const auto &worker : m_workers) {
        sum += worker->counters().value(event);
    }
    return sum;
}

} // namespace oriolelever
