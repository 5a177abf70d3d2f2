#include "oriolelever/deferred-openings.h"

#include <gtest/gtest.h>

namespace oriolelever {
namespace {

using std::chrono::milliseconds;

FlowKey flowOf(std::uint16_t port)
{
    FlowKey key;
    EXPECT_TRUE(parseEndpoint("203.0.113.7:" + std::to_string(port), key.caller));
    EXPECT_TRUE(parseEndpoint("198.51.100.1:443", key.service));
    return key;
}

class DeferredOpeningsTest : public testing::Test
{
public:
    bool add(std::uint16_t port, std::uint8_t content = 0, std::size_t size = 32)
    {
        return defer(deferred, options, flowOf(port), std::vector<std::uint8_t>(size, content), now);
    }

    DeferOptions options{.maxOpenings = 2};
    DeferredOpenings deferred;
    TimePoint now{std::chrono::hours(1)};
};

// Guards against a flow that is placed twice because its caller has retransmitted the opening packet.
TEST_F(DeferredOpeningsTest, ACopyReplacesTheOneThatIsKept)
{
    EXPECT_TRUE(add(1, 10));
    EXPECT_TRUE(add(2, 20));
    now += milliseconds(200);
    EXPECT_TRUE(add(1, 11));
    ASSERT_EQ(deferred.openings.size(), 2U);
    EXPECT_EQ(deferred.openings[0].packet()[0], 11);
    EXPECT_EQ(deferred.openings[0].firstAt, now - milliseconds(200));
}

TEST_F(DeferredOpeningsTest, MemoryIsBounded)
{
    EXPECT_FALSE(add(1, 0, maxDeferredSize + 1));
    EXPECT_TRUE(add(1, 0, maxDeferredSize));
    EXPECT_TRUE(add(2));
    EXPECT_FALSE(add(3));
}

// Guards against an opening that reaches a server after its caller has given up.
TEST_F(DeferredOpeningsTest, AnOpeningThatItsCallerHasGivenUpIsRemoved)
{
    add(1);
    now += options.lifetime - milliseconds(1);
    add(2);
    EXPECT_TRUE(beginRetry(deferred, options, now));
    EXPECT_EQ(deferred.openings.size(), 2U);
    now += options.retryPeriod;
    EXPECT_TRUE(beginRetry(deferred, options, now));
    ASSERT_EQ(deferred.openings.size(), 1U);
    EXPECT_EQ(deferred.openings[0].flow, flowOf(2));
}

// Guards against a small balancer that spends its processor time on attempts.
TEST_F(DeferredOpeningsTest, AttemptsAreSpaced)
{
    EXPECT_FALSE(beginRetry(deferred, options, now));
    add(1);
    EXPECT_TRUE(beginRetry(deferred, options, now));
    now += options.retryPeriod - milliseconds(1);
    EXPECT_FALSE(beginRetry(deferred, options, now));
    now += milliseconds(1);
    EXPECT_TRUE(beginRetry(deferred, options, now));
}

} // namespace
} // namespace oriolelever
