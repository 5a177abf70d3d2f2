/// Admission control of an agent for its backend server, and the agent's state of that server.
///
/// Every packet for the server passes its agent, so the guarantees of the server need no agreement between
/// nodes: a draining server gets no new flows, and a cold one no more of them than it can handle. The
/// functions do no I/O and read no clock: time is an argument.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "oriolelever/flow-registry.h"
#include "oriolelever/peer-message.h"
#include "oriolelever/request-schedule.h"
#include "oriolelever/segment.h"
#include "oriolelever/server-capacity.h"

namespace oriolelever {

/// Heartbeat of a backend server.
struct ServerHeartbeat
{
    std::string id; ///< Instance id of the server.
    std::uint64_t startTimeMs
        = 0; ///< Start of the server, Unix milliseconds by the host's clock; grows with each start.
    std::uint64_t sequence = 0; ///< Increases with each heartbeat since this start, from 1.
    std::string service;
    std::string zone;
    bool draining = false;
    std::uint16_t slots = 1; ///< Requests that the server processes concurrently.
    std::chrono::milliseconds coldLeft{0}; ///< Remaining slow start; 0 once the server is warm.
};

/// Thresholds of the gate.
struct GateOptions
{
    /// Of the server; heartbeats that name another one are not the server's. Unset if it is not known: the
    /// first heartbeat then names it.
    ServiceId service;
    ZoneId zone; ///< Used until the first heartbeat, which names the server's zone.
    /// Window of the limit on new flows of a cold server: one second and the delay of a packet to the server.
    std::chrono::milliseconds coldRateWindow{1100};
    /// Flows by which the gate stays below the limit of a cold server, if that leaves any.
    std::uint32_t reservedColdFlows = 1;
    /// Time without an answer to an opening packet before the server is suspect; a server answers within a
    /// few milliseconds.
    std::chrono::milliseconds openingTimeout{100};
    /// Time without any packet of the server after payload before the server is suspect.
    std::chrono::milliseconds requestTimeout{400};
    /// Shortest time from the end of an agent to the start of the next one on its host. A server that started
    /// less than this before the agent has got no flow through an earlier agent.
    std::chrono::milliseconds minAgentDowntime{400};
    std::chrono::milliseconds endedFlowRetention{5000}; ///< Longer than a caller retransmits its last packet.
    /// For notes and for flows that were lost at a restart; longer than the 60 s for which flows are
    /// preserved.
    std::chrono::milliseconds noteRetention{75000};
    std::size_t maxNotes = 20000; ///< Bounds the notes to two megabytes.
    std::chrono::milliseconds heartbeatTimeout{3000}; ///< Two and a half heartbeat periods of 1.2 s.
    std::chrono::milliseconds defaultIdleTimeout{15'000}; ///< Where the configuration states none.
    /// Until a balancer has stated whether there is one: longer than flows are idle in use.
    std::chrono::milliseconds unstatedIdleTimeout{300'000};
    /// Requests per slot with which the server is busy: one that runs and one that waits for it.
    std::uint32_t busyRequestsPerSlot = 2;
    /// How long a new flow counts as a request before its first one arrives: several round trips to a caller.
    std::chrono::milliseconds firstRequestTimeout{100};
    /// A request that has had no answer for longer no longer counts: its caller has given up, or its answer
    /// was not recognized.
    std::chrono::milliseconds maxRequestTime{10'000};
    /// A caller that owes a packet for longer is silent, see `isCallerSilent`: three retransmissions of the
    /// server (after 200, 400 and 800 ms) have gone unanswered.
    std::chrono::milliseconds callerResponseTimeout{1400};
    ScheduleOptions schedule;
    /// How long a priority that a flow has shown counts, see `isScheduling`. Rare urgent requests arrive at a
    /// server whose queue is full if it is shorter than the pauses between them.
    std::chrono::milliseconds priorityRetention{60'000};
    /// A request that has been with the server for longer than this, and for `overdueWorkTimes` of the usual
    /// time, does not keep others from being started: its caller may be gone, or a packet of it lost.
    std::chrono::milliseconds overdueTime{400};
    int overdueWorkTimes = 8; ///< Beyond the longest requests, which take seven times the mean.
    /// After the last answer, for which the usual time of a request is used.
    std::chrono::milliseconds paceRetention{10'000};
    /// Flows that the server resets instead of answering their requests, without an answer in between, before
    /// it is failing.
    std::uint32_t maxConsecutiveResets = 3;
    /// How long a failing server gets no new flows; doubles up to `maxEjection` while it goes on failing.
    std::chrono::milliseconds firstEjection{1000};
    std::chrono::milliseconds maxEjection{8000};
    /// How long a server that has reset a request is unreliable, see `isUnreliable`. Longer than the pauses
    /// of a server that goes down and up by turns.
    std::chrono::milliseconds unreliableTime{10'000};
};

/// A flow of the server.
struct HeldFlow
{
    /// Sequence of the server's SYN+ACK; valid while `halfOpen` or `isOpen`.
    std::uint32_t serverInitialSequence = 0;
    bool halfOpen = false; ///< The server has answered the opening packet, the caller has not acknowledged.
    bool isOpen = false; ///< The caller has acknowledged the server's SYN+ACK.
    bool openingUnanswered = false; ///< An opening packet was delivered and not answered.
    bool callerClosed = false; ///< The caller has sent its FIN.
    bool serverClosed = false; ///< The server has sent its FIN.
    bool ended = false; ///< Closed by both ends, or by a reset.
    bool requestUnanswered = false; ///< Payload of the caller was delivered and has no answer yet.
    bool firstRequestExpected = false; ///< Counted in `GateState::expectedRequests`.
    bool isRequestHeld = false; ///< A request of it waits in `GateState::schedule`.
    bool isRequestOverdue = false; ///< Counted in `GateState::overdueRequests`.
    std::uint16_t requestsAtStart = 0; ///< Requests with the server when this one started, itself included.
    RouteTerms terms; ///< Of the last packet that stated any.
    std::uint32_t lastCallerAcknowledgement = 0; ///< Acknowledgement number of the caller's last packet.
    TimePoint lastPacketAt{}; ///< Last packet of either end.
    TimePoint openingDeliveredAt{}; ///< First opening packet; valid while `openingUnanswered`.
    TimePoint requestStartedAt{}; ///< First packet of the request; valid while `requestUnanswered`.
    bool hasRequested = false; ///< The caller has sent payload.
    /// Since when the caller owes a packet: an acknowledgement of what the server has sent, or the first
    /// request of the flow. Unset while it owes none.
    TimePoint callerDueSince{};
};

/// Record of which agent's server holds a flow, sent by a balancer.
struct FlowNote
{
    IpAddress holder; ///< Address of the agent.
    TimePoint recordedAt{};
};

/// State of an agent's backend server and its flows.
struct GateState
{
    GateOptions options;
    TimePoint agentStartedAt{};
    std::chrono::milliseconds agentStartTimeOfDay{0}; ///< `agentStartedAt` as Unix time by the host's clock.
    BackendState serverState = BackendState::Unknown;
    ServerHeartbeat lastHeartbeat; ///< The last one that was accepted.
    TimePoint lastHeartbeatAt{}; ///< When `lastHeartbeat` arrived; unset before the first one.
    /// Start time and sequence of the last heartbeat whose server start precedes that of `lastHeartbeat`. The
    /// current start may have the earlier time if the host's clock was set back; a further heartbeat of that
    /// start then shows it.
    std::uint64_t earlierStartTimeMs = 0;
    std::uint64_t earlierStartSequence = 0;
    TimePoint coldUntil{}; ///< End of the server's slow start, by its last heartbeat.
    std::uint32_t coldFlowsPerSecond = 0; ///< Of a cold server; 0 until a balancer has stated it.
    /// Idle time after which a flow may be forgotten, as balancers have stated; unset before.
    std::optional<std::chrono::milliseconds> idleTimeout;
    /// Times of the opening packets that were delivered within `coldRateWindow` while a limit for cold
    /// servers applied.
    std::deque<TimePoint> recentOpenings;
    std::uint32_t waitingFlows = 0; ///< Flows with `requestUnanswered`.
    std::uint32_t endedFlows = 0; ///< Flows with `ended`.
    std::uint32_t silentFlows
        = 0; ///< Flows whose caller was silent at the last `countSilentFlows`; may be old.
    std::uint32_t expectedRequests = 0; ///< Flows with `firstRequestExpected`.
    /// Flows that were opened within `firstRequestTimeout`, and when; may name flows that are gone.
    std::deque<std::pair<TimePoint, FlowKey>> openedFlows;
    std::uint32_t consecutiveResets = 0; ///< Requests that ended in a reset since the server's last answer.
    std::uint32_t ejections = 0; ///< Since the server's last answer.
    TimePoint ejectedUntil{}; ///< End of the last ejection.
    TimePoint requestResetAt{}; ///< When the server reset a request last; unset if it has not.
    DocumentRevisions documents; ///< The latest that balancers have stated.
    RequestSchedule schedule; ///< Work that waits until the server is no longer busy.
    std::uint32_t overdueRequests = 0; ///< Flows with `isRequestOverdue`.
    std::uint32_t openings = 0; ///< Opening packets that have arrived since the agent's start; wraps.
    /// When a packet last showed each priority; unset if none has since the server's start.
    std::array<TimePoint, lowestPriority + 1> priorityShownAt{};
    Duration usualWork{0}; ///< Moving mean of the time for which a request occupies a slot; 0 if unknown.
    TimePoint usualWorkAt{}; ///< Last answer in `usualWork`.
    TimePoint unansweredOpeningSince{}; ///< First opening packet since the server's last packet; else unset.
    TimePoint unansweredPayloadSince{}; ///< First payload since the server's last packet; else unset.
    std::unordered_map<FlowKey, HeldFlow> flows;
    bool hasSeenServerStart = false; ///< The agent has run since the server's start: `flows` is complete.
    TimePoint serverStartSeenAt{}; ///< First heartbeat of that start; set while `hasSeenServerStart`.
    /// Flows that ended with an earlier start of the server, and when.
    std::unordered_map<FlowKey, TimePoint> lostFlows;
    std::unordered_map<FlowKey, FlowNote> notes; ///< Flows of any agent's server.
    CapacityEstimator capacity; ///< What the server handles well; see `learnedCapacity`.
};

/// What happens to a packet.
enum class GateAction : std::uint8_t {
    Deliver, ///< To the server.
    Return, ///< To the balancer.
    Queue, ///< An opening packet waits in `GateState::schedule`; the caller of `admit` adds it.
    Hold, ///< A packet of an open flow waits in `GateState::schedule`; the caller of `admit` adds it.
    Drop,
};

struct GateDecision
{
    GateAction action = GateAction::Drop;
    ReturnReason reason = ReturnReason::NotHeld; ///< Valid for `Return`.
};

/// Decides about a caller's packet, and updates the flow if the packet is delivered. `intendedService` is the
/// service that the balancer chose the server for. A busy server's opening packet is returned if
/// `mayReturnBusy`, and otherwise waits. `terms` are those of the packet's route, the default if none are
/// known.
GateDecision admit(GateState &state, const Segment &segment, ServiceId intendedService, TimePoint now,
                   bool mayReturnBusy = false, const RouteTerms &terms = {});

/// Number of requests that the server has, including those that it will get right after a flow was opened.
std::uint32_t pendingRequests(GateState &state, TimePoint now);

/// Requests that the server answers well at a time.
std::uint32_t concurrencyLimit(const GateState &state);

/// Requests that the server may have at a time while `isScheduling`: `concurrencyLimit` and half as many
/// again, so that it is never idle between an answer and the next request.
std::uint32_t workLimit(const GateState &state);

/// How fast the server answers; zero if it has not answered for `GateOptions::paceRetention`.
SchedulePace currentPace(const GateState &state, TimePoint now);

/// Whether the server's flows have lately shown at least two priorities. Only then requests of open flows are
/// held, and the server gets no more work than it can start.
bool isScheduling(const GateState &state, TimePoint now);

/// Whether the server has as much work as it may get: `workLimit` while `isScheduling`;
/// `GateOptions::busyRequestsPerSlot` otherwise.
bool isBusy(GateState &state, TimePoint now);

/// Marks requests that have been with the server for too long, see `GateOptions::overdueTime`. Call it while
/// work waits, at intervals well below that time.
void markOverdueRequests(GateState &state, TimePoint now);

/// Whether the caller of an open flow has given up without a word: it has owed a packet for longer than
/// `GateOptions::callerResponseTimeout`, or its request has been unanswered for longer than its time limit. A
/// packet of a caller that owed one ends its silence.
bool isCallerSilent(const GateOptions &options, const HeldFlow &flow, TimePoint now);

/// Brings `GateState::silentFlows` up to date. Linear in the number of flows.
void countSilentFlows(GateState &state, TimePoint now);

/// Whether the server has been ejected because it resets flows, see `GateOptions::maxConsecutiveResets`, or
/// has still to show by one request that it answers again.
bool isFailing(GateState &state, TimePoint now);

/// Whether the server has reset a request within `GateOptions::unreliableTime`. Requests that cannot be
/// repeated are lost with such a reset, so that their flows go to other servers while there are any.
bool isUnreliable(const GateState &state, TimePoint now);

/// The capacity that the agent has learned of its server: pace, concurrency, evidence and usual time of an
/// answer, all zero if nothing is known. The other fields are unused.
const ServerCapacity &learnedCapacity(const GateState &state);

/// Updates the learned capacity while no packets come; call it with each tick.
void updateCapacity(GateState &state, TimePoint now);

/// Decides about an opening packet that has waited: whether it is delivered, or returned since the server has
/// changed meanwhile.
GateDecision admitQueued(GateState &state, const WaitingWork &opening, TimePoint now);

/// Updates the flow for a held packet that is delivered now.
void recordRelease(GateState &state, const Segment &segment, TimePoint now);

/// Removes the held request of a flow that has ended; returns false if there is none.
bool dropHeldRequest(GateState &state, const FlowKey &flow, WaitingWork &out);
/// Drops a held request whose caller must have given up, see `takeLostRequest`; returns false if there is
/// none.
bool dropLostRequest(GateState &state, TimePoint now, WaitingWork &out);

/// The learned capacity and what waits for the server, as reports state them.
ServerCapacity reportedCapacity(const GateState &state, TimePoint now);

/// Latencies of the server that a packet completes; unset where it completes none.
struct ServerLatencies
{
    std::optional<Duration> opening; ///< From the first opening packet to its answer.
    std::optional<Duration> answer; ///< From a request's first packet to the first packet of the answer.
};

/// Updates the flow of a packet that the server sent to a caller.
ServerLatencies recordServerPacket(GateState &state, const Segment &segment, TimePoint now);

/// Updates the state for a caller's packet that the server returned; returns why it did. The reason follows
/// from the packet: a server returns an opening packet if it is full, any other if it does not hold the flow.
ReturnReason recordReturnedPacket(GateState &state, const Segment &segment);

/// Removes all flows and returns resets for the callers of the established ones. Call it only once the server
/// has ended: nobody answers on its flows any more, and a caller that gets a reset can open another flow
/// before its next request.
std::vector<FlowReset> removeAllFlows(GateState &state, TimePoint now);

enum class HeartbeatOutcome : std::uint8_t {
    Accepted, ///< Updates the state of the same server start.
    First, ///< Accepted; the first since the agent's start. Flows in the state are those of this server.
    Restarted, ///< Accepted; the server has restarted. Flows still in the state are those of its earlier
               ///< start.
    StateChanged, ///< Accepted; the server's state has changed.
    Stale, ///< Ignored: of an earlier start, overtaken by a later heartbeat, or after the server left.
    OtherService, ///< Ignored: names another service than `GateOptions::service`.
};

/// The name as logs have it.
std::string_view toString(HeartbeatOutcome outcome);

/// Applies a heartbeat unless it is stale or of another service. `timeOfDay` is the Unix time by the host's
/// clock.
HeartbeatOutcome applyHeartbeat(GateState &state, ServerHeartbeat heartbeat, TimePoint now,
                                std::chrono::milliseconds timeOfDay);

/// Records that the server with this instance id has left. Returns false if another server is present.
bool applyDeparture(GateState &state, std::string_view id);

/// True if the server has exceeded a timeout, so that its agent should probe it by a connection.
bool isSuspect(const GateState &state, TimePoint now);

/// Records the result of a probe. A server that accepted the connection is slow, not lost; any other is
/// `BackendState::Silent` until its next heartbeat or its departure.
void recordProbe(GateState &state, bool accepted);

/// True if the server may get another flow now: it is warm, has no stated limit or is below it.
bool hasColdCapacity(const GateState &state, TimePoint now);

/// Records the holder of a flow; ignored if `maxNotes` others are kept.
void recordNote(GateState &state, const FlowKey &flow, const IpAddress &holder, TimePoint now);
/// The recorded holder, null if there is none.
const IpAddress *notedHolder(const GateState &state, const FlowKey &flow);

/// Limits of the configuration that a balancer has in force.
struct FlowLimits
{
    std::uint32_t coldFlowsPerSecond = noColdLimit; ///< New flows of a cold server.
    std::chrono::milliseconds idleLimit{0}; ///< 0 if the configuration states none.

    bool operator==(const FlowLimits &) const = default;
};

/// Puts in force what balancers have stated. Balancers may have different versions of the configuration for a
/// while: the longest idle limit and the lowest rate count, as a flow that is forgotten too early is reset.
/// If none has stated anything, what is in force stays.
void applyLimits(GateState &state, const std::vector<FlowLimits> &stated);

/// Removes flows that were idle for longer than callers and servers keep them, and expired notes. Returns how
/// many of the flows had not ended.
std::size_t expireEntries(GateState &state, TimePoint now);

/// Returns the established flows of the server for a balancer that keeps them, those used last first; none
/// while the agent does not know its server, or may not know most of its flows yet.
std::optional<ServerFlows> listFlows(const GateState &state, TimePoint now);

/// The report for balancers. `lifetime` identifies the agent's start. Names the server's flows if `withFlows`
/// and the agent knows all of them.
Report makeReport(GateState &state, std::uint64_t lifetime, TimePoint now, bool withFlows);

} // namespace oriolelever
