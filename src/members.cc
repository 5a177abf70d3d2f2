#include "oriolelever/members.h"

#include <algorithm>

#include <sodium.h>

#include "connection.h"
#include "oriolelever/log.h"

namespace oriolelever {

namespace {

using Udp = asio::ip::udp;

constexpr int ticksPerHeartbeat = 5;
constexpr std::chrono::seconds questionLimit{5};
constexpr std::chrono::seconds adoptInterval{20};
constexpr std::chrono::seconds joinDelay{3}; ///< Before a process without peers reads the groups.
constexpr std::size_t helperChoices = 16;
constexpr std::size_t fewMembers = 4; ///< Below this many, agents help too.
constexpr std::size_t maxJoinPeers = 3;
constexpr int writeAttempts = 3;

const Log &membersLog()
{
    static const Log instance("members");
    return instance;
}

std::uint64_t newNonce()
{
    return (std::uint64_t{randombytes_random()} << 32) | randombytes_random();
}

Udp::endpoint toUdp(const Endpoint &endpoint)
{
    const auto tcp = detail::toTcp(endpoint);
    return {tcp.address(), tcp.port()};
}

} // namespace

Result<MembersOptions> membersOptions(const Settings &settings)
{
    MembersOptions options;
    options.listen = settings.address("control", "listen");
    BOOST_LEAF_ASSIGN(
        options.keys,
        parseTagKeys(settings.text("control", "key"), settings.text("control", "previous_key")));
    options.monitor.heartbeat = settings.time("control", "heartbeat_ms");
    options.monitor.suspicion = settings.time("control", "suspicion_ms");
    return options;
}

Members::Members(const MembersOptions &options)
    : m_options(options)
    , m_alive(std::make_shared<bool>(true))
    , m_random(std::random_device{}())
{
    m_monitor.options = m_options.monitor;
}

Members::~Members()
{
    stop();
}

Result<void> Members::start(Kernel &kernel)
{
    return startOn(kernel.control(), kernel.find<Records>("records"), kernel.tryFind<ObjectApi>("platform"));
}

Result<void> Members::startOn(asio::io_context &context, Records &records, ObjectApi *platform)
{
    m_context = &context;
    m_records = &records;
    m_platform = records.options().role == NodeRole::Balancer ? platform : nullptr;
    m_socket = std::make_unique<Udp::socket>(context);
    const auto endpoint = toUdp(m_options.listen);
    asio::error_code error;
    m_socket->open(endpoint.protocol(), error);
    if (!error) {
        m_socket->bind(endpoint, error);
    }
    if (error) {
        const auto code = error == asio::error::address_in_use ? Code::AddressInUse : Code::SocketFailed;
        return fail(code, "address " + toString(m_options.listen) + ": " + error.message());
    }
    m_timer = std::make_unique<asio::steady_timer>(context);
    m_startedAt = std::chrono::steady_clock::now();
    records.subscribe([this, alive = m_alive](const std::vector<Record> &changed) {
        if (*alive) {
            noteChanges(changed);
        }
    });
    receive();
    scheduleTick();
    return {};
}

void Members::drain(std::function<void()> done)
{
    const auto &nodes = m_records->view().nodes;
    const auto own = nodes.find(m_records->options().name);
    if (own != nodes.end()) {
        auto announcement = own->second.announcement;
        announcement.state = NodeState::Down;
        m_records->announce(std::move(announcement));
    }
    done();
}

void Members::stop()
{
    *m_alive = false;
    m_timer.reset();
    m_socket.reset();
}

void Members::receive()
{
    m_socket->async_receive_from(
        asio::buffer(m_input), m_sender,
        [this, alive = m_alive](const asio::error_code &error, std::size_t size) {
            if (!*alive || error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                ++m_totals.received;
                const auto ping = decodePing(std::string_view(m_input.data(), size), m_options.keys);
                if (ping && ping->to == m_records->options().name) {
                    take(*ping, detail::fromTcp({m_sender.address(), m_sender.port()}));
                } else {
                    ++m_totals.refused;
                }
            }
            receive();
        });
}

void Members::take(const Ping &ping, const Endpoint &from)
{
    if (ping.type == PingType::Ping) {
        send({.type = PingType::Ack, .to = ping.from, .nonce = ping.nonce}, from);
        return;
    }
    if (ping.type == PingType::Probe) {
        const auto nonce = newNonce();
        m_helping[nonce] = {.asker = {ping.from, from},
                            .nonce = ping.nonce,
                            .subject = ping.subject,
                            .until = std::chrono::steady_clock::now() + m_options.probeTime};
        m_waiting[nonce] = {ping.subject, std::chrono::steady_clock::now()};
        send({.type = PingType::Ping, .to = ping.subject, .nonce = nonce}, ping.endpoint);
        return;
    }
    takeAnswer(ping);
}

// An answer counts once and only from the node that was asked.
void Members::takeAnswer(const Ping &ping)
{
    const auto question = m_waiting.find(ping.nonce);
    if (question == m_waiting.end() || question->second.to != ping.from) {
        ++m_totals.refused;
        return;
    }
    m_waiting.erase(question);
    const auto now = std::chrono::steady_clock::now();
    noteAlive(m_monitor, ping.from, now);
    if (const auto helping = m_helping.extract(ping.nonce)) {
        const auto &help = helping.mapped();
        send({.type = PingType::Report,
              .to = help.asker.name,
              .nonce = help.nonce,
              .subject = help.subject,
              .reached = true},
             help.asker.endpoint);
    }
    std::string proven = ping.from;
    if (ping.type == PingType::Report) {
        noteProbe(m_monitor, ping.subject, ping.reached, now);
        proven = ping.reached ? ping.subject : std::string();
    }
    if (!m_zoneCheck) {
        return;
    }
    const auto &sample = m_zoneCheck->sample;
    const auto sampled = [&](const std::string &name) {
        return std::any_of(sample.begin(), sample.end(),
                           [&](const Target &target) { return target.name == name; });
    };
    m_zoneCheck->alive = m_zoneCheck->alive || sampled(proven);
    const bool denied = ping.type == PingType::Report && !ping.reached;
    m_zoneCheck->confirmed = m_zoneCheck->confirmed || (denied && sampled(ping.subject));
}

void Members::send(Ping ping, const Endpoint &to)
{
    ping.from = m_records->options().name;
    const auto bytes = encodePing(ping, m_options.keys);
    asio::error_code ignored;
    m_socket->send_to(asio::buffer(bytes), toUdp(to), 0, ignored);
    ++m_totals.sent;
    m_totals.bytes += bytes.size();
}

void Members::question(Ping ping, const Endpoint &to)
{
    ping.nonce = newNonce();
    m_waiting[ping.nonce] = {ping.to, std::chrono::steady_clock::now()};
    send(std::move(ping), to);
}

void Members::scheduleTick()
{
    m_timer->expires_after(m_options.monitor.heartbeat / ticksPerHeartbeat);
    m_timer->async_wait([this, alive = m_alive](const asio::error_code &error) {
        if (!error && *alive) {
            runTick();
            scheduleTick();
        }
    });
}

void Members::expire(TimePoint now)
{
    std::erase_if(m_waiting, [&](const auto &entry) { return now - entry.second.since > questionLimit; });
    for (auto help = m_helping.begin(); help != m_helping.end();) {
        if (now < help->second.until) {
            ++help;
            continue;
        }
        send({.type = PingType::Report,
              .to = help->second.asker.name,
              .nonce = help->second.nonce,
              .subject = help->second.subject},
             help->second.asker.endpoint);
        help = m_helping.erase(help);
    }
    while (!m_recentDown.empty() && now - m_recentDown.front().first > zoneCheckWindow) {
        m_recentDown.pop_front();
    }
}

std::vector<Target> Members::helpers() const
{
    const auto &members = m_records->members();
    auto helpers
        = successorsOf(members, m_records->options().zone, m_records->options().name, helperChoices / 2);
    auto random = m_random;
    for (std::size_t i = 0; i < helperChoices / 2 && members.size() > helperChoices; ++i) {
        const auto &member = members[random() % members.size()];
        if (member.name != m_records->options().name) {
            helpers.push_back({member.name, member.control});
        }
    }
    if (members.size() < fewMembers) {
        for (const auto &[name, endpoint] : m_records->attachedAgents()) {
            helpers.push_back({name, endpoint});
        }
    }
    return helpers;
}

void Members::refreshTargets(TimePoint now)
{
    const auto &view = m_records->view();
    const auto &members = m_records->members();
    const auto &self = m_records->options().name;
    if (m_adoptedAt == TimePoint{} || now - m_adoptedAt >= adoptInterval) {
        m_adoptedAt = now;
        m_adopted.clear();
        for (const auto &[name, entry] : view.nodes) {
            const auto &announcement = entry.announcement;
            if (announcement.role != NodeRole::Agent || announcement.state == NodeState::Down) {
                continue;
            }
            const auto assigned = assignedMembers(members.size(), name, 1);
            if (!assigned.empty() && members[assigned.front()].name == self) {
                m_adopted.push_back({name, announcement.control});
            }
        }
    }
    std::vector<Target> agents;
    const auto addLive = [&](const std::string &name, const Endpoint &endpoint) {
        const auto entry = view.nodes.find(name);
        if (entry != view.nodes.end() && entry->second.announcement.state != NodeState::Down) {
            agents.push_back({name, endpoint});
        }
    };
    for (const auto &target : m_adopted) {
        addLive(target.name, target.endpoint);
    }
    for (const auto &[name, endpoint] : m_records->attachedAgents()) {
        addLive(name, endpoint);
    }
    setTargets(m_monitor,
               successorsOf(members, m_records->options().zone, self, m_options.monitor.successors), agents,
               now);
    for (const auto &name : m_deferred) {
        m_monitor.targets.erase(name);
    }
}

void Members::runTick()
{
    const auto now = std::chrono::steady_clock::now();
    expire(now);
    if (m_records->options().role == NodeRole::Agent) {
        return;
    }
    refreshTargets(now);
    const auto choices = helpers();
    const auto actions = tick(m_monitor, choices, now, m_random);
    for (const auto &target : actions.pings) {
        question({.type = PingType::Ping, .to = target.name}, target.endpoint);
    }
    for (const auto &probe : actions.probes) {
        question({.type = PingType::Probe,
                  .to = probe.via.name,
                  .subject = probe.subject.name,
                  .endpoint = probe.subject.endpoint},
                 probe.via.endpoint);
    }
    foundDead(actions.down, now);
    runZoneCheck(now);
    keepLease(now);
    if (!m_joinTried && now - m_startedAt > joinDelay) {
        m_joinTried = true;
        joinThroughGroups();
    }
}

void Members::noteChanges(const std::vector<Record> &changed)
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto &record : changed) {
        if (record.key.kind != RecordKind::Node) {
            continue;
        }
        const auto entry = m_records->view().nodes.find(record.key.name);
        const bool accused = record.version.sequence % 2 == 1;
        if (entry != m_records->view().nodes.end() && accused) {
            m_recentDown.emplace_back(now, entry->second.announcement.zone);
        }
    }
}

