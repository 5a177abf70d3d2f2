#include "oriolelever/model.h"

#include <gtest/gtest.h>

using namespace oriolelever;

namespace {

bool tryApply(ClusterView &view, const Record &record)
{
    return handleError([&] { return applyRecord(view, record); }, [](const Error &) { return false; });
}

Record zoneRecord(std::uint64_t version, ZoneState state)
{
    return {.key = {RecordKind::Zone, "bergamo"},
            .version = {0, version},
            .value = encodeZoneRow({.name = "bergamo", .state = state})};
}

} // namespace

TEST(ModelTest, RowsSurviveEncoding)
{
    ServiceRow row{.name = "sportello", .protocol = Protocol::Udp, .slotLimit = 4};
    ASSERT_TRUE(parseEndpoint("192.0.2.10:443", row.address));
    const auto decoded = decodeServiceRow(encodeServiceRow(row));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value(), row);
}

TEST(ModelTest, AnnouncementSurvivesEncoding)
{
    Announcement announcement{.name = "s1", .zone = "milano-a", .service = "sportello", .incarnation = 7};
    ASSERT_TRUE(parseEndpoint("[2001:db8::1]:9000", announcement.data));
    const auto decoded = decodeAnnouncement(encodeAnnouncement(announcement));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value(), announcement);
}

TEST(ModelTest, WrongCellIsNamed)
{
    const auto text = handleError(
        []() -> Result<std::string> {
            BOOST_LEAF_AUTO(row, decodeZoneRow(R"({"name": "bergamo", "weight": 2000})"));
            return row.name;
        },
        [](const Error &error) { return error.text; });
    EXPECT_EQ(text, "column \"weight\" allows 0 to 1000, not 2000");
}

TEST(ModelTest, VersionNeverGoesBack)
{
    ClusterView view;
    EXPECT_TRUE(tryApply(view, zoneRecord(5, ZoneState::Out)));
    EXPECT_FALSE(tryApply(view, zoneRecord(4, ZoneState::In)));
    EXPECT_FALSE(tryApply(view, zoneRecord(5, ZoneState::In)));
    EXPECT_TRUE(isZoneOut(view, "bergamo"));
    EXPECT_TRUE(tryApply(view, zoneRecord(6, ZoneState::In)));
    EXPECT_FALSE(isZoneOut(view, "bergamo"));
}

TEST(ModelTest, DeletedRowDoesNotReturnWithAnOlderVersion)
{
    ClusterView view;
    auto deletion = zoneRecord(6, ZoneState::In);
    deletion.deleted = true;
    EXPECT_TRUE(tryApply(view, zoneRecord(5, ZoneState::Out)));
    EXPECT_TRUE(tryApply(view, deletion));
    EXPECT_FALSE(tryApply(view, zoneRecord(5, ZoneState::Out)));
    EXPECT_TRUE(view.zones.empty());
}
