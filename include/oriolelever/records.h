/// The records that a process has in force and their dissemination between processes.
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
constexpr auto forcePath = "/in-force";

} // namespace detail

struct RecordsOptions
{
    std::string name; ///< Of this process.
    NodeRole role = NodeRole::Agent;
    std::string zone;
    std::string service; ///< Of an agent; empty for a balancer.
    std::vector<Endpoint> seeds; ///< Processes to join through.
    std::chrono::milliseconds pushDelay{20}; ///< Changes within this time travel together.
    std::chrono::milliseconds watcherTurn{150}; ///< Between the turns of the platform's watchers.
    std::chrono::milliseconds exchangeInterval{1000}; ///< Between comparisons with another process.
    std::chrono::milliseconds callTimeout{1000};
    std::chrono::milliseconds watchWait{20000}; ///< Longest wait of one watch of the platform.
    std::size_t watchersPerZone = 2; ///< Balancers of a zone that watch the platform.
    std::size_t attachments = 3; ///< Balancers that an agent attaches to.
};

/// Options from `[process]`, `[control]` and `[server]`.
RecordsOptions recordsOptions(const Settings &settings);

/// Versioned records of this process. Balancers hold every record and forward changes to their neighbours in
/// the logical hypercube; an agent attaches to a few balancers and holds what concerns its service.
/// All calls and callbacks on the control thread.
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
    /// Starts without a kernel; `platform` may be null.
    void startOn(asio::io_context &context, Streams &streams, ObjectApi *platform);
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

    /// Calls `subscriber` after each change of the view.
    void subscribe(Subscriber subscriber);

    /// Puts this process's announcement in force under a version later than any seen, and spreads it. The
    /// process repeats it under a later version when another one accuses it.
    void announce(Announcement announcement);

    /// Puts a record in force if it is later, and spreads it. A record of this process is announced instead.
    void publish(const Record &record);

    /// Declares all nodes of a zone but `loss.alive` as down, by one message to each node.
    void publishLoss(const ZoneLoss &loss);

    /// Asks every live node whether it has `version` of `key` or a later one in force.
    void inForce(const RecordKey &key, const RecordVersion &version, std::function<void(ForceReport)> done);

    /// Exchanges records with a process, as with a seed.
    void meet(const Endpoint &peer);

    /// True when a later start of this process's name was found at another address; it no longer announces.
    bool replaced() const
    {
        return m_replaced;
    }

    /// Live balancers by label, from the view.
    const std::vector<Member> &members()
    {
        refreshMembers();
        return m_members;
    }

    /// Agents that are attached to this balancer, by name.
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
    /// How a record came here.
    enum class Origin {
        Own, ///< Made here: spread to all.
        Platform, ///< Spread to all, unless another watcher's broadcast comes first.
        Push, ///< Passed on along the dimensions from `depth` on.
        Repair, ///< By comparison: others find it the same way.
    };

    struct Source
    {
        Origin origin = Origin::Own;
        std::string from; ///< Who sent it; empty for this process.
        unsigned depth = 0;
    };

    /// A change to be passed on along the dimensions of `part`.
    struct Pending
    {
        Record record;
        std::optional<ZoneLoss> loss; ///< In place of a record.
        BroadcastPart part;
        TimePoint due;
        bool waiting = false; ///< Dropped if another broadcast of it comes before `due`.
    };

    /// A change to be told to the agents attached here.
    struct AgentPending
    {
        Record record;
        std::string from;
    };

    bool apply(const Record &record, const Source &source);
    void applyAll(const std::vector<Record> &records, const Source &source);
    void applyLosses(const std::vector<ZoneLoss> &losses, const Source &source);
    void spread(const Record &record, const Source &source);
    Duration watcherDelay(std::uint64_t change) const;
    void noteOwn(const Record &record);
    void notify();
    void refreshMembers();
    void schedulePush();
    void push();
    std::vector<Pending> takeDue(TimePoint now);
    void pushAsAgent(const std::vector<Pending> &pending);
    void pushAlongEdges(const std::vector<Pending> &pending);
    void pushToAgents();
    void pushTo(std::vector<Endpoint> peers, const Exchange &message);
    void scheduleExchange();
    void exchange();
    void exchangeWith(const Endpoint &peer, Exchange request, int messages);
    void takeAnswer(const Endpoint &peer, const Exchange &answer, int messages);
    void answerWithOwn(const Endpoint &peer, const Exchange &answer);
    void handleExchange(const std::string &body, const Streams::Reply &reply);
    Exchange answer(const Exchange &request);
    Exchange answerAgent(const Exchange &request);
    Exchange openScoped();
    std::optional<Endpoint> choosePeer();
    void attach();
    void serveForce(const std::string &body, const Streams::Reply &reply);
    void collectForce(const ForceQuestion &question, std::function<void(ForceReport)> done);
    void askDelegate(const ForceQuestion &question, std::vector<Member> range,
                     std::function<void(ForceReport)> done);
    void askAgents(const ForceQuestion &question, const std::shared_ptr<ForceGathering> &gathering);
    void startWatch();

    RecordsOptions m_options;
    RecordTable m_table;
    Streams *m_streams = nullptr;
    ObjectApi *m_platform = nullptr;
    asio::io_context *m_context = nullptr;
    std::unique_ptr<asio::steady_timer> m_pushTimer;
    std::unique_ptr<asio::steady_timer> m_exchangeTimer;
    std::shared_ptr<PlatformWatch> m_watch;
    std::shared_ptr<bool> m_alive;
    std::minstd_rand m_random;
    std::vector<Subscriber> m_subscribers;
    std::vector<Record> m_changed; ///< Not yet told to subscribers.
    std::vector<Pending> m_pending; ///< Not yet sent to neighbours.
    std::vector<AgentPending> m_agentPending;
    std::vector<ZoneLoss> m_agentLosses;
    Broadcasts m_broadcasts;
    std::deque<std::uint64_t> m_seenLosses;
    std::vector<Member> m_members;
    std::map<std::string, Endpoint> m_attachedAgents;
    std::map<std::string, std::string> m_attachedServices; ///< Service of each attached agent.
    std::map<std::string, TimePoint> m_attachedHeard;
    std::vector<Member> m_attachments;
    std::map<Endpoint, TimePoint> m_unreachable; ///< Balancers that did not answer this agent, and when.
    std::size_t m_fleetSize = 0; ///< Members, as an agent was told.
    std::uint64_t m_assigned = 0; ///< Digest of the balancers that this agent was told to attach to.
    std::size_t m_turn = 0; ///< Attachment that is compared with next.
    std::vector<std::string> m_changedMembers; ///< Balancers whose entry in `m_members` is out of date.
    std::optional<Announcement> m_own;
    bool m_pushScheduled = false;
    bool m_notifyScheduled = false;
    bool m_replaced = false;
};

} // namespace oriolelever
