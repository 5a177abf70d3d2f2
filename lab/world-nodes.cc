#include <algorithm>

#include "world.h"

namespace oriolelever::lab {

namespace {

constexpr Duration catchUpTime = std::chrono::seconds(1); ///< From a start until all records are there.
constexpr double recordBytes = 160; ///< Of a record on the wire.

Endpoint dataEndpoint(std::size_t index)
{
    Endpoint out{.port = 6080};
    out.address.bytes = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 10, 1, 0, 0};
    out.address.bytes[14] = static_cast<std::uint8_t>(index / 250);
    out.address.bytes[15] = static_cast<std::uint8_t>(1 + index % 250);
    return out;
}

Endpoint serviceEndpoint(std::size_t index)
{
    Endpoint out{.port = 443};
    out.address.bytes
        = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 10, 2, 0, static_cast<std::uint8_t>(index + 1)};
    return out;
}

void takeRecords(World &world, LabView &records, const std::vector<Record> &changed)
{
    std::vector<Record> applied;
    for (const auto &record : changed) {
        const bool isNew = handleError([&] { return applyRecord(records.view, record); },
                                       [](const Error &) -> bool { return false; });
        if (isNew) {
            applied.push_back(record);
        }
    }
    if (!applied.empty()) {
        records.routing = updateRouting(records.builder, records.view, applied, world.now);
    }
}

std::vector<Record> allRecords(const World &world)
{
    std::vector<Record> out;
    out.reserve(world.records.size());
    for (const auto &[key, record] : world.records) {
        out.push_back(record);
    }
    return out;
}

// The server drops the flows that its agent gives up; their callers learn of it with their next packet.
void dropGivenUp(LabHost &host)
{
    const auto *const own = findServer(*host.directory.route, host.id);
    if (own != nullptr && own->zoneOut) {
        host.flows.clear();
    }
}

void giveRoster(World &world, std::size_t index)
{
    auto &host = world.hosts[index];
    for (const auto &service : world.trace.services) {
        if (service.name != host.service) {
            continue;
        }
        const auto &row = host.records.view.services.at(service.name).row;
        const auto *const found = findRoute(*host.records.routing, row.address, row.protocol);
        if (found != nullptr && *found != host.directory.route) {
            applyDirectoryRoster(host.directory, *found, world.now, world.effects);
            applyEffects(world, index, nullptr);
            dropGivenUp(host);
        }
    }
}

void reachHost(World &world, std::size_t index, const Record &record)
{
    auto &host = world.hosts[index];
    if (!host.alive) {
        return;
    }
    if (host.paused) {
        host.waiting.push_back([&world, index, record] { reachHost(world, index, record); });
        return;
    }
    takeRecords(world, host.records, {record});
    giveRoster(world, index);
    // A node that hears of its own death refutes it.
    const auto own = host.records.view.nodes.find(host.name);
    if (record.key.name == host.name && own->second.announcement.state == NodeState::Down
        && own->second.announcement.incarnation == host.agentLife) {
        host.sequence = own->second.version.sequence;
        announce(world, host, host.announced);
    }
}

void reachBalancer(World &world, std::size_t index, const Record &record)
{
    auto &balancer = world.balancers[index];
    if (balancer.paused) {
        balancer.waiting.push_back([&world, index, record] { reachBalancer(world, index, record); });
        return;
    }
    balancer.controlBytes += recordBytes;
    takeRecords(world, balancer.records, {record});
}

void remember(World &world, const Record &record)
{
    auto &newest = world.records[record.key];
    if (newest.version < record.version) {
        newest = record;
    }
}

void publish(World &world, const Record &record)
{
    remember(world, record);
    for (const auto &balancer : world.balancers) {
        world.after(world.upTo(world.trace.spread),
                    [&world, name = balancer.name, record] { reachNode(world, name, record); });
    }
    for (const auto &host : world.hosts) {
        const bool self = host.name == record.key.name;
        world.after(self ? Duration{0} : world.upTo(world.trace.spread),
                    [&world, name = host.name, record] { reachNode(world, name, record); });
    }
}

Record announcementOf(const LabHost &host, NodeState state)
{
    const Announcement announcement{.name = host.name,
                                    .zone = host.zone,
                                    .service = host.service,
                                    .incarnation = host.agentLife,
                                    .state = state,
                                    .data = host.data};
    return {.key = {RecordKind::Node, host.name},
            .version = {host.agentLife, host.sequence},
            .value = encodeAnnouncement(announcement)};
}

void startDirectory(World &world, LabHost &host, bool warm)
{
    const DirectoryOptions options{.self = host.id,
                                   .service = idOf<ServiceId>(host.service),
                                   .incarnation = host.agentLife,
                                   .seed = world.trace.seed,
                                   .serverMayHaveFlows = warm,
                                   .warm = world.now <= TimePoint{} + std::chrono::microseconds(1)};
    host.directory = makeDirectory(options, world.now);
    host.held.clear();
}

