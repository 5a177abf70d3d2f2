#include <algorithm>

#include "world.h"

namespace oriolelever::lab {

namespace {

constexpr Duration firstRetry = std::chrono::milliseconds(200);
constexpr int retryLimit = 8;
constexpr Duration openLimit = std::chrono::seconds(3);
constexpr double coldMargin = 2.0; ///< A server bears this times its share of the usual flows.
constexpr double coldFloor = 10; ///< Flows that any cold server bears.
constexpr Duration noticeTime
    = std::chrono::milliseconds(1000); ///< Within which a server that turned cold is spared.
constexpr double smallestMean = 45; ///< Open flows per server below which imbalance says nothing.

const TraceService &serviceOf(const World &world, const LabFlow &flow)
{
    return world.trace.services[flow.service];
}

const TraceService *serviceNamed(const World &world, const std::string &name)
{
    for (const auto &service : world.trace.services) {
        if (service.name == name) {
            return &service;
        }
    }
    return nullptr;
}

enum class Cause { Change, Crash, Zone };

// Why a flow that is not whole broke: what happened to its server and zone since it opened.
Cause causeOf(const World &world, const LabFlow &flow)
{
    const auto &home = world.hosts[flow.home];
    const auto &zone = world.zones.at(home.zone);
    // A flow may still open in the zone until the order is in force.
    if (zone.lastOutAt != TimePoint{} && (zone.out || zone.lastOutAt + inForceLimit >= flow.openedAt)) {
        return Cause::Zone;
    }
    // Every UDP packet may be a first one, so a UDP flow goes on elsewhere once its agent is found dead.
    const bool udp = serviceOf(world, flow).protocol == Protocol::Udp;
    const auto lostAt = udp ? std::max(home.diedAt, home.foundDeadAt) : home.diedAt;
    return lostAt >= flow.openedAt && lostAt != TimePoint{} ? Cause::Crash : Cause::Change;
}

void breakFlow(World &world, LabFlow &flow)
{
    if (flow.over) {
        return;
    }
    flow.over = true;
    if (!flow.open) {
        return;
    }
    world.hosts[flow.home].flows.erase(static_cast<std::uint64_t>(&flow - world.flows.data()));
    if (flow.closing) {
        return;
    }
    switch (causeOf(world, flow)) {
    case Cause::Change:
        ++world.figures.brokenByChange;
        break;
    case Cause::Crash:
        ++world.figures.brokenByCrash;
        break;
    case Cause::Zone:
        ++world.figures.givenUpWithZone;
        break;
    }
}

bool someServerMayTake(const World &world, std::size_t service)
{
    return std::any_of(world.hosts.begin(), world.hosts.end(), [&](const LabHost &host) {
        return host.service == world.trace.services[service].name && mayTakeFlows(world, host);
    });
}

void noteOffer(World &world, LabFlow &flow)
{
    flow.offered = true;
    flow.offeredAt = world.now;
    flow.countable
        = someServerMayTake(world, flow.service) && world.now + openLimit < TimePoint{} + world.trace.length;
    flow.aroundZone = flow.countable && world.now < world.zoneBusyUntil;
    world.figures.offered += flow.countable ? 1 : 0;
    world.figures.offeredAroundZone += flow.aroundZone ? 1 : 0;
}

void sendAttempt(World &world, LabPacket packet, int tries);

void retryAttempt(World &world, const LabPacket &packet, int tries)
{
    auto &flow = world.flows[packet.flow];
    if (flow.over || flow.acknowledged >= packet.attempt) {
        return;
    }
    if (tries >= retryLimit) {
        breakFlow(world, flow);
        return;
    }
    ++world.figures.callerRetries;
    sendAttempt(world, packet, tries);
}

void sendAttempt(World &world, LabPacket packet, int tries)
{
    ++world.figures.packets;
    packet.balancer = tries == 0 ? packet.balancer : world.random() % world.balancers.size();
    if (!world.chance(world.trace.loss)) {
        const auto balancer = packet.balancer;
        world.after(world.trace.callerDelay + world.upTo(world.trace.jitter),
                    [&world, packet, balancer] { sendFromBalancer(world, balancer, packet); });
    }
    world.after(firstRetry * (1 << std::min(tries, 4)),
                [&world, packet, tries] { retryAttempt(world, packet, tries + 1); });
}

// Judges a new flow against what a cold server bears.
void noteColdLoad(World &world, LabHost &host)
{
    if (host.coldAt == TimePoint{}) {
        return;
    }
    const double warmth = warmthOf(world, host);
    if (warmth >= 1.0) {
        host.coldAt = {};
        return;
    }
    const auto *const service = serviceNamed(world, host.service);
    const double bears = std::max(coldFloor, coldMargin * warmth * service->nominal);
    const bool noticed = host.coldByStart || world.now - host.coldAt > noticeTime;
    host.sinceCold += noticed ? 1 : 0;
    const double load
        = host.coldByStart ? static_cast<double>(host.flows.size()) : static_cast<double>(host.sinceCold);
    world.figures.overCold += noticed && load > bears ? 1 : 0;
}

void openAt(World &world, std::size_t index, LabFlow &flow, std::uint64_t number)
{
    auto &host = world.hosts[index];
    flow.open = true;
    flow.openedAt = world.now;
    flow.home = index;
    flow.homeLife = host.serverLife;
    host.flows[number] = true;
    ++world.figures.flowsOpened;
    const bool served = world.now - flow.offeredAt <= openLimit;
    world.figures.served += flow.countable && served ? 1 : 0;
    world.figures.servedAroundZone += flow.aroundZone && served ? 1 : 0;
    noteColdLoad(world, host);
}

// The last packet of a flow has arrived.
void endIfClosing(LabHost &host, LabFlow &flow, const LabPacket &packet)
{
    if (!flow.closing || packet.attempt < flow.attempts) {
        return;
    }
    flow.over = true;
    host.flows.erase(packet.flow);
}

void sampleAnswer(World &world, LabHost &host)
{
    constexpr double warmMillis = 5;
    const double millis = warmMillis / std::max(0.05, warmthOf(world, host));
    const auto time = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(millis));
    recordLocalAnswer(host.directory, {.time = time}, world.now);
}

} // namespace

