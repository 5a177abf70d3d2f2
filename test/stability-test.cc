#include "stability.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "control.h"
#include "spread.h"

using namespace oriolelever;
using namespace oriolelever::lab;
using namespace std::chrono_literals;

TEST(StabilityTest, IncompleteHypercubeHasAnExtraEdge)
{
    const auto cube = incompleteHypercube(7);
    // Vertex 7 is missing. Of its neighbours 3, 5 and 6, the last two are connected by an extra edge.
    EXPECT_EQ(cube[5], (std::vector<std::size_t>{1, 4, 6}));
    EXPECT_EQ(cube[6], (std::vector<std::size_t>{2, 4, 5}));
    EXPECT_EQ(cube[3], (std::vector<std::size_t>{1, 2}));
    EXPECT_EQ(incompleteHypercube(8)[7], (std::vector<std::size_t>{3, 5, 6}));
}

TEST(StabilityTest, TreeAndHypercubeFindEveryLiveNodeWithFailedNeighbours)
{
    for (const std::size_t nodes : {2U, 10U, 100U, 1000U}) {
        for (std::size_t failed = 0; failed <= 5; ++failed) {
            const StabilityOptions options{.nodes = nodes, .failed = failed};
            const auto tree = measureTree(options);
            EXPECT_EQ(tree.confirmed, tree.live) << nodes << " " << failed;
            // The hypercube is disconnected where all neighbours of a node have failed.
            if (failed < incompleteHypercube(nodes)[nodes / 2].size()) {
                const auto cube = measureHypercube(options);
                EXPECT_EQ(cube.confirmed, cube.live) << nodes << " " << failed;
            }
        }
    }
}

TEST(StabilityTest, TreeQueriesEachMemberOnce)
{
    const auto figures = measureTree({.nodes = 1000});
    EXPECT_EQ(figures.messages, 2U * 999);
    EXPECT_LE(figures.largestLoad, 2 * queryFanout + 2);
}

TEST(SpreadTest, EachNodeGetsAChangeAboutOnce)
{
    const auto figures = measureSpread({.nodes = 500, .changes = 10, .seed = 3});
    EXPECT_EQ(figures.repaired, 0U);
    EXPECT_LT(figures.messagesPerChange, 1.2);
    EXPECT_LT(figures.longest, 1s);
}

// Target load per day: 53,000 changes of rows, and 14,160 restarts and failures with three announcements
// each. A node may use at most 12 KB of control traffic per second; half of that is for the push of changes,
// sent and received.
constexpr double changesPerSecond = (53'000.0 + 3 * 14'160.0) / 86'400;
constexpr double controlBytesPerSecond = 12'000;

TEST(SpreadTest, ChangesReachAllWithLostCallsAndNodesThatAreDown)
{
    for (const double loss : {0.0, 0.1}) {
        const auto figures
            = measureSpread({.nodes = 500, .changes = 10, .failed = 50, .loss = loss, .seed = 3});
        EXPECT_LT(figures.longest, 13s) << loss;
        EXPECT_LT(2 * figures.bytesPerChange * changesPerSecond, controlBytesPerSecond / 2) << loss;
    }
}

TEST(ControlTest, SlopeOfALine)
{
    EXPECT_DOUBLE_EQ(slopeOf({{1, 5}, {2, 7}, {4, 11}}), 2);
    EXPECT_DOUBLE_EQ(slopeOf({{1, 5}}), 0);
}
