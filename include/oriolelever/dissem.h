/// Dissemination of records: table with digests, exchange of differences, and the neighbours of a node in the
/// logical hypercube. No I/O.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "oriolelever/model.h"

namespace oriolelever {

/// Digests form a tree of fixed shape: the root, branches, and leaves that hold records by hash of their key.
constexpr std::size_t digestBranches = 64;
constexpr std::size_t leavesPerBranch = 64;
constexpr std::size_t digestLeaves = digestBranches * leavesPerBranch;

/// Hash that names a record in digests.
std::uint64_t hashKey(const RecordKey &key);
/// Hash of a record's key and version; a digest is the XOR of these.
std::uint64_t hashVersion(std::uint64_t key, const RecordVersion &version);

/// Sequences of announcements by the node itself are even; an accusation takes the odd one after.
/// So a node's own announcement never has the version of an accusation of other content.
RecordVersion nextOwnVersion(const RecordVersion &seen, Incarnation incarnation);
RecordVersion accusationVersion(const RecordVersion &seen);

/// The record that declares the node `entry` as `Down`.
Record accusation(const ClusterView::NodeEntry &entry);

/// The records that one process has in force, with the digests that compare them to another's.
class RecordTable
{
public:
    RecordTable();

    /// Puts a record in force if it is later than what the table has; false if not. Fails as `applyRecord`.
    Result<bool> apply(const Record &record);

    const ClusterView &view() const
    {
        return m_view;
    }

    /// The record in force under a key, or under a hash of a key.
    std::optional<Record> find(const RecordKey &key) const;
    std::optional<Record> find(std::uint64_t key) const;
    std::optional<RecordVersion> version(const RecordKey &key) const;

    std::uint64_t root() const
    {
        return m_root;
    }

    std::span<const std::uint64_t> branches() const
    {
        return m_branches;
    }

    std::span<const std::uint64_t> leaves(std::size_t branch) const;

    struct Entry
    {
        std::uint64_t key = 0;
        RecordVersion version;
    };

    std::vector<Entry> entries(std::size_t leaf) const;

    /// Versions of deleted rows.
    const std::map<RecordKey, RecordVersion> &tombstones() const
    {
        return m_tombstones;
    }

    /// Names of the nodes that have announced `service`.
    std::vector<std::string> nodesOf(const std::string &service) const;

    std::size_t size() const
    {
        return m_size;
    }

private:
    struct Slot
    {
        std::uint64_t key = 0;
        const std::string *name = nullptr; ///< Points at the key of the view's map or of `m_tombstones`.
        RecordKind kind = RecordKind::Service;
        bool deleted = false;
    };

    void toggle(std::uint64_t key, const RecordVersion &version);
    const Slot *slot(std::uint64_t key) const;
    RecordVersion slotVersion(const Slot &slot) const;
    Record toRecord(const Slot &slot) const;
    void index(const Record &record, std::uint64_t key);
    void indexService(const std::string &name);

    ClusterView m_view;
    std::map<RecordKey, RecordVersion> m_tombstones;
    std::uint64_t m_root = 0;
    std::vector<std::uint64_t> m_branches;
    std::vector<std::uint64_t> m_leaves;
    std::unordered_map<std::size_t, std::vector<Slot>> m_slots; ///< By leaf.
    std::unordered_map<std::uint64_t, std::vector<const std::string *>>
        m_nodesOf; ///< By hash of the service.
    std::size_t m_size = 0;
};

/// All nodes of a zone that were found unreachable at once; each receiver applies it to its own view.
struct ZoneLoss
{
    std::uint64_t id = 0;
    std::string zone;
    std::vector<std::string> alive; ///< Nodes of the zone that were reached.
};

/// The accusations that a loss stands for in `view`.
std::vector<Record> expandLoss(const ClusterView &view, const ZoneLoss &loss);

enum class ExchangeStage : std::uint8_t {
    Push = 0, ///< Records that have changed; no comparison.
    Root = 1,
    Leaves = 2,
    Records = 3,
};

/// One message of an exchange. The initiator sends Root, Leaves and Records; each answer narrows the
/// difference.
struct Exchange
{
    struct Block
    {
        std::size_t branch = 0;
        std::vector<std::uint64_t> leaves;
    };

    struct Leaf
    {
        std::size_t leaf = 0;
        std::vector<RecordTable::Entry> entries;
    };

