// Tests the stand-in for the users' store through `StoreClient`.
#include "store-server.h"

#include <gtest/gtest.h>

#include "boot-settings.h"
#include "documents.h"
#include "standin-wire.h"
#include "store-client.h"
#include "store-fixture.h"

namespace oriolelever::platform::standin {
namespace {

using std::chrono::milliseconds;

class StoreServerTest : public StoreFixture
{
public:
    StoreServerTest()
        : client(std::make_unique<StoreClient>(context, endpoint))
    {
    }

    Answer<Object> write(const Object &object)
    {
        return wait<Object>([&](Done<Object> done) { client->write(object, {}, std::move(done)); });
    }

    Answer<ObjectList> list(const std::string &kind)
    {
        return wait<ObjectList>([&](Done<ObjectList> done) { client->list(kind, std::move(done)); });
    }

    Answer<WatchBatch> watch(const StorePosition &after, milliseconds limit)
    {
        return wait<WatchBatch>(
            [&](Done<WatchBatch> done) { client->watch({"config"}, after, limit, std::move(done)); });
    }

    std::unique_ptr<StoreClient> client;
};

TEST_F(StoreServerTest, WritesAreConditional)
{
    const Object entry{.kind = "agents", .name = "a1", .value = {{"host", "10.0.0.1"}}};
    const auto created = write(entry);
    ASSERT_TRUE(created);
    EXPECT_EQ(write(entry).error().code, Code::PlatformConflict);
    auto changed = created.value();
    changed.value["host"] = "10.0.0.2";
    EXPECT_TRUE(write(changed));
    EXPECT_EQ(write(changed).error().code, Code::PlatformConflict) << "the revision is an older one";
    EXPECT_EQ(list("agents").value().objects.size(), 1U);
}

TEST_F(StoreServerTest, AWatchReportsChangesAndLostHistory)
{
    store->put("config", "main", {{"Version", 1}});
    const auto position = list("config").value().position;
    EXPECT_TRUE(watch(position, milliseconds(20)).value().events.empty());
    store->put("config", "main", {{"Version", 2}});
    const auto changes = watch(position, milliseconds(20));
    ASSERT_EQ(changes.value().events.size(), 1U);
    store->dropHistory();
    EXPECT_TRUE(watch(position, milliseconds(20)).value().restart);
}

TEST_F(StoreServerTest, ALongListHasSeveralPages)
{
    constexpr int count = 1001;
    std::vector<std::string> names;
    for (int i = 0; i < count; ++i) {
        names.push_back("a-" + std::to_string(10'000 + i));
        store->put("agents", names.back(), {{"host", "10.0.0.1"}});
    }
    const auto callsBefore = store->calls();
    const auto listed = list("agents");
    ASSERT_TRUE(listed);
    EXPECT_EQ(store->calls() - callsBefore, 3U);
    std::vector<std::string> listedNames;
    for (const auto &object : listed.value().objects) {
        listedNames.push_back(object.name);
    }
    EXPECT_EQ(listedNames, names);
}

TEST_F(StoreServerTest, FaultsHaveDistinctErrors)
{
    store->setFaults({.unavailable = true});
    EXPECT_EQ(list("config").error().code, Code::PlatformUnreachable);
    store->setFaults({.unansweredWriteShare = 1});
    const Object entry{.kind = "agents", .name = "a1", .value = {{"host", "10.0.0.1"}}};
    EXPECT_EQ(write(entry).error().code, Code::PlatformOutcomeUnknown);
    store->setFaults({});
    EXPECT_EQ(list("agents").value().objects.size(), 1U) << "the write was executed";
}

TEST(StandinWireTest, TheSystemReadsWhatTheStandInsWrite)
{
    Endpoint caller;
    Endpoint service;
    ASSERT_TRUE(parseEndpoint("203.0.113.7:4000", caller));
    ASSERT_TRUE(parseEndpoint("198.18.0.1:443", service));
    const std::vector<std::uint8_t> payload(40, 'x');
    auto packet = writePacket(
        {.source = caller, .destination = service, .ack = true, .sequence = 7, .acknowledgement = 9},
        payload);
    Segment read;
    ASSERT_TRUE(packetFormat().parse(packet, read));
    EXPECT_EQ(read.source, caller);
    EXPECT_EQ(read.destination, service);
    EXPECT_TRUE(read.ack && !read.syn && !read.fin && !read.rst);
    EXPECT_EQ(read.payloadSize, payload.size());
    packetFormat().setMark(packet, 12345);
    EXPECT_TRUE(hasValidChecksum(packet)) << "the checksum leaves out the mark";
    packet.back() ^= 1;
    EXPECT_FALSE(hasValidChecksum(packet));
}

TEST(StandinWireTest, SettingsHeartbeatsAndConfigurationsAreRead)
{
    Endpoint address;
    ASSERT_TRUE(parseEndpoint("10.0.0.1:80", address));
    const auto checked = handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(settings,
                            parseBootSettings(settingsText({.node = "agent-1",
                                                            .zone = "a",
                                                            .service = "desk",
                                                            .address = address.address,
                                                            .packets = address,
                                                            .outbound = address,
                                                            .health = address,
                                                            .heartbeats = address,
                                                            .server = address,
                                                            .store = address,
                                                            .internalPort = 7720})));
            EXPECT_EQ(settings.service, "desk");
            BOOST_LEAF_AUTO(
                heartbeat,
                decodeHeartbeat(
                    "i-1",
                    heartbeatBody({.startTimeMs = 5, .sequence = 3, .service = "desk", .zone = "a"},
                                  address)));
            EXPECT_EQ(heartbeat.sequence, 3U);
            std::string problems;
            BOOST_LEAF_AUTO(table,
                            decodeConfiguration(configurationDocument({.version = 4,
                                                                       .routes = {{address, "desk"}},
                                                                       .coldFlowRates = {{"desk", 4}}})
                                                    .dump(),
                                                {.revision = 1}, problems));
            EXPECT_EQ(problems, "");
            EXPECT_EQ(table.routes.size(), 1U);
            EXPECT_EQ(table.coldFlowsPerSecond.size(), 1U);
            return true;
        },
        [](const Error &error) {
            ADD_FAILURE() << error.text;
            return false;
        });
    EXPECT_TRUE(checked);
}

} // namespace
} // namespace oriolelever::platform::standin
