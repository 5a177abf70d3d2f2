#include "oriolelever/directory-codec.h"

#include <algorithm>

#include "directory.pb.h"

namespace oriolelever {

namespace {

// Sizes in bytes.
constexpr std::size_t addressSize = 16;
constexpr std::size_t mappedPrefixSize = 12; ///< Bytes before the IPv4 address in an IPv4-mapped one.
constexpr std::size_t portSize = 2;
constexpr std::size_t ipv6CallerSize = addressSize + portSize;
constexpr std::size_t ipv4CallerSize = addressSize - mappedPrefixSize + portSize;

// Encodes address and port in network byte order; an IPv4 address takes 4 bytes, an IPv6 address 16.
std::string encodeCaller(const Endpoint &caller)
{
    const auto &bytes = caller.address.bytes;
    const std::size_t skipped = caller.address.isV4() ? mappedPrefixSize : 0;
    const std::array<char, portSize> port{static_cast<char>(caller.port >> 8),
                                          static_cast<char>(caller.port & 0xff)};
    std::string out(reinterpret_cast<const char *>(bytes.data()) + skipped, bytes.size() - skipped);
    out.append(port.data(), port.size());
    return out;
}

Result<Endpoint> decodeCaller(const std::string &text)
{
    Endpoint out;
    const auto size = text.size();
    if (size != ipv6CallerSize && size != ipv4CallerSize) {
        return fail(Code::MessageMalformed,
                    "directory message: caller has " + std::to_string(size) + " bytes; allowed: 6 or 18");
    }
    std::size_t at = 0;
    if (size == ipv4CallerSize) {
        at = mappedPrefixSize;
        out.address.bytes[mappedPrefixSize - 2] = 0xff;
        out.address.bytes[mappedPrefixSize - 1] = 0xff;
    }
    std::size_t read = 0;
    for (; at < addressSize; ++at) {
        out.address.bytes[at] = static_cast<std::uint8_t>(text[read++]);
    }
    const auto high = static_cast<std::uint8_t>(text[read]);
    const auto low = static_cast<std::uint8_t>(text[read + 1]);
    out.port = static_cast<std::uint16_t>(high << 8 | low);
    return out;
}

// Returns the index of `holder` in the holders of the message; adds it if needed.
std::uint32_t holderIndex(proto::AnswerPart &part, ServerId holder)
{
    const auto &holders = part.holders();
    const auto known = std::find(holders.begin(), holders.end(), holder.value);
    if (known != holders.end()) {
        return static_cast<std::uint32_t>(known - holders.begin());
    }
    part.add_holders(holder.value);
    return static_cast<std::uint32_t>(part.holders_size() - 1);
}

void encodeGrantRequest(const GrantRequestMessage &request, proto::AskPart &out)
{
    out.set_sequence(request.sequence);
    out.set_bucket_count(request.bucketCount);
    out.set_recovers(request.isRecovering);
    for (const auto bucket : request.buckets) {
        out.add_buckets(bucket);
    }
}

void encodeGrantReply(const GrantReplyMessage &reply, proto::AnswerPart &out)
{
    out.set_sequence(reply.sequence);
    out.set_bucket_count(reply.bucketCount);
    for (const auto &bucketReply : reply.buckets) {
        auto &section = *out.add_buckets();
        section.set_bucket(bucketReply.bucket);
        section.set_granted(bucketReply.granted);
        section.set_part(bucketReply.partIndex);
        section.set_parts(bucketReply.partCount);
        for (const auto &note : bucketReply.flows) {
            auto &flow = *section.add_flows();
            flow.set_caller(encodeCaller(note.caller));
            flow.set_holder(holderIndex(out, note.holder));
            flow.set_certain(note.confirmed);
            flow.set_closing(note.closing);
        }
    }
}

void encodeReplica(const ReplicaMessage &replica, proto::CopyPart &out)
{
    out.set_sequence(replica.sequence);
    out.set_answer(replica.isAck);
    out.set_first(replica.isFirstOfFull);
    for (const auto &caller : replica.callers) {
        out.add_callers(encodeCaller(caller));
    }
    for (const auto &caller : replica.endedCallers) {
        out.add_ended(encodeCaller(caller));
    }
}

Result<BucketIndex> decodeBucket(std::uint32_t bucket, std::uint32_t bucketCount)
{
    if (bucket >= bucketCount || bucketCount > largeBucketCount) {
        return fail(Code::MessageMalformed,
                    "directory message: bucket " + std::to_string(bucket) + " of "
                        + std::to_string(bucketCount)
                        + " does not exist; allowed: below the bucket count, which is at most 8192");
    }
    return static_cast<BucketIndex>(bucket);
}

Result<GrantRequestMessage> decodeGrantRequest(const proto::AskPart &part)
{
    GrantRequestMessage out{
        .sequence = part.sequence(), .bucketCount = part.bucket_count(), .isRecovering = part.recovers()};
    out.buckets.reserve(part.buckets_size());
    for (const auto bucket : part.buckets()) {
        BOOST_LEAF_AUTO(index, decodeBucket(bucket, part.bucket_count()));
        out.buckets.push_back(index);
    }
    return out;
}

Result<FlowNote> decodeNote(const proto::FlowNoteMessage &message, const proto::AnswerPart &part)
{
    if (message.holder() >= static_cast<std::uint32_t>(part.holders_size())) {
        return fail(Code::MessageMalformed,
                    "directory message: holder index is out of range; allowed: below the number of holders");
    }
    BOOST_LEAF_AUTO(caller, decodeCaller(message.caller()));
    const ServerId holder{part.holders(static_cast<int>(message.holder()))};
    return FlowNote{
        .caller = caller, .holder = holder, .confirmed = message.certain(), .closing = message.closing()};
}

Result<BucketReply> decodeBucketReply(const proto::BucketAnswerPart &section, const proto::AnswerPart &part)
{
    if (section.parts() == 0 || section.part() >= section.parts() || section.parts() > maxReplyParts) {
        return fail(Code::MessageMalformed,
                    "directory message: part " + std::to_string(section.part()) + " of "
                        + std::to_string(section.parts())
                        + " does not exist; allowed: 1 to 64 parts, numbered from 0");
    }
    BOOST_LEAF_AUTO(index, decodeBucket(section.bucket(), part.bucket_count()));
    BucketReply out{.bucket = index,
                    .granted = section.granted(),
                    .partIndex = static_cast<std::uint16_t>(section.part()),
                    .partCount = static_cast<std::uint16_t>(section.parts())};
    out.flows.reserve(section.flows_size());
    for (const auto &flow : section.flows()) {
        BOOST_LEAF_AUTO(note, decodeNote(flow, part));
        out.flows.push_back(note);
    }
    return out;
}

Result<GrantReplyMessage> decodeGrantReply(const proto::AnswerPart &part)
{
    GrantReplyMessage out{.sequence = part.sequence(), .bucketCount = part.bucket_count()};
    out.buckets.reserve(part.buckets_size());
    for (const auto &section : part.buckets()) {
        BOOST_LEAF_AUTO(bucket, decodeBucketReply(section, part));
        out.buckets.push_back(std::move(bucket));
    }
    return out;
}

LoadMessage decodeLoad(const proto::LoadPart &part)
{
    return {.openFlows = part.open_flows(),
            .flowLimit = part.limit(),
            .warmPermille = static_cast<std::uint16_t>(std::min(part.share_permille(), 1000U)),
            .receiverWarmPermille = static_cast<std::uint16_t>(std::min(part.heard_permille(), 1000U)),
            .hasLostBuckets = part.lost_buckets()};
}

Result<std::vector<Endpoint>> decodeCallers(const google::protobuf::RepeatedPtrField<std::string> &texts)
{
    std::vector<Endpoint> out;
    out.reserve(texts.size());
    for (const auto &text : texts) {
        BOOST_LEAF_AUTO(caller, decodeCaller(text));
        out.push_back(caller);
    }
    return out;
}

Result<ReplicaMessage> decodeReplica(const proto::CopyPart &part)
{
    BOOST_LEAF_AUTO(callers, decodeCallers(part.callers()));
    BOOST_LEAF_AUTO(ended, decodeCallers(part.ended()));
    return ReplicaMessage{.sequence = part.sequence(),
                          .isAck = part.answer(),
                          .isFirstOfFull = part.first(),
                          .callers = std::move(callers),
                          .endedCallers = std::move(ended)};
}

Result<void> decodePart(const proto::DirectoryDatagram &datagram, DirectoryMessage &out)
{
    switch (datagram.part_case()) {
    case proto::DirectoryDatagram::kAsk: {
        out.kind = DirectoryMessageKind::GrantRequest;
        BOOST_LEAF_ASSIGN(out.grantRequest, decodeGrantRequest(datagram.ask()));
        return {};
    }
    case proto::DirectoryDatagram::kAnswer: {
        out.kind = DirectoryMessageKind::GrantReply;
        BOOST_LEAF_ASSIGN(out.grantReply, decodeGrantReply(datagram.answer()));
        return {};
    }
    case proto::DirectoryDatagram::kLoad:
        out.kind = DirectoryMessageKind::Load;
        out.load = decodeLoad(datagram.load());
        return {};
    case proto::DirectoryDatagram::kGone: {
        out.kind = DirectoryMessageKind::ClosedFlows;
        BOOST_LEAF_ASSIGN(out.closedFlows.callers, decodeCallers(datagram.gone().callers()));
        return {};
    }
    case proto::DirectoryDatagram::kCopy: {
        out.kind = DirectoryMessageKind::Replica;
        BOOST_LEAF_ASSIGN(out.replica, decodeReplica(datagram.copy()));
        return {};
    }
    case proto::DirectoryDatagram::PART_NOT_SET:
        break;
    }
    return fail(Code::MessageMalformed,
                "directory message: no part is set; allowed: ask, answer, load, gone or copy");
}

} // namespace

std::string encodeDirectoryMessage(const DirectoryMessage &message)
{
    proto::DirectoryDatagram datagram;
    datagram.set_service(message.service.value);
    datagram.set_from_incarnation(message.fromIncarnation);
    datagram.set_to_incarnation(message.toIncarnation);
    datagram.set_roster_version(message.rosterVersion);
    datagram.set_generation(message.generation);
    switch (message.kind) {
    case DirectoryMessageKind::GrantRequest:
        encodeGrantRequest(message.grantRequest, *datagram.mutable_ask());
        break;
    case DirectoryMessageKind::GrantReply:
        encodeGrantReply(message.grantReply, *datagram.mutable_answer());
        break;
    case DirectoryMessageKind::Load: {
        auto &load = *datagram.mutable_load();
        load.set_open_flows(message.load.openFlows);
        load.set_limit(message.load.flowLimit);
        load.set_share_permille(message.load.warmPermille);
        load.set_lost_buckets(message.load.hasLostBuckets);
        load.set_heard_permille(message.load.receiverWarmPermille);
        break;
    }
    case DirectoryMessageKind::ClosedFlows:
        for (const auto &caller : message.closedFlows.callers) {
            datagram.mutable_gone()->add_callers(encodeCaller(caller));
        }
        break;
    case DirectoryMessageKind::Replica:
        encodeReplica(message.replica, *datagram.mutable_copy());
        break;
    }
    return datagram.SerializeAsString();
}

Result<DirectoryMessage> decodeDirectoryMessage(std::string_view bytes)
{
    proto::DirectoryDatagram datagram;
    if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return fail(Code::MessageMalformed, "directory message: bytes are not a valid DirectoryDatagram");
    }
    DirectoryMessage out{.service = {datagram.service()},
                         .fromIncarnation = datagram.from_incarnation(),
                         .toIncarnation = datagram.to_incarnation(),
                         .rosterVersion = datagram.roster_version(),
                         .generation = datagram.generation()};
    BOOST_LEAF_CHECK(decodePart(datagram, out));
    return out;
}

} // namespace oriolelever
