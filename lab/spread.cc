#include "spread.h"

#include <algorithm>
#include <memory>
#include <queue>
#include <random>

#include <ctime>

namespace oriolelever::lab {

namespace {

double processorMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

constexpr unsigned exchangesPerRandomPeer = 8; // As in the daemons.

using Bytes = std::shared_ptr<const std::string>;

struct Event
{
    Duration at{0};
    std::uint64_t number = 0;
    std::size_t node = 0;
    Bytes message; ///< Null: the node pushes what is due.

    bool operator>(const Event &other) const
    {
        return std::pair(at, number) > std::pair(other.at, other.number);
    }
};

struct Node
{
    bool failed = false;
    bool has = false; ///< The change that is being spread.
    ForwardedChanges broadcasts;
    std::vector<DimensionRange> parts; ///< To be passed on.
    std::uint64_t handled = 0;
};

// Spreads one change after the other; each starts when the one before is everywhere.
class Spread
{
public:
    explicit Spread(const SpreadOptions &options);

    SpreadFigures run();

private:
    void spreadOne(std::size_t change);
    std::vector<std::size_t> watchers() const;
    void reach(std::size_t node, Duration at);
    void push(std::size_t node, Duration at);
    void sendTo(const HypercubeEdge &edge, const Bytes &message, Duration at);
    void repair(Duration at);

    SpreadOptions m_options;
    std::vector<Member> m_members;
    std::vector<std::uint64_t> m_labels;
    std::vector<Node> m_nodes;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_number = 0;
    std::minstd_rand m_random;
    Record m_record;
    std::uint64_t m_change = 0;
    std::size_t m_live = 0;
    std::size_t m_reached = 0;
    Duration m_latest{0};
    Duration m_longest{0};
    std::size_t m_repaired = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
    double m_processor = 0;
};

Spread::Spread(const SpreadOptions &options)
    : m_options(options)
    , m_members(syntheticMembers(options.nodes, options.zones))
    , m_nodes(options.nodes)
    , m_random(options.seed)
    , m_live(options.nodes)
{
    for (const auto &member : m_members) {
        m_labels.push_back(member.label);
    }
    while (m_live > options.nodes - std::min(options.failed, options.nodes / 2)) {
        auto &node = m_nodes[m_random() % m_nodes.size()];
        m_live -= node.failed ? 0 : 1;
        node.failed = true;
    }
}

std::vector<std::size_t> Spread::watchers() const
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        const auto index = std::stoul(m_members[i].name.substr(1));
        const auto zone = "zone-" + std::to_string(index % m_options.zones);
        if (isPlatformWatcher(m_members, zone, m_members[i].name, m_options.watchersPerZone)) {
            result.push_back(i);
        }
    }
    return result;
}

void Spread::reach(std::size_t index, Duration at)
{
    auto &node = m_nodes[index];
    if (!std::exchange(node.has, true)) {
        ++m_reached;
        m_latest = std::max(m_latest, at);
    }
}

void Spread::sendTo(const HypercubeEdge &edge, const Bytes &message, Duration at)
{
    auto peer = edge.nearest;
    while (true) {
        ++m_messages;
        m_bytes += message->size();
        const bool lost = std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.loss;
        if (!lost && !m_nodes[peer].failed) {
            m_events.push(
                {.at = at + m_options.delay, .number = m_number++, .node = peer, .message = message});
            return;
        }
        if (at - m_latest > m_options.timeout * 4) {
            return;
        }
        at += m_options.timeout;
        peer = edge.first + m_random() % (edge.last - edge.first);
    }
}

void Spread::push(std::size_t index, Duration at)
{
    auto &node = m_nodes[index];
    for (const auto &part : std::exchange(node.parts, {})) {
        const auto before = processorMicroseconds();
        std::vector<std::pair<HypercubeEdge, Bytes>> messages;
        for (const auto &edge : hypercubeEdges(m_labels, m_labels[index], part.from)) {
            if (edge.dimension >= part.to) {
                continue;
            }
            Exchange message;
            message.from = m_members[index].name;
            message.depth = edge.receiverDepth;
            message.records.push_back(m_record);
            messages.emplace_back(edge, std::make_shared<std::string>(encodeExchange(message)));
        }
        m_processor += processorMicroseconds() - before;
        node.handled += messages.size();
        for (const auto &[edge, message] : messages) {
            sendTo(edge, message, at);
        }
    }
}

