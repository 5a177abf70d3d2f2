/// The records that a process has in force, and their dissemination between processes.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <asio/steady_timer.hpp>

#include "oriolelever/dissem.h"
#include "oriolelever/kernel.h"
#include "oriolelever/platform.h"
#include "oriolelever/settings.h"
#include "oriolelever/stability.h"
#include "oriolelever/streams.h"

namespace oriolelever {

class PlatformWatch;

namespace detail {

constexpr auto recordsPath = "/records";
constexpr auto inForcePath = "/in-force";

} // namespace detail

struct RecordsOptions
{
    std::string name; ///< Node name of this process.
    NodeRole role = NodeRole::Agent;
    std::string zone;
    std::string service; ///< Of an agent; empty for a balancer.
    std::vector<Endpoint> seeds; ///< Processes for the first exchange.
    std::chrono::milliseconds pushDelay{20}; ///< Changes within this time are sent in one message.
    std::chrono::milliseconds watcherInterval{150}; ///< Between pushes of one change by watchers.
    std::chrono::milliseconds exchangeInterval{1000}; ///< Between exchanges; longer with many members.
    std::chrono::milliseconds callTimeout{1000}; ///< Of one exchange or push message.
    std::chrono::milliseconds watchTimeout{20000}; ///< Longest duration of one watch call of the platform.
    std::size_t watchersPerZone = 2; ///< Balancers per zone that watch the platform.
    std::size_t attachments = 3; ///< Balancers that an agent attaches to.
};

/// Returns the options of the sections `[process]`, `[control]` and `[server]`.
RecordsOptions recordsOptions(const Settings &settings);

/// Versioned records of this process. Balancers store every record and forward changes to their neighbours in
/// the logical hypercube. An agent attaches to a few balancers and stores the records that its service needs.
/// Exchanges between processes repair what a push missed. All calls and callbacks are on the control thread.
///
///     records.subscribe([&](const std::vector<Record> &changed) { rebuild(records.view()); });
///     records.announce(announcement);
class Records : public Service
{
public:
    using Subscriber = std::function<void(const std::vector<Record> &changed)>;

    explicit Records(RecordsOptions options);
    ~Records() override;

    /// Finds "streams" and, for a balancer, "platform".
    Result<void> start(Kernel &kernel) override;
    /// Starts without a kernel. `platform` may be null.
    void startOn(asio::io_context &context, Streams &streams, ObjectApi *platform);
    /// Pushes pending changes, then calls `done` after the time for the last announcement to leave.
    void drain(std::function<void()> done) override;
    void stop() override;

    const ClusterView &view() const
    {
        return m_table.view();
    }

    const RecordTable &table() const
    {
        return m_table;
    }

    /// Calls `subscriber` after changes of the view, with the changed records.
    void subscribe(Subscriber subscriber);

    /// Puts this process's announcement in force under a version later than any seen, and pushes it at once.
    /// If another node accuses this process, the announcement is repeated under a later version. Does nothing
    /// after `isReplaced`.
    void announce(Announcement announcement);

    /// Puts a record in force if its version is later, and forwards it. The announcement of this process goes
    /// through `announce` instead.
    void publish(const Record &record);

    /// Declares all nodes of a zone but `loss.alive` as down. One message is forwarded for the whole zone.
    void publishZoneLoss(const ZoneLoss &loss);

    /// Queries every live node whether it has `version` of `key` or a later one in force. On an agent, the
    /// report is on that agent alone.
    void queryInForce(const RecordKey &key, const RecordVersion &version,
                      std::function<void(InForceReport)> done);

    /// Compares the records with those of the process at `peer` and transfers later ones in both directions.
    void startExchange(const Endpoint &peer);

    /// Returns true if a process with the same name and a later incarnation was found at another address.
    /// This process then announces nothing any more.
    bool isReplaced() const
    {
        return m_isReplaced;
    }

    /// Live balancers of the view, ascending by label.
    const std::vector<Member> &members()
    {
        refreshMembers();
        return m_members;
    }

    /// Control endpoints of the agents that are attached to this balancer, by name.
    const std::map<std::string, Endpoint> &attachedAgents() const
    {
        return m_attachedAgents;
    }

    /// Balancers that this agent is attached to.
    const std::vector<Member> &attachments() const
    {
        return m_attachments;
    }

    const RecordsOptions &options() const
    {
        return m_options;
    }

private:
    /// How a record reached this process.
    enum class Origin {
        Own, ///< Created here: forwarded along all dimensions.
        Platform, ///< Forwarded along all dimensions after a delay, unless another watcher's broadcast
                  ///< arrives first.
        Push, ///< Forwarded along the dimensions from `depth` on.
        Repair, ///< From an exchange: not forwarded, as other nodes find it by exchange too.
    };