// Several nodes that were found dead lately, or are about to be.
bool Members::isZoneSuspicious(const std::string &zone, const std::vector<std::string> &found,
                               TimePoint now) const
{
    const auto checked = m_zoneChecked.find(zone);
    if (checked != m_zoneChecked.end() && now - checked->second < zoneCheckWindow) {
        return false;
    }
    const auto &nodes = m_records->view().nodes;
    const auto inZone = [&](const std::string &name) {
        const auto entry = nodes.find(name);
        return entry != nodes.end() && entry->second.announcement.zone == zone;
    };
    const auto announced = std::count_if(m_recentDown.begin(), m_recentDown.end(),
                                         [&](const auto &down) { return down.second == zone; });
    const auto suspected
        = std::count_if(m_monitor.targets.begin(), m_monitor.targets.end(),
                        [&](const auto &target) { return target.second.suspected && inZone(target.first); });
    const auto waiting = std::count_if(found.begin(), found.end(), inZone)
        + std::count_if(m_deferred.begin(), m_deferred.end(), inZone);
    return static_cast<std::size_t>(announced + suspected + waiting) >= zoneCheckThreshold;
}

// Accuses at once, or waits for the check of the zone where several were found dead.
void Members::foundDead(const std::vector<std::string> &names, TimePoint now)
{
    std::vector<std::string> single;
    for (const auto &name : names) {
        const auto entry = m_records->view().nodes.find(name);
        if (entry == m_records->view().nodes.end()) {
            continue;
        }
        const auto &zone = entry->second.announcement.zone;
        if (zone == m_records->options().zone || !isZoneSuspicious(zone, names, now)) {
            single.push_back(name);
            continue;
        }
        m_deferred.push_back(name);
        if (!m_zoneCheck) {
            startZoneCheck(zone, now);
        }
    }
    for (const auto &name : single) {
        accuse(name);
    }
}

