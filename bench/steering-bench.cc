// Time of a placement at a balancer, by the zones' room and by the previous rule in turns in one run:
// steering-bench [AGENTS]. Prints "name: value" lines.
#include <chrono>
#include <cstdlib>

#include <fmt/format.h>

#include "oriolelever/steering.h"

using namespace oriolelever;

namespace {

constexpr int rounds = 10;
constexpr std::uint32_t flowsPerRound = 20'000;
constexpr std::uint32_t flowsPerReportPeriod = 40; // Of one balancer at 200 flows a second.

SteeringState makeBalancer(std::size_t agents, bool usesRooms, const Endpoint &address)
{
    const auto service = idOf<ServiceId>("sportello");
    SteeringState state;
    state.options.zone = idOf<ZoneId>("zone-0");
    state.options.usesRooms = usesRooms;
    RoutingTable table{.position = {.revision = 1}, .version = 1};
    table.routes[address] = {.services = {{service, 1}}, .terms = {.priority = 1}};
    const TimePoint start{std::chrono::seconds(10)};
    applyTable(state, std::move(table), start);
    std::vector<IpAddress> hosts;
    for (std::size_t i = 0; i < agents; ++i) {
        hosts.push_back(ipv4Address(0x0a000001 + static_cast<std::uint32_t>(i)));
    }
    applyAgentList(state, hosts, start);
    for (std::size_t i = 0; i < agents; ++i) {
        const Report report{.service = service,
                            .zone = idOf<ZoneId>(fmt::format("zone-{}", i % 3)),
                            .state = BackendState::Ready,
                            .slots = 2,
                            .flows = static_cast<std::uint32_t>(i % 4),
                            .waiting = static_cast<std::uint32_t>(i % 3),
                            .capacity = ServerCapacity{.answersPerSecond = 66, .concurrency = 2}};
        applyReport(state, static_cast<BackendIndex>(i), report, start);
    }
    return state;
}

double microsPerPlacement(std::size_t agents, bool usesRooms)
{
    const Endpoint address{ipv4Address(0xc6120001), 443};
    auto state = makeBalancer(agents, usesRooms, address);
    TimePoint now{std::chrono::seconds(10)};
    const auto step = std::chrono::milliseconds(200) / flowsPerReportPeriod;
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < flowsPerRound; ++i) {
        now += step;
        if (i % flowsPerReportPeriod == 0) {
            for (std::size_t agent = 0; agent < agents; ++agent) {
                state.backends[agent].reportedAt = now;
            }
        }
        const Segment packet{
            .source = {ipv4Address(0x64400001 + i), 1025}, .destination = address, .syn = true};
        steerCallerPacket(state, packet, now);
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count()
        / flowsPerRound;
}

} // namespace

int main(int argc, char **argv)
{
    const auto agents = static_cast<std::size_t>(argc > 1 ? std::atoi(argv[1]) : 300);
    double before = 0;
    double byRoom = 0;
    for (int i = 0; i < rounds; ++i) {
        before += microsPerPlacement(agents, false) / rounds;
        byRoom += microsPerPlacement(agents, true) / rounds;
    }
    fmt::print("agents: {}\nprevious rule: {:.2f} us\nby room: {:.2f} us\n", agents, before, byRoom);
    return 0;
}
