/// The directory of an agent: a map from the live flows of its buckets to their servers, and the handover of
/// buckets between agents.
///
/// An agent owns a bucket while its roster says so. It places new flows of the bucket only after every
/// reachable peer has granted it the bucket. A peer that grants a bucket has stopped placing flows of it and
/// has sent the flows that it knows. A grant is valid until the grantee grants the bucket back, so at most
/// one of two agents has the other's grant, whatever their rosters say. The functions do no I/O: time is an
/// argument, and `Effects` lists what the caller has to send.
#pragma once

#include <deque>
#include <random>
#include <unordered_map>
#include <vector>

#include "oriolelever/capacity.h"
#include "oriolelever/placement.h"

namespace oriolelever {

/// Why a packet was sent to an agent; the values are on the wire.
enum class PacketPurpose : std::uint8_t {
    Route = 0, ///< The receiver owns the bucket according to the sender's roster.
    Place = 1, ///< The owner placed this new flow at the receiver's server.
    Forward = 2, ///< The receiver is the holder of the flow according to the sender's directory.
    Return = 3, ///< Back to the owner: the sender does not have the flow or cannot accept it.
};

/// Input of a routing decision: a packet with the fields of its encapsulation.
struct PacketInfo
{
    FlowKey flow;
    ServiceId service; ///< From the encapsulation.
    Incarnation targetIncarnation = 0; ///< From the encapsulation: the intended receiver; 0 when unknown.
    std::uint64_t rosterVersion = 0; ///< From the encapsulation: the roster that the sender routed by.
    PacketPurpose purpose = PacketPurpose::Route;
    std::uint8_t hops = 0; ///< How many agents have forwarded the packet.
    ServerId fromServer; ///< Agent that sent the packet; 0 for a balancer.
    bool opens = false; ///< May open a flow: TCP SYN without ACK, or any UDP packet.
    bool closes = false; ///< Ends the flow: TCP FIN or RST.
};

enum class PacketAction : std::uint8_t {
    Deliver, ///< To the local server.
    Forward, ///< To another agent.
    Hold, ///< Keep the packet under `Verdict::holdId` until `Effects::released` names it.
    Reset, ///< Send the caller a reset: the flow does not exist.
    Drop,
};

enum class DropReason : std::uint8_t {
    None,
    WrongService, ///< The packet is for another service than the agent's; the sender is notified.
    ZoneOut, ///< The agent's zone is out, or no server of the service is reachable.
    TooManyHops, ///< Agents have forwarded the packet as often as allowed.
    HoldFull, ///< `DirectoryOptions::holdLimit` packets are held already.
    HoldExpired, ///< Held for `DirectoryOptions::holdTime` without a decision.
    AwaitingHolder, ///< The flow may be at a server that was recently found dead; the caller retransmits.
    Late, ///< The packet may have been queued while this process was paused.
};

constexpr std::size_t dropReasonCount = 8;
/// Returns the name of the reason in metrics.
std::string_view toString(DropReason reason);

/// What to do with one packet.
struct Verdict
{
    PacketAction action = PacketAction::Drop;
    DropReason reason = DropReason::None; ///< Drop: why.
    ServerId to; ///< Forward: the receiving agent.
    Endpoint toEndpoint; ///< Forward: where that agent receives encapsulated packets.
    Incarnation toIncarnation = 0; ///< Forward: that agent's incarnation.
    PacketPurpose purpose = PacketPurpose::Route; ///< Forward: to put in the encapsulation.
    std::uint8_t hops = 0; ///< Forward: hop count to put in the encapsulation.
    std::uint64_t holdId = 0; ///< Hold: identifies the held packet until it is released.
};

/// One flow as an agent reports it to another.
struct FlowNote
{
    Endpoint caller;
    ServerId holder;
    bool confirmed = false; ///< The sender of the note is the holder itself.
    bool closing = false; ///< TCP: a FIN, a RST or the server's close was seen. UDP: no recent packet.

