#include "documents.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "boot-settings.h"
#include "json-text.h"

namespace oriolelever::platform {
namespace {

using std::chrono::milliseconds;

// Follows the platform's published example.
const char *const configuration = R"({"Version":7,
 "Routes":[
  {"Name":"r-1","Host":"198.18.0.1","PathPrefix":"/8080/","Type":"non_idempotent","TimeoutMs":1200,"GoalMs":120,
   "Priority":1,"Service":"huvo11a","Attempts":2},
  {"Name":"r-2","Host":"198.18.0.1","PathPrefix":"/8443/","Type":"idempotent","TimeoutMs":1000,"GoalMs":100,
   "Priority":2,"Split":[{"Service":"huvo11a","Weight":90},{"Service":"wuno96b","Weight":10}],"Attempts":2},
  {"Name":"r-3","Host":"198.18.0.2","PathPrefix":"/8443/","Type":"download","TimeoutMs":5000,"Service":"wuno96b"}],
 "Services":[
  {"Name":"huvo11a","HealthPath":"/healthz","MaxConns":2000,"ColdS":2.0,"ColdPerS":0.0},
  {"Name":"wuno96b","HealthPath":"/healthz","MaxConns":2000,"ColdS":2.0,"ColdPerS":12.5}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

const char *const heartbeat = R"({"Service":"huvo11a","Addr":"10.128.0.9:8080","Zone":"ost-a","Version":"v1",
 "Slots":4,"State":"ready","ColdLeftMs":250,"Seq":4,"born":1787510680200})";

const char *const settings = R"({"Node":"side-milano-a-1","Ip":"10.1.0.11","Zone":"milano-a","BeatMs":1200,
 "Listen":{"DgramAddr":"10.1.0.11:8172","outbound":"10.1.0.11:8162","Ready":"10.1.0.11:8167",
  "Control":"10.1.0.11:8166"},
 "InternalPorts":[7720,7735],"Bounds":{"WarmupFactor":1.5,"ColdSlack":5},
 "app":"10.1.0.11:8165","Service":"huvo11a","platform":{"Addr":"10.200.1.7:8169"},"NewField":[1,2]})";

Endpoint endpoint(std::string_view text)
{
    Endpoint parsed;
    EXPECT_TRUE(parseEndpoint(text, parsed));
    return parsed;
}

// The text of the error, empty for success.
template<typename Decode>
std::string errorOf(Decode decode)
{
    return handleError(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(decode());
            return std::string();
        },
        [](const Error &error) { return error.text; });
}

std::string without(const char *document, const char *member)
{
    auto json = nlohmann::json::parse(document);
    json.erase(member);
    return json.dump();
}