void Members::accuse(const std::string &name)
{
    const auto entry = m_records->view().nodes.find(name);
    if (entry == m_records->view().nodes.end() || entry->second.announcement.state == NodeState::Down) {
        return;
    }
    ++m_totals.accusations;
    membersLog().warn("node {} is down", name);
    m_records->publish(accusation(entry->second));
}

void Members::startZoneCheck(const std::string &zone, TimePoint now)
{
    ZoneCheck check{.zone = zone, .started = now};
    for (const auto &[name, entry] : m_records->view().nodes) {
        const auto &announcement = entry.announcement;
        if (announcement.zone == zone && announcement.state != NodeState::Down) {
            check.sample.push_back({name, announcement.control});
        }
    }
    std::shuffle(check.sample.begin(), check.sample.end(), m_random);
    check.sample.resize(std::min(check.sample.size(), zoneCheckSample));
    membersLog().warn("zone {} is checked", zone);
    m_zoneCheck = std::move(check);
    std::vector<Target> outside;
    for (const auto &member : m_records->members()) {
        const auto &announcement = m_records->view().nodes.at(member.name).announcement;
        if (announcement.zone != zone && member.name != m_records->options().name) {
            outside.push_back({member.name, member.control});
        }
    }
    std::shuffle(outside.begin(), outside.end(), m_random);
    outside.resize(std::min(outside.size(), m_options.monitor.helpers));
    for (const auto &target : m_zoneCheck->sample) {
        question({.type = PingType::Ping, .to = target.name}, target.endpoint);
        for (const auto &helper : outside) {
            question({.type = PingType::Probe,
                      .to = helper.name,
                      .subject = target.name,
                      .endpoint = target.endpoint},
                     helper.endpoint);
        }
    }
    m_zoneCheck->confirmed = outside.empty();
}

