#include "oriolelever/event-log.h"

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace oriolelever {
namespace {

using std::chrono::milliseconds;

class EventLogTest : public testing::Test
{
public:
    std::vector<nlohmann::json> lines()
    {
        std::vector<nlohmann::json> parsed;
        std::istringstream stream(written);
        for (std::string line; std::getline(stream, line);) {
            parsed.push_back(nlohmann::json::parse(line));
        }
        return parsed;
    }

    std::string written;
    std::size_t writableBytes = SIZE_MAX; ///< Bytes that the sink still accepts.
    TimePoint now{std::chrono::hours(1)};
    EventLog log{{.node = "front-1", .lifetime = 7, .linesPerSecond = 3, .bufferBytes = 2000},
                 [this](const char *bytes, std::size_t size) {
                     const auto accepted = std::min(size, writableBytes);
                     writableBytes -= accepted;
                     written.append(bytes, accepted);
                     return accepted;
                 },
                 [] {
                     return std::int64_t{1'700'000'000'000};
                 }};
};

TEST_F(EventLogTest, ALineIsOneJsonObject)
{
    log.write(now, "flow_placed", "flow", std::string("a>b"), "load", 2.5, "opening", true, "age_ms",
              milliseconds(40), "text", "quote \" backslash \\ newline \n byte \xff");
    log.flush(now);
    ASSERT_EQ(lines().size(), 1U);
    const auto line = lines()[0];
    EXPECT_EQ(line["event"], "flow_placed");
    EXPECT_EQ(line["node"], "front-1");
    EXPECT_EQ(line["lifetime"], 7);
    EXPECT_EQ(line["at"], 1'700'000'000'000);
    EXPECT_EQ(line["steady_us"], 3'600'000'000);
    EXPECT_EQ(line["load"], 2.5);
    EXPECT_EQ(line["opening"], true);
    EXPECT_EQ(line["age_ms"], 40.0);
    EXPECT_EQ(line["text"], "quote \" backslash \\ newline \n byte \u00ff");
}

TEST_F(EventLogTest, LinesOfAnEventAreBoundedAndTheRestIsCounted)
{
    for (int i = 0; i < 10; ++i) {
        log.write(now, "flow_reset");
    }
    log.write(now, "started");
    log.flush(now);
    EXPECT_EQ(lines().size(), 4U);
    EXPECT_EQ(log.suppressed(), 7U);
    now += milliseconds(1000);
    log.flush(now);
    const auto summary = lines().back();
    EXPECT_EQ(summary["event"], "suppressed");
    EXPECT_EQ(summary["of"], "flow_reset");
    EXPECT_EQ(summary["lines"], 7);
}

TEST_F(EventLogTest, AReaderThatStopsLosesLinesAndNothingElse)
{
    writableBytes = 0;
    for (int i = 0; i < 1000; ++i) {
        log.write(now, "flow_reset", "text", "some text that fills the buffer");
        log.flush(now);
        now += milliseconds(1000);
    }
    EXPECT_GT(log.suppressed(), 900U);
    writableBytes = SIZE_MAX;
    log.flush(now);
    EXPECT_LT(written.size(), 4000U);
    EXPECT_FALSE(lines().empty());
}

std::string readFile(const std::string &file)
{
    std::ifstream in(ORIOLELEVER_SOURCE_DIR "/" + file);
    EXPECT_TRUE(in) << file;
    return {std::istreambuf_iterator<char>(in), {}};
}

// All texts that the first group of `pattern` matches in `text`.
std::set<std::string> allMatches(const std::string &text, const std::regex &pattern)
{
    std::set<std::string> found;
    for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match) {
        found.insert((*match)[1]);
    }
    return found;
}

const std::vector<std::string> writers{"src/steering-node.cc", "src/gate-node.cc",
                                       "platform/agent.cc",    "platform/balancer.cc",
                                       "platform/process.cc",  "src/process-metrics.cc"};

TEST(OperationsPageTest, ListsEveryEventOfTheLog)
{
    const auto page = readFile("docs/OPERATIONS.md");
    const std::regex call(R"(log\.write\([^,]*,([^,;]*"[a-z_]+"[^,;]*)[,;])");
    const std::regex name(R"re("([a-z_]+)")re");
    std::set<std::string> events;
    for (const auto &file : writers) {
        for (const auto &arguments : allMatches(readFile(file), call)) {
            events.merge(allMatches(arguments, name));
        }
    }
    EXPECT_GT(events.size(), 20U);
    for (const auto &event : events) {
        EXPECT_NE(page.find(event), std::string::npos) << event;
    }
}

TEST(OperationsPageTest, ListsEveryMetricOfThePlatformsProcesses)
{
    const auto page = readFile("docs/OPERATIONS.md");
    const std::regex metric(R"re("(oriolelever_[a-z_]+)")re");
    std::set<std::string> metrics;
    for (const auto &file : writers) {
        metrics.merge(allMatches(readFile(file), metric));
    }
    EXPECT_GT(metrics.size(), 6U);
    for (const auto &name : metrics) {
        EXPECT_NE(page.find(name), std::string::npos) << name;
    }
}

} // namespace
} // namespace oriolelever
