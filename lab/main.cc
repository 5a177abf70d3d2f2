#include <span>

#include "oriolelever/cli.h"

int main(int argc, char **argv)
{
    const std::span<const oriolelever::Command> commands;
    return oriolelever::runCommandLine("oriolelever-lab", commands, argc, argv);
}
