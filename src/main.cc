#include <array>

#include "oriolelever/commands.h"

int main(int argc, char **argv)
{
    const auto commands = std::to_array<oriolelever::Command>({
        oriolelever::agentCommand(),
        oriolelever::balancerCommand(),
        oriolelever::burnCommand(),
        oriolelever::checkCommand(),
        oriolelever::codesCommand(),
        oriolelever::drainCommand(),
        oriolelever::explainCommand(),
        oriolelever::setCommand(),
        oriolelever::settingsCommand(),
        oriolelever::statusCommand(),
        oriolelever::tableCommand(),
        oriolelever::tokenCommand(),
        oriolelever::undrainCommand(),
        oriolelever::zoneCommand(),
    });
    return oriolelever::runCommandLine("oriolelever", commands, argc, argv);
}
