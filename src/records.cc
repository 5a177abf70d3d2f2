#include "oriolelever/records.h"

#include <algorithm>

#include <asio/post.hpp>

#include "oriolelever/log.h"
#include "oriolelever/records-status.h"
#include "oriolelever/watch.h"

namespace oriolelever {

namespace {

constexpr int maxMessagesPerExchange = 64; ///< Bounds an exchange with a peer whose records keep changing.
constexpr std::size_t maxSmallMemberCount = 32; ///< Up to here, `exchangeInterval` applies unchanged.
constexpr int largeMemberCountFactor = 2; ///< Exchange intervals of a balancer, with more members.
constexpr int agentIntervalFactor = 5; ///< Exchange intervals of an agent, with more members.
constexpr unsigned exchangesPerRandomPeer = 8; ///< One exchange in this many is with a random member.
constexpr unsigned exchangesPerDownPeer = 8; ///< One in this many is with a balancer that is down.
constexpr std::chrono::milliseconds finalPushDelay{200}; ///< Time for the last announcement to be sent.
/// Before an agent retries an unreachable balancer.
constexpr std::chrono::seconds unreachableRetryDelay{10};
/// An agent without an exchange for this long is detached.
constexpr std::chrono::seconds attachmentTimeout{60};

const Log &recordsLog()
{
    static const Log instance("records");
    return instance;
}

} // namespace

RecordsOptions recordsOptions(const Settings &settings)
{
    const bool isAgent = settings.text("process", "role") == "agent";
    RecordsOptions options;
    options.name = settings.text("process", "name");
    options.role = isAgent ? NodeRole::Agent : NodeRole::Balancer;
    options.zone = settings.text("process", "zone");
    options.service = isAgent ? settings.text("server", "service") : std::string();
    options.seeds = settings.addresses("control", "seeds");
    return options;
}

Records::Records(RecordsOptions options)
    : m_options(std::move(options))
    , m_alive(std::make_shared<bool>(true))
    , m_random(std::random_device{}())
{
}

Records::~Records()
{
    stop();
}

Result<void> Records::start(Kernel &kernel)
{
    startOn(kernel.control(), kernel.find<Streams>("streams"), kernel.tryFind<ObjectApi>("platform"));
    if (auto *const admin = kernel.tryFind<Admin>("admin")) {
        addRecordsStatus(*admin, *this);
    }
    return {};
}

void Records::startOn(asio::io_context &context, Streams &streams, ObjectApi *platform)
{
    m_context = &context;
    m_streams = &streams;
    m_platform = m_options.role == NodeRole::Balancer ? platform : nullptr;
    m_pushTimer = std::make_unique<asio::steady_timer>(context);
    m_exchangeTimer = std::make_unique<asio::steady_timer>(context);
    streams.handle(detail::recordsPath, [this](const std::string &body, const Streams::Reply &reply) {
        handleExchange(body, reply);
    });
    streams.handle(detail::inForcePath, [this](const std::string &body, const Streams::Reply &reply) {
        handleInForceQuery(body, reply);
    });
    startWatch();
    for (const auto &seed : m_options.seeds) {
        startExchange(seed);
    }
    scheduleExchange();
}

void Records::startExchange(const Endpoint &peer)
{
    exchangeWith(peer, makeRootRequest(), maxMessagesPerExchange);
}

void Records::drain(std::function<void()> done)
{
    push();
    m_exchangeTimer->expires_after(finalPushDelay);
    m_exchangeTimer->async_wait([done = std::move(done)](const asio::error_code &) { done(); });
}

void Records::stop()
{
    *m_alive = false;
    if (m_watch != nullptr) {
        m_watch->stop();
    }
    m_pushTimer.reset();
    m_exchangeTimer.reset();
}

void Records::startWatch()
{
    const bool isWatcher = m_platform != nullptr
        && isPlatformWatcher(m_members, m_options.zone, m_options.name, m_options.watchersPerZone);
    if (isWatcher == (m_watch != nullptr)) {
        return;
    }
    if (!isWatcher) {
        m_watch->stop();
        m_watch.reset();
        return;
    }
    auto sink = [this, alive = m_alive](const std::vector<Record> &records) {
        if (*alive) {
            applyRecords(records, {.origin = Origin::Platform});
        }
    };
    m_watch
        = std::make_shared<PlatformWatch>(*m_context, *m_platform, m_options.watchTimeout, std::move(sink),
                                          [this]() -> const ClusterView & { return view(); });
    m_watch->start();
}

void Records::subscribe(Subscriber subscriber)
{
    m_subscribers.push_back(std::move(subscriber));
}

void Records::announce(Announcement announcement)
{
    if (m_isReplaced) {
        return;
    }
    const RecordKey key{RecordKind::Node, announcement.name};
    const auto seen = m_table.version(key).value_or(RecordVersion{});
    if (m_ownAnnouncement) {
        announcement.incarnation = std::max(announcement.incarnation, m_ownAnnouncement->incarnation);
    }
    // If the clock was set back between two starts, other nodes have a later incarnation than this one.
    if (announcement.incarnation < seen.epoch) {
        announcement.incarnation = seen.epoch + 1;
    }
    const auto version = nextAnnouncementVersion(seen, announcement.incarnation);
    m_ownAnnouncement = announcement;
    apply({.key = key, .version = version, .value = encodeAnnouncement(announcement)}, {});
    push();
}

void Records::publish(const Record &record)
{
    const bool isOwn = record.key.kind == RecordKind::Node && record.key.name == m_options.name;
    if (!isOwn) {
        apply(record, {});
        return;
    }
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(announcement, decodeAnnouncement(record.value));
            announce(std::move(announcement));
            return {};
        },
        [](const Error &error) {
            recordsLog().error("announcement of this process not published: {}", error.text);
        });
}

