#include "oriolelever/commands.h"

#include <fmt/format.h>

#include "oriolelever/access.h"
#include "oriolelever/settings.h"

namespace oriolelever {

namespace {

int runSettings(Arguments arguments)
{
    if (!arguments.empty()) {
        return usageError(fmt::format("argument \"{}\" is not expected", arguments.front()));
    }
    fmt::print("{}", settingsDocument());
    return exitOk;
}

int runToken(Arguments arguments)
{
    OperatorToken entry;
    if (arguments.size() != 2) {
        return usageError("token needs NAME and ROLE");
    }
    if (!parseOperatorRole(arguments[1], entry.role)) {
        return usageError(
            fmt::format("role \"{}\" does not exist; allowed: viewer, operator or admin", arguments[1]));
    }
    if (arguments[0].empty() || arguments[0].find_first_of(":, ") != std::string::npos) {
        return usageError(fmt::format("name \"{}\" is not allowed; allowed: text without ':', ',' and spaces",
                                      arguments[0]));
    }
    const auto token = newToken();
    entry.name = arguments[0];
    entry.hash = hashToken(token);
    fmt::print("token: {}\nentry: {}\n", token, toString(entry));
    return exitOk;
}

} // namespace

std::string settingsDocument()
{
    std::string text = "# Settings\n\n`oriolelever settings` prints this page; a test keeps the two equal. "
                       "`oriolelever check FILE` validates a file.\n";
    for (const std::string_view role : {"balancer", "agent", "operator"}) {
        text += fmt::format(
            "\n## Role {}\n\n| setting | allowed | default | meaning |\n| --- | --- | --- | --- |\n", role);
        for (const auto &spec : settingSpecs(role)) {
            const std::string fallback = spec.required ? "required" : std::string(spec.fallback);
            text += fmt::format("| {}.{} | {} | {} | {} |\n", spec.section, spec.key, allowedText(spec),
                                fallback, spec.help);
        }
    }
    return text;
}

Command settingsCommand()
{
    return {.name = "settings",
            .usage = "",
            .summary = "Prints every setting of every role.",
            .run = runSettings};
}

Command tokenCommand()
{
    return {.name = "token",
            .usage = "NAME viewer|operator|admin",
            .summary = "Makes an operator's token and its entry for process.admin_tokens.",
            .run = runToken};
}

} // namespace oriolelever
