/// Datagrams between balancers and agents on a platform whose backend servers judge their own flows.
///
/// Each starts with a header of `peerHeaderSize` bytes: version, type, reason, flags, and a number whose
/// meaning the type gives. `Relay` and `Return` carry a whole packet behind it.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "oriolelever/flow.h"

namespace oriolelever {

enum class PeerMessageType : std::uint8_t {
    Relay = 1, ///< Balancer to agent: a caller's packet; the number is the service meant.
    Return = 2, ///< Agent to balancer: a packet that the server does not take.
    Hello = 3, ///< Balancer to agent: asks for reports.
    Report = 4, ///< Agent to balancer: state and load of the server.
    Find = 5, ///< Balancer to agent: a caller's packet; asks which agent's server has its flow.
    Note = 6, ///< Balancer to agent: remember a flow's holder; the number is the holder's IPv4 address.
};

/// Why an agent gives a packet back.
enum class ReturnReason : std::uint8_t {
    NotHeld = 1, ///< The server says that it does not hold the flow.
    Full = 2, ///< The server does not accept another flow.
    OtherService = 3, ///< The server belongs to another service.
    NotReady = 4, ///< The server is unknown so far, draining, gone or does not answer.
    Cold = 5, ///< The server has had as many flows in this second as a cold server bears.
    Noted = 6, ///< Another agent's server has the flow; the number is its IPv4 address.
    NotNoted = 7, ///< Nothing is noted of the flow.
    Ended = 8, ///< The server had the flow, and has ended since.
};

std::string_view toString(ReturnReason reason);

enum class BackendState : std::uint8_t {
    Unknown = 0, ///< The agent has heard nothing of its server yet.
    Ready = 1,
    Draining = 2, ///< Keeps its flows and takes no new ones.
    Gone = 3, ///< Has left for good.
    Silent = 4, ///< Does not answer.
};

std::string_view toString(BackendState state);

constexpr std::uint32_t noColdLimit = UINT32_MAX; ///< The configuration states no rate for cold servers.

/// What a balancer tells an agent.
struct Hello
{
    std::uint64_t lifetime = 0; ///< Differs for each start of the balancer.
    /// New flows a second that the agent's server bears while cold.
    std::uint32_t coldFlowsPerSecond = noColdLimit;
    std::chrono::milliseconds idleLimit{0}; ///< Silent flows may be forgotten after it; 0 if unknown.
    bool unlisted = false; ///< The agent's entry in the platform's store is missing.

    bool operator==(const Hello &) const = default;
};

/// A Bloom filter of flows: tells which flows are surely not among them.
struct FlowFilter
{
    static constexpr std::size_t words
        = 8; ///< 512 bits: of 50 flows one foreign flow in 60 seems to be among them.

    std::array<std::uint64_t, words> bits{};

    /// Both take the flow's hash, `hashFlow`.
    void add(std::uint64_t flow);
    bool mayHold(std::uint64_t flow) const;

    bool operator==(const FlowFilter &) const = default;
};

/// What an agent tells a balancer of itself and its server.
struct Report
{
    std::uint64_t lifetime = 0; ///< Differs for each start of the agent.
    ServiceId service;
    ZoneId zone;
    BackendState state = BackendState::Unknown;
    std::uint16_t slots = 1; ///< Requests that the server runs at once.
    std::uint32_t flows = 0; ///< Open flows.
    std::uint32_t waiting = 0; ///< Flows with a request that has no answer yet.
    std::chrono::milliseconds coldLeft{0};
    std::uint64_t bornAt = 0; ///< Start of the server, Unix milliseconds; 0 if unknown.
    /// All flows of the server; absent if the agent does not know them all, or the server started long ago.
    std::optional<FlowFilter> allFlows;

    bool operator==(const Report &) const = default;
};

constexpr std::size_t peerHeaderSize = 12; ///< Bytes.
constexpr std::size_t noteSize = peerHeaderSize + 12; ///< Bytes.
constexpr std::size_t maxPeerMessageSize = 128; ///< Bytes of the largest Hello or Report.

/// The header of any message.
struct PeerHeader
{
    PeerMessageType type = PeerMessageType::Relay;
    ReturnReason reason = ReturnReason::NotHeld; ///< Only of `Return`.
    std::uint64_t number = 0;
};

/// False if `bytes` is too short, of another version or of an unknown type.
bool decodePeerHeader(std::span<const std::uint8_t> bytes, PeerHeader &out);
/// Writes `peerHeaderSize` bytes.
void encodePeerHeader(std::span<std::uint8_t> out, const PeerHeader &header);

/// A note: the header and a flow's key. Writes `noteSize` bytes.
void encodeNote(std::span<std::uint8_t> out, const FlowKey &flow, const IpAddress &holder);
bool decodeNote(std::span<const std::uint8_t> bytes, FlowKey &flow, IpAddress &holder);

/// Both return the size; `out` must hold `maxPeerMessageSize` bytes.
std::size_t encodeHello(std::span<std::uint8_t> out, const Hello &hello);
std::size_t encodeReport(std::span<std::uint8_t> out, const Report &report);
/// Both return false if the message is cut or holds an impossible value.
bool decodeHello(std::span<const std::uint8_t> bytes, Hello &out);
bool decodeReport(std::span<const std::uint8_t> bytes, Report &out);

} // namespace oriolelever
