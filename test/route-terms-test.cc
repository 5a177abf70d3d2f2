#include "oriolelever/route-terms.h"

#include <gtest/gtest.h>

namespace oriolelever {
namespace {

using std::chrono::milliseconds;

// Guards against an agent that believes a caller to wait longer than it does.
TEST(RouteTermsTest, TimesAreNeverRoundedUp)
{
    for (int count = 0; count < 20'000; ++count) {
        const milliseconds time(count);
        const auto rounded = roundToEncodable(time);
        EXPECT_LE(rounded, time);
        if (time >= milliseconds(50) && time < milliseconds(9000)) {
            EXPECT_GE(rounded, time * 7 / 10) << count;
        }
    }
}

TEST(RouteTermsTest, TimesBelowTheFirstStepCountAsUnstated)
{
    EXPECT_EQ(roundToEncodable(milliseconds(-5)), milliseconds(0));
    EXPECT_EQ(roundToEncodable(milliseconds(49)), milliseconds(0));
    EXPECT_EQ(roundToEncodable(milliseconds(50)), milliseconds(50));
    EXPECT_EQ(roundToEncodable(std::chrono::hours(1)), milliseconds(6400));
}

// Guards against an opening packet that has waited at a balancer being served as if it were new.
TEST(RouteTermsTest, WaitingUsesUpTheStatedTimes)
{
    const RouteTerms terms{.priority = 1, .timeLimit = milliseconds(1500), .latencyGoal = milliseconds(250)};
    const auto waited = remainingTerms(terms, milliseconds(100));
    EXPECT_EQ(waited.timeLimit, milliseconds(1400));
    EXPECT_EQ(waited.latencyGoal, milliseconds(150));
    EXPECT_EQ(waited.priority, 1);
    EXPECT_EQ(remainingTerms(terms, milliseconds(400)).latencyGoal, milliseconds(50)) << "not unstated";
    EXPECT_EQ(remainingTerms(RouteTerms{}, milliseconds(400)), RouteTerms{});
}

TEST(RouteTermsTest, EachCodeIsItsOwnTime)
{
    for (std::uint8_t code = 0; code < 16; ++code) {
        EXPECT_EQ(encodeTime(decodeTime(code)), code);
    }
}

} // namespace
} // namespace oriolelever
