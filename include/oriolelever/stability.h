/// Query whether every live node has a version of a record in force. Each query builds its own tree of
/// delegates.
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include "oriolelever/dissem.h"

namespace oriolelever {

/// Result of a query, for all or some of the nodes.
struct InForceReport
{
    std::uint64_t confirmed = 0; ///< Nodes that have the version or a later one in force.
    std::uint64_t queried = 0; ///< Live nodes, in the views of the nodes that queried them.
    std::vector<std::string> missing; ///< Names of nodes that did not confirm; at most `maxMissingNames`.
};

constexpr std::size_t maxMissingNames = 100;
/// Most ranges into which a node splits the members that it queries.
constexpr std::size_t queryFanout = 8;

/// Adds `part` to `total`.
void addReport(InForceReport &total, const InForceReport &part);
/// Adds one node to `report`.
void countNode(InForceReport &report, const std::string &name, bool confirmed);

/// Query to a node that answers for the members of a range of labels, for itself and for its agents.
struct InForceQuery
{
    RecordKey key;
    RecordVersion version;
    std::uint64_t first = 0; ///< First label of the range [first, last].
    std::uint64_t last = UINT64_MAX; ///< Last label, included.
    std::chrono::milliseconds timeout{5000}; ///< For the whole answer.
};

std::string encodeInForceQuery(const InForceQuery &query);
Result<InForceQuery> decodeInForceQuery(const std::string &bytes);
std::string encodeInForceReport(const InForceReport &report);
Result<InForceReport> decodeInForceReport(const std::string &bytes);

/// Splits the members in the range of `query`, without `self`, into at most `queryFanout` ranges of equal
/// size. The first member of a range that answers is its delegate.
std::vector<std::vector<Member>> splitQueryRange(std::span<const Member> members, const InForceQuery &query,
                                                 const std::string &self);

/// Returns true if `table` has `version` of the record or a later one in force.
bool isInForce(const RecordTable &table, const RecordKey &key, const RecordVersion &version);

/// Adds up reports and calls `done` with the total after the last expected one.
class InForceAggregator
{
public:
    explicit InForceAggregator(std::function<void(InForceReport)> done)
        : m_done(std::move(done))
    {
    }

    /// Registers a report that will be added. Must come before the report that would complete the total.
    void expectReport()
    {
        ++m_expectedReports;
    }

    void add(const InForceReport &part);

private:
    std::function<void(InForceReport)> m_done;
    InForceReport m_total;
    std::size_t m_expectedReports = 0;
};

} // namespace oriolelever
