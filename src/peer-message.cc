#include "oriolelever/peer-message.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "oriolelever/bytes.h"

namespace oriolelever {

namespace {

constexpr std::size_t eraTagOffset = 2; // Of a Hello and a Report: reason and flags, which these lack.
constexpr std::size_t helloSize = peerHeaderSize + 35; // Bytes, as all sizes here.
constexpr std::size_t reportSize = peerHeaderSize + 58;
constexpr std::size_t capacitySize = 20; // Of a report, between its body and the filter.
constexpr std::size_t rememberedSize = 18; // At the end of a hello.
constexpr std::size_t filterSize = FlowFilter::wordCount * sizeof(std::uint64_t);
static_assert(reportSize + capacitySize + filterSize <= maxPeerMessageSize
              && helloSize + rememberedSize <= maxPeerMessageSize);
constexpr std::uint32_t eraTagCount = 65'535; // Without the tag of an unknown era.
// In the flags of a Relay's header. The byte of the reason, which a Relay lacks, has the two times.
constexpr std::uint8_t mayReturnBusyFlag = 1;
constexpr std::uint8_t hasTermsFlag = 2;
constexpr std::uint8_t repeatableFlag = 4;
constexpr unsigned priorityShift = 3;
constexpr unsigned timeLimitShift = 4;
// In the first byte of a hello's body.
constexpr std::uint8_t unlistedFlag = 1;
constexpr std::uint8_t wantsFlowsFlag = 2;
constexpr std::uint8_t acceptsCapacityFlag = 4;
// Flags of a report's body.
constexpr std::uint8_t failingFlag = 1; // `Report::isFailing`.
constexpr std::uint8_t unreliableFlag = 2; // `Report::isUnreliable`; agents of earlier builds send 0.
// Of both: the two flags above it state which parts follow the body, so that a longer message can be read.
// Earlier builds state them by the message's size alone.
constexpr std::uint8_t partsStatedFlag = 8;
constexpr std::uint8_t rememberedFlag = 16; // Of a hello.
constexpr std::uint8_t limitsUnknownFlag = 32;
constexpr std::uint8_t capacityFlag = 16; // Of a report.
constexpr std::uint8_t filterFlag = 32; // Of a report.

std::uint32_t clampedMilliseconds(std::chrono::milliseconds time)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, UINT32_MAX));
}

std::uint16_t clampedMilliseconds16(std::chrono::milliseconds time)
{
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(time.count(), 0, UINT16_MAX));
}

constexpr double paceUnit = 0.01; // Answers a second.
constexpr double concurrencyUnit = 1.0 / 16; // Requests.

// Rounds a count to an integer in `unit`; 0 for what is no positive number.
template<typename Integer>
Integer scaled(double value, double unit)
{
    if (!(value > 0)) {
        return 0;
    }
    const double limit = std::numeric_limits<Integer>::max();
    return static_cast<Integer>(std::min(std::round(value / unit), limit));
}

constexpr std::size_t learnedSize = 10; // Bytes of the fields that `writeLearned` writes.

// Writes what was learned of a server, without what waits for it.
void writeLearned(std::uint8_t *out, const ServerCapacity &capacity)
{
    write32(out, scaled<std::uint32_t>(capacity.answersPerSecond, paceUnit));
    write16(out + 4, scaled<std::uint16_t>(capacity.concurrency, concurrencyUnit));
    write16(out + 6, capacity.evidence);
    write16(out + 8, clampedMilliseconds16(capacity.usualAnswer));
}

ServerCapacity readLearned(const std::uint8_t *bytes)
{
    return {.answersPerSecond = read32(bytes) * paceUnit,
            .concurrency = read16(bytes + 4) * concurrencyUnit,
            .evidence = read16(bytes + 6),
            .usualAnswer = std::chrono::milliseconds(read16(bytes + 8))};
}

void writeCapacity(std::uint8_t *out, const ServerCapacity &capacity)
{
    writeLearned(out, capacity);
    out += learnedSize;
    write16(out, capacity.queuedOpenings);
    write16(out + 2, capacity.queuedRequests);
    write16(out + 4, clampedMilliseconds16(capacity.longestWait));
    write32(out + 6, capacity.openings);
}

ServerCapacity readCapacity(const std::uint8_t *bytes)
{
    auto capacity = readLearned(bytes);
    bytes += learnedSize;
    capacity.queuedOpenings = read16(bytes);
    capacity.queuedRequests = read16(bytes + 2);
    capacity.longestWait = std::chrono::milliseconds(read16(bytes + 4));
    capacity.openings = read32(bytes + 6);
    return capacity;
}

