#include "oriolelever/dissem.h"

#include <algorithm>
#include <deque>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace oriolelever;

namespace {

// Makes RapidCheck use the same inputs on every run.
const int fixedSeed = setenv("RC_PARAMS", "seed=20261203", 0);

bool tryApply(RecordTable &table, const Record &record)
{
    return handleError([&] { return table.apply(record); }, [](const Error &) { return false; });
}

Record zoneRecord(const std::string &name, std::uint64_t version)
{
    const auto state = version % 2 == 0 ? ZoneState::In : ZoneState::Out;
    return {.key = {RecordKind::Zone, name},
            .version = {0, version},
            .deleted = version % 5 == 0,
            .value = encodeZoneRow({.name = name, .state = state})};
}

Record nodeRecord(const Announcement &announcement, RecordVersion version)
{
    return {.key = {RecordKind::Node, announcement.name},
            .version = version,
            .value = encodeAnnouncement(announcement)};
}

std::string nameOf(std::size_t i)
{
    return "n" + std::to_string(i);
}

// Runs up to `rounds` exchanges until the tables are equal. Returns true if they are.
bool synchronise(RecordTable &a, RecordTable &b, int rounds)
{
    for (; rounds > 0 && a.root() != b.root(); --rounds) {
        std::optional<Exchange> message = openExchange(a);
        while (message) {
            const auto request = decodeExchange(encodeExchange(*message)).value();
            for (const auto &record : request.records) {
                tryApply(b, record);
            }
            const auto answer = decodeExchange(encodeExchange(answerExchange(b, request))).value();
            for (const auto &record : answer.records) {
                tryApply(a, record);
            }
            message = continueExchange(a, answer);
        }
    }
    return a.root() == b.root();
}

std::vector<std::uint64_t> sortedLabels(std::size_t count, std::size_t zones)
{
    std::vector<std::uint64_t> labels;
    for (std::size_t i = 0; i < count; ++i) {
        labels.push_back(labelOf("zone" + std::to_string(i % zones), nameOf(i)));
    }
    std::sort(labels.begin(), labels.end());
    return labels;
}

std::size_t reached(const std::vector<std::uint64_t> &labels, std::size_t from,
                    const std::vector<bool> &failed)
{
    std::vector<bool> seen(labels.size());
    std::deque<std::size_t> queue = {from};
    seen[from] = true;
    std::size_t count = 0;
    while (!queue.empty()) {
        const auto node = queue.front();
        queue.pop_front();
        ++count;
        for (const auto next : hypercubeNeighbours(labels, node)) {
            if (!seen[next] && !failed[next]) {
                seen[next] = true;
                queue.push_back(next);
            }
        }
    }
    return count;
}

} // namespace

TEST(DissemTest, VersionsNeverGoBackInAnyOrderOfDelivery)
{
    const bool ok = rc::check("versions only grow", [](const std::vector<std::uint8_t> &deliveries) {
        RecordTable table;
        std::map<RecordKey, RecordVersion> latest;
        for (const auto delivery : deliveries) {
            const auto record = zoneRecord(nameOf(delivery % 3), 1 + delivery / 3 % 16);
            const auto before = table.version(record.key).value_or(RecordVersion{});
            const bool isApplied = tryApply(table, record);
            RC_ASSERT(isApplied == (record.version > before));
            latest[record.key] = std::max(latest[record.key], record.version);
            RC_ASSERT(table.version(record.key) == latest[record.key]);
        }
    });
    EXPECT_TRUE(ok);
}

TEST(DissemTest, DigestDependsOnTheRecordsInForceOnly)
{
    const bool ok = rc::check("same records, same digest", [](std::vector<std::uint8_t> deliveries) {
        RecordTable a;
        RecordTable b;
        for (const auto delivery : deliveries) {
            tryApply(a, zoneRecord(nameOf(delivery % 7), 1 + delivery / 7));
        }
        std::reverse(deliveries.begin(), deliveries.end());
        for (const auto delivery : deliveries) {
            tryApply(b, zoneRecord(nameOf(delivery % 7), 1 + delivery / 7));
        }
        RC_ASSERT(a.root() == b.root());
        RC_ASSERT(std::equal(a.branches().begin(), a.branches().end(), b.branches().begin()));
    });
    EXPECT_TRUE(ok);
}

TEST(DissemTest, ExchangeMakesDifferentTablesEqual)
{
    std::mt19937 random(7);
    RecordTable a;
    RecordTable b;
    for (int i = 0; i < 3000; ++i) {
        const auto record = zoneRecord(nameOf(random() % 2000), 1 + random() % 20);
        tryApply(random() % 2 == 0 ? a : b, record);
    }
    EXPECT_NE(a.root(), b.root());
    EXPECT_TRUE(synchronise(a, b, 40));
    EXPECT_EQ(a.size(), b.size());
}

