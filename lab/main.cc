#include <array>

#include "commands.h"

int main(int argc, char **argv)
{
    const auto commands = std::to_array<oriolelever::Command>({
        oriolelever::lab::platformCommand(),
        oriolelever::lab::controlBytesCommand(),
        oriolelever::lab::driveCommand(),
        oriolelever::lab::serverCommand(),
        oriolelever::lab::summaryCommand(),
        oriolelever::lab::traceCommand(),
        oriolelever::lab::replayCommand(),
        oriolelever::lab::sweepCommand(),
        oriolelever::lab::requestsCommand(),
        oriolelever::lab::controlCommand(),
        oriolelever::lab::stabilityCommand(),
        oriolelever::lab::soakCommand(),
        oriolelever::lab::upgradeCommand(),
    });
    return oriolelever::runCommandLine("oriolelever-lab", commands, argc, argv);
}
