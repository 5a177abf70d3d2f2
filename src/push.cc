#include "oriolelever/records.h"

#include <algorithm>

#include "oriolelever/log.h"

namespace oriolelever {

namespace {

constexpr std::size_t maxAppliedLosses = 256; ///< Identifiers kept to recognise duplicates.
constexpr std::size_t maxFallbackPeers
    = 3; ///< Random members of an edge, tried if its nearest member does not answer.

const Log &recordsLog()
{
    static const Log instance("records");
    return instance;
}

} // namespace

void Records::scheduleForwarding(const Record &record, const Source &source)
{
    if (source.origin == Origin::Repair) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto change = hashVersion(hashKey(record.key), record.version);
    PendingChange pending;
    pending.record = record;
    pending.dueAt = now;
    if (source.origin == Origin::Platform) {
        pending.dueAt += watcherDelay(change);
        pending.isDelayed = true;
        pending.dimensions = {0, labelBits};
    } else {
        pending.dimensions = claimDimensions(m_forwardedChanges, change, source.depth, now);
    }
    if (!pending.dimensions.isEmpty()) {
        m_pendingChanges.push_back(std::move(pending));
        schedulePush();
    }
}

// All watchers of the platform receive a change at the same time. One of them, selected by the change,
// forwards it at once. The others follow one `watcherInterval` apart, unless the change has reached them from
// a peer.
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
    const auto position = (static_cast<std::size_t>(own - watchers.begin()) + change) % watchers.size();
    return m_options.watcherInterval * static_cast<int>(position);
}

void Records::applyLosses(const std::vector<ZoneLoss> &losses, const Source &source)
{
    for (const auto &loss : losses) {
        PendingChange pending;
        pending.loss = loss;
        pending.dueAt = std::chrono::steady_clock::now();
        pending.dimensions = claimDimensions(m_forwardedChanges, loss.id, source.depth, pending.dueAt);
        if (!pending.dimensions.isEmpty()) {
            m_pendingChanges.push_back(std::move(pending));
            schedulePush();
        }
        if (std::find(m_appliedLosses.begin(), m_appliedLosses.end(), loss.id) != m_appliedLosses.end()) {
            continue;
        }
        m_appliedLosses.push_back(loss.id);
        if (m_appliedLosses.size() > maxAppliedLosses) {
            m_appliedLosses.pop_front();
        }
        recordsLog().warn("zone {} declared lost; its nodes count as down", loss.zone);
        m_pendingAgentLosses.push_back(loss);
        // Not forwarded as accusations: each receiver of the loss derives them from its own view.
        applyRecords(expandLoss(view(), loss), {.origin = Origin::Repair, .from = source.from});
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

std::vector<Records::PendingChange> Records::extractDueChanges(TimePoint now)
{
    std::vector<PendingChange> due;
    std::vector<PendingChange> later;
    for (auto &pending : m_pendingChanges) {
        if (pending.dueAt > now) {
            later.push_back(std::move(pending));
            continue;
        }
        if (pending.isDelayed) {
            const auto change = hashVersion(hashKey(pending.record.key), pending.record.version);
            if (m_forwardedChanges.byChange.contains(change)) {
                continue;
            }
            pending.dimensions = claimDimensions(m_forwardedChanges, change, 0, now);
        }
        due.push_back(std::move(pending));
    }
    m_pendingChanges = std::move(later);
    return due;
}

void Records::push()
{
    m_pushScheduled = false;
    refreshMembers();
    if (m_streams == nullptr) {
        return;
    }
    const auto pending = extractDueChanges(std::chrono::steady_clock::now());
    if (m_options.role == NodeRole::Agent) {
        pushAsAgent(pending);
    } else {
        pushAlongEdges(pending);
        pushToAgents();
    }
    if (!m_pendingChanges.empty()) {
        schedulePush();
    }
}

// Sends only the agent's own record; the receiving balancer forwards it.
void Records::pushAsAgent(const std::vector<PendingChange> &pending)
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

void Records::pushAlongEdges(const std::vector<PendingChange> &pending)
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
            if (edge.dimension < entry.dimensions.from || edge.dimension >= entry.dimensions.to) {
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
        for (std::size_t i = 0; i < maxFallbackPeers && edge.last - edge.first > 1; ++i) {
            peers.push_back(m_members[edge.first + m_random() % (edge.last - edge.first)].control);
        }
        pushTo(std::move(peers), message);
    }
}

void Records::pushToAgents()
{
    const auto pending = std::exchange(m_pendingAgentChanges, {});
    const auto losses = std::exchange(m_pendingAgentLosses, {});
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
            // One retry.
            pushTo({endpoint, endpoint}, message);
        }
    }
}

// Tries the peers in turn until one accepts the message. The answer has the records of which the peer has
// later versions.
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
                                applyRecords(answer.records, {.origin = Origin::Repair, .from = answer.from});
                                return {};
                            },
                            [&](const Error &) { pushTo(peers, message); });
                    });
}

} // namespace oriolelever