    bool operator==(const FlowNote &) const = default;
};

/// Requests the grants of buckets, and the flows in them.
struct GrantRequestMessage
{
    std::uint64_t sequence = 0; ///< Grows with each attempt.
    std::uint32_t bucketCount = 0; ///< Buckets of the service by the sender's roster.
    bool isRecovering = false; ///< The sender lost its state: reply also with the flows of its own server.
    std::vector<BucketIndex> buckets;

    bool operator==(const GrantRequestMessage &) const = default;
};

/// One part of the reply for one bucket. The reply counts once all its parts of one sequence have arrived.
struct BucketReply
{
    BucketIndex bucket = 0;
    bool granted = false; ///< False when the sender keeps the bucket.
    std::uint16_t partIndex = 0; ///< From 0.
    std::uint16_t partCount = 1; ///< At most `maxReplyParts`.
    std::vector<FlowNote> flows;

    bool operator==(const BucketReply &) const = default;
};

/// Replies to a `GrantRequestMessage`; one request may need several of them.
struct GrantReplyMessage
{
    std::uint64_t sequence = 0; ///< Of the request.
    std::uint32_t bucketCount = 0; ///< Buckets of the service by the sender's roster.
    std::vector<BucketReply> buckets;

    bool operator==(const GrantReplyMessage &) const = default;
};

/// Changes to the replica of the sender's local flows, from which a restarted sender recovers them; or the
/// acknowledgement of such changes.
struct ReplicaMessage
{
    std::uint64_t sequence = 0; ///< Of the batch; an acknowledgement repeats it.
    bool isAck = false; ///< Acknowledges the batch `sequence`.
    bool isFirstOfFull = false; ///< A full replica begins: discard the earlier one.
    std::vector<Endpoint> callers; ///< Flows that the sender's server has.
    std::vector<Endpoint> endedCallers; ///< Flows that it no longer has.

    bool operator==(const ReplicaMessage &) const = default;
};

/// The load and the limits of the sender's server, from which peers choose servers for new flows.
struct LoadMessage
{
    std::uint32_t openFlows = 0;
    std::uint32_t flowLimit = 0; ///< Flows that the server may have at its current warm fraction.
    std::uint16_t warmPermille = 0; ///< `SlowStart::warmFraction` of the sender, in thousandths.
    /// Warm fraction that the receiver last sent to the sender, in thousandths; 0 when unknown. A restarted
    /// receiver continues its slow start from it.
    std::uint16_t receiverWarmPermille = 0;
    /// The sender's roster now names the receiver as owner of buckets of the sender: retry the denied grant
    /// requests.
    bool hasLostBuckets = false;

    bool operator==(const LoadMessage &) const = default;
};

/// Flows of the receiver's buckets that the sender's server no longer has.
struct ClosedFlowsMessage
{
    std::vector<Endpoint> callers;

    bool operator==(const ClosedFlowsMessage &) const = default;
};

enum class DirectoryMessageKind : std::uint8_t {
    GrantRequest = 1,
    GrantReply = 2,
    Load = 3,
    ClosedFlows = 4,
    Replica = 5
};

/// One datagram between agents of a service; `kind` says which of the parts is set. Datagrams may be lost,
/// duplicated and delayed.
struct DirectoryMessage
{
    ServiceId service;
    Incarnation fromIncarnation = 0;
    Incarnation toIncarnation = 0; ///< 0 when the sender does not know it.
    std::uint64_t rosterVersion = 0; ///< Of the sender's roster.
    std::uint32_t generation = 0; ///< How often the sender's roster has lost the receiver as unreachable.
    DirectoryMessageKind kind = DirectoryMessageKind::Load;
    GrantRequestMessage grantRequest;
    GrantReplyMessage grantReply;
    LoadMessage load;
    ClosedFlowsMessage closedFlows;
    ReplicaMessage replica;

    bool operator==(const DirectoryMessage &) const = default;
};

/// What the caller of a directory function has to do.
struct Effects
{
    /// A held packet and the verdict on it.
    struct Released
    {
        std::uint64_t holdId = 0;
        Verdict verdict;
    };

