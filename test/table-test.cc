#include "oriolelever/table.h"

#include <cstdlib>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oriolelever;

namespace {

const int fixedSeed = setenv("RC_PARAMS", "seed=7", 0);

const RowKey bergamo{RowKind::Zone, "bergamo"};

TableRow zoneRow(std::uint64_t version, unsigned weight, const std::string &state = "in")
{
    auto row = defaultRow(bergamo);
    row.version = version;
    row.value["weight"] = weight;
    row.value["state"] = state;
    return row;
}

std::vector<std::string> problemsOf(const std::vector<Problem> &problems)
{
    std::vector<std::string> texts;
    for (const auto &problem : problems) {
        texts.push_back(toString(problem));
    }
    return texts;
}

} // namespace

TEST(TableTest, EditsOfDifferentCellsAreMerged)
{
    const auto merged = mergeEdits(zoneRow(1, 100), {{"weight", "40"}}, zoneRow(2, 100, "out"));
    EXPECT_TRUE(merged.conflicts.empty());
    EXPECT_EQ(merged.row.value["weight"], 40);
    EXPECT_EQ(merged.row.value["state"], "out");
    EXPECT_EQ(merged.changes, (std::vector<CellChange>{{"weight", "100", "40"}}));
}

TEST(TableTest, ConflictShowsBothValues)
{
    const auto merged = mergeEdits(zoneRow(1, 100), {{"weight", "40"}}, zoneRow(2, 70));
    EXPECT_EQ(merged.conflicts, (std::vector<CellConflict>{{"weight", "100", "70", "40"}}));
    EXPECT_EQ(merged.row.value["weight"], 70);
}

TEST(TableTest, SameWantedValueIsNoConflict)
{
    const auto merged = mergeEdits(zoneRow(1, 100), {{"weight", "40"}}, zoneRow(2, 40));
    EXPECT_TRUE(merged.conflicts.empty());
    EXPECT_TRUE(merged.changes.empty());
}

TEST(TableTest, WrongCellNamesWhatIsAllowed)
{
    std::string problem;
    EXPECT_FALSE(parseCellEdit(bergamo, "weight=1001", problem));
    EXPECT_EQ(problem,
              "column \"weight\" of row \"zone/bergamo\" does not allow \"1001\"; allowed: 0 to 1000");
    EXPECT_FALSE(parseCellEdit(bergamo, "slot_limit=1", problem));
    EXPECT_EQ(
        problem,
        "column \"slot_limit\" does not exist in row \"zone/bergamo\"; allowed: state, weight, ramp_ms");
}

TEST(TableTest, EveryColumnOfTheRowsIsKnown)
{
    for (const auto kind : {RowKind::Service, RowKind::Zone, RowKind::Server}) {
        auto row = defaultRow({kind, "x"});
        row.value.erase("name");
        for (const auto &[name, cell] : row.value.items()) {
            const auto *const column = findColumn(name);
            ASSERT_NE(column, nullptr) << name;
            EXPECT_TRUE(hasColumn(kind, *column)) << name;
            EXPECT_EQ(parseCell(*column, cellText(row, *column)), cell) << name;
        }
    }
}

TEST(TableTest, ReportsEveryProblemOfACsvFile)
{
    std::vector<Problem> problems;
    parseTableCsv("t.csv",
                  "kind,name,weight,state\nzone,a,x,in\nregion,b,,\nzone,c,5,off\nzone,c,1\nzone,c,,\n",
                  problems);
    EXPECT_EQ(problemsOf(problems),
              (std::vector<std::string>{
                  "t.csv:2: weight = \"x\"; allowed: 0 to 1000",
                  "t.csv:3: kind = \"region\"; allowed: service, zone or server",
                  "t.csv:4: state = \"off\"; allowed: in or out",
                  "t.csv:5: row = \"3 fields\"; allowed: 4 fields",
                  "t.csv:6: name = \"c\"; allowed: one row for each kind and name",
              }));
}

