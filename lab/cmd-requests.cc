#include <algorithm>
#include <array>

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include "commands.h"
#include "flags.h"
#include "measure-requests.h"
#include "requests.h"

ABSL_FLAG(std::string, request_seeds, "", "seeds to run one after another, FIRST-LAST");
ABSL_FLAG(std::string, plant, "", "defect to plant: claims, memory, sent, truncated, crossed or end");
ABSL_FLAG(std::string, measure, "", "measure instead of faults: overload, storm, cold, overhead or restarts");

namespace oriolelever::lab {

namespace {

struct Plant
{
    std::string_view name;
    Mutation mutation;
};

constexpr std::array<Plant, 7> plants{{{"", Mutation::None},
                                       {"claims", Mutation::ClaimsIgnored},
                                       {"memory", Mutation::MemoryIgnored},
                                       {"sent", Mutation::SentForgotten},
                                       {"truncated", Mutation::TruncatedPassed},
                                       {"crossed", Mutation::CrossedPassed},
                                       {"end", Mutation::EndForgotten}}};

void add(HistoryFigures &sum, const HistoryFigures &one)
{
    sum.sent += one.sent;
    sum.answeredWhole += one.answeredWhole;
    sum.refusedNotRun += one.refusedNotRun;
    sum.outcomeUnknown += one.outcomeUnknown;
    sum.doubled += one.doubled;
    sum.falseRefusals += one.falseRefusals;
    sum.wrongAnswers += one.wrongAnswers;
    sum.lost += one.lost;
}

int runSeeds(std::uint64_t first, std::uint64_t last, Mutation mutation)
{
    RequestsRunFigures sum;
    for (auto seed = first; seed <= last; ++seed) {
        const auto figures = runRequests({.seed = seed, .mutation = mutation});
        add(sum.history, figures.history);
        sum.handovers += figures.handovers;
        sum.hedges += figures.hedges;
        sum.retries += figures.retries;
        sum.lateAnswers += figures.lateAnswers;
        sum.restarts += figures.restarts;
        for (const auto &fault : figures.history.faults) {
            fmt::print(stderr, "seed {}: {}\n", seed, fault);
        }
    }
    const auto &history = sum.history;
    fmt::print("requests sent: {}\nrequests answered whole: {}\nrefused not run: {}\noutcome unknown: {}\n",
               history.sent, history.answeredWhole, history.refusedNotRun, history.outcomeUnknown);
    fmt::print("ran twice: {}\nfalse refusals: {}\nwrong answers: {}\nlost: {}\n", history.doubled,
               history.falseRefusals, history.wrongAnswers, history.lost);
    fmt::print("handovers: {}\nhedges: {}\nretries: {}\nlate answers dropped: {}\nagent restarts: {}\n",
               sum.handovers, sum.hedges, sum.retries, sum.lateAnswers, sum.restarts);
    const auto faults = history.doubled + history.falseRefusals + history.wrongAnswers + history.lost;
    return faults == 0 ? exitOk : exitOutcomeMissed;
}

void printLoad(std::string_view name, const RequestsRunFigures &figures)
{
    fmt::print("{} goodput per second: {:.1f}\n{} urgent p99 ms: {:.1f}\n{} urgent answered: {:.4f}\n", name,
               figures.goodput, name, figures.urgentP99Ms, name, figures.urgentAnswered);
    fmt::print("{} attempts at servers: {}\n{} retries: {}\n", name, figures.attempts, name, figures.retries);
}

int measureOverload(std::uint64_t seed)
{
    RequestsRunOptions options{.seed = seed, .urgentShare = 0.3, .warm = true, .faults = false};
    options.load = 0.7;
    const auto steady = runRequests(options);
    options.load = 1.0;
    const auto capacity = runRequests(options);
    options.load = 2.0;
    const auto overload = runRequests(options);
    printLoad("steady", steady);
    printLoad("capacity", capacity);
    printLoad("overload", overload);
    const double goodput = overload.goodput / capacity.goodput;
    const double urgent = overload.urgentP99Ms / steady.urgentP99Ms;
    fmt::print("goodput at twice capacity over capacity: {:.3f}\n", goodput);
    fmt::print("urgent p99 at twice capacity over steady: {:.2f}\n", urgent);
    return goodput >= 0.95 && urgent <= 2.0 ? exitOk : exitOutcomeMissed;
}

// The limit is fixed, so that the budget alone keeps retries from adding to the load.
int measureStorm(std::uint64_t seed)
{
    RequestsRunOptions options{.seed = seed,
                               .load = 0.9,
                               .maxTries = 1,
                               .warm = true,
                               .faults = false,
                               .fixedLimit = true,
                               .brokenShare = 0.3};
    const auto budget = runRequests(options);
    options.unlimitedRetries = true;
    const auto storm = runRequests(options);
    printLoad("with budget", budget);
    printLoad("without budget", storm);
    return budget.attempts < storm.attempts ? exitOk : exitOutcomeMissed;
}

int measureCold(std::uint64_t seed)
{
    RequestsRunOptions options{.seed = seed,
                               .load = 0.7,
                               .warm = true,
                               .faults = false,
                               .rampTime = std::chrono::milliseconds(5000),
                               .coldTime = std::chrono::milliseconds(5000)};
    const auto cold = runRequests(options);
    printLoad("cold start", cold);
    fmt::print("starts over the limit of a cold server: {}\n", cold.coldOverloads);
    return exitOk;
}

int runRequestsCommand(Arguments arguments)
{
    if (!arguments.empty()) {
        return usageError(fmt::format("argument \"{}\" is not expected", arguments.front()));
    }
    const auto measure = absl::GetFlag(FLAGS_measure);
    const auto seed = absl::GetFlag(FLAGS_seed);
    if (measure == "overload") {
        return measureOverload(seed);
    }
    if (measure == "storm") {
        return measureStorm(seed);
    }
    if (measure == "cold") {
        return measureCold(seed);
    }
    if (measure == "overhead") {
        return measureOverhead(seed);
    }
    if (measure == "restarts") {
        return measureRestarts(seed);
    }
    if (!measure.empty()) {
        return usageError(
            fmt::format("--measure \"{}\" is not overload, storm, cold, overhead or restarts", measure));
    }
    const auto planted = absl::GetFlag(FLAGS_plant);
    const auto plant = std::find_if(plants.begin(), plants.end(),
                                    [&](const Plant &known) { return known.name == planted; });
    if (plant == plants.end()) {
        return usageError(fmt::format("--plant \"{}\" is not a known defect", planted));
    }
    SeedRange range{.first = seed, .last = seed};
    const auto seeds = absl::GetFlag(FLAGS_request_seeds);
    if (!seeds.empty() && !parseSeeds(seeds, range)) {
        return usageError(fmt::format("--request_seeds \"{}\" is not FIRST-LAST", seeds));
    }
    return runSeeds(range.first, range.last, plant->mutation);
}

} // namespace

Command requestsCommand()
{
    return {.name = "requests",
            .usage = "",
            .summary = "Runs callers, agents and faulty backend servers, and checks the history.",
            .flags = {"seed", "request_seeds", "plant", "measure"},
            .run = runRequestsCommand};
}

} // namespace oriolelever::lab
