/// Claims on idempotency keys, kept by agents of the service: a request with a key runs at most once.
///
/// Up to three agents, chosen by a hash of the key, hold the claims on it. A request may run only if a
/// majority of them, two of three, accepts its claim and can prove that the key is fresh, that is, that they
/// would know of any earlier claim on it. Any two majorities share a holder, so at most one of two concurrent
/// claims succeeds, without a central store. A holder that restarted copies its claims from the other
/// members, which from then on refuse claims that name its earlier incarnation.
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
    std::chrono::milliseconds window{600'000}; ///< How long holders keep a key after its claim.
    std::chrono::milliseconds clockTolerance{
        2000}; ///< Largest difference between clocks of hosts and callers.
    std::size_t maxEntries = 100'000; ///< Keys in one table; claims beyond it are refused.
    std::size_t maxAnswerBytes = 65'536; ///< Largest body kept; a larger answer ends its claim as unknown.
};

/// Identifies one claim on a key.
struct ClaimId
{
    std::string agent; ///< Name of the agent that makes the claim and runs the request.
    Incarnation incarnation = 0; ///< Of that agent.
    RequestId request = 0; ///< Number of the claim within this incarnation.

    auto operator<=>(const ClaimId &) const = default;
};

enum class ClaimState : std::uint8_t {
    Running, ///< The claim has no end yet.
    Answered, ///< The request was answered and the answer is kept.
    Unknown ///< The request may have run, but no answer is kept.
};

/// Answer to the first request with a key, kept for repetitions of it.
struct KeptAnswer
{
    std::uint16_t status = 0; ///< HTTP status; 0 if no answer is kept.
    std::string contentType;
    std::string body;

    bool operator==(const KeptAnswer &) const = default;
};

/// Claim on one key, as a holder stores it.
struct ClaimEntry
{
    ClaimId id;
    ClaimState state = ClaimState::Running;
    TimePoint claimedAt; ///< When this holder accepted the claim, by its own clock.
    TimePoint deadline; ///< The claiming agent never sends the request after it.
    KeptAnswer answer; ///< Set if `state` is `Answered`.
};

/// One run of an agent; agents hold claims and make them.
struct AgentId
{
    std::string name;
    Incarnation incarnation = 0;

    auto operator<=>(const AgentId &) const = default;
};

/// Agent of the service that may hold claims.
struct ClaimMember
{
    Incarnation incarnation = 0; ///< Latest one known.
    bool present = false; ///< In the latest list of `setMembers`.
    TimePoint absentSince; ///< When it left that list; valid if `present` is false.
};

/// Claims that one agent holds, and what it knows of the other members.
struct ClaimTable
{
    ClaimOptions options;
    AgentId self; ///< The agent that this table belongs to.
    TimePoint startedAt; ///< Start of this agent; earlier claims must be recovered.
    bool membersKnown = false; ///< Set by the first `setMembers`; no key has holders before.
    std::unordered_map<std::string, ClaimEntry> entries; ///< By idempotency key.
    std::map<std::string, ClaimMember> members; ///< By agent name; includes `self`.
    std::map<std::string, TimePoint> formerMembers; ///< Removal time, by agent name.
    /// Start of the period that the imported claims of a member cover, by agent name; set by `importClaims`.
    std::map<std::string, TimePoint> recoveredMemoryStart;
    /// Smallest incarnation of a member that claims may name, by agent name; set by `exportClaims`.
    std::map<std::string, Incarnation> fences;
};

enum class HolderVerdict : std::uint8_t {
    Accepted, ///< The holder has stored the claim.
    Running, ///< Another claim on the key has no end yet.
    Answered, ///< The request was answered under another claim; the answer is in the reply.
    Unknown, ///< The request may have run under another claim.
    Refused ///< The two agents differ on the key's holders, or the table is full.
};

/// Reply of one holder to a claim.
struct HolderReply
{
    HolderVerdict verdict = HolderVerdict::Refused;
    std::chrono::milliseconds memorySpan{0}; ///< Age up to which the holder would know of a claim on the key.
    KeptAnswer answer; ///< Set if `verdict` is `Answered`.
};

