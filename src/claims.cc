#include "oriolelever/claims.h"

#include <algorithm>
#include <charconv>

namespace oriolelever {

namespace {

using std::chrono::milliseconds;
using std::chrono::system_clock;

// Majorities of three holders tolerate the loss of one.
constexpr std::size_t holderCount = 3;

// The members with the lowest hashes of name and key.
std::vector<AgentId> selectHolders(const std::string &key, const std::vector<AgentId> &members)
{
    std::vector<std::pair<std::uint64_t, AgentId>> scored;
    for (const auto &member : members) {
        scored.emplace_back(hashName(member.name + "\n" + key), member);
    }
    const auto selectedCount = std::min(holderCount, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(selectedCount),
                      scored.end());
    std::vector<AgentId> holders;
    for (std::size_t i = 0; i < selectedCount; ++i) {
        holders.push_back(scored[i].second);
    }
    return holders;
}

std::vector<AgentId> memberList(const ClaimTable &table)
{
    std::vector<AgentId> members;
    for (const auto &[name, member] : table.members) {
        members.push_back({name, member.incarnation});
    }
    return members;
}

bool contains(const std::vector<AgentId> &holders, const std::string &name)
{
    return std::any_of(holders.begin(), holders.end(),
                       [&](const AgentId &holder) { return holder.name == name; });
}

// Start of the period whose claims this agent knows. Each claim that it lost by a restart is at another
// holder too, so the claims of all other `holders` together restore them. All of them know the claims
// since the latest of their recovered starts, and this agent knows those since its own start: the earlier of
// both times counts.
TimePoint memoryStart(const ClaimTable &table, const std::vector<AgentId> &holders)
{
    TimePoint since = TimePoint::min();
    for (const auto &holder : holders) {
        if (holder.name == table.self.name) {
            continue;
        }
        const auto known = table.recoveredMemoryStart.find(holder.name);
        if (known == table.recoveredMemoryStart.end()) {
            return table.startedAt;
        }
        since = std::max(since, known->second);
    }
    return since == TimePoint::min() ? table.startedAt : std::min(since, table.startedAt);
}

// Latest removal of a member that would be a holder of the key; TimePoint::min() if there is none. That
// member may have held a claim on the key that its successor never received.
TimePoint latestRemoval(const ClaimTable &table, const std::string &key)
{
    auto latest = TimePoint::min();
    for (const auto &[name, when] : table.formerMembers) {
        auto members = memberList(table);
        members.push_back({name, 0});
        if (contains(selectHolders(key, members), name)) {
            latest = std::max(latest, when);
        }
    }
    return latest;
}

// Age up to which this agent would know of a claim on the key.
milliseconds memorySpanOf(const ClaimTable &table, const std::string &key, TimePoint now)
{
    const auto since = std::max(memoryStart(table, holdersOf(table, key)), latestRemoval(table, key));
    return std::max(milliseconds(0), std::chrono::floor<milliseconds>(now - since));
}

// True if the claim names the holders and incarnations that this agent knows, itself among them.
bool agreesOnHolders(const ClaimTable &table, const ClaimRequest &request)
{
    const auto own = holdersOf(table, request.key);
    if (own.size() != request.holders.size()) {
        return false;
    }
    for (std::size_t i = 0; i < own.size(); ++i) {
        const auto &claimed = request.holders[i];
        const auto fence = table.fences.find(claimed.name);
        const bool fenced = fence != table.fences.end() && claimed.incarnation < fence->second;
        const bool isOtherIncarnation
            = claimed.name == table.self.name && claimed.incarnation != table.self.incarnation;
        if (claimed.name != own[i].name || fenced || isOtherIncarnation) {
            return false;
        }
    }
    return contains(own, table.self.name);
}

// Adds a recovered entry. Two competing claims may each have been accepted by different holders of one key,
// and at most one of them has succeeded. As long as it is unknown which, neither may release the key, so the
// entry loses its id.
void mergeEntry(std::unordered_map<std::string, ClaimEntry> &entries, const std::string &key,
                const ClaimEntry &entry)
{
    const auto [known, added] = entries.try_emplace(key, entry);
    auto &kept = known->second;
    if (added || kept.state == ClaimState::Answered) {
        return;
    }
    if (entry.state == ClaimState::Answered || kept.id == entry.id) {
        kept = entry.state == ClaimState::Running ? kept : entry;
        return;
    }
    kept.id = {};
    kept.state = ClaimState::Unknown;
}

HolderReply replyOf(const ClaimEntry &entry)
{
    switch (entry.state) {
    case ClaimState::Running:
        return {HolderVerdict::Running, {}, {}};
    case ClaimState::Answered:
        return {HolderVerdict::Answered, {}, entry.answer};
    case ClaimState::Unknown:
        return {HolderVerdict::Unknown, {}, {}};
    }
    return {};
}

bool hasReply(const ClaimRound &round, HolderVerdict verdict)
{
    return std::any_of(round.replies.begin(), round.replies.end(),
                       [&](const auto &reply) { return reply.second.verdict == verdict; });
}

// Number of holders that prove the key fresh: they have accepted the claim and would know of an earlier one.
std::size_t proofCount(const ClaimRound &round)
{
    return static_cast<std::size_t>(
        std::count_if(round.replies.begin(), round.replies.end(), [&](const auto &reply) {
            return reply.second.verdict == HolderVerdict::Accepted
                && reply.second.memorySpan >= round.requirement.memorySpan;
        }));
}

std::size_t acceptedCount(const ClaimRound &round)
{
    return static_cast<std::size_t>(
        std::count_if(round.replies.begin(), round.replies.end(),
                      [](const auto &reply) { return reply.second.verdict == HolderVerdict::Accepted; }));
}

} // namespace

void setMembers(ClaimTable &table, const std::vector<AgentId> &present, TimePoint now)
{
    table.membersKnown = true;
    for (auto &[name, member] : table.members) {
        const bool isPresent = contains(present, name);
        member.absentSince = member.present && !isPresent ? now : member.absentSince;
        member.present = isPresent;
    }
    for (const auto &holder : present) {
        auto &member = table.members[holder.name];
        member.incarnation = std::max(member.incarnation, holder.incarnation);
        member.present = true;
    }
}

std::vector<AgentId> holdersOf(const ClaimTable &table, const std::string &key)
{
    // As the only member it knows, a restarted agent would be the only holder and prove every key fresh.
    return table.membersKnown ? selectHolders(key, memberList(table)) : std::vector<AgentId>();
}

std::size_t quorum(std::size_t holders)
{
    return holders / 2 + 1;
}

HolderReply handleClaim(ClaimTable &table, const ClaimRequest &request, TimePoint now)
{
    const auto known = table.entries.find(request.key);
    if (known != table.entries.end() && known->second.id != request.id) {
        return replyOf(known->second);
    }
    if (!agreesOnHolders(table, request)) {
        return {}; // Refused.
    }
    if (known == table.entries.end()) {
        if (table.entries.size() >= table.options.maxEntries) {
            return {}; // Refused.
        }
        const ClaimEntry entry{request.id, ClaimState::Running, now, request.deadline, {}};
        table.entries.emplace(request.key, entry);
    }
    return {HolderVerdict::Accepted, memorySpanOf(table, request.key, now), {}};
}

void settle(ClaimTable &table, const std::string &key, const ClaimId &id, ClaimEnd end,
            const KeptAnswer &answer)
{
    const auto known = table.entries.find(key);
    if (known == table.entries.end() || known->second.id != id) {
        return;
    }
    auto &entry = known->second;
    if (end == ClaimEnd::Released) {
        table.entries.erase(known);
        return;
    }
    const bool keep = end == ClaimEnd::Answered && answer.body.size() <= table.options.maxAnswerBytes
        && answer.status != 0;
    entry.state = keep ? ClaimState::Answered : ClaimState::Unknown;
    entry.answer = keep ? answer : KeptAnswer{};
}

void expireClaims(ClaimTable &table, TimePoint now)
{
    const auto window = table.options.window + table.options.clockTolerance;
    std::erase_if(table.entries, [&](const auto &entry) { return now - entry.second.claimedAt > window; });
    std::erase_if(table.formerMembers, [&](const auto &former) { return now - former.second > window; });
    for (auto member = table.members.begin(); member != table.members.end();) {
        if (member->second.present || now - member->second.absentSince <= window) {
            ++member;
            continue;
        }
        table.formerMembers[member->first] = now;
        member = table.members.erase(member);
    }
    for (auto &[key, entry] : table.entries) {
        const bool overdue = now > entry.deadline + table.options.clockTolerance;
        if (entry.state == ClaimState::Running && overdue) {
            entry.state = ClaimState::Unknown;
        }
    }
}

RecoveredClaims exportClaims(ClaimTable &table, const AgentId &member, TimePoint now)
{
    auto &fence = table.fences[member.name];
    fence = std::max(fence, member.incarnation);
    auto &known = table.members[member.name];
    known.incarnation = std::max(known.incarnation, member.incarnation);
    known.present = true;
    RecoveredClaims claims;
    claims.memorySpan = std::chrono::floor<milliseconds>(now - memoryStart(table, memberList(table)));
    for (const auto &[key, entry] : table.entries) {
        if (contains(holdersOf(table, key), member.name)) {
            claims.entries.emplace_back(key, entry);
        }
    }
    return claims;
}

void importClaims(ClaimTable &table, const std::string &from, const RecoveredClaims &claims, TimePoint now)
{
    table.recoveredMemoryStart[from] = now - claims.memorySpan;
    for (const auto &[key, entry] : claims.entries) {
        mergeEntry(table.entries, key, entry);
    }
}

std::vector<AgentId> missingRecoveries(const ClaimTable &table)
{
    std::vector<AgentId> missing;
    for (const auto &[name, member] : table.members) {
        if (name == table.self.name || table.recoveredMemoryStart.contains(name)) {
            continue;
        }
        missing.push_back({name, member.incarnation});
    }
    return missing;
}

std::optional<system_clock::time_point> timeOfKey(const std::string &key)
{
    constexpr std::size_t uuidLength = 36;
    constexpr std::size_t versionPosition = 14;
    constexpr int hexadecimal = 16;
    const bool isVersion7Uuid = key.size() == uuidLength && key[8] == '-' && key[13] == '-' && key[18] == '-'
        && key[23] == '-' && key[versionPosition] == '7';
    if (!isVersion7Uuid) {
        return std::nullopt;
    }
    const auto digits = key.substr(0, 8) + key.substr(9, 4);
    std::uint64_t value = 0;
    const auto [end, error]
        = std::from_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal);
    if (error != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return system_clock::time_point(milliseconds(value));
}

FreshnessRequirement freshnessRequirement(const std::string &key, const ClaimOptions &options,
                                          system_clock::time_point now)
{
    const auto createdAt = timeOfKey(key);
    if (!createdAt) {
        return {false, options.window};
    }
    const auto age = std::chrono::ceil<milliseconds>(now - *createdAt);
    if (age > options.window || age < -options.clockTolerance) {
        return {true, options.window}; // Outside of the window.
    }
    return {false, std::max(milliseconds(0), age + options.clockTolerance)};
}

RoundDecision decide(const ClaimRound &round)
{
    if (hasReply(round, HolderVerdict::Answered)) {
        return RoundDecision::Answered;
    }
    if (hasReply(round, HolderVerdict::Unknown)) {
        return RoundDecision::EarlierUnknown;
    }
    const auto needed = quorum(round.holders.size());
    if (!round.requirement.outsideWindow && proofCount(round) >= needed) {
        return RoundDecision::Fresh;
    }
    if (round.replies.size() + round.unreachableHolders.size() < round.holders.size()) {
        return RoundDecision::Waiting;
    }
    if (hasReply(round, HolderVerdict::Running)) {
        return RoundDecision::Busy;
    }
    return acceptedCount(round) >= needed ? RoundDecision::NotProven : RoundDecision::Unreachable;
}

const KeptAnswer &keptAnswer(const ClaimRound &round)
{
    static const KeptAnswer none;
    for (const auto &[holder, reply] : round.replies) {
        if (reply.verdict == HolderVerdict::Answered) {
            return reply.answer;
        }
    }
    return none;
}

milliseconds timeUntilProven(const ClaimRound &round)
{
    std::vector<milliseconds> missingSpans;
    for (const auto &[holder, reply] : round.replies) {
        missingSpans.push_back(std::max(milliseconds(0), round.requirement.memorySpan - reply.memorySpan));
    }
    std::sort(missingSpans.begin(), missingSpans.end());
    const auto needed = quorum(round.holders.size());
    return missingSpans.size() < needed ? round.requirement.memorySpan : missingSpans[needed - 1];
}

} // namespace oriolelever