void Records::publishZoneLoss(const ZoneLoss &loss)
{
    applyLosses({loss}, {.origin = Origin::Own});
}

void Records::applyRecords(const std::vector<Record> &records, const Source &source)
{
    for (const auto &record : records) {
        apply(record, source);
    }
}

bool Records::apply(const Record &record, const Source &source)
{
    const bool applied
        = handleError([&] { return m_table.apply(record); },
                      [&](const Error &error) {
                          recordsLog().warn("record \"{}\" rejected: {}", record.key.name, error.text);
                          return false;
                      });
    // A record that is in force by an exchange already still has to be forwarded when a push of it arrives.
    if (applied || (source.origin == Origin::Push && m_table.version(record.key) == record.version)) {
        scheduleForwarding(record, source);
    }
    if (!applied) {
        return false;
    }
    m_changedRecords.push_back(record);
    if (!m_attachedAgents.empty()) {
        m_pendingAgentChanges.push_back({record, source.from});
    }
    if (record.key.kind == RecordKind::Node) {
        const auto role = view().nodes.at(record.key.name).announcement.role;
        if (role == NodeRole::Balancer) {
            m_changedMembers.push_back(record.key.name);
        }
        checkOwnRecord(record);
    }
    schedulePush();
    if (!std::exchange(m_notifyScheduled, true)) {
        asio::post(*m_context, [this, alive = m_alive] {
            if (*alive) {
                notifySubscribers();
            }
        });
    }
    return true;
}

// Handles an announcement of this process by another node. An accusation is refuted; a later start at another
// address replaces this process.
void Records::checkOwnRecord(const Record &record)
{
    if (!m_ownAnnouncement || record.key.name != m_options.name || m_isReplaced) {
        return;
    }
    const auto &entry = view().nodes.at(m_options.name);
    if (entry.announcement == *m_ownAnnouncement) {
        return;
    }
    const bool isElsewhere = entry.announcement.control != m_ownAnnouncement->control;
    if (isElsewhere && entry.announcement.incarnation > m_ownAnnouncement->incarnation) {
        m_isReplaced = true;
        recordsLog().error("node {} was started again at {}; this process stops announcing", m_options.name,
                           toString(entry.announcement.control));
        return;
    }
    recordsLog().warn("node {} was announced {} by another node; announcing its own state again",
                      m_options.name, entry.announcement.state == NodeState::Down ? "down" : "otherwise");
    asio::post(*m_context, [this, alive = m_alive] {
        if (*alive && m_ownAnnouncement) {
            announce(*m_ownAnnouncement);
        }
    });
}

void Records::notifySubscribers()
{
    m_notifyScheduled = false;
    refreshMembers();
    const auto changed = std::move(m_changedRecords);
    m_changedRecords.clear();
    for (const auto &subscriber : m_subscribers) {
        subscriber(changed);
    }
}

void Records::refreshMembers()
{
    if (m_changedMembers.empty()) {
        return;
    }
    for (const auto &name : std::exchange(m_changedMembers, {})) {
        updateMember(m_members, view(), name);
    }
    startWatch();
}

