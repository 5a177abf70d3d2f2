#include "oriolelever/cli.h"

#include <algorithm>
#include <cstdio>

#include <absl/flags/reflection.h>
#include <fmt/format.h>

namespace oriolelever {

namespace {

struct ParsedCommandLine
{
    std::vector<std::string> positional;
    std::vector<std::string> flags; ///< Registry names of the flags that were set.
    bool help = false;
    bool version = false;
    bool valid = true; ///< False after an error, which has been printed.
};

bool isBoolFlag(const absl::CommandLineFlag &flag)
{
    return flag.IsOfType<bool>();
}

// Sets one flag; `text` is the argument without "--". Advances `index` when the value is the next argument.
void parseFlag(std::string_view text, int &index, int argc, char **argv, ParsedCommandLine &line)
{
    const auto equals = text.find('=');
    const std::string name(text.substr(0, equals));
    if (name == "help") {
        line.help = true;
        return;
    }
    if (name == "version") {
        line.version = true;
        return;
    }
    std::string registryName = name;
    std::replace(registryName.begin(), registryName.end(), '-', '_');
    auto *const flag = absl::FindCommandLineFlag(registryName);
    if (flag == nullptr) {
        usageError(fmt::format("flag \"--{}\" does not exist", name));
        line.valid = false;
        return;
    }
    std::string value;
    if (equals != std::string_view::npos) {
        value = text.substr(equals + 1);
    } else if (isBoolFlag(*flag)) {
        value = "true";
    } else if (index + 1 < argc) {
        value = argv[++index];
    } else {
        usageError(fmt::format("flag \"--{}\" needs a value", name));
        line.valid = false;
        return;
    }
    std::string error;
    if (!flag->ParseFrom(value, &error)) {
        usageError(fmt::format("flag \"--{}\" does not allow \"{}\" {}", name, value, error));
        line.valid = false;
        return;
    }
    line.flags.push_back(registryName);
}

ParsedCommandLine parseCommandLine(int argc, char **argv)
{
    ParsedCommandLine line;
    bool flagsEnded = false; // An argument "--" ends the flags.
    for (int index = 1; index < argc && line.valid; ++index) {
        const std::string_view text = argv[index];
        if (flagsEnded || !text.starts_with("--")) {
            line.positional.emplace_back(text);
            continue;
        }
        if (text == "--") {
            flagsEnded = true;
            continue;
        }
        parseFlag(text.substr(2), index, argc, argv, line);
    }
    return line;
}

// Name of a flag on the command line, with hyphens instead of underscores.
std::string flagDisplayName(std::string_view registryName)
{
    std::string name(registryName);
    std::replace(name.begin(), name.end(), '_', '-');
    return name;
}

void printCommandHelp(std::string_view program, const Command &command)
{
    fmt::print("{} {} {}\n\n{}\n", program, command.name, command.usage, command.summary);
    for (const auto name : command.flags) {
        const auto *const flag = absl::FindCommandLineFlag(std::string(name));
        if (flag == nullptr) {
            continue;
        }
        fmt::print("  --{:<16} {} (default: \"{}\")\n", flagDisplayName(name), flag->Help(),
                   flag->DefaultValue());
    }
}

void printHelp(std::string_view program, std::span<const Command> commands)
{
    fmt::print("usage: {} COMMAND [ARGUMENT...] [--FLAG=VALUE...]\n\n", program);
    for (const auto &command : commands) {
        fmt::print("  {:<12} {}\n", command.name, command.summary);
    }
    fmt::print("\n\"{} COMMAND --help\" shows the arguments and flags of a command.\n", program);
}

// Prints an error and returns false if a flag was set that the command does not read.
bool acceptsFlags(const ParsedCommandLine &line, const Command &command)
{
    for (const auto &name : line.flags) {
        if (std::find(command.flags.begin(), command.flags.end(), name) != command.flags.end()) {
            continue;
        }
        usageError(fmt::format("flag \"--{}\" does not belong to command \"{}\"", flagDisplayName(name),
                               command.name));
        return false;
    }
    return true;
}

} // namespace

int usageError(const std::string &text)
{
    fmt::print(stderr, "oriolelever: {}\n", text);
    return exitUsage;
}

int runCommandLine(std::string_view program, std::span<const Command> commands, int argc, char **argv)
{
    const auto line = parseCommandLine(argc, argv);
    if (!line.valid) {
        return exitUsage;
    }
    if (line.version) {
        fmt::print("{} {}\n", program, ORIOLELEVER_VERSION);
        return exitOk;
    }
    if (line.positional.empty()) {
        if (line.help) {
            printHelp(program, commands);
            return exitOk;
        }
        return usageError(fmt::format("no command given; try \"{} --help\"", program));
    }
    const auto &name = line.positional.front();
    const auto command
        = std::find_if(commands.begin(), commands.end(), [&](const Command &c) { return c.name == name; });
    if (command == commands.end()) {
        return usageError(fmt::format("command \"{}\" does not exist", name));
    }
    if (line.help) {
        printCommandHelp(program, *command);
        return exitOk;
    }
    if (!acceptsFlags(line, *command)) {
        return exitUsage;
    }
    return command->run(Arguments(line.positional).subspan(1));
}

} // namespace oriolelever
