#include "oriolelever/commands.h"

#include <fmt/format.h>

#include "oriolelever/codes.h"

namespace oriolelever {

namespace {

int runCodes(Arguments arguments)
{
    if (!arguments.empty()) {
        return usageError(fmt::format("argument \"{}\" is not expected", arguments.front()));
    }
    for (const auto &row : codeTable()) {
        fmt::print("{:>3}  {:<24}  {}\n", static_cast<int>(row.code), row.name, row.meaning);
    }
    return exitOk;
}

} // namespace

Command codesCommand()
{
    return {.name = "codes", .usage = "", .summary = "Prints the numbered result codes.", .run = runCodes};
}

} // namespace oriolelever
