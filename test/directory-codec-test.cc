#include "oriolelever/directory-codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "flow-fixture.h"

using namespace oriolelever;
using namespace oriolelever::test;

namespace {

bool decodes(std::string_view bytes)
{
    return handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(decodeDirectoryMessage(bytes));
            return true;
        },
        [](const Error &) { return false; });
}

DirectoryMessage roundTrip(const DirectoryMessage &message)
{
    return handleError([&] { return decodeDirectoryMessage(encodeDirectoryMessage(message)); },
                       [](const Error &error) -> DirectoryMessage {
                           ADD_FAILURE() << error.text;
                           return {};
                       });
}

TEST(DirectoryCodec, keepsEveryKind)
{
    DirectoryMessage message{.service = idOf<ServiceId>(serviceName),
                             .fromIncarnation = 3,
                             .toIncarnation = 4,
                             .rosterVersion = 5,
                             .generation = 6};
    message.kind = DirectoryMessageKind::GrantRequest;
    message.grantRequest = {.sequence = 7, .bucketCount = 256, .isRecovering = true, .buckets = {0, 255}};
    EXPECT_EQ(roundTrip(message), message);
    message.grantRequest = {};
    message.kind = DirectoryMessageKind::GrantReply;
    const FlowNote note{.caller = flowKey(9).caller, .holder = idOf<ServerId>("s1"), .confirmed = true};
    FlowNote longNote = note;
    longNote.caller.address.bytes[0] = 0x20;
    message.grantReply
        = {.sequence = 8,
           .bucketCount = 256,
           .buckets
           = {{.bucket = 2, .granted = true, .partIndex = 1, .partCount = 3, .flows = {note, longNote}}}};
    EXPECT_EQ(roundTrip(message), message);
    message.grantReply = {};
    message.kind = DirectoryMessageKind::Load;
    message.load = {
        .openFlows = 1, .flowLimit = 2, .warmPermille = 3, .receiverWarmPermille = 4, .hasLostBuckets = true};
    EXPECT_EQ(roundTrip(message), message);
    message.load = {};
    message.kind = DirectoryMessageKind::ClosedFlows;
    message.closedFlows.callers = {flowKey(1).caller, flowKey(70000).caller};
    EXPECT_EQ(roundTrip(message), message);
}

TEST(DirectoryCodec, refusesBucketsAndPartsThatDoNotExist)
{
    DirectoryMessage message{.kind = DirectoryMessageKind::GrantRequest};
    message.grantRequest = {.bucketCount = 256, .buckets = {256}};
    EXPECT_FALSE(decodes(encodeDirectoryMessage(message)));
    message.kind = DirectoryMessageKind::GrantReply;
    message.grantReply = {.bucketCount = 256, .buckets = {{.bucket = 1, .partIndex = 2, .partCount = 2}}};
    EXPECT_FALSE(decodes(encodeDirectoryMessage(message)));
    message.grantReply.buckets = {{.bucket = 1, .partIndex = 0, .partCount = 65}};
    EXPECT_FALSE(decodes(encodeDirectoryMessage(message)));
}

TEST(DirectoryCodec, survivesAnyBytes)
{
    EXPECT_TRUE(rc::check([](const std::string &bytes) { decodes(bytes); }));
}

} // namespace
