/// What the processes agree on: configuration rows, announcements, and the records that carry both.
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "oriolelever/codes.h"
#include "oriolelever/types.h"

namespace oriolelever {

enum class Protocol : std::uint8_t { Tcp = 6, Udp = 17 };

/// One service of the operators' table; the platform keeps it as object `service/NAME`.
struct ServiceRow
{
    std::string name;
    Endpoint address; ///< Virtual address and port that callers use.
    Protocol protocol = Protocol::Tcp;
    std::uint32_t connectionLimit = 2000; ///< Open flows a backend server takes.
    std::uint32_t slotLimit = 2; ///< Requests a backend server runs at once.
    std::chrono::milliseconds rampTime{10000}; ///< From cold start to the full share of new flows.
    std::chrono::milliseconds deadline{5000}; ///< Default time limit of a request.
    std::chrono::milliseconds drainTime{30000}; ///< Longest wait for flows of a leaving server.
    double availabilityTarget = 0.999; ///< Fraction of requests answered, in [0, 1).
    std::chrono::milliseconds latencyTarget{500}; ///< 99th percentile of answers.

    bool operator==(const ServiceRow &) const = default;
};

enum class ZoneState : std::uint8_t { In, Out };

/// One availability zone of the operators' table; the platform keeps it as object `zone/NAME`.
struct ZoneRow
{
    std::string name;
    ZoneState state = ZoneState::In;
    std::uint32_t weight = 100; ///< Share of new flows relative to other zones, 0 to 1000.
    std::chrono::milliseconds rampTime{10000}; ///< From return to the full share of new flows.

    bool operator==(const ZoneRow &) const = default;
};

/// Operators' order for one backend server; the platform keeps it as object `server/NAME`.
struct ServerOrder
{
    std::string name;
    bool drain = false;

    bool operator==(const ServerOrder &) const = default;
};

/// State of a node as announced by itself, or `Down` as announced by a node that found it dead.
enum class NodeState : std::uint8_t {
    Cold = 1, ///< Takes little load until it has warmed up.
    Ready = 2,
    Draining = 3, ///< Keeps its flows and takes no new ones.
    Down = 4,
};

enum class NodeRole : std::uint8_t { Balancer = 1, Agent = 2 };

/// What a node says of itself. For an agent it covers its backend server too.
struct Announcement
{
    std::string name;
    NodeRole role = NodeRole::Agent;
    std::string zone;
    std::string service; ///< Empty for a balancer.
    Incarnation incarnation = 0;
    NodeState state = NodeState::Cold;
    Endpoint data; ///< Where it takes encapsulated packets (UDP).
    Endpoint control; ///< Where it takes streams of other processes (TCP).
    Endpoint requests; ///< Where an agent takes HTTP requests (TCP); port 0 for a balancer.
    Endpoint
        handover; ///< Where an agent takes requests handed over by other agents (TCP); port 0 for a balancer.
    std::uint32_t connectionLimit = 0; ///< 0 takes the service's limit.
    std::uint32_t slotLimit = 0; ///< 0 takes the service's limit.

    bool operator==(const Announcement &) const = default;
};

enum class RecordKind : std::uint8_t { Service = 1, Zone = 2, Server = 3, Node = 4 };

/// Orders the states of one record; a node never replaces a record by one of a smaller version.
/// Configuration: epoch 0, sequence is the platform's object version.
/// Nodes: epoch is the incarnation; each change, accusation or refutation takes the next sequence.
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
std::string encodeServerOrder(const ServerOrder &order);
std::string encodeAnnouncement(const Announcement &announcement);

/// Decoders fail with `Code::TableInvalid` or `Code::MessageMalformed`; the text names the cell.
Result<ServiceRow> decodeServiceRow(const std::string &json);
Result<ZoneRow> decodeZoneRow(const std::string &json);
Result<ServerOrder> decodeServerOrder(const std::string &json);
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

    struct OrderEntry
    {
        ServerOrder order;
        RecordVersion version;
    };

    struct NodeEntry
    {
        Announcement announcement;
        RecordVersion version;
    };

    std::map<std::string, ServiceEntry> services;
    std::map<std::string, ZoneEntry> zones;
    std::map<std::string, OrderEntry> orders;
    std::map<std::string, NodeEntry> nodes;
    std::unordered_map<std::string, RecordVersion>
        deleted; ///< By "kind/name"; keeps versions from going back.
};

/// Puts `record` in force in `view`. Returns false, changing nothing, when `view` has the same or a later
/// version; fails as the decoders do.
Result<bool> applyRecord(ClusterView &view, const Record &record);

/// True when the zone exists and is out; an unknown zone counts as in.
bool isZoneOut(const ClusterView &view, const std::string &zone);

} // namespace oriolelever
