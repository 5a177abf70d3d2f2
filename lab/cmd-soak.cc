#include <algorithm>
#include <array>
#include <filesystem>

#include <absl/flags/flag.h>
#include <fmt/format.h>
#include <unistd.h>

#include "commands.h"
#include "flags.h"
#include "soak-run.h"

ABSL_FLAG(double, minutes, 1, "length of the time with faults");
ABSL_FLAG(int, processes, 12, "balancers and agents together, 4 to 400");
ABSL_FLAG(int, odd_entries, 0,
          "play no faults, but entries of this many agents that do not exist; 200000 at most");
ABSL_FLAG(
    std::string, lie, "",
    "plant a fault that must be found: twice, departure, cold, evacuation, configuration, faults or kill");

namespace oriolelever::lab {

namespace {

struct Lie
{
    std::string_view name;
    SoakPlant plant;
};

constexpr std::array<Lie, 9> lies{{{"", SoakPlant::None},
                                   {"twice", SoakPlant::RunTwice},
                                   {"departure", SoakPlant::HideDeparture},
                                   {"cold", SoakPlant::HideCold},
                                   {"evacuation", SoakPlant::HideEvacuation},
                                   {"configuration", SoakPlant::HideConfiguration},
                                   {"faults", SoakPlant::KeepFaults},
                                   {"kill", SoakPlant::KillUnseen},
                                   {"era", SoakPlant::HideEra}}};

void printFigures(const SoakOutcome &outcome)
{
    const auto &figures = outcome.figures;
    if (outcome.replaced > 0) {
        fmt::print("processes replaced: {}\n", outcome.replaced);
    }
    fmt::print("faults played: {}\nflows opened: {}\nopenings refused: {}\nopenings without answer: {}\n",
               outcome.faults, figures.flowsOpened, figures.openingsRefused, figures.openingsIgnored);
    fmt::print(
        "flows reset: {}\nrequests sent: {}\nrequests answered whole: {}\nrequests without answer: {}\n",
        figures.flowsReset, figures.requestsSent, figures.requestsAnswered, figures.requestsUnanswered);
    fmt::print("largest resident memory: {}\nstalls of the soak: {}\n", outcome.largestMemory,
               outcome.stalls);
    if (const auto &memory = outcome.balancerMemory; memory.before > 0) {
        fmt::print("resident memory of the balancers before the entries: {}\nwith them, at most: {}\n"
                   "at the end: {}\n",
                   memory.before, memory.with, memory.after);
    }
    for (const auto &[promise, count] : outcome.judged) {
        fmt::print("judged, {}: {}\n", toString(promise), count);
    }
}

int runSoakCommand(Arguments arguments)
{
    if (!arguments.empty()) {
        return usageError(fmt::format("argument \"{}\" is not expected", arguments.front()));
    }
    const auto *const lie = std::find_if(
        lies.begin(), lies.end(), [](const Lie &each) { return each.name == absl::GetFlag(FLAGS_lie); });
    if (lie == lies.end()) {
        return usageError(fmt::format("flag \"--lie\" does not allow \"{}\"", absl::GetFlag(FLAGS_lie)));
    }
    const double minutes = absl::GetFlag(FLAGS_minutes);
    if (minutes <= 0) {
        return usageError(
            fmt::format("flag \"--minutes\" does not allow \"{}\"; allowed: more than 0", minutes));
    }
    const int processes = absl::GetFlag(FLAGS_processes);
    if (processes < 4 || processes > 400) {
        return usageError(
            fmt::format("flag \"--processes\" does not allow \"{}\"; allowed: 4 to 400", processes));
    }
    const int oddEntries = absl::GetFlag(FLAGS_odd_entries);
    if (oddEntries < 0 || oddEntries > 200'000) {
        return usageError(
            fmt::format("flag \"--odd_entries\" does not allow \"{}\"; allowed: 0 to 200000", oddEntries));
    }
    SeedRange seeds{.first = absl::GetFlag(FLAGS_seed), .last = absl::GetFlag(FLAGS_seed)};
    if (const auto text = absl::GetFlag(FLAGS_seeds); !text.empty() && !parseSeeds(text, seeds)) {
        return usageError(fmt::format("flag \"--seeds\" does not allow \"{}\"; allowed: FIRST-LAST", text));
    }
    const auto program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "oriolelever-node";
    int status = exitOk;
    for (auto seed = seeds.first; seed <= seeds.last; ++seed) {
        const SoakOptions options{
            .seed = seed,
            .duration = std::chrono::milliseconds(static_cast<std::int64_t>(minutes * 60'000)),
            .processes = static_cast<std::size_t>(processes),
            .program = program,
            .directory = std::filesystem::temp_directory_path()
                / fmt::format("oriolelever-soak-{}-{}", seed, ::getpid()),
            .plant = lie->plant,
            .oddEntries = oddEntries > 0 ? std::optional<std::size_t>(oddEntries) : std::nullopt,
        };
        bool interrupted = false;
        const int one = handleError(
            [&]() -> Result<int> {
                BOOST_LEAF_AUTO(outcome, runSoak(options));
                interrupted = outcome.interrupted;
                const bool isUnanswered = options.oddEntries && outcome.figures.requestsUnanswered > 0;
                return std::max(reportSoak(options, outcome), isUnanswered ? exitOutcomeMissed : exitOk);
            },
            [](const Error &error) { return usageError(error.text); });
        status = std::max(status, one);
        if (interrupted) {
            return exitOutcomeMissed;
        }
    }
    return status;
}

} // namespace

int reportSoak(const SoakOptions &options, const SoakOutcome &outcome)
{
    fmt::print("seed: {}\n", options.seed);
    printFigures(outcome);
    fmt::print("broken promises: {}\n", outcome.violations.size());
    for (const auto &violation : outcome.violations) {
        const std::chrono::duration<double> at = violation.at - outcome.began;
        fmt::print("broken, {}: seed {} at {:.2f} s: {}\n", toString(violation.promise), options.seed,
                   at.count(), violation.text);
    }
    std::fflush(stdout);
    if (outcome.violations.empty()) {
        std::filesystem::remove_all(options.directory);
        return exitOk;
    }
    fmt::print("logs: {}\n", options.directory);
    return exitOutcomeMissed;
}

Command soakCommand()
{
    return {.name = "soak",
            .usage = "--seed N|--seeds FIRST-LAST --minutes M --processes P",
            .summary = "Runs the small programs under faults and checks what callers and servers see.",
            .flags = {"seed", "seeds", "minutes", "processes", "lie", "odd_entries"},
            .run = runSoakCommand};
}

} // namespace oriolelever::lab
