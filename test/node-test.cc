#include "oriolelever/node.h"

#include <gtest/gtest.h>

using namespace oriolelever;

TEST(NodeTest, StateIsAnnouncedOnlyWhenItChanges)
{
    const Announcement current{.name = "s1", .state = NodeState::Cold};
    EXPECT_FALSE(nextAnnouncement(current, false, NodeState::Cold));
    ASSERT_TRUE(nextAnnouncement(current, false, NodeState::Ready));
    EXPECT_EQ(nextAnnouncement(current, false, NodeState::Ready)->state, NodeState::Ready);
}

TEST(NodeTest, LeavingNodeDoesNotBecomeReadyAgain)
{
    const Announcement current{.name = "s1", .state = NodeState::Draining};
    EXPECT_FALSE(nextAnnouncement(current, true, NodeState::Ready));
    EXPECT_TRUE(nextAnnouncement(current, true, NodeState::Down));
}

TEST(NodeTest, LaterStartHasALargerIncarnation)
{
    const auto now = std::chrono::system_clock::time_point(std::chrono::hours(1));
    EXPECT_LT(incarnationAt(now), incarnationAt(now + std::chrono::microseconds(1)));
}