    ExchangeStage stage = ExchangeStage::Push;
    std::string from; ///< Name of the sender.
    std::string service; ///< Scope of an agent; empty compares everything.
    std::uint64_t root = 0;
    std::vector<std::uint64_t> branches;
    std::vector<Block> blocks;
    std::vector<Leaf> leaves;
    std::vector<std::uint64_t> wanted;
    std::vector<Record> records;
    std::vector<ZoneLoss> losses;
    std::size_t members = 0; ///< Live members that the answering member knows.
    std::uint64_t assigned = 0; ///< Digest of the members that an agent was told to attach to.
    unsigned depth = 0; ///< Of a push: the receiver passes it on along the dimensions from here on.
};

std::string encodeExchange(const Exchange &exchange);
/// Fails with `MessageMalformed`.
Result<Exchange> decodeExchange(const std::string &bytes);

/// Bounds of one message.
struct ExchangeLimits
{
    std::size_t branches = 4; ///< Compared at once.
    std::size_t entries = 4096;
    std::size_t records = 1024;
};

/// First message of an exchange between members.
Exchange openExchange(const RecordTable &table);
/// Answer of the other side; does not apply `request.records`.
Exchange answerExchange(const RecordTable &table, const Exchange &request, const ExchangeLimits &limits = {});
/// Next message of the initiator, or none when nothing is left to compare; does not apply `answer.records`.
std::optional<Exchange> continueExchange(const RecordTable &table, const Exchange &answer,
                                         const ExchangeLimits &limits = {});

/// True when `record` concerns an agent of `service`, given the member's view.
bool concernsService(const ClusterView &view, const Record &record, const std::string &service);
/// The records of `table` that concern agents of `service`.
std::vector<Record> recordsForService(const RecordTable &table, const std::string &service);
/// Digest over records, as `RecordTable::root` of a table that holds just these.
std::uint64_t digestOf(std::span<const Record> records);

/// A node's place in the logical hypercube: the zone in the high bits, so that neighbours in the low
/// dimensions are in the same zone.
std::uint64_t labelOf(const std::string &zone, const std::string &name);

/// A live member that can be sent to.
struct Member
{
    std::uint64_t label = 0;
    std::string name;
    Endpoint control;
    Incarnation incarnation = 0;

    auto operator<=>(const Member &) const = default;
};

/// Live balancers of `view`, ascending by label.
std::vector<Member> liveMembers(const ClusterView &view);

/// Brings the entry of the balancer `name` in `members` up to date.
void updateMember(std::vector<Member> &members, const ClusterView &view, const std::string &name);

/// The members that an agent attaches to: `count` at most, spread evenly over `members` by the agent's name.
std::vector<std::size_t> assignedMembers(std::size_t members, const std::string &agent, std::size_t count);

/// The nodes of one zone that watch the platform: the first few by label.
bool isPlatformWatcher(std::span<const Member> members, const std::string &zone, const std::string &name,
                       std::size_t watchersPerZone);

/// Up to this many members, each sends to all others.
constexpr std::size_t fullMeshLimit = 8;
/// Dimensions of the hypercube: bits of a label.
constexpr unsigned labelBits = 64;

/// One dimension of the hypercube as seen from a label: the live members that share the first bits with the
/// label and differ in the next one.
struct CubeEdge
{
    std::size_t nearest = 0; ///< The one closest by XOR to the missing vertex on the other side.
    std::size_t first = 0; ///< All of them are [first, last).
    std::size_t last = 0;
    unsigned dimension = 0; ///< The differing bit, from the left.
    unsigned receiverDepth = 0; ///< Dimensions from here on are passed on by the receiver.
};

/// Edges of the node with label `own` in `labels` (ascending) along the dimensions from `depth` on. In a full
/// mesh, one edge to each other member, for depth 0 only.
std::vector<CubeEdge> hypercubeEdges(std::span<const std::uint64_t> labels, std::uint64_t own,
                                     unsigned depth = 0);

/// Indices of the nearest member of each edge of `self`.
std::vector<std::size_t> hypercubeNeighbours(std::span<const std::uint64_t> labels, std::size_t self);

/// Dimensions along which each change was already passed on by this node.
struct Broadcasts
{
    struct Covered
    {
        unsigned depth = labelBits;
        TimePoint at;
    };

    std::unordered_map<std::uint64_t, Covered> covered; ///< By hash of key and version.
};

/// Dimensions in [from, to).
struct BroadcastPart
{
    unsigned from = 0;
    unsigned to = 0;

    bool isEmpty() const
    {
        return from >= to;
    }
};

/// The part of a change that this node still has to pass on when it is told to from `depth` on. Forgets what
/// is older than a minute.
BroadcastPart takePart(Broadcasts &broadcasts, std::uint64_t change, unsigned depth, TimePoint now);

} // namespace oriolelever