TEST(TableTest, UnknownColumnAndOpenQuoteAreNamed)
{
    std::vector<Problem> problems;
    parseTableCsv("t.csv", "kind,name,colour\n", problems);
    parseTableCsv("t.csv", "kind,name\nzone,\"a\n", problems);
    ASSERT_EQ(problems.size(), 2U);
    EXPECT_TRUE(toString(problems[0]).starts_with("t.csv:1: column = \"colour\"; allowed: kind, name"));
    EXPECT_EQ(toString(problems[1]), "t.csv:2: quote = \"\"\"; allowed: a closing quote");
}

TEST(TableTest, ReportsProblemsOfAJsonFileByLine)
{
    std::vector<Problem> problems;
    parseTableJson("t.json",
                   "[\n{\"kind\": \"zone\", \"name\": \"a\"},\n{\"kind\": \"zone\", \"name\": \"b\",\n"
                   "\"weight\": -1}]",
                   problems);
    EXPECT_EQ(problemsOf(problems),
              (std::vector<std::string>{"t.json:3: weight = \"-1\"; allowed: 0 to 1000"}));
    problems.clear();
    parseTableJson("t.json", "[\n{]", problems);
    EXPECT_EQ(problemsOf(problems),
              (std::vector<std::string>{"t.json:2: json = \"\"; allowed: a JSON array of rows"}));
}

// Guards against a command that ends by a signal, as a cell is followed by recursion.
TEST(TableTest, AJsonFileWithDeepNestingIsAProblem)
{
    const std::string nested = std::string(500'000, '[') + std::string(500'000, ']');
    std::vector<Problem> problems;
    parseTableJson("t.json", R"([{"kind":"zone","name":"bergamo","flows":)" + nested + "}]", problems);
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_EQ(problems[0].allowed, "nesting of at most 64 levels");
}

// Guards against a damaged file of which only the rows before the damage are imported.
TEST(TableTest, AJsonFileWithAZeroByteIsAProblem)
{
    std::vector<Problem> problems;
    const auto edits = parseTableJson(
        "t.json", std::string("[{\"kind\":\"zone\",\"name\":\"bergamo\"}\n]") + '\0' + "[]", problems);
    EXPECT_TRUE(edits.empty());
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_EQ(problems[0].line, 2);
}

TEST(TableTest, JsonOutputCanBeImported)
{
    const std::vector<TableRow> rows{zoneRow(3, 40)};
    std::vector<Problem> problems;
    const auto edits = parseTableJson("t.json", tableJson(rows, {{bergamo, {{"flows", "7"}}}}), problems);
    EXPECT_TRUE(problems.empty());
    ASSERT_EQ(edits.size(), 1U);
    EXPECT_EQ(edits[0].expectedVersion, 3U);
    EXPECT_EQ(edits[0].cells,
              (std::vector<CellEdit>{{"ramp_ms", "10000"}, {"state", "in"}, {"weight", "40"}}));
}

RC_GTEST_PROP(TableTest, CsvFieldsRoundTrip, (const std::vector<std::vector<std::string>> &rows))
{
    std::string text;
    std::vector<std::vector<std::string>> written;
    for (const auto &row : rows) {
        // A record of one empty field is an empty line, which CSV does not keep.
        if (row.empty() || (row.size() == 1 && row[0].empty())) {
            continue;
        }
        written.push_back(row);
        text += csvLine(row);
    }
    std::vector<CsvRecord> records;
    RC_ASSERT(parseCsv(text, records));
    std::vector<std::vector<std::string>> read;
    for (const auto &record : records) {
        read.push_back(record.fields);
    }
    RC_ASSERT(read == written);
}

RC_GTEST_PROP(TableTest, TableCsvRoundTrips, (unsigned weight, bool out, std::uint32_t ramp))
{
    auto row = zoneRow(9, weight % 1001, out ? "out" : "in");
    row.value["ramp_ms"] = ramp % 86'400'001;
    std::vector<Problem> problems;
    const auto edits = parseTableCsv("t.csv", tableCsv(std::vector{row}), problems);
    RC_ASSERT(problems.empty());
    RC_ASSERT(edits.size() == 1U);
    RC_ASSERT(mergeEdits(row, edits[0].cells, row).changes.empty());
    RC_ASSERT(edits[0].cells.size() == 3U);
}
