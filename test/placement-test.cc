#include "oriolelever/placement.h"

#include <gtest/gtest.h>

#include "flow-fixture.h"

using namespace oriolelever;
using namespace oriolelever::test;

namespace {

std::size_t ownedBy(const ServiceRoute &route, const std::string &name)
{
    std::size_t count = 0;
    for (const auto owner : route.owners) {
        count += owner != noServer && route.servers[owner].id == idOf<ServerId>(name) ? 1 : 0;
    }
    return count;
}

TEST(Placement, refusesUnknownService)
{
    FlowCluster cluster;
    cluster.addServers(3);
    auto key = flowKey(1);
    EXPECT_TRUE(route(*cluster.routing, key));
    key.service.port += 1;
    EXPECT_FALSE(route(*cluster.routing, key));
    key = flowKey(1);
    key.protocol = Protocol::Udp;
    EXPECT_FALSE(route(*cluster.routing, key));
}

TEST(Placement, movesOnlyBucketsOfTheLeavingServer)
{
    FlowCluster cluster;
    cluster.addServers(7);
    const auto before = cluster.route();
    cluster.announce("s3", "zone-0", NodeState::Draining);
    const auto after = cluster.route();
    for (std::size_t bucket = 0; bucket < before->owners.size(); ++bucket) {
        if (before->servers[before->owners[bucket]].id != idOf<ServerId>("s3")) {
            EXPECT_EQ(before->owners[bucket], after->owners[bucket]);
        }
    }
    EXPECT_EQ(ownedBy(*after, "s3"), 0U);
    EXPECT_GT(after->version, before->version);
}

TEST(Placement, neverTargetsZoneThatIsOut)
{
    FlowCluster cluster;
    cluster.addServers(7);
    cluster.setZone("zone-1", ZoneState::Out);
    for (std::uint32_t i = 0; i < 1000; ++i) {
        const auto decision = route(*cluster.routing, flowKey(i));
        ASSERT_TRUE(decision);
        EXPECT_NE(findServer(*cluster.route(), decision->server)->zone, idOf<ZoneId>("zone-1"));
    }
}

TEST(Placement, refusesWhenAllZonesAreOut)
{
    FlowCluster cluster;
    cluster.addServers(7);
    for (const auto *const zone : {"zone-0", "zone-1", "zone-2"}) {
        cluster.setZone(zone, ZoneState::Out);
    }
    EXPECT_FALSE(route(*cluster.routing, flowKey(1)));
}

TEST(Placement, drainingServersOwnBucketsOnlyWhenNoOtherIsLeft)
{
    FlowCluster cluster;
    cluster.addServers(2);
    cluster.announce("s0", "zone-0", NodeState::Draining);
    EXPECT_EQ(ownedBy(*cluster.route(), "s0"), 0U);
    cluster.announce("s1", "zone-1", NodeState::Down);
    EXPECT_EQ(ownedBy(*cluster.route(), "s0"), smallBucketCount);
}

TEST(Placement, sharesBucketsByWeight)
{
    FlowCluster cluster;
    cluster.addServers(3);
    cluster.setZone("zone-0", ZoneState::In, 300);
    const auto route = cluster.route();
    const auto heavy = ownedBy(*route, "s0");
    EXPECT_GT(heavy, smallBucketCount / 2);
    EXPECT_LT(heavy, smallBucketCount * 7 / 10);
}

TEST(Placement, incrementalUpdateEqualsRebuild)
{
    FlowCluster cluster;
    cluster.addServers(7);
    cluster.announce("s3", "zone-0", NodeState::Down);
    cluster.setZone("zone-2", ZoneState::Out);
    cluster.announce("s5", "zone-2", NodeState::Draining);
    const auto incremental = cluster.route();
    RoutingBuilder fresh;
    const auto rebuilt = updateRouting(fresh, cluster.view, cluster.allRecords, TimePoint{});
    const auto *const other = findRoute(*rebuilt, incremental->address, incremental->protocol);
    ASSERT_NE(other, nullptr);
    EXPECT_EQ(incremental->owners, (*other)->owners);
    EXPECT_EQ(incremental->version, (*other)->version);
}

TEST(Placement, serverThatMovesToAnotherServiceLeavesTheFirst)
{
    FlowCluster cluster;
    cluster.addServers(3);
    cluster.announce("s1", "zone-1", NodeState::Ready, "other");
    EXPECT_EQ(findServer(*cluster.route(), idOf<ServerId>("s1")), nullptr);
}

} // namespace
