/// The established flows of backend servers, as their agents list them, kept beyond the life of an agent.
///
/// When a host loses its power, agent and server forget the server's flows. Callers that are idle on such a
/// flow do not notice, and their next request is lost: if it may not be repeated, for good. A balancer of the
/// zone therefore keeps the agents' lists, and a snapshot of them in the platform's store. Once an agent
/// reports another start of its server, the callers of the flows of the earlier start are reset. The
/// functions do no I/O and read no clock.
///
///     applyFlowList(registry, host, list);
///     for (const auto &reset : takeEndedFlows(registry, host, report.bornAt)) {
///         // Send `reset` to its caller.
///     }
#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "oriolelever/segment.h"

namespace oriolelever {

/// Established flows of one start of a server.
struct ServerFlows
{
    std::uint64_t bornAt = 0; ///< When the server started, Unix time in milliseconds.
    std::vector<FlowReset> flows; ///< Each with the caller's last acknowledgement.
    TimePoint listedAt{}; ///< When the list came; set by `applyFlowList`.
};

/// By the host of the server.
using FlowRegistry = std::unordered_map<IpAddress, ServerFlows, AddressHash>;

/// Flows that one message lists.
constexpr std::size_t flowsPerPart = 70;
/// Flows of one server that an agent lists, in eight messages; an agent with more lists those used last.
constexpr std::size_t maxListedFlows = 8 * flowsPerPart;
/// Bytes of a `PeerMessageType::FlowList` with as many flows as possible.
constexpr std::size_t maxFlowListSize = 1200;

/// A message of an agent with some of its server's flows.
struct FlowListPart
{
    std::uint8_t part = 0; ///< Position of the message in the list, from 0.
    ServerFlows list;
};

/// Returns the number of messages for a list, at least 1.
std::size_t flowListParts(const ServerFlows &list);
/// Writes a message with the flows of `part`, and returns its size. `out` must hold `maxFlowListSize` bytes.
std::size_t encodeFlowList(std::span<std::uint8_t> out, const ServerFlows &list, std::size_t part);
/// Returns false if `bytes` is no such message.
bool decodeFlowList(std::span<const std::uint8_t> bytes, FlowListPart &out);

/// Applies a message about the server on `host`: the first part replaces the flows, the others add to them.
/// Returns whether anything changed.
bool applyFlowList(FlowRegistry &registry, const IpAddress &host, FlowListPart message, TimePoint now);

/// Returns resets for the callers of the flows on `host` if they belong to another start of the server than
/// `bornAt`, and removes them. A start time of 0 is unknown and ends nothing. Flows that were listed more
/// than `maxSnapshotAge` ago are removed without resets: their callers may have opened others from the same
/// ports.
std::vector<FlowReset> takeEndedFlows(FlowRegistry &registry, const IpAddress &host, std::uint64_t bornAt,
                                      TimePoint now);

/// Flows that one snapshot holds at most; it takes half a megabyte. Servers beyond are left out.
constexpr std::size_t maxSnapshotFlows = 20'000;
/// Flows are discarded after 60 s, so that an older snapshot names none that is still open.
constexpr std::chrono::seconds maxSnapshotAge{75};

/// Returns the registry as text for the platform's store, with a version and a checksum. `timeOfDay` is the
/// Unix time.
std::string encodeSnapshot(const FlowRegistry &registry, std::chrono::milliseconds timeOfDay);

/// What became of a snapshot.
enum class SnapshotOutcome : std::uint8_t {
    Restored,
    Malformed, ///< Torn, of another version, or with a wrong checksum.
    Expired, ///< Older than `maxSnapshotAge`, or from the future by as much.
};

std::string_view toString(SnapshotOutcome outcome);

/// Reads a snapshot into `out`, which is left empty unless the outcome is `Restored`.
SnapshotOutcome decodeSnapshot(const std::string &text, std::chrono::milliseconds timeOfDay,
                               FlowRegistry &out);

} // namespace oriolelever
