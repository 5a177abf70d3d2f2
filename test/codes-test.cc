#include "oriolelever/codes.h"

#include <fstream>
#include <regex>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace oriolelever;

TEST(CodesTest, DocumentHoldsTheSameTable)
{
    std::ifstream in(ORIOLELEVER_SOURCE_DIR "/docs/CODES.md");
    const std::regex rowPattern(R"(\| (\d+) \| ([a-z-]+) \| (.*) \|)");
    std::vector<std::string> documented;
    for (std::string line; std::getline(in, line);) {
        std::smatch match;
        if (std::regex_match(line, match, rowPattern)) {
            documented.push_back(fmt::format("{} {} {}", match[1].str(), match[2].str(), match[3].str()));
        }
    }
    std::vector<std::string> coded;
    for (const auto &row : codeTable()) {
        coded.push_back(fmt::format("{} {} {}", static_cast<int>(row.code), row.name, row.meaning));
    }
    EXPECT_EQ(documented, coded);
}

TEST(CodesTest, NumbersAscend)
{
    Code previous = Code::Ok;
    for (const auto &row : codeTable().subspan(1)) {
        EXPECT_LT(previous, row.code);
        previous = row.code;
    }
}
