/// The directory of an agent: where each flow of its buckets is, and the handover of buckets between agents.
///
/// An agent owns a bucket while its roster says so. It places new flows of the bucket only after every
/// reachable peer has granted it the bucket: the peer has stopped placing flows of it and has told the flows
/// that it knows. A grant lasts until it is granted back, so at most one of two agents holds it, whatever
/// their rosters say. All functions are pure: time is an argument, and I/O is left to the caller by
/// `Effects`.
#pragma once

#include <deque>
#include <random>
#include <unordered_map>
#include <vector>

#include "oriolelever/capacity.h"
#include "oriolelever/placement.h"

namespace oriolelever {

/// Why a packet was sent to an agent.
enum class PacketPurpose : std::uint8_t {
    Route = 0, ///< The receiver owns the bucket by the sender's roster.
    Place = 1, ///< The owner has placed this new flow at the receiver.
    Forward = 2, ///< The directory says that the receiver's server has the flow.
    Return = 3, ///< Back to the owner: the receiver does not have the flow or cannot take it.
};

/// What the agent needs to know of a packet.
struct PacketInfo
{
    FlowKey flow;
    ServiceId service; ///< From the encapsulation.
    Incarnation targetIncarnation = 0; ///< From the encapsulation: the agent that it is meant for.
    std::uint64_t rosterVersion = 0; ///< From the encapsulation: what the sender decided by.
    PacketPurpose purpose = PacketPurpose::Route;
    std::uint8_t hops = 0; ///< Agents that have passed the packet on.
    ServerId fromServer; ///< Agent that sent it; 0 for a balancer.
    bool opens = false; ///< TCP SYN without ACK, or any UDP packet.
    bool closes = false; ///< TCP FIN or RST.
};

enum class PacketAction : std::uint8_t {
    Deliver, ///< To the local server.
    Forward, ///< To another agent.
    Hold, ///< Keep the packet under `Verdict::held` until it is released.
    Reset, ///< Tell the caller that the flow does not exist.
    Drop,
};

enum class DropReason : std::uint8_t {
    None,
    WrongService, ///< The agent serves another service; the sender is told.
    ZoneOut, ///< The agent's zone is out.
    TooManyHops,
    HoldFull, ///< Too many packets are held.
    HoldExpired,
    AwaitingHolder, ///< The flow may be at a server that was lately found dead; the caller sends again.
    Late, ///< It may have waited while this process was paused.
};

constexpr std::size_t dropReasonCount = 8;
std::string_view toString(DropReason reason);

/// What to do with one packet.
struct Verdict
{
    PacketAction action = PacketAction::Drop;
    DropReason reason = DropReason::None;
    ServerId to; ///< Forward: the agent.
    Endpoint toEndpoint;
    Incarnation toIncarnation = 0;
    PacketPurpose purpose = PacketPurpose::Route;
    std::uint8_t hops = 0;
    std::uint64_t held = 0; ///< Hold: number of the held packet.
};

/// One flow as one agent tells another.
struct FlowNote
{
    Endpoint caller;
    ServerId holder;
    bool certain = false; ///< Told by the holder itself.
    bool closing = false;

    bool operator==(const FlowNote &) const = default;
};

/// "Grant me these buckets, and tell me their flows."
struct AskMessage
{
    std::uint64_t sequence = 0; ///< Grows with each attempt.
    std::uint32_t bucketCount = 0;
    bool recovers = false; ///< The asker lost its state: also tell it every flow that its server has.
    std::vector<BucketIndex> buckets;

    bool operator==(const AskMessage &) const = default;
};

/// One part of the answer for one bucket. All parts of one sequence make the bucket granted.
struct BucketAnswer
{
    BucketIndex bucket = 0;
    bool granted = false;
    std::uint16_t part = 0;
    std::uint16_t parts = 1;
    std::vector<FlowNote> flows;

    bool operator==(const BucketAnswer &) const = default;
};

struct AnswerMessage
{
    std::uint64_t sequence = 0; ///< Of the question.
    std::uint32_t bucketCount = 0;
    std::vector<BucketAnswer> buckets;

    bool operator==(const AnswerMessage &) const = default;
};

/// Flows of the sender's server, kept by a peer in case the sender's process starts anew.
struct CopyMessage
{
    std::uint64_t sequence = 0;
    bool answer = false; ///< The receiver of a copy has it.
    bool first = false; ///< Earlier copies of the sender are void.
    std::vector<Endpoint> callers; ///< Flows of the sender's server.
    std::vector<Endpoint> ended; ///< Flows that it no longer has.

    bool operator==(const CopyMessage &) const = default;
};

/// What a server bears, for the choice of a server.
struct LoadMessage
{
    std::uint32_t openFlows = 0;
    std::uint32_t limit = 0; ///< Flows that it bears now.
    std::uint16_t sharePermille = 0; ///< Warmth.
    std::uint16_t heardPermille
        = 0; ///< Warmth that the sender last heard of the receiver; 0 when it heard none.
    bool lostBuckets = false; ///< The sender's roster has changed: denied questions are worth repeating.

