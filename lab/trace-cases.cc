#include "trace.h"

#include <algorithm>
#include <array>
#include <random>

#include <fmt/format.h>

namespace oriolelever::lab {

namespace {

using std::chrono::milliseconds;

constexpr std::array caseNames = {"steady", "rolling", "zone", "cold", "uneven", "store", "lease", "storm"};
constexpr auto shortLife = milliseconds(5000); ///< Mean life of a short flow.
constexpr auto longLife = milliseconds(14000); ///< Longest life of a long flow in traces that empty servers.
constexpr double longShare = 0.05; ///< Of new flows.
constexpr auto settleTime = milliseconds(6000); ///< Before the first change.
constexpr auto zoneReach = milliseconds(2000); ///< Longest time until a zone order reaches a node.

struct Maker
{
    Trace trace;
    std::mt19937_64 random;
    std::uint64_t nextFlow = 1;
    std::uint64_t nextVersion = 1;
    bool emptiesServers = false;
    Duration storeUpAt{0}; ///< Orders reach no node before this.

    std::uint64_t below(std::uint64_t limit)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, limit - 1)(random);
    }

    Duration upTo(Duration limit)
    {
        return Duration(static_cast<Duration::rep>(below(static_cast<std::uint64_t>(limit.count()) + 1)));
    }

    Duration exponential(Duration mean)
    {
        const double value = std::exponential_distribution<double>(1.0)(random);
        return Duration(static_cast<Duration::rep>(value * static_cast<double>(mean.count())));
    }

    const std::string &anyBalancer()
    {
        return trace.balancers[below(trace.balancers.size())];
    }

    const std::string &anyServer()
    {
        return trace.servers[below(trace.servers.size())].name;
    }

    void add(Duration at, EventKind kind, const std::string &name = "", const std::string &other = "",
             std::uint64_t number = 0)
    {
        trace.events.push_back({.at = at, .kind = kind, .name = name, .other = other, .number = number});
    }

    // An operators' order and the times at which it reaches the nodes.
    void order(Duration at, EventKind kind, const std::string &name, Duration spread)
    {
        const auto version = nextVersion++;
        add(at, kind, name, "", version);
        const auto from = std::max(at, storeUpAt);
        for (const auto &balancer : trace.balancers) {
            add(from + upTo(spread), EventKind::Reach, balancer, "", version);
        }
        for (const auto &server : trace.servers) {
            add(from + upTo(spread), EventKind::Reach, server.name, "", version);
        }
    }

    void require(const std::string &figure, bool atMost, double bound)
    {
        trace.requirements.push_back({.figure = figure, .atMost = atMost, .bound = bound});
    }
};

void addServers(Maker &maker, const std::string &service, const std::string &prefix, int count,
                std::size_t firstZone)
{
    for (int i = 0; i < count; ++i) {
        const auto zone = (firstZone + static_cast<std::size_t>(i)) % maker.trace.zones.size();
        maker.trace.servers.push_back(
            {.name = fmt::format("{}-{}", prefix, i), .zone = maker.trace.zones[zone], .service = service});
    }
}

void addBalancers(Maker &maker, int count)
{
    for (int i = 0; i < count; ++i) {
        maker.trace.balancers.push_back(fmt::format("balancer-{}", i));
    }
}

void makeBellandi(Maker &maker)
{
    auto &trace = maker.trace;
    trace.zones = {"milano-a", "milano-b", "bergamo", "brescia"};
    addBalancers(maker, 3);
    trace.services.push_back({.name = "sportello", .limit = 400, .nominal = 120, .ramp = milliseconds(5000)});
    trace.services.push_back({.name = "archivio", .limit = 300, .nominal = 60, .ramp = milliseconds(5000)});
    addServers(maker, "sportello", "sportello", 7, 0);
    addServers(maker, "archivio", "archivio", 4, 0);
}

void makeSwn(Maker &maker)
{
    auto &trace = maker.trace;
    trace.delay = std::chrono::microseconds(1000);
    trace.zones = {"ost-a", "ost-b", "ost-c"};
    addBalancers(maker, 3);
    trace.services.push_back(
        {.name = "vessel-track", .limit = 400, .nominal = 120, .ramp = milliseconds(5000)});
    trace.services.push_back({.name = "wx-brief",
                              .protocol = Protocol::Udp,
                              .limit = 1200,
                              .nominal = 200,
                              .ramp = milliseconds(5000)});
    addServers(maker, "vessel-track", "vessel", 7, 0);
    addServers(maker, "wx-brief", "weather", 3, 0);
}

// A slice: the ratio of servers to services and of nodes to servers, 13 zones, and one service beyond 64
// servers.
void makeLarge(Maker &maker)
{
    constexpr int smallServices = 22;
    constexpr int bigServers = 70;
    auto &trace = maker.trace;
    for (int i = 0; i < 13; ++i) {
        trace.zones.push_back(fmt::format("zone-{}", i));
    }
    addBalancers(maker, 16);
    for (int i = 0; i < smallServices; ++i) {
        const auto name = fmt::format("service-{}", i);
        trace.services.push_back({.name = name, .limit = 100, .nominal = 20, .ramp = milliseconds(5000)});
        addServers(maker, name, fmt::format("server-{}", i), 3 + i % 2, static_cast<std::size_t>(i) * 3);
    }
    trace.services.push_back({.name = "big", .limit = 150, .nominal = 50, .ramp = milliseconds(5000)});
    addServers(maker, "big", "big", bigServers, 0);
}

