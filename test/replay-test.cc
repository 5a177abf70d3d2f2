#include "replay.h"

#include <cstdio>
#include <fstream>

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace oriolelever;
using namespace oriolelever::lab;

namespace {

constexpr const char *head
    = "case rolling\ndeployment swn\nseed 1\nlength-ms 20000\ndelay-us 1000\njitter-us 300\n"
      "caller-delay-us 3000\nspread-ms 100\ndetection-ms 1000\nloss 0\ndoubled 0\n"
      "balancer balancer-0\nbalancer balancer-1\nzone ost-a\nzone ost-b\n"
      "server s0 ost-a wx-brief\nserver s1 ost-b wx-brief\nserver s2 ost-a wx-brief\n";
constexpr int flowCount = 60;

class ReplayTest : public testing::Test
{
protected:
    ~ReplayTest() override
    {
        std::remove(m_file.c_str());
    }

    ReplayFigures replay(const std::string &protocol, const std::string &events)
    {
        std::ofstream(m_file) << head << "service wx-brief " << protocol << " 1200 200 5000\n" << events;
        ReplayFigures figures;
        const bool read = handleError(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(trace, readTrace(m_file));
                figures = replayTrace(trace, Baseline::None);
                return true;
            },
            [](const Error &error) {
                ADD_FAILURE() << error.text;
                return false;
            });
        EXPECT_TRUE(read);
        return figures;
    }

    std::string m_file
        = testing::TempDir() + testing::UnitTest::GetInstance()->current_test_info()->name() + ".trace";
};

Trace makeCase(const TraceOptions &options)
{
    return handleError([&] { return makeTrace(options); },
                       [](const Error &error) {
                           ADD_FAILURE() << error.text;
                           return Trace{};
                       });
}

// Flows that open, stay silent for 5 s while every agent restarts, and go on.
std::string quietFlows()
{
    std::string events;
    const auto each = [&](int atMillis, const std::string &kind, const std::string &service) {
        for (int flow = 0; flow < flowCount; ++flow) {
            events += fmt::format("at {} {} {}{} balancer-{}\n", atMillis * 1000 + flow * 20'000, kind, flow,
                                  service, flow % 2);
        }
    };
    each(6000, "open", " wx-brief");
    each(7500, "packet", "");
    events += "at 12500000 restart-agent s0\nat 13000000 restart-agent s1\nat 13500000 restart-agent s2\n";
    each(14000, "packet", "");
    return events;
}

} // namespace

// The copies of a UDP flow were dropped once it had been silent for 3 s.
TEST_F(ReplayTest, QuietUdpFlowsSurviveARestartOfTheirAgents)
{
    const auto figures = replay("udp", quietFlows());
    EXPECT_EQ(figures.flowsOpened, static_cast<std::uint64_t>(flowCount));
    EXPECT_EQ(figures.brokenByChange, 0U);
}

TEST_F(ReplayTest, QuietTcpFlowsSurviveARestartOfTheirAgents)
{
    const auto figures = replay("tcp", quietFlows());
    EXPECT_EQ(figures.flowsOpened, static_cast<std::uint64_t>(flowCount));
    EXPECT_EQ(figures.brokenByChange, 0U);
}

// A restarted agent whose zone was out without its knowledge took packets of unknown flows to its server for
// ever.
TEST_F(ReplayTest, RestartedAgentAsksItsPeersBeforeItsServer)
{
    for (const std::uint64_t seed : {42, 43, 59}) {
        const auto figures = replayTrace(
            makeCase({.caseName = "uneven", .deployment = "bellandi", .seed = seed}), Baseline::None);
        EXPECT_EQ(figures.brokenByChange, 0U) << "seed " << seed;
    }
}

// Hash tables with a salt of the process gave another order of messages in each run.
TEST_F(ReplayTest, SameTraceGivesTheSameFigures)
{
    const auto trace = makeCase({.caseName = "rolling", .deployment = "bellandi"});
    const auto first = namedFigures(replayTrace(trace, Baseline::None));
    const auto second = namedFigures(replayTrace(trace, Baseline::None));
    EXPECT_EQ(first, second);
}

// Sweeps replay a trace from memory, which kept times that the file rounds.
TEST_F(ReplayTest, WrittenTraceGivesTheSameFigures)
{
    const auto trace = makeCase({.caseName = "uneven", .deployment = "bellandi", .seed = 15});
    std::ofstream(m_file) << writeTrace(trace);
    const auto read = handleError([&] { return readTrace(m_file); },
                                  [](const Error &error) {
                                      ADD_FAILURE() << error.text;
                                      return Trace{};
                                  });
    EXPECT_EQ(namedFigures(replayTrace(read, Baseline::None)),
              namedFigures(replayTrace(trace, Baseline::None)));
}
