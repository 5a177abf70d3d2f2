#include "oriolelever/members.h"

#include <algorithm>

#include <sodium.h>

#include "connection.h"
#include "oriolelever/log.h"

namespace oriolelever {

namespace {

using Udp = asio::ip::udp;

constexpr int ticksPerHeartbeat = 5;
constexpr std::chrono::seconds queryTimeout{5}; ///< Later answers are refused.
constexpr std::chrono::seconds agentAssignmentInterval{20}; ///< Between recalculations of the agents to ping.
constexpr std::chrono::seconds groupJoinDelay{3}; ///< After start, until a process without peers joins.
constexpr std::size_t maxHelperCandidates = 16; ///< Half successors; half random, if there are more members.
constexpr std::size_t fewMemberCount = 4; ///< With fewer members, attached agents are helpers too.
constexpr std::size_t maxJoinPeers = 3; ///< Peers for exchanges when joining through groups.
constexpr int writeAttempts = 3; ///< Of one write of the group object.

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
    const auto tcp = detail::toAsioEndpoint(endpoint);
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
    options.monitor.heartbeatInterval = settings.time("control", "heartbeat_ms");
    options.monitor.suspicionTimeout = settings.time("control", "suspicion_ms");
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
            handleChanges(changed);
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
                    handleDatagram(*ping, detail::fromAsioEndpoint({m_sender.address(), m_sender.port()}));
                } else {
                    ++m_totals.refused;
                }
            }
            receive();
        });
}

// Answers a ping, carries out a probe, or handles an answer.
void Members::handleDatagram(const Ping &ping, const Endpoint &from)
{
    if (ping.type == PingType::Ping) {
        send({.type = PingType::Ack, .to = ping.from, .nonce = ping.nonce}, from);
        return;
    }
    if (ping.type == PingType::Probe) {
        const auto nonce = newNonce();
        m_delegatedProbes[nonce] = {.requester = {ping.from, from},
                                    .nonce = ping.nonce,
                                    .subject = ping.subject,
                                    .deadline = std::chrono::steady_clock::now() + m_options.probeTimeout};
        m_pendingQueries[nonce] = {ping.subject, std::chrono::steady_clock::now()};
        send({.type = PingType::Ping, .to = ping.subject, .nonce = nonce}, ping.endpoint);
        return;
    }
    handleAnswer(ping);
}