Record makeRecord(RecordKind kind, const std::string &name, const RecordVersion &version,
                  const std::string &value)
{
    Record record;
    record.key.kind = kind;
    record.key.name = name;
    record.version = version;
    record.value = value;
    return record;
}

Record rowRecord(RecordKind kind, const std::string &name, const std::string &json)
{
    return makeRecord(kind, name, {0, 1}, json);
}

void buildRows(World &world)
{
    for (std::size_t i = 0; i < world.trace.services.size(); ++i) {
        const auto &service = world.trace.services[i];
        const ServiceRow row{.name = service.name,
                             .address = serviceEndpoint(i),
                             .protocol = service.protocol,
                             .connectionLimit = service.limit,
                             .rampTime = service.ramp};
        remember(world, rowRecord(RecordKind::Service, service.name, encodeServiceRow(row)));
    }
    for (const auto &zone : world.trace.zones) {
        world.zones[zone] = {};
        remember(world, rowRecord(RecordKind::Zone, zone, encodeZoneRow({.name = zone})));
    }
}

void buildNodes(World &world)
{
    for (const auto &name : world.trace.balancers) {
        world.balancerByName[name] = world.balancers.size();
        world.balancers.push_back({.name = name});
    }
    for (const auto &server : world.trace.servers) {
        const auto index = world.hosts.size();
        LabHost host{.name = server.name,
                     .id = idOf<ServerId>(server.name),
                     .zone = server.zone,
                     .service = server.service,
                     .data = dataEndpoint(index)};
        world.hostByName[server.name] = index;
        world.hostByEndpoint[host.data] = index;
        world.hostById[host.id] = index;
        remember(world, announcementOf(host, NodeState::Ready));
        world.hosts.push_back(std::move(host));
    }
}

Record orderRecord(World &world, const Event &event)
{
    const RecordVersion version{0, ++world.nextVersion};
    if (event.kind == EventKind::Drain || event.kind == EventKind::Undrain) {
        const ServerRow order{.name = event.name, .drain = event.kind == EventKind::Drain};
        return {.key = {RecordKind::Server, event.name}, .version = version, .value = encodeServerRow(order)};
    }
    const auto state = event.kind == EventKind::ZoneOut ? ZoneState::Out : ZoneState::In;
    const ZoneRow row{.name = event.name, .state = state};
    return {.key = {RecordKind::Zone, event.name}, .version = version, .value = encodeZoneRow(row)};
}

void noteZoneOrder(World &world, const Event &event)
{
    auto &zone = world.zones[event.name];
    zone.out = event.kind == EventKind::ZoneOut;
    zone.changedAt = world.now;
    if (zone.out) {
        zone.lastOutAt = world.now;
    }
    world.zoneBusyUntil
        = world.now + (zone.out ? Duration(world.trace.length) : Duration(ZoneRow{}.rampTime));
}

} // namespace

void buildWorld(World &world)
{
    buildRows(world);
    buildNodes(world);
    const auto records = allRecords(world);
    for (auto &balancer : world.balancers) {
        takeRecords(world, balancer.records, records);
    }
    for (auto &host : world.hosts) {
        takeRecords(world, host.records, records);
        startDirectory(world, host, true);
        host.directory.recovering = false;
    }
    for (std::size_t i = 0; i < world.hosts.size(); ++i) {
        giveRoster(world, i);
        world.after(world.upTo(labTick), [&world, i] { tickHost(world, i); });
    }
}

void reachNode(World &world, const std::string &node, const Record &record)
{
    remember(world, record);
    const auto host = world.hostByName.find(node);
    if (host != world.hostByName.end()) {
        reachHost(world, host->second, record);
        return;
    }
    reachBalancer(world, world.balancerByName.at(node), record);
}

void announce(World &world, LabHost &host, NodeState state)
{
    host.announced = state;
    ++host.sequence;
    publish(world, announcementOf(host, state));
}

void announceDown(World &world, LabHost &host)
{
    host.foundDeadAt = world.now;
    auto record = announcementOf(host, NodeState::Down);
    ++record.version.sequence;
    publish(world, record);
}

void takeOrder(World &world, const Event &event)
{
    const auto record = orderRecord(world, event);
    world.orders[event.number] = {.record = record, .at = world.now};
    const bool ofZone = event.kind == EventKind::ZoneOut || event.kind == EventKind::ZoneReturn;
    if (ofZone) {
        noteZoneOrder(world, event);
    }
}

void restartAgent(World &world, std::size_t index, bool serverToo)
{
    auto &host = world.hosts[index];
    if (!host.alive && !serverToo) {
        return;
    }
    host.alive = true;
    host.paused = false;
    host.leaving = false;
    host.waiting.clear();
    ++host.agentLife;
    host.sequence = 0;
    if (serverToo) {
        ++host.serverLife;
        host.flows.clear();
        host.coldAt = world.now;
        host.coldByStart = true;
        host.sinceCold = 0;
        host.service = host.nextService.empty() ? host.service : host.nextService;
    }
    // A new process has the records of a peer at first, and all of them a little later.
    host.records = {};
    const auto &peer = world.balancers[world.random() % world.balancers.size()].records.view;
    host.records.view = peer;
    takeRecords(world, host.records, {});
    host.records.routing
        = updateRouting(host.records.builder, host.records.view, allRecords(world), world.now);
    startDirectory(world, host, !serverToo);
    announce(world, host, serverToo ? NodeState::Cold : NodeState::Ready);
    world.after(catchUpTime, [&world, index] {
        takeRecords(world, world.hosts[index].records, allRecords(world));
        giveRoster(world, index);
    });
}

