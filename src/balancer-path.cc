#include "oriolelever/balancer-path.h"

#include <ctime>
#include <thread>

#include <poll.h>
#include <pthread.h>

namespace oriolelever {

namespace {

constexpr std::size_t batchSize = 64; ///< Datagrams.
constexpr std::size_t batchesBeforePoll = 16;
constexpr int pollMillis = 100;
constexpr std::size_t bufferSlack
    = 128; ///< Bytes beyond the MTU, so that longer packets are seen to be longer.
constexpr std::size_t minMtuV6 = 1280;
constexpr std::size_t errorSize = 1400;

} // namespace

class BalancerPath::Worker
{
public:
    Worker(const BalancerPathOptions &options, FileDescriptor socket, FileDescriptor wakeUp)
        : m_options(options)
        , m_socket(std::move(socket))
        , m_wake(std::move(wakeUp))
        , m_receive(batchSize, options.mtu + bufferSlack)
        , m_send(batchSize)
        , m_error(ReceiveBatch::headroom + errorSize)
        , m_v6(!options.listen.address.isV4())
        , m_overhead(outerOverhead(m_v6, true, options.keys))
    {
    }

    void run()
    {
        m_thread = std::thread([this] { loop(); });
    }

    void stop()
    {
        m_stopping = true;
        wake(m_wake);
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    void setRouting(std::shared_ptr<const Routing> routing)
    {
        const std::lock_guard lock(m_mutex);
        m_pending = std::move(routing);
        m_changed.store(true, std::memory_order_release);
    }

    Endpoint local() const
    {
        return localEndpoint(m_socket);
    }

    const PathCounters &counters() const
    {
        return m_counters;
    }

    TimePoint lastInput() const
    {
        return TimePoint(Duration(m_lastInput.load(std::memory_order_relaxed)));
    }

    Duration processorTime() const
    {
        return Duration(m_processorTime.load(std::memory_order_relaxed));
    }

private:
    void loop()
    {
        std::array<pollfd, 2> entries{{{.fd = m_socket.value(), .events = POLLIN, .revents = 0},
                                       {.fd = m_wake.value(), .events = POLLIN, .revents = 0}}};
        while (!m_stopping) {
            ::poll(entries.data(), entries.size(), pollMillis);
            clearWake(m_wake);
            drainSocket();
            noteProcessorTime();
        }
        drainSocket();
    }

    void drainSocket()
    {
        for (std::size_t i = 0; i < batchesBeforePoll; ++i) {
            takeRouting();
            const std::size_t count = m_receive.receive(m_socket);
            if (count == 0) {
                return;
            }
            m_lastInput.store(std::chrono::steady_clock::now().time_since_epoch().count(),
                              std::memory_order_relaxed);
            m_counters.count(PathEvent::Received, count);
            for (std::size_t k = 0; k < count; ++k) {
                handleDatagram(k);
            }
            m_counters.count(PathEvent::SendRefused, m_send.flush(m_socket));
            if (count < batchSize) {
                return;
            }
        }
    }

    void takeRouting()
    {
        if (!m_changed.load(std::memory_order_acquire)) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        m_routing = std::move(m_pending);
        m_changed = false;
    }

    void handleDatagram(std::size_t index)
    {
        if (m_receive.isCut(index)) {
            m_counters.count(PathEvent::Cut);
            return;
        }
        const auto datagram = m_receive.datagram(index);
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
        if (outer.payload.size() + m_overhead > m_options.mtu && !mayBeFragmented(packet)) {
            refuseTooBig(outer, packet);
            return;
        }
        const PathData path{.service = decision->service,
                            .target = decision->incarnation,
                            .rosterVersion = decision->version};
        m_send.add(prependGue(outer.payload, false, outer.type, path, m_options.keys), decision->target);
        m_counters.count(PathEvent::Relayed);
    }

    // The kernel fragments the outer packet.
    static bool mayBeFragmented(const ParsedPacket &packet)
    {
        return packet.v6 ? packet.size <= minMtuV6 : packet.mayFragment;
    }

    void refuseTooBig(const GuePacket &outer, const ParsedPacket &packet)
    {
        m_counters.count(PathEvent::TooBig);
        if (m_options.returnTo.port == 0 || packet.icmpError) {
            return;
        }
        const auto room = std::span(m_error).subspan(ReceiveBatch::headroom);
        auto mtu = static_cast<std::uint16_t>(m_options.mtu - m_overhead);
        if (packet.v6 && mtu < minMtuV6) {
            mtu = minMtuV6;
        }
        const auto size = buildTooBig(room, outer.payload, packet, mtu);
        if (size == 0) {
            return;
        }
        // Rare, so that it may have a system call of its own.
        SendBatch single(1);
        single.add(prependPlainGue(room.first(size)), m_options.returnTo);
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
        if (m_options.onStale) {
            m_options.onStale(notice.path->service, notice.path->rosterVersion);
        }
    }

    void noteProcessorTime()
    {
        timespec spent{};
        ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
        const auto time = std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
        m_processorTime.store(Duration(time).count(), std::memory_order_relaxed);
    }

    const BalancerPathOptions &m_options;
    FileDescriptor m_socket;
    FileDescriptor m_wake;
    ReceiveBatch m_receive;
    SendBatch m_send;
    std::vector<std::uint8_t> m_error;
    bool m_v6;
    std::size_t m_overhead;
    PathCounters m_counters;
    std::shared_ptr<const Routing> m_routing;
    std::mutex m_mutex;
    std::shared_ptr<const Routing> m_pending; ///< Guarded by `m_mutex`.
    std::atomic<bool> m_changed{false};
    std::atomic<bool> m_stopping{false};
    std::atomic<Duration::rep> m_lastInput{0};
    std::atomic<Duration::rep> m_processorTime{0};
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
        // SO_REUSEPORT alone would share the port with another process instead of failing.
        BOOST_LEAF_CHECK(openDatagramSocket(address));
    }
    for (std::size_t i = 0; i < m_options.threads; ++i) {
        BOOST_LEAF_AUTO(socket, openDatagramSocket(address, {.reusePort = m_options.threads > 1}));
        BOOST_LEAF_AUTO(wakeUp, openWakeDescriptor());
        address = localEndpoint(socket);
        m_workers.push_back(std::make_unique<Worker>(m_options, std::move(socket), std::move(wakeUp)));
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

TimePoint BalancerPath::lastInput() const
{
    TimePoint last;
    for (const auto &worker : m_workers) {
        last = std::max(last, worker->lastInput());
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

void BalancerPath::forEachCounters(const std::function<void(const PathCounters &)> &visit) const
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
