#include "oriolelever/cli.h"

#include <array>

#include <absl/flags/flag.h>
#include <gtest/gtest.h>

ABSL_FLAG(int, cli_test_count, 3, "a count");
ABSL_FLAG(bool, cli_test_other, false, "a flag of another command");

using namespace oriolelever;

namespace {

// Returns ten times the number of arguments plus the value of the flag.
int runCount(Arguments arguments)
{
    return 10 * static_cast<int>(arguments.size()) + absl::GetFlag(FLAGS_cli_test_count);
}

int runLine(std::vector<std::string> words)
{
    const auto commands = std::to_array<Command>({
        {.name = "count", .usage = "", .summary = "", .flags = {"cli_test_count"}, .run = runCount},
    });
    words.insert(words.begin(), "program");
    std::vector<char *> argv;
    for (auto &word : words) {
        argv.push_back(word.data());
    }
    absl::SetFlag(&FLAGS_cli_test_count, 3);
    return runCommandLine("program", commands, static_cast<int>(argv.size()), argv.data());
}

std::string errorOf(const std::vector<std::string> &words)
{
    testing::internal::CaptureStderr();
    EXPECT_EQ(runLine(words), exitUsage);
    return testing::internal::GetCapturedStderr();
}

} // namespace

TEST(CliTest, TakesFlagsBeforeAndAfterArguments)
{
    EXPECT_EQ(runLine({"count", "a", "--cli-test-count=5"}), 15);
    EXPECT_EQ(runLine({"--cli-test-count", "6", "count"}), 6);
    EXPECT_EQ(runLine({"count", "--", "--cli-test-count=5"}), 13);
}

TEST(CliTest, WrongCallsNameTheArgumentAtFault)
{
    EXPECT_EQ(errorOf({"count", "--speed=1"}), "oriolelever: flag \"--speed\" does not exist\n");
    EXPECT_EQ(errorOf({"swim"}), "oriolelever: command \"swim\" does not exist\n");
    EXPECT_EQ(errorOf({"count", "--cli-test-count"}),
              "oriolelever: flag \"--cli-test-count\" needs a value\n");
    EXPECT_EQ(errorOf({"count", "--cli-test-other"}),
              "oriolelever: flag \"--cli-test-other\" does not belong to command \"count\"\n");
    EXPECT_NE(errorOf({"count", "--cli-test-count=x"}).find("does not allow \"x\""), std::string::npos);
    EXPECT_NE(errorOf({}).find("no command given"), std::string::npos);
}

TEST(CliTest, HelpAndVersionSucceed)
{
    EXPECT_EQ(runLine({"--help"}), exitOk);
    EXPECT_EQ(runLine({"count", "--help"}), exitOk);
    EXPECT_EQ(runLine({"--version"}), exitOk);
}
