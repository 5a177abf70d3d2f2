/// What an agent lets through to its backend server, and what it knows of it.
///
/// Every packet for the server passes here, so that promises about the server need no agreement: a draining
/// server gets no new flows, a cold one no more than it bears. The functions are pure: time is an argument.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "oriolelever/peer-message.h"
#include "oriolelever/segment.h"

namespace oriolelever {

/// What a backend server says of itself.
struct ServerHeartbeat
{
    std::string id;
    std::uint64_t bornAt = 0; ///< Start of the server, Unix milliseconds; later starts have larger ones.
    std::uint64_t sequence = 0; ///< Increases with each heartbeat of one start.
    std::string service;
    std::string zone;
    bool draining = false;
    std::uint16_t slots = 1;
    std::chrono::milliseconds coldLeft{0};
};

/// Thresholds of the gate.
struct GateOptions
{
    ServiceId service; ///< Service of the settings, until the server names its own.
    ZoneId zone;
    std::chrono::milliseconds coldWindow{
        1100}; ///< A second and the delay of a packet on its way to the server.
    std::uint32_t coldReserve = 1; ///< Flows kept free under the limit.
    std::chrono::milliseconds answerLimit{100}; ///< A server answers an opening packet in a few milliseconds.
    std::chrono::milliseconds requestLimit{400}; ///< Payload without any packet of the server.
    std::chrono::milliseconds restartTime{400}; ///< No agent ran on the host for this long before a start.
    std::chrono::milliseconds endedLimit{5000}; ///< Longer than a caller repeats its last packet.
    std::chrono::milliseconds noteLimit{75000}; ///< Longer than the 60 s for which flows are kept whole.
    std::chrono::milliseconds filterTime{
        60'000}; ///< After a server's start, for as long as flows are kept whole.
    std::size_t maxNotes = 20000; ///< Two megabytes.
    std::chrono::milliseconds heartbeatLimit{3000}; ///< Two and a half periods of 1.2 s.
    std::chrono::milliseconds defaultIdleLimit{15'000}; ///< Where no balancer has named one.
};

/// A flow of the server.
struct HeldFlow
{
    std::uint32_t initialSequence = 0; ///< Of the server, while the flow is half open.
    bool halfOpen = false;
    bool opening = false; ///< An opening packet was delivered and not answered.
    bool callerEnded = false;
    bool serverEnded = false;
    bool ended = false; ///< By both ends or by a reset.
    bool waiting = false; ///< A request has no answer yet.
    std::uint32_t lastAcknowledgement = 0; ///< Of the caller.
    TimePoint lastPacket{};
    TimePoint openingSince{}; ///< First opening packet, while `opening`.
    TimePoint waitingSince{}; ///< First packet of the request, while `waiting`.
};

/// Which agent's server has a flow, as a balancer told.
struct FlowNote
{
    IpAddress holder;
    TimePoint noted{};
};

struct GateState
{
    GateOptions options;
    TimePoint started{}; ///< Start of the agent.
    std::chrono::milliseconds startedAt{0}; ///< The same by the time of day, since 1970.
    BackendState server = BackendState::Unknown;
    ServerHeartbeat heartbeat; ///< The last one taken.
    TimePoint heard{}; ///< When it came.
    /// A start that is earlier by its own account than the one in `heartbeat`, as last heard.
    std::uint64_t earlierBornAt = 0;
    std::uint64_t earlierSequence = 0;
    TimePoint coldUntil{};
    std::uint32_t coldFlowsPerSecond = 0; ///< Nothing is known before a balancer has told.
    std::chrono::milliseconds idleLimit{0};
    static constexpr std::size_t coldRing = 64; ///< Largest number of openings that are counted in a second.
    std::array<TimePoint, coldRing> openings{};
    std::size_t nextOpening = 0;
    std::uint32_t waiting = 0; ///< Flows whose `waiting` is set.
    std::uint32_t ended = 0; ///< Flows whose `ended` is set.
    TimePoint unansweredOpening{}; ///< First opening packet since the server's last packet.
    TimePoint unansweredPayload{}; ///< First payload since the server's last packet.
    std::unordered_map<FlowKey, HeldFlow> flows;
    bool sawStart = false; ///< The agent has run since before the server's start: `flows` lacks none.
    TimePoint startSeen{}; ///< When `sawStart` was last set.
    std::unordered_map<FlowKey, TimePoint>
        lost; ///< Flows that ended with an earlier start of the server, and when.
    std::unordered_map<FlowKey, FlowNote> notes; ///< Flows of any server.
};

enum class GateAct : std::uint8_t { Deliver, Return, Drop };

struct GateDecision
{
    GateAct act = GateAct::Drop;
    ReturnReason reason = ReturnReason::NotHeld; ///< Of `Return`.
};

/// Decides about a caller's packet; `meant` is the service that the balancer meant.
GateDecision admit(GateState &state, const Segment &segment, ServiceId meant, TimePoint now);

/// How long the server took; absent where a packet ends no wait.
struct ServerTimes
{
    std::optional<Duration> opening; ///< From the opening packet to its answer.
    std::optional<Duration> answer; ///< From a request's first packet to the first packet of the answer.
};

/// Notes a packet that the server sent to a caller.
ServerTimes noteServerPacket(GateState &state, const Segment &segment, TimePoint now);

/// Notes that the server gave a packet back; returns why.
ReturnReason noteBounce(GateState &state, const Segment &segment);

/// Forgets all flows; returns the resets for the callers of those that were open. Only for a server that has
/// ended: nobody answers on its flows any more, and a caller that is told can open another one before its
/// next request.
std::vector<FlowReset> endAllFlows(GateState &state, TimePoint now);

enum class HeartbeatOutcome : std::uint8_t {
    Taken,
    First, ///< Taken; the agent had heard no server before. Flows that are known are the server's.
    NewStart, ///< Taken; the server has started anew. Flows that are still known are those of its earlier
              ///< start.
    Changed, ///< Taken; the server's state has changed.
    Outdated, ///< Of an earlier start, or overtaken by a later one.
};

std::string_view toString(HeartbeatOutcome outcome);

/// `timeOfDay` is the time since 1970 by the host's clock.
HeartbeatOutcome takeHeartbeat(GateState &state, ServerHeartbeat heartbeat, TimePoint now,
                               std::chrono::milliseconds timeOfDay);

/// The server has left. False if the call is of another server than the present one.
bool takeDeparture(GateState &state, std::string_view id);

/// The server does not answer: a reason to try a connection to it.
bool isSuspect(const GateState &state, TimePoint now);

/// Notes the outcome of such a connection. A server that accepts it is slow, not lost.
void noteProbe(GateState &state, bool accepted);

/// New flows that the server bears now, if it is cold.
bool hasColdRoom(const GateState &state, TimePoint now);

/// Remembers the holder of a flow; drops it if `maxNotes` are kept.
void takeNote(GateState &state, const FlowKey &flow, const IpAddress &holder, TimePoint now);
/// The noted holder, null if there is none.
const IpAddress *notedHolder(const GateState &state, const FlowKey &flow);

/// Forgets flows that were silent for longer than callers and servers keep them.
void expireFlows(GateState &state, TimePoint now);

Report reportOf(const GateState &state, std::uint64_t lifetime, TimePoint now);

} // namespace oriolelever