// Calls `visit` with the index of the word and the mask of the bit for each of a flow's bits in a filter.
template<typename Visit>
void forEachBit(std::uint64_t hash, Visit visit)
{
    constexpr int hashCount = 3;
    constexpr unsigned bitsPerIndex = 9; // The filter has 2^9 bits.
    constexpr unsigned bitsPerWord = 6;
    for (int i = 0; i < hashCount; ++i) {
        const auto bitIndex = hash & ((1U << bitsPerIndex) - 1);
        visit(bitIndex >> bitsPerWord, std::uint64_t{1} << (bitIndex & ((1U << bitsPerWord) - 1)));
        hash >>= bitsPerIndex;
    }
}

} // namespace

void FlowFilter::add(std::uint64_t flow)
{
    forEachBit(flow, [this](std::size_t word, std::uint64_t bit) { bits[word] |= bit; });
}

bool FlowFilter::mayContain(std::uint64_t flow) const
{
    bool all = true;
    forEachBit(flow, [&](std::size_t word, std::uint64_t bit) { all = all && (bits[word] & bit) != 0; });
    return all;
}

EraTag eraTagOf(std::uint64_t era)
{
    return era == 0 ? EraTag{0} : static_cast<EraTag>(1 + era % eraTagCount);
}

bool isLaterEra(EraTag tag, EraTag other)
{
    if (tag == 0 || other == 0) {
        return tag != 0;
    }
    const auto distance = (eraTagCount + tag - other) % eraTagCount;
    return distance > 0 && distance < eraTagCount / 2;
}

StorePosition peerPosition(EraTag era, std::uint64_t revision, const StorePosition &known)
{
    const auto knownTag = eraTagOf(known.era);
    if (era == knownTag) {
        return {.era = known.era, .revision = revision};
    }
    if (!isLaterEra(era, knownTag)) {
        return {};
    }
    const auto distance = knownTag == 0 ? era : (eraTagCount + era - knownTag) % eraTagCount;
    return {.era = known.era + distance, .revision = revision};
}

void mergeRevisions(DocumentRevisions &revisions, const DocumentRevisions &others)
{
    if (isLaterEra(others.era, revisions.era)) {
        revisions = others;
        return;
    }
    if (others.era != revisions.era) {
        return;
    }
    revisions.configuration = std::max(revisions.configuration, others.configuration);
    revisions.evacuations = std::max(revisions.evacuations, others.evacuations);
}

std::string_view toString(ReturnReason reason)
{
    switch (reason) {
    case ReturnReason::NotHeld:
        return "not_held";
    case ReturnReason::Full:
        return "full";
    case ReturnReason::OtherService:
        return "other_service";
    case ReturnReason::NotReady:
        return "not_ready";
    case ReturnReason::Cold:
        return "cold";
    case ReturnReason::Noted:
        return "noted";
    case ReturnReason::NotNoted:
        return "not_noted";
    case ReturnReason::Ended:
        return "ended";
    case ReturnReason::Busy:
        return "busy";
    }
    return "unknown";
}

std::string_view toString(BackendState state)
{
    switch (state) {
    case BackendState::Unknown:
        return "unknown";
    case BackendState::Ready:
        return "ready";
    case BackendState::Draining:
        return "draining";
    case BackendState::Gone:
        return "gone";
    case BackendState::Silent:
        return "silent";
    }
    return "unknown";
}

std::optional<std::uint8_t> unreadableVersion(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < peerHeaderSize || bytes[0] == 0 || bytes[0] == peerMessageVersion) {
        return {};
    }
    return bytes[0];
}

bool decodePeerHeader(std::span<const std::uint8_t> bytes, PeerHeader &out)
{
    if (bytes.size() < peerHeaderSize || bytes[0] != peerMessageVersion) {
        return false;
    }
    if (bytes[1] < static_cast<std::uint8_t>(PeerMessageType::Relay)
        || bytes[1] > static_cast<std::uint8_t>(PeerMessageType::FlowList)) {
        return false;
    }
    out.type = static_cast<PeerMessageType>(bytes[1]);
    if (out.type == PeerMessageType::Return
        && (bytes[2] < static_cast<std::uint8_t>(ReturnReason::NotHeld)
            || bytes[2] > static_cast<std::uint8_t>(ReturnReason::Busy))) {
        return false;
    }
    out.reason = static_cast<ReturnReason>(bytes[2]);
    out.mayReturnBusy = (bytes[3] & mayReturnBusyFlag) != 0;
    out.terms.reset();
    if (out.type == PeerMessageType::Relay && (bytes[3] & hasTermsFlag) != 0) {
        out.terms = {.isRepeatable = (bytes[3] & repeatableFlag) != 0,
                     .priority = static_cast<std::uint8_t>((bytes[3] >> priorityShift) & lowestPriority),
                     .timeLimit = decodeTime(static_cast<std::uint8_t>(bytes[2] >> timeLimitShift)),
                     .latencyGoal = decodeTime(bytes[2])};
    }
    out.number = read64(bytes.data() + 4);
    return true;
}

