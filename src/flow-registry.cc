#include "oriolelever/flow-registry.h"

#include <algorithm>
#include <cmath>

#include <sodium.h>
#include <xxhash.h>

#include "oriolelever/bytes.h"
#include "oriolelever/peer-message.h"

namespace oriolelever {

namespace {

constexpr std::size_t flowSize = 16; // Bytes of a flow: caller, virtual address, acknowledgement.
constexpr std::uint8_t snapshotVersion = 1;
constexpr std::size_t snapshotHeaderSize = 17; // Bytes: version, checksum, Unix time.
constexpr std::size_t serverHeaderSize = 14; // Bytes: host, start, number of flows.

constexpr std::size_t partHeaderSize = peerHeaderSize + 1; // Bytes: the header and the part's number.

static_assert(partHeaderSize + flowsPerPart * flowSize <= maxFlowListSize);

void writeFlow(std::uint8_t *out, const FlowReset &flow)
{
    write32(out, ipv4Number(flow.flow.caller.address));
    write16(out + 4, flow.flow.caller.port);
    write32(out + 6, ipv4Number(flow.flow.service.address));
    write16(out + 10, flow.flow.service.port);
    write32(out + 12, flow.sequence);
}

FlowReset readFlow(const std::uint8_t *bytes)
{
    return {.flow = {.caller = {ipv4Address(read32(bytes)), read16(bytes + 4)},
                     .service = {ipv4Address(read32(bytes + 6)), read16(bytes + 10)}},
            .sequence = read32(bytes + 12)};
}

void appendServer(std::vector<std::uint8_t> &out, const IpAddress &host, const ServerFlows &server)
{
    auto offset = out.size();
    out.resize(offset + serverHeaderSize + server.flows.size() * flowSize);
    write32(out.data() + offset, ipv4Number(host));
    write64(out.data() + offset + 4, server.bornAt);
    write16(out.data() + offset + 12, static_cast<std::uint16_t>(server.flows.size()));
    offset += serverHeaderSize;
    for (const auto &flow : server.flows) {
        writeFlow(out.data() + offset, flow);
        offset += flowSize;
    }
}

// Returns false if the servers do not fill `bytes` exactly.
bool readServers(std::span<const std::uint8_t> bytes, FlowRegistry &out)
{
    while (!bytes.empty()) {
        if (bytes.size() < serverHeaderSize) {
            return false;
        }
        const auto host = ipv4Address(read32(bytes.data()));
        ServerFlows server{.bornAt = read64(bytes.data() + 4)};
        const std::size_t count = read16(bytes.data() + 12);
        bytes = bytes.subspan(serverHeaderSize);
        if (bytes.size() < count * flowSize) {
            return false;
        }
        for (std::size_t i = 0; i < count; ++i) {
            server.flows.push_back(readFlow(bytes.data() + i * flowSize));
        }
        bytes = bytes.subspan(count * flowSize);
        out.insert_or_assign(host, std::move(server));
    }
    return true;
}

constexpr int base64Variant = sodium_base64_VARIANT_ORIGINAL;

} // namespace

std::size_t flowListParts(const ServerFlows &list)
{
    return std::max<std::size_t>(1, (list.flows.size() + flowsPerPart - 1) / flowsPerPart);
}

std::size_t encodeFlowList(std::span<std::uint8_t> out, const ServerFlows &list, std::size_t part)
{
    encodePeerHeader(out, {.type = PeerMessageType::FlowList, .number = list.bornAt});
    out[peerHeaderSize] = static_cast<std::uint8_t>(part);
    const auto first = part * flowsPerPart;
    const auto count = std::min(list.flows.size() - std::min(first, list.flows.size()), flowsPerPart);
    for (std::size_t i = 0; i < count; ++i) {
        writeFlow(out.data() + partHeaderSize + i * flowSize, list.flows[first + i]);
    }
    return partHeaderSize + count * flowSize;
}

bool decodeFlowList(std::span<const std::uint8_t> bytes, FlowListPart &out)
{
    PeerHeader header;
    if (!decodePeerHeader(bytes, header) || header.type != PeerMessageType::FlowList
        || bytes.size() < partHeaderSize || bytes.size() > maxFlowListSize
        || (bytes.size() - partHeaderSize) % flowSize != 0) {
        return false;
    }
    out.part = bytes[peerHeaderSize];
    out.list = {.bornAt = header.number};
    for (auto rest = bytes.subspan(partHeaderSize); !rest.empty(); rest = rest.subspan(flowSize)) {
        out.list.flows.push_back(readFlow(rest.data()));
    }
    return out.part < maxListedFlows / flowsPerPart;
}

bool applyFlowList(FlowRegistry &registry, const IpAddress &host, FlowListPart message, TimePoint now)
{
    auto &server = registry[host];
    auto &list = message.list;
    if (message.part > 0) {
        // Without its first part, a list of another start of the server cannot be complete.
        if (server.bornAt != list.bornAt || server.flows.size() + list.flows.size() > maxListedFlows) {
            return false;
        }
        server.flows.insert(server.flows.end(), list.flows.begin(), list.flows.end());
        return !list.flows.empty();
    }
    const bool isChanged = server.bornAt != list.bornAt
        || !std::equal(server.flows.begin(), server.flows.end(), list.flows.begin(), list.flows.end(),
                       [](const FlowReset &a, const FlowReset &b) {
                           return a.flow == b.flow && a.sequence == b.sequence;
                       });
    server = std::move(list);
    server.listedAt = now;
    return isChanged;
}

std::vector<FlowReset> takeEndedFlows(FlowRegistry &registry, const IpAddress &host, std::uint64_t bornAt,
                                      TimePoint now)
{
    const auto found = registry.find(host);
    if (found == registry.end() || bornAt == 0 || found->second.bornAt == bornAt) {
        return {};
    }
    auto server = std::move(found->second);
    registry.erase(found);
    if (now - server.listedAt > maxSnapshotAge) {
        return {};
    }
    return std::move(server.flows);
}

std::string_view toString(SnapshotOutcome outcome)
{
    switch (outcome) {
    case SnapshotOutcome::Restored:
        return "restored";
    case SnapshotOutcome::Malformed:
        return "malformed";
    case SnapshotOutcome::Expired:
        return "expired";
    }
    return "unknown";
}

std::string encodeSnapshot(const FlowRegistry &registry, std::chrono::milliseconds timeOfDay)
{
    std::vector<std::uint8_t> bytes(snapshotHeaderSize);
    std::size_t flows = 0;
    for (const auto &[host, server] : registry) {
        flows += server.flows.size();
        if (server.flows.empty() || flows > maxSnapshotFlows) {
            continue;
        }
        appendServer(bytes, host, server);
    }
    bytes[0] = snapshotVersion;
    write64(bytes.data() + 9, static_cast<std::uint64_t>(timeOfDay.count()));
    write64(bytes.data() + 1, XXH3_64bits(bytes.data() + 9, bytes.size() - 9));
    std::string text(sodium_base64_encoded_len(bytes.size(), base64Variant), '\0');
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), base64Variant);
    text.pop_back(); // The terminator.
    return text;
}

SnapshotOutcome decodeSnapshot(const std::string &text, std::chrono::milliseconds timeOfDay,
                               FlowRegistry &out)
{
    out.clear();
    std::vector<std::uint8_t> bytes(text.size());
    std::size_t size = 0;
    const bool isBase64 = sodium_base642bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr,
                                            &size, nullptr, base64Variant)
        == 0;
    if (!isBase64 || size < snapshotHeaderSize || bytes[0] != snapshotVersion
        || read64(bytes.data() + 1) != XXH3_64bits(bytes.data() + 9, size - 9)) {
        return SnapshotOutcome::Malformed;
    }
    const std::chrono::milliseconds writtenAt(static_cast<std::int64_t>(read64(bytes.data() + 9)));
    if (std::chrono::abs(timeOfDay - writtenAt) > maxSnapshotAge) {
        return SnapshotOutcome::Expired;
    }
    if (!readServers({bytes.data() + snapshotHeaderSize, size - snapshotHeaderSize}, out)) {
        out.clear();
        return SnapshotOutcome::Malformed;
    }
    return SnapshotOutcome::Restored;
}

} // namespace oriolelever