std::size_t serversOf(const Trace &trace, const std::string &service)
{
    return static_cast<std::size_t>(
        std::count_if(trace.servers.begin(), trace.servers.end(),
                      [&](const TraceServer &s) { return s.service == service; }));
}

void addFlow(Maker &maker, const TraceService &service, Duration at, Duration life)
{
    const auto flow = maker.nextFlow++;
    const auto end = at + life;
    maker.add(at, EventKind::Open, service.name, maker.anyBalancer(), flow);
    const Duration gap = life > shortLife ? milliseconds(1500) : milliseconds(900);
    for (auto next = at + maker.exponential(gap); next < std::min<Duration>(end, maker.trace.length);
         next += maker.exponential(gap)) {
        maker.add(next, EventKind::Packet, "", maker.anyBalancer(), flow);
    }
    if (end < maker.trace.length) {
        maker.add(end, EventKind::Close, "", maker.anyBalancer(), flow);
    }
}

// Long flows are open from the start to the end, or for `longLife`; short ones come and go.
void addFlows(Maker &maker, const TraceService &service)
{
    const double target
        = static_cast<double>(service.nominal) * static_cast<double>(serversOf(maker.trace, service.name));
    const double meanLife = (1 - longShare) * std::chrono::duration<double>(shortLife).count()
        + longShare * std::chrono::duration<double>(longLife).count();
    const double rate = target / meanLife;
    const auto gap = Duration(static_cast<Duration::rep>(1e9 / rate));
    const auto warmUp = milliseconds(3000);
    for (double i = 0; i < target * 0.8; ++i) {
        const bool isLong = maker.below(10) < 3;
        const auto life = isLong ? (maker.emptiesServers ? longLife : maker.trace.length * 2)
                                 : std::max<Duration>(milliseconds(200), maker.exponential(shortLife));
        addFlow(maker, service, maker.upTo(warmUp), life);
    }
    for (auto at = maker.exponential(gap); at < maker.trace.length; at += maker.exponential(gap)) {
        const bool isLong = maker.below(1000) < static_cast<std::uint64_t>(longShare * 1000);
        const auto life = isLong ? longLife : maker.exponential(shortLife);
        addFlow(maker, service, at,
                std::max<Duration>(milliseconds(200), std::min<Duration>(life, longLife)));
    }
}

// Servers drain and start anew one after another, agents and balancers restart in between.
void addRolling(Maker &maker, Duration from, Duration spread)
{
    auto at = from;
    for (int round = 0; round < 3; ++round) {
        const auto server = maker.anyServer();
        maker.order(at, EventKind::Drain, server, spread);
        maker.add(at + spread, EventKind::Replace, server);
        maker.order(at + spread + milliseconds(1), EventKind::Undrain, server, spread);
        maker.add(at + milliseconds(3000), EventKind::RestartAgent, maker.anyServer());
        maker.add(at + milliseconds(5000), EventKind::RestartBalancer, maker.anyBalancer());
        at += milliseconds(13000);
    }
}

void addZoneOutAndReturn(Maker &maker, const std::string &zone, Duration from, Duration time, Duration spread)
{
    maker.order(from, EventKind::ZoneOut, zone, spread);
    maker.order(from + time, EventKind::ZoneReturn, zone, spread);
}

const std::string &anyZone(Maker &maker)
{
    return maker.trace.zones[maker.below(maker.trace.zones.size())];
}

void addStore(Maker &maker, Duration from)
{
    maker.add(from, EventKind::StoreDown);
    maker.storeUpAt = from + milliseconds(6000);
    const auto server = maker.anyServer();
    maker.order(from + milliseconds(1000), EventKind::Drain, server, milliseconds(500));
    maker.add(maker.storeUpAt, EventKind::StoreUp);
    maker.order(from + milliseconds(9000), EventKind::Undrain, server, milliseconds(500));
    maker.add(from + milliseconds(9000), EventKind::StoreAnswerLost);
    maker.order(from + milliseconds(9300), EventKind::Undrain, server, milliseconds(500));
    maker.add(from + milliseconds(2000), EventKind::RestartAgent, maker.anyServer());
    maker.add(from + milliseconds(3000), EventKind::RestartBalancer, maker.anyBalancer());
}

void addLease(Maker &maker, Duration from)
{
    for (int i = 0; i < 4; ++i) {
        const auto at = from + milliseconds(6000) * i;
        const auto &node = maker.below(4) == 0 ? maker.anyBalancer() : maker.anyServer();
        maker.add(at, EventKind::Pause, node);
        maker.add(at + milliseconds(500) + maker.upTo(milliseconds(5000)), EventKind::Resume, node);
    }
}

