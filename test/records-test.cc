#include "oriolelever/records.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "event-loop.h"
#include "fakes.h"
#include "oriolelever/watch.h"

using namespace oriolelever;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds watchdog{20};

Endpoint loopback()
{
    Endpoint endpoint;
    parseIpAddress("127.0.0.1", endpoint.address);
    return endpoint;
}

// One process with records, on a shared event loop.
struct Process
{
    Process(asio::io_context &context, ObjectApi *platform, const std::string &name, NodeRole role,
            const std::string &zone, std::vector<Endpoint> seeds)
        : streams(context, {.listen = loopback(), .tls = {.plain = true}})
        , records({.name = name,
                   .role = role,
                   .zone = zone,
                   .service = role == NodeRole::Agent ? "sportello" : "",
                   .seeds = std::move(seeds),
                   .pushDelay = 5ms,
                   .exchangeInterval = 50ms})
    {
        EXPECT_TRUE(streams.open());
        records.startOn(context, streams, platform);
        records.announce({.name = name,
                          .role = role,
                          .zone = zone,
                          .service = records.options().service,
                          .incarnation = 1,
                          .state = NodeState::Ready,
                          .control = streams.listenEndpoint()});
    }

    Streams streams;
    Records records;
};

class RecordsTest : public testing::Test
{
protected:
    Process &add(const std::string &name, NodeRole role, const std::string &zone)
    {
        std::vector<Endpoint> seeds;
        for (std::size_t i = 0; i < std::min<std::size_t>(2, m_processes.size()); ++i) {
            seeds.push_back(m_processes[i]->streams.listenEndpoint());
        }
        auto *const platform = role == NodeRole::Balancer ? &m_objects : nullptr;
        m_processes.push_back(std::make_unique<Process>(m_context, platform, name, role, zone, seeds));
        return *m_processes.back();
    }

    void addDeployment()
    {
        add("b1", NodeRole::Balancer, "milano-a");
        add("b2", NodeRole::Balancer, "milano-b");
        add("b3", NodeRole::Balancer, "bergamo");
        for (int i = 1; i <= 7; ++i) {
            add("s" + std::to_string(i), NodeRole::Agent, "milano-a");
        }
    }

    template<typename Condition>
    bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + watchdog;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            m_context.run_one_for(100ms);
        }
        return condition();
    }

    bool everywhere(const std::function<bool(const ClusterView &)> &holds)
    {
        return std::all_of(m_processes.begin(), m_processes.end(),
                           [&](const auto &process) { return holds(process->records.view()); });
    }

    asio::io_context m_context;
    FakeObjectApi m_objects{m_context};
    std::vector<std::unique_ptr<Process>> m_processes;
};

Record nodeRecord(const Announcement &announcement, RecordVersion version)
{
    Record record;
    record.key = {RecordKind::Node, announcement.name};
    record.version = version;
    record.value = encodeAnnouncement(announcement);
    return record;
}

std::string zoneJson(ZoneState state)
{
    return encodeZoneRow({.name = "bergamo", .state = state});
}

} // namespace

TEST_F(RecordsTest, RowsAndNodesReachEveryProcess)
{
    addDeployment();
    ASSERT_TRUE(runUntil(
        [&] { return everywhere([](const ClusterView &view) { return view.nodes.size() >= 7 + 3; }); }));
    m_objects.put("zone", "bergamo", zoneJson(ZoneState::Out));
    EXPECT_TRUE(
        runUntil([&] { return everywhere([](const auto &view) { return isZoneOut(view, "bergamo"); }); }));
}

TEST_F(RecordsTest, ReportNamesNodesWithoutTheVersion)
{
    addDeployment();
    m_objects.put("zone", "bergamo", zoneJson(ZoneState::Out));
    ASSERT_TRUE(runUntil([&] {
        return everywhere(
            [](const auto &view) { return isZoneOut(view, "bergamo") && view.nodes.size() >= 10; });
    }));
    std::optional<InForceReport> report;
    const auto version = m_processes[0]->records.view().zones.at("bergamo").version;
    m_processes[0]->records.queryInForce({RecordKind::Zone, "bergamo"}, version,
                                         [&](const InForceReport &result) { report = result; });
    ASSERT_TRUE(runUntil([&] { return report.has_value(); }));
    EXPECT_EQ(report->confirmed, 10U);
    EXPECT_EQ(report->queried, 10U);
    EXPECT_TRUE(report->missing.empty());

    m_processes[2]->streams.stop();
    m_processes[9]->streams.stop();
    report.reset();
    m_processes[0]->records.queryInForce({RecordKind::Zone, "bergamo"}, version,
                                         [&](const InForceReport &result) { report = result; });
    ASSERT_TRUE(runUntil([&] { return report.has_value(); }));
    EXPECT_NE(std::find(report->missing.begin(), report->missing.end(), "b3"), report->missing.end());
    EXPECT_LT(report->confirmed, 10U);
}

