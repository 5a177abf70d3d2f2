#include "oriolelever/edit.h"

#include <gtest/gtest.h>

#include "fake-platform.h"

using namespace oriolelever;

namespace {

const RowKey bergamo{RowKind::Zone, "bergamo"};

RowEdit editOf(const std::string &column, const std::string &value)
{
    RowEdit edit;
    edit.key = bergamo;
    edit.cells.push_back({column, value});
    return edit;
}

class EditTest : public testing::Test
{
protected:
    EditTest()
    {
        store({{"state", "in"}, {"weight", 100}, {"name", "bergamo"}});
    }

    void store(const nlohmann::json &value)
    {
        const auto current = m_platform.store.read("zone", "bergamo");
        Object object{.kind = "zone", .name = "bergamo", .value = value};
        if (current) {
            object = current.value();
            object.value.update(value);
        }
        ASSERT_TRUE(m_platform.store.write(object));
    }

    void beginEdit(const RowEdit &edit, const std::string &author)
    {
        applyEdit(m_platform, edit, {.author = author, .time = WallTime(std::chrono::milliseconds(5))},
                  [this](const Answer<EditOutcome> &answer) { m_answers.push_back(answer); });
    }

    Answer<EditOutcome> apply(const RowEdit &edit)
    {
        m_answers.clear();
        beginEdit(edit, "marta");
        m_platform.deliver();
        return m_answers.at(0);
    }

    std::vector<HistoryEntry> history()
    {
        const auto object = m_platform.store.read("history", "zone.bergamo");
        return object ? decodeHistory(bergamo, object.value().value).entries : std::vector<HistoryEntry>();
    }

    Object zone()
    {
        return m_platform.store.read("zone", "bergamo").value();
    }

    lab::FakePlatform m_platform;
    std::vector<Answer<EditOutcome>> m_answers;
};

} // namespace

TEST_F(EditTest, RecordsWhoWhenFromAndTo)
{
    const auto answer = apply(editOf("weight", "40"));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer.value().version, zone().version);
    ASSERT_EQ(history().size(), 1U);
    EXPECT_EQ(history()[0].author, "marta");
    EXPECT_EQ(history()[0].time, WallTime(std::chrono::milliseconds(5)));
    EXPECT_EQ(history()[0].version, zone().version);
    EXPECT_EQ(history()[0].cells, (std::vector<CellChange>{{"weight", "100", "40"}}));
}

TEST_F(EditTest, ConcurrentEditsOfDifferentCellsAreMerged)
{
    beginEdit(editOf("weight", "40"), "marta");
    beginEdit(editOf("state", "out"), "luca");
    m_platform.deliver();
    ASSERT_EQ(m_answers.size(), 2U);
    EXPECT_TRUE(m_answers[0] && m_answers[1]);
    EXPECT_EQ(zone().value["weight"], 40);
    EXPECT_EQ(zone().value["state"], "out");
    EXPECT_EQ(history().size(), 2U);
}

// Each concurrent operator writes the history twice. An entry that lacks its version could not be matched
// with its change later.
TEST_F(EditTest, ConcurrentEditsCompleteTheirRecords)
{
    const std::vector<std::string> columns{"weight", "state", "ramp_ms"};
    for (const auto &column : columns) {
        beginEdit(editOf(column, column == "state" ? "out" : "7"), column);
    }
    beginEdit(editOf("weight", "9"), "late");
    m_platform.deliver();
    ASSERT_EQ(m_answers.size(), 4U);
    ASSERT_EQ(history().size(), 3U);
    for (const auto &entry : history()) {
        EXPECT_NE(entry.version, 0U) << entry.author;
    }
}

TEST_F(EditTest, ConcurrentEditsOfTheSameCellConflict)
{
    beginEdit(editOf("weight", "40"), "marta");
    beginEdit(editOf("weight", "70"), "luca");
    m_platform.deliver();
    ASSERT_EQ(m_answers.size(), 2U);
    const auto &lost = m_answers[0] ? m_answers[1] : m_answers[0];
    ASSERT_FALSE(lost);
    EXPECT_EQ(lost.error().code, Code::PlatformConflict);
    const auto now = zone().value["weight"].dump();
    const std::string other = now == "40" ? "70" : "40";
    EXPECT_NE(lost.error().text.find("column \"weight\" was \"100\", is now \"" + now + "\", you asked for \""
                                     + other + "\""),
              std::string::npos);
    EXPECT_EQ(history().size(), 1U);
}

