#include <fstream>

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include "commands.h"
#include "flags.h"
#include "replay.h"

ABSL_FLAG(std::string, case, "steady", "case of the trace");
ABSL_FLAG(std::string, deployment, "bellandi", "deployment: bellandi, swn or large");
ABSL_FLAG(std::string, out, "", "file to write instead of standard output");
ABSL_FLAG(std::string, baseline, "", "hash or table instead of directories");

namespace oriolelever::lab {

namespace {

bool holds(const Requirement &requirement, const std::map<std::string, double> &figures)
{
    const auto found = figures.find(requirement.figure);
    if (found == figures.end()) {
        return false;
    }
    return requirement.atMost ? found->second <= requirement.bound : found->second >= requirement.bound;
}

void printFigures(const std::map<std::string, double> &figures)
{
    for (const auto &[name, value] : figures) {
        fmt::print("{}: {:.6g}\n", name, value);
    }
}

// Prints each outcome with its verdict; false when one was missed.
bool printOutcomes(const Trace &trace, const std::map<std::string, double> &figures)
{
    bool all = true;
    for (const auto &requirement : trace.requirements) {
        const bool held = holds(requirement, figures);
        const auto found = figures.find(requirement.figure);
        const auto seen = found != figures.end() ? fmt::format("{:.6g}", found->second) : "no such figure";
        fmt::print("outcome {} {} {:.6g}: {}, saw {}\n", requirement.figure,
                   requirement.atMost ? "<=" : ">=", requirement.bound, held ? "held" : "missed", seen);
        all = all && held;
    }
    return all;
}

int failedCall(const Error &error)
{
    return usageError(error.text);
}

Result<Trace> traceOfFlags(std::uint64_t seed)
{
    return makeTrace(
        {.caseName = absl::GetFlag(FLAGS_case), .deployment = absl::GetFlag(FLAGS_deployment), .seed = seed});
}

int runTrace(Arguments arguments)
{
    if (!arguments.empty()) {
        return usageError(fmt::format("argument \"{}\" is not expected", arguments.front()));
    }
    return handleError(
        []() -> Result<int> {
            BOOST_LEAF_AUTO(trace, traceOfFlags(absl::GetFlag(FLAGS_seed)));
            const auto text = writeTrace(trace);
            const auto file = absl::GetFlag(FLAGS_out);
            if (file.empty()) {
                fmt::print("{}", text);
                return exitOk;
            }
            std::ofstream out(file);
            out << text;
            if (!out.flush()) {
                return fail(Code::FileUnreadable,
                            fmt::format("flag \"--out\": \"{}\" cannot be written", file));
            }
            return exitOk;
        },
        failedCall);
}

Result<Baseline> baselineOfFlag()
{
    Baseline baseline = Baseline::None;
    const auto text = absl::GetFlag(FLAGS_baseline);
    if (!parseBaseline(text, baseline)) {
        return fail(Code::UsageInvalid, fmt::format("flag \"--baseline\" does not allow \"{}\"", text));
    }
    return baseline;
}

int runReplay(Arguments arguments)
{
    if (arguments.empty()) {
        return usageError("replay needs at least one FILE");
    }
    return handleError(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(baseline, baselineOfFlag());
            bool all = true;
            for (const auto &file : arguments) {
                BOOST_LEAF_AUTO(trace, readTrace(file));
                const auto figures = namedFigures(replayTrace(trace, baseline));
                fmt::print("trace: {}\n", file);
                printFigures(figures);
                all = printOutcomes(trace, figures) && all;
            }
            return all ? exitOk : exitOutcomeMissed;
        },
        failedCall);
}

// Sums over seeds; of ratios, the worst.
struct SweepTotals
{
    std::map<std::string, double> sums;
    std::map<std::string, double> largest;
    std::map<std::string, double> smallest;

