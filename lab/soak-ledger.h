/// Judges a run by what callers, backend servers and the operator have seen.
///
/// The ledger knows nothing of the system's insides. Time is an argument, so that tests play events without
/// processes.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "oriolelever/flow.h"

namespace oriolelever::lab {

enum class Promise : std::uint8_t {
    OwnAnswers, ///< A caller gets what its flow's server wrote for it, and nothing else.
    Unaltered, ///< A server gets what a caller wrote.
    AtMostOnce, ///< A request runs once at most.
    FlowsKept, ///< An open flow whose server lives is not reset.
    FlowsReached, ///< Its packets do not go to other servers for long.
    Answered, ///< An opening packet is accepted or refused before its caller gives up.
    Draining, ///< A server that leaves gets no new flow.
    Evacuation, ///< Nor does a server of an evacuated zone.
    Routing, ///< A flow goes to a service that a configuration allowed.
    Configuration, ///< A configuration is in force in time, and never an older one after it.
    ColdPace, ///< A cold server gets no more flows than it bears.
    Recovery, ///< After the last fault everything is served again.
    Processes, ///< No process ends by itself or needs more memory than the smallest host has.
};

std::string_view toString(Promise promise);

/// Bounds of the promises; the figures are those of the first users' pages.
struct LedgerBounds
{
    std::chrono::milliseconds contact{4000}; ///< Without disturbance, for promises with a bound in time.
    std::chrono::milliseconds drain{3000};
    std::chrono::milliseconds apply{3000};
    std::chrono::milliseconds downgrade{250};
    std::chrono::milliseconds evacuation{5000};
    std::chrono::milliseconds stray{2000}; ///< For which a flow's packets may miss their server.
    std::chrono::milliseconds opening{1400}; ///< After which a caller gives up.
    double coldFactor = 1.5;
    double coldSlack = 5;
    double recovered = 0.99; ///< Share that is served after the recovery; the rest may be under way.
};

struct Violation
{
    Promise promise = Promise::OwnAnswers;
    TimePoint at{};
    std::string text;
};

/// A start of a backend server.
struct ServerStart
{
    std::string id;
    std::string node; ///< The agent beside it.
    std::string service;
    std::string zone;
    TimePoint coldUntil{};
    double coldPerSecond = 0;
};

class SoakLedger
{
public:
    explicit SoakLedger(const LedgerBounds &bounds);

    /// A fault on a process, its links or its host; the name "" stands for all of them.
    void disturb(const std::string &node, TimePoint from, TimePoint until);
    /// The same for work that the operator planned: promises with a bound in time wait, flows must survive.
    void disturbPlanned(const std::string &node, TimePoint from, TimePoint until);
    /// A fault of the store. Flows must survive it.
    void disturbStore(TimePoint from, TimePoint until);

    /// The store was back from an older copy at `from`; the operator had written everything again by `until`,
    /// from when on bounds in time count anew.
    void steppedBack(TimePoint from, TimePoint until);

    /// A process of the system starts; it may know older configurations than before.
    void processStarted(const std::string &node);
    void serverStarted(const ServerStart &server, TimePoint now);
    /// The server holds nothing any more.
    void serverEnded(const std::string &id, TimePoint now);
    /// An agent has acknowledged that the server leaves.
    void drainAcknowledged(const std::string &id, TimePoint now);
    void configured(std::uint64_t version, const std::map<Endpoint, std::string> &routes, TimePoint now);
    void evacuated(const std::string &zone, TimePoint now);
    void takenBack(const std::string &zone, TimePoint now);

    void openingSent(const FlowKey &flow, TimePoint now);
    /// A server accepts a flow that reached it by `balancer`.
    void openingTaken(const FlowKey &flow, const std::string &server, const std::string &balancer,
                      TimePoint now);
    /// The caller gave up: neither accepted nor refused.
    void openingIgnored(const FlowKey &flow, const std::string &balancer, TimePoint now);
    /// The flow's server has the end of the handshake.
    void flowOpened(const FlowKey &flow, const std::string &server, TimePoint now);
    /// An end of the flow has closed it.
    void flowClosed(const FlowKey &flow);
    /// A packet of an open flow reached its server, or another one.
    void packetArrived(const FlowKey &flow, const std::string &server, const std::string &balancer,
                       TimePoint now);
    /// The caller got a reset that its server did not write, sent by the process `sender`.
    void resetArrived(const FlowKey &flow, const std::string &sender, TimePoint now);

