/// What a balancer does with each packet of a caller where backend servers judge their own flows.
///
/// The balancer remembers which agent a flow's packets go to. That memory is a cache: when it is lost or
/// wrong, the packet is offered to the agents in turn until one keeps it. The functions are pure: time is an
/// argument.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "oriolelever/peer-message.h"
#include "oriolelever/routing-table.h"
#include "oriolelever/segment.h"

namespace oriolelever {

/// Thresholds of the steering functions.
struct SteeringOptions
{
    ZoneId zone; ///< Availability zone of the balancer and of its callers.
    std::chrono::milliseconds silentAfter{700}; ///< Three and a half report periods without a report.
    std::chrono::milliseconds settleTime{400}; ///< Two report periods, for the first report of an agent.
    std::chrono::milliseconds entryTime{3000}; ///< An agent that has just started may not have its entry yet.
    /// A silent agent no longer keeps an unknown flow from being reset, and a balancer that hears none is cut
    /// off: twice the 0.65 s of a planned restart.
    std::chrono::milliseconds lostAfter{1500};
    /// The same for an agent that was never heard: hosts that are gone leave their entries. A planned restart
    /// takes 0.65 s, and an agent that runs answers a hello within 0.25 s.
    std::chrono::milliseconds neverHeardAfter{1000};
    std::chrono::milliseconds searchPause{150}; ///< Shorter than a caller's first retransmission, 200 ms.
    /// After a search that stayed undecided; doubles with each. An agent that the platform restarts is heard
    /// again before the third search, so that a flow's packets are not offered to other servers again and
    /// again.
    std::chrono::milliseconds undecidedPause{400};
    /// Callers that repeat nothing for this long have given up.
    std::chrono::milliseconds unresolvedTime{3000};
    std::size_t maxUnresolved = 20'000; ///< A megabyte.
    std::chrono::milliseconds openingLimit{1500}; ///< Callers give up opening a flow after 1.4 s.
    std::chrono::milliseconds defaultIdleLimit{30'000}; ///< Where the configuration names none.
    double zoneMargin = 1.25; ///< Load relative to the best server up to which the own zone is preferred.
    double zoneSlack = 1.0; ///< Flows per slot that are added to that load.
    /// A server that a restarted agent has not heard yet is awaited for a heartbeat period, 1.2 s, and a
    /// report.
    std::chrono::milliseconds awaitTime{1500};
    double awaitedLoad
        = 4.0; ///< Flows per slot that a server gets while most others of its service are awaited.
    double waitingWeight = 2.0; ///< Load of a running request relative to an open flow.
    double coldWeight = 2.0; ///< Load of a flow on a cold server relative to a warm one.
};

/// Servers that a flow's key ranks first, of the balancer's zone and of the others. New flows go to one of
/// them while it is nearly as good as the best, so that a balancer that remembers nothing finds a flow by a
/// few offers. Two choices balance well; more leave room for servers that take no flows.
constexpr std::size_t rankedChoices = 4;

/// An agent and its backend server as a balancer knows them.
struct Backend
{
    IpAddress host;
    std::uint64_t hash = 0; ///< Of `host`, for `directoriesOf`.
    Report report;
    TimePoint reported{}; ///< When `report` came; never if zero.
    TimePoint introduced{}; ///< When the agent became known.
    TimePoint started{}; ///< When the first report of the agent's present start came.
    std::uint32_t placed = 0; ///< Flows placed there by this balancer since `report`.
    bool missing = false; ///< Was heard before the entries in the platform's store were listed, and has none.
};

/// Agents that are asked for a note; the first `noteCopies` of them are told.
constexpr std::size_t noteAgents = 3;
constexpr std::size_t noteCopies = 2;

using BackendIndex = std::uint16_t;
constexpr BackendIndex noBackend = UINT16_MAX;

/// A flow in the balancer's cache.
struct SteeredFlow
{
    BackendIndex holder = noBackend; ///< Where its packets go.
    TimePoint lastPacket{};
    TimePoint opened{}; ///< First opening packet; zero if the flow was found by a search.
    bool found = true; ///< The holder has placed it or kept it; otherwise a search is going on.
    bool asking = false; ///< The search asks an agent for a note; `holder` is that agent.
    bool heardCaller = false; ///< `offeredAcknowledgement` is set.
    bool answered = false; ///< The caller has acknowledged an answer of the holder.
    bool noted = false; ///< Notes of the holder were sent.
    bool unresolved = false; ///< Its key is in `SteeringState::unresolved`.
    std::uint8_t undecided = 0; ///< Searches in a row that stayed undecided.
    std::uint8_t asked = 0; ///< Agents that the search has asked for a note.
    std::uint32_t offeredSequence = 0; ///< Of the packet that the holder was offered.
    std::uint32_t offeredAcknowledgement = 0; ///< Of the same packet; it grows once the server answers.
    TimePoint offered{};
    TimePoint exhausted{}; ///< When the last search ended without a holder.
    TimePoint sought{}; ///< When the first search began since the holder was known.
    std::vector<BackendIndex>
        tried; ///< Agents that gave back a packet of it; flows never move to another server.
    std::vector<BackendIndex>
        mute; ///< Agents that neither kept nor gave back a packet of the present search.
};

enum class SteeringAct : std::uint8_t {
    Forward,
    Ask, ///< Send the packet to an agent that may have a note of its flow.
    Reset,
    Drop,
};

enum class SteeringCause : std::uint8_t {
    Known, ///< The cache has the flow's holder.
    Placed, ///< A new flow.
    Moved, ///< A new flow that another server did not take.
    Asking, ///< The holder is not known; an agent is asked for a note.
    Searching, ///< Nobody has a note; the packet is offered to the next server.
    NotReady, ///< No configuration yet.
    NoRoute, ///< The configuration has no such address.
    NoServer, ///< No server of the service takes a flow.
    NotHeld, ///< No server holds the flow.
    Undecided, ///< Nobody holds the flow, but an agent could not be asked.
    NotFromCaller, ///< A packet that callers do not send.
};

constexpr std::size_t steeringCauseCount = static_cast<std::size_t>(SteeringCause::NotFromCaller) + 1;
std::string_view toString(SteeringCause cause);

/// What keeps a flow of which nothing is known from being reset, in agents.
struct SearchObstacles
{
    std::uint16_t mute = 0; ///< Neither kept nor gave back its packet.
    std::uint16_t away = 0; ///< Cannot be asked, but may be back soon.
    std::uint16_t open = 0; ///< May hold it and were not asked yet.
    std::uint16_t awaited = 0; ///< Lack it, by reports that may be older than the flow.

