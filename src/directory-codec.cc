#include "oriolelever/directory-codec.h"

#include <algorithm>

#include "directory.pb.h"

namespace oriolelever {

namespace {

constexpr std::size_t addressSize = 16;
constexpr std::size_t mappedSize = 12; ///< Bytes before the IPv4 part of a mapped address.
constexpr std::size_t portSize = 2;
constexpr std::size_t longSize = addressSize + portSize;
constexpr std::size_t shortSize = addressSize - mappedSize + portSize;

std::string encodeCaller(const Endpoint &caller)
{
    const auto &bytes = caller.address.bytes;
    const std::size_t skipped = caller.address.isV4() ? mappedSize : 0;
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
    if (size != longSize && size != shortSize) {
        return fail(Code::MessageMalformed,
                    "directory message: caller has " + std::to_string(size) + " bytes");
    }
    std::size_t at = 0;
    if (size == shortSize) {
        at = mappedSize;
        out.address.bytes[mappedSize - 2] = 0xff;
        out.address.bytes[mappedSize - 1] = 0xff;
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

void putAsk(const AskMessage &ask, proto::AskPart &out)
{
    out.set_sequence(ask.sequence);
    out.set_bucket_count(ask.bucketCount);
    out.set_recovers(ask.recovers);
    for (const auto bucket : ask.buckets) {
        out.add_buckets(bucket);
    }
}

void putAnswer(const AnswerMessage &answer, proto::AnswerPart &out)
{
    out.set_sequence(answer.sequence);
    out.set_bucket_count(answer.bucketCount);
    for (const auto &bucket : answer.buckets) {
        auto &section = *out.add_buckets();
        section.set_bucket(bucket.bucket);
        section.set_granted(bucket.granted);
        section.set_part(bucket.part);
        section.set_parts(bucket.parts);
        for (const auto &note : bucket.flows) {
            auto &flow = *section.add_flows();
            flow.set_caller(encodeCaller(note.caller));
            flow.set_holder(holderIndex(out, note.holder));
            flow.set_certain(note.certain);
            flow.set_closing(note.closing);
        }
    }
}

void putCopy(const CopyMessage &copy, proto::CopyPart &out)
{
    out.set_sequence(copy.sequence);
    out.set_answer(copy.answer);
    out.set_first(copy.first);
    for (const auto &caller : copy.callers) {
        out.add_callers(encodeCaller(caller));
    }
    for (const auto &caller : copy.ended) {
        out.add_ended(encodeCaller(caller));
    }
}

Result<BucketIndex> decodeBucket(std::uint32_t bucket, std::uint32_t bucketCount)
{
    if (bucket >= bucketCount || bucketCount > largeBucketCount) {
        return fail(Code::MessageMalformed,
                    "directory message: bucket " + std::to_string(bucket) + " of "
                        + std::to_string(bucketCount) + " does not exist");
    }
    return static_cast<BucketIndex>(bucket);
}

Result<AskMessage> takeAsk(const proto::AskPart &part)
{
    AskMessage out{
        .sequence = part.sequence(), .bucketCount = part.bucket_count(), .recovers = part.recovers()};
    out.buckets.reserve(part.buckets_size());
    for (const auto bucket : part.buckets()) {
        BOOST_LEAF_AUTO(index, decodeBucket(bucket, part.bucket_count()));
        out.buckets.push_back(index);
    }
    return out;
}

Result<FlowNote> takeNote(const proto::FlowNoteMessage &message, const proto::AnswerPart &part)
{
    if (message.holder() >= static_cast<std::uint32_t>(part.holders_size())) {
        return fail(Code::MessageMalformed, "directory message: holder does not exist");
    }
    BOOST_LEAF_AUTO(caller, decodeCaller(message.caller()));
    const ServerId holder{part.holders(static_cast<int>(message.holder()))};
    return FlowNote{
        .caller = caller, .holder = holder, .certain = message.certain(), .closing = message.closing()};
}

Result<BucketAnswer> takeBucketAnswer(const proto::BucketAnswerPart &section, const proto::AnswerPart &part)
{
    if (section.parts() == 0 || section.part() >= section.parts() || section.parts() > maxAnswerParts) {
        return fail(Code::MessageMalformed,
                    "directory message: part " + std::to_string(section.part()) + " of "
                        + std::to_string(section.parts()) + " does not exist");
    }
    BOOST_LEAF_AUTO(index, decodeBucket(section.bucket(), part.bucket_count()));
    BucketAnswer out{.bucket = index,
                     .granted = section.granted(),
                     .part = static_cast<std::uint16_t>(section.part()),
                     .parts = static_cast<std::uint16_t>(section.parts())};
    out.flows.reserve(section.flows_size());
    for (const auto &flow : section.flows()) {
        BOOST_LEAF_AUTO(note, takeNote(flow, part));
        out.flows.push_back(note);
    }
    return out;
}

Result<AnswerMessage> takeAnswer(const proto::AnswerPart &part)
{
    AnswerMessage out{.sequence = part.sequence(), .bucketCount = part.bucket_count()};
    out.buckets.reserve(part.buckets_size());
    for (const auto &section : part.buckets()) {
        BOOST_LEAF_AUTO(bucket, takeBucketAnswer(section, part));
        out.buckets.push_back(std::move(bucket));
    }
    return out;
}

LoadMessage takeLoad(const proto::LoadPart &part)
{
    return {.openFlows = part.open_flows(),
            .limit = part.limit(),
            .sharePermille = static_cast<std::uint16_t>(std::min(part.share_permille(), 1000U)),
            .heardPermille = static_cast<std::uint16_t>(std::min(part.heard_permille(), 1000U)),
            .lostBuckets = part.lost_buckets()};
}

Result<std::vector<Endpoint>> takeCallers(const google::protobuf::RepeatedPtrField<std::string> &texts)
{
    std::vector<Endpoint> out;
    out.reserve(texts.size());
    for (const auto &text : texts) {
        BOOST_LEAF_AUTO(caller, decodeCaller(text));
        out.push_back(caller);
    }
    return out;
}

Result<CopyMessage> takeCopy(const proto::CopyPart &part)
{
    BOOST_LEAF_AUTO(callers, takeCallers(part.callers()));
    BOOST_LEAF_AUTO(ended, takeCallers(part.ended()));
    return CopyMessage{.sequence = part.sequence(),
                       .answer = part.answer(),
                       .first = part.first(),
                       .callers = std::move(callers),
                       .ended = std::move(ended)};
}

Result<void> takePart(const proto::DirectoryDatagram &datagram, DirectoryMessage &out)
{
    switch (datagram.part_case()) {
    case proto::DirectoryDatagram::kAsk: {
        out.kind = DirectoryMessageKind::Ask;
        BOOST_LEAF_ASSIGN(out.ask, takeAsk(datagram.ask()));
        return {};
    }
    case proto::DirectoryDatagram::kAnswer: {
        out.kind = DirectoryMessageKind::Answer;
        BOOST_LEAF_ASSIGN(out.answer, takeAnswer(datagram.answer()));
        return {};
    }
    case proto::DirectoryDatagram::kLoad:
        out.kind = DirectoryMessageKind::Load;
        out.load = takeLoad(datagram.load());
        return {};
    case proto::DirectoryDatagram::kGone: {
        out.kind = DirectoryMessageKind::Gone;
        BOOST_LEAF_ASSIGN(out.gone.callers, takeCallers(datagram.gone().callers()));
        return {};
    }
    case proto::DirectoryDatagram::kCopy: {
        out.kind = DirectoryMessageKind::Copy;
        BOOST_LEAF_ASSIGN(out.copy, takeCopy(datagram.copy()));
        return {};
    }
    case proto::DirectoryDatagram::PART_NOT_SET:
        break;
    }
    return fail(Code::MessageMalformed, "directory message: part is missing");
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
    case DirectoryMessageKind::Ask:
        putAsk(message.ask, *datagram.mutable_ask());
        break;
    case DirectoryMessageKind::Answer:
        putAnswer(message.answer, *datagram.mutable_answer());
        break;
    case DirectoryMessageKind::Load: {
        auto &load = *datagram.mutable_load();
        load.set_open_flows(message.load.openFlows);
        load.set_limit(message.load.limit);
        load.set_share_permille(message.load.sharePermille);
        load.set_lost_buckets(message.load.lostBuckets);
        load.set_heard_permille(message.load.heardPermille);
        break;
    }
    case DirectoryMessageKind::Gone:
        for (const auto &caller : message.gone.callers) {
            datagram.mutable_gone()->add_callers(encodeCaller(caller));
        }
        break;
    case DirectoryMessageKind::Copy:
        putCopy(message.copy, *datagram.mutable_copy());
        break;
    }
    return datagram.SerializeAsString();
}

Result<DirectoryMessage> decodeDirectoryMessage(std::string_view bytes)
{
    proto::DirectoryDatagram datagram;
    if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return fail(Code::MessageMalformed, "directory message: not a datagram");
    }
    DirectoryMessage out{.service = {datagram.service()},
                         .fromIncarnation = datagram.from_incarnation(),
                         .toIncarnation = datagram.to_incarnation(),
                         .rosterVersion = datagram.roster_version(),
                         .generation = datagram.generation()};
    BOOST_LEAF_CHECK(takePart(datagram, out));
    return out;
}

} // namespace oriolelever
