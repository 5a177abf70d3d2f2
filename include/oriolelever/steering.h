/// Decisions of a balancer about the packets of callers, on a platform whose backend servers decide
/// themselves which packets belong to their flows.
///
/// The balancer caches the holder of each flow, the agent whose server has it. When the cache has no holder
/// or a wrong one, the balancer searches: it queries agents for a note of the flow, then offers the packet to
/// one agent after another until a server keeps it. Nothing here does I/O or reads a clock: the caller passes
/// the time.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "oriolelever/peer-message.h"
#include "oriolelever/routing-table.h"
#include "oriolelever/segment.h"
#include "oriolelever/service-room.h"

namespace oriolelever {

/// Time limits and weights of the decisions. Loads are in flows per slot, see `loadOf`.
struct SteeringOptions
{
    ZoneId zone; ///< Availability zone of the balancer and of its callers.
    /// Period of the reports that this balancer asks for where it may place flows at any time.
    std::chrono::milliseconds reportPeriod{200};
    /// Period of the reports of other zones' agents while the own zone's servers can take the callers' flows.
    std::chrono::milliseconds remoteReportPeriod{1000};
    /// An agent is unreachable when its last report is this many periods old.
    double reportTimeoutPeriods = 3.5;
    /// Servers of a service that the own zone needs so that other zones' reports may be rarer: as many as a
    /// flow's key ranks.
    std::size_t minOwnZoneServers = 4;
    /// Requests per slot at which the own zone's servers are loaded on average, so that other zones' servers
    /// may be needed.
    double loadedRequestsPerSlot = 0.75;
    /// Age up to which an agent's list of flows from before a search keeps the agent from being offered the
    /// packet.
    std::chrono::milliseconds flowFilterLifetime{400};
    /// How long a new agent's first report is awaited: two report periods.
    std::chrono::milliseconds firstReportWait{400};
    /// An agent that has just started may not have written its entry in the platform's store yet.
    std::chrono::milliseconds entryCreationTimeout{3000};
    /// How long what the store has lost stays in force; about the time that the platform gives its own
    /// changes.
    std::chrono::milliseconds eraHoldTime{4000};
    /// An agent that has been unreachable for this long is not just restarting: it no longer keeps an unknown
    /// flow from being reset, and a balancer that gets no report for this long is isolated. A planned restart
    /// takes 0.65 s; this is more than twice that.
    std::chrono::milliseconds restartTimeout{1500};
    /// Replaces `restartTimeout` for an agent that has never reported, as hosts that are gone leave their
    /// entries. A planned restart takes 0.65 s, and a running agent answers a hello within 0.25 s.
    std::chrono::milliseconds neverReportedTimeout{1000};
    /// A packet that comes again this long after its offer is a retransmission: the agent has not responded.
    /// Also the delay between two searches for a flow. Shorter than a caller's first retransmission timeout,
    /// 200 ms.
    std::chrono::milliseconds searchRetryDelay{150};
    /// Delay after a search that stayed undecided; doubles with each further one. An agent that the platform
    /// restarts reports again before the third search, so a flow's packets are not offered to the other
    /// servers over and over.
    std::chrono::milliseconds undecidedRetryDelay{400};
    /// A caller that has sent nothing for this long has given up its unresolved flow.
    std::chrono::milliseconds unresolvedTimeout{3000};
    std::size_t maxUnresolvedFlows = 20'000; ///< Takes one megabyte.
    /// A repeated opening packet within this time belongs to the same attempt: callers give up opening a flow
    /// after 1.4 s.
    std::chrono::milliseconds openingTimeout{1500};
    /// Longest time in which packets from a stall are read after it; a queue that has been read ends it
    /// earlier.
    std::chrono::milliseconds stallBacklogTime{250};
    /// An opening packet that comes back after this long is refused, as another wait in an agent's queue
    /// would outlast the attempt of its caller.
    std::chrono::milliseconds openingRetryLimit{900};
    /// Idle time after which a flow is forgotten if the configuration has no idle limit.
    std::chrono::milliseconds defaultIdleLimit{30'000};
    /// A server that is preferred for its zone or rank is chosen while its load is at most the mean load of
    /// the service's servers times this factor, plus `zoneLoadOffset`.
    double zoneLoadFactor = 1.25;
    double zoneLoadOffset = 1.0; ///< Flows per slot.
    /// How long a restarted agent may take to discover its server: a heartbeat period of 1.2 s, and a report.
    std::chrono::milliseconds serverDiscoveryTimeout{1500};
    /// Flows per slot above which a server gets no new flows while most servers of its service are still
    /// being discovered.
    double discoveryLoadLimit = 4.0;
    PaceOptions pace; ///< Use of the capacity that agents have learned of their servers.
    double flowWeight = 1.0; ///< Load of an open flow.
    double requestWeight = 2.0; ///< Load of a running request, beside that of its flow.
    double coldWeight = 2.0; ///< Load of a flow on a cold server relative to a warm one.
    /// Added to the load of an unreliable server, in flows per slot: one that resets its requests at once has
    /// the least load otherwise, and gets all new flows.
    double unreliableLoad = 1.0;
    /// Room of the zones decides about new flows of routes that state terms; otherwise, and on all other
    /// routes, `chooseBackend` alone does.
    bool usesRooms = true;
    bool prefersRankedServers = true; ///< Those that a flow's key ranks first, see `rankedServerCount`.
    bool offersToSecondServer = true; ///< A busy server may return an opening packet once.
    bool sendsNotes = true; ///< To `noteAgentsFor`, of the holders of flows.
    bool requestsFlowFilters = true; ///< From agents, during searches.
    RoomOptions room;
    /// Agents of the list that have not reported yet, of which this many are kept at most: an entry may be
    /// another writer's. An agent beyond them becomes known with its first report.
    std::size_t maxUnreportedAgents = 16'384;
    /// After this long without an entry and without a report an agent is forgotten, unless a flow names it.
    /// One that has never reported is forgotten after `neverReportedTimeout`.
    std::chrono::milliseconds agentRetention{600'000};
};

/// Number of servers that a flow's key ranks first, in the balancer's zone and again in the other zones. A
/// new flow goes to one of them while its load is close to the lowest, so that a balancer without the flow in
/// its cache finds it with a few offers. Two choices balance well; more leave room for servers that accept no
/// flows.
constexpr std::size_t rankedServerCount = 4;

/// What a balancer knows of an agent and its backend server.
struct Backend
{
    IpAddress host;
    std::uint64_t hostHash = 0; ///< Hash of `host`, ranks the agent for a flow.
    Report report; ///< The latest.
    TimePoint reportedAt{}; ///< When `report` came; zero if none came, or none since a stall.
    TimePoint knownSince{}; ///< When the agent became known, or the end of the last stall.
    TimePoint agentStartedAt{}; ///< When the first report of the agent's current start came.
    std::uint32_t placedFlows = 0; ///< New flows that this balancer has sent there since `report`.
    /// Expected requests of the server at `backlogAt`: those of `report` and one for each flow placed since,
    /// less what the server has answered at its learned pace.
    double backlog = 0;
    TimePoint backlogAt{};
    std::optional<FlowFilter> heldFlowFilter; ///< The last that the agent sent in its current start.
    TimePoint heldFlowFilterAt{}; ///< When `heldFlowFilter` came.
    std::chrono::milliseconds reportPeriod{200}; ///< As the agent was asked.
    TimePoint reportPeriodSetAt{}; ///< When `reportPeriod` changed last.
    TimePoint helloSentAt{}; ///< When the last hello was sent to the agent.
    /// The server's pace per slot relative to the median of its service; 1 if they count as equal, or the
    /// server's pace is unknown. Set with each report.
    double relativePace = 1;
    /// Of the agent's former start, until a hello has returned it to the agent.
    std::optional<RememberedCapacity> rememberedCapacity;
    bool isListed = false; ///< The agent has an entry in the platform's store, by the last list.
    bool isEntryMissing = false; ///< The agent reports, but has no entry in the platform's store.
    bool hasReported = false; ///< A report has come, maybe before a stall.
    bool hasRefused = false; ///< The agent has returned an opening packet as full since `report`.
};

/// Number of agents that are queried for the note of a flow.
constexpr std::size_t noteQueryCount = 3;
/// Number of agents that keep the note of a flow: the first of those that are queried.
constexpr std::size_t noteReplicaCount = 2;

/// Position in `SteeringState::backends`.
using BackendIndex = std::uint16_t;
constexpr BackendIndex noBackend = UINT16_MAX;

/// A flow in the balancer's cache.
struct SteeredFlow
{
    /// Agent that gets the flow's packets: the holder, or during a search the agent that is being queried or
    /// offered the packet. `noBackend` before a search and after one that found no holder.
    BackendIndex holder = noBackend;
    TimePoint lastPacketAt{}; ///< When the caller's last packet came.
    TimePoint openedAt{}; ///< When the first opening packet came; zero if a search found the flow.
    /// False during a search and after one that found no holder. A holder that was only chosen for the
    /// opening packet, or named by a note, may turn out not to have the flow, see `isHolderConfirmed`.
    bool isHolderKnown = true;
    bool isNoteQueryPending = false; ///< The search is querying `holder` for a note.
    bool hasOfferedAcknowledgement = false; ///< `offeredAcknowledgement` is set.
    bool areNotesSent = false; ///< Agents keep notes of the holder.
    bool isUnresolved = false; ///< The flow's key is in `SteeringState::unresolvedFlows`.
    std::uint8_t undecidedSearches = 0; ///< Consecutive searches that stayed undecided.
    std::uint8_t fullReturns = 0; ///< How often agents have returned the opening packet as full.
    std::uint8_t noteQueries = 0; ///< How many agents of `noteAgentsFor` the search has gone through.
    std::uint32_t offeredSequence = 0; ///< Sequence of the packet that the search offered last.
    /// Acknowledgement of the packet that the holder got first; a different one in a later packet shows that
    /// the holder's server has answered.
    std::uint32_t offeredAcknowledgement = 0;
    /// When the caller first acknowledged an answer after its packets had gone to the holder; zero if it has
    /// not.
    TimePoint answeredAt{};
    TimePoint offeredAt{}; ///< When the search offered a packet last, or queried for a note.
    TimePoint searchEndedAt{}; ///< When the last search ended without a holder.
    TimePoint
        searchStartedAt{}; ///< When the first search since the holder was last known started; zero if none.
    /// Agents that returned a packet of the flow. They are not tried again, as flows never move to another
    /// server.
    std::vector<BackendIndex> rejectedBy;
    /// Agents that neither kept nor returned a packet of the current search.
    std::vector<BackendIndex> unresponsive;
};

/// What to do with a packet.
enum class SteeringAction : std::uint8_t {
    Forward, ///< Send it to an agent for its server.
    QueryNote, ///< Send it to an agent that may have a note of its flow.
    Reset, ///< Answer with a reset.
    Drop,
};

/// Why an action was chosen.
enum class SteeringCause : std::uint8_t {
    Known, ///< The cache has the flow's holder.
    Placed, ///< A new flow.
    Moved, ///< A new flow that another server rejected.
    QueryingNote, ///< The holder is unknown; an agent is queried for a note.
    Searching, ///< The packet goes to a noted holder, or is offered to the next server.
    NotReady, ///< Too little is known so far; the caller retransmits.
    Stalled, ///< An opening packet from before or during a stall of the balancer.
    NoRoute, ///< The configuration has no route for the virtual address.
    NoServer, ///< No server of the route accepts a new flow.
    NotHeld, ///< No server holds the flow.
    HolderLost, ///< The flow's holder has left, or its host is lost.
    Undecided, ///< No server is known to hold the flow, but some could not be ruled out.
    Overloaded, ///< No server of the service can start a request in the time that the caller has left.
    NotFromCaller, ///< Callers do not send such packets.
};

constexpr std::size_t steeringCauseCount = static_cast<std::size_t>(SteeringCause::NotFromCaller) + 1;
std::string_view toString(SteeringCause cause);

/// Numbers of agents whose servers may still hold an unknown flow, by reason. The flow is reset only if all
/// are zero.
struct UndecidedAgents
{
    std::uint16_t unresponsive = 0; ///< Neither kept nor returned the packet.
    std::uint16_t unreachable = 0; ///< Unreachable, but may only be restarting.
    std::uint16_t notOffered = 0; ///< Reachable, but not offered the packet yet.
    std::uint16_t staleReports = 0; ///< Their reports exclude the flow, but may be older than it.

    bool operator==(const UndecidedAgents &) const = default;
};

struct SteeringDecision
{
    SteeringAction action = SteeringAction::Drop;
    SteeringCause cause = SteeringCause::NotReady;
    BackendIndex backend
        = noBackend; ///< Receiver for `Forward` and `QueryNote`; the holder for `HolderLost`.
    /// Send notes that `backend` holds the flow to the first `noteReplicaCount` agents of `noteAgentsFor`.
    bool mustSendNotes = false;
    bool mayReturnBusy = false; ///< Of an opening packet: see `PeerHeader::mayReturnBusy`.
    ServiceId service; ///< Service that an opening packet is for; unset for other packets.
    UndecidedAgents undecidedAgents; ///< Set when a search ends as `Undecided`.
    TimePoint answeredAt{}; ///< Set for `HolderLost`, see `SteeredFlow::answeredAt`.
    /// The lost host that the flow's packets went to until now, without evidence that its server had the
    /// flow. Set when a search starts for that reason.
    BackendIndex unconfirmedHolder = noBackend;
};

/// What stays in force for `SteeringOptions::eraHoldTime` although the store, come back from an older copy,
/// lacks it: its writers are given that time to write it again.
struct EraHold
{
    std::uint64_t era = 0; ///< Latest era of the store that a configuration or the evacuations came from.
    std::uint64_t evacuationsEra = 0; ///< Of the evacuations.
    TimePoint until{}; ///< End of the time for this era.
    std::optional<RoutingTable> olderTable; ///< The store's configuration, while a later version is held.
    std::unordered_set<ZoneId> zones; ///< Of `SteeringState::evacuatedZones`, those that the store lacks.
};

/// Median pace per slot of a service's servers.
struct ServicePace
{
    double median = 0; ///< 0 if no server's pace is known.
    TimePoint calculatedAt{};
};

/// All that a balancer knows.
struct SteeringState
{
    SteeringOptions options;
    RoutingTable table; ///< The configuration in force.
    /// Of `table`, see `leastUrgentPriorities`.
    std::unordered_map<ServiceId, std::uint8_t> leastUrgent;
    bool hasTable = false; ///< `table` was read.
    bool hasAgentList = false; ///< The agents' entries in the platform's store were read.
    std::unordered_set<ZoneId> evacuatedZones; ///< Their servers get no new flows.
    bool hasEvacuations = false; ///< The evacuated zones were read.
    EraHold hold;
    std::vector<Backend> backends; ///< Positions change in `applyAgentList` alone.
    std::unordered_map<IpAddress, BackendIndex, AddressHash> backendByHost;
    std::size_t excludedAgents = 0; ///< Hosts of the last list beyond `maxUnreportedAgents`.
    /// When `excludedAgents` grew last. For a while the excluded hosts count as agents whose reports are
    /// awaited, as real agents may be among them.
    TimePoint agentsExcludedAt{};
    std::unordered_map<FlowKey, SteeredFlow> flows; ///< The cache.
    /// By the reports, calculated at most once in a report period for each service.
    std::unordered_map<ServiceId, ServicePace> servicePaces;
    /// Flows whose packets were dropped because their holder could not be determined.
    std::vector<FlowKey> unresolvedFlows;
    /// When the agents' datagrams came last in a full batch: reports may have been dropped before they were
    /// read.
    TimePoint lastBacklogAt{};
    /// Until then opening packets may be older than `openingTimeout`, see `handleStall`; zero if none is.
    TimePoint oldOpeningsUntil{};
    TimePoint lastSearchStartedAt{}; ///< When a search started last.
    TimePoint lastOfferAt{}; ///< When a search last offered a packet to an agent that no note named.
    std::uint32_t selectionCounter = 0; ///< Counts placements; varies the choice of service and tie-breaks.
    std::unordered_map<ServiceId, ServiceRoom> rooms; ///< Of services that a route with terms names.
    TimePoint roomsUpdatedAt{}; ///< When `updateRooms` last did.
    std::uint32_t zoneCounter = 0; ///< Counts flows that were placed by the zones' room.
};

/// Returns the agent on `host`, adding it if it is not known yet. `noBackend` if there is no place left.
BackendIndex findOrAddBackend(SteeringState &state, const IpAddress &host, TimePoint now);

/// What a list of agents has changed.
struct AgentListChange
{
    std::size_t excluded = 0; ///< Hosts that are not kept, see `SteeringOptions::maxUnreportedAgents`.
    std::size_t forgotten = 0; ///< Agents that were known and are no longer.
};

/// Applies the hosts of all agents that have an entry in the platform's store. Forgets agents that have none
/// and do not report, see `SteeringOptions::agentRetention`.
AgentListChange applyAgentList(SteeringState &state, const std::vector<IpAddress> &hosts, TimePoint now);

/// Whether hosts that are not kept may be agents which have not had `wait` for their first report.
bool awaitsExcludedAgents(const SteeringState &state, std::chrono::milliseconds wait, TimePoint now);

/// Whether each agent has reported or has had `firstReportWait` for it. Until then callers retransmit.
bool hasInitialReports(const SteeringState &state, TimePoint now);

/// Whether no agent is known, or none has reported for `restartTimeout`. An isolated balancer can serve
/// nobody, and cannot tell whether a flow's server is alive.
bool isIsolated(const SteeringState &state, TimePoint now);

/// Handles that the process has not run for `pause`. The agents' reports of that time are still unread, so
/// each agent again has `firstReportWait` to report. So are callers' packets: after a pause of
/// `openingTimeout` the opening packets among them are dropped, as most of their callers have given up or use
/// a flow that a copy has opened at another server.
void handleStall(SteeringState &state, Duration pause, TimePoint now);

/// The callers' packets that came during a stall have been read.
void endStall(SteeringState &state);

/// Applies an agent's report.
void applyReport(SteeringState &state, BackendIndex index, const Report &report, TimePoint now);

enum class TableOutcome {
    InForce,
    Older, ///< The store has replaced it before: ignored.
    /// A later version stays in force for now, as the store has come back from an older copy; see `EraHold`.
    Held,
};

/// Puts a configuration of the store in force, unless the outcome says otherwise.
TableOutcome applyTable(SteeringState &state, RoutingTable table, TimePoint now);
/// Applies the zones whose evacuation the store orders, as of `position`.
void applyEvacuations(SteeringState &state, std::unordered_set<ZoneId> zones, const StorePosition &position,
                      TimePoint now);
/// Ends the hold when its time is over; returns whether something else is in force then.
bool endHold(SteeringState &state, TimePoint now);

/// Returns the new flows per second that a cold server of the service may take: `factor` times the configured
/// rate plus `slack`. `noColdLimit` if no rate is configured, or the result exceeds what a hello can state.
std::uint32_t coldFlowLimit(const RoutingTable &table, ServiceId service, double factor, double slack);

/// Sets the period of reports that the agent is asked for.
void setReportPeriod(SteeringState &state, BackendIndex index, std::chrono::milliseconds period,
                     TimePoint now);

/// Returns the period of reports that each agent should have, in the order of `SteeringState::backends`. An
/// agent of another zone reports rarely while the own zone has enough servers of its service that are not
/// loaded, and no search for a flow is under way.
std::vector<std::chrono::milliseconds> reportPeriods(const SteeringState &state, TimePoint now);

/// Whether flows are being searched for which agents should name the flows that they hold.
bool needsFlowFilters(const SteeringState &state, TimePoint now);

/// Whether the agent should be asked for the flows that it holds: flows are being searched, and what it has
/// sent may be older than a search.
bool lacksFlowFilter(const SteeringState &state, const Backend &backend, TimePoint now);

/// Whether the agent's last report is younger than `reportTimeoutPeriods`.
bool isReachable(const SteeringState &state, const Backend &backend, TimePoint now);

/// Whether new flows of `service` may go to the server.
bool acceptsFlows(const SteeringState &state, const Backend &backend, ServiceId service, TimePoint now);

/// Returns the slots that the server is worth compared with the other servers of its service: the stated
/// slots times `Backend::relativePace`.
double effectiveSlots(const Backend &backend);

/// Returns, once, the capacity that a restarted agent is to get back.
std::optional<RememberedCapacity> takeRememberedCapacity(SteeringState &state, BackendIndex index);

/// Returns the server's load in flows per effective slot: open flows by its report, new flows from this
/// balancer since, and running requests, weighted by `requestWeight` and `coldWeight`.
double loadOf(const SteeringOptions &options, const Backend &backend);

/// Whether the servers of the service that recently started agents have still to discover outnumber those
/// that accept flows.
bool isDiscoveryPending(const SteeringState &state, ServiceId service, TimePoint now);

/// Returns the server for a new flow of `service`, leaving out those in `rejectedBy`; `noBackend` if none
/// accepts it. Takes the least loaded server of the first group whose load is acceptable, see
/// `zoneLoadFactor`: those of the balancer's zone that the flow's key ranks first, all of that zone, those of
/// all zones that the key ranks first; otherwise the least loaded of all. This serves ordinary load and
/// bursts alike.
BackendIndex chooseBackend(const SteeringState &state, ServiceId service, const FlowKey &flow,
                           const std::vector<BackendIndex> &rejectedBy, TimePoint now);

/// Brings `SteeringState::rooms` up to date if the last update is `RoomOptions::updatePeriod` old. Linear in
/// the number of agents; a placement calls it.
void updateRooms(SteeringState &state, TimePoint now);

/// Returns the server for a new flow of a route with terms: in the zone that the shares of `room` select, the
/// least loaded of those that the flow's key ranks first, or of all if these are loaded far above the zone's
/// mean. Requests that cannot be repeated avoid unreliable servers, see `Report::isUnreliable`, unless most
/// are. Falls back to `chooseBackend` if the zone has no server for the flow.
BackendIndex chooseByRoom(SteeringState &state, const ServiceRoom &room, const RouteTerms &terms,
                          ServiceId service, const FlowKey &flow, const std::vector<BackendIndex> &rejectedBy,
                          TimePoint now);

/// Returns the agents that are queried for the note of a flow, by preference; the first `noteReplicaCount` of
/// them keep it. Equal at all balancers that know the same agents. Unused places hold `noBackend`.
std::array<BackendIndex, noteQueryCount> noteAgentsFor(const SteeringState &state, const FlowKey &flow,
                                                       TimePoint now);

/// Whether the holder's server has shown that it has the flow: the caller has acknowledged an answer, and the
/// holder's agent has reported since and not returned the caller's packets. Without that the flow may be open
/// at another server, as its opening packet may have been delayed here while a copy went through another
/// balancer.
bool isHolderConfirmed(const SteeringState &state, const SteeredFlow &flow);

/// Decides about a packet that came from a caller. A flow on a lost host is reset at once if its holder is
/// confirmed, and searched otherwise.
SteeringDecision steerCallerPacket(SteeringState &state, const Segment &segment, TimePoint now);

/// Records that a busy server's agent returned an opening packet, and how many requests the server has.
void recordBusyServer(SteeringState &state, BackendIndex index, std::uint32_t pendingRequests);

/// Decides about a packet that the agent `from` returned. `holder` is the noted host if `reason` is `Noted`.
SteeringDecision steerReturnedPacket(SteeringState &state, const Segment &segment, BackendIndex from,
                                     ReturnReason reason, const IpAddress &holder, TimePoint now);

/// Returns resets for unresolved flows that, by the reports that came since, no agent can hold. Waiting for
/// the caller's next retransmission could take more than a second.
std::vector<FlowReset> resolveSearches(SteeringState &state, TimePoint now);

/// Removes flows from the cache that have been idle for longer than callers and servers keep them.
void expireFlows(SteeringState &state, TimePoint now);

} // namespace oriolelever
