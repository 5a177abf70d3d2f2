/// Dissemination of records without I/O: a table with digests, the exchange of differences between two
/// tables, and the broadcast of changes along a logical hypercube of the balancers.
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

/// Digests form a tree of fixed shape: a root, its branches, and their leaves. The hash of a record's key
/// selects its leaf.
constexpr std::size_t digestBranches = 64;
constexpr std::size_t leavesPerBranch = 64;
constexpr std::size_t digestLeaves = digestBranches * leavesPerBranch;

/// Hash of a record's kind and name. Messages and digests identify records by this hash.
std::uint64_t hashKey(const RecordKey &key);
/// Hash of a record's hashed key and its version. A digest is the XOR of the hashes of its records.
std::uint64_t hashVersion(std::uint64_t key, const RecordVersion &version);

/// Next version for a node's announcement of itself, and for an accusation by another node, after version
/// `seen`. Announcements have even sequences and accusations odd ones, so the two never share a version with
/// different content.
RecordVersion nextAnnouncementVersion(const RecordVersion &seen, Incarnation incarnation);
RecordVersion accusationVersion(const RecordVersion &seen);

/// Returns the record that declares the node of `entry` as `Down`.
Record makeAccusation(const ClusterView::NodeEntry &entry);

/// The records that one process has in force, with digests to compare them with those of another process.
class RecordTable
{
public:
    RecordTable();

    /// Puts `record` in force and returns true if its version is later than the one in the table. Fails as
    /// `applyRecord` does, and with `MessageMalformed` for the deletion of a node.
    Result<bool> apply(const Record &record);

    const ClusterView &view() const
    {
        return m_view;
    }

    /// Returns the record in force under a key, or under the hash of a key.
    std::optional<Record> find(const RecordKey &key) const;
    std::optional<Record> find(std::uint64_t key) const;
    std::optional<RecordVersion> version(const RecordKey &key) const;

    /// Digest of all records.
    std::uint64_t root() const
    {
        return m_root;
    }

    /// Digests of all branches, `digestBranches` in number.
    std::span<const std::uint64_t> branches() const
    {
        return m_branches;
    }

    /// Digests of the leaves of a branch, `leavesPerBranch` in number.
    std::span<const std::uint64_t> leaves(std::size_t branch) const;

    struct Entry
    {
        std::uint64_t key = 0; ///< By `hashKey`.
        RecordVersion version;
    };

    /// Versions of the records in a leaf; `leaf` counts over the whole table.
    std::vector<Entry> entries(std::size_t leaf) const;

    /// Versions of the deleted rows.
    const std::map<RecordKey, RecordVersion> &tombstones() const
    {
        return m_tombstones;
    }

    /// Names of the nodes whose current announcement is for `service`.
    std::vector<std::string> nodesOfService(const std::string &service) const;

    /// Number of records, with deleted ones.
    std::size_t size() const
    {
        return m_size;
    }

private:
    /// Reference to a record, whose version and value are in the view or in `m_tombstones`.
    struct Slot
    {
        std::uint64_t key = 0; ///< By `hashKey`.
        const std::string *name = nullptr; ///< Points into a key of the view's maps or of `m_tombstones`.
        RecordKind kind = RecordKind::Service;
        bool deleted = false;
    };

    /// Adds a record to the digests, or removes it from them: XOR is its own inverse.
    void toggleDigest(std::uint64_t key, const RecordVersion &version);
    const Slot *slot(std::uint64_t key) const;
    RecordVersion slotVersion(const Slot &slot) const;
    Record toRecord(const Slot &slot) const;
    void updateSlot(const Record &record, std::uint64_t key);
    void addToServiceIndex(const std::string &name);

    ClusterView m_view;
    std::map<RecordKey, RecordVersion> m_tombstones;
    std::uint64_t m_root = 0;
    std::vector<std::uint64_t> m_branches;
    std::vector<std::uint64_t> m_leaves;
    std::unordered_map<std::size_t, std::vector<Slot>> m_slots; ///< By leaf.
    std::unordered_map<std::uint64_t, std::vector<const std::string *>>
        m_nodesByService; ///< Names of nodes by hash of the service; points at keys of the view's map.
    std::size_t m_size = 0;
};

/// Declares all nodes of a zone as down but those in `alive`. Each receiver applies it to its own view.
struct ZoneLoss
{
    std::uint64_t id = 0; ///< Random; identifies copies of the same loss.
    std::string zone;
    std::vector<std::string> alive; ///< Names of the nodes of the zone that are reachable.
};

/// Returns the accusations that `loss` means for the nodes of `view`.
std::vector<Record> expandLoss(const ClusterView &view, const ZoneLoss &loss);

enum class ExchangeStage : std::uint8_t {
    Push = 0, ///< Sends changed records without a comparison.
    Root = 1, ///< Compares the root digests; the answer has the branches if they differ.
    Leaves = 2, ///< Compares leaves of differing branches; the answer has entries of differing leaves.
    Records = 3, ///< Sends records that the peer lacks and requests those that it has later.
};

/// Request or answer of an exchange. The initiator sends `Root`, `Leaves` and `Records` in turn, and each
/// answer narrows the difference down. A push is a single message.
struct Exchange
{
    /// Digests of all leaves of one branch.
    struct Block
    {
        std::size_t branch = 0;
        std::vector<std::uint64_t> leaves;
    };

    /// Versions of all records of one leaf.
    struct Leaf
    {
        std::size_t leaf = 0; ///< Index over the whole table.
        std::vector<RecordTable::Entry> entries;
    };