void Records::scheduleExchange()
{
    const bool isLarge = std::max(m_members.size(), m_memberCount) > maxSmallMemberCount;
    const auto factor = m_options.role == NodeRole::Agent ? agentIntervalFactor : largeMemberCountFactor;
    const auto interval = m_options.exchangeInterval * (isLarge ? factor : 1);
    const double jitter = std::uniform_real_distribution<double>(0.75, 1.25)(m_random);
    m_exchangeTimer->expires_after(std::chrono::duration_cast<Duration>(interval * jitter));
    m_exchangeTimer->async_wait([this, alive = m_alive](const asio::error_code &error) {
        if (!error && *alive) {
            exchange();
            scheduleExchange();
        }
    });
}

Exchange Records::makeRootRequest()
{
    auto message = openExchange(m_table);
    message.from = m_options.name;
    if (m_options.role == NodeRole::Agent) {
        const auto records = recordsForService(m_table, m_options.service);
        message.root = digestOf(records);
        message.service = m_options.service;
        message.assigned = m_assignedDigest;
    }
    return message;
}

std::optional<Endpoint> Records::choosePeer()
{
    std::vector<Endpoint> candidates;
    for (const auto &member : m_members) {
        if (member.name != m_options.name) {
            candidates.push_back(member.control);
        }
    }
    if (m_random() % exchangesPerDownPeer == 0) {
        std::vector<Endpoint> down;
        for (const auto &[name, entry] : view().nodes) {
            const auto &announcement = entry.announcement;
            if (announcement.state == NodeState::Down && announcement.role == NodeRole::Balancer
                && name != m_options.name) {
                down.push_back(announcement.control);
            }
        }
        if (!down.empty()) {
            return down[m_random() % down.size()];
        }
    }
    // Mostly neighbours, whose connections are open already; sometimes any member.
    if (candidates.size() > fullMeshLimit && m_random() % exchangesPerRandomPeer != 0) {
        std::vector<std::uint64_t> labels;
        for (const auto &member : m_members) {
            labels.push_back(member.label);
        }
        const auto edges = hypercubeEdges(labels, labelOf(m_options.zone, m_options.name));
        return m_members[edges[m_random() % edges.size()].nearest].control;
    }
    if (candidates.empty()) {
        candidates = m_options.seeds;
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[m_random() % candidates.size()];
}

void Records::exchange()
{
    if (m_options.role == NodeRole::Agent) {
        updateAttachments();
        if (!m_attachments.empty()) {
            // One attachment per interval: the first rounds reach all of them, later ones are repairs.
            const auto &member = m_attachments[m_nextAttachment++ % m_attachments.size()];
            exchangeWith(member.control, makeRootRequest(), maxMessagesPerExchange);
        }
        if (m_attachments.empty() && !m_options.seeds.empty()) {
            exchangeWith(m_options.seeds[m_random() % m_options.seeds.size()], makeRootRequest(),
                         maxMessagesPerExchange);
        }
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_attachedExchangeAt, [&](const auto &entry) {
        const bool isExpired = now - entry.second > attachmentTimeout;
        if (isExpired) {
            m_attachedAgents.erase(entry.first);
            m_attachedServices.erase(entry.first);
        }
        return isExpired;
    });
    if (const auto peer = choosePeer()) {
        exchangeWith(*peer, makeRootRequest(), maxMessagesPerExchange);
    }
}

// Keeps attachments to live and reachable balancers, and adds others in an order that is a hash of the
// agent's name, so that agents are distributed evenly.
void Records::updateAttachments()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_unreachableSince,
                  [&](const auto &entry) { return now - entry.second > unreachableRetryDelay; });
    std::vector<Member> kept;
    for (const auto &attachment : m_attachments) {
        const auto found = std::find_if(m_members.begin(), m_members.end(),
                                        [&](const Member &member) { return member.name == attachment.name; });
        if (found != m_members.end() && !m_unreachableSince.contains(found->control)) {
            kept.push_back(*found);
        }
    }
    for (const auto index : assignedMembers(m_members.size(), m_options.name, m_members.size())) {
        if (kept.size() >= m_options.attachments) {
            break;
        }
        const auto &member = m_members[index];
        const bool isKnown = std::any_of(kept.begin(), kept.end(),
                                         [&](const Member &other) { return other.name == member.name; });
        if (!isKnown && !m_unreachableSince.contains(member.control)) {
            startExchange(member.control);
            kept.push_back(member);
        }
    }
    m_attachments = std::move(kept);
}

