#include "oriolelever/flow-registry.h"

#include <gtest/gtest.h>

#include "event-loop.h"
#include "fakes.h"
#include "oriolelever/flow-snapshots.h"
#include "oriolelever/peer-message.h"

namespace oriolelever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds timeOfDay{1'700'000'000'000};

IpAddress address(const std::string &text)
{
    IpAddress parsed;
    EXPECT_TRUE(parseIpAddress(text, parsed)) << text;
    return parsed;
}

FlowReset flowOf(std::uint16_t port)
{
    return {.flow = {.caller = {address("100.64.0.7"), port}, .service = {address("198.18.0.1"), 443}},
            .sequence = 1000U + port};
}

class FlowRegistryTest : public testing::Test
{
public:
    void list(const IpAddress &server, std::uint64_t bornAt, std::initializer_list<std::uint16_t> ports)
    {
        ServerFlows flows{.bornAt = bornAt};
        for (const auto port : ports) {
            flows.flows.push_back(flowOf(port));
        }
        applyFlowList(registry, server, {.list = flows}, now);
    }

    FlowRegistry registry;
    const IpAddress host = address("10.1.0.11");
    const IpAddress otherHost = address("10.1.0.12");
    TimePoint now{std::chrono::hours(1)};
};

TEST_F(FlowRegistryTest, ALongListArrivesInParts)
{
    std::array<std::uint8_t, maxFlowListSize> bytes{};
    ServerFlows list{.bornAt = 77};
    for (std::uint16_t port = 1; port <= 150; ++port) {
        list.flows.push_back(flowOf(port));
    }
    ASSERT_EQ(flowListParts(list), 3U);
    for (int round = 0; round < 2; ++round) {
        for (std::size_t part = 0; part < 3; ++part) {
            const auto size = encodeFlowList(bytes, list, part);
            FlowListPart decoded;
            ASSERT_TRUE(decodeFlowList({bytes.data(), size}, decoded));
            EXPECT_FALSE(decodeFlowList({bytes.data(), size - 1}, decoded)) << "truncated";
            ASSERT_TRUE(decodeFlowList({bytes.data(), size}, decoded));
            EXPECT_EQ(decoded.list.bornAt, 77U);
            applyFlowList(registry, host, decoded, now);
        }
        ASSERT_EQ(registry.at(host).flows.size(), 150U);
    }
    EXPECT_EQ(registry.at(host).flows[149].flow, flowOf(150).flow);
    EXPECT_EQ(registry.at(host).flows[149].sequence, flowOf(150).sequence);
    EXPECT_EQ(flowListParts({}), 1U) << "an empty list replaces an earlier one";
}

TEST_F(FlowRegistryTest, APartWithoutTheFirstOfItsListAddsNothing)
{
    list(host, 50, {1});
    FlowListPart later{.part = 1, .list = {.bornAt = 51, .flows = {flowOf(2)}}};
    EXPECT_FALSE(applyFlowList(registry, host, later, now));
    EXPECT_EQ(registry.at(host).flows.size(), 1U);
}

TEST_F(FlowRegistryTest, AnotherStartOfTheServerEndsItsFlowsOnce)
{
    list(host, 50, {1, 2});
    list(otherHost, 60, {3});
    EXPECT_TRUE(takeEndedFlows(registry, host, 50, now).empty()) << "the same start";
    EXPECT_TRUE(takeEndedFlows(registry, host, 0, now).empty()) << "the agent does not know its server yet";
    const auto resets = takeEndedFlows(registry, host, 51, now);
    ASSERT_EQ(resets.size(), 2U);
    EXPECT_EQ(resets[1].flow, flowOf(2).flow);
    EXPECT_TRUE(takeEndedFlows(registry, host, 51, now).empty());
    EXPECT_EQ(registry.at(otherHost).flows.size(), 1U);
}

TEST_F(FlowRegistryTest, OldListsResetNobody)
{
    list(host, 50, {1});
    now += maxSnapshotAge + seconds(1);
    EXPECT_TRUE(takeEndedFlows(registry, host, 51, now).empty());
    EXPECT_TRUE(registry.empty());
}

TEST_F(FlowRegistryTest, ASnapshotRoundTrips)
{
    list(host, 50, {1, 2});
    list(otherHost, 60, {3});
    const auto text = encodeSnapshot(registry, timeOfDay);
    FlowRegistry restored;
    ASSERT_EQ(decodeSnapshot(text, timeOfDay + seconds(3), restored), SnapshotOutcome::Restored);
    ASSERT_EQ(restored.size(), 2U);
    EXPECT_EQ(restored.at(host).bornAt, 50U);
    EXPECT_EQ(restored.at(host).flows[1].flow, flowOf(2).flow);
    EXPECT_EQ(restored.at(otherHost).flows[0].sequence, flowOf(3).sequence);
}

TEST_F(FlowRegistryTest, ATornOldForeignOrChangedSnapshotIsRefused)
{
    list(host, 50, {1, 2});
    const auto text = encodeSnapshot(registry, timeOfDay);
    FlowRegistry restored;
    EXPECT_EQ(decodeSnapshot(text, timeOfDay + maxSnapshotAge + seconds(1), restored),
              SnapshotOutcome::Expired);
    EXPECT_EQ(decodeSnapshot(text, timeOfDay - maxSnapshotAge - seconds(1), restored),
              SnapshotOutcome::Expired);
    for (std::size_t size = 0; size < text.size(); ++size) {
        EXPECT_EQ(decodeSnapshot(text.substr(0, size), timeOfDay, restored), SnapshotOutcome::Malformed);
    }
    auto changed = text;
    changed[changed.size() / 2] = changed[changed.size() / 2] == 'A' ? 'B' : 'A';
    EXPECT_EQ(decodeSnapshot(changed, timeOfDay, restored), SnapshotOutcome::Malformed);
    EXPECT_EQ(decodeSnapshot("not base64!", timeOfDay, restored), SnapshotOutcome::Malformed);
    EXPECT_TRUE(restored.empty());
}

TEST(FlowSnapshotsTest, ASnapshotIsWrittenWhenFlowsChangeAndReadAfterAStart)
{
    asio::io_context context;
    FakeObjectApi api(context);
    std::optional<std::string> next;
    std::vector<std::string> restored;
    int failures = 0;
    const auto make = [&] {
        return std::make_unique<FlowSnapshots>(
            context, api,
            FlowSnapshotOptions{
                .kind = "flows", .zone = "bergamo", .period = milliseconds(5), .retryDelay = milliseconds(5)},
            FlowSnapshots::Events{.restored = [&](const std::string &text) { restored.push_back(text); },
                                  .changed = [&] { return std::exchange(next, std::nullopt); },
                                  .failed =
                                      [&](const std::string &) {
                                          ++failures;
                                      }});
    };
    api.down = true;
    auto snapshots = make();
    snapshots->start();
    runUntil(context, [&] { return failures > 0; });
    api.down = false;
    next = "one";
    runUntil(context, [&] { return api.writes == 1; });
    // Another balancer writes in between; the next snapshot still gets through.
    api.put("flows", "bergamo", R"({"flows":"other"})");
    next = "two";
    runUntil(context, [&] { return !next; });
    next = "three";
    runUntil(context, [&] { return api.writes == 3; });
    EXPECT_TRUE(restored.empty()) << "only what was stored before the start";

    snapshots = make();
    snapshots->start();
    runUntil(context, [&] { return !restored.empty(); });
    EXPECT_EQ(restored.back(), "three");
}

} // namespace
} // namespace oriolelever