TEST_F(RecordsTest, WronglyAccusedNodeRefutes)
{
    addDeployment();
    ASSERT_TRUE(
        runUntil([&] { return everywhere([](const auto &view) { return view.nodes.size() >= 10; }); }));
    m_processes[0]->records.publish(makeAccusation(m_processes[0]->records.view().nodes.at("s3")));
    EXPECT_EQ(m_processes[0]->records.view().nodes.at("s3").announcement.state, NodeState::Down);
    EXPECT_TRUE(runUntil([&] {
        return everywhere([](const auto &view) {
            const auto &entry = view.nodes.at("s3");
            return entry.announcement.state == NodeState::Ready && entry.version.sequence > 3;
        });
    }));
}

TEST_F(RecordsTest, LaterStartAtAnotherAddressReplacesTheProcess)
{
    addDeployment();
    auto &old = m_processes.back()->records;
    Announcement later = old.view().nodes.at("s7").announcement;
    later.incarnation = 2;
    later.control.port = 1;
    m_processes[0]->records.publish(nodeRecord(later, {2, 2}));
    ASSERT_TRUE(runUntil([&] { return old.isReplaced(); }));
    old.announce({.name = "s7", .incarnation = 1, .state = NodeState::Draining});
    EXPECT_EQ(old.view().nodes.at("s7").announcement, later);
}

TEST_F(RecordsTest, StartAfterTheClockWasSetBackGetsALaterIncarnation)
{
    auto &balancer = add("b1", NodeRole::Balancer, "milano-a");
    auto earlier = balancer.records.view().nodes.at("b1").announcement;
    earlier.incarnation = 50;
    earlier.state = NodeState::Draining;
    Process other(m_context, nullptr, "b2", NodeRole::Balancer, "milano-b",
                  {balancer.streams.listenEndpoint()});
    other.records.publish(nodeRecord(earlier, {50, 4}));
    EXPECT_TRUE(runUntil([&] {
        const auto &entry = other.records.view().nodes.at("b1");
        return entry.version.epoch == 51 && entry.announcement.state == NodeState::Ready;
    }));
    EXPECT_FALSE(balancer.records.isReplaced());
}

TEST_F(RecordsTest, OutageKeepsRowsAndAnOlderAnswerRestoresNothing)
{
    addDeployment();
    m_objects.put("zone", "bergamo", zoneJson(ZoneState::In));
    m_objects.put("zone", "bergamo", zoneJson(ZoneState::Out));
    ASSERT_TRUE(
        runUntil([&] { return everywhere([](const auto &view) { return isZoneOut(view, "bergamo"); }); }));
    m_objects.down = true;
    m_objects.endWatches();
    EXPECT_TRUE(everywhere([](const auto &view) { return isZoneOut(view, "bergamo"); }));
    // Lists of a revision before the change, and of one before the row existed.
    const auto &view = m_processes[0]->records.view();
    Object older{.kind = "zone", .name = "bergamo", .version = 1};
    older.value = nlohmann::json::parse(zoneJson(ZoneState::In));
    for (const auto &record :
         makeListRecords(view, "zone", {.objects = {older}, .position = {.revision = 1}})) {
        m_processes[0]->records.publish(record);
    }
    for (const auto &record : makeListRecords(view, "zone", ObjectList{})) {
        m_processes[0]->records.publish(record);
    }
    EXPECT_TRUE(isZoneOut(view, "bergamo"));
    m_objects.down = false;
    m_objects.put("zone", "bergamo", zoneJson(ZoneState::In));
    EXPECT_TRUE(runUntil([&] { return everywhere([](const auto &v) { return !isZoneOut(v, "bergamo"); }); }));
}

TEST(WatchTest, RetriesAfterAnOutageAreSpread)
{
    EXPECT_EQ(watchBackoff(1, 0.0), 100ms);
    EXPECT_EQ(watchBackoff(1, 1.0), 200ms);
    EXPECT_EQ(watchBackoff(20, 0.0), 5s);
    EXPECT_EQ(watchBackoff(20, 1.0), 10s);
}

TEST(WatchTest, AWatchSentIntoTheSilenceOfThePlatformIsShort)
{
    asio::io_context context;
    RecordingObjectApi api(context);
    const ClusterView view;
    const auto watch = std::make_shared<PlatformWatch>(
        context, api, 10s, [](const auto &) {}, [&]() -> const ClusterView & { return view; });
    watch->start();
    oriolelever::runUntil(context, [&] { return api.waits.size() == 1; });
    api.endWatches();
    oriolelever::runUntil(context, [&] { return api.waits.size() == 2; });
    EXPECT_EQ(api.waits.front(), 10s);
    EXPECT_EQ(api.waits.back(), confirmationWait);
    watch->stop();
    context.poll();
}

TEST(WatchTest, ListDeletesOnlyOlderRows)
{
    ClusterView view;
    view.zones["a"] = {.row = {.name = "a"}, .version = {0, 5}};
    view.zones["b"] = {.row = {.name = "b"}, .version = {0, 9}};
    const auto records = makeListRecords(view, "zone", {.position = {.revision = 7}});
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records[0].key.name, "a");
    EXPECT_TRUE(records[0].deleted);
    EXPECT_EQ(records[0].version, (RecordVersion{0, 7}));
}
