#include "oriolelever/stability.h"

#include <algorithm>

#include "control.pb.h"

namespace oriolelever {

void addReport(InForceReport &total, const InForceReport &part)
{
    total.confirmed += part.confirmed;
    total.queried += part.queried;
    for (const auto &name : part.missing) {
        if (total.missing.size() < maxMissingNames) {
            total.missing.push_back(name);
        }
    }
}

void countNode(InForceReport &report, const std::string &name, bool confirmed)
{
    InForceReport part{.confirmed = confirmed ? 1U : 0U, .queried = 1};
    if (!confirmed) {
        part.missing.push_back(name);
    }
    addReport(report, part);
}

std::string encodeInForceQuery(const InForceQuery &query)
{
    proto::ForceQuery message;
    message.set_kind(static_cast<std::uint32_t>(query.key.kind));
    message.set_name(query.key.name);
    message.set_epoch(query.version.epoch);
    message.set_sequence(query.version.sequence);
    message.set_first(query.first);
    message.set_last(query.last);
    message.set_timeout_ms(static_cast<std::uint32_t>(query.timeout.count()));
    return message.SerializeAsString();
}

Result<InForceQuery> decodeInForceQuery(const std::string &bytes)
{
    proto::ForceQuery message;
    const bool valid = message.ParseFromString(bytes)
        && message.kind() >= static_cast<std::uint32_t>(RecordKind::Service)
        && message.kind() <= static_cast<std::uint32_t>(RecordKind::Node);
    if (!valid) {
        return fail(Code::MessageMalformed, "query for a version in force is malformed");
    }
    return InForceQuery{.key = {static_cast<RecordKind>(message.kind()), message.name()},
                        .version = {message.epoch(), message.sequence()},
                        .first = message.first(),
                        .last = message.last(),
                        .timeout = std::chrono::milliseconds(message.timeout_ms())};
}

std::string encodeInForceReport(const InForceReport &report)
{
    proto::ForceAnswer message;
    message.set_confirmed(report.confirmed);
    message.set_asked(report.queried);
    for (const auto &name : report.missing) {
        message.add_missing(name);
    }
    return message.SerializeAsString();
}

Result<InForceReport> decodeInForceReport(const std::string &bytes)
{
    proto::ForceAnswer message;
    if (!message.ParseFromString(bytes)) {
        return fail(Code::MessageMalformed, "report on a version in force is malformed");
    }
    return InForceReport{.confirmed = message.confirmed(),
                         .queried = message.asked(),
                         .missing = {message.missing().begin(), message.missing().end()}};
}

std::vector<std::vector<Member>> splitQueryRange(std::span<const Member> members, const InForceQuery &query,
                                                 const std::string &self)
{
    std::vector<Member> range;
    for (const auto &member : members) {
        const bool inside = member.label >= query.first && member.label <= query.last;
        if (inside && member.name != self) {
            range.push_back(member);
        }
    }
    std::vector<std::vector<Member>> parts;
    const auto size = (range.size() + queryFanout - 1) / queryFanout;
    for (std::size_t first = 0; first < range.size(); first += size) {
        const auto last = std::min(first + size, range.size());
        parts.emplace_back(range.begin() + static_cast<std::ptrdiff_t>(first),
                           range.begin() + static_cast<std::ptrdiff_t>(last));
    }
    return parts;
}

bool isInForce(const RecordTable &table, const RecordKey &key, const RecordVersion &version)
{
    const auto current = table.version(key);
    return current && *current >= version;
}

void InForceAggregator::add(const InForceReport &part)
{
    addReport(m_total, part);
    if (--m_expectedReports == 0) {
        m_done(m_total);
    }
}

} // namespace oriolelever