    /// A message to send to the agent of server `to`.
    struct Outgoing
    {
        ServerId to;
        Endpoint endpoint; ///< Where that agent receives encapsulated packets.
        DirectoryMessage message;
    };

    Verdict verdict; ///< On the packet that was passed to `handleFlowPacket`.
    /// The sender routed the packet by an old roster, to an old incarnation or to the wrong service: notify
    /// it of this agent's service and roster version.
    bool isSenderStale = false;
    std::vector<Released> released; ///< Held packets that are decided or expired.
    std::vector<Outgoing> messages;

    /// Removes all effects and keeps the allocated memory.
    void clear();
};

/// Identity, time limits and other settings of a directory.
struct DirectoryOptions
{
    ServerId self;
    ServiceId service;
    Incarnation incarnation = 0;
    std::uint64_t seed = 0; ///< Of the random choice of servers.
    /// First wait for the reply to a grant request, doubled with each retry up to `retryIntervalMax`; also
    /// the wait for the acknowledgement of a replica batch.
    Duration retryInterval = std::chrono::milliseconds(20);
    Duration retryIntervalMax = std::chrono::milliseconds(640);
    Duration holdTime = std::chrono::milliseconds(500); ///< Longest time that a packet is held.
    std::size_t holdLimit = 1024; ///< Packets held at once.
    Duration loadInterval = std::chrono::milliseconds(200); ///< Between rounds of load messages.
    std::size_t loadFanout = 16; ///< Peers that receive a load message in one round.
    Duration idleTimeout = std::chrono::hours(2); ///< A flow is removed after this time without packets.
    /// A UDP flow no longer counts as load after this time without packets.
    Duration udpIdleTimeout = std::chrono::seconds(3);
    Duration closingTimeout = std::chrono::seconds(60); ///< As `idleTimeout`, for a flow that is closing.
    /// After a pause longer than this between ticks the agent discards its grants and requests them again.
    /// Must be shorter than the time in which the members find a node dead.
    Duration leaseTime = std::chrono::milliseconds(400);
    /// For this long after such a pause, arriving packets may have been queued during it.
    Duration staleWindow = std::chrono::milliseconds(100);
    /// Before a reset, the peers are queried again if their last query is older than this.
    Duration verifyInterval = std::chrono::seconds(1);
    /// Longest wait of a change of a flow for its replica message.
    Duration replicaDelay = std::chrono::milliseconds(100);
    Duration fullReplicaInterval = std::chrono::minutes(10); ///< Between full replicas of the local flows.
    /// For this long after its start the agent resets no unknown flows: its peers may not have reported yet.
    Duration startResetHoldoff = std::chrono::seconds(5);
    /// For this long after a peer was found dead no unknown flows are reset: its server may return with them.
    Duration deadPeerResetHoldoff = std::chrono::seconds(15);
    bool serverMayHaveFlows = true; ///< The server may have flows from before this process started.
    bool warm = false; ///< The server is warm at the start of the process.
};

struct EndpointHash
{
    std::size_t operator()(const Endpoint &endpoint) const noexcept
    {
        return static_cast<std::size_t>(hashFlow({.caller = endpoint}));
    }
};

/// One flow in the directory, found by its caller.
struct FlowEntry
{
    ServerId holder; ///< Its server has the flow.
    TimePoint lastSeen; ///< When a packet or a message about the flow last came.
    BucketIndex bucket = 0;
    bool confirmed = false; ///< Known from the holder or by own placement, not from a third agent.
    bool closing = false; ///< TCP: a FIN, a RST or the server's close was seen. UDP: no recent packet.
    bool isReplica = false; ///< Kept so that the holder can recover the flow after a restart.
};

/// A grant that a peer has been or will be requested to give, for one bucket.
struct PendingGrant
{
    std::uint64_t sequence = 0; ///< Of the last request that named the bucket; 0 before the first.
    std::uint64_t receivedParts = 0; ///< Bit set of the reply's parts, by their index.
    bool isDenied = false; ///< The peer replied without a grant: it may place flows of the bucket itself.
};

/// State of another agent of the service.
struct PeerState
{
    Incarnation incarnation = 0;
    bool reachable = false; ///< According to the roster in force.
    std::vector<bool> granted; ///< By bucket: the peer has granted it and has not got it back.
    std::unordered_map<BucketIndex, PendingGrant> pendingGrants;
    std::uint64_t sentSequence = 0; ///< Of the last grant request to the peer.
    std::uint64_t receivedSequence = 0; ///< Of the last grant request from the peer's incarnation.
    TimePoint requestSentAt; ///< When the last grant request to the peer was sent.
    Duration retryDelay{0}; ///< From `requestSentAt` to the next grant request; 0 sends it at once.
    std::uint32_t generation = 0; ///< How often the roster has lost the peer as unreachable.
    std::uint32_t receivedGeneration = 0; ///< Highest generation that the peer's incarnation has sent.
    std::uint32_t openFlows = 0; ///< From its last load message, as the next two.
    std::uint32_t flowLimit = 0; ///< Lowered to `openFlows` when the peer returns a new flow.
    double warmFraction = 0;
    double flowsPlacedSinceLoad = 0; ///< Flows placed there since its last load message.
    bool hasLoad = false; ///< A load message came since the peer last started or became unreachable.
    std::uint64_t replicaSequence = 0; ///< Of the last replica batch stored for the peer's incarnation.
    TimePoint replicaDutyEndedAt; ///< When a roster last made another agent the peer's replica peer.
    bool isDown = false; ///< Unreachable in state `Down`, not by its zone or by leaving the roster.
    TimePoint unreachableAt; ///< When the roster last lost it as unreachable.
};

/// Replication of the local flows to another agent, one acknowledged batch after the other.
struct ReplicationState
{
    struct FlowUpdate
    {
        Endpoint caller;
        bool ended = false; ///< The local server no longer has the flow.
    };

