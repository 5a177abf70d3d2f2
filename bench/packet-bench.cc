// Processor time per packet of the balancer against a bare UDP relay over the same batched sockets, in turns
// in one run: packet-bench [ROUNDS [MILLISECONDS]]. Prints "name: value" lines.
#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <poll.h>

#include "oriolelever/balancer-path.h"
#include "oriolelever/bytes.h"
#include "oriolelever/process-metrics.h"

using namespace oriolelever;

namespace {

constexpr std::size_t batchSize = 64;
constexpr std::size_t bufferSize = 2048;
constexpr std::size_t portsOfHost = 50'000;
constexpr std::size_t firstPort = 1024;
constexpr std::size_t serverCount = 7;
constexpr int pollMillis = 50;

Endpoint endpointOf(const char *text)
{
    Endpoint endpoint;
    parseEndpoint(text, endpoint);
    return endpoint;
}

FileDescriptor openLoopback()
{
    return handleError([] { return openDatagramSocket(endpointOf("127.0.0.1:0")); },
                       [](const Error &error) -> FileDescriptor {
                           fmt::print(stderr, "{}\n", error.text);
                           std::exit(2);
                       });
}

Duration threadTime()
{
    timespec spent{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
}

// Receives datagrams and sends them on, nothing else.
class Relay
{
public:
    explicit Relay(const Endpoint &target)
        : m_target(target)
        , m_thread([this] { loop(); })
    {
    }

    ~Relay()
    {
        m_stopping = true;
        m_thread.join();
    }

    Endpoint local() const
    {
        return localEndpoint(m_socket);
    }

    std::uint64_t packets() const
    {
        return m_packets;
    }

    Duration processorTime() const
    {
        return Duration(m_time);
    }

private:
    void loop()
    {
        ReceiveBatch receive(batchSize, bufferSize);
        SendBatch send(batchSize);
        pollfd entry{.fd = m_socket.value(), .events = POLLIN, .revents = 0};
        while (!m_stopping) {
            ::poll(&entry, 1, pollMillis);
            for (std::size_t count = batchSize; count == batchSize && !m_stopping;) {
                count = receive.receive(m_socket);
                for (std::size_t i = 0; i < count; ++i) {
                    send.add(receive.datagram(i), m_target);
                }
                send.flush(m_socket);
                m_packets += count;
                m_time = threadTime().count();
            }
        }
    }

    Endpoint m_target;
    FileDescriptor m_socket = openLoopback();
    std::atomic<std::uint64_t> m_packets{0};
    std::atomic<Duration::rep> m_time{0};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

// Takes packets and throws them away.
class Sink
{
public:
    Sink()
        : m_thread([this] {
            ReceiveBatch receive(batchSize, bufferSize);
            pollfd entry{.fd = m_socket.value(), .events = POLLIN, .revents = 0};
            while (!m_stopping) {
                ::poll(&entry, 1, pollMillis);
                while (receive.receive(m_socket) == batchSize && !m_stopping) { }
            }
        })
    {
    }

    ~Sink()
    {
        m_stopping = true;
        m_thread.join();
    }

    Endpoint local() const
    {
        return localEndpoint(m_socket);
    }

private:
    FileDescriptor m_socket = openLoopback();
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

// Sends packets of many flows in turn, as the fabric does.
class Source
{
public:
    Source(std::size_t packetSize, std::size_t flows)
        : m_flows(flows)
    {
        const std::vector<std::uint8_t> payload(packetSize - 40, 'x');
        for (auto &slot : m_slots) {
            slot.resize(maxGueHeaderSize + packetSize);
            const auto packet = std::span(slot).subspan(maxGueHeaderSize);
            buildTcp(packet,
                     {.source = endpointOf("198.18.0.1:1024"),
                      .destination = endpointOf("198.51.100.10:443"),
                      .tcpFlags = tcp::ack,
                      .payload = payload});
            m_datagrams.push_back(prependPlainGue(packet));
        }
    }

    /// The next datagrams; their memory is used again.
    std::vector<std::span<std::uint8_t>> &nextBatch()
    {
        for (const auto &datagram : m_datagrams) {
            setFlow(datagram.subspan(4));
        }
        return m_datagrams;
    }

    void run(const Endpoint &target, std::chrono::milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            for (const auto &datagram : nextBatch()) {
                m_send.add(datagram, target);
            }
            m_send.flush(m_socket);
        }
    }

private:
    void setFlow(std::span<std::uint8_t> packet)
    {
        m_flow = m_flow + 1 < m_flows ? m_flow + 1 : 0;
        const auto host = static_cast<std::uint16_t>(m_flow / portsOfHost);
        // The header checksum moves by as much as the last word of the source address.
        const std::uint16_t old = read16(&packet[14]);
        std::uint32_t sum = static_cast<std::uint16_t>(~read16(&packet[10])) + std::uint32_t{host}
            + static_cast<std::uint16_t>(~old);
        sum = (sum & 0xffff) + (sum >> 16);
        write16(&packet[10], static_cast<std::uint16_t>(~((sum & 0xffff) + (sum >> 16))));
        write16(&packet[14], host);
        write16(&packet[20], static_cast<std::uint16_t>(firstPort + m_flow % portsOfHost));
    }

    std::size_t m_flows;
    std::size_t m_flow = 0;
    FileDescriptor m_socket = openLoopback();
    SendBatch m_send{batchSize};
    std::array<std::vector<std::uint8_t>, batchSize> m_slots;
    std::vector<std::span<std::uint8_t>> m_datagrams;
};

std::shared_ptr<const Routing> routingTo(const Endpoint &agent)
{
    ClusterView view;
    std::vector<Record> records;
    const auto put = [&](RecordKind kind, const std::string &name, std::string value) {
        auto &record = records.emplace_back();
        record.key.kind = kind;
        record.key.name = name;
        record.version = {1, 1};
        record.value = std::move(value);
        handleError([&] { return applyRecord(view, record); }, [](const Error &) { return false; });
    };
    ServiceRow row{.name = "sportello", .address = endpointOf("198.51.100.10:443")};
    put(RecordKind::Service, row.name, encodeServiceRow(row));
    for (std::size_t i = 0; i < serverCount; ++i) {
        Announcement server{.name = fmt::format("s{}", i), .zone = "milano-a", .service = row.name};
        server.incarnation = 1;
        server.state = NodeState::Ready;
        server.data = agent;
        put(RecordKind::Node, server.name, encodeAnnouncement(server));
    }
    RoutingBuilder builder;
    return updateRouting(builder, view, records, std::chrono::steady_clock::now());
}

struct Cost
{
    std::vector<double> nanos; ///< Processor time per packet, by round.
    std::uint64_t packets = 0;

    double median() const
    {
        auto sorted = nanos;
        std::sort(sorted.begin(), sorted.end());
        return sorted.empty() ? 0 : sorted[sorted.size() / 2];
    }
};

template<typename Packets, typename Time>
void measure(Cost &cost, Source &source, const Endpoint &target, std::chrono::milliseconds time,
             Packets packets, Time processorTime)
{
    const auto before = packets();
    const auto spent = processorTime();
    source.run(target, time);
    std::this_thread::sleep_for(std::chrono::milliseconds(2 * pollMillis));
    const auto count = packets() - before;
    const auto nanos = static_cast<double>((processorTime() - spent).count());
    cost.packets += count;
    if (count != 0) {
        cost.nanos.push_back(nanos / static_cast<double>(count));
    }
}

// The balancer's own work on a packet, without system calls.
double decisionNanos(std::size_t packetSize, std::size_t flows, const TagKeys &keys)
{
    constexpr std::size_t passes = 20'000;
    Source source(packetSize, flows);
    const auto routing = routingTo(endpointOf("127.0.0.1:9"));
    std::size_t routed = 0;
    const auto before = threadTime();
    for (std::size_t pass = 0; pass < passes; ++pass) {
        for (auto &datagram : source.nextBatch()) {
            GuePacket outer;
            ParsedPacket packet;
            if (decodePlainGue(datagram, outer) != GueFault::None
                || parsePacket(outer.payload, packet) != PacketFault::None) {
                continue;
            }
            const auto decision = route(*routing, packet.flow);
            if (!decision) {
                continue;
            }
            const PathData path{.service = decision->service, .targetIncarnation = decision->incarnation};
            routed += prependGue(outer.payload, false, outer.type, path, keys).empty() ? 0 : 1;
            prependPlainGue(outer.payload);
        }
    }
    const auto spent = static_cast<double>((threadTime() - before).count());
    return routed == 0 ? 0 : spent / static_cast<double>(routed);
}

struct Case
{
    std::size_t packetSize = 64;
    std::size_t flows = 1000;
    bool tagged = false;
};

void runCase(const Case &item, std::size_t rounds, std::chrono::milliseconds time)
{
    const Sink sink;
    const Relay relay(sink.local());
    const auto keys
        = handleError([&] { return parseTagKeys(item.tagged ? "000102030405060708090a0b0c0d0e0f" : "", ""); },
                      [](const Error &) { return TagKeys{}; });
    BalancerPath balancer({.listen = endpointOf("127.0.0.1:0"), .keys = keys});
    handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(balancer.start());
            return true;
        },
        [](const Error &) { return false; });
    balancer.setRouting(routingTo(sink.local()));
    Source source(item.packetSize, item.flows);
    Cost bare;
    Cost ours;
    const auto memoryBefore = residentMemory();
    for (std::size_t round = 0; round < rounds; ++round) {
        measure(
            bare, source, relay.local(), time, [&] { return relay.packets(); },
            [&] { return relay.processorTime(); });
        measure(
            ours, source, balancer.local(), time, [&] { return balancer.total(PathEvent::Relayed); },
            [&] { return balancer.processorTime(); });
    }
    const auto name
        = fmt::format("{} bytes, {} flows{}", item.packetSize, item.flows, item.tagged ? ", tags" : "");
    fmt::print("relay ns per packet, {}: {:.0f}\n", name, bare.median());
    fmt::print("balancer ns per packet, {}: {:.0f}\n", name, ours.median());
    fmt::print("balancer packets per core second, {}: {:.0f}\n", name, 1e9 / ours.median());
    fmt::print("balancer over relay, {}: {:.2f}\n", name, ours.median() / bare.median());
    fmt::print("decision ns per packet, {}: {:.0f}\n", name,
               decisionNanos(item.packetSize, item.flows, keys));
    fmt::print("resident growth KiB, {}: {}\n", name,
               (static_cast<std::int64_t>(residentMemory()) - static_cast<std::int64_t>(memoryBefore))
                   / 1024);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    const std::size_t rounds = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 5;
    const std::chrono::milliseconds time(argc > 2 ? std::strtol(argv[2], nullptr, 10) : 300);
    for (const std::size_t size : {64, 1400}) {
        for (const std::size_t flows : {1'000, 10'000, 100'000, 500'000}) {
            runCase({.packetSize = size, .flows = flows}, rounds, time);
        }
        runCase({.packetSize = size, .flows = 500'000, .tagged = true}, rounds, time);
    }
    return 0;
}
