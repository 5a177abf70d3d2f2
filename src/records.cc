#include "oriolelever/records.h"

#include <algorithm>

#include <asio/post.hpp>

#include "oriolelever/log.h"
#include "oriolelever/records-status.h"
#include "oriolelever/watch.h"

namespace oriolelever {

namespace {

constexpr auto exchangePath = "/records";
constexpr std::size_t maxSeenLosses = 256;
constexpr int maxMessagesPerExchange = 64;
constexpr std::size_t smallFleet = 32; ///< Members up to which exchanges run at the full rate.
constexpr int largeFleetFactor = 5;
constexpr unsigned downPeerShare = 8; ///< One exchange in this many goes to a node that is down.
constexpr std::chrono::milliseconds lastPushTime{200}; ///< For the last announcement to leave.
constexpr std::chrono::seconds attachmentLimit{30}; ///< An agent not heard for this long is detached.

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
    streams.handle(exchangePath, [this](const std::string &body, const Streams::Reply &reply) {
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
            applyAll(records, {});
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
    applyLosses({loss}, {});
}

void Records::applyAll(const std::vector<Record> &records, const std::string &from)
{
    for (const auto &record : records) {
        apply(record, from);
    }
}

bool Records::apply(const Record &record, const std::string &from)
{
    const bool applied
        = handleError([&] { return m_table.apply(record); },
                      [&](const Error &error) {
                          recordsLog().warn("record {} refused: {}", record.key.name, error.text);
                          return false;
                      });
    if (!applied) {
        return false;
    }
    m_changed.push_back(record);
    m_pending.push_back({record, from});
    if (record.key.kind == RecordKind::Node) {
        refreshMembers();
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

void Records::applyLosses(const std::vector<ZoneLoss> &losses, const std::string &from)
{
    for (const auto &loss : losses) {
        if (std::find(m_seenLosses.begin(), m_seenLosses.end(), loss.id) != m_seenLosses.end()) {
            continue;
        }
        m_seenLosses.push_back(loss.id);
        if (m_seenLosses.size() > maxSeenLosses) {
            m_seenLosses.pop_front();
        }
        recordsLog().warn("zone {} declared lost", loss.zone);
        m_pendingLosses.emplace_back(loss, from);
        const auto before = m_pending.size();
        applyAll(expandLoss(view(), loss), from);
        // Each neighbour makes these out of the loss itself.
        m_pending.resize(std::min(before, m_pending.size()));
        schedulePush();
    }
}

void Records::notify()
{
    m_notifyScheduled = false;
    const auto changed = std::move(m_changed);
    m_changed.clear();
    for (const auto &subscriber : m_subscribers) {
        subscriber(changed);
    }
}

void Records::refreshMembers()
{
    m_members = liveMembers(view());
    startWatch();
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

void Records::push()
{
    m_pushScheduled = false;
    const auto pending = std::move(m_pending);
    m_pending.clear();
    const auto losses = std::move(m_pendingLosses);
    m_pendingLosses.clear();
    if (m_streams == nullptr || (pending.empty() && losses.empty())) {
        return;
    }
    if (m_options.role == NodeRole::Agent) {
        pushAsAgent(pending);
        return;
    }
    for (const auto &neighbour : neighbours()) {
        pushChanges(neighbour.name, neighbour.control, pending, losses, {});
    }
    for (const auto &[name, endpoint] : m_attachedAgents) {
        pushChanges(name, endpoint, pending, losses, m_attachedServices[name]);
    }
}

void Records::pushAsAgent(const std::vector<Pending> &pending)
{
    Exchange message;
    message.from = m_options.name;
    message.service = m_options.service;
    for (const auto &entry : pending) {
        if (entry.from.empty()) {
            message.records.push_back(entry.record);
        }
    }
    if (message.records.empty()) {
        return;
    }
    for (const auto &member : m_attachments) {
        pushTo(member.control, message, 1);
    }
    if (m_attachments.empty()) {
        for (const auto &seed : m_options.seeds) {
            pushTo(seed, message, 1);
        }
    }
}

// Nothing goes back to where it came from; an agent gets what concerns its service.
void Records::pushChanges(const std::string &name, const Endpoint &peer, const std::vector<Pending> &pending,
                          const PendingLosses &losses, const std::string &service)
{
    Exchange message;
    message.from = m_options.name;
    for (const auto &entry : pending) {
        const bool concerned = service.empty() || concernsService(view(), entry.record, service);
        if (concerned && entry.from != name) {
            message.records.push_back(entry.record);
        }
    }
    for (const auto &[loss, from] : losses) {
        if (from != name) {
            message.losses.push_back(loss);
        }
    }
    if (!message.records.empty() || !message.losses.empty()) {
        pushTo(peer, std::move(message), 1);
    }
}

std::vector<Member> Records::neighbours() const
{
    std::vector<std::uint64_t> labels;
    for (const auto &member : m_members) {
        labels.push_back(member.label);
    }
    const auto label = labelOf(m_options.zone, m_options.name);
    const auto self = std::lower_bound(labels.begin(), labels.end(), label);
    if (self == labels.end() || *self != label) {
        // Not yet announced: a few members spread what this process has.
        const auto count = std::min(m_members.size(), fullMeshLimit);
        return {m_members.begin(), m_members.begin() + static_cast<std::ptrdiff_t>(count)};
    }
    std::vector<Member> result;
    for (const auto index : hypercubeNeighbours(labels, static_cast<std::size_t>(self - labels.begin()))) {
        result.push_back(m_members[index]);
    }
    return result;
}

// The answer holds records of which the peer has later versions.
void Records::pushTo(const Endpoint &peer, Exchange message, std::size_t attempts)
{
    auto body = encodeExchange(message);
    m_streams->call(peer, exchangePath, std::move(body), m_options.callTimeout,
                    [this, alive = m_alive, peer, message, attempts](Result<std::string> result) {
                        if (!*alive) {
                            return;
                        }
                        handleError(
                            [&]() -> Result<void> {
                                BOOST_LEAF_AUTO(text, std::move(result));
                                BOOST_LEAF_AUTO(answer, decodeExchange(text));
                                applyAll(answer.records, answer.from);
                                return {};
                            },
                            [&](const Error &) {
                                if (attempts > 0) {
                                    pushTo(peer, message, attempts - 1);
                                }
                            });
                    });
}

void Records::scheduleExchange()
{
    const bool large = m_members.size() > smallFleet;
    const auto interval = m_options.exchangeInterval * (large ? largeFleetFactor : 1);
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
        if (auto own = m_table.find(RecordKey{RecordKind::Node, m_options.name})) {
            message.records.push_back(std::move(*own));
        }
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
        for (const auto &member : m_attachments) {
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
    std::vector<Member> kept;
    for (const auto &attachment : m_attachments) {
        const auto found = std::find_if(m_members.begin(), m_members.end(),
                                        [&](const Member &member) { return member.name == attachment.name; });
        if (found != m_members.end()) {
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
        if (!known) {
            kept.push_back(member);
        }
    }
    m_attachments = std::move(kept);
}

void Records::exchangeWith(const Endpoint &peer, Exchange request, int messages)
{
    request.from = m_options.name;
    m_streams->call(peer, exchangePath, encodeExchange(request), m_options.callTimeout,
                    [this, alive = m_alive, peer, messages](Result<std::string> result) {
                        if (!*alive) {
                            return;
                        }
                        handleError(
                            [&]() -> Result<void> {
                                BOOST_LEAF_AUTO(text, std::move(result));
                                BOOST_LEAF_AUTO(answer, decodeExchange(text));
                                const auto before = m_table.root();
                                applyAll(answer.records, answer.from);
                                auto next = continueExchange(m_table, answer);
                                const bool again = !next && answer.stage == ExchangeStage::Records
                                    && m_table.root() != before;
                                if (again) {
                                    next = openExchange(m_table);
                                }
                                if (next && messages > 0) {
                                    exchangeWith(peer, std::move(*next), messages - 1);
                                }
                                return {};
                            },
                            [&](const Error &error) {
                                recordsLog().debug("exchange with {} failed: {}", toString(peer), error.text);
                            });
                    });
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
    applyAll(request.records, request.from);
    applyLosses(request.losses, request.from);
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
    Exchange answer{.stage = request.stage, .from = m_options.name};
    const auto node = view().nodes.find(request.from);
    if (node != view().nodes.end()) {
        m_attachedAgents[request.from] = node->second.announcement.control;
        m_attachedServices[request.from] = request.service;
        m_attachedHeard[request.from] = std::chrono::steady_clock::now();
    }
    const auto records = recordsForService(m_table, request.service);
    if (request.stage == ExchangeStage::Root && request.root != digestOf(records)) {
        answer.records = records;
    }
    if (request.stage == ExchangeStage::Root) {
        for (const auto index : assignedMembers(m_members.size(), request.from, m_options.attachments)) {
            if (auto record = m_table.find(RecordKey{RecordKind::Node, m_members[index].name})) {
                answer.records.push_back(std::move(*record));
            }
        }
    }
    return answer;
}

} // namespace oriolelever
