#include "oriolelever/commands.h"

#include <absl/flags/flag.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include "oriolelever/flags.h"
#include "oriolelever/operator.h"

namespace oriolelever {

namespace {

// Reads the flag --expect; without it the edit requires no version.
bool parseExpectedVersion(RowEdit &edit)
{
    const auto text = absl::GetFlag(FLAGS_expect);
    if (text.empty()) {
        return true;
    }
    std::uint64_t version = 0;
    if (!absl::SimpleAtoi(text, &version)) {
        usageError(
            fmt::format("flag \"--expect\" does not allow \"{}\"; allowed: a version, 0 or more", text));
        return false;
    }
    edit.expectedVersion = version;
    return true;
}

int runSet(Arguments arguments)
{
    if (arguments.size() < 2) {
        return usageError("set needs ROW and at least one COLUMN=VALUE");
    }
    RowEdit edit;
    if (!parseRowKey(arguments[0], edit.key)) {
        return usageError(
            fmt::format("row \"{}\" is not a valid row name; allowed: service/NAME, zone/NAME or server/NAME",
                        arguments[0]));
    }
    for (const auto &argument : arguments.subspan(1)) {
        std::string problem;
        auto cell = parseCellEdit(edit.key, argument, problem);
        if (!cell) {
            return usageError(problem);
        }
        edit.cells.push_back(std::move(*cell));
    }
    if (!parseExpectedVersion(edit)) {
        return exitUsage;
    }
    return runEdits({edit}, edit.expectedVersion == 0U);
}

int setZoneState(Arguments arguments)
{
    if (arguments.size() != 2 || (arguments[0] != "out" && arguments[0] != "return")) {
        return usageError("zone needs \"out NAME\" or \"return NAME\"");
    }
    RowEdit edit;
    if (!parseRowKey("zone/" + arguments[1], edit.key)) {
        return usageError(
            fmt::format("zone \"{}\" is not a valid zone name; allowed: letters, digits, '-', '_' and '.'",
                        arguments[1]));
    }
    edit.cells.push_back({"state", arguments[0] == "out" ? "out" : "in"});
    return runEdits({edit}, false);
}

int setServerDrain(Arguments arguments, const char *command, const char *drain)
{
    if (arguments.size() != 1) {
        return usageError(fmt::format("{} needs one SERVER", command));
    }
    RowEdit edit;
    if (!parseRowKey("server/" + arguments[0], edit.key)) {
        return usageError(fmt::format(
            "server \"{}\" is not a valid server name; allowed: letters, digits, '-', '_' and '.'",
            arguments[0]));
    }
    edit.cells.push_back({"drain", drain});
    return runEdits({edit}, true);
}

int drainServer(Arguments arguments)
{
    return setServerDrain(arguments, "drain", "true");
}

int undrainServer(Arguments arguments)
{
    return setServerDrain(arguments, "undrain", "false");
}

} // namespace

Command setCommand()
{
    return {.name = "set",
            .usage = "ROW COLUMN=VALUE...",
            .summary = "Changes cells of the table; --expect=0 creates the row.",
            .flags = {"config", "expect", "wait", "timeout"},
            .run = runSet};
}

Command zoneCommand()
{
    return {.name = "zone",
            .usage = "out|return NAME",
            .summary = "Takes an availability zone out or returns it.",
            .flags = {"config", "wait", "timeout"},
            .run = setZoneState};
}

Command drainCommand()
{
    return {.name = "drain",
            .usage = "SERVER",
            .summary = "Gives a backend server no new work.",
            .flags = {"config", "wait", "timeout"},
            .run = drainServer};
}

Command undrainCommand()
{
    return {.name = "undrain",
            .usage = "SERVER",
            .summary = "Takes back a drain.",
            .flags = {"config", "wait", "timeout"},
            .run = undrainServer};
}

} // namespace oriolelever
