#include "oriolelever/burn.h"

#include <cstdlib>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "oriolelever/levels.h"

using namespace oriolelever;
using namespace std::chrono_literals;

namespace {

// Makes the property tests repeatable; runs before RapidCheck reads its parameters.
const int fixedSeed = setenv("RC_PARAMS", "seed=7", 0);

const WallTime now{std::chrono::hours(24 * 365)};

// Sample of one minute that ended `age` before `now`.
RequestSample sampleAt(std::chrono::minutes age, std::uint64_t requests, std::uint64_t unanswered)
{
    RequestSample sample{.begin = now - age - 1min, .end = now - age};
    sample.requests = requests;
    sample.unanswered = unanswered;
    return sample;
}

const ServiceRow sportello{.name = "sportello", .availabilityTarget = 0.99, .latencyTarget = 100ms};

} // namespace

RC_GTEST_PROP(HistogramTest, BucketsAreNarrowAndOrdered, (std::uint32_t value))
{
    const std::chrono::microseconds latency(value);
    const auto bucket = histogramBucketOf(latency);
    RC_ASSERT(histogramBucketBegin(bucket) <= latency);
    RC_ASSERT(latency < histogramBucketBegin(bucket + 1));
    RC_ASSERT((histogramBucketBegin(bucket + 1) - histogramBucketBegin(bucket)) * 16
              <= std::max(latency, 16us));
}

RC_GTEST_PROP(HistogramTest, MergedEqualsTogether,
              (std::vector<std::uint32_t> a, std::vector<std::uint32_t> b))
{
    LatencyHistogram first;
    LatencyHistogram second;
    LatencyHistogram together;
    for (const auto value : a) {
        record(first, std::chrono::microseconds(value));
        record(together, std::chrono::microseconds(value));
    }
    for (const auto value : b) {
        record(second, std::chrono::microseconds(value));
        record(together, std::chrono::microseconds(value));
    }
    merge(first, second);
    RC_ASSERT(first == together);
    RC_ASSERT(decodeHistogram(encodeHistogram(together)) == together);
}

TEST(HistogramTest, TheLastBucketOfAForeignDocumentDoesNotOverflow)
{
    const auto histogram
        = decodeHistogram(nlohmann::json::parse(R"({"counts":[[959,1]],"largest_us":9223372036854775807})"));
    EXPECT_GT(quantileOf(histogram, 0.5), 1h);
    EXPECT_EQ(countAbove(histogram, 1h), 1U);
}

