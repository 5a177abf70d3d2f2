/// Membership: failure detection by heartbeats, accusations of dead nodes, loss of zones, and the lease of
/// this process's group.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include "oriolelever/groups.h"
#include "oriolelever/kernel.h"
#include "oriolelever/monitor.h"
#include "oriolelever/ping.h"
#include "oriolelever/records.h"

namespace oriolelever {

struct MembersOptions
{
    Endpoint listen; ///< UDP, with the same address and port as the control streams.
    TagKeys keys;
    MonitorOptions monitor;
    LeaseOptions lease;
    std::chrono::milliseconds probeTimeout{400}; ///< A helper waits this long for the probed node.
};

/// Returns the options of the section `[control]`. Fails with `SettingInvalid` for a malformed key.
Result<MembersOptions> membersOptions(const Settings &settings);

/// Counters since the start.
struct MembersTotals
{
    std::uint64_t sent = 0; ///< Datagrams.
    std::uint64_t received = 0; ///< Datagrams, with refused ones.
    std::uint64_t refused = 0; ///< Datagrams that were forged, malformed, replayed or for another name.
    std::uint64_t bytes = 0; ///< Payload bytes of sent datagrams.
    std::uint64_t accusations = 0; ///< Of single nodes, by this process.
    std::uint64_t zoneLosses = 0; ///< Declared by this process.
    std::uint64_t groupWrites = 0; ///< Writes of the group object, with failed ones.
};

/// Detects dead nodes and announces them through `Records`. A balancer pings the next few balancers in the
/// ring of labels (ascending by `Member::label`, the first after the last), and the agents that are assigned
/// or attached to it. Every process answers pings and probes.
class Members : public Service
{
public:
    explicit Members(const MembersOptions &options);
    ~Members() override;

    /// Finds "records" and, for a balancer, "platform".
    Result<void> start(Kernel &kernel) override;
    Result<void> startOn(asio::io_context &context, Records &records, ObjectApi *platform);
    /// Announces this process as down, so that no failure detection is needed.
    void drain(std::function<void()> done) override;
    void stop() override;

    const MembersTotals &totals() const
    {
        return m_totals;
    }

    /// The lease of this process's group, as last known.
    const Lease &lease() const
    {
        return m_lease;
    }

private:
    /// A ping or probe without an answer yet.
    struct PendingQuery
    {
        std::string queriedNode;
        TimePoint sentAt;
    };

    /// A probe that this process carries out for another one.
    struct DelegatedProbe
    {
        Target requester;
        std::uint64_t nonce = 0; ///< Of the requester's probe; the report repeats it.
        std::string subject;
        TimePoint deadline; ///< When the subject is reported as not reached.
    };

    void receive();
    void handleDatagram(const Ping &ping, const Endpoint &from);
    void handleAnswer(const Ping &ping);
    void send(Ping ping, const Endpoint &to);
    /// Sends a ping or probe with a new nonce, which is kept in `m_pendingQueries` to match the answer.
    void sendQuery(Ping ping, const Endpoint &to);
    void scheduleTick();
    void runTick();
    void expireQueries(TimePoint now);
    /// Returns the nodes that may be asked to probe a suspected node.
    std::vector<Target> helperCandidates() const;
    void refreshTargets(TimePoint now);
    void handleChanges(const std::vector<Record> &changed);
    void handleDeadNodes(const std::vector<std::string> &names, TimePoint now);
    void accuse(const std::string &name);
    bool isZoneSuspected(const std::string &zone, const std::vector<std::string> &deadNodes,
                         TimePoint now) const;
    void startZoneCheck(const std::string &zone, TimePoint now);
    void runZoneCheck(TimePoint now);
    void maintainLease(TimePoint now);
    void readLease(const std::string &name);
    void writeLease(const GroupObject &object);
    /// Starts exchanges of records with members of the groups stored in the platform if this process knows no
    /// other balancer. Called some time after the start, and again after a failed listing of the groups.
    void joinThroughGroups();

    MembersOptions m_options;
    asio::io_context *m_context = nullptr;
    Records *m_records = nullptr;
    ObjectApi *m_platform = nullptr;
    std::unique_ptr<asio::ip::udp::socket> m_socket;
    std::unique_ptr<asio::steady_timer> m_timer;
    std::array<char, maxPingBytes> m_input{};
    asio::ip::udp::endpoint m_sender; ///< Of the datagram in `m_input`.
    std::shared_ptr<bool> m_alive; ///< False after `stop`; pending callbacks check it before they use `this`.
    std::minstd_rand m_random;
    Monitor m_monitor;
    std::map<std::uint64_t, PendingQuery> m_pendingQueries; ///< By nonce.
    std::map<std::uint64_t, DelegatedProbe> m_delegatedProbes; ///< By nonce of the ping to the subject.
    std::deque<std::pair<TimePoint, std::string>> m_recentAccusations; ///< Time and zone; oldest first.
    std::optional<ZoneCheck> m_zoneCheck;
    std::map<std::string, TimePoint> m_zoneCheckedAt; ///< When the last check of each zone ended.
    std::vector<std::string> m_deferredAccusations; ///< Names of nodes found dead during the check of a zone.
    std::vector<Target> m_assignedAgents; ///< Agents that this balancer pings even if they are not attached.
    TimePoint m_agentsAssignedAt{};
    TimePoint m_startedAt{}; ///< Start, or the last failed attempt to join through groups.
    bool m_hasTriedJoin = false;
    Lease m_lease;
    std::size_t m_groupDepth = 0; ///< Label bits of this process's group, kept for `groupOf`.
    bool m_isLeaseCallPending = false;
    MembersTotals m_totals;
};

} // namespace oriolelever