/// Sets the agents that may hold claims. A member that is not in `present` any more stays a holder for the
/// window, so that a wrong suspicion never moves a key away from the agents that may hold its claim.
void setMembers(ClaimTable &table, const std::vector<AgentId> &present, TimePoint now);

/// Returns up to three holders of the key, by rendezvous hash over the members; none before the members are
/// known.
std::vector<AgentId> holdersOf(const ClaimTable &table, const std::string &key);
/// Returns how many of `holders` must prove a key fresh: the majority.
std::size_t quorum(std::size_t holders);

/// Claim as it is sent to each holder.
struct ClaimRequest
{
    std::string key;
    ClaimId id;
    std::vector<AgentId> holders; ///< Holders of the key as the claiming agent knows them.
    TimePoint deadline; ///< Of the request that the key came with.
};

/// Stores the claim if the key has none, and returns this holder's reply. Refuses a claim that names other
/// holders than this agent knows, or an outdated incarnation of one.
HolderReply handleClaim(ClaimTable &table, const ClaimRequest &request, TimePoint now);
/// Ends the claim `id` on `key`; does nothing if the key has another claim or none.
void settle(ClaimTable &table, const std::string &key, const ClaimId &id, ClaimEnd end,
            const KeptAnswer &answer);
/// Removes entries and absent members older than the window, and marks claims as unknown that have no end
/// after their deadline and the clock tolerance.
void expireClaims(ClaimTable &table, TimePoint now);

/// Claims that one member sends to another that restarted.
struct RecoveredClaims
{
    std::vector<std::pair<std::string, ClaimEntry>> entries; ///< Key and claim.
    std::chrono::milliseconds memorySpan{0}; ///< Age up to which the sender knows all its claims.
};

/// Returns the claims that `member` holds too, for its recovery after a start. From now on claims that name
/// an earlier incarnation of it are refused.
RecoveredClaims exportClaims(ClaimTable &table, const AgentId &member, TimePoint now);
/// Merges the claims that the member `from` sent into the table.
void importClaims(ClaimTable &table, const std::string &from, const RecoveredClaims &claims, TimePoint now);
/// Returns the members whose claims have not been imported yet.
std::vector<AgentId> missingRecoveries(const ClaimTable &table);

/// Returns the creation time in a key; only a UUID of version 7 contains one.
std::optional<std::chrono::system_clock::time_point> timeOfKey(const std::string &key);

/// What a holder needs to prove a key fresh.
struct FreshnessRequirement
{
    bool outsideWindow = false; ///< The key's time is older than the window or in the future: never fresh.
    std::chrono::milliseconds memorySpan{0}; ///< Memory span that a holder must have at least.
};

/// Returns the requirement for `key` at the wall-clock time `now`. A key with a creation time needs a memory
/// span of its age plus the clock tolerance, any other key one as long as the window.
FreshnessRequirement freshnessRequirement(const std::string &key, const ClaimOptions &options,
                                          std::chrono::system_clock::time_point now);

/// Replies of the holders to one claim.
struct ClaimRound
{
    FreshnessRequirement requirement;
    std::vector<AgentId> holders;
    std::map<std::string, HolderReply> replies; ///< By name of the holder.
    std::set<std::string> unreachableHolders; ///< Names of holders whose call failed.
};

enum class RoundDecision : std::uint8_t {
    Waiting, ///< More replies are needed.
    Fresh, ///< A majority of the holders proves the key fresh: the request may run.
    Answered, ///< An earlier request with the key was answered.
    Busy, ///< An earlier request runs, or two claims compete: release the claim and retry.
    EarlierUnknown, ///< An earlier request with the key may have run.
    Unreachable, ///< Too few holders accepted the claim.
    NotProven, ///< A majority accepted the claim, but cannot prove the key fresh.
};

/// Evaluates the replies so far.
RoundDecision decide(const ClaimRound &round);
/// Returns the answer to the earlier request after `RoundDecision::Answered`, else an empty one.
const KeptAnswer &keptAnswer(const ClaimRound &round);
/// Returns the time until a majority of the holders can prove the key fresh; for `Retry-After`.
std::chrono::milliseconds timeUntilProven(const ClaimRound &round);

} // namespace oriolelever
