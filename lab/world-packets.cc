#include "oriolelever/directory-codec.h"
#include "world.h"

namespace oriolelever::lab {

namespace {

constexpr double datagramOverhead = 44; ///< IP, UDP and encapsulation headers.
constexpr Duration refreshTime = std::chrono::milliseconds(5);

void arrive(World &world, std::size_t host, const LabPacket &packet);

void sendToHost(World &world, const Endpoint &target, const LabPacket &packet)
{
    const auto host = world.hostByEndpoint.find(target);
    if (host == world.hostByEndpoint.end() || world.chance(world.trace.loss)) {
        return;
    }
    const auto copies = world.chance(world.trace.doubled) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        world.after(world.networkDelay(),
                    [&world, index = host->second, packet] { arrive(world, index, packet); });
    }
}

void noteZone(World &world, const LabHost &host)
{
    const auto &zone = world.zones.at(host.zone);
    if (zone.out && world.now - zone.changedAt > inForceLimit) {
        ++world.figures.zoneAfterLeft;
    }
}

void applyVerdict(World &world, std::size_t index, const LabPacket &packet, const Verdict &verdict)
{
    switch (verdict.action) {
    case PacketAction::Deliver:
        deliverToServer(world, index, packet);
        return;
    case PacketAction::Forward: {
        auto next = packet;
        next.purpose = verdict.purpose;
        next.hops = verdict.hops;
        next.target = verdict.toIncarnation;
        next.fromServer = world.hosts[index].id;
        next.version = world.hosts[index].directory.route->version;
        sendToHost(world, verdict.toEndpoint, next);
        return;
    }
    case PacketAction::Hold:
        world.hosts[index].held[verdict.holdId] = packet;
        return;
    case PacketAction::Reset:
        world.after(world.trace.callerDelay,
                    [&world, flow = packet.flow, opens = packet.opens] { resetCaller(world, flow, opens); });
        return;
    case PacketAction::Drop:
        return;
    }
}

PacketInfo infoOf(const World &world, const LabPacket &packet)
{
    return {.flow = world.flows[packet.flow].key,
            .service = packet.service,
            .targetIncarnation = packet.target,
            .rosterVersion = packet.version,
            .purpose = packet.purpose,
            .hops = packet.hops,
            .fromServer = packet.fromServer,
            .opens = packet.opens,
            .closes = packet.closes};
}

void arrive(World &world, std::size_t index, const LabPacket &packet)
{
    auto &host = world.hosts[index];
    if (!host.alive) {
        return;
    }
    if (host.paused) {
        host.waiting.push_back([&world, index, packet] { arrive(world, index, packet); });
        return;
    }
    noteZone(world, host);
    if (world.baseline != Baseline::None) {
        deliverToServer(world, index, packet);
        return;
    }
    handleFlowPacket(host.directory, infoOf(world, packet), world.now, world.effects);
    if (world.effects.isSenderStale && !packet.fromServer) {
        world.after(world.networkDelay() + refreshTime,
                    [&world, balancer = packet.balancer, index] { refreshBalancer(world, balancer, index); });
    }
    applyEffects(world, index, &packet);
}

void takeMessage(World &world, std::size_t index, ServerId from, const DirectoryMessage &message)
{
    auto &host = world.hosts[index];
    if (!host.alive) {
        return;
    }
    if (host.paused) {
        host.waiting.push_back([&world, index, from, message] { takeMessage(world, index, from, message); });
        return;
    }
    handleDirectoryMessage(host.directory, from, message, world.now, world.effects);
    applyEffects(world, index, nullptr);
}

void sendDirectoryMessage(World &world, std::size_t from, const Effects::Outgoing &outgoing)
{
    const auto target = world.hostByEndpoint.find(outgoing.endpoint);
    auto &host = world.hosts[from];
    host.controlBytes
        += static_cast<double>(encodeDirectoryMessage(outgoing.message).size()) + datagramOverhead;
    if (target == world.hostByEndpoint.end() || world.chance(world.trace.loss)) {
        return;
    }
    const auto copies = world.chance(world.trace.doubled) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        world.after(world.networkDelay(),
                    [&world, index = target->second, id = host.id, message = outgoing.message] {
                        takeMessage(world, index, id, message);
                    });
    }
}

// The flow table of the balancer, as other balancers of this kind keep it: the first choice lasts.
bool tableDecision(World &world, std::size_t index, std::uint64_t flow, RouteDecision &decision)
{
    auto &table = world.balancers[index].table;
    const auto known = table.find(flow);
    if (known != table.end()) {
        decision = known->second;
        return true;
    }
    table[flow] = decision;
    return false;
}

} // namespace

void sendFromBalancer(World &world, std::size_t index, LabPacket packet)
{
    auto &balancer = world.balancers[index];
    if (balancer.paused) {
        balancer.waiting.push_back([&world, index, packet] { sendFromBalancer(world, index, packet); });
        return;
    }
    auto decision = route(*balancer.records.routing, world.flows[packet.flow].key);
    if (!decision) {
        return;
    }
    if (world.baseline == Baseline::Table) {
        tableDecision(world, index, packet.flow, *decision);
    }
    packet.service = decision->service;
    packet.version = decision->version;
    packet.target = decision->incarnation;
    sendToHost(world, decision->target, packet);
}

void applyEffects(World &world, std::size_t index, const LabPacket *packet)
{
    const Effects effects = std::move(world.effects);
    world.effects = {};
    for (const auto &outgoing : effects.messages) {
        sendDirectoryMessage(world, index, outgoing);
    }
    if (packet != nullptr) {
        applyVerdict(world, index, *packet, effects.verdict);
    }
    for (const auto &released : effects.released) {
        auto &held = world.hosts[index].held;
        const auto known = held.find(released.holdId);
        if (known == held.end()) {
            continue;
        }
        const auto waiting = known->second;
        held.erase(known);
        applyVerdict(world, index, waiting, released.verdict);
    }
}

void tickHost(World &world, std::size_t index)
{
    auto &host = world.hosts[index];
    world.after(labTick, [&world, index] { tickHost(world, index); });
    if (!host.alive || host.paused) {
        return;
    }
    handleDirectoryTick(host.directory, world.now, world.effects);
    applyEffects(world, index, nullptr);
}

} // namespace oriolelever::lab
