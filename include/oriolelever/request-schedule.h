/// Order of the work that waits at an agent for its backend server: opening packets, and requests of open
/// flows.
///
/// A server that gets more requests than it can start serves them in order of arrival, so that urgent ones
/// become late behind others. This answers bursts, and the load after a loss of all power, when all callers
/// open flows at once before servers that are still cold. Work waits at the agent, which starts first what is
/// urgent and can still be answered in time. An opening packet that cannot be served in time is refused.
///
/// Inputs: the terms that balancers send along with each packet (`RouteTerms`), when it arrived, how often
/// the caller has sent it, and the pace of the server (`SchedulePace`, from answers of the last ten seconds).
/// Without terms, an opening packet is handled by the constants of `ScheduleOptions`. Without a pace, waits
/// are taken as 0: opening packets leave only when their time is over. A count of copies that no caller sends
/// is taken as a first copy. The functions do no I/O and read no clock.
///
///     if (!addOpening(schedule, options, pace, std::move(work), now).accepted) {
///         // The balancer has to find another server.
///     }
///     while (!isBusy(state, now) && takeNext(schedule, options, pace, now, next)) {
///         // Deliver the packets of `next.work`.
///     }
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "oriolelever/flow.h"
#include "oriolelever/route-terms.h"
#include "oriolelever/segment.h"

