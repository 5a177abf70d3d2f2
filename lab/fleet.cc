#include "fleet.h"

#include <algorithm>
#include <charconv>

#include "oriolelever/ping.h"

namespace oriolelever::lab {

namespace {

constexpr std::size_t headerBytes = 28; // IPv4 and UDP.
constexpr int ticksPerHeartbeat = 5;
constexpr std::chrono::milliseconds probeTime{400};
constexpr std::size_t helperChoices = 16;
constexpr std::size_t attachments = 3;
constexpr std::uint16_t controlPort = 9000;

std::size_t datagramBytes(const std::string &from, const std::string &to, bool probe)
{
    Ping ping{.type = probe ? PingType::Probe : PingType::Ping, .from = from, .to = to, .nonce = UINT64_MAX};
    if (probe) {
        ping.subject = to;
        ping.endpoint.port = controlPort;
    }
    TagKeys keys;
    keys.current = TagKey{};
    return headerBytes + encodePing(ping, keys).size();
}

} // namespace

Fleet::Fleet(const FleetOptions &options)
    : m_options(options)
    , m_agentsOf(options.balancers)
    , m_random(options.seed)
    , m_seenView(options.balancers + options.agents)
{
    const auto count = options.balancers + options.agents;
    m_nodes.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        auto &node = m_nodes[i];
        node.agent = i >= options.balancers;
        node.target.name = "n" + std::to_string(i);
        node.target.endpoint.port = controlPort;
        node.zone = "zone-" + std::to_string(i % options.zones);
        node.monitor.options = options.monitor;
        node.random.seed(options.seed * 7919U + static_cast<std::uint32_t>(i));
        if (node.agent) {
            for (const auto balancer : assignedMembers(options.balancers, node.target.name, attachments)) {
                m_agentsOf[balancer].push_back(i);
            }
            continue;
        }
        m_members.push_back({labelOf(node.zone, node.target.name), node.target.name, node.target.endpoint});
        const auto tickTime = options.monitor.heartbeatInterval / ticksPerHeartbeat;
        after(Duration(tickTime) * (i % 97) / 97, [this, i] { tickNode(i); });
    }
    std::sort(m_members.begin(), m_members.end());
}

void Fleet::after(Duration time, std::function<void()> run)
{
    m_events.push({m_now + time, m_nextEvent++, std::move(run)});
}

void Fleet::runFor(Duration time)
{
    const auto end = m_now + time;
    while (!m_events.empty() && m_events.top().at <= end) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.run();
    }
    m_now = end;
}

void Fleet::kill(std::size_t node)
{
    m_nodes[node].up = false;
    m_nodes[node].failedAt = m_now;
}

void Fleet::pause(std::size_t node, Duration time)
{
    m_nodes[node].pausedUntil = m_now + time;
    m_nodes[node].failedAt = m_now;
}

void Fleet::cut(std::size_t node, bool incoming, bool outgoing)
{
    m_nodes[node].cutIn = incoming;
    m_nodes[node].cutOut = outgoing;
    m_nodes[node].failedAt = m_now;
}

void Fleet::reconnect(std::size_t node)
{
    m_nodes[node].cutIn = false;
    m_nodes[node].cutOut = false;
}

std::size_t Fleet::indexOf(const std::string &name) const
{
    std::size_t index = 0;
    std::from_chars(name.data() + 1, name.data() + name.size(), index);
    return index;
}

bool Fleet::isHealthy(const Node &node) const
{
    return node.up && m_now >= node.pausedUntil && !node.cutIn && !node.cutOut;
}

void Fleet::refresh(std::size_t index)
{
    if (m_seenView[index] == m_view) {
        return;
    }
    m_seenView[index] = m_view;
    auto &node = m_nodes[index];
    std::vector<Target> agents;
    for (const auto agent : m_agentsOf[index]) {
        if (m_nodes[agent].live) {
            agents.push_back(m_nodes[agent].target);
        }
    }
    setTargets(node.monitor,
               successorsOf(m_members, node.zone, node.target.name, m_options.monitor.successorCount), agents,
               m_now);
}

std::vector<Target> Fleet::helpersOf(std::size_t index)
{
    auto &node = m_nodes[index];
    auto helpers = successorsOf(m_members, node.zone, node.target.name, helperChoices / 2);
    for (std::size_t i = 0; i < helperChoices / 2 && m_members.size() > helperChoices; ++i) {
        const auto &member = m_members[node.random() % m_members.size()];
        if (member.name != node.target.name) {
            helpers.push_back({member.name, member.control});
        }
    }
    return helpers;
}

