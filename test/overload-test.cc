// What callers get from a service of several balancers and servers during overload and faults, and
// afterwards.
#include <cmath>
#include <numeric>

#include <gtest/gtest.h>

#include "load-model.h"

namespace oriolelever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const LoadKind lookup{.terms = {.isRepeatable = true,
                                .priority = 2,
                                .timeLimit = milliseconds(2263),
                                .latencyGoal = milliseconds(200)},
                      .work = milliseconds(30),
                      .address = {ipv4Address(0xc6120001), 443}};
const LoadKind claim{.terms
                     = {.priority = 1, .timeLimit = milliseconds(2263), .latencyGoal = milliseconds(200)},
                     .work = milliseconds(39),
                     .address = {ipv4Address(0xc6120001), 444}};

// Requests at `load` times the capacity of `slots`; two of nine are claims.
void addRegisters(LoadModel &model, double load, double slots, milliseconds time)
{
    const double perSecond = load * slots / 0.032;
    model.addLoad(lookup, perSecond * 7 / 9, time);
    model.addLoad(claim, perSecond * 2 / 9, time);
}

// Standard deviation of the openings that servers got, relative to their mean.
double spread(const std::vector<int> &opened)
{
    const double mean
        = std::accumulate(opened.begin(), opened.end(), 0.0) / static_cast<double>(opened.size());
    double squares = 0;
    for (const int count : opened) {
        squares += (count - mean) * (count - mean);
    }
    return std::sqrt(squares / static_cast<double>(opened.size())) / mean;
}

class OverloadTest : public testing::TestWithParam<std::tuple<int, int>>
{
};

// Guards against flows of callers who gave up in a burst that count as load for as long as servers keep them:
// servers with fewer of them got nearly all new flows, and requests were late for the rest of the day.
TEST_P(OverloadTest, ABurstIsForgottenOnceItHasEnded)
{
    const auto [balancers, reportMs] = GetParam();
    constexpr double slots = 60;
    LoadModel model({.balancers = static_cast<std::size_t>(balancers),
                     .servers = 30,
                     .slots = 2,
                     .reportPeriod = milliseconds(reportMs),
                     .kinds = {&lookup, &claim}});
    addRegisters(model, 0.47, slots, seconds(5));
    model.run(seconds(6));
    const double before = spread(model.opened);
    addRegisters(model, 1.4, slots, seconds(5));
    model.run(seconds(5));
    addRegisters(model, 0.47, slots, seconds(10));
    model.run(seconds(4));
    const auto atEnd = model.results;
    model.opened.clear();
    model.run(seconds(8));
    EXPECT_LE(model.results[&lookup].late, atEnd.at(&lookup).late);
    EXPECT_LE(model.results[&claim].late, atEnd.at(&claim).late);
    EXPECT_LE(spread(model.opened), 1.5 * before);
}

INSTANTIATE_TEST_SUITE_P(Balancers, OverloadTest,
                         testing::Values(std::tuple{1, 200}, std::tuple{20, 200}, std::tuple{20, 1000},
                                         std::tuple{100, 200}));

// Guards against slots that stay free under overload while the next request is on its way: where the demand
// is what the servers can just do, requests piled up and ended unserved.
TEST(FullLoadTest, ServersOfSeveralSlotsAreKeptBusy)
{
    constexpr double slots = 35;
    LoadModel model({.balancers = 2, .servers = 7, .slots = 5, .kinds = {&lookup, &claim}});
    addRegisters(model, 0.5, slots, seconds(2));
    model.run(seconds(3));
    model.results.clear();
    addRegisters(model, 0.97, slots, seconds(10));
    model.run(seconds(14));
    const auto &result = model.results[&lookup];
    EXPECT_GE(result.inTime, result.sent * 99 / 100);
    EXPECT_EQ(result.unserved(), 0);
}

// Guards against claims that are lost at servers that go down and up by turns: the load balancer used them
// again as soon as they had answered, and learned of each fall from three more lost requests.
TEST(FlappingServersTest, LoseFewRequestsThatCannotBeRepeated)
{
    constexpr std::size_t flapping = 5;
    constexpr std::uint16_t slotCount = 2;
    constexpr double slots = 60;
    LoadModel model({.balancers = 10, .servers = 30, .slots = slotCount, .kinds = {&lookup, &claim}});
    addRegisters(model, 0.5, slots, seconds(10));
    for (int second = 0; second < 8; ++second) {
        for (std::size_t server = 0; server < flapping; ++server) {
            model.setResetting(server, second % 2 == 0);
        }
        model.run(seconds(1));
    }
    model.run(seconds(6));
    // What a server may have at work when it falls for the first time.
    EXPECT_LE(model.results[&claim].unserved(), static_cast<int>(slotCount * flapping));
    EXPECT_EQ(model.results[&lookup].unserved(), 0);
}

} // namespace
} // namespace oriolelever
