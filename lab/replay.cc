#include "replay.h"

#include <algorithm>

#include "world.h"

namespace oriolelever::lab {

namespace {

constexpr Duration sampleInterval = std::chrono::milliseconds(500);
constexpr Duration firstSample = std::chrono::seconds(5);

FlowKey keyOf(const World &world, std::uint64_t number, std::size_t service)
{
    FlowKey key{.protocol = world.trace.services[service].protocol};
    key.caller.port = static_cast<std::uint16_t>(1024 + number % 60000);
    key.caller.address.bytes = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 172, 16, 0, 0};
    key.caller.address.bytes[14] = static_cast<std::uint8_t>(number / 60000 / 256);
    key.caller.address.bytes[15] = static_cast<std::uint8_t>(number / 60000);
    const auto &view = world.balancers.front().records.view;
    key.service = view.services.at(world.trace.services[service].name).row.address;
    return key;
}

std::size_t serviceIndex(const Trace &trace, const std::string &name)
{
    const auto found = std::find_if(trace.services.begin(), trace.services.end(),
                                    [&](const TraceService &service) { return service.name == name; });
    return static_cast<std::size_t>(found - trace.services.begin());
}

void openFlow(World &world, const Event &event)
{
    if (world.flows.size() <= event.number) {
        world.flows.resize(event.number + 1);
    }
    auto &flow = world.flows[event.number];
    flow.service = serviceIndex(world.trace, event.name);
    flow.key = keyOf(world, event.number, flow.service);
    callerSends(world, event.number, world.balancerByName.at(event.other), true, false);
}

void sendOn(World &world, const Event &event)
{
    if (event.number >= world.flows.size()) {
        return;
    }
    const bool closes = event.kind == EventKind::Close;
    callerSends(world, event.number, world.balancerByName.at(event.other), false, closes);
}

void turnCold(World &world, std::size_t index)
{
    auto &host = world.hosts[index];
    host.coldAt = world.now;
    host.coldByStart = false;
    host.sinceCold = 0;
}

void runEvent(World &world, const Event &event)
{
    switch (event.kind) {
    case EventKind::Open:
        openFlow(world, event);
        return;
    case EventKind::Packet:
    case EventKind::Close:
        sendOn(world, event);
        return;
    case EventKind::Drain:
    case EventKind::Undrain:
    case EventKind::ZoneOut:
    case EventKind::ZoneReturn:
        takeOrder(world, event);
        return;
    case EventKind::Reach: {
        const auto order = world.orders.find(event.number);
        if (order != world.orders.end()) {
            reachNode(world, event.name, order->second.record);
        }
        return;
    }
    case EventKind::Replace:
        leaveHost(world, world.hostByName.at(event.name));
        return;
    case EventKind::Move:
        world.hosts[world.hostByName.at(event.name)].nextService = event.other;
        leaveHost(world, world.hostByName.at(event.name));
        return;
    case EventKind::Crash:
        crashHost(world, world.hostByName.at(event.name));
        return;
    case EventKind::Start:
        restartAgent(world, world.hostByName.at(event.name), true);
        return;
    case EventKind::RestartAgent:
        restartAgentGracefully(world, world.hostByName.at(event.name), 0);
        return;
    case EventKind::RestartBalancer:
        restartBalancer(world, world.balancerByName.at(event.name));
        return;
    case EventKind::Pause:
        pauseNode(world, event.name);
        return;
    case EventKind::Resume:
        resumeNode(world, event.name);
        return;
    case EventKind::TurnCold:
        turnCold(world, world.hostByName.at(event.name));
        return;
    case EventKind::StoreDown:
    case EventKind::StoreUp:
    case EventKind::StoreAnswerLost:
        return; // The trace's own times of reach tell what follows from them.
    }
}

void sample(World &world)
{
    sampleImbalance(world);
    world.after(sampleInterval, [&world] { sample(world); });
}

void runUntil(World &world, TimePoint end)
{
    std::size_t next = 0;
    const auto &events = world.trace.events;
    while (true) {
        const bool hasEvent = next < events.size();
        const auto eventAt = hasEvent ? TimePoint{} + events[next].at : end;
        if (!world.queue.empty() && world.queue.top().at < eventAt) {
            world.now = world.queue.top().at;
            const auto run = world.queue.top().run;
            world.queue.pop();
            run();
            continue;
        }
        if (!hasEvent || eventAt >= end) {
            return;
        }
        world.now = eventAt;
        runEvent(world, events[next++]);
    }
}

void measureBytes(World &world)
{
    const double seconds = std::chrono::duration<double>(world.trace.length).count();
    for (const auto &balancer : world.balancers) {
        world.figures.balancerBytes
            += balancer.controlBytes / seconds / static_cast<double>(world.balancers.size());
    }
    std::size_t state = 0;
    std::size_t flows = 0;
    for (const auto &host : world.hosts) {
        world.figures.agentBytes += host.controlBytes / seconds / static_cast<double>(world.hosts.size());
        state += stateBytes(host.directory);
        flows += host.flows.size();
    }
    world.figures.stateBytesPerFlow = flows > 0 ? static_cast<double>(state) / static_cast<double>(flows) : 0;
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

bool parseBaseline(std::string_view text, Baseline &out)
{
    if (text.empty()) {
        out = Baseline::None;
    } else if (text == "hash") {
        out = Baseline::Hash;
    } else if (text == "table") {
        out = Baseline::Table;
    } else {
        return false;
    }
    return true;
}

double ReplayFigures::service() const
{
    return share(served, offered);
}

double ReplayFigures::serviceAroundZone() const
{
    return share(servedAroundZone, offeredAroundZone);
}

ReplayFigures replayTrace(const Trace &trace, Baseline baseline)
{
    // The epoch stands for "never" in several fields, so virtual time starts after it.
    World world{.trace = trace, .baseline = baseline};
    world.random.seed(trace.seed);
    world.now = TimePoint{} + std::chrono::microseconds(1);
    buildWorld(world);
    world.after(firstSample, [&world] { sample(world); });
    runUntil(world, TimePoint{} + trace.length);
    measureBytes(world);
    return world.figures;
}

std::map<std::string, double> namedFigures(const ReplayFigures &figures)
{
    const auto count = [](std::uint64_t value) {
        return static_cast<double>(value);
    };
    return {
        {"flows opened", count(figures.flowsOpened)},
        {"flows broken by planned change", count(figures.brokenByChange)},
        {"flows broken by crash", count(figures.brokenByCrash)},
        {"flows given up with zone", count(figures.givenUpWithZone)},
        {"packets to wrong service", count(figures.wrongService)},
        {"packets to zone after it left", count(figures.zoneAfterLeft)},
        {"flows over what cold servers bear", count(figures.overCold)},
        {"imbalance", figures.imbalance},
        {"service", figures.service()},
        {"service while a zone leaves and returns", figures.serviceAroundZone()},
        {"packets sent by callers", count(figures.packets)},
        {"packets sent again by callers", count(figures.callerRetries)},
        {"extra hops per packet", share(figures.extraHops, figures.delivered)},
        {"control bytes per second per balancer", figures.balancerBytes},
        {"control bytes per second per agent", figures.agentBytes},
        {"bytes of state per flow", figures.stateBytesPerFlow},
        {"resets", count(figures.resets)},
    };
}

} // namespace oriolelever::lab