    void take(const std::map<std::string, double> &figures)
    {
        for (const auto &[name, value] : figures) {
            sums[name] += value;
            largest[name] = std::max(largest.contains(name) ? largest[name] : value, value);
            smallest[name] = std::min(smallest.contains(name) ? smallest[name] : value, value);
        }
    }
};

double shortfall(const Trace &trace, const std::map<std::string, double> &figures)
{
    double sum = 0;
    for (const auto &requirement : trace.requirements) {
        if (!holds(requirement, figures)) {
            const double seen = figures.contains(requirement.figure) ? figures.at(requirement.figure) : 0;
            sum += 1 + std::abs(seen - requirement.bound);
        }
    }
    return sum;
}

std::string missedOutcomes(const Trace &trace, const std::map<std::string, double> &figures)
{
    std::string text;
    for (const auto &requirement : trace.requirements) {
        if (!holds(requirement, figures)) {
            text += fmt::format("{}{} {:.6g}", text.empty() ? "" : ", ", requirement.figure,
                                figures.contains(requirement.figure) ? figures.at(requirement.figure) : 0);
        }
    }
    return text;
}

void printTotals(const SweepTotals &totals, std::uint64_t count)
{
    for (const auto &[name, sum] : totals.sums) {
        fmt::print("{}: {:.6g}\n", name, sum);
        fmt::print("{}, mean: {:.6g}\n", name, sum / static_cast<double>(count));
        fmt::print("{}, smallest: {:.6g}\n", name, totals.smallest.at(name));
        fmt::print("{}, largest: {:.6g}\n", name, totals.largest.at(name));
    }
}

Result<int> sweepSeeds()
{
    SeedRange range{.first = 1, .last = 20};
    const auto text = absl::GetFlag(FLAGS_seeds);
    if (!text.empty() && !parseSeeds(text, range)) {
        return fail(Code::UsageInvalid,
                    fmt::format("flag \"--seeds\" does not allow \"{}\"; allowed: FIRST-LAST", text));
    }
    BOOST_LEAF_AUTO(baseline, baselineOfFlag());
    SweepTotals totals;
    std::vector<std::string> shortSeeds;
    std::uint64_t worstSeed = range.first;
    double worst = 0;
    for (auto seed = range.first; seed <= range.last; ++seed) {
        BOOST_LEAF_AUTO(trace, traceOfFlags(seed));
        const auto figures = namedFigures(replayTrace(trace, baseline));
        totals.take(figures);
        const double missed = shortfall(trace, figures);
        if (missed > 0) {
            shortSeeds.push_back(fmt::format("short seed {}: {}", seed, missedOutcomes(trace, figures)));
        }
        if (missed > worst) {
            worst = missed;
            worstSeed = seed;
        }
    }
    printTotals(totals, range.last - range.first + 1);
    fmt::print("seeds: {}\n", range.last - range.first + 1);
    fmt::print("seeds short: {}\n", shortSeeds.size());
    fmt::print("worst seed: {}\n", worst > 0 ? std::to_string(worstSeed) : "none");
    for (const auto &line : shortSeeds) {
        fmt::print("{}\n", line);
    }
    return shortSeeds.empty() ? exitOk : exitOutcomeMissed;
}

int runSweep(Arguments arguments)
{
    if (!arguments.empty()) {
        return usageError(fmt::format("argument \"{}\" is not expected", arguments.front()));
    }
    return handleError(sweepSeeds, failedCall);
}

} // namespace

Command traceCommand()
{
    return {.name = "trace",
            .usage = "",
            .summary = "Writes a trace.",
            .flags = {"case", "deployment", "seed", "out"},
            .run = runTrace};
}

Command replayCommand()
{
    return {.name = "replay",
            .usage = "FILE...",
            .summary = "Replays traces against their stated outcomes.",
            .flags = {"baseline"},
            .run = runReplay};
}

Command sweepCommand()
{
    return {.name = "sweep",
            .usage = "",
            .summary = "Replays many seeds of one case.",
            .flags = {"case", "deployment", "seeds", "baseline"},
            .run = runSweep};
}

} // namespace oriolelever::lab