// Every node compares with a neighbour, sometimes with anyone; the change goes either way.
void Spread::repair(Duration at)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        auto other = m_random() % m_nodes.size();
        if (m_random() % exchangesPerRandomPeer != 0) {
            const auto edges = hypercubeEdges(m_labels, m_labels[i]);
            other = edges[m_random() % edges.size()].nearest;
        }
        if (m_nodes[i].failed || m_nodes[other].failed || m_nodes[i].has == m_nodes[other].has) {
            continue;
        }
        ++m_repaired;
        reach(i, at);
        reach(other, at);
    }
}

void Spread::spreadOne(std::size_t change)
{
    ServiceRow row{.name = "service-" + std::to_string(change)};
    parseEndpoint("192.0.2.10:443", row.address);
    m_record.key = {RecordKind::Service, row.name};
    m_record.version = {0, change + 1};
    m_record.value = encodeServiceRow(row);
    m_change = hashVersion(hashKey(m_record.key), m_record.version);
    m_reached = 0;
    m_latest = Duration(0);
    for (auto &node : m_nodes) {
        node.has = false;
        node.broadcasts.byChange.clear();
    }
    const auto all = watchers();
    for (std::size_t place = 0; place < all.size(); ++place) {
        const auto index = all[(place + m_change) % all.size()];
        if (!m_nodes[index].failed) {
            reach(index, Duration(0));
            m_events.push({.at = m_options.watcherInterval * static_cast<int>(place),
                           .number = m_number++,
                           .node = index});
        }
    }
    auto nextRepair = m_options.repairInterval;
    while (!m_events.empty() || m_reached < m_live) {
        if (m_events.empty() || m_events.top().at > nextRepair) {
            repair(nextRepair);
            nextRepair += m_options.repairInterval;
            continue;
        }
        const auto event = m_events.top();
        m_events.pop();
        auto &node = m_nodes[event.node];
        unsigned depth = 0;
        if (event.message != nullptr) {
            ++node.handled;
            const auto before = processorMicroseconds();
            const auto message = decodeExchange(*event.message);
            m_processor += processorMicroseconds() - before;
            depth = message ? message.value().depth : labelBits;
            reach(event.node, event.at);
        } else if (!node.parts.empty()) {
            push(event.node, event.at);
            continue;
        } else if (node.broadcasts.byChange.contains(m_change)) {
            continue;
        }
        const auto part = claimDimensions(node.broadcasts, m_change, depth, TimePoint(event.at));
        if (!part.isEmpty()) {
            node.parts.push_back(part);
            m_events.push({.at = event.at + m_options.pushDelay, .number = m_number++, .node = event.node});
        }
    }
    m_longest = std::max(m_longest, m_latest);
}

SpreadFigures Spread::run()
{
    for (std::size_t change = 0; change < m_options.changes; ++change) {
        spreadOne(change);
    }
    std::uint64_t busiest = 0;
    for (const auto &node : m_nodes) {
        busiest = std::max(busiest, node.handled);
    }
    const auto changes = static_cast<double>(m_options.changes);
    const auto pairs = static_cast<double>(m_live) * changes;
    SpreadFigures figures;
    figures.messagesPerChange = static_cast<double>(m_messages) / pairs;
    figures.bytesPerChange = static_cast<double>(m_bytes) / pairs;
    figures.busiestMessagesPerChange = static_cast<double>(busiest) / changes;
    figures.processorPerChange = m_processor / pairs;
    figures.longest = m_longest;
    figures.repaired = m_repaired;
    return figures;
}

} // namespace

SpreadFigures measureSpread(const SpreadOptions &options)
{
    return Spread(options).run();
}

std::vector<Member> syntheticMembers(std::size_t count, std::size_t zones)
{
    std::vector<Member> members;
    for (std::size_t i = 0; i < count; ++i) {
        const auto name = "n" + std::to_string(i);
        Member member;
        member.label = labelOf("zone-" + std::to_string(i % zones), name);
        member.name = name;
        member.incarnation = 1;
        parseEndpoint("192.0.2.1:9000", member.control);
        members.push_back(std::move(member));
    }
    std::sort(members.begin(), members.end());
    return members;
}

} // namespace oriolelever::lab
