#include "oriolelever/json-parts.h"

#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace oriolelever {
namespace {

TEST(JsonPartsTest, MembersAndElementsAreSplitByBracketsAndQuotesAlone)
{
    const std::string text = R"( {"a" : [1, {"b":"]}\""}, "\ud83d", 1e400] , "c":null,"a\"":{}} )";
    const auto members = splitObject(text);
    ASSERT_TRUE(members);
    ASSERT_EQ(members->size(), 3U);
    EXPECT_EQ(memberPart(*members, "c").text, "null");
    EXPECT_EQ((*members)[2].name, R"(a\")");
    EXPECT_EQ(memberPart(*members, "d").text, "");
    const auto elements = splitArray(memberPart(*members, "a").text);
    ASSERT_TRUE(elements);
    const std::vector<JsonPart> expected{{"1", 0}, {R"({"b":"]}\""})", 1}, {R"("\ud83d")", 0}, {"1e400", 0}};
    EXPECT_EQ(*elements, expected);
}

TEST(JsonPartsTest, TheDepthOfPartsIsThatOfTheirText)
{
    const std::string text = R"([1,"[[",[],{"a":[[]],"b":{}},[{}]])";
    EXPECT_EQ(nestingDepth(text), 4);
    std::vector<int> depths;
    const auto elements = splitArray(text);
    ASSERT_TRUE(elements);
    for (const auto &element : *elements) {
        EXPECT_EQ(element.depth, nestingDepth(element.text)) << element.text;
        depths.push_back(element.depth);
    }
    EXPECT_EQ(depths, (std::vector<int>{0, 0, 1, 3, 2}));
}

TEST(JsonPartsTest, ARevisionIsAnUnsignedInteger)
{
    const auto members = splitObject(R"({"a":7,"b":-7,"c":"7","d":7.0,"e":18446744073709551615})");
    ASSERT_TRUE(members);
    EXPECT_EQ(decodeRevision(*members, "a"), 7U);
    EXPECT_EQ(decodeRevision(*members, "e"), UINT64_MAX);
    for (const auto *name : {"b", "c", "d", "f"}) {
        EXPECT_FALSE(decodeRevision(*members, name)) << name;
    }
}

// Guards against an answer that broke off halfway being taken for a shorter one that is whole.
TEST(JsonPartsTest, ATextThatEndsEarlyIsNotSplit)
{
    const std::string object = R"({"a":[1,"x"],"b":{"c":2}})";
    const std::string array = R"([1,"x",{"c":[2]}])";
    ASSERT_TRUE(splitObject(object));
    ASSERT_TRUE(splitArray(array));
    for (std::size_t size = 0; size < object.size(); ++size) {
        EXPECT_FALSE(splitObject(object.substr(0, size))) << size;
    }
    for (std::size_t size = 0; size < array.size(); ++size) {
        EXPECT_FALSE(splitArray(array.substr(0, size))) << size;
    }
    for (const auto *text : {"{}x", "{,}", R"({"a"})", R"({"a":})", R"({a:1})", R"({"a":1,})", "[]"}) {
        EXPECT_FALSE(splitObject(text)) << text;
    }
    for (const auto *text : {"[]x", "[,]", "[1,]", "[1 2]", "{}"}) {
        EXPECT_FALSE(splitArray(text)) << text;
    }
}

// Guards against a value of another writer that ends the process, or takes other values with it.
TEST(JsonPartsTest, EachMemberIsDecodedByItself)
{
    constexpr std::size_t depth = 1'000'000;
    const std::string text = R"({"name":"a","text":"\ud83d","number":1e400,"byte":")"
                             "\xff"
                             R"(","nested":)"
        + std::string(depth, '[') + std::string(depth, ']') + R"(,"crossed":[}})";
    const auto json = decodeMembers(text);
    ASSERT_TRUE(json.is_object());
    EXPECT_EQ(json["name"], "a");
    for (const auto *name : {"text", "number", "byte", "nested", "crossed"}) {
        EXPECT_TRUE(json[name].is_null()) << name;
    }
    EXPECT_TRUE(decodeMembers("[1]").is_discarded());
    EXPECT_TRUE(decodeJson("").is_discarded());
    EXPECT_FALSE(decodeJson(std::string(maxJsonDepth, '[') + std::string(maxJsonDepth, ']')).is_discarded());
    EXPECT_TRUE(
        decodeJson(std::string(maxJsonDepth + 1, '[') + std::string(maxJsonDepth + 1, ']')).is_discarded());
}

// Guards against a text of which only the part before a zero byte is read.
TEST(JsonPartsTest, ZeroBytesAndByteOrderMarksAreRefused)
{
    const auto withZero = [](std::string_view before, std::string_view after) {
        return std::string(before) + '\0' + std::string(after);
    };
    for (const auto &text :
         {withZero("", "[]"), withZero("[]", ""), withZero("[]", "\0"), withZero("[]", "[\"'\x02"),
          withZero("[1", "]"), withZero("[1,", "2]"), withZero("{\"a", "\":1}"), withZero("{\"a\":", "1}"),
          withZero("1", ""), std::string("\xEF\xBB\xBF[]")}) {
        EXPECT_TRUE(decodeJson(text).is_discarded()) << testing::PrintToString(text);
    }
    for (const auto &text :
         {withZero("", "[]"), withZero("[]", ""), withZero("[]\n", ""), withZero("[1,2]", "[3]")}) {
        EXPECT_FALSE(splitArray(text)) << testing::PrintToString(text);
    }
    EXPECT_FALSE(splitObject(withZero("{}", "")));
    const auto json = decodeMembers(withZero("{\"a\":1", ",\"b\":2}"));
    EXPECT_TRUE(json["a"].is_null());
    EXPECT_EQ(json["b"], 2);
}

// Guards against names that end the process when the object is written, and against two spellings of one
// name.
TEST(JsonPartsTest, NamesAreDecodedToo)
{
    const auto json = decodeMembers(R"({"\u006eame":"a","\x":1,"tab	":2,"bytes)"
                                    "\xff"
                                    R"(":3,"\ud83d":4})");
    EXPECT_EQ(json.dump(), R"({"name":"a"})");
}

} // namespace
} // namespace oriolelever
