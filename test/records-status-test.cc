#include "oriolelever/records-status.h"

#include <gtest/gtest.h>

#include "oriolelever/operator.h"

using namespace oriolelever;

namespace {

ClusterView sampleView()
{
    ClusterView view;
    view.zones["bergamo"] = {{.name = "bergamo"}, {0, 12}};
    Announcement agent;
    agent.name = "s1";
    agent.state = NodeState::Ready;
    view.nodes["s1"] = {agent, {1, 1}};
    return view;
}

} // namespace

TEST(RecordsStatusTest, ContainsVersionsAndNodeCounts)
{
    const auto status = recordsStatus(sampleView());
    EXPECT_EQ(status["versions"]["zone/bergamo"], 12);
    EXPECT_EQ(status["nodes"]["agent ready"], 1);
}

TEST(RecordsStatusTest, NodeIsFoundByName)
{
    EXPECT_EQ(nodeStatus(sampleView(), "s1")["state"], "ready");
    EXPECT_TRUE(nodeStatus(sampleView(), "s2").is_null());
}

TEST(RecordsStatusTest, QueryMustNameARow)
{
    RecordKey key;
    RecordVersion version;
    EXPECT_TRUE(parseInForceQuery({{"kind", "zone"}, {"name", "bergamo"}, {"version", "12"}}, key, version));
    EXPECT_EQ(key, (RecordKey{RecordKind::Zone, "bergamo"}));
    EXPECT_EQ(version.sequence, 12U);
    EXPECT_FALSE(parseInForceQuery({{"kind", "zone"}, {"name", "bergamo"}, {"version", "x"}}, key, version));
    EXPECT_FALSE(parseInForceQuery({{"kind", "node"}, {"name", "a"}, {"version", "1"}}, key, version));
}

TEST(RecordsStatusTest, AnswerWithTheMostNodesCounts)
{
    const auto inForce = parseInForceAnswers({
        {.status = 200, .body = R"({"asked": 1, "confirmed": 1, "missing": []})"},
        {.status = 200, .body = R"({"asked": 3, "confirmed": 2, "missing": ["s1"]})"},
        {.status = 0},
        {.status = 404, .body = R"({"error": "only a balancer reports on all processes; query a balancer"})"},
    });
    EXPECT_TRUE(inForce.hasAnswer);
    EXPECT_EQ(inForce.askedProcesses, 3U);
    EXPECT_EQ(inForce.unconfirmedProcesses, std::vector<std::string>{"s1"});
    EXPECT_FALSE(isInForceEverywhere(inForce, 1));
}

TEST(RecordsStatusTest, TooFewAnswersAreNotEverywhere)
{
    const InForce inForce{.hasAnswer = true, .askedProcesses = 2, .confirmedProcesses = 2};
    EXPECT_TRUE(isInForceEverywhere(inForce, 2));
    EXPECT_FALSE(isInForceEverywhere(inForce, 3));
    EXPECT_FALSE(isInForceEverywhere({}, 0));
}