void Fleet::tickNode(std::size_t index)
{
    auto &node = m_nodes[index];
    if (!node.up) {
        return;
    }
    if (m_now < node.pausedUntil) {
        after(node.pausedUntil - m_now, [this, index] { tickNode(index); });
        return;
    }
    refresh(index);
    const bool suspects = std::any_of(node.monitor.targets.begin(), node.monitor.targets.end(),
                                      [](const auto &entry) { return entry.second.isSuspected; });
    const Target someHelper{.name = "?"};
    const auto helpers = suspects ? helpersOf(index) : std::vector<Target>{someHelper};
    const auto actions = tick(node.monitor, helpers, m_now, node.random);
    for (const auto &target : actions.pings) {
        send({.kind = Kind::Ping, .from = index, .to = indexOf(target.name)});
    }
    for (const auto &probe : actions.probes) {
        if (probe.helper.name != someHelper.name) {
            send({.kind = Kind::Probe,
                  .from = index,
                  .to = indexOf(probe.helper.name),
                  .subject = indexOf(probe.subject.name)});
        }
    }
    for (const auto &name : actions.down) {
        auto &dead = m_nodes[indexOf(name)];
        if (!dead.live) {
            continue;
        }
        dead.live = false;
        ++m_view;
        ++m_totals.removals;
        m_totals.falseRemovals += isHealthy(dead) ? 1 : 0;
        m_totals.longestDetection = std::max(m_totals.longestDetection, m_now - dead.failedAt);
        std::erase_if(m_members, [&](const Member &member) { return member.name == name; });
    }
    after(m_options.monitor.heartbeatInterval / ticksPerHeartbeat, [this, index] { tickNode(index); });
}

void Fleet::send(const Datagram &datagram)
{
    auto &from = m_nodes[datagram.from];
    const auto size = datagramBytes(from.target.name, m_nodes[datagram.to].target.name,
                                    datagram.kind == Kind::Probe || datagram.kind == Kind::Report);
    ++m_totals.datagrams;
    m_totals.bytes += size;
    from.bytes += size;
    const bool lost = std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.loss;
    if (lost || from.cutOut || m_nodes[datagram.to].cutIn) {
        return;
    }
    m_nodes[datagram.to].bytes += size;
    after(m_options.delay, [this, datagram] { take(datagram); });
}

void Fleet::take(const Datagram &datagram)
{
    auto &node = m_nodes[datagram.to];
    if (!node.up) {
        return;
    }
    if (m_now < node.pausedUntil) {
        // The socket's buffer keeps it.
        after(node.pausedUntil - m_now, [this, datagram] { take(datagram); });
        return;
    }
    switch (datagram.kind) {
    case Kind::Ping: {
        auto answer = datagram;
        answer.kind = Kind::Ack;
        std::swap(answer.from, answer.to);
        send(answer);
        break;
    }
    case Kind::Ack:
        recordAlive(node.monitor, m_nodes[datagram.from].target.name, m_now);
        if (datagram.forOther) {
            send({.kind = Kind::Report,
                  .from = datagram.to,
                  .to = datagram.asker,
                  .subject = datagram.from,
                  .reached = true});
        }
        break;
    case Kind::Probe: {
        const auto helper = datagram.to;
        const auto asker = datagram.from;
        const auto subject = datagram.subject;
        send({.kind = Kind::Ping, .from = helper, .to = subject, .asker = asker, .forOther = true});
        // A late report of failure does no harm when the ack came: the asker has heard of it by then.
        after(probeTime, [this, helper, asker, subject] {
            const auto &monitor = m_nodes[helper].monitor;
            const bool heard = monitor.targets.contains(m_nodes[subject].target.name)
                && m_now - monitor.targets.at(m_nodes[subject].target.name).lastContactAt < probeTime;
            if (!heard && isHealthy(m_nodes[helper])) {
                send({.kind = Kind::Report, .from = helper, .to = asker, .subject = subject});
            }
        });
        break;
    }
    case Kind::Report:
        recordProbeResult(node.monitor, m_nodes[datagram.subject].target.name, datagram.reached, m_now);
        break;
    }
}

const FleetTotals &Fleet::totals()
{
    m_totals.busiest = 0;
    for (const auto &node : m_nodes) {
        m_totals.busiest = std::max(m_totals.busiest, node.bytes);
    }
    return m_totals;
}

} // namespace oriolelever::lab
