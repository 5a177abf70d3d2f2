#include "measure-requests.h"

#include <thread>

#include <fmt/format.h>

#include "agents.h"
#include "http-callers.h"
#include "oriolelever/cli.h"

namespace oriolelever::lab {

namespace {

constexpr int rounds = 10;
constexpr std::uint64_t requestsPerRound = 300;
constexpr std::size_t agents = 3;
constexpr int restartRounds = 5;
constexpr std::chrono::milliseconds firstMemory{50}; ///< Until new agents can prove dated keys fresh.

void append(std::vector<double> &all, const std::vector<double> &values)
{
    all.insert(all.end(), values.begin(), values.end());
}

std::vector<double> timesOf(const HttpCallersOptions &options)
{
    HttpCallers callers(options);
    callers.start();
    callers.wait();
    const auto figures = callers.figures();
    auto times = figures.urgentMs;
    append(times, figures.ordinaryMs);
    return times;
}

void printTimes(std::string_view name, const std::vector<double> &times)
{
    fmt::print("{} requests: {}\n{} median ms: {:.3f}\n{} p99 ms: {:.3f}\n", name, times.size(), name,
               percentile(times, 0.5), name, percentile(times, 0.99));
}

} // namespace

int measureOverhead(std::uint64_t seed)
{
    AgentCluster cluster(agents, {.serviceTime = std::chrono::milliseconds(0), .seed = seed});
    std::this_thread::sleep_for(firstMemory);
    HttpCallersOptions options{
        .concurrency = 1, .requests = requestsPerRound, .scanShare = 0.0, .seed = seed};
    std::vector<double> direct;
    std::vector<double> reads;
    std::vector<double> writes;
    // Taking turns spreads what else the machine does over all three.
    for (int round = 0; round < rounds; ++round) {
        ++options.seed;
        options.targets = cluster.serverEndpoints();
        options.direct = true;
        options.postShare = 0.0;
        append(direct, timesOf(options));
        options.targets = cluster.endpoints();
        options.direct = false;
        append(reads, timesOf(options));
        options.postShare = 1.0;
        append(writes, timesOf(options));
    }
    printTimes("direct", direct);
    printTimes("idempotent through the agent", reads);
    printTimes("non-idempotent with key through the agent", writes);
    const double base = percentile(direct, 0.5);
    fmt::print("overhead idempotent ms: {:.3f}\n", percentile(reads, 0.5) - base);
    fmt::print("overhead non-idempotent with key ms: {:.3f}\n", percentile(writes, 0.5) - base);
    return exitOk;
}

int measureRestarts(std::uint64_t seed)
{
    AgentCluster cluster(agents, {.serviceTime = std::chrono::milliseconds(2), .seed = seed});
    std::this_thread::sleep_for(firstMemory);
    HttpCallers callers(
        {.targets = cluster.endpoints(), .concurrency = 6, .ledger = cluster.ledger(), .seed = seed});
    callers.start();
    std::uint64_t restarts = 0;
    for (int round = 0; round < restartRounds; ++round) {
        for (std::size_t i = 0; i < agents; ++i) {
            cluster.drainAndRestart(i);
            ++restarts;
            callers.waitForAnswers(restarts * 100);
        }
    }
    callers.stop();
    const auto figures = callers.figures();
    fmt::print("graceful restarts: {}\nrequests sent: {}\nrequests answered whole: {}\n", restarts,
               figures.sent, figures.answeredWhole);
    fmt::print("refused not run: {}\noutcome unknown: {}\nlost: {}\nran twice: {}\ncut: {}\n",
               figures.refusedNotRun, figures.outcomeUnknown, figures.lost, cluster.ranTwice(), figures.cut);
    const bool held = figures.cut + figures.lost + cluster.ranTwice() + figures.wrongAnswers == 0;
    return held ? exitOk : exitOutcomeMissed;
}

} // namespace oriolelever::lab