    ExchangeStage stage = ExchangeStage::Push;
    std::string from; ///< Name of the sending node.
    std::string service; ///< Limits the comparison to what agents of a service need; empty for all.
    std::uint64_t root = 0; ///< Digest of the sender's records, for an agent of those of its service.
    std::vector<std::uint64_t> branches; ///< All branch digests of the sender, or empty.
    std::vector<Block> blocks;
    std::vector<Leaf> leaves;
    std::vector<std::uint64_t> wanted; ///< Hashed keys of the records that the sender requests.
    std::vector<Record> records;
    std::vector<ZoneLoss> losses;
    std::size_t members = 0; ///< Number of live members in the view of the answering member.
    std::uint64_t assigned = 0; ///< Digest of the records of the members that are assigned to an agent.
    unsigned depth = 0; ///< For a push: first dimension along which the receiver forwards it.
};

std::string encodeExchange(const Exchange &exchange);
/// Fails with `MessageMalformed`.
Result<Exchange> decodeExchange(const std::string &bytes);

/// Upper bounds of one message.
struct ExchangeLimits
{
    std::size_t branches = 4; ///< Branches whose leaves are compared.
    std::size_t entries = 4096; ///< Versions in leaves; no further leaf is added above this many.
    std::size_t records = 1024; ///< Records sent, and as many requested.
};

/// Returns the first message of an exchange between members.
Exchange openExchange(const RecordTable &table);
/// Returns the answer to `request`. The caller applies `request.records` first.
Exchange answerExchange(const RecordTable &table, const Exchange &request, const ExchangeLimits &limits = {});
/// Returns the next message of the initiator, or none if nothing is left to compare. The caller applies
/// `answer.records` first.
std::optional<Exchange> continueExchange(const RecordTable &table, const Exchange &answer,
                                         const ExchangeLimits &limits = {});

/// Returns true if agents of `service` need `record`, given the view of a member.
bool concernsService(const ClusterView &view, const Record &record, const std::string &service);
/// Returns the records of `table` that agents of `service` need.
std::vector<Record> recordsForService(const RecordTable &table, const std::string &service);
/// Returns the digest that `RecordTable::root` would have for a table of just these records.
std::uint64_t digestOf(std::span<const Record> records);

/// Returns the label of a node in the logical hypercube. The high bits are a hash of the zone, so that
/// neighbours that differ only in low bits are in the same zone.
std::uint64_t labelOf(const std::string &zone, const std::string &name);

/// A live balancer.
struct Member
{
    std::uint64_t label = 0; ///< By `labelOf`.
    std::string name;
    Endpoint control; ///< As announced.
    Incarnation incarnation = 0;

    auto operator<=>(const Member &) const = default;
};

/// Returns the live balancers of `view`, ascending by label.
std::vector<Member> liveMembers(const ClusterView &view);

/// Adds, replaces or removes the entry `name` in `members`, according to `view`.
void updateMember(std::vector<Member> &members, const ClusterView &view, const std::string &name);

/// Returns the indices of up to `count` of `members` members for an agent to attach to. A hash of the agent's
/// name distributes agents evenly.
std::vector<std::size_t> assignedMembers(std::size_t members, const std::string &agent, std::size_t count);

/// Returns true if `name` is one of the balancers of `zone` that watch the platform: the first
/// `watchersPerZone` by label.
bool isPlatformWatcher(std::span<const Member> members, const std::string &zone, const std::string &name,
                       std::size_t watchersPerZone);

/// Up to this many members form a full mesh: each sends to all others.
constexpr std::size_t fullMeshLimit = 8;
/// Number of dimensions of the hypercube, one per bit of a label.
constexpr unsigned labelBits = 64;

/// Edge of a label along one dimension of the hypercube, to the live members that share the higher bits with
/// the label and differ in the bit of the dimension.
struct HypercubeEdge
{
    std::size_t nearest = 0; ///< Index of the member closest by XOR to the opposite vertex.
    std::size_t first = 0; ///< Indices of all members on the edge: [first, last).
    std::size_t last = 0;
    unsigned dimension = 0; ///< Index of the differing bit, from the highest.
    unsigned receiverDepth = 0; ///< First dimension along which the receiver forwards.
};

/// Returns the edges of label `own` along the dimensions from `depth` on. `labels` are those of all members,
/// ascending. In a full mesh, depth 0 has an edge to each other member and other depths have none.
std::vector<HypercubeEdge> hypercubeEdges(std::span<const std::uint64_t> labels, std::uint64_t own,
                                          unsigned depth = 0);

/// Returns the index of the nearest member of each edge of the member `self`.
std::vector<std::size_t> hypercubeNeighbours(std::span<const std::uint64_t> labels, std::size_t self);

/// Changes that this node has forwarded, and along which dimensions.
struct ForwardedChanges
{
    struct Forwarded
    {
        unsigned depth = labelBits; ///< Forwarded along the dimensions from here on.
        TimePoint updatedAt;
    };

    std::unordered_map<std::uint64_t, Forwarded> byChange; ///< By `hashVersion`, or by `ZoneLoss::id`.
};

/// The dimensions [from, to).
struct DimensionRange
{
    unsigned from = 0;
    unsigned to = 0;

    bool isEmpty() const
    {
        return from >= to;
    }
};

/// Returns the dimensions from `depth` on along which this node has not forwarded `change`, and records them
/// as forwarded. Removes entries that are older than a minute once there are more than 4096.
DimensionRange claimDimensions(ForwardedChanges &forwarded, std::uint64_t change, unsigned depth,
                               TimePoint now);

} // namespace oriolelever
