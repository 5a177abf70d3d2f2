/// Membership: heartbeats, suspicion, accusations, loss of zones and the lease of this process's group.
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
    Endpoint listen; ///< UDP; the same address and port as the streams.
    TagKeys keys;
    MonitorOptions monitor;
    LeaseOptions lease;
    std::chrono::milliseconds probeTime{400}; ///< A helper waits this long for a suspect.
};

/// Options from `[control]`. Fails with `SettingInvalid` for a malformed key.
Result<MembersOptions> membersOptions(const Settings &settings);

/// Datagrams of the failure detector since the start.
struct MembersTotals
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t refused = 0; ///< Forged, malformed, replayed or meant for another name.
    std::uint64_t bytes = 0; ///< Sent.
    std::uint64_t accusations = 0;
    std::uint64_t zoneLosses = 0;
    std::uint64_t groupWrites = 0;
};

/// Finds dead nodes and says so through `Records`. A balancer pings the next few balancers in the ring of
/// labels and the agents attached to it; every process answers pings and probes.
class Members : public Service
{
public:
    explicit Members(const MembersOptions &options);
    ~Members() override;

    /// Finds "records" and, for a balancer, "platform".
    Result<void> start(Kernel &kernel) override;
    Result<void> startOn(asio::io_context &context, Records &records, ObjectApi *platform);
    /// Announces this process as down, so that no one has to find out.
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
    struct Waiting
    {
        std::string to;
        TimePoint since;
    };

    struct Helping
    {
        Target asker;
        std::uint64_t nonce = 0; ///< Of the asker's probe.
        std::string subject;
        TimePoint until;
    };

    void receive();
    void take(const Ping &ping, const Endpoint &from);
    void takeAnswer(const Ping &ping);
    void send(Ping ping, const Endpoint &to);
    void question(Ping ping, const Endpoint &to);
    void scheduleTick();
    void runTick();
    void expire(TimePoint now);
    std::vector<Target> helpers() const;
    void refreshTargets(TimePoint now);
    void noteChanges(const std::vector<Record> &changed);
    void foundDead(const std::vector<std::string> &names, TimePoint now);
    void accuse(const std::string &name);
    bool isZoneSuspicious(const std::string &zone, const std::vector<std::string> &found,
                          TimePoint now) const;
    void startZoneCheck(const std::string &zone, TimePoint now);
    void runZoneCheck(TimePoint now);
    void keepLease(TimePoint now);
    void readLease(const std::string &name);
    void writeLease(const GroupObject &object);
    void joinThroughGroups();

    MembersOptions m_options;
    asio::io_context *m_context = nullptr;
    Records *m_records = nullptr;
    ObjectApi *m_platform = nullptr;
    std::unique_ptr<asio::ip::udp::socket> m_socket;
    std::unique_ptr<asio::steady_timer> m_timer;
    std::array<char, maxPingBytes> m_input{};
    asio::ip::udp::endpoint m_sender;
    std::shared_ptr<bool> m_alive;
    std::minstd_rand m_random;
    Monitor m_monitor;
    std::map<std::uint64_t, Waiting> m_waiting; ///< Questions without an answer, by nonce.
    std::map<std::uint64_t, Helping> m_helping; ///< Own pings for others, by nonce.
    std::deque<std::pair<TimePoint, std::string>> m_recentDown; ///< When and of which zone.
    std::optional<ZoneCheck> m_zoneCheck;
    std::map<std::string, TimePoint> m_zoneChecked; ///< Zones that were found alive, and when.
    std::vector<std::string> m_deferred; ///< Accusations that wait for the zone's check.
    std::vector<Target> m_adopted; ///< Agents that this balancer pings whether or not they are attached.
    TimePoint m_adoptedAt{};
    TimePoint m_startedAt{};
    bool m_joinTried = false;
    Lease m_lease;
    std::size_t m_groupDepth = 0;
    bool m_leaseBusy = false;
    MembersTotals m_totals;
};

} // namespace oriolelever
