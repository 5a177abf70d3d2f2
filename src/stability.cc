#include "oriolelever/stability.h"

#include <algorithm>

#include "control.pb.h"

namespace oriolelever {

void merge(ForceReport &total, const ForceReport &part)
{
    total.confirmed += part.confirmed;
    total.asked += part.asked;
    for (const auto &name : part.missing) {
        if (total.missing.size() < maxMissingNames) {
            total.missing.push_back(name);
        }
    }
}

void count(ForceReport &report, const std::string &name, bool confirmed)
{
    ForceReport part{.confirmed = confirmed ? 1U : 0U, .asked = 1};
    if (!confirmed) {
        part.missing.push_back(name);
    }
    merge(report, part);
}

std::string encodeForceQuestion(const ForceQuestion &question)
{
    proto::ForceQuery message;
    message.set_kind(static_cast<std::uint32_t>(question.key.kind));
    message.set_name(question.key.name);
    message.set_epoch(question.version.epoch);
    message.set_sequence(question.version.sequence);
    message.set_first(question.first);
    message.set_last(question.last);
    message.set_timeout_ms(static_cast<std::uint32_t>(question.timeout.count()));
    return message.SerializeAsString();
}

Result<ForceQuestion> decodeForceQuestion(const std::string &bytes)
{
    proto::ForceQuery message;
    const bool valid = message.ParseFromString(bytes)
        && message.kind() >= static_cast<std::uint32_t>(RecordKind::Service)
        && message.kind() <= static_cast<std::uint32_t>(RecordKind::Node);
    if (!valid) {
        return fail(Code::MessageMalformed, "question for a version cannot be decoded");
    }
    return ForceQuestion{.key = {static_cast<RecordKind>(message.kind()), message.name()},
                         .version = {message.epoch(), message.sequence()},
                         .first = message.first(),
                         .last = message.last(),
                         .timeout = std::chrono::milliseconds(message.timeout_ms())};
}

std::string encodeForceReport(const ForceReport &report)
{
    proto::ForceAnswer message;
    message.set_confirmed(report.confirmed);
    message.set_asked(report.asked);
    for (const auto &name : report.missing) {
        message.add_missing(name);
    }
    return message.SerializeAsString();
}

Result<ForceReport> decodeForceReport(const std::string &bytes)
{
    proto::ForceAnswer message;
    if (!message.ParseFromString(bytes)) {
        return fail(Code::MessageMalformed, "report on a version cannot be decoded");
    }
    return ForceReport{.confirmed = message.confirmed(),
                       .asked = message.asked(),
                       .missing = {message.missing().begin(), message.missing().end()}};
}

std::vector<std::vector<Member>> splitForce(std::span<const Member> members, const ForceQuestion &question,
                                            const std::string &self)
{
    std::vector<Member> range;
    for (const auto &member : members) {
        const bool inside = member.label >= question.first && member.label <= question.last;
        if (inside && member.name != self) {
            range.push_back(member);
        }
    }
    std::vector<std::vector<Member>> parts;
    const auto size = (range.size() + forceFanout - 1) / forceFanout;
    for (std::size_t first = 0; first < range.size(); first += size) {
        const auto last = std::min(first + size, range.size());
        parts.emplace_back(range.begin() + static_cast<std::ptrdiff_t>(first),
                           range.begin() + static_cast<std::ptrdiff_t>(last));
    }
    return parts;
}

bool isInForce(const RecordTable &table, const RecordKey &key, const RecordVersion &version)
{
    const auto inForce = table.version(key);
    return inForce && *inForce >= version;
}

void ForceGathering::add(const ForceReport &part)
{
    merge(m_total, part);
    if (--m_open == 0) {
        m_done(m_total);
    }
}

} // namespace oriolelever
