// Time and memory of routes at 24,000 services with 83,000 servers, and the time of one change.
#include <chrono>

#include <fmt/format.h>

#include "oriolelever/placement.h"

using namespace oriolelever;

namespace {

constexpr std::size_t zoneCount = 13;
constexpr int changeCount = 2000;

Endpoint numbered(std::uint8_t net, std::size_t index, std::uint16_t port)
{
    Endpoint out{.port = port};
    out.address.bytes = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, net, 0, 0, 0};
    out.address.bytes[13] = static_cast<std::uint8_t>(index >> 16);
    out.address.bytes[14] = static_cast<std::uint8_t>(index >> 8);
    out.address.bytes[15] = static_cast<std::uint8_t>(index);
    return out;
}

struct Fleet
{
    ClusterView view;
    std::vector<Record> records;

    void put(RecordKind kind, const std::string &name, std::uint64_t sequence, const std::string &value)
    {
        Record record;
        record.key.kind = kind;
        record.key.name = name;
        record.version.sequence = sequence;
        record.value = value;
        const bool applied = handleError([&] { return applyRecord(view, record); },
                                         [](const Error &) -> bool { return false; });
        if (applied) {
            records.push_back(std::move(record));
        }
    }

    void announce(std::size_t server, std::size_t services, std::uint64_t sequence, NodeState state)
    {
        const auto name = fmt::format("server-{}", server);
        const Announcement announcement{.name = name,
                                        .zone = fmt::format("zone-{}", server % zoneCount),
                                        .service = fmt::format("service-{}", server % services),
                                        .incarnation = 1,
                                        .state = state,
                                        .data = numbered(10, server, 6080)};
        put(RecordKind::Node, name, sequence, encodeAnnouncement(announcement));
    }
};

double microsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
}

void measure(std::size_t services, std::size_t servers)
{
    Fleet fleet;
    for (std::size_t i = 0; i < zoneCount; ++i) {
        const ZoneRow row{.name = fmt::format("zone-{}", i)};
        fleet.put(RecordKind::Zone, row.name, 1, encodeZoneRow(row));
    }
    for (std::size_t i = 0; i < services; ++i) {
        const ServiceRow row{.name = fmt::format("service-{}", i), .address = numbered(11, i, 443)};
        fleet.put(RecordKind::Service, row.name, 1, encodeServiceRow(row));
    }
    for (std::size_t i = 0; i < servers; ++i) {
        fleet.announce(i, services, 1, NodeState::Ready);
    }
    RoutingBuilder builder;
    auto start = std::chrono::steady_clock::now();
    auto routing = updateRouting(builder, fleet.view, fleet.records, TimePoint{});
    const double build = microsSince(start);
    double change = 0;
    for (int i = 0; i < changeCount; ++i) {
        fleet.records.clear();
        const auto server = static_cast<std::size_t>(i) * 7919 % servers;
        fleet.announce(server, services, 2, NodeState::Draining);
        start = std::chrono::steady_clock::now();
        routing = updateRouting(builder, fleet.view, fleet.records, TimePoint{});
        change += microsSince(start);
    }
    fleet.records.clear();
    const ZoneRow out{.name = "zone-0", .state = ZoneState::Out};
    fleet.put(RecordKind::Zone, out.name, 2, encodeZoneRow(out));
    start = std::chrono::steady_clock::now();
    routing = updateRouting(builder, fleet.view, fleet.records, TimePoint{});
    fmt::print("services {} servers {}: build {:.0f} ms, server change {:.1f} us, zone change {:.1f} ms, "
               "snapshot {:.2f} MB, {:.0f} bytes a server\n",
               services, servers, build / 1000, change / changeCount, microsSince(start) / 1000,
               static_cast<double>(stateBytes(*routing)) / 1e6,
               static_cast<double>(stateBytes(*routing)) / static_cast<double>(servers));
}

} // namespace

int main()
{
    measure(3000, 10375);
    measure(6000, 20750);
    measure(12000, 41500);
    measure(24000, 83000);
    return 0;
}