double warmthOf(const World &world, const LabHost &host)
{
    if (host.coldAt == TimePoint{}) {
        return 1.0;
    }
    const auto *const service = serviceNamed(world, host.service);
    const double share = std::chrono::duration<double>(world.now - host.coldAt)
        / std::chrono::duration<double>(service->ramp);
    return std::clamp(share, SlowStart::coldFraction, 1.0);
}

bool mayTakeFlows(const World &world, const LabHost &host)
{
    return host.alive && !host.paused && !host.leaving && host.announced != NodeState::Draining
        && !world.zones.at(host.zone).out;
}

void callerSends(World &world, std::uint64_t number, std::size_t balancer, bool opens, bool closes)
{
    auto &flow = world.flows[number];
    if (flow.over || (!opens && !flow.open)) {
        return;
    }
    if (opens) {
        noteOffer(world, flow);
    }
    const bool udp = serviceOf(world, flow).protocol == Protocol::Udp;
    const LabPacket packet{.flow = number,
                           .attempt = ++flow.attempts,
                           .opens = opens || udp,
                           .closes = closes && !udp,
                           .balancer = balancer};
    flow.closing = flow.closing || closes;
    sendAttempt(world, packet, 0);
}

void deliverToServer(World &world, std::size_t index, const LabPacket &packet)
{
    auto &host = world.hosts[index];
    auto &flow = world.flows[packet.flow];
    if (serviceOf(world, flow).name != host.service) {
        ++world.figures.wrongService;
        return;
    }
    ++world.figures.delivered;
    world.figures.extraHops += packet.hops;
    sampleAnswer(world, host);
    if (flow.over) {
        return;
    }
    if (!flow.open) {
        if (packet.opens) {
            openAt(world, index, flow, packet.flow);
            flow.acknowledged = std::max(flow.acknowledged, packet.attempt);
        }
        return;
    }
    if (flow.home == index && flow.homeLife == host.serverLife) {
        flow.acknowledged = std::max(flow.acknowledged, packet.attempt);
        endIfClosing(host, flow, packet);
        return;
    }
    const bool repeatedOpen = packet.opens && packet.attempt <= flow.acknowledged;
    if (!repeatedOpen) {
        resetCaller(world, packet.flow, false);
    }
}

void resetCaller(World &world, std::uint64_t number, bool opens)
{
    auto &flow = world.flows[number];
    ++world.figures.resets;
    const bool udp = serviceOf(world, flow).protocol == Protocol::Udp;
    if (!opens || udp || !flow.open) {
        breakFlow(world, flow);
        return;
    }
    if (flow.openedAt + world.trace.callerDelay < world.now) {
        return; // The caller has its connection and ignores a late reset of an earlier SYN.
    }
    // The reset is there before the server's answer: the caller was refused.
    flow.over = true;
    world.hosts[flow.home].flows.erase(number);
    --world.figures.flowsOpened;
}

void sampleImbalance(World &world)
{
    for (const auto &service : world.trace.services) {
        double flows = 0;
        double weight = 0;
        double largest = 0;
        for (const auto &host : world.hosts) {
            // A server that turned cold under its load takes no share until it is warm.
            const bool turnedCold = !host.coldByStart && warmthOf(world, host) < 1.0;
            if (host.service != service.name || !mayTakeFlows(world, host) || turnedCold) {
                continue;
            }
            const auto &zone = world.zones.at(host.zone);
            const auto returned = zone.lastOutAt != TimePoint{} ? zone.changedAt : TimePoint{};
            const double ramp = zoneRampFraction(ZoneRow{}.rampTime, returned, world.now);
            const double own = ramp * (host.coldByStart ? warmthOf(world, host) : 1.0);
            const auto load = static_cast<double>(host.flows.size());
            flows += load;
            weight += own;
            // A server that has just begun its ramp has a share too small to compare.
            largest = own >= 0.2 ? std::max(largest, load / own) : largest;
        }
        if (weight == 0 || flows / weight < smallestMean) {
            continue;
        }
        world.figures.imbalance = std::max(world.figures.imbalance, largest / (flows / weight));
    }
}

} // namespace oriolelever::lab
