#include "summary.h"

#include <sstream>

#include <gtest/gtest.h>

using namespace oriolelever::lab;
using std::chrono::milliseconds;

namespace {

constexpr const char *reports = "server s1 sportello bergamo\n"
                                "slot 1000 5 2 100\n"
                                "slot 5100 4 0 50\n"
                                "slot 9000 1 0 50\n"
                                "slot 12000 3 1 50\n"
                                "server s2 sportello brescia\n"
                                "slot 1000 5 2 100\n"
                                "slot 5100 5 9 150\n"
                                "slot 8700 5 9 150\n"
                                "slot 12400 5 1 150\n"
                                "mark 5000 zone-out bergamo\n"
                                "mark 11000 zone-return bergamo\n"
                                "mark 12100 drain s2\n"
                                "mark 20000 end run\n"
                                "lost: 2\n"
                                "lost: 1\n";

RunReport parse(const std::string &text)
{
    std::istringstream in(text);
    RunReport run;
    std::string problem;
    EXPECT_TRUE(readReport(in, run, problem)) << problem;
    return run;
}

} // namespace

TEST(SummaryTest, CountsPacketsLaterThanTheLimitAfterTheOrder)
{
    const auto run = parse(reports);
    EXPECT_EQ(packetsAfterZoneLeft(run), 1U);
    EXPECT_EQ(zoneOutInForce(run), milliseconds(4000));
}

TEST(SummaryTest, DrainIsInForceWithTheLastOpenedFlow)
{
    EXPECT_EQ(drainInForce(parse(reports)), milliseconds(300));
}

TEST(SummaryTest, FiguresOfAllReportsAddUp)
{
    EXPECT_EQ(parse(reports).figures.at("lost"), 3);
}

TEST(SummaryTest, ImbalanceLeavesOutZonesThatAreOut)
{
    auto run = parse(reports);
    EXPECT_DOUBLE_EQ(imbalance(run), 1);
    run.marks.erase(run.marks.begin());
    EXPECT_DOUBLE_EQ(imbalance(run), 1.5);
}

TEST(SummaryTest, RequestThatRanAtTwoServersRanTwice)
{
    const auto run = parse("server s1 a z\nrun key-1 1\nrun key-2 1\nserver s2 a z\nrun key-1 2\n");
    EXPECT_EQ(ranTwice(run), 2U);
}

TEST(SummaryTest, UnknownLineIsNamed)
{
    std::istringstream in("server s1 sportello bergamo\nspot 3\n");
    RunReport run;
    std::string problem;
    EXPECT_FALSE(readReport(in, run, problem));
    EXPECT_EQ(problem, "2: \"spot 3\" is not a figure, server, slot, run or mark");
}
