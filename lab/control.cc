#include "control.h"

#include <cmath>
#include <ctime>
#include <malloc.h>

#include <asio/ip/udp.hpp>

#include "fleet.h"
#include "oriolelever/groups.h"
#include "oriolelever/ping.h"
#include "oriolelever/records.h"
#include "oriolelever/streams.h"
#include "spread.h"

namespace oriolelever::lab {

namespace {

constexpr double tcpBytes = 3 * 40; // IP and TCP headers of a request, its answer and an acknowledgement.
constexpr std::chrono::seconds heartbeatRun{10};
constexpr double watchWaitSeconds = 20;
constexpr double leaseReadSeconds = 30;
constexpr std::size_t watchersPerZone = 2;
constexpr double serversPerService = 83.0 / 24.0;
constexpr std::size_t appliedRecords = 1000;

double processorMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

Endpoint loopback()
{
    Endpoint endpoint;
    parseIpAddress("127.0.0.1", endpoint.address);
    return endpoint;
}

bool apply(RecordTable &table, const Record &record)
{
    return handleError([&] { return table.apply(record); }, [](const Error &) { return false; });
}

Record nodeRecord(const Announcement &announcement, std::uint64_t sequence)
{
    Record record;
    record.key = {RecordKind::Node, announcement.name};
    record.version = {1'764'800'000'000, sequence};
    record.value = encodeAnnouncement(announcement);
    return record;
}

Announcement syntheticNode(std::size_t index, bool agent, std::size_t zones, std::size_t services)
{
    Announcement announcement;
    announcement.name = (agent ? "server-host-" : "entry-host-") + std::to_string(index);
    announcement.role = agent ? NodeRole::Agent : NodeRole::Balancer;
    announcement.zone = "zone-" + std::to_string(index % zones);
    announcement.service = agent ? "service-" + std::to_string(index % services) : "";
    announcement.incarnation = 1'764'800'000'000;
    announcement.state = NodeState::Ready;
    parseEndpoint("192.0.2.1:9000", announcement.data);
    parseEndpoint("192.0.2.1:9001", announcement.control);
    if (agent) {
        parseEndpoint("192.0.2.1:9002", announcement.requests);
        parseEndpoint("192.0.2.1:9003", announcement.handover);
    }
    return announcement;
}

Record serviceRecord(std::size_t index)
{
    ServiceRow row{.name = "service-" + std::to_string(index)};
    parseEndpoint("192.0.2.10:443", row.address);
    Record record;
    record.key = {RecordKind::Service, row.name};
    record.version = {0, 1'000'000 + index};
    record.value = encodeServiceRow(row);
    return record;
}

void fill(RecordTable &table, const ControlOptions &options)
{
    const auto services = std::max<std::size_t>(
        1, static_cast<std::size_t>(static_cast<double>(options.servers) / serversPerService));
    for (std::size_t i = 0; i < options.zones; ++i) {
        const auto name = "zone-" + std::to_string(i);
        Record record;
        record.key = {RecordKind::Zone, name};
        record.version = {0, i + 1};
        record.value = encodeZoneRow({.name = name});
        apply(table, record);
    }
    for (std::size_t i = 0; i < services; ++i) {
        apply(table, serviceRecord(i));
    }
    for (std::size_t i = 0; i < options.nodes; ++i) {
        apply(table, nodeRecord(syntheticNode(i, false, options.zones, services), 2));
    }
    for (std::size_t i = 0; i < options.servers; ++i) {
        apply(table, nodeRecord(syntheticNode(i, true, options.zones, services), 2));
    }
}

// What a balancer does at every tick of the failure detector, and what it does over all nodes now and then.
void measureDetector(const ControlOptions &options, const ClusterView &view, ControlFigures &figures)
{
    constexpr int ticks = 200;
    const auto heapBefore = heapBytes();
    auto members = liveMembers(view);
    figures.membersBytes = static_cast<double>(heapBytes() - heapBefore);

    auto start = processorMicroseconds();
    for (int i = 0; i < ticks; ++i) {
        updateMember(members, view, members[static_cast<std::size_t>(i) % members.size()].name);
    }
    figures.membersProcessor = (processorMicroseconds() - start) / ticks;

    start = processorMicroseconds();
    std::vector<Target> agents;
    for (const auto &[name, entry] : view.nodes) {
        if (entry.announcement.role == NodeRole::Agent
            && assignedMembers(members.size(), name, 1).front() == 0) {
            agents.push_back({name, entry.announcement.control});
        }
    }
    figures.adoptProcessor = processorMicroseconds() - start;

    const auto attached = static_cast<std::size_t>(3 * options.servers / options.nodes);
    for (std::size_t i = agents.size(); i < attached; ++i) {
        agents.push_back({"server-host-" + std::to_string(i), loopback()});
    }
    Monitor monitor;
    std::minstd_rand random(options.seed);
    const auto &self = members.front();
    const auto &zone = view.nodes.at(self.name).announcement.zone;
    TimePoint now{std::chrono::hours(1)};
    start = processorMicroseconds();
    for (int i = 0; i < ticks; ++i) {
        now += std::chrono::milliseconds(100);
        const auto helpers = successorsOf(members, zone, self.name, 8);
        setTargets(monitor, successorsOf(members, zone, self.name, 3), agents, now);
        for (const auto &target : tick(monitor, helpers, now, random).pings) {
            recordAlive(monitor, target.name, now);
        }
    }
    figures.tickProcessor = (processorMicroseconds() - start) / ticks;
}

void measureState(const ControlOptions &options, ControlFigures &figures)
{
    malloc_trim(0);
    const auto before = heapBytes();
    RecordTable table;
    fill(table, options);
    figures.stateBytes = static_cast<double>(heapBytes() - before);
    figures.records = static_cast<double>(table.size());

    const auto beforeAgent = heapBytes();
    RecordTable agent;
    for (const auto &record : recordsForService(table, "service-0")) {
        apply(agent, record);
    }
    figures.agentStateBytes = static_cast<double>(heapBytes() - beforeAgent);

    measureDetector(options, table.view(), figures);

    RecordTable other;
    fill(other, options);
    figures.equalExchangeBytes
        = static_cast<double>(encodeExchange(openExchange(table)).size()
                              + encodeExchange(answerExchange(other, openExchange(table))).size());

    const auto services = std::max<std::size_t>(
        1, static_cast<std::size_t>(static_cast<double>(options.servers) / serversPerService));
    std::vector<Record> changes;
    for (std::size_t i = 0; i < appliedRecords; ++i) {
        const auto index = i % std::max<std::size_t>(1, options.nodes);
        changes.push_back(nodeRecord(syntheticNode(index, false, options.zones, services), 4 + i));
    }
    const auto start = processorMicroseconds();
    for (const auto &record : changes) {
        apply(table, record);
    }
    figures.applyProcessor = (processorMicroseconds() - start) / static_cast<double>(appliedRecords);
    for (const auto &record : changes) {
        apply(other, record);
    }

    apply(table, nodeRecord(syntheticNode(0, false, options.zones, services), 100'000));
    std::optional<Exchange> message = openExchange(table);
    while (message) {
        const auto answer = answerExchange(other, *message);
        figures.exchangeBytes
            += static_cast<double>(encodeExchange(*message).size() + encodeExchange(answer).size());
        ++figures.exchangeMessages;
        for (const auto &record : message->records) {
            apply(other, record);
        }
        message = continueExchange(table, answer);
    }
}

} // namespace

CallCost measureCall(std::size_t calls)
{
    asio::io_context context;
    const StreamsOptions options{.listen = loopback(), .tls = {.plain = true}};
    Streams server(context, options);
    Streams client(context, options);
    if (!server.open() || !client.open()) {
        return {};
    }
    server.handle("/records", [](std::string, const Streams::Reply &reply) { reply(std::string()); });
    std::size_t answered = 0;
    const auto run = [&](std::size_t count) {
        const auto target = answered + count;
        while (answered < target) {
            const auto next = answered + 1;
            client.call(server.listenEndpoint(), "/records", {}, std::chrono::seconds(10),
                        [&](const Result<std::string> &) { ++answered; });
            while (answered < next) {
                context.run_one();
            }
        }
    };
    run(10);
    const auto bytes = client.totals().bytesSent + client.totals().bytesReceived;
    const auto start = processorMicroseconds();
    run(calls);
    const auto processor = processorMicroseconds() - start;
    const auto moved = client.totals().bytesSent + client.totals().bytesReceived - bytes;
    const auto count = static_cast<double>(calls);
    return {.bytes = static_cast<double>(moved) / count + tcpBytes, .processor = processor / count / 2};
}

double measureConnection(std::size_t connections)
{
    asio::io_context context;
    const StreamsOptions options{.listen = loopback(), .tls = {.plain = true}};
    Streams server(context, options);
    if (!server.open()) {
        return 0;
    }
    server.handle("/records", [](std::string, const Streams::Reply &reply) { reply(std::string()); });
    const auto before = heapBytes();
    std::vector<std::unique_ptr<Streams>> clients;
    std::size_t answered = 0;
    for (std::size_t i = 0; i < connections; ++i) {
        clients.push_back(std::make_unique<Streams>(context, options));
        clients.back()->call(server.listenEndpoint(), "/records", {}, std::chrono::seconds(10),
                             [&](const Result<std::string> &) { ++answered; });
    }
    while (answered < connections) {
        context.run_one();
    }
    return static_cast<double>(heapBytes() - before) / static_cast<double>(2 * connections);
}

double measureDatagram(std::size_t datagrams)
{
    using Udp = asio::ip::udp;
    asio::io_context context;
    Udp::socket from(context, {asio::ip::address_v4::loopback(), 0});
    Udp::socket to(context, {asio::ip::address_v4::loopback(), 0});
    TagKeys keys;
    keys.current = TagKey{};
    std::array<char, maxPingBytes> buffer{};
    const auto start = processorMicroseconds();
    for (std::size_t i = 0; i < datagrams; ++i) {
        const auto bytes = encodePing({.type = PingType::Ping, .from = "a", .to = "b", .nonce = i}, keys);
        from.send_to(asio::buffer(bytes), to.local_endpoint());
        const auto size = to.receive(asio::buffer(buffer));
        decodePing(std::string_view(buffer.data(), size), keys);
    }
    return (processorMicroseconds() - start) / static_cast<double>(datagrams);
}

ControlFigures measureControl(const ControlOptions &options, const CallCost &call)
{
    ControlFigures figures;
    measureState(options, figures);

    Fleet fleet({.balancers = options.nodes,
                 .agents = options.servers,
                 .zones = options.zones,
                 .seed = options.seed});
    fleet.runFor(heartbeatRun);
    const auto &totals = fleet.totals();
    const auto seconds = std::chrono::duration<double>(heartbeatRun).count();
    const auto nodes = static_cast<double>(options.nodes);
    // Each datagram has one end at a balancer for an agent's pings, two for those between balancers.
    const auto observers = std::min(nodes, static_cast<double>(RecordsOptions().attachments));
    const auto agentDatagrams = 2 * observers * static_cast<double>(options.servers);
    const auto ends = 2 * static_cast<double>(totals.datagrams) / seconds - agentDatagrams;
    figures.heartbeatMessages = ends / nodes;
    const auto bytesPerDatagram
        = static_cast<double>(totals.bytes) / std::max(1.0, static_cast<double>(totals.datagrams));
    figures.heartbeatBytes = figures.heartbeatMessages * bytesPerDatagram;
    figures.busiestHeartbeatBytes = static_cast<double>(totals.busiest) / seconds;

    const auto spread = measureSpread({.nodes = options.nodes, .zones = options.zones, .seed = options.seed});
    figures.pushMessages = spread.messagesPerChange;
    figures.busiestPushMessages = spread.busiestMessagesPerChange;
    figures.pushBytes = 2 * (spread.bytesPerChange + spread.messagesPerChange * call.bytes);
    figures.pushProcessor
        = spread.processorPerChange + 2 * spread.messagesPerChange * call.processor + figures.applyProcessor;
    figures.inForce = std::chrono::duration<double, std::milli>(spread.longest).count();

    const auto perZone
        = std::min<double>(watchersPerZone, std::ceil(nodes / static_cast<double>(options.zones)));
    const auto zones = std::min(nodes, static_cast<double>(options.zones));
    const auto groups = std::ceil(nodes / maxMergedGroupSize);
    figures.platformCalls = zones * perZone / watchWaitSeconds + groups / leaseReadSeconds;
    return figures;
}

double slopeOf(const std::vector<std::pair<double, double>> &points)
{
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    for (const auto &[x, y] : points) {
        sumX += x;
        sumY += y;
        sumXx += x * x;
        sumXy += x * y;
    }
    const auto count = static_cast<double>(points.size());
    const auto spread = count * sumXx - sumX * sumX;
    return spread == 0 ? 0 : (count * sumXy - sumX * sumY) / spread;
}

} // namespace oriolelever::lab