void addCase(Maker &maker)
{
    const Duration from = settleTime;
    const auto &name = maker.trace.caseName;
    const Duration spread = maker.trace.spread;
    if (name == "rolling") {
        addRolling(maker, from, spread);
    } else if (name == "zone") {
        const auto zone = anyZone(maker);
        addZoneOutAndReturn(maker, zone, from, milliseconds(8000), spread);
        addZoneOutAndReturn(maker, anyZone(maker), from + milliseconds(16000), milliseconds(700), spread);
        addZoneOutAndReturn(maker, zone, from + milliseconds(20000), milliseconds(4000), spread);
    } else if (name == "cold") {
        const auto server = maker.anyServer();
        maker.add(from, EventKind::TurnCold, server);
        maker.add(from + milliseconds(9000), EventKind::TurnCold, maker.anyServer());
        maker.order(from + milliseconds(14000), EventKind::Drain, server, spread);
        maker.add(from + milliseconds(14000) + spread, EventKind::Replace, server);
        maker.order(from + milliseconds(14001) + spread, EventKind::Undrain, server, spread);
    } else if (name == "uneven") {
        addRolling(maker, from, spread);
        addZoneOutAndReturn(maker, anyZone(maker), from + milliseconds(9000), milliseconds(6000), zoneReach);
        maker.add(from + milliseconds(20000), EventKind::Move, maker.anyServer(),
                  maker.trace.services.back().name);
    } else if (name == "store") {
        addStore(maker, from);
    } else if (name == "lease") {
        addLease(maker, from);
    } else if (name == "storm") {
        for (int round = 0; round < 2; ++round) {
            const auto at = from + milliseconds(20000) * round;
            addRolling(maker, at, spread);
            addZoneOutAndReturn(maker, anyZone(maker), at + milliseconds(2000), milliseconds(3000),
                                zoneReach);
            addZoneOutAndReturn(maker, anyZone(maker), at + milliseconds(4000), milliseconds(600), zoneReach);
            addLease(maker, at);
            const auto victim = maker.anyServer();
            maker.add(at + milliseconds(7000), EventKind::Crash, victim);
            maker.add(at + milliseconds(11000), EventKind::Start, victim);
            maker.add(at + milliseconds(9000), EventKind::TurnCold, maker.anyServer());
        }
    }
}

void addRequirements(Maker &maker)
{
    const auto &name = maker.trace.caseName;
    maker.require("flows broken by planned change", true, 0);
    maker.require("packets to wrong service", true, 0);
    maker.require("packets to zone after it left", true, 0);
    maker.require("flows over what cold servers bear", true, 0);
    if (name == "steady") {
        maker.require("imbalance", true, 1.10);
    }
    if (name == "rolling" || name == "zone" || name == "cold") {
        maker.require("imbalance", true, 1.25);
    }
    if (name != "lease" && name != "storm") {
        maker.require("service", false, 0.999);
    }
}

} // namespace

Result<Trace> makeTrace(const TraceOptions &options)
{
    if (std::find(caseNames.begin(), caseNames.end(), options.caseName) == caseNames.end()) {
        return fail(Code::UsageInvalid,
                    fmt::format("flag \"--case\" does not allow \"{}\"", options.caseName));
    }
    Maker maker;
    maker.trace.caseName = options.caseName;
    maker.trace.deployment = options.deployment;
    maker.trace.seed = options.seed;
    maker.random.seed(hashName(options.caseName + "/" + options.deployment) + options.seed);
    if (options.deployment == "bellandi") {
        makeBellandi(maker);
    } else if (options.deployment == "swn") {
        makeSwn(maker);
    } else if (options.deployment == "large") {
        makeLarge(maker);
    } else {
        return fail(Code::UsageInvalid,
                    fmt::format("flag \"--deployment\" does not allow \"{}\"", options.deployment));
    }
    const bool large = options.deployment == "large";
    const bool longCase
        = options.caseName == "rolling" || options.caseName == "uneven" || options.caseName == "storm";
    maker.trace.length = milliseconds(longCase ? 56000 : (options.caseName == "steady" ? 25000 : 38000));
    maker.trace.length = large ? maker.trace.length * 3 / 4 : maker.trace.length;
    maker.trace.loss = 0.001;
    maker.trace.doubled = 0.002;
    if (options.caseName == "uneven" || options.caseName == "storm") {
        maker.trace.spread = milliseconds(3000);
        maker.trace.loss = 0.01;
        maker.trace.jitter = std::chrono::microseconds(2000);
    }
    maker.emptiesServers = longCase || options.caseName == "cold";
    for (const auto &service : maker.trace.services) {
        addFlows(maker, service);
    }
    addCase(maker);
    addRequirements(maker);
    // Times as a trace file holds them, so that a written trace replays as this one.
    for (auto &event : maker.trace.events) {
        event.at = std::chrono::duration_cast<std::chrono::microseconds>(event.at);
    }
    std::stable_sort(maker.trace.events.begin(), maker.trace.events.end(),
                     [](const Event &a, const Event &b) { return a.at < b.at; });
    return std::move(maker.trace);
}

} // namespace oriolelever::lab
