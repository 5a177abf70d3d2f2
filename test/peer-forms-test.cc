// Messages and documents in the forms of earlier builds, which run beside this one while hosts are replaced.
#include <gtest/gtest.h>

#include "oriolelever/flow-registry.h"
#include "oriolelever/peer-message.h"

namespace oriolelever {
namespace {

using std::chrono::milliseconds;

std::vector<std::uint8_t> bytesOf(std::string_view hex)
{
    std::vector<std::uint8_t> bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
        bytes.push_back(static_cast<std::uint8_t>(std::stoul(std::string(hex.substr(i, 2)), nullptr, 16)));
    }
    return bytes;
}

const ServerCapacity learned{
    .answersPerSecond = 88.25, .concurrency = 2.5, .evidence = 17, .usualAnswer = milliseconds(23)};
constexpr std::uint64_t bornAt = 1'700'000'000'123;
const FlowKey flow{.caller = {ipv4Address(0x64400007), 40'001}, .service = {ipv4Address(0xc6120001), 443}};

const Hello hello{.lifetime = 0x1122334455667788,
                  .coldFlowsPerSecond = 50,
                  .idleLimit = milliseconds(12'000),
                  .unlisted = true,
                  .wantsFlows = true,
                  .zone = ZoneId{0xa1a2a3a4a5a6a7a8},
                  .documents = {.era = 3, .configuration = 41, .evacuations = 42},
                  .reportPeriod = milliseconds(200),
                  .acceptsCapacity = true};

const Report report{.lifetime = 0x0102030405060708,
                    .service = ServiceId{0xb1b2b3b4b5b6b7b8},
                    .zone = ZoneId{0xc1c2c3c4c5c6c7c8},
                    .state = BackendState::Ready,
                    .slots = 2,
                    .flows = 31,
                    .waiting = 3,
                    .coldLeft = milliseconds(1500),
                    .bornAt = bornAt,
                    .isFailing = true,
                    .isUnreliable = true,
                    .balancers = 24,
                    .documents = {.era = 3, .configuration = 41, .evacuations = 42}};

Report withParts(bool capacity, bool filter)
{
    auto whole = report;
    if (capacity) {
        whole.capacity = learned;
        whole.capacity->queuedOpenings = 4;
        whole.capacity->queuedRequests = 5;
        whole.capacity->longestWait = milliseconds(60);
        whole.capacity->openings = 99;
    }
    if (filter) {
        whole.heldFlowFilter.emplace().add(0x123456789abcdef);
    }
    return whole;
}

Hello withRemembered()
{
    auto whole = hello;
    whole.remembered = RememberedCapacity{.bornAt = bornAt, .capacity = learned};
    return whole;
}

// A message as a build has sent it: `earlier` from a7af001 to 732f248, `current` with the flags that state
// its parts.
struct Form
{
    std::string earlier;
    std::string current;
};

const std::string helloStart = "02030003112233445566778807";
const std::string currentHelloStart = "0203000311223344556677880f";
const std::string helloRest = "0000003200002ee000c8a1a2a3a4a5a6a7a80000000000000029000000000000002a";
const std::string rememberedPart = "0000018bcfe5687b00002279002800110017";
const std::string reportStart = "020400030102030405060708b1b2b3b4b5b6b7b8c1c2c3c4c5c6c7c801"
                                "00020000001f00000003000005dc0000018bcfe5687b";
const std::string reportRest = "00180000000000000029000000000000002a";
const std::string capacityPart = "0000227900280011001700040005003c00000063";
const std::string filterPart = "0000000000000000000004000000000000000000000000000000000000000000"
                               "0000000000000000000000000000000000000000000000000000804000000000";

TEST(PeerFormsTest, HellosOfEachBuildAreReadAndWrittenUnchanged)
{
    const std::vector<std::pair<Form, Hello>> forms{
        {{helloStart + helloRest, currentHelloStart + helloRest}, hello},
        {{helloStart + helloRest + rememberedPart, "0203000311223344556677881f" + helloRest + rememberedPart},
         withRemembered()}};
    for (const auto &[form, expected] : forms) {
        for (const auto &text : {form.earlier, form.current, form.current + "ffff"}) {
            Hello decoded;
            ASSERT_TRUE(decodeHello(bytesOf(text), decoded)) << text;
            EXPECT_EQ(decoded, expected) << text;
        }
        std::array<std::uint8_t, maxPeerMessageSize> encoded{};
        const auto size = encodeHello(encoded, expected);
        EXPECT_EQ(std::vector(encoded.begin(), encoded.begin() + static_cast<std::ptrdiff_t>(size)),
                  bytesOf(form.current))
            << "a changed form needs a flag that earlier builds ignore";
    }
    auto withoutLimits = hello;
    withoutLimits.hasLimits = false;
    Hello decoded;
    ASSERT_TRUE(decodeHello(bytesOf("0203000311223344556677882f" + helloRest), decoded));
    EXPECT_EQ(decoded, withoutLimits);
    std::array<std::uint8_t, maxPeerMessageSize> encoded{};
    const auto size = encodeHello(encoded, withoutLimits);
    EXPECT_EQ(std::vector(encoded.begin(), encoded.begin() + static_cast<std::ptrdiff_t>(size)),
              bytesOf("0203000311223344556677882f" + helloRest))
        << "a flag that earlier builds ignore, with the size that they expect";
    EXPECT_FALSE(decodeHello(bytesOf(helloStart + helloRest + "ff"), decoded)) << "no form of any build";
    EXPECT_FALSE(decodeHello(bytesOf("0203000311223344556677881f" + helloRest), decoded))
        << "a part that is stated and not there";
}

TEST(PeerFormsTest, ReportsOfEachBuildAreReadAndWrittenUnchanged)
{
    const auto formWith = [](const std::string &flags, const std::string &parts) {
        return Form{reportStart + "03" + reportRest + parts, reportStart + flags + reportRest + parts};
    };
    const std::vector<std::pair<Form, Report>> forms{
        {formWith("0b", ""), report},
        {formWith("1b", capacityPart), withParts(true, false)},
        {formWith("2b", filterPart), withParts(false, true)},
        {formWith("3b", capacityPart + filterPart), withParts(true, true)}};
    for (const auto &[form, expected] : forms) {
        for (const auto &text : {form.earlier, form.current, form.current + "ffff"}) {
            Report decoded;
            ASSERT_TRUE(decodeReport(bytesOf(text), decoded)) << text;
            EXPECT_EQ(decoded, expected) << text;
        }
        std::array<std::uint8_t, maxPeerMessageSize> encoded{};
        const auto size = encodeReport(encoded, expected);
        EXPECT_EQ(std::vector(encoded.begin(), encoded.begin() + static_cast<std::ptrdiff_t>(size)),
                  bytesOf(form.current));
    }
    Report decoded;
    EXPECT_FALSE(decodeReport(bytesOf(reportStart + "03" + reportRest + "ff"), decoded));
    EXPECT_FALSE(decodeReport(bytesOf(reportStart + "3b" + reportRest + capacityPart), decoded));
}

TEST(PeerFormsTest, OtherMessagesKeepTheirForm)
{
    std::vector<std::uint8_t> header(peerHeaderSize);
    encodePeerHeader(header,
                     {.type = PeerMessageType::Relay,
                      .mayReturnBusy = true,
                      .terms = RouteTerms{.isRepeatable = true,
                                          .priority = 2,
                                          .timeLimit = milliseconds(1131),
                                          .latencyGoal = milliseconds(200)},
                      .number = 77});
    EXPECT_EQ(header, bytesOf("0201a517000000000000004d"));
    encodePeerHeader(header, {.type = PeerMessageType::Return, .reason = ReturnReason::Busy, .number = 6});
    EXPECT_EQ(header, bytesOf("020209000000000000000006"));
    std::vector<std::uint8_t> note(noteSize);
    encodeNote(note, flow, ipv4Address(0x0a010008));
    EXPECT_EQ(note, bytesOf("02060100000000000a010008644000079c41c612000101bb"));
    const ServerFlows flows{.bornAt = bornAt, .flows = {{.flow = flow, .sequence = 0x11223344}}};
    std::vector<std::uint8_t> list(maxFlowListSize);
    list.resize(encodeFlowList(list, flows, 0));
    EXPECT_EQ(list, bytesOf("020701000000018bcfe5687b00644000079c41c612000101bb11223344"));
}

TEST(PeerFormsTest, ASnapshotKeepsItsForm)
{
    const std::string stored = "AQcOg7BoKCd0AAABi8/la+gKAQAIAAABi8/laHsAAWRAAAecQcYSAAEBuxEiM0Q=";
    constexpr milliseconds writtenAt(1'700'000'001'000);
    FlowRegistry registry;
    ASSERT_EQ(decodeSnapshot(stored, writtenAt, registry), SnapshotOutcome::Restored);
    EXPECT_EQ(registry.at(ipv4Address(0x0a010008)).flows.front().flow, flow);
    EXPECT_EQ(encodeSnapshot(registry, writtenAt), stored);
}

// Guards against silence between processes of builds that cannot read each other.
TEST(PeerFormsTest, AnUnreadableVersionIsTold)
{
    auto bytes = bytesOf(helloStart + helloRest);
    EXPECT_FALSE(unreadableVersion(bytes));
    bytes[0] = 3;
    PeerHeader header;
    EXPECT_FALSE(decodePeerHeader(bytes, header));
    EXPECT_EQ(unreadableVersion(bytes), 3);
    EXPECT_FALSE(unreadableVersion({bytes.data(), 3})) << "no message";
}

} // namespace
} // namespace oriolelever