namespace oriolelever {

constexpr std::size_t maxOpeningSize = 64; ///< Bytes of an opening packet that can wait.

struct ScheduleOptions
{
    std::size_t maxOpenings = 512; ///< Bounds memory to 150 KB; the expected wait decides before it does.
    std::size_t maxRequests = 256; ///< Held requests of open flows.
    std::size_t maxRequestBytes = 2 << 20; ///< Of all packets of held requests.
    std::size_t maxPacketsPerRequest = 16; ///< Callers have no more of them in flight.
    /// Wait after which an opening packet without terms leaves undelivered. With one more wait of this length
    /// at another server, the caller is still waiting: it gives up an opening after 1.4 s.
    std::chrono::milliseconds maxWait{500};
    /// Opening packets without a stated goal are served newest first once the oldest has waited for this
    /// long. Below the shortest latency target of 100 ms, so that a caller in an ordinary queue is served in
    /// time.
    std::chrono::milliseconds overloadWait{80};
    bool servesNewestFirst = true; ///< While work waits that is more than the server can answer in time.
    bool countsCallerStarts = true; ///< For the fair share of callers.
    std::chrono::milliseconds openingPatience{1400}; ///< After which a caller gives up an opening packet.
    /// From an agent to a caller and back, with a reserve for the relays: until the first request of an
    /// opened flow arrives, and from a request's start at the caller to its answer there.
    std::chrono::milliseconds roundTrip{8};
    std::uint32_t startsPerLowerPriority = 8; ///< One start of so many goes to a lower priority.
};

/// How fast the server answers; zero where unknown.
struct SchedulePace
{
    Duration usualWork{0}; ///< Usual time for which a request occupies a slot.
    double answersPerSecond = 0; ///< While all slots are in use.
};

/// A packet that waits, as it was received.
struct WaitingPacket
{
    IpAddress balancer; ///< Gets the packet back if it is rejected.
    std::uint32_t sequence = 0;
    std::size_t payloadSize = 0;
    std::vector<std::uint8_t> bytes;
};

/// An opening packet, or a request of an open flow.
struct WaitingWork
{
    FlowKey flow;
    bool isOpening = false;
    RouteTerms terms; ///< The default if none are known.
    ServiceId intendedService; ///< Of an opening packet: the service that the balancer chose the server for.
    TimePoint queuedAt{};
    Duration waitedBefore{0}; ///< Of an opening packet: since its first copy, see `waitBeforeCopy`.
    bool isAbandoned = false; ///< The caller has closed the flow.
    std::vector<WaitingPacket> packets; ///< In order of arrival; one of an opening packet.
};

/// Work of different flows that waits for one server.
struct RequestSchedule
{
    std::vector<WaitingWork> work; ///< Longest wait first.
    std::size_t requests = 0; ///< Entries of `work` that are requests.
    std::size_t requestBytes = 0; ///< Of their packets.
    /// Starts of each caller address, halved every second; bounds the share of a caller with many flows.
    std::unordered_map<IpAddress, std::uint32_t, AddressHash> callerStarts;
    TimePoint startsHalvedAt{};
    /// Starts of more urgent work since the last one of each priority, while it waited.
    std::array<std::uint32_t, lowestPriority + 1> startsBefore{};
};

/// Time between the first copy of an opening packet and this one. Callers send copies after 200 and 600 ms
/// and count them in the acknowledgement number, which otherwise has no meaning in such a packet.
Duration waitBeforeCopy(std::uint32_t acknowledgement);

/// Whether any work waits whose caller has not given up.
bool hasLiveWork(const RequestSchedule &schedule);

/// Number of waiting entries that are started before `work`.
std::size_t workAhead(const RequestSchedule &schedule, const ScheduleOptions &options,
                      const SchedulePace &pace, const WaitingWork &work, TimePoint now);

/// Why an opening packet is refused.
struct OpeningRefusal
{
    WaitingWork work;
    Duration expectedWait{0}; ///< Until the server would have started it.
    Duration remaining{0}; ///< Until its caller gives up.
};

struct AddedOpening
{
    bool accepted = false;
    bool isCopy = false; ///< Accepted, as a copy waits already.
    /// Either the new opening packet, or a less urgent one that has left for it.
    std::optional<OpeningRefusal> refusal;
};

/// Adds an opening packet unless it cannot be served in time. If `maxOpenings` wait, the last one in the
/// order leaves.
AddedOpening addOpening(RequestSchedule &schedule, const ScheduleOptions &options, const SchedulePace &pace,
                        WaitingWork work, TimePoint now);

/// Whether another request of an open flow can be held.
bool hasSpaceForRequest(const RequestSchedule &schedule, const ScheduleOptions &options);

enum class HeldPacketOutcome : std::uint8_t {
    NewRequest, ///< Held; the first packet of its request.
    Held, ///< Held behind the earlier packets of its request.
    Copy, ///< Dropped: a copy is held already.
    NoSpace, ///< Not held: the caller of the function releases the request, see `takeRequest`.
};

/// Holds a packet of an open flow.
HeldPacketOutcome holdPacket(RequestSchedule &schedule, const ScheduleOptions &options, const FlowKey &flow,
                             const RouteTerms &terms, const Segment &segment,
                             std::span<const std::uint8_t> bytes, const IpAddress &balancer, TimePoint now);

/// Removes the held request of a flow; returns false if there is none.
bool takeRequest(RequestSchedule &schedule, const FlowKey &flow, WaitingWork &out);

/// Removes a held request whose caller has given up by its time limit, however that was rounded; returns
/// false if there is none. A caller that waits longer retransmits.
bool takeLostRequest(RequestSchedule &schedule, TimePoint now, WaitingWork &out);

/// Removes all held requests, whose flows have ended; returns them.
std::vector<WaitingWork> takeAllRequests(RequestSchedule &schedule);

/// Why work is started before all other.
enum class StartCause : std::uint8_t {
    Order,
    LowerPriority, ///< One start in `startsPerLowerPriority`.
};

struct NextWork
{
    WaitingWork work;
    StartCause cause = StartCause::Order;
};

/// Removes the work that is to be started next; returns false if none waits.
bool takeNext(RequestSchedule &schedule, const ScheduleOptions &options, const SchedulePace &pace,
              TimePoint now, NextWork &out);

/// Removes an opening packet that cannot be served in time any more; returns false if there is none.
bool takeExpired(RequestSchedule &schedule, const ScheduleOptions &options, const SchedulePace &pace,
                 TimePoint now, OpeningRefusal &out);

} // namespace oriolelever
