#include "oriolelever/peer-message.h"

#include <array>
#include <cmath>

#include <gtest/gtest.h>

namespace oriolelever {
namespace {

IpAddress address(std::string_view text)
{
    IpAddress parsed;
    EXPECT_TRUE(parseIpAddress(text, parsed));
    return parsed;
}

std::array<std::uint8_t, maxPeerMessageSize> buffer{};

TEST(PeerMessageTest, AHelloRoundTrips)
{
    const Hello hello{.lifetime = 0x0102030405060708,
                      .coldFlowsPerSecond = 42,
                      .idleLimit = std::chrono::milliseconds(15'000),
                      .unlisted = true,
                      .wantsFlows = true,
                      .zone = idOf<ZoneId>("bergamo"),
                      .documents = {.era = 65'535, .configuration = 70'000'000'000, .evacuations = 12},
                      .reportPeriod = std::chrono::milliseconds(1000)};
    const auto size = encodeHello(buffer, hello);
    Hello decoded;
    ASSERT_TRUE(decodeHello({buffer.data(), size}, decoded));
    EXPECT_EQ(decoded, hello);
    EXPECT_FALSE(decodeHello({buffer.data(), size - 1}, decoded)) << "truncated";
}

TEST(PeerMessageTest, AReportRoundTrips)
{
    const Report report{.lifetime = 9,
                        .service = idOf<ServiceId>("sportello"),
                        .zone = idOf<ZoneId>("bergamo"),
                        .state = BackendState::Draining,
                        .slots = 2,
                        .flows = 75,
                        .waiting = 3,
                        .coldLeft = std::chrono::milliseconds(1900),
                        .bornAt = 1'700'000'000'000,
                        .isFailing = true,
                        .isUnreliable = true,
                        .balancers = 59,
                        .documents = {.era = 3, .configuration = 7, .evacuations = 80'000'000'000}};
    const auto size = encodeReport(buffer, report);
    Report decoded;
    ASSERT_TRUE(decodeReport({buffer.data(), size}, decoded));
    EXPECT_EQ(decoded, report);
    EXPECT_FALSE(decodeReport({buffer.data(), size - 1}, decoded)) << "truncated";
    buffer[peerHeaderSize + 16] = 200;
    EXPECT_FALSE(decodeReport({buffer.data(), size}, decoded)) << "invalid state";
}

const ServerCapacity learned{.answersPerSecond = 87.5,
                             .concurrency = 3.25,
                             .evidence = 300,
                             .usualAnswer = std::chrono::milliseconds(47)};

// Guards against a balancer that reads the capacity as part of the flow filter, or the other way round.
TEST(PeerMessageTest, ACapacityAndAFilterTravelTogetherAndAlone)
{
    auto capacity = learned;
    capacity.queuedOpenings = 4;
    capacity.queuedRequests = 9;
    capacity.longestWait = std::chrono::milliseconds(310);
    capacity.openings = 4'000'000'000;
    FlowFilter filter;
    filter.add(0x123456789abcdef0);
    for (const bool hasFilter : {false, true}) {
        Report report{.lifetime = 9, .slots = 4, .capacity = capacity};
        if (hasFilter) {
            report.heldFlowFilter = filter;
        }
        const auto size = encodeReport(buffer, report);
        Report decoded;
        ASSERT_TRUE(decodeReport({buffer.data(), size}, decoded));
        EXPECT_EQ(decoded, report);
        EXPECT_FALSE(decodeReport({buffer.data(), size - 1}, decoded)) << "truncated";
    }
}

// An agent that restarts learns from a hello; one that gets no memory reads a hello of the usual size.
TEST(PeerMessageTest, AHelloReturnsARememberedCapacity)
{
    const Hello hello{.lifetime = 5,
                      .acceptsCapacity = true,
                      .remembered = RememberedCapacity{.bornAt = 1'700'000'000'000, .capacity = learned}};
    const auto size = encodeHello(buffer, hello);
    Hello decoded;
    ASSERT_TRUE(decodeHello({buffer.data(), size}, decoded));
    EXPECT_EQ(decoded, hello);
    EXPECT_FALSE(decodeHello({buffer.data(), size - 1}, decoded)) << "truncated";
    EXPECT_LT(encodeHello(buffer, {.lifetime = 5, .acceptsCapacity = true}), size);
}

// Guards against an estimate that is no number, or beyond the field, turning into an arbitrary one.
TEST(PeerMessageTest, AnImpossibleCapacityIsSentAsUnknownOrAsTheLargest)
{
    const Report report{.capacity = ServerCapacity{.answersPerSecond = std::nan(""), .concurrency = -1}};
    Report decoded;
    ASSERT_TRUE(decodeReport({buffer.data(), encodeReport(buffer, report)}, decoded));
    EXPECT_EQ(decoded.capacity, ServerCapacity{});
    const Report huge{.capacity = ServerCapacity{.answersPerSecond = 1e300, .concurrency = 1e300}};
    ASSERT_TRUE(decodeReport({buffer.data(), encodeReport(buffer, huge)}, decoded));
    EXPECT_GT(decoded.capacity->answersPerSecond, 4e7);
    EXPECT_GT(decoded.capacity->concurrency, 4000);
}

TEST(PeerMessageTest, ARelayCarriesTheTermsOfItsRoute)
{
    const RouteTerms terms{.isRepeatable = true,
                           .priority = 5,
                           .timeLimit = std::chrono::milliseconds(1131),
                           .latencyGoal = std::chrono::milliseconds(200)};
    PeerHeader decoded;
    for (const bool mayReturnBusy : {false, true}) {
        encodePeerHeader(
            buffer,
            {.type = PeerMessageType::Relay, .mayReturnBusy = mayReturnBusy, .terms = terms, .number = 77});
        ASSERT_TRUE(decodePeerHeader(buffer, decoded));
        EXPECT_EQ(decoded.terms, terms);
        EXPECT_EQ(decoded.mayReturnBusy, mayReturnBusy);
        EXPECT_EQ(decoded.number, 77U);
    }
    encodePeerHeader(buffer, {.type = PeerMessageType::Relay, .number = 77});
    ASSERT_TRUE(decodePeerHeader(buffer, decoded));
    EXPECT_FALSE(decoded.terms) << "as processes of earlier versions send it";
}

TEST(PeerMessageTest, TheEraLeavesTheRestOfAMessageAsProcessesWithoutErasReadIt)
{
    constexpr std::size_t eraOffset = 2;
    Hello hello{.lifetime = 5, .documents = {.configuration = 7, .evacuations = 8}};
    auto withoutEra = buffer;
    const auto size = encodeHello(withoutEra, hello);
    hello.documents.era = 0x0907;
    EXPECT_EQ(encodeHello(buffer, hello), size);
    EXPECT_EQ(buffer[eraOffset], 9);
    EXPECT_EQ(buffer[eraOffset + 1], 7);
    buffer[eraOffset] = buffer[eraOffset + 1] = 0;
    EXPECT_TRUE(std::equal(withoutEra.begin(), withoutEra.begin() + size, buffer.begin()));
}

TEST(PeerMessageTest, TheLaterEraGoesBeforeTheHigherRevision)
{
    DocumentRevisions known{.era = 4, .configuration = 900, .evacuations = 800};
    mergeRevisions(known, {.era = 5, .configuration = 10});
    EXPECT_EQ(known, (DocumentRevisions{.era = 5, .configuration = 10, .evacuations = 0}));
    mergeRevisions(known, {.era = 4, .configuration = 901, .evacuations = 801});
    mergeRevisions(known, {.configuration = 902});
    EXPECT_EQ(known, (DocumentRevisions{.era = 5, .configuration = 10, .evacuations = 0}));
    mergeRevisions(known, {.era = 5, .configuration = 9, .evacuations = 11});
    EXPECT_EQ(known, (DocumentRevisions{.era = 5, .configuration = 10, .evacuations = 11}));
}

TEST(PeerMessageTest, ErasAreOrderedByTheirTags)
{
    EXPECT_EQ(eraTagOf(0), 0);
    for (const std::uint64_t era : {1ULL, 7ULL, 65'534ULL, 65'535ULL, 1'700'000'000'000ULL}) {
        EXPECT_NE(eraTagOf(era), 0) << era;
        EXPECT_TRUE(isLaterEra(eraTagOf(era + 1), eraTagOf(era))) << era;
        EXPECT_FALSE(isLaterEra(eraTagOf(era), eraTagOf(era + 1))) << era;
        EXPECT_FALSE(isLaterEra(eraTagOf(era), eraTagOf(era))) << era;
        EXPECT_TRUE(isLaterEra(eraTagOf(era), 0)) << era;
        const StorePosition known{.era = era, .revision = 50};
        EXPECT_EQ(peerPosition(eraTagOf(era + 2), 9, known), (StorePosition{era + 2, 9})) << era;
        EXPECT_EQ(peerPosition(eraTagOf(era), 60, known), (StorePosition{era, 60})) << era;
        EXPECT_EQ(peerPosition(eraTagOf(era - 1), 60, known), StorePosition{}) << era;
        EXPECT_EQ(peerPosition(0, 60, known), StorePosition{}) << era;
    }
    EXPECT_EQ(peerPosition(0, 60, {.revision = 50}), (StorePosition{0, 60})) << "a store without eras";
}

TEST(PeerMessageTest, AReportMayCarryAFilterOfAllFlows)
{
    FlowKey held;
    FlowKey other;
    ASSERT_TRUE(parseEndpoint("203.0.113.7:40001", held.caller));
    ASSERT_TRUE(parseEndpoint("203.0.113.7:40002", other.caller));
    Report report{.heldFlowFilter = FlowFilter{}};
    report.heldFlowFilter->add(hashFlow(held));
    const auto size = encodeReport(buffer, report);
    Report decoded;
    ASSERT_TRUE(decodeReport({buffer.data(), size}, decoded));
    EXPECT_EQ(decoded, report);
    EXPECT_TRUE(decoded.heldFlowFilter->mayContain(hashFlow(held)));
    EXPECT_FALSE(decoded.heldFlowFilter->mayContain(hashFlow(other)));
    EXPECT_FALSE(decodeReport({buffer.data(), size - 1}, decoded)) << "truncated";
}

TEST(PeerMessageTest, AFilterHasFewFalsePositives)
{
    FlowFilter filter;
    FlowKey flow;
    constexpr std::uint16_t held = 50;
    for (flow.caller.port = 0; flow.caller.port < held; ++flow.caller.port) {
        filter.add(hashFlow(flow));
    }
    int falsePositives = 0;
    for (flow.caller.port = 1000; flow.caller.port < 2000; ++flow.caller.port) {
        falsePositives += filter.mayContain(hashFlow(flow)) ? 1 : 0;
    }
    EXPECT_LT(falsePositives, 50) << "one in twenty";
}

TEST(PeerMessageTest, ANoteRoundTrips)
{
    FlowKey flow;
    ASSERT_TRUE(parseEndpoint("203.0.113.7:40001", flow.caller));
    ASSERT_TRUE(parseEndpoint("198.51.100.1:443", flow.service));
    encodeNote(buffer, flow, address("10.3.0.5"));
    FlowKey decoded;
    IpAddress holder;
    ASSERT_TRUE(decodeNote({buffer.data(), noteSize}, decoded, holder));
    EXPECT_EQ(decoded, flow);
    EXPECT_EQ(holder, address("10.3.0.5"));
    EXPECT_FALSE(decodeNote({buffer.data(), noteSize - 1}, decoded, holder));
}

TEST(PeerMessageTest, HeadersOfOtherVersionsAndTypesAreRejected)
{
    encodePeerHeader(buffer, {.type = PeerMessageType::Return, .reason = ReturnReason::Cold, .number = 5});
    PeerHeader header;
    ASSERT_TRUE(decodePeerHeader(buffer, header));
    EXPECT_EQ(header.reason, ReturnReason::Cold);
    EXPECT_EQ(header.number, 5U);
    EXPECT_FALSE(decodePeerHeader({buffer.data(), peerHeaderSize - 1}, header)) << "truncated";
    buffer[2] = 99;
    EXPECT_FALSE(decodePeerHeader(buffer, header)) << "invalid reason";
    buffer[1] = 99;
    EXPECT_FALSE(decodePeerHeader(buffer, header)) << "invalid type";
    buffer[1] = 1;
    buffer[0] = 3;
    EXPECT_FALSE(decodePeerHeader(buffer, header)) << "another version";
}

} // namespace
} // namespace oriolelever
