/// Datagrams between balancers and agents on a platform whose backend servers decide themselves which packets
/// belong to their flows.
///
/// Each starts with a header of `peerHeaderSize` bytes: version, type, reason, flags, and a 64-bit number
/// whose meaning depends on the type. In `Relay`, `Return` and `NoteQuery` a whole packet follows.
///
/// Processes of different builds run side by side while hosts are replaced, see docs/UPGRADE.md. A reader
/// ignores flags that it does not know and what follows the parts of a Hello or Report that the flags state;
/// a new part is sent only to a process that has said that it reads it. The version rises only if earlier
/// readers would misread a message.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "oriolelever/flow.h"
#include "oriolelever/route-terms.h"
#include "oriolelever/server-capacity.h"
#include "oriolelever/store-position.h"

namespace oriolelever {

enum class PeerMessageType : std::uint8_t {
    Relay = 1, ///< Balancer to agent: a caller's packet; the number is the `ServiceId` it is for.
    Return = 2, ///< Agent to balancer: a packet that its server rejected, or the reply to a `NoteQuery`.
    Hello = 3, ///< Balancer to agent: requests reports.
    Report = 4, ///< Agent to balancer: state and load of the server.
    NoteQuery = 5, ///< Balancer to agent: a caller's packet; queries the holder of its flow.
    Note = 6, ///< Balancer to agent: a flow's holder; the number is the holder's IPv4 address.
    FlowList = 7, ///< Agent to balancer: flows of the server, see `flow-registry.h`; the number is its start.
};

/// Why an agent returns a packet.
enum class ReturnReason : std::uint8_t {
    NotHeld = 1, ///< The server says that it does not hold the flow.
    Full = 2, ///< The server does not accept another flow.
    OtherService = 3, ///< The server belongs to another service than the packet is for.
    NotReady = 4, ///< The server is unknown so far, draining, gone or not responding.
    Cold = 5, ///< The server is cold, and has had as many new flows in this second as it can take.
    Noted = 6, ///< Reply to a `NoteQuery`: the number is the IPv4 address of the flow's holder.
    NotNoted = 7, ///< Reply to a `NoteQuery`: the agent has no note of the flow.
    Ended = 8, ///< The server that held the flow has ended since.
    /// The server has more requests than it can start soon: the number is how many. The balancer may offer
    /// the opening packet to a less loaded server first.
    Busy = 9,
};

std::string_view toString(ReturnReason reason);

/// State of a backend server as its agent sees it.
enum class BackendState : std::uint8_t {
    Unknown = 0, ///< The agent has had no contact with its server yet.
    Ready = 1, ///< Accepts new flows.
    Draining = 2, ///< Keeps its flows and accepts no new ones.
    Gone = 3, ///< Has left for good.
    Silent = 4, ///< Does not respond.
};

std::string_view toString(BackendState state);

constexpr std::uint32_t noColdLimit = UINT32_MAX; ///< No rate is configured for cold servers.

/// The era of the platform's store in 16 bits, which fit into fields that earlier versions of the messages
/// leave unused: 0 if it is unknown, as in messages of processes that know no eras.
using EraTag = std::uint16_t;

/// The tag of an era; that of era 0, which means that the store states none, is 0.
EraTag eraTagOf(std::uint64_t era);
/// Whether `tag` is known and stands for a later era than `other`, or `other` is unknown.
bool isLaterEra(EraTag tag, EraTag other);

/// Revisions of the platform's store at which the operators' documents changed last, as far as is known.
/// Agents pass on the latest that balancers have told them, so that a balancer whose watch has failed
/// unnoticed learns of a change, or of a new era of the store.
struct DocumentRevisions
{
    EraTag era = 0; ///< Of the revisions.
    std::uint64_t configuration = 0;
    std::uint64_t evacuations = 0;

    bool operator==(const DocumentRevisions &) const = default;
};

/// Takes the higher one of each revision if the eras are the same, and the revisions of the later era if not.
void mergeRevisions(DocumentRevisions &revisions, const DocumentRevisions &others);

/// Returns the position that a peer states as an era and a revision, for a process that knows the store as of
/// `known`. Zero if the peer does not know of eras and this process does: its word cannot be ordered.
StorePosition peerPosition(EraTag era, std::uint64_t revision, const StorePosition &known);

/// A balancer's request for reports, with settings for the agent.
struct Hello
{
    std::uint64_t lifetime = 0; ///< Identifies a start of the balancer; differs for each start.
    /// The balancer knows the two limits below. False while it has not read a configuration, or does not know
    /// the agent's service; processes of earlier versions state the defaults as if they knew them.
    bool hasLimits = true;
    /// New flows per second that the agent's server can take while cold.
    std::uint32_t coldFlowsPerSecond = noColdLimit;
    /// Flows that are idle for longer may be forgotten; 0 if the configuration states no limit.
    std::chrono::milliseconds idleLimit{0};
    bool unlisted = false; ///< The agent has no entry in the platform's store.
    /// The agent answers at once with a report that names all flows of its server.
    bool wantsFlows = false;
    ZoneId zone; ///< Availability zone of the balancer.
    DocumentRevisions documents; ///< That the balancer knows.
    std::chrono::milliseconds reportPeriod{200}; ///< Between two reports to this balancer.
    /// The balancer reads reports with a capacity; processes of earlier versions do not.
    bool acceptsCapacity = false;
    /// Only in the first hello to a new start of the agent: an agent of an earlier version rejects that hello
    /// and reads the next one.
    std::optional<RememberedCapacity> remembered;

