#include "oriolelever/explain.h"

#include <sstream>

#include <gtest/gtest.h>

namespace oriolelever {
namespace {

ParsedLogs read(const std::string &text)
{
    ParsedLogs reading;
    std::istringstream stream(text);
    parseLog(stream, reading);
    return reading;
}

// A flow is opened, its server restarts, and the next packet of the flow gets a reset.
const std::string balancer
    = R"({"at":1000,"node":"front-1","lifetime":1,"event":"flow_placed","flow":"100.64.0.7:4001>198.18.0.1:443","cause":"placed","server":"10.1.0.8","load":4.5,"report_age_ms":20.1,"version":12}
{"at":1005,"node":"front-1","lifetime":1,"event":"flow_placed","flow":"100.64.0.7:4002>198.18.0.1:443","cause":"placed","server":"10.1.0.9","load":4.5,"report_age_ms":20.1,"version":12}
{"at":9030,"node":"front-1","lifetime":1,"event":"server_state","server":"10.1.0.8","state":"ready","before":"silent"}
{"at":9100,"node":"front-1","lifetime":1,"event":"packet_returned","flow":"100.64.0.7:4001>198.18.0.1:443","server":"10.1.0.8","reason":"not_held","opening":false}
{"at":9100,"node":"front-1","lifetime":1,"event":"flow_reset","flow":"100.64.0.7:4001>198.18.0.1:443","cause":"not_held","version":12,"opening":false}
)";
const std::string agent
    = R"({"at":1001,"node":"side-1","lifetime":5,"event":"flow_delivered","flow":"100.64.0.7:4001>198.18.0.1:443","balancer":"10.1.0.2"}
{"at":9020,"node":"side-1","lifetime":6,"event":"server_heartbeat","outcome":"new_start","born_at":8990}
{"at":9099,"node":"side-1","lifetime":6,"event":"packet_returned","flow":"100.64.0.7:4001>198.18.0.1:443","reason":"not_held"}
)";

TEST(ExplainTest, AResetFlowIsTracedToItsServersNewStart)
{
    const auto explanation = explain(read(balancer + agent), {.flow = "100.64.0.7:4001"});
    std::vector<std::string> names;
    for (const auto &event : explanation.events) {
        names.push_back(event.node + " " + event.event);
    }
    const std::vector<std::string> expected{"front-1 flow_placed",     "side-1 flow_delivered",
                                            "side-1 server_heartbeat", "front-1 server_state",
                                            "side-1 packet_returned",  "front-1 packet_returned",
                                            "front-1 flow_reset"};
    EXPECT_EQ(names, expected);
    EXPECT_EQ(explanation.outcome, "402 outcome-unknown");
    EXPECT_EQ(explanation.cause,
              "front-1 reset the flow: no server holds it, its server has left or restarted");
}

TEST(ExplainTest, ARefusedFlowIsTracedToItsReason)
{
    const auto explanation = explain(
        read(
            R"({"at":5,"node":"front-2","event":"flow_reset","flow":"100.64.0.9:7>198.18.0.2:80","cause":"no_server","version":9,"opening":true})"),
        {.flow = "100.64.0.9:7"});
    EXPECT_EQ(explanation.outcome, "401 refused-not-run");
    EXPECT_EQ(explanation.cause,
              "front-2 refused the flow: no server of the service accepted it (configuration 9)");
}

TEST(ExplainTest, AnOpeningThatCouldNotBeServedIsTracedToTheWait)
{
    const auto explanation = explain(
        read(
            R"({"at":5,"node":"side-2","event":"opening_refused","flow":"100.64.0.9:7>198.18.0.2:80","expected_wait_ms":910.0,"remaining_ms":800.0})"),
        {.flow = "100.64.0.9:7"});
    EXPECT_EQ(explanation.outcome, "401 refused-not-run");
    EXPECT_EQ(explanation.cause,
              "side-2 returned the opening packet: the wait of 910.0 ms that it expected at its server "
              "exceeded the 800.0 ms that the caller had left");
}

