/// Command line with subcommands and Abseil flags.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace oriolelever {

constexpr int exitOk = 0;
constexpr int exitOutcomeMissed = 1; ///< The command ran, but did not have the outcome that it requires.
constexpr int exitUsage = 2; ///< Wrong arguments or settings.

/// Arguments of a command after its name, without flags.
using Arguments = std::span<const std::string>;

/// One subcommand.
struct Command
{
    std::string_view name;
    std::string_view usage; ///< Arguments, as shown by --help.
    std::string_view summary; ///< One line.
    std::vector<std::string_view> flags; ///< Names of the Abseil flags that the command reads.
    int (*run)(Arguments arguments) = nullptr;
};

/// Sets the flags of Abseil's registry from the arguments, handles --help and --version, and runs the named
/// command. Returns the exit status; a wrong call prints one line that names the argument at fault and
/// returns `exitUsage`.
int runCommandLine(std::string_view program, std::span<const Command> commands, int argc, char **argv);

/// Prints "oriolelever: text" to standard error and returns `exitUsage`.
int usageError(const std::string &text);

} // namespace oriolelever
