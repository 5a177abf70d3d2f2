#include "oriolelever/settings.h"

#include <algorithm>
#include <cstdio>
#include <fstream>

#include <gtest/gtest.h>

using namespace oriolelever;

namespace {

class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text)
        : m_path(testing::TempDir() + testing::UnitTest::GetInstance()->current_test_info()->name() + ".ini")
    {
        std::ofstream(m_path) << text;
    }

    ~TemporaryFile()
    {
        std::remove(m_path.c_str());
    }

    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

} // namespace

TEST(SettingsTest, ReportsEveryProblemWithLineAndAllowedValues)
{
    const TemporaryFile file(
        "[process]\nrole = operator\nlog = loud\n[platform]\nurl = ftp://x\nspeed = 9\n");
    std::vector<Problem> problems;
    readSettings(file.path(), settingSpecs("operator"), problems);
    ASSERT_EQ(problems.size(), 3U);
    EXPECT_EQ(problems[0].line, 6);
    EXPECT_EQ(problems[0].key, "platform.speed");
    EXPECT_EQ(problems[1].line, 3);
    EXPECT_EQ(problems[1].allowed, "debug, info, warn or error");
    EXPECT_EQ(problems[2].value, "ftp://x");
}

TEST(SettingsTest, ReadsDefaultsAndTypedValues)
{
    const TemporaryFile file(
        "[process]\nrole = operator\n[platform]\nurl = http://127.0.0.1:80\ntimeout_ms = 250\n"
        "[operator]\nadmin = 127.0.0.1:1, [::1]:2\n");
    std::vector<Problem> problems;
    const auto settings = readSettings(file.path(), settingSpecs("operator"), problems);
    EXPECT_TRUE(problems.empty());
    EXPECT_EQ(settings.time("platform", "timeout_ms"), std::chrono::milliseconds(250));
    EXPECT_EQ(settings.text("process", "name"), "operator");
    EXPECT_EQ(settings.addresses("operator", "admin").size(), 2U);
}

TEST(SettingsTest, ListMayContinueOnIndentedLines)
{
    const TemporaryFile file("[process]\nrole = operator\n[platform]\nurl = http://127.0.0.1:80\n"
                             "[operator]\nadmin = 127.0.0.1:1,\n    127.0.0.1:2\n    127.0.0.1:3\n");
    std::vector<Problem> problems;
    const auto settings = readSettings(file.path(), settingSpecs("operator"), problems);
    EXPECT_TRUE(problems.empty());
    EXPECT_EQ(settings.addresses("operator", "admin").size(), 3U);
}

// INIReader truncates longer lines without an error.
TEST(SettingsTest, LineThatWouldBeTruncatedIsAProblem)
{
    const TemporaryFile file("[process]\nrole = operator\nname = " + std::string(250, 'a')
                             + "\n[platform]\nurl = http://127.0.0.1:80\n");
    std::vector<Problem> problems;
    readSettings(file.path(), settingSpecs("operator"), problems);
    ASSERT_FALSE(problems.empty());
    EXPECT_EQ(problems[0].value, "a line of 257 characters");
}

TEST(SettingsTest, UnreadableFileIsOneProblem)
{
    std::vector<Problem> problems;
    readSettings("absent.ini", settingSpecs("operator"), problems);
    EXPECT_EQ(problems.size(), 1U);
}

TEST(SettingsTest, DocumentHoldsEverySetting)
{
    std::ifstream in(ORIOLELEVER_SOURCE_DIR "/docs/SETTINGS.md");
    const std::string documented((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    EXPECT_EQ(documented, settingsDocument());
}
