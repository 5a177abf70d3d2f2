/// At most once for keyed requests: claims on idempotency keys, held by agents of the service.
///
/// Three holders are chosen by hash of the key; a claim needs two that can prove that the key is fresh. Any
/// two pairs of holders share one, so that of two claims on a key at most one succeeds, without a store. A
/// holder that restarted recovers its claims from the others, which from then on refuse claims that count on
/// its former incarnation.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "oriolelever/request.h"

namespace oriolelever {

struct ClaimOptions
{
    std::chrono::milliseconds window{600'000}; ///< How long a key is remembered.
    std::chrono::milliseconds clockTolerance{
        2000}; ///< Largest difference between clocks of hosts and callers.
    std::size_t maxEntries = 100'000;
    std::size_t maxAnswerBytes = 65'536; ///< Larger answers are not kept.
};

/// Identifies one submission of a key.
struct ClaimId
{
    std::string owner; ///< Agent that runs the request.
    Incarnation incarnation = 0;
    RequestId request = 0;

    auto operator<=>(const ClaimId &) const = default;
};

enum class ClaimState : std::uint8_t { Running, Answered, Unknown };

/// An answer kept for repetitions.
struct KeptAnswer
{
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const KeptAnswer &) const = default;
};

struct ClaimEntry
{
    ClaimId id;
    ClaimState state = ClaimState::Running;
    TimePoint claimedAt;
    TimePoint deadline; ///< The owner never sends the request after it.
    KeptAnswer answer;
};

/// One agent that may hold claims.
struct Holder
{
    std::string name;
    Incarnation incarnation = 0;

    auto operator<=>(const Holder &) const = default;
};

struct ClaimMember
{
    Incarnation incarnation = 0;
    bool present = false;
    TimePoint absentSince;
};

/// Claims that one agent holds.
struct ClaimTable
{
    ClaimOptions options;
    Holder self;
    TimePoint startedAt;
    bool membersKnown = false; ///< No key has holders before the first `setMembers`.
    std::unordered_map<std::string, ClaimEntry> entries;
    std::map<std::string, ClaimMember> members;
    std::map<std::string, TimePoint> removed; ///< Former members, and when they were removed.
    std::map<std::string, TimePoint> recoveredFrom; ///< Start of the memory that each other member sent.
    std::map<std::string, Incarnation> fences; ///< Smallest incarnation accepted of each other member.
};

enum class HolderVerdict : std::uint8_t { Granted, Running, Answered, Unknown, Refused };

struct HolderReply
{
    HolderVerdict verdict = HolderVerdict::Refused;
    std::chrono::milliseconds memory{0}; ///< How far back the holder's memory of this key reaches.
    KeptAnswer answer;
};

/// Puts the members of the service that may hold claims in force. A member that left is kept for the window,
/// so that a suspicion never moves a key away from agents that may hold its claim.
void setMembers(ClaimTable &table, const std::vector<Holder> &present, TimePoint now);

/// Up to three holders of the key, by rendezvous hash over the members; none before the members are known.
std::vector<Holder> holdersOf(const ClaimTable &table, const std::string &key);
/// Holders that must prove a key fresh: the majority.
std::size_t quorum(std::size_t holders);

struct ClaimRequest
{
    std::string key;
    ClaimId id;
    std::vector<Holder> holders; ///< As the owner knows them.
    TimePoint deadline; ///< End of the request.
};

/// Answers a claim; refuses one whose owner knows other holders or earlier incarnations of them.
HolderReply claim(ClaimTable &table, const ClaimRequest &request, TimePoint now);
/// Ends the claim of `id`; ignored if another submission holds the key.
void settle(ClaimTable &table, const std::string &key, const ClaimId &id, ClaimEnd end,
            const KeptAnswer &answer);
/// Drops entries older than the window and marks those whose owner never told their end.
void expire(ClaimTable &table, TimePoint now);

struct RecoveredClaims
{
    std::vector<std::pair<std::string, ClaimEntry>> entries;
    std::chrono::milliseconds memory{0}; ///< How far back the sender's own memory reaches.
};

/// What `member` needs to recover after its start; from now on claims on its earlier incarnations are
/// refused.
RecoveredClaims claimsFor(ClaimTable &table, const Holder &member, TimePoint now);
/// Takes over what the member `from` sent.
void recover(ClaimTable &table, const std::string &from, const RecoveredClaims &claims, TimePoint now);
/// Members that have not sent their claims yet.
std::vector<Holder> missingRecoveries(const ClaimTable &table);

/// The time that a key carries: a UUID of version 7 does.
std::optional<std::chrono::system_clock::time_point> timeOfKey(const std::string &key);

/// How far back a memory must reach to prove the key fresh, or a refusal.
struct FreshnessNeed
{
    bool expired = false; ///< The key is older than the window, or from the future: never run.
    std::chrono::milliseconds memory{0};
};

FreshnessNeed freshnessNeed(const std::string &key, const ClaimOptions &options,
                            std::chrono::system_clock::time_point now);

/// One submission that asks its holders.
struct ClaimRound
{
    FreshnessNeed need;
    std::vector<Holder> holders;
    std::map<std::string, HolderReply> replies;
    std::set<std::string> failed;
};

enum class RoundDecision : std::uint8_t {
    Waiting,
    Fresh,
    Answered,
    Busy, ///< An earlier submission runs, or two compete: release and ask again.
    EarlierUnknown,
    Unreachable,
    NotProven,
};

RoundDecision decide(const ClaimRound &round);
/// The answer of the first run; only after `RoundDecision::Answered`.
const KeptAnswer &keptAnswer(const ClaimRound &round);
/// Time until the holders' memory suffices; for `Retry-After`.
std::chrono::milliseconds provenAfter(const ClaimRound &round);

} // namespace oriolelever
