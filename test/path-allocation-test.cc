// Checks that the packet threads do not allocate for a packet of a known flow. These tests are a separate
// binary because they replace the global allocation functions.
#include <atomic>
#include <cstdlib>
#include <new>

#include "path-deployment.h"

namespace {

std::atomic<std::uint64_t> allocations{0};

} // namespace

void *operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void *const memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

using namespace oriolelever;
using namespace oriolelever::test;

namespace {

constexpr std::size_t packetCount = 5000;

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
        EXPECT_TRUE(
            handleError([&] { return applyRecord(view, record); }, [](const Error &) { return false; }));
    };
    const ServiceRow row{.name = "sportello", .address = endpointOf("198.51.100.10:443")};
    put(RecordKind::Service, row.name, encodeServiceRow(row));
    Announcement server{.name = "s0", .zone = "milano-a", .service = row.name, .incarnation = 1};
    server.state = NodeState::Ready;
    server.data = agent;
    put(RecordKind::Node, server.name, encodeAnnouncement(server));
    RoutingBuilder builder;
    return updateRouting(builder, view, records, std::chrono::steady_clock::now());
}

// Sends segments of one flow one at a time and waits until each arrives at its destination.
struct FlowDriver
{
    FileDescriptor socket = openLoopback();
    ReceiveBatch receive{64, 2048};
    SendBatch send{1};
    std::vector<std::uint8_t> buffer = std::vector<std::uint8_t>(512);

    std::span<std::uint8_t> packet(std::uint8_t flags)
    {
        const auto space = std::span(buffer).subspan(maxGueHeaderSize);
        const auto size = buildTcp(space,
                                   {.source = endpointOf("198.18.0.1:5000"),
                                    .destination = endpointOf("198.51.100.10:443"),
                                    .tcpFlags = flags});
        return space.first(size);
    }

    bool sendAndReceive(std::span<const std::uint8_t> datagram, const Endpoint &target,
                        const FileDescriptor &receiver)
    {
        send.add(datagram, target);
        send.flush(socket);
        for (int attempt = 0; attempt < 100'000; ++attempt) {
            if (receive.receive(receiver) != 0) {
                return true;
            }
            std::this_thread::yield();
        }
        return false;
    }
};

} // namespace

TEST(PathAllocationTest, BalancerAllocatesNothingPerPacket)
{
    const auto receiver = openLoopback();
    BalancerPath balancer({.listen = endpointOf("127.0.0.1:0")});
    ASSERT_TRUE(succeeds([&] { return balancer.start(); }));
    balancer.setRouting(routingTo(localEndpoint(receiver)));
    FlowDriver driver;
    const auto datagram = prependPlainGue(driver.packet(tcp::ack));
    const auto target = balancer.local();
    ASSERT_TRUE(driver.sendAndReceive(datagram, target, receiver));
    const auto before = allocations.load();
    for (std::size_t i = 0; i < packetCount; ++i) {
        ASSERT_TRUE(driver.sendAndReceive(datagram, target, receiver));
    }
    EXPECT_EQ(allocations.load() - before, 0U);
}

TEST(PathAllocationTest, AgentAllocatesNothingPerPacketOfAFlow)
{
    const auto server = openLoopback();
    const auto callers = openLoopback();
    auto delivery = handleError([&] { return makeSocketDelivery({.server = localEndpoint(server)}); },
                                [](const Error &) { return std::unique_ptr<Delivery>(); });
    AgentPath agent({.listen = endpointOf("127.0.0.1:0"),
                     .returnEndpoint = localEndpoint(callers),
                     .directory = {.self = idOf<ServerId>("s0"),
                                   .service = idOf<ServiceId>("sportello"),
                                   .incarnation = 1,
                                   .loadInterval = std::chrono::hours(1),
                                   .warm = true}},
                    std::move(delivery));
    ASSERT_TRUE(succeeds([&] { return agent.start(); }));
    const auto routing = routingTo(agent.local());
    agent.setRoute(*findRoute(*routing, endpointOf("198.51.100.10:443"), Protocol::Tcp));
    FlowDriver driver;
    const PathData path{
        .service = idOf<ServiceId>("sportello"), .targetIncarnation = 1, .rosterVersion = UINT64_MAX};
    const auto openingDatagram = prependGue(driver.packet(tcp::syn), false, gueIpv4, path, {});
    // The agent refuses new flows until it may place flows in their bucket.
    ASSERT_TRUE(waitFor([&] { return driver.sendAndReceive(openingDatagram, agent.local(), server); }));
    const auto data = prependGue(driver.packet(tcp::ack), false, gueIpv4, path, {});
    const auto target = agent.local();
    ASSERT_TRUE(driver.sendAndReceive(data, target, server));
    const auto before = allocations.load();
    for (std::size_t i = 0; i < packetCount; ++i) {
        ASSERT_TRUE(driver.sendAndReceive(data, target, server));
    }
    EXPECT_EQ(allocations.load() - before, 0U);
}