void Records::exchangeWith(const Endpoint &peer, Exchange request, int messages)
{
    request.from = m_options.name;
    m_streams->call(peer, detail::recordsPath, encodeExchange(request), m_options.callTimeout,
                    [this, alive = m_alive, peer, messages](Result<std::string> result) {
                        if (!*alive) {
                            return;
                        }
                        handleError(
                            [&]() -> Result<void> {
                                BOOST_LEAF_AUTO(text, std::move(result));
                                BOOST_LEAF_AUTO(answer, decodeExchange(text));
                                handleAnswer(peer, answer, messages);
                                return {};
                            },
                            [&](const Error &error) {
                                m_unreachableSince[peer] = std::chrono::steady_clock::now();
                                recordsLog().debug("records exchange with {} failed: {}", toString(peer),
                                                   error.text);
                            });
                    });
}

void Records::handleAnswer(const Endpoint &peer, const Exchange &answer, int messages)
{
    const auto before = m_table.root();
    applyRecords(answer.records, {.origin = Origin::Repair, .from = answer.from});
    if (m_options.role == NodeRole::Agent) {
        m_memberCount = answer.members;
        m_assignedDigest = answer.assigned;
        pushOwnRecord(peer, answer);
        return;
    }
    auto next = continueExchange(m_table, answer);
    const bool mustRestart = !next && answer.stage == ExchangeStage::Records && m_table.root() != before;
    if (mustRestart) {
        next = openExchange(m_table);
    }
    if (next && messages > 0) {
        exchangeWith(peer, std::move(*next), messages - 1);
    }
}

// Sends this agent's record if the member lacks it. A member whose digest differs has sent all records of the
// service, so it lacks those that are not in its answer.
void Records::pushOwnRecord(const Endpoint &peer, const Exchange &answer)
{
    const auto own = m_table.find(RecordKey{RecordKind::Node, m_options.name});
    if (!own || answer.root == digestOf(recordsForService(m_table, m_options.service))) {
        return;
    }
    const bool isKnown = std::any_of(answer.records.begin(), answer.records.end(), [&](const Record &record) {
        return record.key == own->key && record.version >= own->version;
    });
    if (isKnown) {
        return;
    }
    Exchange message;
    message.from = m_options.name;
    message.service = m_options.service;
    message.records.push_back(*own);
    pushTo({peer}, message);
}

void Records::handleExchange(const std::string &body, const Streams::Reply &reply)
{
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(request, decodeExchange(body));
            reply(encodeExchange(answerRequest(request)));
            return {};
        },
        [&](const Error &error) { reply(error); });
}

Exchange Records::answerRequest(const Exchange &request)
{
    const auto origin = request.stage == ExchangeStage::Push ? Origin::Push : Origin::Repair;
    const Source source{.origin = origin, .from = request.from, .depth = request.depth};
    applyRecords(request.records, source);
    applyLosses(request.losses, source);
    if (!request.service.empty() && m_options.role == NodeRole::Balancer) {
        return answerAgentExchange(request);
    }
    auto answer = answerExchange(m_table, request);
    answer.from = m_options.name;
    for (const auto &record : request.records) {
        const auto version = m_table.version(record.key);
        if (version && *version > record.version) {
            answer.records.push_back(*m_table.find(record.key));
        }
    }
    return answer;
}

// An agent's table is small, so if its digest differs, the answer has all records of its service. Also
// records the agent as attached and sends the balancers that are assigned to it.
Exchange Records::answerAgentExchange(const Exchange &request)
{
    refreshMembers();
    Exchange answer;
    answer.stage = request.stage;
    answer.from = m_options.name;
    answer.members = m_members.size();
    const auto node = view().nodes.find(request.from);
    if (node != view().nodes.end()) {
        m_attachedAgents[request.from] = node->second.announcement.control;
        m_attachedServices[request.from] = request.service;
        m_attachedExchangeAt[request.from] = std::chrono::steady_clock::now();
    }
    if (request.stage != ExchangeStage::Root) {
        return answer;
    }
    const auto records = recordsForService(m_table, request.service);
    answer.root = digestOf(records);
    if (request.root != answer.root) {
        answer.records = records;
    }
    std::vector<Record> assigned;
    for (const auto index : assignedMembers(m_members.size(), request.from, m_options.attachments)) {
        assigned.push_back(*m_table.find(RecordKey{RecordKind::Node, m_members[index].name}));
    }
    answer.assigned = digestOf(assigned);
    if (request.assigned != answer.assigned) {
        answer.records.insert(answer.records.end(), assigned.begin(), assigned.end());
    }
    return answer;
}

} // namespace oriolelever