TEST(DocumentsTest, ReadsTheConfiguration)
{
    std::string problems;
    const auto table = decodeConfiguration(configuration, {.era = 2, .revision = 31}, problems);
    ASSERT_TRUE(table);
    EXPECT_EQ(problems, "");
    EXPECT_EQ(table->version, 7U);
    EXPECT_EQ(table->position, (StorePosition{.era = 2, .revision = 31}));
    EXPECT_EQ(table->idleLimit, milliseconds(15'000));
    ASSERT_EQ(table->routes.size(), 3U);
    const auto &split = table->routes.at(endpoint("198.18.0.1:8443"));
    const std::vector<WeightedService> shares{{idOf<ServiceId>("huvo11a"), 90},
                                              {idOf<ServiceId>("wuno96b"), 10}};
    EXPECT_EQ(split.services, shares);
    EXPECT_FALSE(table->coldFlowsPerSecond.contains(idOf<ServiceId>("huvo11a")))
        << "0 means that no rate is stated";
    EXPECT_EQ(table->coldFlowsPerSecond.at(idOf<ServiceId>("wuno96b")), 12.5);
}

TEST(DocumentsTest, ReadsTheTermsOfRoutes)
{
    std::string problems;
    const auto table = decodeConfiguration(configuration, {.revision = 1}, problems);
    ASSERT_TRUE(table);
    const RouteTerms submission{
        .priority = 1, .timeLimit = milliseconds(1200), .latencyGoal = milliseconds(120)};
    EXPECT_EQ(table->routes.at(endpoint("198.18.0.1:8080")).terms, submission);
    const RouteTerms download{.isRepeatable = true, .timeLimit = milliseconds(5000)};
    EXPECT_EQ(table->routes.at(endpoint("198.18.0.2:8443")).terms, download) << "no goal, no priority";
}

// Guards against a request that must not be repeated being taken for one that may, or a route being lost.
TEST(DocumentsTest, TermsThatCannotBeReadAreLeftOut)
{
    auto json = nlohmann::json::parse(configuration);
    json["Routes"][1]["Type"] = "unheard-of";
    json["Routes"][1]["TimeoutMs"] = -1;
    json["Routes"][1]["GoalMs"] = "soon";
    json["Routes"][1]["Priority"] = 1000;
    std::string problems;
    const auto table = decodeConfiguration(json.dump(), {.revision = 1}, problems);
    ASSERT_TRUE(table);
    EXPECT_EQ(table->routes.at(endpoint("198.18.0.1:8443")).terms, RouteTerms{});
}

TEST(DocumentsTest, ARouteThatCannotBeReadLeavesTheOthers)
{
    auto json = nlohmann::json::parse(configuration);
    json["Routes"][0]["PathPrefix"] = "/not-a-port/";
    json["Routes"][1]["Split"] = 3;
    std::string problems;
    const auto table = decodeConfiguration(json.dump(), {.revision = 1}, problems);
    ASSERT_TRUE(table);
    EXPECT_EQ(table->routes.size(), 1U);
    EXPECT_NE(problems.find("r-1"), std::string::npos);
    EXPECT_NE(problems.find("r-2"), std::string::npos);
}

// Guards against a document that exhausts the stack, or names that no other process can write.
TEST(DocumentsTest, NestingAndEncodingAreLimited)
{
    std::string problems;
    const std::string nested = R"({"Version":1,"Routes":[],"Limits":)" + std::string(1'000'000, '[')
        + std::string(1'000'000, ']') + "}";
    const std::string noText = "{\"Version\":1,\"Routes\":[],\"Note\":\"\xff\"}";
    for (const auto &text : {nested, noText}) {
        EXPECT_NE(errorOf([&] { return decodeConfiguration(text, {}, problems); }), "");
    }
}

// Guards against a configuration of which only a part is applied, and against what JSON cannot represent.
TEST(DocumentsTest, WhatTheParserAcceptsBeyondTheGrammarIsNull)
{
    const auto isNull = [](const std::string &text) {
        return parseJson(text).IsNull();
    };
    EXPECT_FALSE(isNull("[1]"));
    EXPECT_TRUE(isNull(std::string("[1]\0", 4)));
    EXPECT_TRUE(isNull(std::string("[1]\0{", 5)));
    for (const auto *text : {"\xEF\xBB\xBF[1]", "\xEF[1]", "\xBF[1]", "1e309", "33333333333333333e303",
                             R"("\udc00")", R"({"\udc00":1})", R"("\ud83d")"}) {
        EXPECT_TRUE(isNull(text)) << text;
    }
    EXPECT_FALSE(isNull(R"("\ud83d\udc00 \ud7ff")"));
}

TEST(DocumentsTest, AConfigurationWithoutRoutesIsRefused)
{
    std::string problems;
    for (const char *text : {"null", "[]", R"({"Version":1})", R"({"Version":"1","Routes":[]})"}) {
        EXPECT_NE(errorOf([&] { return decodeConfiguration(text, {}, problems); }), "") << text;
    }
}

TEST(DocumentsTest, ReadsAHeartbeat)
{
    const auto decoded = decodeHeartbeat("i-7", heartbeat);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->id, "i-7");
    EXPECT_EQ(decoded->startTimeMs, 1'787'510'680'200U);
    EXPECT_EQ(decoded->sequence, 4U);
    EXPECT_EQ(decoded->service, "huvo11a");
    EXPECT_EQ(decoded->zone, "ost-a");
    EXPECT_EQ(decoded->slots, 4U);
    EXPECT_EQ(decoded->coldLeft, milliseconds(250));
    EXPECT_FALSE(decoded->draining);
}

TEST(DocumentsTest, AHeartbeatThatLacksAFieldNamesIt)
{
    for (const char *field : {"Service", "Zone", "State", "Seq", "born", "Slots", "ColdLeftMs"}) {
        const auto text = errorOf([&] { return decodeHeartbeat("i-7", without(heartbeat, field)); });
        EXPECT_NE(text.find(field), std::string::npos) << text;
        EXPECT_NE(text.find("i-7"), std::string::npos) << text;
    }
}

TEST(DocumentsTest, AHeartbeatOfAnotherWriterIsRefused)
{
    for (const char *text : {"", "\x80\x81", "[]", "12", R"({"Service":5})"}) {
        EXPECT_NE(errorOf([&] { return decodeHeartbeat("i-7", text); }), "") << text;
    }
    for (const char *wrong : {R"({"State":"sleeping"})", R"({"Seq":-1})", R"({"born":1.5})",
                              R"({"Slots":"4"})", R"({"ColdLeftMs":null})", R"({"Slots":70000})"}) {
        auto json = nlohmann::json::parse(heartbeat);
        json.update(nlohmann::json::parse(wrong));
        EXPECT_NE(errorOf([&] { return decodeHeartbeat("i-7", json.dump()); }), "") << wrong;
    }
}

// Guards against an agent that ends by itself, or follows its server no longer, after an odd heartbeat.
TEST(DocumentsTest, AHeartbeatIsRefusedOrReadWhateverItNestsAndCounts)
{
    const std::string start(heartbeat, std::string_view(heartbeat).size() - 1);
    const std::string nested = std::string(500'000, '[') + std::string(500'000, ']');
    for (const auto &member : {R"("Seq":1e30)", R"("Slots":1e400)", R"("born":18446744073709551616)",
                               R"("ColdLeftMs":4294967296)"}) {
        const std::string name = std::string(member).substr(0, std::string_view(member).find(':') + 1);
        auto text = start + "}";
        const auto position = text.find(name);
        ASSERT_NE(position, std::string::npos);
        text.replace(position, text.find_first_of(",}", position) - position, member);
        EXPECT_NE(errorOf([&] { return decodeHeartbeat("i-7", text); }), "") << member;
    }
    EXPECT_NE(errorOf([&] { return decodeHeartbeat("i-7", start + R"(,"Note":)" + nested + "}"); }), "");
    auto json = nlohmann::json::parse(heartbeat);
    json["Addr"] = "10.128.0.9:99999";
    EXPECT_EQ(errorOf([&] { return decodeHeartbeat("i-7", json.dump()); }), "")
        << "the agent reaches its server by its own settings";
}

TEST(DocumentsTest, ReadsTheSettingsOfAProcess)
{
    const auto decoded = parseBootSettings(settings);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->node, "side-milano-a-1");
    EXPECT_EQ(decoded->packets, endpoint("10.1.0.11:8172"));
    EXPECT_EQ(decoded->outbound, endpoint("10.1.0.11:8162"));
    EXPECT_EQ(decoded->server, endpoint("10.1.0.11:8165"));
    EXPECT_EQ(decoded->store, endpoint("10.200.1.7:8169"));
    EXPECT_EQ(decoded->firstInternalPort, 7720);
    EXPECT_EQ(decoded->heartbeatPeriod, milliseconds(1200));
    EXPECT_EQ(decoded->coldFactor, 1.5);
    EXPECT_EQ(decoded->coldSlack, 5);
}

TEST(DocumentsTest, EverySettingAtFaultIsNamed)
{
    auto json = nlohmann::json::parse(settings);
    json["Zone"] = 4;
    json["Ip"] = "here";
    json["platform"].erase("Addr");
    const auto text = errorOf([&] { return parseBootSettings(json.dump()); });
    for (const char *name : {"/Zone", "/Ip", "/platform/Addr"}) {
        EXPECT_NE(text.find(name), std::string::npos) << text;
    }
    EXPECT_NE(errorOf([] { return parseBootSettings("not JSON"); }), "");
}

TEST(DocumentsTest, ANumberOutOfRangeIsAFaultAndNotCutOff)
{
    for (const double port : {0.0, 65536.0, 73256.0, -1.0, 7720.5}) {
        auto json = nlohmann::json::parse(settings);
        json["InternalPorts"][0] = port;
        EXPECT_NE(errorOf([&] { return parseBootSettings(json.dump()); }), "") << port;
    }
    for (const double period : {0.0, -5.0, 1e12}) {
        auto json = nlohmann::json::parse(settings);
        json["BeatMs"] = period;
        EXPECT_NE(errorOf([&] { return parseBootSettings(json.dump()); }), "") << period;
    }
}

} // namespace
} // namespace oriolelever::platform
