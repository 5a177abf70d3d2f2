/// Data model that all processes share: configuration rows, announcements, and the versioned records that
/// carry both.
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "oriolelever/codes.h"
#include "oriolelever/types.h"

namespace oriolelever {

enum class Protocol : std::uint8_t { Tcp = 6, Udp = 17 };

/// One service of the operators' table, stored in the platform as object `service/NAME`.
struct ServiceRow
{
    std::string name;
    Endpoint address; ///< Virtual address and port that callers use.
    Protocol protocol = Protocol::Tcp;
    std::uint32_t connectionLimit = 2000; ///< Most open flows per backend server.
    std::uint32_t slotLimit = 2; ///< Most concurrent requests per backend server.
    std::chrono::milliseconds rampTime{10000}; ///< Slow start: from start to the full share of new flows.
    std::chrono::milliseconds deadline{5000}; ///< Default time limit of a request.
    std::chrono::milliseconds drainTime{30000}; ///< Longest wait for the flows of a draining server to end.
    double availabilityTarget = 0.999; ///< Fraction of requests that are answered, in [0, 1).
    std::chrono::milliseconds latencyTarget{500}; ///< 99th percentile of the time to an answer.

    bool operator==(const ServiceRow &) const = default;
};

enum class ZoneState : std::uint8_t { In, Out };

/// One availability zone of the operators' table, stored in the platform as object `zone/NAME`.
struct ZoneRow
{
    std::string name;
    ZoneState state = ZoneState::In;
    std::uint32_t weight = 100; ///< Share of new flows relative to other zones, 0 to 1000.
    std::chrono::milliseconds rampTime{10000}; ///< From the change to `In` to the full share of new flows.

    bool operator==(const ZoneRow &) const = default;
};

/// Operators' setting for one backend server, stored in the platform as object `server/NAME`.
struct ServerRow
{
    std::string name;
    bool drain = false; ///< The server keeps its flows and receives no new ones.

    bool operator==(const ServerRow &) const = default;
};

/// State of a node, announced by the node itself. `Down` may also be announced by a node whose failure
/// detector found it dead.
enum class NodeState : std::uint8_t {
    Cold = 1, ///< In slow start: receives a reduced share of new flows.
    Ready = 2,
    Draining = 3, ///< Keeps its flows and accepts no new ones.
    Down = 4,
};

enum class NodeRole : std::uint8_t { Balancer = 1, Agent = 2 };

/// State and addresses that a node announces to all others. An agent announces its backend server with
/// itself.
struct Announcement
{
    std::string name;
    NodeRole role = NodeRole::Agent;
    std::string zone;
    std::string service; ///< Empty for a balancer.
    Incarnation incarnation = 0;
    NodeState state = NodeState::Cold;
    Endpoint data; ///< Receives encapsulated packets (UDP).
    Endpoint control; ///< Accepts control streams of other processes (TCP).
    Endpoint requests; ///< Where an agent accepts HTTP requests (TCP); port 0 for a balancer.
    Endpoint handover; ///< Where an agent accepts requests of other agents (TCP); port 0 for a balancer.
    std::uint32_t connectionLimit = 0; ///< Most open flows; 0 means the limit of the service.
    std::uint32_t slotLimit = 0; ///< Most concurrent requests; 0 means the limit of the service.

    bool operator==(const Announcement &) const = default;
};

enum class RecordKind : std::uint8_t { Service = 1, Zone = 2, Server = 3, Node = 4 };

/// Version of a record, ordered by epoch, then sequence. A node never replaces a record by one of a smaller
/// version.
/// Configuration: the epoch is the era of the platform and the sequence its object version.
/// Nodes: the epoch is the incarnation; each change, accusation or refutation increments the sequence.
struct RecordVersion
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const RecordVersion &) const = default;
};

struct RecordKey
{
    RecordKind kind = RecordKind::Service;
    std::string name;

    auto operator<=>(const RecordKey &) const = default;
};

/// One versioned row or announcement in encoded form.
struct Record
{
    RecordKey key;
    RecordVersion version;
    bool deleted = false;
    std::string value; ///< JSON for configuration rows, protobuf for announcements.

    bool operator==(const Record &) const = default;
};

std::string encodeServiceRow(const ServiceRow &row);
std::string encodeZoneRow(const ZoneRow &row);
std::string encodeServerRow(const ServerRow &row);
std::string encodeAnnouncement(const Announcement &announcement);

/// Decoders fail with `Code::TableInvalid`, whose text names the column, or `Code::MessageMalformed`.
Result<ServiceRow> decodeServiceRow(const std::string &json);
Result<ZoneRow> decodeZoneRow(const std::string &json);
Result<ServerRow> decodeServerRow(const std::string &json);
Result<Announcement> decodeAnnouncement(const std::string &bytes);

/// The decoded records that a process has in force.
struct ClusterView
{
    struct ServiceEntry
    {
        ServiceRow row;
        RecordVersion version;
    };

    struct ZoneEntry
    {
        ZoneRow row;
        RecordVersion version;
    };

    struct ServerEntry
    {
        ServerRow row;
        RecordVersion version;
    };

    struct NodeEntry
    {
        Announcement announcement;
        RecordVersion version;
    };

    std::map<std::string, ServiceEntry> services;
    std::map<std::string, ZoneEntry> zones;
    std::map<std::string, ServerEntry> serverRows;
    std::map<std::string, NodeEntry> nodes;
    /// Versions of deleted rows by "KIND/NAME" with the number of the kind. They keep an older version from
    /// restoring the row.
    std::unordered_map<std::string, RecordVersion> deleted;
};

/// Puts `record` in force in `view`. Returns false and leaves `view` unchanged if it has the same or a later
/// version. Fails as the decoders do.
Result<bool> applyRecord(ClusterView &view, const Record &record);

/// Returns true if `view` has the zone with state `Out`; an unknown zone counts as `In`.
bool isZoneOut(const ClusterView &view, const std::string &zone);

} // namespace oriolelever
