#include "oriolelever/records.h"

#include <algorithm>

#include "oriolelever/log.h"

namespace oriolelever {

namespace {

constexpr std::size_t maxSeenLosses = 256;
constexpr std::size_t maxOtherPeers = 3; ///< Tried when the nearest one on the other side does not answer.

const Log &recordsLog()
{
    static const Log instance("records");
    return instance;
}

} // namespace

void Records::spread(const Record &record, const Source &source)
{
    if (source.origin == Origin::Repair) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto change = hashVersion(hashKey(record.key), record.version);
    Pending pending;
    pending.record = record;
    pending.due = now;
    if (source.origin == Origin::Platform) {
        pending.due += watcherDelay(change);
        pending.waiting = true;
        pending.part = {0, labelBits};
    } else {
        pending.part = takePart(m_broadcasts, change, source.depth, now);
    }
    if (!pending.part.isEmpty()) {
        m_pending.push_back(std::move(pending));
        schedulePush();
    }
}

// The watchers of the platform see a change at the same time: one spreads it at once, the others in turn if
// they have not heard of it from a peer.
Duration Records::watcherDelay(std::uint64_t change) const
{
    std::vector<const Member *> watchers;
    for (const auto &member : m_members) {
        const auto &zone = view().nodes.at(member.name).announcement.zone;
        if (isPlatformWatcher(m_members, zone, member.name, m_options.watchersPerZone)) {
            watchers.push_back(&member);
        }
    }
    const auto own = std::find_if(watchers.begin(), watchers.end(),
                                  [&](const Member *member) { return member->name == m_options.name; });
    if (own == watchers.end()) {
        return Duration(0);
    }
    const auto place = (static_cast<std::size_t>(own - watchers.begin()) + change) % watchers.size();
    return m_options.watcherTurn * static_cast<int>(place);
}

void Records::applyLosses(const std::vector<ZoneLoss> &losses, const Source &source)
{
    for (const auto &loss : losses) {
        Pending pending;
        pending.loss = loss;
        pending.due = std::chrono::steady_clock::now();
        pending.part = takePart(m_broadcasts, loss.id, source.depth, pending.due);
        if (!pending.part.isEmpty()) {
            m_pending.push_back(std::move(pending));
            schedulePush();
        }
        if (std::find(m_seenLosses.begin(), m_seenLosses.end(), loss.id) != m_seenLosses.end()) {
            continue;
        }
        m_seenLosses.push_back(loss.id);
        if (m_seenLosses.size() > maxSeenLosses) {
            m_seenLosses.pop_front();
        }
        recordsLog().warn("zone {} declared lost", loss.zone);
        m_agentLosses.push_back(loss);
        // Each receiver of the loss makes the accusations out of its own view.
        applyAll(expandLoss(view(), loss), {.origin = Origin::Repair, .from = source.from});
    }
}

void Records::schedulePush()
{
    if (m_pushScheduled || m_pushTimer == nullptr) {
        return;
    }
    m_pushScheduled = true;
    m_pushTimer->expires_after(m_options.pushDelay);
    m_pushTimer->async_wait([this, alive = m_alive](const asio::error_code &error) {
        if (!error && *alive) {
            push();
        }
    });
}

std::vector<Records::Pending> Records::takeDue(TimePoint now)
{
    std::vector<Pending> due;
    std::vector<Pending> later;
    for (auto &pending : m_pending) {
        if (pending.due > now) {
            later.push_back(std::move(pending));
            continue;
        }
        if (pending.waiting) {
            const auto change = hashVersion(hashKey(pending.record.key), pending.record.version);
            if (m_broadcasts.covered.contains(change)) {
                continue;
            }
            pending.part = takePart(m_broadcasts, change, 0, now);
        }
        due.push_back(std::move(pending));
    }
    m_pending = std::move(later);
    return due;
}

void Records::push()
{
    m_pushScheduled = false;
    refreshMembers();
    if (m_streams == nullptr) {
        return;
    }
    const auto pending = takeDue(std::chrono::steady_clock::now());
    if (m_options.role == NodeRole::Agent) {
        pushAsAgent(pending);
    } else {
        pushAlongEdges(pending);
        pushToAgents();
    }
    if (!m_pending.empty()) {
        schedulePush();
    }
}

// An attached balancer spreads it further.
void Records::pushAsAgent(const std::vector<Pending> &pending)
{
    Exchange message;
    message.from = m_options.name;
    message.service = m_options.service;
    for (const auto &entry : pending) {
        if (entry.record.key.name == m_options.name) {
            message.records.push_back(entry.record);
        }
    }
    if (message.records.empty()) {
        return;
    }
    std::vector<Endpoint> peers;
    for (const auto &member : m_attachments) {
        peers.push_back(member.control);
    }
    peers.insert(peers.end(), m_options.seeds.begin(), m_options.seeds.end());
    pushTo(std::move(peers), message);
}

void Records::pushAlongEdges(const std::vector<Pending> &pending)
{
    if (pending.empty()) {
        return;
    }
    std::vector<std::uint64_t> labels;
    for (const auto &member : m_members) {
        labels.push_back(member.label);
    }
    for (const auto &edge : hypercubeEdges(labels, labelOf(m_options.zone, m_options.name))) {
        Exchange message;
        message.from = m_options.name;
        message.depth = edge.receiverDepth;
        for (const auto &entry : pending) {
            if (edge.dimension < entry.part.from || edge.dimension >= entry.part.to) {
                continue;
            }
            if (entry.loss) {
                message.losses.push_back(*entry.loss);
            } else {
                message.records.push_back(entry.record);
            }
        }
        if (message.records.empty() && message.losses.empty()) {
            continue;
        }
        std::vector<Endpoint> peers = {m_members[edge.nearest].control};
        for (std::size_t i = 0; i < maxOtherPeers && edge.last - edge.first > 1; ++i) {
            peers.push_back(m_members[edge.first + m_random() % (edge.last - edge.first)].control);
        }
        pushTo(std::move(peers), message);
    }
}

void Records::pushToAgents()
{
    const auto pending = std::exchange(m_agentPending, {});
    const auto losses = std::exchange(m_agentLosses, {});
    if (pending.empty() && losses.empty()) {
        return;
    }
    for (const auto &[name, endpoint] : m_attachedAgents) {
        Exchange message;
        message.from = m_options.name;
        message.losses = losses;
        for (const auto &entry : pending) {
            if (entry.from != name && concernsService(view(), entry.record, m_attachedServices[name])) {
                message.records.push_back(entry.record);
            }
        }
        if (!message.records.empty() || !message.losses.empty()) {
            pushTo({endpoint, endpoint}, message);
        }
    }
}

// Tries the peers in turn until one has taken the message; its answer holds what it has later versions of.
void Records::pushTo(std::vector<Endpoint> peers, const Exchange &message)
{
    if (peers.empty()) {
        return;
    }
    const auto peer = peers.front();
    peers.erase(peers.begin());
    m_streams->call(peer, detail::recordsPath, encodeExchange(message), m_options.callTimeout,
                    [this, alive = m_alive, peers = std::move(peers), message](Result<std::string> result) {
                        if (!*alive) {
                            return;
                        }
                        handleError(
                            [&]() -> Result<void> {
                                BOOST_LEAF_AUTO(text, std::move(result));
                                BOOST_LEAF_AUTO(answer, decodeExchange(text));
                                applyAll(answer.records, {.origin = Origin::Repair, .from = answer.from});
                                return {};
                            },
                            [&](const Error &) { pushTo(peers, message); });
                    });
}

} // namespace oriolelever
