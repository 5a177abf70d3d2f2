#include "oriolelever/records.h"

#include <algorithm>

#include <asio/post.hpp>

#include "oriolelever/log.h"
#include "oriolelever/records-status.h"
#include "oriolelever/watch.h"

namespace oriolelever {

namespace {

constexpr int maxMessagesPerExchange = 64;
constexpr std::size_t smallFleet = 32; ///< Members up to which exchanges run at the full rate.
constexpr int largeFleetFactor = 2;
constexpr int agentFactor = 5; ///< Agents of a large fleet compare this many times less often.
constexpr unsigned anyPeerShare = 8; ///< One exchange in this many goes to a member that is no neighbour.
constexpr unsigned downPeerShare = 8; ///< One exchange in this many goes to a node that is down.
constexpr std::chrono::milliseconds lastPushTime{200}; ///< For the last announcement to leave.
constexpr std::chrono::seconds unreachableTime{10}; ///< Before an agent tries such a balancer again.
constexpr std::chrono::seconds attachmentLimit{60}; ///< An agent not heard for this long is detached.

const Log &recordsLog()
{
    static const Log instance("records");
    return instance;
}

} // namespace

RecordsOptions recordsOptions(const Settings &settings)
{
    const bool agent = settings.text("process", "role") == "agent";
    RecordsOptions options;
    options.name = settings.text("process", "name");
    options.role = agent ? NodeRole::Agent : NodeRole::Balancer;
    options.zone = settings.text("process", "zone");
    options.service = agent ? settings.text("server", "service") : std::string();
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
        offerRecordsStatus(*admin, *this);
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
    streams.handle(detail::forcePath,
                   [this](const std::string &body, const Streams::Reply &reply) { serveForce(body, reply); });
    startWatch();
    for (const auto &seed : m_options.seeds) {
        meet(seed);
    }
    scheduleExchange();
}

void Records::meet(const Endpoint &peer)
{
    exchangeWith(peer, openScoped(), maxMessagesPerExchange);
}

void Records::drain(std::function<void()> done)
{
    push();
    m_exchangeTimer->expires_after(lastPushTime);
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
    const bool wanted = m_platform != nullptr
        && isPlatformWatcher(m_members, m_options.zone, m_options.name, m_options.watchersPerZone);
    if (wanted == (m_watch != nullptr)) {
        return;
    }
    if (!wanted) {
        m_watch->stop();
        m_watch.reset();
        return;
    }
    auto sink = [this, alive = m_alive](const std::vector<Record> &records) {
        if (*alive) {
            applyAll(records, {.origin = Origin::Platform});
        }
    };
    m_watch = std::make_shared<PlatformWatch>(*m_context, *m_platform, m_options.watchWait, std::move(sink),
                                              [this]() -> const ClusterView & { return view(); });
    m_watch->start();
}

void Records::subscribe(Subscriber subscriber)
{
    m_subscribers.push_back(std::move(subscriber));
}

void Records::announce(Announcement announcement)
{
    if (m_replaced) {
        return;
    }
    const RecordKey key{RecordKind::Node, announcement.name};
    const auto seen = m_table.version(key).value_or(RecordVersion{});
    if (m_own) {
        announcement.incarnation = std::max(announcement.incarnation, m_own->incarnation);
    }
    // After a clock that jumped back, the others remember a later start than this one.
    if (announcement.incarnation < seen.epoch) {
        announcement.incarnation = seen.epoch + 1;
    }
    const auto version = nextOwnVersion(seen, announcement.incarnation);
    m_own = announcement;
    apply({.key = key, .version = version, .value = encodeAnnouncement(announcement)}, {});
    push();
}

void Records::publish(const Record &record)
{
    const bool own = record.key.kind == RecordKind::Node && record.key.name == m_options.name;
    if (!own) {
        apply(record, {});
        return;
    }
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(announcement, decodeAnnouncement(record.value));
            announce(std::move(announcement));
            return {};
        },
        [](const Error &error) { recordsLog().error("announcement not published: {}", error.text); });
}

void Records::publishLoss(const ZoneLoss &loss)
{
    applyLosses({loss}, {.origin = Origin::Own});
}

void Records::applyAll(const std::vector<Record> &records, const Source &source)
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
                          recordsLog().warn("record {} refused: {}", record.key.name, error.text);
                          return false;
                      });
    // What came by comparison still has to be passed on when a push asks for it.
    if (applied || (source.origin == Origin::Push && m_table.version(record.key) == record.version)) {
        spread(record, source);
    }
    if (!applied) {
        return false;
    }
    m_changed.push_back(record);
    if (!m_attachedAgents.empty()) {
        m_agentPending.push_back({record, source.from});
    }
    if (record.key.kind == RecordKind::Node) {
        const auto role = view().nodes.at(record.key.name).announcement.role;
        if (role == NodeRole::Balancer) {
            m_changedMembers.push_back(record.key.name);
        }
        noteOwn(record);
    }
    schedulePush();
    if (!std::exchange(m_notifyScheduled, true)) {
        asio::post(*m_context, [this, alive = m_alive] {
            if (*alive) {
                notify();
            }
        });
    }
    return true;
}

// Another node said something of this process: an accusation is refuted, a later start elsewhere is obeyed.
void Records::noteOwn(const Record &record)
{
    if (!m_own || record.key.name != m_options.name || m_replaced) {
        return;
    }
    const auto &entry = view().nodes.at(m_options.name);
    if (entry.announcement == *m_own) {
        return;
    }
    const bool elsewhere = entry.announcement.control != m_own->control;
    if (elsewhere && entry.announcement.incarnation > m_own->incarnation) {
        m_replaced = true;
        recordsLog().error("{} was started again at {}; this process no longer announces", m_options.name,
                           toString(entry.announcement.control));
        return;
    }
    recordsLog().warn("{} was declared {}; refuting", m_options.name,
                      entry.announcement.state == NodeState::Down ? "down" : "otherwise");
    asio::post(*m_context, [this, alive = m_alive] {
        if (*alive && m_own) {
            announce(*m_own);
        }
    });
}