TEST(ExplainTest, ARefusalUnderOverloadIsTracedToTheLackOfRoom)
{
    const auto explanation = explain(
        read(
            R"({"at":5,"node":"front-2","event":"flow_reset","flow":"100.64.0.9:7>198.18.0.2:80","cause":"overloaded","version":9,"opening":true})"),
        {.flow = "100.64.0.9:7"});
    EXPECT_EQ(explanation.outcome, "401 refused-not-run");
    EXPECT_EQ(
        explanation.cause,
        "front-2 refused the flow: no server of the service could start its request within the time that "
        "the caller had left (configuration 9)");
}

TEST(ExplainTest, AnUndecidedSearchIsTracedToUnreachableAgents)
{
    const auto explanation = explain(
        read(
            R"({"at":5,"node":"front-2","event":"search_undecided","flow":"100.64.0.9:7>198.18.0.2:80","mute":1,"away":3,"open":0,"awaited":0})"),
        {.flow = "100.64.0.9:7"});
    EXPECT_EQ(explanation.outcome, "402 outcome-unknown");
    EXPECT_EQ(explanation.cause,
              "front-2 could not determine which server holds the flow: 1 agents did not answer, 3 were "
              "unreachable");
}

TEST(ExplainTest, AnUnansweredFlowIsTracedToItsSilentServer)
{
    const auto explanation = explain(
        read(
            R"({"at":5,"node":"front-2","event":"flow_placed","flow":"100.64.0.9:7>198.18.0.2:80","server":"10.1.0.8"}
{"at":900,"node":"front-2","event":"server_state","server":"10.1.0.8","state":"silent","before":"ready"}
{"at":901,"node":"front-2","event":"server_state","server":"10.1.0.9","state":"gone","before":"ready"})"),
        {.flow = "100.64.0.9:7"});
    EXPECT_EQ(explanation.events.size(), 2U);
    EXPECT_EQ(explanation.cause, "front-2 learned that server 10.1.0.8 is silent");
}

TEST(ExplainTest, AServerThatIsReadyAgainIsNoCause)
{
    const auto explanation = explain(
        read(
            R"({"at":5,"node":"front-2","event":"flow_placed","flow":"100.64.0.9:7>198.18.0.2:80","server":"10.1.0.8"}
{"at":6,"node":"front-2","event":"server_state","server":"10.1.0.8","state":"unknown","before":"ready"}
{"at":9,"node":"front-2","event":"server_state","server":"10.1.0.8","state":"ready","before":"unknown"})"),
        {.flow = "100.64.0.9:7"});
    EXPECT_EQ(explanation.outcome, "open");
}

TEST(ExplainTest, ARequestIsFoundByItsId)
{
    const auto explanation = explain(read(R"({"at":5,"node":"a","event":"request_refused","request":"r-1"}
{"at":6,"node":"a","event":"request_refused","request":"r-11"})"),
                                     {.request = "r-1"});
    EXPECT_EQ(explanation.events.size(), 1U);
}

TEST(ExplainTest, MalformedLinesAreCountedAndSkipped)
{
    const auto reading = read(R"(started at noon
  12.5 front-1 {"at":5,"node":"front-1","event":"started"}
{"at":5,"node":"front-1","eve
{"at":"five","node":"front-1","event":"started"}

[1,2])");
    EXPECT_EQ(reading.events.size(), 1U);
    EXPECT_EQ(reading.malformedLines, 4U);
}

TEST(ExplainTest, WhatNoLineNamesIsUnknown)
{
    const auto explanation = explain(read(balancer), {.flow = "100.64.0.7:400"});
    EXPECT_TRUE(explanation.events.empty());
    EXPECT_EQ(explanation.outcome, "unknown");
}

} // namespace
} // namespace oriolelever