TEST_F(EditTest, UnexpectedVersionShowsBothValues)
{
    auto edit = editOf("weight", "40");
    edit.expectedVersion = 7;
    const auto answer = apply(edit);
    EXPECT_EQ(answer.error().text,
              "row \"zone/bergamo\" is at version 1, expected 7; column \"weight\" is now \"100\", you asked "
              "for \"40\"");
}

TEST_F(EditTest, LostAnswerOfTheRowIsResolved)
{
    beginEdit(editOf("weight", "40"), "marta");
    m_platform.faults.loseWriteAnswers = 3; // History, row and history again.
    m_platform.deliver();
    ASSERT_TRUE(m_answers.at(0));
    EXPECT_EQ(m_answers[0].value().changes.size(), 1U);
    EXPECT_EQ(zone().value["weight"], 40);
    EXPECT_EQ(zone().changes.size(), 1U);
    EXPECT_EQ(history().size(), 1U);
}

TEST_F(EditTest, OutageChangesNothing)
{
    m_platform.faults.down = true;
    EXPECT_EQ(apply(editOf("weight", "40")).error().code, Code::PlatformUnreachable);
    EXPECT_EQ(zone().version, 1U);
}

TEST_F(EditTest, UnknownRowIsNamed)
{
    auto edit = editOf("weight", "40");
    edit.key.name = "ost-z";
    const auto answer = apply(edit);
    EXPECT_EQ(answer.error().text, "zone \"ost-z\" does not exist");
}

TEST_F(EditTest, IncompleteNewRowIsRefusedBeforeItIsWritten)
{
    auto edit = editOf("slot_limit", "4");
    edit.key = {RowKind::Service, "archivio"};
    applyEdit(m_platform, edit, {.create = true},
              [this](const Answer<EditOutcome> &answer) { m_answers.push_back(answer); });
    m_platform.deliver();
    EXPECT_EQ(m_answers.at(0).error().code, Code::TableInvalid);
    EXPECT_FALSE(m_platform.store.read("service", "archivio"));
}

TEST_F(EditTest, UndoIsANewVersion)
{
    apply(editOf("weight", "40"));
    const auto changed = zone().version;
    const auto edit = makeUndoEdit(bergamo, history().back());
    ASSERT_TRUE(edit);
    ASSERT_TRUE(apply(edit.value()));
    EXPECT_EQ(zone().value["weight"], 100);
    EXPECT_GT(zone().version, changed);
    EXPECT_EQ(history().size(), 2U);
}

TEST_F(EditTest, UndoOfAnOverwrittenCellConflicts)
{
    apply(editOf("weight", "40"));
    const auto edit = makeUndoEdit(bergamo, history().back());
    store({{"weight", 70}});
    ASSERT_TRUE(edit);
    EXPECT_EQ(apply(edit.value()).error().code, Code::PlatformConflict);
    EXPECT_EQ(zone().value["weight"], 70);
}

TEST_F(EditTest, StateOfInterruptedChangeFollowsFromTheRow)
{
    HistoryEntry entry{.change = "ours", .base = 5};
    Object row{.version = 5};
    EXPECT_EQ(entryState(entry, row), EntryState::NotApplied);
    row.version = 7;
    EXPECT_EQ(entryState(entry, row), EntryState::Unknown);
    row.changes = {"ours", "theirs"};
    EXPECT_EQ(entryState(entry, row), EntryState::Applied);
}

TEST_F(EditTest, HistoryIsBounded)
{
    for (unsigned i = 0; i < maxHistoryEntries + 5; ++i) {
        ASSERT_TRUE(apply(editOf("weight", std::to_string(i))));
    }
    EXPECT_EQ(history().size(), maxHistoryEntries);
    EXPECT_EQ(history().back().cells[0].to, std::to_string(maxHistoryEntries + 4));
}
