#include "oriolelever/claims.h"

#include <algorithm>
#include <charconv>

namespace oriolelever {

namespace {

using std::chrono::milliseconds;
using std::chrono::system_clock;

constexpr std::size_t holderCount = 3;

std::vector<Holder> firstHolders(const std::string &key, const std::vector<Holder> &members)
{
    std::vector<std::pair<std::uint64_t, Holder>> scored;
    for (const auto &member : members) {
        scored.emplace_back(hashName(member.name + "\n" + key), member);
    }
    const auto kept = std::min(holderCount, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept), scored.end());
    std::vector<Holder> holders;
    for (std::size_t i = 0; i < kept; ++i) {
        holders.push_back(scored[i].second);
    }
    return holders;
}

std::vector<Holder> memberList(const ClaimTable &table)
{
    std::vector<Holder> members;
    for (const auto &[name, member] : table.members) {
        members.push_back({name, member.incarnation});
    }
    return members;
}

bool contains(const std::vector<Holder> &holders, const std::string &name)
{
    return std::any_of(holders.begin(), holders.end(),
                       [&](const Holder &holder) { return holder.name == name; });
}

// An earlier grant of this holder is at another holder too, so what all others sent replaces a lost memory.
TimePoint recoveredSince(const ClaimTable &table, const std::vector<Holder> &holders)
{
    TimePoint since = TimePoint::min();
    for (const auto &holder : holders) {
        if (holder.name == table.self.name) {
            continue;
        }
        const auto known = table.recoveredFrom.find(holder.name);
        if (known == table.recoveredFrom.end()) {
            return table.startedAt;
        }
        since = std::max(since, known->second);
    }
    return since == TimePoint::min() ? table.startedAt : std::min(since, table.startedAt);
}

// A former member may have held a claim on the key that its successor never saw.
TimePoint removalOf(const ClaimTable &table, const std::string &key)
{
    auto latest = TimePoint::min();
    for (const auto &[name, when] : table.removed) {
        auto members = memberList(table);
        members.push_back({name, 0});
        if (contains(firstHolders(key, members), name)) {
            latest = std::max(latest, when);
        }
    }
    return latest;
}

milliseconds memoryOf(const ClaimTable &table, const std::string &key, TimePoint now)
{
    const auto since = std::max(recoveredSince(table, holdersOf(table, key)), removalOf(table, key));
    return std::max(milliseconds(0), std::chrono::floor<milliseconds>(now - since));
}

bool agreesOnHolders(const ClaimTable &table, const ClaimRequest &request)
{
    const auto own = holdersOf(table, request.key);
    if (own.size() != request.holders.size()) {
        return false;
    }
    for (std::size_t i = 0; i < own.size(); ++i) {
        const auto &asked = request.holders[i];
        const auto fence = table.fences.find(asked.name);
        const bool fenced = fence != table.fences.end() && asked.incarnation < fence->second;
        const bool otherSelf = asked.name == table.self.name && asked.incarnation != table.self.incarnation;
        if (asked.name != own[i].name || fenced || otherSelf) {
            return false;
        }
    }
    return contains(own, table.self.name);
}

// Two submissions may hold grants of one key at different holders, and only one of them won. Until that is
// known neither may release the key.
void merge(std::unordered_map<std::string, ClaimEntry> &entries, const std::string &key,
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

std::size_t proofs(const ClaimRound &round)
{
    return static_cast<std::size_t>(
        std::count_if(round.replies.begin(), round.replies.end(), [&](const auto &reply) {
            return reply.second.verdict == HolderVerdict::Granted && reply.second.memory >= round.need.memory;
        }));
}

std::size_t grants(const ClaimRound &round)
{
    return static_cast<std::size_t>(
        std::count_if(round.replies.begin(), round.replies.end(),
                      [](const auto &reply) { return reply.second.verdict == HolderVerdict::Granted; }));
}

} // namespace

void setMembers(ClaimTable &table, const std::vector<Holder> &present, TimePoint now)
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

std::vector<Holder> holdersOf(const ClaimTable &table, const std::string &key)
{
    // A restarted agent that counted itself as the only holder would prove every key fresh.
    return table.membersKnown ? firstHolders(key, memberList(table)) : std::vector<Holder>();
}

std::size_t quorum(std::size_t holders)
{
    return holders / 2 + 1;
}

HolderReply claim(ClaimTable &table, const ClaimRequest &request, TimePoint now)
{
    const auto known = table.entries.find(request.key);
    if (known != table.entries.end() && known->second.id != request.id) {
        return replyOf(known->second);
    }
    if (!agreesOnHolders(table, request)) {
        return {};
    }
    if (known == table.entries.end()) {
        if (table.entries.size() >= table.options.maxEntries) {
            return {};
        }
        const ClaimEntry entry{request.id, ClaimState::Running, now, request.deadline, {}};
        table.entries.emplace(request.key, entry);
    }
    return {HolderVerdict::Granted, memoryOf(table, request.key, now), {}};
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

void expire(ClaimTable &table, TimePoint now)
{
    const auto window = table.options.window + table.options.clockTolerance;
    std::erase_if(table.entries, [&](const auto &entry) { return now - entry.second.claimedAt > window; });
    std::erase_if(table.removed, [&](const auto &former) { return now - former.second > window; });
    for (auto member = table.members.begin(); member != table.members.end();) {
        if (member->second.present || now - member->second.absentSince <= window) {
            ++member;
            continue;
        }
        table.removed[member->first] = now;
        member = table.members.erase(member);
    }
    for (auto &[key, entry] : table.entries) {
        const bool silent = now > entry.deadline + table.options.clockTolerance;
        if (entry.state == ClaimState::Running && silent) {
            entry.state = ClaimState::Unknown;
        }
    }
}

RecoveredClaims claimsFor(ClaimTable &table, const Holder &member, TimePoint now)
{
    auto &fence = table.fences[member.name];
    fence = std::max(fence, member.incarnation);
    auto &known = table.members[member.name];
    known.incarnation = std::max(known.incarnation, member.incarnation);
    known.present = true;
    RecoveredClaims claims;
    claims.memory = std::chrono::floor<milliseconds>(now - recoveredSince(table, memberList(table)));
    for (const auto &[key, entry] : table.entries) {
        if (contains(holdersOf(table, key), member.name)) {
            claims.entries.emplace_back(key, entry);
        }
    }
    return claims;
}

void recover(ClaimTable &table, const std::string &from, const RecoveredClaims &claims, TimePoint now)
{
    table.recoveredFrom[from] = now - claims.memory;
    for (const auto &[key, entry] : claims.entries) {
        merge(table.entries, key, entry);
    }
}

std::vector<Holder> missingRecoveries(const ClaimTable &table)
{
    std::vector<Holder> missing;
    for (const auto &[name, member] : table.members) {
        if (name == table.self.name || table.recoveredFrom.contains(name)) {
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
    const bool shaped = key.size() == uuidLength && key[8] == '-' && key[13] == '-' && key[18] == '-'
        && key[23] == '-' && key[versionPosition] == '7';
    if (!shaped) {
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

FreshnessNeed freshnessNeed(const std::string &key, const ClaimOptions &options, system_clock::time_point now)
{
    const auto made = timeOfKey(key);
    if (!made) {
        return {false, options.window};
    }
    const auto age = std::chrono::ceil<milliseconds>(now - *made);
    if (age > options.window || age < -options.clockTolerance) {
        return {true, options.window};
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
    if (!round.need.expired && proofs(round) >= needed) {
        return RoundDecision::Fresh;
    }
    if (round.replies.size() + round.failed.size() < round.holders.size()) {
        return RoundDecision::Waiting;
    }
    if (hasReply(round, HolderVerdict::Running)) {
        return RoundDecision::Busy;
    }
    return grants(round) >= needed ? RoundDecision::NotProven : RoundDecision::Unreachable;
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

milliseconds provenAfter(const ClaimRound &round)
{
    std::vector<milliseconds> missing;
    for (const auto &[holder, reply] : round.replies) {
        missing.push_back(std::max(milliseconds(0), round.need.memory - reply.memory));
    }
    std::sort(missing.begin(), missing.end());
    const auto needed = quorum(round.holders.size());
    return missing.size() < needed ? round.need.memory : missing[needed - 1];
}

} // namespace oriolelever