void restartAgentGracefully(World &world, std::size_t index, int tries)
{
    constexpr int tryLimit = 1000;
    auto &host = world.hosts[index];
    if (!host.alive || host.paused) {
        return;
    }
    if (isFullyReplicated(host.directory) || tries >= tryLimit) {
        restartAgent(world, index, false);
        return;
    }
    prepareForStop(host.directory);
    world.after(std::chrono::milliseconds(1),
                [&world, index, tries] { restartAgentGracefully(world, index, tries + 1); });
}

void restartBalancer(World &world, std::size_t index)
{
    auto &balancer = world.balancers[index];
    const auto &peer = world.balancers[(index + 1) % world.balancers.size()];
    balancer.records = {};
    balancer.records.view = peer.records.view;
    balancer.records.routing
        = updateRouting(balancer.records.builder, balancer.records.view, allRecords(world), world.now);
    balancer.table.clear();
    balancer.paused = false;
    balancer.waiting.clear();
    ++balancer.life;
    world.after(catchUpTime,
                [&world, index] { takeRecords(world, world.balancers[index].records, allRecords(world)); });
}

void crashHost(World &world, std::size_t index)
{
    auto &host = world.hosts[index];
    if (!host.alive) {
        return;
    }
    host.alive = false;
    host.diedAt = world.now;
    host.leaving = false;
    host.waiting.clear();
    const auto life = host.agentLife;
    world.after(world.trace.detection, [&world, index, life] {
        auto &dead = world.hosts[index];
        if (!dead.alive && dead.agentLife == life) {
            announceDown(world, dead);
        }
    });
}

void pauseNode(World &world, const std::string &name)
{
    const auto balancer = world.balancerByName.find(name);
    if (balancer != world.balancerByName.end()) {
        world.balancers[balancer->second].paused = true;
        return;
    }
    const auto index = world.hostByName.at(name);
    auto &host = world.hosts[index];
    host.paused = true;
    const auto life = host.agentLife;
    world.after(world.trace.detection, [&world, index, life] {
        auto &silent = world.hosts[index];
        if (silent.paused && silent.alive && silent.agentLife == life) {
            announceDown(world, silent);
        }
    });
}

void resumeNode(World &world, const std::string &name)
{
    std::vector<std::function<void()>> waiting;
    const auto balancer = world.balancerByName.find(name);
    if (balancer != world.balancerByName.end()) {
        world.balancers[balancer->second].paused = false;
        waiting.swap(world.balancers[balancer->second].waiting);
    } else {
        auto &host = world.hosts[world.hostByName.at(name)];
        host.paused = false;
        waiting.swap(host.waiting);
    }
    for (const auto &item : waiting) {
        item();
    }
}

void leaveHost(World &world, std::size_t index)
{
    constexpr Duration check = std::chrono::milliseconds(100);
    constexpr Duration quiet = std::chrono::milliseconds(1000); ///< For packets on their way.
    auto &host = world.hosts[index];
    if (!host.alive || host.paused) {
        return;
    }
    if (!host.leaving) {
        host.leaving = true;
        announce(world, host, NodeState::Draining);
        world.after(world.trace.spread + quiet, [&world, index] { leaveHost(world, index); });
        return;
    }
    if (host.flows.empty()) {
        restartAgent(world, index, true);
        return;
    }
    world.after(check, [&world, index] { leaveHost(world, index); });
}

void refreshBalancer(World &world, std::size_t index, std::size_t host)
{
    constexpr Duration refreshInterval = std::chrono::milliseconds(100);
    const auto &teller = world.hosts[host];
    auto &refreshedAt = world.balancers[index].refreshedAt[teller.service];
    if (refreshedAt != TimePoint{} && world.now - refreshedAt < refreshInterval) {
        return;
    }
    refreshedAt = world.now;
    const auto &view = teller.records.view;
    std::vector<Record> records;
    for (const auto &[name, entry] : view.nodes) {
        if (entry.announcement.service != teller.service && name != teller.name) {
            continue;
        }
        records.push_back(
            makeRecord(RecordKind::Node, name, entry.version, encodeAnnouncement(entry.announcement)));
        const auto order = view.serverRows.find(name);
        if (order != view.serverRows.end()) {
            const auto json = encodeServerRow(order->second.row);
            records.push_back(makeRecord(RecordKind::Server, name, order->second.version, json));
        }
    }
    auto &balancer = world.balancers[index];
    balancer.controlBytes += recordBytes * static_cast<double>(records.size());
    if (!balancer.paused) {
        takeRecords(world, balancer.records, records);
    }
}

} // namespace oriolelever::lab
