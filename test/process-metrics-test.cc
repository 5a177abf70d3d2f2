#include "oriolelever/process-metrics.h"

#include <gtest/gtest.h>

namespace oriolelever {
namespace {

using std::chrono::milliseconds;

class ProcessMetricsTest : public testing::Test
{
public:
    ProcessMetricsTest()
        : log(
            {.node = "front-1"}, [](const char *, std::size_t size) { return size; },
            [] { return std::int64_t{0}; })
        , processMetrics(context, metrics, log)
    {
    }

    // True if the exposition text contains `line`.
    bool hasMetricLine(const std::string &line) const
    {
        return metrics.text().find(line) != std::string::npos;
    }

    asio::io_context context;
    Metrics metrics;
    EventLog log;
    ProcessMetrics processMetrics;
};

TEST_F(ProcessMetricsTest, CallsAreCountedByKindAndOutcome)
{
    processMetrics.recordCall("list agents", "answered", milliseconds(4));
    processMetrics.recordCall("list agents", "lost", milliseconds(600));
    processMetrics.recordCall("list agents", "lost", milliseconds(1200));
    EXPECT_TRUE(
        hasMetricLine(R"(oriolelever_platform_calls_total{call="list agents",outcome="answered"} 1)"));
    EXPECT_TRUE(hasMetricLine(R"(oriolelever_platform_calls_total{call="list agents",outcome="lost"} 2)"));
    EXPECT_TRUE(hasMetricLine("oriolelever_platform_call_seconds_count 3"));
}

TEST_F(ProcessMetricsTest, AWatchThatWaitsIsNoSlowCall)
{
    processMetrics.recordCall("watch config", "answered", milliseconds(4000));
    EXPECT_TRUE(hasMetricLine("oriolelever_platform_call_seconds_count 0"));
}

TEST_F(ProcessMetricsTest, AgesGrowFromTheLastAnswer)
{
    processMetrics.recordCall("watch config", "answered", milliseconds(4000));
    processMetrics.recordCall("watch config", "lost", milliseconds(5500));
    processMetrics.update(std::chrono::steady_clock::now() + std::chrono::seconds(40), milliseconds(0));
    EXPECT_TRUE(hasMetricLine(R"(oriolelever_platform_answer_age_seconds{call="watch config"} 40.)"));
}

TEST_F(ProcessMetricsTest, MemoryAndDelayAreShown)
{
    processMetrics.update(std::chrono::steady_clock::now(), milliseconds(250));
    EXPECT_TRUE(hasMetricLine("oriolelever_event_loop_delay_seconds 0.25"));
    EXPECT_GT(residentMemory(), 1U << 20);
    EXPECT_FALSE(hasMetricLine("oriolelever_resident_memory_bytes 0"));
}

} // namespace
} // namespace oriolelever
