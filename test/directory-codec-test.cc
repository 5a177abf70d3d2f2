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
    message.kind = DirectoryMessageKind::Ask;
    message.ask = {.sequence = 7, .bucketCount = 256, .recovers = true, .buckets = {0, 255}};
    EXPECT_EQ(roundTrip(message), message);
    message.ask = {};
    message.kind = DirectoryMessageKind::Answer;
    const FlowNote note{.caller = flowKey(9).caller, .holder = idOf<ServerId>("s1"), .certain = true};
    FlowNote longNote = note;
    longNote.caller.address.bytes[0] = 0x20;
    message.answer
        = {.sequence = 8,
           .bucketCount = 256,
           .buckets = {{.bucket = 2, .granted = true, .part = 1, .parts = 3, .flows = {note, longNote}}}};
    EXPECT_EQ(roundTrip(message), message);
    message.answer = {};
    message.kind = DirectoryMessageKind::Load;
    message.load = {.openFlows = 1, .limit = 2, .sharePermille = 3, .heardPermille = 4, .lostBuckets = true};
    EXPECT_EQ(roundTrip(message), message);
    message.load = {};
    message.kind = DirectoryMessageKind::Gone;
    message.gone.callers = {flowKey(1).caller, flowKey(70000).caller};
    EXPECT_EQ(roundTrip(message), message);
}

TEST(DirectoryCodec, refusesBucketsAndPartsThatDoNotExist)
{
    DirectoryMessage message{.kind = DirectoryMessageKind::Ask};
    message.ask = {.bucketCount = 256, .buckets = {256}};
    EXPECT_FALSE(decodes(encodeDirectoryMessage(message)));
    message.kind = DirectoryMessageKind::Answer;
    message.answer = {.bucketCount = 256, .buckets = {{.bucket = 1, .part = 2, .parts = 2}}};
    EXPECT_FALSE(decodes(encodeDirectoryMessage(message)));
    message.answer.buckets = {{.bucket = 1, .part = 0, .parts = 65}};
    EXPECT_FALSE(decodes(encodeDirectoryMessage(message)));
}

TEST(DirectoryCodec, survivesAnyBytes)
{
    EXPECT_TRUE(rc::check([](const std::string &bytes) { decodes(bytes); }));
}

} // namespace