    struct Source
    {
        Origin origin = Origin::Own;
        std::string from; ///< Name of the sending node; empty for this process.
        unsigned depth = 0; ///< First dimension along which to forward.
    };

    /// A change to be forwarded along `dimensions`.
    struct PendingChange
    {
        Record record;
        std::optional<ZoneLoss> loss; ///< Replaces `record` if set.
        DimensionRange dimensions;
        TimePoint dueAt;
        bool isDelayed = false; ///< Dropped if another broadcast of it arrives before `dueAt`.
    };

    /// A change to be sent to the attached agents.
    struct PendingAgentChange
    {
        Record record;
        std::string from; ///< Agent that sent it and needs no copy; may be another node or empty.
    };

    /// Puts `record` in force if it is later, and schedules forwarding and notification. Returns true if
    /// applied.
    bool apply(const Record &record, const Source &source);
    void applyRecords(const std::vector<Record> &records, const Source &source);
    void applyLosses(const std::vector<ZoneLoss> &losses, const Source &source);
    void scheduleForwarding(const Record &record, const Source &source);
    Duration watcherDelay(std::uint64_t change) const;
    void checkOwnRecord(const Record &record);
    void notifySubscribers();
    void refreshMembers();
    void schedulePush();
    void push();
    std::vector<PendingChange> extractDueChanges(TimePoint now);
    void pushAsAgent(const std::vector<PendingChange> &pending);
    void pushAlongEdges(const std::vector<PendingChange> &pending);
    void pushToAgents();
    void pushTo(std::vector<Endpoint> peers, const Exchange &message);
    void scheduleExchange();
    void exchange();
    void exchangeWith(const Endpoint &peer, Exchange request, int messages);
    void handleAnswer(const Endpoint &peer, const Exchange &answer, int messages);
    void pushOwnRecord(const Endpoint &peer, const Exchange &answer);
    void handleExchange(const std::string &body, const Streams::Reply &reply);
    Exchange answerRequest(const Exchange &request);
    Exchange answerAgentExchange(const Exchange &request);
    Exchange makeRootRequest();
    std::optional<Endpoint> choosePeer();
    void updateAttachments();
    void handleInForceQuery(const std::string &body, const Streams::Reply &reply);
    void collectInForce(const InForceQuery &query, std::function<void(InForceReport)> done);
    void queryDelegate(const InForceQuery &query, std::vector<Member> range,
                       std::function<void(InForceReport)> done);
    void queryAgents(const InForceQuery &query, const std::shared_ptr<InForceAggregator> &aggregator);
    void startWatch();

    RecordsOptions m_options;
    RecordTable m_table;
    Streams *m_streams = nullptr;
    ObjectApi *m_platform = nullptr;
    asio::io_context *m_context = nullptr;
    std::unique_ptr<asio::steady_timer> m_pushTimer;
    std::unique_ptr<asio::steady_timer> m_exchangeTimer;
    std::shared_ptr<PlatformWatch> m_watch;
    std::shared_ptr<bool> m_alive; ///< False after `stop`; pending callbacks check it before they use `this`.
    std::minstd_rand m_random;
    std::vector<Subscriber> m_subscribers;
    std::vector<Record> m_changedRecords; ///< Subscribers are not notified of these yet.
    std::vector<PendingChange> m_pendingChanges; ///< Not yet forwarded to neighbours.
    std::vector<PendingAgentChange> m_pendingAgentChanges;
    std::vector<ZoneLoss> m_pendingAgentLosses;
    ForwardedChanges m_forwardedChanges;
    std::deque<std::uint64_t> m_appliedLosses; ///< Recent `ZoneLoss::id`, oldest first.
    std::vector<Member> m_members;
    std::map<std::string, Endpoint> m_attachedAgents;
    std::map<std::string, std::string> m_attachedServices; ///< Service of each attached agent.
    std::map<std::string, TimePoint> m_attachedExchangeAt; ///< Last exchange with each attached agent.
    std::vector<Member> m_attachments;
    std::map<Endpoint, TimePoint> m_unreachableSince; ///< When each unreachable peer last failed to answer.
    std::size_t m_memberCount = 0; ///< On an agent: number of members, from the last answer of a balancer.
    std::uint64_t m_assignedDigest = 0; ///< On an agent: `Exchange::assigned` of the last answer.
    std::size_t m_nextAttachment = 0; ///< On an agent: counter that selects the next attachment.
    std::vector<std::string> m_changedMembers; ///< Balancers whose entry in `m_members` is out of date.
    std::optional<Announcement> m_ownAnnouncement; ///< As last announced; none before the first.
    bool m_pushScheduled = false;
    bool m_notifyScheduled = false;
    bool m_isReplaced = false;
};

} // namespace oriolelever