void encodePeerHeader(std::span<std::uint8_t> out, const PeerHeader &header)
{
    out[0] = peerMessageVersion;
    out[1] = static_cast<std::uint8_t>(header.type);
    out[2] = static_cast<std::uint8_t>(header.reason);
    out[3] = header.mayReturnBusy ? mayReturnBusyFlag : 0;
    if (header.type == PeerMessageType::Relay && header.terms) {
        const auto &terms = *header.terms;
        const auto priority = std::min(terms.priority, lowestPriority);
        out[2] = static_cast<std::uint8_t>((encodeTime(terms.timeLimit) << timeLimitShift)
                                           | encodeTime(terms.latencyGoal));
        out[3] |= static_cast<std::uint8_t>(hasTermsFlag | (terms.isRepeatable ? repeatableFlag : 0)
                                            | (priority << priorityShift));
    }
    write64(out.data() + 4, header.number);
}

void encodeNote(std::span<std::uint8_t> out, const FlowKey &flow, const IpAddress &holder)
{
    encodePeerHeader(out, {.type = PeerMessageType::Note, .number = ipv4Number(holder)});
    std::uint8_t *body = out.data() + peerHeaderSize;
    write32(body, ipv4Number(flow.caller.address));
    write16(body + 4, flow.caller.port);
    write32(body + 6, ipv4Number(flow.service.address));
    write16(body + 10, flow.service.port);
}

bool decodeNote(std::span<const std::uint8_t> bytes, FlowKey &flow, IpAddress &holder)
{
    PeerHeader header;
    if (!decodePeerHeader(bytes, header) || header.type != PeerMessageType::Note
        || bytes.size() != noteSize) {
        return false;
    }
    const std::uint8_t *body = bytes.data() + peerHeaderSize;
    holder = ipv4Address(static_cast<std::uint32_t>(header.number));
    flow.caller = {ipv4Address(read32(body)), read16(body + 4)};
    flow.service = {ipv4Address(read32(body + 6)), read16(body + 10)};
    return true;
}

std::size_t encodeHello(std::span<std::uint8_t> out, const Hello &hello)
{
    encodePeerHeader(out, {.type = PeerMessageType::Hello, .number = hello.lifetime});
    write16(out.data() + eraTagOffset, hello.documents.era);
    std::uint8_t *body = out.data() + peerHeaderSize;
    body[0] = static_cast<std::uint8_t>(
        (hello.unlisted ? unlistedFlag : 0) | (hello.wantsFlows ? wantsFlowsFlag : 0)
        | (hello.acceptsCapacity ? acceptsCapacityFlag : 0) | partsStatedFlag
        | (hello.remembered ? rememberedFlag : 0) | (hello.hasLimits ? 0 : limitsUnknownFlag));
    write32(body + 1, hello.coldFlowsPerSecond);
    write32(body + 5, clampedMilliseconds(hello.idleLimit));
    write16(body + 9, clampedMilliseconds16(hello.reportPeriod));
    write64(body + 11, hello.zone.value);
    write64(body + 19, hello.documents.configuration);
    write64(body + 27, hello.documents.evacuations);
    if (!hello.remembered) {
        return helloSize;
    }
    body = out.data() + helloSize;
    write64(body, hello.remembered->bornAt);
    writeLearned(body + 8, hello.remembered->capacity);
    return helloSize + rememberedSize;
}

bool decodeHello(std::span<const std::uint8_t> bytes, Hello &out)
{
    PeerHeader header;
    if (!decodePeerHeader(bytes, header) || header.type != PeerMessageType::Hello
        || bytes.size() < helloSize) {
        return false;
    }
    const std::uint8_t *body = bytes.data() + peerHeaderSize;
    const bool statesParts = (body[0] & partsStatedFlag) != 0;
    const bool hasRemembered
        = statesParts ? (body[0] & rememberedFlag) != 0 : bytes.size() == helloSize + rememberedSize;
    const auto statedSize = helloSize + (hasRemembered ? rememberedSize : 0);
    if (bytes.size() < statedSize || (!statesParts && bytes.size() != statedSize)) {
        return false;
    }
    out.lifetime = header.number;
    out.unlisted = (body[0] & unlistedFlag) != 0;
    out.hasLimits = (body[0] & limitsUnknownFlag) == 0;
    out.coldFlowsPerSecond = read32(body + 1);
    out.wantsFlows = (body[0] & wantsFlowsFlag) != 0;
    out.acceptsCapacity = (body[0] & acceptsCapacityFlag) != 0;
    out.idleLimit = std::chrono::milliseconds(read32(body + 5));
    out.reportPeriod = std::chrono::milliseconds(read16(body + 9));
    out.zone.value = read64(body + 11);
    out.documents = {.era = read16(bytes.data() + eraTagOffset),
                     .configuration = read64(body + 19),
                     .evacuations = read64(body + 27)};
    out.remembered.reset();
    if (hasRemembered) {
        body = bytes.data() + helloSize;
        out.remembered = {.bornAt = read64(body), .capacity = readLearned(body + 8)};
    }
    return true;
}