void Members::runZoneCheck(TimePoint now)
{
    if (!m_zoneCheck) {
        return;
    }
    const auto verdict = judge(*m_zoneCheck, now);
    if (verdict == ZoneVerdict::Waiting) {
        return;
    }
    const auto zone = m_zoneCheck->zone;
    m_zoneCheck.reset();
    const auto &nodes = m_records->view().nodes;
    const bool nodesLeft = std::any_of(nodes.begin(), nodes.end(), [&](const auto &entry) {
        const auto &announcement = entry.second.announcement;
        return announcement.zone == zone && announcement.state != NodeState::Down;
    });
    if (verdict == ZoneVerdict::Lost && nodesLeft) {
        ++m_totals.zoneLosses;
        m_records->publishLoss({.id = newNonce(), .zone = zone});
    }
    m_zoneChecked[zone] = now;
    foundDead(std::exchange(m_deferred, {}), now);
}

void Members::keepLease(TimePoint now)
{
    const auto &options = m_records->options();
    const auto own = m_records->view().nodes.find(options.name);
    if (m_platform == nullptr || m_leaseBusy || own == m_records->view().nodes.end()) {
        return;
    }
    const auto group = groupOf(m_records->members(), options.zone, options.name, m_groupDepth);
    const auto action = nextLeaseStep(m_lease, group, options.name, own->second.announcement.incarnation,
                                      m_options.lease, now);
    switch (action.step) {
    case LeaseStep::None:
        break;
    case LeaseStep::Read:
        m_lease.lastRead = now;
        readLease(action.object.name);
        break;
    case LeaseStep::Write:
        m_lease.lastWrite = now;
        writeLease(action.object);
        break;
    case LeaseStep::Remove:
        m_lease = {};
        m_platform->remove(encodeGroup(action.object), [](const Answer<std::uint64_t> &) {});
        break;
    }
}

void Members::readLease(const std::string &name)
{
    m_leaseBusy = true;
    m_platform->read("group", name, [this, alive = m_alive, name](const Answer<Object> &answer) {
        if (!*alive) {
            return;
        }
        m_leaseBusy = false;
        if (!answer) {
            const bool absent = answer.error().code == Code::NotFound;
            m_lease.stored = absent ? std::optional(GroupObject{.name = name}) : std::nullopt;
            return;
        }
        handleError(
            [&]() -> Result<void> {
                BOOST_LEAF_ASSIGN(m_lease.stored, decodeGroup(answer.value()));
                return {};
            },
            [&](const Error &error) {
                membersLog().warn("{}", error.text);
                m_lease.stored = GroupObject{.name = name, .version = answer.value().version};
            });
    });
}

void Members::writeLease(const GroupObject &object)
{
    m_leaseBusy = true;
    ++m_totals.groupWrites;
    writeResolved(*m_platform, encodeGroup(object), writeAttempts,
                  [this, alive = m_alive, object](const Answer<Object> &answer) {
                      if (!*alive) {
                          return;
                      }
                      m_leaseBusy = false;
                      if (!answer) {
                          // Whoever holds it now is read before anything else is written.
                          m_lease.stored.reset();
                          return;
                      }
                      m_lease.stored = object;
                      m_lease.stored->version = answer.value().version;
                  });
}

// A process that reached no seed finds others through the groups in the platform.
void Members::joinThroughGroups()
{
    if (m_platform == nullptr || m_records->members().size() > 1) {
        return;
    }
    m_platform->list("group", [this, alive = m_alive](const Answer<ObjectList> &answer) {
        if (!*alive || !answer) {
            m_joinTried = !*alive;
            m_startedAt = std::chrono::steady_clock::now();
            return;
        }
        std::vector<Endpoint> peers;
        for (const auto &object : answer.value().objects) {
            handleError(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(group, decodeGroup(object));
                    for (const auto &member : group.members) {
                        if (member.name != m_records->options().name) {
                            peers.push_back(member.control);
                        }
                    }
                    return {};
                },
                [](const Error &error) { membersLog().warn("{}", error.text); });
        }
        std::shuffle(peers.begin(), peers.end(), m_random);
        peers.resize(std::min(peers.size(), maxJoinPeers));
        for (const auto &peer : peers) {
            m_records->meet(peer);
        }
    });
}

} // namespace oriolelever