    bool operator==(const SearchObstacles &) const = default;
};

struct SteeringDecision
{
    SteeringAct act = SteeringAct::Drop;
    SteeringCause cause = SteeringCause::NotReady;
    BackendIndex backend = noBackend; ///< Of `Forward` and `Ask`.
    bool note = false; ///< The agents of `directoriesOf` are to note that `backend` holds the flow.
    ServiceId service; ///< Service meant by an opening packet.
    SearchObstacles obstacles; ///< Of a packet that is dropped as `Undecided` after a search.
};

struct SteeringState
{
    SteeringOptions options;
    RoutingTable table;
    bool configured = false; ///< `table` was read.
    bool rosterKnown = false; ///< The agents' entries in the platform's store were read.
    std::unordered_set<ZoneId> evacuated; ///< Zones whose servers get no new flows.
    std::vector<Backend> backends;
    std::unordered_map<IpAddress, BackendIndex, AddressHash> byHost;
    std::unordered_map<FlowKey, SteeredFlow> flows;
    std::vector<FlowKey>
        unresolved; ///< Flows whose packets were dropped because nobody could say who has them.
    std::uint32_t turn = 0; ///< Varies choices between equals.
};

/// The agent on `host`, made known if it was not.
BackendIndex backendOn(SteeringState &state, const IpAddress &host, TimePoint now);

/// Takes the hosts of all agents that have entries in the platform's store.
void takeRoster(SteeringState &state, const std::vector<IpAddress> &hosts, TimePoint now);

/// Whether each agent has reported or had time for a first report; callers repeat their packets meanwhile.
bool isSettled(const SteeringState &state, TimePoint now);

/// Whether no agent is known, or none has been heard for longer than all of them need to restart. Such a
/// balancer can serve nobody, and cannot tell whether a flow's server lives.
bool isCutOff(const SteeringState &state, TimePoint now);

/// The process did not run for a while: agents have reported meanwhile, and are heard as soon as it reads on.
void noteStandstill(SteeringState &state, TimePoint now);

/// Takes what an agent says of itself.
void takeReport(SteeringState &state, BackendIndex index, const Report &report, TimePoint now);

/// Puts a configuration in force; false if it is older than the one in force.
bool takeTable(SteeringState &state, RoutingTable table);

/// Whether the agent was heard lately.
bool isHeard(const SteeringState &state, const Backend &backend, TimePoint now);

/// Whether new flows of `service` may go to the server.
bool takesFlows(const SteeringState &state, const Backend &backend, ServiceId service, TimePoint now);

/// Load per slot as this balancer sees it.
double loadOf(const SteeringOptions &options, const Backend &backend);

/// Whether most servers of the service are about to be heard by agents that have just started.
bool isAwaited(const SteeringState &state, ServiceId service, TimePoint now);

/// The server for a new flow of `service`, `noBackend` if none takes it. Answers the ordinary load and
/// bursts: the least loaded of the servers that the flow's key ranks first, one of the balancer's own zone if
/// it is nearly as good; any other one if it is much better.
BackendIndex chooseBackend(const SteeringState &state, ServiceId service, const FlowKey &flow,
                           const std::vector<BackendIndex> &tried, TimePoint now);

/// Agents that keep the notes of a flow, the same at every balancer that knows the same agents; unused places
/// hold `noBackend`.
std::array<BackendIndex, noteAgents> directoriesOf(const SteeringState &state, const FlowKey &flow,
                                                   TimePoint now);

/// Decides about a packet that came from a caller.
SteeringDecision steerCallerPacket(SteeringState &state, const Segment &segment, TimePoint now);

/// Decides about a packet that the agent `from` gave back.
/// `holder` is the host that a reason of `Noted` names.
SteeringDecision steerReturned(SteeringState &state, const Segment &segment, BackendIndex from,
                               ReturnReason reason, const IpAddress &holder, TimePoint now);

/// Resets flows that were undecided when their packets came, and that no agent can hold by what all have
/// reported since. A caller's next repetition may be more than a second away.
std::vector<FlowReset> concludeSearches(SteeringState &state, TimePoint now);

/// Forgets flows that were silent for longer than callers and servers keep them.
void expireFlows(SteeringState &state, TimePoint now);

} // namespace oriolelever
