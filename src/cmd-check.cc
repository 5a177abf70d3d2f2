#include "oriolelever/commands.h"

#include <fmt/format.h>

#include "oriolelever/settings.h"
#include "oriolelever/table.h"

namespace oriolelever {

namespace {

// Checks a settings file against the settings of the role that it names.
void checkSettings(const std::string &file, std::vector<Problem> &problems)
{
    const auto role = settingsRole(file);
    const auto specs = settingSpecs(role.value_or(""));
    if (specs.empty()) {
        const bool readable = role.has_value();
        problems.push_back({file, readable ? 1 : 0, readable ? "process.role" : "file", role.value_or(""),
                            readable ? "balancer, agent or operator" : "a readable INI file"});
        return;
    }
    readSettings(file, specs, problems);
}

int runCheck(Arguments arguments)
{
    if (arguments.empty()) {
        return usageError("check needs at least one FILE");
    }
    std::vector<Problem> problems;
    for (const auto &file : arguments) {
        if (isTableFile(file)) {
            readTableFile(file, problems);
        } else {
            checkSettings(file, problems);
        }
    }
    for (const auto &problem : problems) {
        fmt::print("{}\n", toString(problem));
    }
    fmt::print("problems: {}\n", problems.size());
    return problems.empty() ? exitOk : exitUsage;
}

} // namespace

Command checkCommand()
{
    return {.name = "check",
            .usage = "FILE...",
            .summary = "Validates settings files and tables (.csv, .json).",
            .run = runCheck};
}

} // namespace oriolelever