std::size_t encodeReport(std::span<std::uint8_t> out, const Report &report)
{
    encodePeerHeader(out, {.type = PeerMessageType::Report, .number = report.lifetime});
    write16(out.data() + eraTagOffset, report.documents.era);
    std::uint8_t *body = out.data() + peerHeaderSize;
    write64(body, report.service.value);
    write64(body + 8, report.zone.value);
    body[16] = static_cast<std::uint8_t>(report.state);
    write16(body + 17, report.slots);
    write32(body + 19, report.flows);
    write32(body + 23, report.waiting);
    write32(body + 27, clampedMilliseconds(report.coldLeft));
    write64(body + 31, report.bornAt);
    body[39] = static_cast<std::uint8_t>(
        (report.isFailing ? failingFlag : 0) | (report.isUnreliable ? unreliableFlag : 0) | partsStatedFlag
        | (report.capacity ? capacityFlag : 0) | (report.heldFlowFilter ? filterFlag : 0));
    write16(body + 40, report.balancers);
    write64(body + 42, report.documents.configuration);
    write64(body + 50, report.documents.evacuations);
    std::size_t size = reportSize;
    if (report.capacity) {
        writeCapacity(out.data() + size, *report.capacity);
        size += capacitySize;
    }
    if (report.heldFlowFilter) {
        for (const auto word : report.heldFlowFilter->bits) {
            write64(out.data() + size, word);
            size += sizeof(word);
        }
    }
    return size;
}

bool decodeReport(std::span<const std::uint8_t> bytes, Report &out)
{
    PeerHeader header;
    if (!decodePeerHeader(bytes, header) || header.type != PeerMessageType::Report
        || bytes.size() < reportSize) {
        return false;
    }
    const std::uint8_t *body = bytes.data() + peerHeaderSize;
    const auto extraSize = bytes.size() - reportSize;
    const bool statesParts = (body[39] & partsStatedFlag) != 0;
    const bool hasCapacity = statesParts
        ? (body[39] & capacityFlag) != 0
        : extraSize == capacitySize || extraSize == capacitySize + filterSize;
    const bool hasFilter = statesParts ? (body[39] & filterFlag) != 0
                                       : extraSize == filterSize || extraSize == capacitySize + filterSize;
    const auto statedSize = (hasCapacity ? capacitySize : 0) + (hasFilter ? filterSize : 0);
    if (extraSize < statedSize || (!statesParts && extraSize != statedSize)) {
        return false;
    }
    if (body[16] > static_cast<std::uint8_t>(BackendState::Silent)) {
        return false;
    }
    out.lifetime = header.number;
    out.service.value = read64(body);
    out.zone.value = read64(body + 8);
    out.state = static_cast<BackendState>(body[16]);
    out.slots = read16(body + 17);
    out.flows = read32(body + 19);
    out.waiting = read32(body + 23);
    out.coldLeft = std::chrono::milliseconds(read32(body + 27));
    out.bornAt = read64(body + 31);
    out.isFailing = (body[39] & failingFlag) != 0;
    out.isUnreliable = (body[39] & unreliableFlag) != 0;
    out.balancers = read16(body + 40);
    out.documents = {.era = read16(bytes.data() + eraTagOffset),
                     .configuration = read64(body + 42),
                     .evacuations = read64(body + 50)};
    out.capacity.reset();
    if (hasCapacity) {
        out.capacity = readCapacity(bytes.data() + reportSize);
    }
    out.heldFlowFilter.reset();
    if (hasFilter) {
        body = bytes.data() + reportSize + (hasCapacity ? capacitySize : 0);
        out.heldFlowFilter.emplace();
        for (auto &word : out.heldFlowFilter->bits) {
            word = read64(body);
            body += sizeof(word);
        }
    }
    return true;
}

} // namespace oriolelever
