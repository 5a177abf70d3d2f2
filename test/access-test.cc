#include "oriolelever/access.h"

#include <gtest/gtest.h>

using namespace oriolelever;

namespace {

std::vector<OperatorToken> tokensOf(const std::string &text, std::string &error)
{
    return handleError([&] { return parseOperatorTokens(text); },
                       [&](const Error &found) {
                           error = found.text;
                           return std::vector<OperatorToken>();
                       });
}

} // namespace

TEST(AccessTest, RoleDecides)
{
    const OperatorToken viewer{"luca", OperatorRole::Viewer, hashToken("a")};
    const OperatorToken chief{"marta", OperatorRole::Admin, hashToken("b")};
    std::string error;
    const auto tokens = tokensOf(toString(viewer) + ", " + toString(chief), error);
    ASSERT_EQ(tokens.size(), 2U);
    EXPECT_TRUE(isAllowed(tokens, "a", OperatorRole::Viewer));
    EXPECT_FALSE(isAllowed(tokens, "a", OperatorRole::Operator));
    EXPECT_TRUE(isAllowed(tokens, "b", OperatorRole::Operator));
    EXPECT_FALSE(isAllowed(tokens, "c", OperatorRole::Viewer));
    EXPECT_FALSE(isAllowed(tokens, "", OperatorRole::Viewer));
    EXPECT_TRUE(isAllowed({}, "", OperatorRole::Admin));
}

TEST(AccessTest, WrongEntryIsNamed)
{
    std::string error;
    EXPECT_TRUE(tokensOf("luca:chief:00", error).empty());
    EXPECT_EQ(error,
              "setting \"process.admin_tokens\" does not allow \"luca:chief:00\"; allowed: "
              "NAME:viewer|operator|admin:HASH");
    error.clear();
    EXPECT_TRUE(tokensOf("luca:viewer:00ff", error).empty());
    EXPECT_FALSE(error.empty());
}

TEST(AccessTest, TokensDiffer)
{
    EXPECT_EQ(newToken().size(), 64U);
    EXPECT_NE(newToken(), newToken());
}
