#include "commands.h"

#include <csignal>

#include <absl/flags/flag.h>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <fmt/format.h>

#include "flags.h"
#include "platform-standin.h"

ABSL_FLAG(std::string, platform_token, "", "bearer token that calls to the stand-in need");

namespace oriolelever::lab {

namespace {

int runPlatform(Arguments arguments)
{
    if (!arguments.empty()) {
        return usageError(fmt::format("argument \"{}\" is not expected", arguments.front()));
    }
    Endpoint listen;
    if (!parseEndpoint(absl::GetFlag(FLAGS_listen), listen)) {
        return usageError(fmt::format("flag \"--listen\" does not allow \"{}\"; allowed: ADDRESS:PORT",
                                      absl::GetFlag(FLAGS_listen)));
    }
    try {
        const PlatformStandin standin({.address = toString(listen.address),
                                       .port = listen.port,
                                       .token = absl::GetFlag(FLAGS_platform_token)});
        fmt::print("listening: {}:{}\n", toString(listen.address), standin.port());
        std::fflush(stdout);
        asio::io_context context;
        asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([](const asio::error_code &, int) {});
        context.run();
        const auto counters = standin.counters();
        for (const auto &[name, count] : counters.items()) {
            fmt::print("platform {}: {}\n", name, count.get<std::uint64_t>());
        }
    } catch (const std::exception &error) {
        return usageError(fmt::format("flag \"--listen\" does not allow \"{}\": {}",
                                      absl::GetFlag(FLAGS_listen), error.what()));
    }
    return exitOk;
}

} // namespace

Command platformCommand()
{
    return {.name = "platform",
            .usage = "--listen ADDRESS:PORT",
            .summary = "Stand-in of the platform's object API, in memory.",
            .flags = {"listen", "platform_token"},
            .run = runPlatform};
}

} // namespace oriolelever::lab
