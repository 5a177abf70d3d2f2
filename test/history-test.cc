#include "history.h"

#include <gtest/gtest.h>

#include "requests.h"

using namespace oriolelever;
using namespace oriolelever::lab;
using namespace std::chrono_literals;

namespace {

RequestsRunFigures runWith(Mutation mutation)
{
    return runRequests({.seed = 3, .duration = 6000ms, .mutation = mutation});
}

} // namespace

TEST(HistoryTest, RunWithoutPlantedDefectKeepsEveryPromise)
{
    const auto figures = runWith(Mutation::None);
    EXPECT_TRUE(figures.history.faults.empty()) << figures.history.faults.front();
    EXPECT_GT(figures.history.answeredWhole, 2000U);
    EXPECT_GT(figures.restarts, 0U);
    EXPECT_GT(figures.handovers, 0U);
    EXPECT_GT(figures.retries, 0U);
    EXPECT_GT(figures.lateAnswers, 0U);
}

TEST(HistoryTest, IgnoredClaimsAreFoundAsDoubles)
{
    EXPECT_GT(runWith(Mutation::ClaimsIgnored).history.doubled, 0U);
}

TEST(HistoryTest, IgnoredMemoryIsFoundAsDoubles)
{
    std::uint64_t doubled = 0;
    for (std::uint64_t seed = 1; seed <= 20 && doubled == 0; ++seed) {
        doubled += runRequests({.seed = seed, .mutation = Mutation::MemoryIgnored}).history.doubled;
    }
    EXPECT_GT(doubled, 0U);
}

TEST(HistoryTest, ForgottenByteIsFoundAsFalseRefusal)
{
    EXPECT_GT(runWith(Mutation::SentForgotten).history.falseRefusals, 0U);
}

TEST(HistoryTest, PassedTruncatedAnswerIsFound)
{
    EXPECT_GT(runWith(Mutation::TruncatedPassed).history.wrongAnswers, 0U);
}

TEST(HistoryTest, PassedCrossedAnswerIsFound)
{
    EXPECT_GT(runWith(Mutation::CrossedPassed).history.wrongAnswers, 0U);
}

TEST(HistoryTest, ForgottenEndIsFoundAsLost)
{
    EXPECT_GT(runWith(Mutation::EndForgotten).history.lost, 0U);
}