    bool operator==(const LoadMessage &) const = default;
};

/// Flows that the sender's server no longer has, or never had.
struct GoneMessage
{
    std::vector<Endpoint> callers;

    bool operator==(const GoneMessage &) const = default;
};

enum class DirectoryMessageKind : std::uint8_t { Ask = 1, Answer = 2, Load = 3, Gone = 4, Copy = 5 };

/// One datagram between agents of a service; `kind` says which part is set. May be lost, doubled and late.
struct DirectoryMessage
{
    ServiceId service;
    Incarnation fromIncarnation = 0;
    Incarnation toIncarnation = 0; ///< 0 when the sender does not know it.
    std::uint64_t rosterVersion = 0;
    std::uint32_t generation = 0; ///< How often the sender has counted the receiver as unreachable.
    DirectoryMessageKind kind = DirectoryMessageKind::Load;
    AskMessage ask;
    AnswerMessage answer;
    LoadMessage load;
    GoneMessage gone;
    CopyMessage copy;

    bool operator==(const DirectoryMessage &) const = default;
};

/// What the caller of a decision function has to do.
struct Effects
{
    struct Released
    {
        std::uint64_t held = 0;
        Verdict verdict;
    };

    struct Outgoing
    {
        ServerId to;
        Endpoint endpoint;
        DirectoryMessage message;
    };

    Verdict verdict; ///< Of `onPacket`.
    bool tellSender
        = false; ///< The packet's sender is stale: tell it this agent's service and roster version.
    std::vector<Released> released; ///< Held packets whose time has come.
    std::vector<Outgoing> messages;

    /// Empties it and keeps the memory.
    void clear();
};

struct DirectoryOptions
{
    ServerId self;
    ServiceId service;
    Incarnation incarnation = 0;
    std::uint64_t seed = 0; ///< Of the choices of servers.
    Duration askRetry
        = std::chrono::milliseconds(20); ///< First wait for an answer; doubles with each attempt.
    Duration askRetryMax = std::chrono::milliseconds(640);
    Duration holdTime = std::chrono::milliseconds(500);
    std::size_t holdLimit = 1024; ///< Held packets.
    Duration loadInterval = std::chrono::milliseconds(200); ///< Between load messages to a peer.
    std::size_t loadFanout = 16; ///< Peers that get a load message in one interval.
    Duration idleTime = std::chrono::hours(2); ///< A flow without packets is freed after this.
    Duration udpQuietTime = std::chrono::seconds(3); ///< A UDP flow without packets is no load after this.
    Duration closeTime = std::chrono::seconds(60); ///< A flow that began to close is freed after this.
    /// A longer pause makes the agent ask for its buckets again; must be shorter than the time in which the
    /// members find a node dead.
    Duration leaseTime = std::chrono::milliseconds(400);
    Duration lapseTime
        = std::chrono::milliseconds(100); ///< After such a pause, packets may be old for so long.
    Duration verifyTime = std::chrono::seconds(1); ///< Peers are asked again before a reset after this.
    Duration copyDelay = std::chrono::milliseconds(100); ///< Longest time until a new flow is copied.
    Duration copyInterval = std::chrono::minutes(10); ///< Between full copies of the local flows.
    Duration startGrace = std::chrono::seconds(5); ///< A new process does not reset before it has settled.
    Duration deadGrace = std::chrono::seconds(15); ///< Unknown flows of a lately dead owner are not reset.
    bool serverLivedOn = true; ///< The server may have flows from before this process started.
    bool warm = false; ///< The server is warm at start.
};

struct EndpointHash
{
    std::size_t operator()(const Endpoint &endpoint) const noexcept
    {
        return static_cast<std::size_t>(hashFlow({.caller = endpoint}));
    }
};

/// One flow in the directory.
struct FlowEntry
{
    ServerId holder;
    TimePoint lastSeen;
    BucketIndex bucket = 0;
    bool certain = false; ///< Known from the holder or by own placement, not from a third agent.
    bool closing = false;
    bool copied = false; ///< Kept for the holder, in case its process starts anew.
};

/// A question about one bucket that is not yet answered.
struct OpenAsk
{
    std::uint64_t sequence = 0; ///< Of the message that asked; 0 before the first.
    std::uint64_t partsSeen = 0; ///< Parts of the answer, as bits.
    bool denied = false; ///< The peer owns the bucket by its own roster.
};

/// What an agent keeps of another agent of its service.
struct PeerState
{
    Incarnation incarnation = 0;
    bool reachable = false;
    std::vector<bool> granted; ///< By bucket: the peer has granted it and has not got it back.
    std::unordered_map<BucketIndex, OpenAsk> asking;
    std::uint64_t askSequence = 0; ///< Of the last question to the peer.
    std::uint64_t heardSequence = 0; ///< Of the last question from the peer.
    TimePoint askedAt;
    Duration askWait{0}; ///< Until the next attempt; 0 asks at once.
    std::uint32_t generation = 0; ///< How often this agent has counted the peer as unreachable.
    std::uint32_t heardGeneration = 0; ///< The same, as the peer says of this agent.
    std::uint32_t openFlows = 0;
    std::uint32_t limit = 0;
    double share = 0;
    double placedSince = 0; ///< Flows placed there since its last load message.
    bool loadKnown = false;
    std::uint64_t copySequence = 0; ///< Of the last copy from the peer.
    TimePoint keeperUntil; ///< When this agent last was the one that keeps the peer's copies.
    bool died = false; ///< The roster last lost it as `Down`.
    TimePoint lostAt; ///< When the roster last lost it.
};

/// Copies of the local flows at another agent.
struct CopyState
{
    struct Item
    {
        Endpoint caller;
        bool ended = false;
    };