    ServerId replicaPeer; ///< The agent that keeps the replica; 0 when no peer is reachable.
    std::deque<FlowUpdate> queued; ///< Not yet sent.
    std::vector<FlowUpdate> inFlight; ///< The last batch, until it is acknowledged.
    std::uint64_t sequence = 0; ///< Of the last batch.
    bool isFirstOfFull = false; ///< The batch in flight, or else the next one, begins a full replica.
    bool isAwaitingAck = false; ///< The last batch is not yet acknowledged.
    Incarnation replicaPeerIncarnation = 0; ///< A full replica is sent when it changes.
    TimePoint sentAt; ///< When the last batch was last sent.
    TimePoint fullReplicaStartedAt;
};

/// A packet that waits for a decision.
struct HeldPacket
{
    std::uint64_t holdId = 0;
    PacketInfo packet;
    TimePoint deadline; ///< The packet is dropped from then on.
};

/// Totals since the start of the process: packets, or flows where said so.
struct DirectoryCounters
{
    std::uint64_t delivered = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t held = 0; ///< Each held packet counts once.
    std::uint64_t resets = 0;
    std::uint64_t placedLocally = 0; ///< New flows placed at the local server.
    std::uint64_t placedAtPeer = 0; ///< New flows placed at other servers.
    std::uint64_t refusedNewFlows = 0; ///< New flows that no server could accept.
    std::array<std::uint64_t, dropReasonCount> drops{}; ///< By `DropReason`.
};

/// State of the directory of one agent. Use the functions below to change it.
struct Directory
{
    DirectoryOptions options;
    std::shared_ptr<const ServiceRoute> route; ///< The roster in force; null before the first.
    std::unordered_map<Endpoint, FlowEntry, EndpointHash>
        flows; ///< By caller; all are of the agent's service.
    std::unordered_map<ServerId, PeerState, std::hash<ServerId>> peers;
    std::deque<HeldPacket> heldPackets; ///< Oldest first.
    std::uint64_t nextHoldId = 1;
    std::vector<std::uint32_t> missingGrants; ///< By bucket: how many reachable peers have not granted it.
    std::vector<TimePoint> verifiedAt; ///< By bucket: when all peers were last queried before a reset.
    std::vector<ServerId> formerOwner; ///< By bucket: the owner before the last change of owner.
    std::uint32_t localFlows = 0; ///< Flows of the local server that are not closing.
    ReplicationState replication;
    SlowStart slowStart; ///< Of the local server.
    FlowRateLimit flowRateLimit; ///< Of new flows at the local server.
    std::mt19937_64 random;
    TimePoint startedAt;
    TimePoint lastTickAt; ///< Of the last tick, or of the pause noticed since.
    TimePoint staleUntil; ///< Packets that arrive before this may have been queued during a pause.
    TimePoint loadSentAt; ///< When the last round of load messages was sent.
    TimePoint lastExpiryAt; ///< When expired flows were last removed.
    std::vector<Endpoint> closedPeerFlows; ///< Local flows in peers' buckets that closed since the last tick.
    std::size_t loadCursor = 0; ///< Where in the roster the next round of load messages begins.
    bool hasRoster = false; ///< A first roster has been applied.
    bool recovering = true; ///< The server may have flows that this process does not know.
    bool isWarmFractionRecovered = false; ///< A peer has returned the warm fraction from before the start.
    bool hasAllReplies = false; ///< Every peer has replied with the flows that it knows of the server.
    DirectoryCounters counters;
    std::vector<Candidate> candidates; ///< Reused memory of a choice of server.
    std::vector<ServerId> candidateIds; ///< By index in `candidates`.
};

/// Makes an empty directory. It places no flows before its first roster, and resets no flows that its server
/// may have.
Directory makeDirectory(const DirectoryOptions &options, TimePoint now);

/// Decides on one packet; `effects.verdict` says what to do with it. Does not allocate in the steady state.
void handleFlowPacket(Directory &directory, const PacketInfo &packet, TimePoint now, Effects &effects);
/// Handles a datagram of the agent of server `from`; one of an older incarnation is ignored.
void handleDirectoryMessage(Directory &directory, ServerId from, const DirectoryMessage &message,
                            TimePoint now, Effects &effects);
/// Puts a roster in force, also one of an older version than the current one.
void applyDirectoryRoster(Directory &directory, std::shared_ptr<const ServiceRoute> route, TimePoint now,
                          Effects &effects);
/// Sends retries and periodic messages, releases held packets and removes expired flows; call it every 10 to
/// 50 ms.
void handleDirectoryTick(Directory &directory, TimePoint now, Effects &effects);
/// Updates the slow start from an answer of the local server.
void recordLocalAnswer(Directory &directory, const AnswerSample &sample, TimePoint now);
/// Records that the local server no longer has the flow.
void handleLocalClose(Directory &directory, const FlowKey &flow, TimePoint now);

/// Returns whether the agent may place new flows of the bucket: it owns it and every reachable peer has
/// granted it.
bool canPlace(const Directory &directory, BucketIndex bucket);
/// Replicates new flows without delay from now on; the process may stop as soon as `isFullyReplicated`.
void prepareForStop(Directory &directory);
/// Returns whether another agent knows every flow of the local server, so that the process can be replaced.
bool isFullyReplicated(const Directory &directory);
/// Returns how many flows the local server may have at its current warm fraction; 0 when it accepts none.
std::uint32_t localFlowLimit(const Directory &directory);
/// Returns the estimated memory of the directory in bytes, for capacity planning.
std::size_t stateBytes(const Directory &directory);

/// Most parts of the reply for one bucket; `PendingGrant::receivedParts` has a bit for each.
constexpr std::size_t maxReplyParts = 64;
/// Largest encoded message, which leaves room for the encapsulation in one datagram.
constexpr std::size_t maxDirectoryMessageBytes = 1200;

} // namespace oriolelever
