#include "oriolelever/commands.h"

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include "oriolelever/daemon.h"
#include "oriolelever/flags.h"

namespace oriolelever {

namespace {

int run(Arguments arguments, NodeRole role)
{
    if (!arguments.empty()) {
        return usageError(fmt::format("argument \"{}\" is not expected", arguments.front()));
    }
    const auto file = absl::GetFlag(FLAGS_config);
    if (file.empty()) {
        return usageError("flag \"--config\" is missing; it names the settings file");
    }
    return runDaemon(file, role);
}

int runBalancer(Arguments arguments)
{
    return run(arguments, NodeRole::Balancer);
}

int runAgent(Arguments arguments)
{
    return run(arguments, NodeRole::Agent);
}

} // namespace

Command balancerCommand()
{
    return {.name = "balancer",
            .usage = "",
            .summary = "Runs a balancer on an entry host until SIGTERM.",
            .flags = {"config"},
            .run = runBalancer};
}

Command agentCommand()
{
    return {.name = "agent",
            .usage = "",
            .summary = "Runs an agent beside a backend server until SIGTERM.",
            .flags = {"config"},
            .run = runAgent};
}

} // namespace oriolelever