    ServerId keeper; ///< The agent that keeps them.
    std::deque<Item> waiting;
    std::vector<Item> sent; ///< Not yet answered.
    std::uint64_t sequence = 0;
    bool first = false; ///< The next message begins a full copy.
    bool unanswered = false; ///< `sent` is on its way.
    Incarnation keeperIncarnation = 0;
    TimePoint sentAt;
    TimePoint completeAt; ///< When a full copy was last begun.
};

struct HeldPacket
{
    std::uint64_t number = 0;
    PacketInfo packet;
    TimePoint deadline;
};

struct DirectoryCounters
{
    std::uint64_t delivered = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t held = 0;
    std::uint64_t resets = 0;
    std::uint64_t placedHere = 0;
    std::uint64_t placedAtPeer = 0;
    std::uint64_t refusedNew = 0; ///< New flows that no server could take.
    std::array<std::uint64_t, dropReasonCount> drops{};
};

/// State of one agent. Use the functions below to change it.
struct Directory
{
    DirectoryOptions options;
    std::shared_ptr<const ServiceRoute> route;
    std::unordered_map<Endpoint, FlowEntry, EndpointHash> flows; ///< By caller; the service is the agent's.
    std::unordered_map<ServerId, PeerState, std::hash<ServerId>> peers;
    std::deque<HeldPacket> held;
    std::uint64_t nextHeld = 1;
    std::vector<std::uint32_t> missing; ///< By bucket: reachable peers that have not granted it.
    std::vector<TimePoint> verifiedAt; ///< By bucket: when all peers were last asked before a reset.
    std::vector<ServerId> formerOwner; ///< By bucket: the owner before the last change.
    std::uint32_t localFlows = 0; ///< Flows of the local server.
    CopyState copy;
    Warmth warmth;
    Pace pace;
    std::mt19937_64 random;
    TimePoint startedAt;
    TimePoint lastTick;
    TimePoint lapsedUntil; ///< Packets that arrive before this may have waited during a pause.
    TimePoint lastLoad;
    TimePoint lastSweep;
    std::vector<Endpoint> gone; ///< Flows of peers' buckets that the local server no longer has.
    std::size_t loadCursor = 0;
    bool started = false;
    bool recovering = true; ///< The server may have flows that this process does not know.
    bool shareRecovered = false; ///< The warmth was taken over from before the start.
    bool recovered = false; ///< Every peer has told which flows the server has.
    DirectoryCounters counters;
    std::vector<Candidate> candidates; ///< Scratch.
    std::vector<ServerId> candidateIds; ///< Scratch.
};

/// An empty directory. It places nothing before its first roster, and resets nothing that its server may
/// have.
Directory makeDirectory(const DirectoryOptions &options, TimePoint now);

/// Decides on one packet; `effects.verdict` says what to do with it. Does not allocate in the steady state.
void onPacket(Directory &directory, const PacketInfo &packet, TimePoint now, Effects &effects);
/// Takes a datagram of the agent beside server `from`.
void onMessage(Directory &directory, ServerId from, const DirectoryMessage &message, TimePoint now,
               Effects &effects);
/// Takes a new roster; a route of an older version than the current one is taken too.
void onRoster(Directory &directory, std::shared_ptr<const ServiceRoute> route, TimePoint now,
              Effects &effects);
/// Retries, releases and frees; call it every 10 to 50 ms.
void onTick(Directory &directory, TimePoint now, Effects &effects);
/// Judges an answer of the local server.
void onAnswer(Directory &directory, const AnswerSample &sample, TimePoint now);
/// The local server no longer has the flow.
void onLocalClose(Directory &directory, const FlowKey &flow, TimePoint now);

/// The agent may place new flows of the bucket: it owns it and every reachable peer has granted it.
bool mayPlace(const Directory &directory, BucketIndex bucket);
/// Copies new flows at once from now on; the process may stop as soon as `isCopied`.
void prepareStop(Directory &directory);
/// Every flow of the local server is known to another agent, so that the process can be replaced.
bool isCopied(const Directory &directory);
/// Flows that the local server bears now.
std::uint32_t localLimit(const Directory &directory);
/// Bytes of the directory, for capacity planning.
std::size_t stateBytes(const Directory &directory);

/// Parts of the answer for one bucket.
constexpr std::size_t maxAnswerParts = 64;
/// Largest datagram, with room for the encapsulation.
constexpr std::size_t maxDirectoryMessage = 1200;

} // namespace oriolelever
