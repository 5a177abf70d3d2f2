#include "oriolelever/mechanisms.h"

#include <gtest/gtest.h>

namespace oriolelever {
namespace {

// Returns the error of a list of names; empty if there is none.
std::string disable(std::string_view names, DecisionOptions &options)
{
    return handleError(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(disableMechanisms(names, options));
            return std::string();
        },
        [](const Error &error) { return error.text; });
}

TEST(MechanismsTest, EachNamedOneIsOffAndTheOthersStay)
{
    DecisionOptions options;
    EXPECT_EQ(disable("", options), "");
    EXPECT_TRUE(options.steering.usesRooms);
    EXPECT_EQ(disable("rooms,opening-queue", options), "");
    EXPECT_FALSE(options.steering.usesRooms);
    EXPECT_EQ(options.gate.schedule.maxOpenings, 0U);
    EXPECT_TRUE(options.gate.schedule.servesNewestFirst);
}

// Guards against an experiment that measures nothing as a name is misspelt.
TEST(MechanismsTest, AnUnknownNameIsAnErrorThatListsTheNames)
{
    DecisionOptions options;
    const auto error = disable("rooms,spillover", options);
    EXPECT_NE(error.find("\"spillover\""), std::string::npos);
    for (const auto &mechanism : mechanisms()) {
        EXPECT_NE(error.find(mechanism.name), std::string::npos) << mechanism.name;
    }
}

} // namespace
} // namespace oriolelever