void Records::notify()
{
    m_notifyScheduled = false;
    refreshMembers();
    const auto changed = std::move(m_changed);
    m_changed.clear();
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
    const bool large = std::max(m_members.size(), m_fleetSize) > smallFleet;
    const auto factor = m_options.role == NodeRole::Agent ? agentFactor : largeFleetFactor;
    const auto interval = m_options.exchangeInterval * (large ? factor : 1);
    const double spread = std::uniform_real_distribution<double>(0.75, 1.25)(m_random);
    m_exchangeTimer->expires_after(std::chrono::duration_cast<Duration>(interval * spread));
    m_exchangeTimer->async_wait([this, alive = m_alive](const asio::error_code &error) {
        if (!error && *alive) {
            exchange();
            scheduleExchange();
        }
    });
}

Exchange Records::openScoped()
{
    auto message = openExchange(m_table);
    message.from = m_options.name;
    if (m_options.role == NodeRole::Agent) {
        const auto records = recordsForService(m_table, m_options.service);
        message.root = digestOf(records);
        message.service = m_options.service;
        message.assigned = m_assigned;
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
    if (m_random() % downPeerShare == 0) {
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
    // Mostly neighbours, whose connections are open already; sometimes anyone.
    if (candidates.size() > fullMeshLimit && m_random() % anyPeerShare != 0) {
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
        attach();
        if (!m_attachments.empty()) {
            // One at a time: the first rounds reach all, later ones are repairs.
            const auto &member = m_attachments[m_turn++ % m_attachments.size()];
            exchangeWith(member.control, openScoped(), maxMessagesPerExchange);
        }
        if (m_attachments.empty() && !m_options.seeds.empty()) {
            exchangeWith(m_options.seeds[m_random() % m_options.seeds.size()], openScoped(),
                         maxMessagesPerExchange);
        }
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_attachedHeard, [&](const auto &entry) {
        const bool silent = now - entry.second > attachmentLimit;
        if (silent) {
            m_attachedAgents.erase(entry.first);
            m_attachedServices.erase(entry.first);
        }
        return silent;
    });
    if (const auto peer = choosePeer()) {
        exchangeWith(*peer, openScoped(), maxMessagesPerExchange);
    }
}

// Keeps attachments that are alive and fills the rest by the agent's own spread over the balancers it knows.
void Records::attach()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_unreachable, [&](const auto &entry) { return now - entry.second > unreachableTime; });
    std::vector<Member> kept;
    for (const auto &attachment : m_attachments) {
        const auto found = std::find_if(m_members.begin(), m_members.end(),
                                        [&](const Member &member) { return member.name == attachment.name; });
        if (found != m_members.end() && !m_unreachable.contains(found->control)) {
            kept.push_back(*found);
        }
    }
    for (const auto index : assignedMembers(m_members.size(), m_options.name, m_members.size())) {
        if (kept.size() >= m_options.attachments) {
            break;
        }
        const auto &member = m_members[index];
        const bool known = std::any_of(kept.begin(), kept.end(),
                                       [&](const Member &other) { return other.name == member.name; });
        if (!known && !m_unreachable.contains(member.control)) {
            meet(member.control);
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
                                takeAnswer(peer, answer, messages);
                                return {};
                            },
                            [&](const Error &error) {
                                m_unreachable[peer] = std::chrono::steady_clock::now();
                                recordsLog().debug("exchange with {} failed: {}", toString(peer), error.text);
                            });
                    });
}

void Records::takeAnswer(const Endpoint &peer, const Exchange &answer, int messages)
{
    const auto before = m_table.root();
    applyAll(answer.records, {.origin = Origin::Repair, .from = answer.from});
    if (m_options.role == NodeRole::Agent) {
        m_fleetSize = answer.members;
        m_assigned = answer.assigned;
        answerWithOwn(peer, answer);
        return;
    }
    auto next = continueExchange(m_table, answer);
    const bool again = !next && answer.stage == ExchangeStage::Records && m_table.root() != before;
    if (again) {
        next = openExchange(m_table);
    }
    if (next && messages > 0) {
        exchangeWith(peer, std::move(*next), messages - 1);
    }
}

// A member that differs has sent all that concerns this agent: it lacks what is not among that.
void Records::answerWithOwn(const Endpoint &peer, const Exchange &answer)
{
    const auto own = m_table.find(RecordKey{RecordKind::Node, m_options.name});
    if (!own || answer.root == digestOf(recordsForService(m_table, m_options.service))) {
        return;
    }
    const bool known = std::any_of(answer.records.begin(), answer.records.end(), [&](const Record &record) {
        return record.key == own->key && record.version >= own->version;
    });
    if (known) {
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
            reply(encodeExchange(answer(request)));
            return {};
        },
        [&](const Error &error) { reply(error); });
}

Exchange Records::answer(const Exchange &request)
{
    const auto origin = request.stage == ExchangeStage::Push ? Origin::Push : Origin::Repair;
    const Source source{.origin = origin, .from = request.from, .depth = request.depth};
    applyAll(request.records, source);
    applyLosses(request.losses, source);
    if (!request.service.empty() && m_options.role == NodeRole::Balancer) {
        return answerAgent(request);
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

// An agent's table is small: when it differs, the answer holds all that concerns it.
Exchange Records::answerAgent(const Exchange &request)
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
        m_attachedHeard[request.from] = std::chrono::steady_clock::now();
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