TEST(HistogramTest, MergingKeepsTheTail)
{
    LatencyHistogram merged;
    for (int agent = 0; agent < 100; ++agent) {
        LatencyHistogram one;
        for (int i = 0; i < 1000; ++i) {
            record(one, 2ms);
        }
        if (agent == 42) {
            record(one, 1h);
        }
        merge(merged, one);
    }
    EXPECT_EQ(quantileOf(merged, 1), 1h);
    EXPECT_LE(quantileOf(merged, 0.99), 2150us);
    EXPECT_EQ(countAbove(merged, 5min), 1U);
    EXPECT_EQ(countAbove(merged, 2ms), 100'001U);
    EXPECT_EQ(countAbove(merged, 2200us), 1U);
}

TEST(BurnTest, BudgetUsedUpExactlyBurnsOne)
{
    const std::vector samples{sampleAt(10min, 900, 10), sampleAt(5min, 100, 0)};
    const std::vector<std::chrono::minutes> windows{1h};
    const auto rows = burnRows(sportello, samples, windows, now);
    EXPECT_EQ(rows[0].requests, 1000U);
    EXPECT_NEAR(rows[0].burnRate, 1, 1e-9);
    EXPECT_FALSE(rows[0].isAlerting);
}

TEST(BurnTest, AlertNeedsBothWindows)
{
    const std::vector<std::chrono::minutes> windows{1h};
    const std::vector past{sampleAt(30min, 100, 50), sampleAt(1min, 100, 0)};
    EXPECT_FALSE(burnRows(sportello, past, windows, now)[0].isAlerting);
    const std::vector present{sampleAt(30min, 100, 50), sampleAt(1min, 100, 50)};
    EXPECT_TRUE(burnRows(sportello, present, windows, now)[0].isAlerting);
}

TEST(BurnTest, SlowAnswersBurnTheLatencyTarget)
{
    auto sample = sampleAt(1min, 100, 0);
    for (int i = 0; i < 100; ++i) {
        record(sample.latency, i < 5 ? 200ms : 20ms);
    }
    const std::vector<std::chrono::minutes> windows{1h};
    const auto rows = burnRows(sportello, std::vector{sample}, windows, now);
    EXPECT_EQ(rows[1].target, ServiceLevelTarget::Latency);
    EXPECT_EQ(rows[1].badCount, 5U);
    EXPECT_NEAR(rows[1].burnRate, 5, 1e-9);
}

TEST(BurnTest, WindowWithoutRequestsBurnsNothing)
{
    const std::vector<std::chrono::minutes> windows{1h, 6h};
    for (const auto &row : burnRows(sportello, {}, windows, now)) {
        EXPECT_EQ(row.burnRate, 0);
        EXPECT_EQ(row.covered, 0min);
    }
}

// Compacting three days of one-minute samples keeps their sums and bounds the number of samples.
TEST(BurnTest, CompactionLosesNoRequest)
{
    std::vector<RequestSample> samples;
    const int minutes = 72 * 60 - 1;
    for (int minute = 0; minute < minutes; ++minute) {
        const auto age = std::chrono::minutes(minutes - minute);
        auto sample = sampleAt(age, 10, minute % 7 == 0 ? 1 : 0);
        record(sample.latency, std::chrono::milliseconds(minute % 50));
        samples.push_back(sample);
        compactSamples(samples, now - age);
    }
    compactSamples(samples, now);
    EXPECT_LE(samples.size(), 260U);
    const auto sum = sumWindow(samples, now, sampleRetention);
    EXPECT_EQ(sum.requests, 10U * minutes);
    EXPECT_EQ(sum.unanswered, (static_cast<std::uint64_t>(minutes) + 6) / 7);
    EXPECT_EQ(sum.latency.total, static_cast<std::uint64_t>(minutes));
    EXPECT_EQ(decodeSamples(encodeSamples(samples)).size(), samples.size());
}

TEST(BurnTest, WindowsAreParsed)
{
    EXPECT_EQ(parseWindows("30m,1h,3d"), (std::vector<std::chrono::minutes>{30min, 1h, 72h}));
    EXPECT_TRUE(parseWindows("1h,").empty());
    EXPECT_TRUE(parseWindows("4d").empty());
    EXPECT_TRUE(parseWindows("1w").empty());
    EXPECT_EQ(formatWindow(72h), "3d");
    EXPECT_EQ(formatWindow(90min), "90m");
}

TEST(BurnTest, PageNeedsNoNetwork)
{
    const std::vector<std::chrono::minutes> windows{1h};
    const std::vector samples{sampleAt(10min, 900, 10), sampleAt(5min, 100, 0)};
    const auto rows = burnRows(sportello, samples, windows, now);
    const auto html = formatBurnHtml(rows, std::vector{sportello}, {{"sportello", samples}});
    EXPECT_NE(html.find("<svg"), std::string::npos);
    EXPECT_EQ(html.find("http"), std::string::npos);
    EXPECT_EQ(html.find("<script"), std::string::npos);
}

TEST(BurnTest, AgentsOfAServiceAreMerged)
{
    ServiceLevels first("sportello");
    ServiceLevels second("sportello");
    first.record(Code::Answered, 5ms);
    first.record(Code::RefusedNotRun, 1ms);
    first.record(Code::Cancelled, 1ms);
    second.record(Code::Answered, 7ms);
    const auto later
        = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now()) + 2min;
    second.closeSampleIfDue(later);
    const std::vector<nlohmann::json> statuses{
        {{"levels", first.status(later)}}, {{"levels", second.status(later)}}, nlohmann::json::object()};
    const auto samples = collectSamples(statuses);
    const auto sum = sumWindow(samples.at("sportello"), later, 1h);
    EXPECT_EQ(sum.requests, 3U);
    EXPECT_EQ(sum.unanswered, 1U);
    EXPECT_EQ(sum.latency.largest, 7ms);
}

TEST(MeasuredTest, RowsShowLoadAndLevels)
{
    ServiceLevels levels("sportello");
    levels.record(Code::Answered, 5ms);
    const auto agent = [&](const char *name, unsigned flows) {
        return nlohmann::json{
            {"process", {{"name", name}, {"role", "agent"}, {"zone", "bergamo"}, {"service", "sportello"}}},
            {"traffic", {{"local_flows", flows}, {"flow_limit", 2000U}}}};
    };
    std::vector statuses{agent("s1", 30), agent("s2", 10), nlohmann::json()};
    const auto time
        = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    statuses[0]["levels"] = levels.status(time);
    const auto measured = measureRows(statuses, time);
    const auto cell = [&](const RowKey &key, const std::string &name) {
        for (const auto &found : measured.at(key)) {
            if (found.name == name) {
                return found.value;
            }
        }
        return std::string();
    };
    const RowKey service{RowKind::Service, "sportello"};
    EXPECT_EQ(cell(service, "flows"), "40");
    EXPECT_EQ(cell(service, "imbalance"), "1.50");
    EXPECT_EQ(cell(service, "availability 1h"), "1.000000");
    EXPECT_EQ(cell({RowKind::Server, "s2"}, "flows"), "10");
    EXPECT_EQ(cell({RowKind::Zone, "bergamo"}, "servers"), "2");
}
