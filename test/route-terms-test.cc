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

TEST(RouteTermsTest, EachCodeIsItsOwnTime)
{
    for (std::uint8_t code = 0; code < 16; ++code) {
        EXPECT_EQ(encodeTime(decodeTime(code)), code);
    }
}

} // namespace
} // namespace oriolelever