    void requestRan(const FlowKey &flow, std::uint32_t number, const std::string &server, TimePoint now);
    void answerArrived(const FlowKey &flow, bool isOwn, TimePoint now);
    void packetAltered(const std::string &server, TimePoint now);
    void processEnded(const std::string &node, const std::string &how, TimePoint now);
    void memorySeen(const std::string &node, std::uint64_t bytes, std::uint64_t limit, TimePoint now);
    /// What callers got between the end of the recovery and the end of the run.
    void endedWith(std::uint64_t served, std::uint64_t asked, TimePoint now);

    const std::vector<Violation> &violations() const
    {
        return m_violations;
    }

    /// How often each promise was put to the test; one that never was is not shown to hold.
    std::uint64_t judged(Promise promise) const
    {
        const auto found = m_judged.find(promise);
        return found == m_judged.end() ? 0 : found->second;
    }

private:
    struct Span
    {
        TimePoint from{};
        TimePoint until{};
    };

    struct Server
    {
        ServerStart start;
        bool ended = false;
        TimePoint drainAcknowledged{};
        std::deque<TimePoint> coldOpenings;
    };

    struct Flow
    {
        std::string server;
        TimePoint sent{}; ///< The opening packet.
        bool open = false;
        int strays = 0;
        TimePoint firstStray{};
    };

    struct Version
    {
        std::uint64_t number = 0;
        TimePoint acknowledged{};
        std::map<Endpoint, std::string> routes;
    };

    /// The oldest version that explains what a balancer has done.
    struct Shown
    {
        std::uint64_t version = 0;
        TimePoint at{};
    };

    bool isDisturbed(const std::map<std::string, std::vector<Span>> &spans, const std::string &node,
                     TimePoint from, TimePoint until) const;
    /// Without unplanned faults for `contact`.
    bool isCalm(const std::string &node, TimePoint now) const;
    /// Without any disturbance for `contact`.
    bool isInTouch(const std::string &node, TimePoint now) const;
    bool isStoreCalm(TimePoint since, TimePoint now) const;
    /// Whether the store may lack, at `now`, what it has lost by a step back.
    bool isSteppedBack(TimePoint now) const;
    /// When what the store acknowledged at `acknowledged` was last written, as of `now`.
    TimePoint lastWritten(TimePoint acknowledged, TimePoint now) const;
    /// From when the bound of a version counts, as of `now`: what was written last, or the end of the store's
    /// last fault.
    TimePoint dueSince(TimePoint acknowledged, TimePoint now) const;
    void judge(Promise promise, bool holds, TimePoint now, const std::string &text);
    void judgeRoute(const FlowKey &flow, const Server &server, const std::string &balancer, TimePoint sent,
                    TimePoint now);
    void judgeCold(Server &server, TimePoint sent, TimePoint now);

    LedgerBounds m_bounds;
    std::map<std::string, std::vector<Span>> m_faults;
    std::map<std::string, std::vector<Span>> m_planned;
    std::vector<Span> m_storeFaults;
    std::vector<Span> m_stepsBack;
    std::map<std::string, Server> m_servers;
    std::map<std::string, TimePoint> m_evacuated;
    std::vector<Version> m_versions;
    std::map<std::string, Shown> m_shown; ///< By balancer.
    std::unordered_map<FlowKey, Flow> m_flows;
    std::set<std::pair<std::uint64_t, std::uint32_t>> m_ran; ///< Flows' hashes and requests' numbers.
    std::map<Promise, std::uint64_t> m_judged;
    std::vector<Violation> m_violations;
};

} // namespace oriolelever::lab
