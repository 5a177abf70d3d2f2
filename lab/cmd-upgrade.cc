// Replacement of an earlier build's processes by this one's, under load and faults.
#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <filesystem>

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "commands.h"
#include "flags.h"
#include "soak-run.h"

ABSL_DECLARE_FLAG(double, minutes);
ABSL_DECLARE_FLAG(std::string, deployment);
ABSL_FLAG(std::string, from, "", "commit of the build that runs at the start");
ABSL_FLAG(std::string, repository, ".", "checkout whose history holds the commit");
ABSL_FLAG(bool, json, false, "print one JSON object for each seed instead of lines");

namespace oriolelever::lab {

namespace {

namespace fs = std::filesystem;

// Of one run; the deployments' sizes at a fifth, as all processes share one machine.
struct UpgradeSize
{
    std::string_view deployment;
    std::size_t processes = 0;
};

constexpr std::array<UpgradeSize, 3> sizes{{{"bellandi", 15}, {"swn", 14}, {"large", 39}}};
constexpr std::size_t orderCount = static_cast<std::size_t>(UpgradeOrder::MixedAndBack) + 1;

std::string quoted(const fs::path &path)
{
    std::string text = "'";
    for (const char c : path.string()) {
        text += c == '\'' ? std::string("'\\''") : std::string(1, c);
    }
    return text + "'";
}

bool succeeds(const std::string &command)
{
    return std::system(command.c_str()) == 0;
}

bool isCommitName(std::string_view text)
{
    return !text.empty()
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isxdigit(c) != 0; });
}

// Builds the small program of a commit once, in a folder that later calls find again. Fails with
// `Code::FileUnreadable` if the history lacks the commit or it does not build.
Result<fs::path> buildCommit(const fs::path &repository, const std::string &commit)
{
    const auto git = fmt::format("git -C {}", quoted(repository));
    if (!isCommitName(commit)
        || !succeeds(fmt::format("{} cat-file -e {}^{{commit}} 2> /dev/null", git, commit))) {
        return fail(
            Code::FileUnreadable,
            fmt::format("flag \"--from\" does not allow \"{}\": \"{}\" holds no such commit; allowed: the "
                        "hexadecimal name of a commit in its history",
                        commit, repository.string()));
    }
    const auto folder = fs::temp_directory_path() / "oriolelever-builds" / commit;
    auto program = folder / "target" / "oriolelever-node";
    if (fs::exists(program)) {
        return program;
    }
    fs::create_directories(folder);
    fmt::print(stderr, "upgrade: building {}\n", commit);
    const auto log = folder / "build.log";
    const auto build = fmt::format(
        "({0} archive {1} | tar -x -C {2} && cmake -S {2} -B {2}/target -G Ninja -DCMAKE_BUILD_TYPE=Release "
        "-DORIOLELEVER_NODE_ONLY=ON && cmake --build {2}/target) > {3} 2>&1",
        git, commit, quoted(folder), quoted(log));
    if (!succeeds(build) || !fs::exists(program)) {
        return fail(Code::FileUnreadable,
                    fmt::format("commit \"{}\" does not build, see \"{}\"", commit, log.string()));
    }
    return program;
}

nlohmann::json jsonOf(const SoakOptions &options, const SoakOutcome &outcome)
{
    nlohmann::json violations = nlohmann::json::array();
    for (const auto &violation : outcome.violations) {
        violations.push_back({{"promise", toString(violation.promise)}, {"text", violation.text}});
    }
    return {{"seed", options.seed},
            {"order", toString(options.upgrade->order)},
            {"replaced", outcome.replaced},
            {"faults", outcome.faults},
            {"flows_opened", outcome.figures.flowsOpened},
            {"flows_reset", outcome.figures.flowsReset},
            {"requests_sent", outcome.figures.requestsSent},
            {"requests_answered", outcome.figures.requestsAnswered},
            {"requests_unanswered", outcome.figures.requestsUnanswered},
            {"broken", violations}};
}

int playSeed(const SoakOptions &options, bool &interrupted)
{
    return handleError(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(outcome, runSoak(options));
            interrupted = outcome.interrupted;
            if (!absl::GetFlag(FLAGS_json)) {
                fmt::print("order: {}\n", toString(options.upgrade->order));
                return reportSoak(options, outcome);
            }
            fmt::print("{}\n", jsonOf(options, outcome).dump());
            std::fflush(stdout);
            if (!outcome.violations.empty()) {
                return exitOutcomeMissed;
            }
            fs::remove_all(options.directory);
            return exitOk;
        },
        [](const Error &error) { return usageError(error.text); });
}

int runUpgradeCommand(Arguments arguments)
{
    if (!arguments.empty()) {
        return usageError(fmt::format("argument \"{}\" is not expected", arguments.front()));
    }
    const auto deployment = absl::GetFlag(FLAGS_deployment);
    const auto *const size = std::find_if(
        sizes.begin(), sizes.end(), [&](const UpgradeSize &each) { return each.deployment == deployment; });
    if (size == sizes.end()) {
        return usageError(fmt::format(
            "flag \"--deployment\" does not allow \"{}\"; allowed: bellandi, swn, large", deployment));
    }
    SeedRange seeds{.first = absl::GetFlag(FLAGS_seed), .last = absl::GetFlag(FLAGS_seed)};
    if (const auto text = absl::GetFlag(FLAGS_seeds); !text.empty() && !parseSeeds(text, seeds)) {
        return usageError(fmt::format("flag \"--seeds\" does not allow \"{}\"; allowed: FIRST-LAST", text));
    }
    const double minutes = absl::GetFlag(FLAGS_minutes);
    if (minutes <= 0) {
        return usageError(
            fmt::format("flag \"--minutes\" does not allow \"{}\"; allowed: more than 0", minutes));
    }
    std::string earlierProgram;
    const int built = handleError(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(program, buildCommit(absl::GetFlag(FLAGS_repository), absl::GetFlag(FLAGS_from)));
            earlierProgram = program;
            return exitOk;
        },
        [](const Error &error) { return usageError(error.text); });
    if (built != exitOk) {
        return built;
    }
    const auto program = fs::read_symlink("/proc/self/exe").parent_path() / "oriolelever-node";
    int status = exitOk;
    for (auto seed = seeds.first; seed <= seeds.last; ++seed) {
        fmt::print(stderr, "upgrade: seed {} of {} to {}\n", seed, seeds.first, seeds.last);
        bool interrupted = false;
        const SoakOptions options{
            .seed = seed,
            .duration = std::chrono::milliseconds(static_cast<std::int64_t>(minutes * 60'000)),
            .processes = size->processes,
            .program = program,
            .directory
            = fs::temp_directory_path() / fmt::format("oriolelever-upgrade-{}-{}", seed, ::getpid()),
            .upgrade = SoakUpgrade{.earlierProgram = earlierProgram,
                                   .order = static_cast<UpgradeOrder>(seed % orderCount)},
        };
        status = std::max(status, playSeed(options, interrupted));
        if (interrupted) {
            return exitOutcomeMissed;
        }
    }
    return status;
}

} // namespace

Command upgradeCommand()
{
    return {.name = "upgrade",
            .usage = "--from COMMIT [--deployment D] [--seed N|--seeds FIRST-LAST] [--minutes M] [--json]",
            .summary = "Replaces the processes of an earlier build one by one under faults and checks what "
                       "callers and servers see.",
            .flags = {"from", "repository", "deployment", "seed", "seeds", "minutes", "json"},
            .run = runUpgradeCommand};
}

} // namespace oriolelever::lab
