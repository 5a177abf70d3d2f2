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
        , own(context, metrics, log)
    {
    }

    bool shows(const std::string &line) const
    {
        return metrics.text().find(line) != std::string::npos;
    }

    asio::io_context context;
    Metrics metrics;
    EventLog log;
    ProcessMetrics own;
};

TEST_F(ProcessMetricsTest, CallsAreCountedByKindAndOutcome)
{
    own.noteCall("list agents", "answered", milliseconds(4));
    own.noteCall("list agents", "lost", milliseconds(600));
    own.noteCall("list agents", "lost", milliseconds(1200));
    EXPECT_TRUE(shows(R"(oriolelever_platform_calls_total{call="list agents",outcome="answered"} 1)"));
    EXPECT_TRUE(shows(R"(oriolelever_platform_calls_total{call="list agents",outcome="lost"} 2)"));
    EXPECT_TRUE(shows("oriolelever_platform_call_seconds_count 3"));
}

TEST_F(ProcessMetricsTest, AWatchThatWaitsIsNoSlowCall)
{
    own.noteCall("watch config", "answered", milliseconds(4000));
    EXPECT_TRUE(shows("oriolelever_platform_call_seconds_count 0"));
}

TEST_F(ProcessMetricsTest, AgesGrowFromTheLastAnswer)
{
    own.noteCall("watch config", "answered", milliseconds(4000));
    own.noteCall("watch config", "lost", milliseconds(5500));
    own.update(std::chrono::steady_clock::now() + std::chrono::seconds(40), milliseconds(0));
    EXPECT_TRUE(shows(R"(oriolelever_platform_answer_age_seconds{call="watch config"} 40.)"));
}

TEST_F(ProcessMetricsTest, MemoryAndDelayAreShown)
{
    own.update(std::chrono::steady_clock::now(), milliseconds(250));
    EXPECT_TRUE(shows("oriolelever_event_loop_delay_seconds 0.25"));
    EXPECT_GT(residentMemory(), 1U << 20);
    EXPECT_FALSE(shows("oriolelever_resident_memory_bytes 0"));
}

} // namespace
} // namespace oriolelever