// Accepts one answer per query, and only from the queried node.
void Members::handleAnswer(const Ping &ping)
{
    const auto pending = m_pendingQueries.find(ping.nonce);
    if (pending == m_pendingQueries.end() || pending->second.queriedNode != ping.from) {
        ++m_totals.refused;
        return;
    }
    m_pendingQueries.erase(pending);
    const auto now = std::chrono::steady_clock::now();
    recordAlive(m_monitor, ping.from, now);
    if (const auto entry = m_delegatedProbes.extract(ping.nonce)) {
        const auto &probe = entry.mapped();
        send({.type = PingType::Report,
              .to = probe.requester.name,
              .nonce = probe.nonce,
              .subject = probe.subject,
              .reached = true},
             probe.requester.endpoint);
    }
    std::string reachableNode = ping.from;
    if (ping.type == PingType::Report) {
        recordProbeResult(m_monitor, ping.subject, ping.reached, now);
        reachableNode = ping.reached ? ping.subject : std::string();
    }
    if (!m_zoneCheck) {
        return;
    }
    const auto &sample = m_zoneCheck->sample;
    const auto isInSample = [&](const std::string &name) {
        return std::any_of(sample.begin(), sample.end(),
                           [&](const Target &target) { return target.name == name; });
    };
    m_zoneCheck->isAlive = m_zoneCheck->isAlive || isInSample(reachableNode);
    const bool isUnreachable = ping.type == PingType::Report && !ping.reached;
    m_zoneCheck->isConfirmed = m_zoneCheck->isConfirmed || (isUnreachable && isInSample(ping.subject));
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

void Members::sendQuery(Ping ping, const Endpoint &to)
{
    ping.nonce = newNonce();
    m_pendingQueries[ping.nonce] = {ping.to, std::chrono::steady_clock::now()};
    send(std::move(ping), to);
}

void Members::scheduleTick()
{
    m_timer->expires_after(m_options.monitor.heartbeatInterval / ticksPerHeartbeat);
    m_timer->async_wait([this, alive = m_alive](const asio::error_code &error) {
        if (!error && *alive) {
            runTick();
            scheduleTick();
        }
    });
}

// Drops queries without an answer, and reports delegated probes past their deadline as not reached.
void Members::expireQueries(TimePoint now)
{
    std::erase_if(m_pendingQueries,
                  [&](const auto &entry) { return now - entry.second.sentAt > queryTimeout; });
    for (auto probe = m_delegatedProbes.begin(); probe != m_delegatedProbes.end();) {
        if (now < probe->second.deadline) {
            ++probe;
            continue;
        }
        send({.type = PingType::Report,
              .to = probe->second.requester.name,
              .nonce = probe->second.nonce,
              .subject = probe->second.subject},
             probe->second.requester.endpoint);
        probe = m_delegatedProbes.erase(probe);
    }
    while (!m_recentAccusations.empty() && now - m_recentAccusations.front().first > zoneCheckWindow) {
        m_recentAccusations.pop_front();
    }
}

std::vector<Target> Members::helperCandidates() const
{
    const auto &members = m_records->members();
    auto helpers = successorsOf(members, m_records->options().zone, m_records->options().name,
                                maxHelperCandidates / 2);
    auto random = m_random;
    for (std::size_t i = 0; i < maxHelperCandidates / 2 && members.size() > maxHelperCandidates; ++i) {
        const auto &member = members[random() % members.size()];
        if (member.name != m_records->options().name) {
            helpers.push_back({member.name, member.control});
        }
    }
    if (members.size() < fewMemberCount) {
        for (const auto &[name, endpoint] : m_records->attachedAgents()) {
            helpers.push_back({name, endpoint});
        }
    }
    return helpers;
}

// Monitors the next balancers in the ring, and the live agents that are assigned or attached to this
// balancer. Nodes whose accusation is deferred are not monitored again.
void Members::refreshTargets(TimePoint now)
{
    const auto &view = m_records->view();
    const auto &members = m_records->members();
    const auto &self = m_records->options().name;
    if (m_agentsAssignedAt == TimePoint{} || now - m_agentsAssignedAt >= agentAssignmentInterval) {
        m_agentsAssignedAt = now;
        m_assignedAgents.clear();
        for (const auto &[name, entry] : view.nodes) {
            const auto &announcement = entry.announcement;
            if (announcement.role != NodeRole::Agent || announcement.state == NodeState::Down) {
                continue;
            }
            const auto assigned = assignedMembers(members.size(), name, 1);
            if (!assigned.empty() && members[assigned.front()].name == self) {
                m_assignedAgents.push_back({name, announcement.control});
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
    for (const auto &target : m_assignedAgents) {
        addLive(target.name, target.endpoint);
    }
    for (const auto &[name, endpoint] : m_records->attachedAgents()) {
        addLive(name, endpoint);
    }
    setTargets(m_monitor,
               successorsOf(members, m_records->options().zone, self, m_options.monitor.successorCount),
               agents, now);
    for (const auto &name : m_deferredAccusations) {
        m_monitor.targets.erase(name);
    }
}

void Members::runTick()
{
    const auto now = std::chrono::steady_clock::now();
    expireQueries(now);
    if (m_records->options().role == NodeRole::Agent) {
        return;
    }
    refreshTargets(now);
    const auto candidates = helperCandidates();
    const auto actions = tick(m_monitor, candidates, now, m_random);
    for (const auto &target : actions.pings) {
        sendQuery({.type = PingType::Ping, .to = target.name}, target.endpoint);
    }
    for (const auto &probe : actions.probes) {
        sendQuery({.type = PingType::Probe,
                   .to = probe.helper.name,
                   .subject = probe.subject.name,
                   .endpoint = probe.subject.endpoint},
                  probe.helper.endpoint);
    }
    handleDeadNodes(actions.down, now);
    runZoneCheck(now);
    maintainLease(now);
    if (!m_hasTriedJoin && now - m_startedAt > groupJoinDelay) {
        m_hasTriedJoin = true;
        joinThroughGroups();
    }
}

// Records accusations by any node; these have odd sequences.
void Members::handleChanges(const std::vector<Record> &changed)
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto &record : changed) {
        if (record.key.kind != RecordKind::Node) {
            continue;
        }
        const auto entry = m_records->view().nodes.find(record.key.name);
        const bool isAccusation = record.version.sequence % 2 == 1;
        if (entry != m_records->view().nodes.end() && isAccusation) {
            m_recentAccusations.emplace_back(now, entry->second.announcement.zone);
        }
    }
}

// Returns true if at least `zoneCheckThreshold` nodes of the zone were accused within `zoneCheckWindow`, are
// found dead, or are suspected; false if the zone was checked within that time.
bool Members::isZoneSuspected(const std::string &zone, const std::vector<std::string> &deadNodes,
                              TimePoint now) const
{
    const auto checked = m_zoneCheckedAt.find(zone);
    if (checked != m_zoneCheckedAt.end() && now - checked->second < zoneCheckWindow) {
        return false;
    }
    const auto &nodes = m_records->view().nodes;
    const auto inZone = [&](const std::string &name) {
        const auto entry = nodes.find(name);
        return entry != nodes.end() && entry->second.announcement.zone == zone;
    };
    const auto announced = std::count_if(m_recentAccusations.begin(), m_recentAccusations.end(),
                                         [&](const auto &down) { return down.second == zone; });
    const auto suspected
        = std::count_if(m_monitor.targets.begin(), m_monitor.targets.end(), [&](const auto &target) {
              return target.second.isSuspected && inZone(target.first);
          });
    const auto unannounced = std::count_if(deadNodes.begin(), deadNodes.end(), inZone)
        + std::count_if(m_deferredAccusations.begin(), m_deferredAccusations.end(), inZone);
    return static_cast<std::size_t>(announced + suspected + unannounced) >= zoneCheckThreshold;
}

// Accuses each node at once, or after the check of its zone if the zone is suspected. The zone of this
// process is not checked.
void Members::handleDeadNodes(const std::vector<std::string> &names, TimePoint now)
{
    std::vector<std::string> individual;
    for (const auto &name : names) {
        const auto entry = m_records->view().nodes.find(name);
        if (entry == m_records->view().nodes.end()) {
            continue;
        }
        const auto &zone = entry->second.announcement.zone;
        if (zone == m_records->options().zone || !isZoneSuspected(zone, names, now)) {
            individual.push_back(name);
            continue;
        }
        m_deferredAccusations.push_back(name);
        if (!m_zoneCheck) {
            startZoneCheck(zone, now);
        }
    }
    for (const auto &name : individual) {
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
    membersLog().warn("node {} does not answer; announcing it as down", name);
    m_records->publish(makeAccusation(entry->second));
}

// Pings a random sample of the live nodes of the zone, directly and through helpers of other zones.
void Members::startZoneCheck(const std::string &zone, TimePoint now)
{
    ZoneCheck check{.zone = zone, .startedAt = now};
    for (const auto &[name, entry] : m_records->view().nodes) {
        const auto &announcement = entry.announcement;
        if (announcement.zone == zone && announcement.state != NodeState::Down) {
            check.sample.push_back({name, announcement.control});
        }
    }
    std::shuffle(check.sample.begin(), check.sample.end(), m_random);
    check.sample.resize(std::min(check.sample.size(), zoneCheckSampleSize));
    membersLog().warn("several nodes of zone {} do not answer; checking whether the zone is lost", zone);
    m_zoneCheck = std::move(check);
    std::vector<Target> helpersElsewhere;
    for (const auto &member : m_records->members()) {
        const auto &announcement = m_records->view().nodes.at(member.name).announcement;
        if (announcement.zone != zone && member.name != m_records->options().name) {
            helpersElsewhere.push_back({member.name, member.control});
        }
    }
    std::shuffle(helpersElsewhere.begin(), helpersElsewhere.end(), m_random);
    helpersElsewhere.resize(std::min(helpersElsewhere.size(), m_options.monitor.helperCount));
    for (const auto &target : m_zoneCheck->sample) {
        sendQuery({.type = PingType::Ping, .to = target.name}, target.endpoint);
        for (const auto &helper : helpersElsewhere) {
            sendQuery({.type = PingType::Probe,
                       .to = helper.name,
                       .subject = target.name,
                       .endpoint = target.endpoint},
                      helper.endpoint);
        }
    }
    m_zoneCheck->isConfirmed = helpersElsewhere.empty();
}

// Once there is a verdict, declares the zone as lost if it is, and handles the deferred accusations.
void Members::runZoneCheck(TimePoint now)
{
    if (!m_zoneCheck) {
        return;
    }
    const auto verdict = evaluateZoneCheck(*m_zoneCheck, now);
    if (verdict == ZoneVerdict::Waiting) {
        return;
    }
    const auto zone = m_zoneCheck->zone;
    m_zoneCheck.reset();
    const auto &nodes = m_records->view().nodes;
    const bool hasLiveNodes = std::any_of(nodes.begin(), nodes.end(), [&](const auto &entry) {
        const auto &announcement = entry.second.announcement;
        return announcement.zone == zone && announcement.state != NodeState::Down;
    });
    if (verdict == ZoneVerdict::Lost && hasLiveNodes) {
        ++m_totals.zoneLosses;
        m_records->publishZoneLoss({.id = newNonce(), .zone = zone});
    }
    m_zoneCheckedAt[zone] = now;
    handleDeadNodes(std::exchange(m_deferredAccusations, {}), now);
}

void Members::maintainLease(TimePoint now)
{
    const auto &options = m_records->options();
    const auto own = m_records->view().nodes.find(options.name);
    if (m_platform == nullptr || m_isLeaseCallPending || own == m_records->view().nodes.end()) {
        return;
    }
    const auto group = groupOf(m_records->members(), options.zone, options.name, m_groupDepth);
    const auto action = nextLeaseStep(m_lease, group, options.name, own->second.announcement.incarnation,
                                      m_options.lease, now);
    switch (action.step) {
    case LeaseStep::None:
        break;
    case LeaseStep::Read:
        m_lease.lastReadAt = now;
        readLease(action.object.name);
        break;
    case LeaseStep::Write:
        m_lease.lastWriteAt = now;
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
    m_isLeaseCallPending = true;
    m_platform->read("group", name, [this, alive = m_alive, name](const Answer<Object> &answer) {
        if (!*alive) {
            return;
        }
        m_isLeaseCallPending = false;
        if (!answer) {
            const bool isAbsent = answer.error().code == Code::NotFound;
            m_lease.stored = isAbsent ? std::optional(GroupObject{.name = name}) : std::nullopt;
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
    m_isLeaseCallPending = true;
    ++m_totals.groupWrites;
    writeResolved(*m_platform, encodeGroup(object), writeAttempts,
                  [this, alive = m_alive, object](const Answer<Object> &answer) {
                      if (!*alive) {
                          return;
                      }
                      m_isLeaseCallPending = false;
                      if (!answer) {
                          // The write may have failed by a conflict: the object is read before the next
                          // write.
                          m_lease.stored.reset();
                          return;
                      }
                      m_lease.stored = object;
                      m_lease.stored->version = answer.value().version;
                  });
}

// Finds other balancers through the groups in the platform if no seed was reached. Retries after a failed
// list.
void Members::joinThroughGroups()
{
    if (m_platform == nullptr || m_records->members().size() > 1) {
        return;
    }
    m_platform->list("group", [this, alive = m_alive](const Answer<ObjectList> &answer) {
        if (!*alive || !answer) {
            m_hasTriedJoin = !*alive;
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
            m_records->startExchange(peer);
        }
    });
}

} // namespace oriolelever