    bool operator==(const Hello &) const = default;
};

/// A Bloom filter of flows.
struct FlowFilter
{
    /// 512 bits; with 50 flows, one in 60 other flows is a false positive.
    static constexpr std::size_t wordCount = 8;

    std::array<std::uint64_t, wordCount> bits{};

    /// Adds a flow by its hash, see `hashFlow`.
    void add(std::uint64_t flow);
    /// Whether the flow with this hash may have been added; false only if it was not.
    bool mayContain(std::uint64_t flow) const;

    bool operator==(const FlowFilter &) const = default;
};

/// State and load of an agent and its backend server.
struct Report
{
    std::uint64_t lifetime = 0; ///< Identifies a start of the agent; differs for each start.
    ServiceId service; ///< Service of the server.
    ZoneId zone; ///< Availability zone of the server.
    BackendState state = BackendState::Unknown;
    std::uint16_t slots = 1; ///< Requests that the server runs concurrently.
    std::uint32_t flows = 0; ///< Open flows of the server.
    std::uint32_t waiting = 0; ///< Flows with a request that the server has not answered yet.
    std::chrono::milliseconds coldLeft{0}; ///< Time until the server is warm; 0 if it is.
    std::uint64_t bornAt = 0; ///< When the server started, Unix time in milliseconds; 0 if unknown.
    bool isFailing = false; ///< The server resets flows instead of answering their requests.
    bool isUnreliable = false; ///< It has lately reset a request: those that cannot be repeated avoid it.
    std::uint16_t balancers = 0; ///< From which the agent has had a Hello lately.
    DocumentRevisions documents; ///< The latest of those balancers.
    std::optional<ServerCapacity> capacity; ///< Only to balancers whose hello accepts it.
    /// All flows of the server; only in answers to a Hello that asks for them, and absent if the agent does
    /// not know all of them.
    std::optional<FlowFilter> heldFlowFilter;

    bool operator==(const Report &) const = default;
};

constexpr std::size_t peerHeaderSize = 12; ///< Bytes.
constexpr std::size_t noteSize = peerHeaderSize + 12; ///< Bytes.
constexpr std::size_t maxPeerMessageSize = 160; ///< Bytes; at least those of the largest Hello or Report.

/// The header of every message.
struct PeerHeader
{
    PeerMessageType type = PeerMessageType::Relay;
    ReturnReason reason = ReturnReason::NotHeld; ///< Only of `Return`.
    /// Only of `Relay`: the agent may return the packet as `Busy`. Otherwise the packet has already been
    /// returned so, and waits until the server has capacity.
    bool mayReturnBusy = false;
    /// Only of `Relay`: terms of the packet's route, with times as `roundToEncodable` returns them. Processes
    /// of earlier versions neither send nor read them.
    std::optional<RouteTerms> terms;
    std::uint64_t number = 0; ///< See `PeerMessageType` and `ReturnReason`.
};

constexpr std::uint8_t peerMessageVersion = 2; ///< Of all messages that this build sends and reads.

/// The version of a message that this build cannot read as a process of another build has sent it; unset for
/// a readable version, and for bytes that are no message.
std::optional<std::uint8_t> unreadableVersion(std::span<const std::uint8_t> bytes);

/// Returns false if `bytes` is too short, or has another version or an unknown type or reason.
bool decodePeerHeader(std::span<const std::uint8_t> bytes, PeerHeader &out);
/// Writes `peerHeaderSize` bytes.
void encodePeerHeader(std::span<std::uint8_t> out, const PeerHeader &header);

/// Writes a note of the flow's holder, `noteSize` bytes: the header and the flow's key.
void encodeNote(std::span<std::uint8_t> out, const FlowKey &flow, const IpAddress &holder);
/// Returns false if `bytes` is not a note.
bool decodeNote(std::span<const std::uint8_t> bytes, FlowKey &flow, IpAddress &holder);

/// Both return the message's size in bytes; `out` must hold `maxPeerMessageSize` bytes.
std::size_t encodeHello(std::span<std::uint8_t> out, const Hello &hello);
std::size_t encodeReport(std::span<std::uint8_t> out, const Report &report);
/// Both return false if the message has another type or is too short, or a field has an invalid value.
bool decodeHello(std::span<const std::uint8_t> bytes, Hello &out);
bool decodeReport(std::span<const std::uint8_t> bytes, Report &out);

} // namespace oriolelever
