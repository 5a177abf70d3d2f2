/// Learning that a version is in force on every live node, by a tree that each question builds anew.
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include "oriolelever/dissem.h"

namespace oriolelever {

/// What is known of one version.
struct ForceReport
{
    std::uint64_t confirmed = 0;
    std::uint64_t asked = 0; ///< Live nodes, as seen by those that asked them.
    std::vector<std::string> missing; ///< At most `maxMissingNames`.
};

constexpr std::size_t maxMissingNames = 100;
/// Ranges that a node splits its part of the members into.
constexpr std::size_t forceFanout = 8;

/// Adds `part` to `total`.
void merge(ForceReport &total, const ForceReport &part);
/// Counts one node.
void count(ForceReport &report, const std::string &name, bool confirmed);

/// Question to the node that answers for the members of a range of labels.
struct ForceQuestion
{
    RecordKey key;
    RecordVersion version;
    std::uint64_t first = 0; ///< Labels in [first, last].
    std::uint64_t last = UINT64_MAX;
    std::chrono::milliseconds timeout{5000};
};

std::string encodeForceQuestion(const ForceQuestion &question);
Result<ForceQuestion> decodeForceQuestion(const std::string &bytes);
std::string encodeForceReport(const ForceReport &report);
Result<ForceReport> decodeForceReport(const std::string &bytes);

/// Members of `question`'s range but `self`, split into at most `forceFanout` ranges of equal size. Each is
/// asked through its first member that answers.
std::vector<std::vector<Member>> splitForce(std::span<const Member> members, const ForceQuestion &question,
                                            const std::string &self);

/// True when the record is in force at `version` or later.
bool isInForce(const RecordTable &table, const RecordKey &key, const RecordVersion &version);

/// Sums the parts of a report and calls `done` after the last one.
class ForceGathering
{
public:
    explicit ForceGathering(std::function<void(ForceReport)> done)
        : m_done(std::move(done))
    {
    }

    /// Announces a part that will be added.
    void expect()
    {
        ++m_open;
    }

    void add(const ForceReport &part);

private:
    std::function<void(ForceReport)> m_done;
    ForceReport m_total;
    std::size_t m_open = 0;
};

} // namespace oriolelever