TEST(DissemTest, OneDifferenceCostsFewEntries)
{
    RecordTable a;
    RecordTable b;
    for (std::size_t i = 0; i < 20'000; ++i) {
        tryApply(a, zoneRecord(nameOf(i), 1));
        tryApply(b, zoneRecord(nameOf(i), 1));
    }
    tryApply(a, zoneRecord("n17", 2));
    const auto first = answerExchange(b, openExchange(a));
    const auto second = continueExchange(a, first);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->blocks.size(), 1U);
    const auto third = continueExchange(a, answerExchange(b, *second));
    ASSERT_TRUE(third);
    EXPECT_EQ(third->records.size(), 1U);
    EXPECT_TRUE(third->wanted.empty());
    EXPECT_TRUE(synchronise(a, b, 1));
}

TEST(DissemTest, AccusationsAndRefutationsAreOrderedByVersion)
{
    const RecordVersion announced{3, 4};
    EXPECT_EQ(accusationVersion(announced), (RecordVersion{3, 5}));
    EXPECT_EQ(nextAnnouncementVersion(accusationVersion(announced), 3), (RecordVersion{3, 6}));
    EXPECT_EQ(nextAnnouncementVersion(announced, 3), (RecordVersion{3, 6}));
    EXPECT_EQ(nextAnnouncementVersion(announced, 9), (RecordVersion{9, 2}));
    EXPECT_EQ(accusationVersion(accusationVersion(announced)), accusationVersion(announced));
}

TEST(DissemTest, ZoneLossAccusesAllItsNodesButThoseAlive)
{
    RecordTable table;
    for (std::size_t i = 0; i < 10; ++i) {
        const Announcement announcement{.name = nameOf(i),
                                        .zone = i % 2 == 0 ? "ost-a" : "ost-b",
                                        .incarnation = 1,
                                        .state = NodeState::Ready};
        tryApply(table, nodeRecord(announcement, {1, 2}));
    }
    const auto accusations = expandLoss(table.view(), {.id = 1, .zone = "ost-a", .alive = {"n4"}});
    EXPECT_EQ(accusations.size(), 4U);
    for (const auto &record : accusations) {
        EXPECT_TRUE(tryApply(table, record));
    }
    EXPECT_TRUE(expandLoss(table.view(), {.id = 1, .zone = "ost-a", .alive = {"n4"}}).empty());
}

TEST(DissemTest, UpdatedMembersEqualThoseOfTheWholeView)
{
    std::mt19937 random(3);
    RecordTable table;
    std::vector<Member> members;
    for (std::uint64_t i = 0; i < 400; ++i) {
        const Announcement announcement{.name = nameOf(random() % 60),
                                        .role = random() % 4 == 0 ? NodeRole::Agent : NodeRole::Balancer,
                                        .zone = random() % 2 == 0 ? "ost-a" : "ost-b",
                                        .incarnation = i,
                                        .state = random() % 3 == 0 ? NodeState::Down : NodeState::Ready};
        tryApply(table, nodeRecord(announcement, {i, 2}));
        updateMember(members, table.view(), announcement.name);
        ASSERT_EQ(members, liveMembers(table.view()));
    }
    EXPECT_GT(members.size(), 10U);
}

TEST(DissemTest, AgentGetsRecordsOfItsServiceOnly)
{
    RecordTable table;
    for (std::size_t i = 0; i < 6; ++i) {
        const Announcement announcement{.name = nameOf(i),
                                        .zone = "ost-a",
                                        .service = i < 2 ? "wx-brief" : "vessel-track",
                                        .state = NodeState::Ready};
        tryApply(table, nodeRecord(announcement, {1, 2}));
    }
    tryApply(table, zoneRecord("ost-a", 1));
    EXPECT_EQ(recordsForService(table, "wx-brief").size(), 3U);
    EXPECT_EQ(recordsForService(table, "none").size(), 1U);
}

TEST(DissemTest, HypercubeReachesEveryNodeWithFewNeighbours)
{
    for (const std::size_t count : {1U, 2U, 3U, 9U, 100U, 1000U, 3000U}) {
        const auto labels = sortedLabels(count, 13);
        EXPECT_EQ(reached(labels, count / 2, std::vector<bool>(count)), count);
        std::size_t most = 0;
        for (std::size_t i = 0; i < count; ++i) {
            const auto neighbours = hypercubeNeighbours(labels, i);
            EXPECT_EQ(std::count(neighbours.begin(), neighbours.end(), i), 0);
            most = std::max(most, neighbours.size());
        }
        EXPECT_LE(most, 24U);
    }
}

TEST(DissemTest, HypercubeReachesTheRestWhenFiveNeighboursOfTheSenderFail)
{
    const auto labels = sortedLabels(1000, 13);
    std::vector<bool> failed(labels.size());
    const auto neighbours = hypercubeNeighbours(labels, 0);
    ASSERT_GE(neighbours.size(), 6U);
    for (std::size_t i = 0; i < 5; ++i) {
        failed[neighbours[i]] = true;
    }
    EXPECT_EQ(reached(labels, 0, failed), labels.size() - 5);
}
