#include "commands.h"

#include <atomic>
#include <csignal>
#include <map>
#include <set>
#include <thread>

#include <absl/flags/flag.h>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include "flags.h"
#include "http-server.h"
#include "oriolelever/log.h"
#include "packet-server.h"
#include "report.h"

ABSL_FLAG(std::string, name, "server-1", "name of the backend server");
ABSL_FLAG(std::string, service, "sportello", "name of its service");
ABSL_FLAG(std::string, zone, "zone-1", "its availability zone");
ABSL_FLAG(std::string, address, "192.0.2.10:443", "virtual address and port of its service");
ABSL_FLAG(std::string, protocol, "tcp", "tcp or udp");
ABSL_FLAG(std::string, requests, "127.0.0.1:0", "where it takes HTTP requests");
ABSL_FLAG(int, slots, 2, "requests that it runs at once");
ABSL_FLAG(std::string, report, "", "file for the figures; empty is standard output");

namespace oriolelever::lab {

namespace {

constexpr std::chrono::milliseconds sampleTime{100};

std::int64_t wallMillis(WallSlot slot)
{
    return slot * wallSlotTime.count();
}

// Open flows by slot, sampled while the server runs.
using OpenSamples = std::map<WallSlot, std::size_t>;

void sample(const PacketServer &server, asio::steady_timer &timer, OpenSamples &samples)
{
    timer.expires_after(sampleTime);
    timer.async_wait([&](const asio::error_code &error) {
        if (error) {
            return;
        }
        samples[wallSlotOf(std::chrono::system_clock::now())] = server.figures().flowsOpen;
        sample(server, timer, samples);
    });
}

void writePackets(ReportWriter &report, const PacketServerFigures &figures, const OpenSamples &samples)
{
    report.line(fmt::format("server {} {} {}", absl::GetFlag(FLAGS_name), absl::GetFlag(FLAGS_service),
                            absl::GetFlag(FLAGS_zone)));
    std::set<WallSlot> slots;
    for (const auto &entry : figures.packetsBySlot) {
        slots.insert(entry.first);
    }
    for (const auto &entry : samples) {
        slots.insert(entry.first);
    }
    std::size_t open = 0;
    for (const auto slot : slots) {
        const auto packets = figures.packetsBySlot.find(slot);
        const auto opened = figures.flowsBySlot.find(slot);
        const auto sampled = samples.find(slot);
        open = sampled == samples.end() ? open : sampled->second;
        report.line(fmt::format("slot {} {} {} {}", wallMillis(slot),
                                packets == figures.packetsBySlot.end() ? 0 : packets->second,
                                opened == figures.flowsBySlot.end() ? 0 : opened->second, open));
    }
    report.figure("packets to wrong service", figures.packetsToWrongService);
}

void writeRuns(ReportWriter &report, const RunLedger &ledger)
{
    for (const auto &[key, count] : runsOf(ledger)) {
        report.line(fmt::format("run {} {}", key, count));
    }
}

int runServer(Arguments arguments)
{
    if (!arguments.empty()) {
        return usageError(fmt::format("argument \"{}\" is not expected", arguments.front()));
    }
    initLogging(LogLevel::Warn);
    PacketServerOptions options{.name = absl::GetFlag(FLAGS_name)};
    if (!parseEndpoint(absl::GetFlag(FLAGS_listen), options.listen)) {
        return usageError(
            fmt::format("flag \"--listen\" does not allow \"{}\"", absl::GetFlag(FLAGS_listen)));
    }
    if (!parseEndpoint(absl::GetFlag(FLAGS_address), options.service)) {
        return usageError(
            fmt::format("flag \"--address\" does not allow \"{}\"", absl::GetFlag(FLAGS_address)));
    }
    options.protocol = absl::GetFlag(FLAGS_protocol) == "udp" ? Protocol::Udp : Protocol::Tcp;
    HttpServerOptions httpOptions{.slots = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_slots)),
                                  .seed = absl::GetFlag(FLAGS_seed)};
    if (!parseEndpoint(absl::GetFlag(FLAGS_requests), httpOptions.listen)) {
        return usageError(
            fmt::format("flag \"--requests\" does not allow \"{}\"", absl::GetFlag(FLAGS_requests)));
    }
    const auto ledger = makeRunLedger();
    HttpServer http(httpOptions, ledger);
    if (!http.start()) {
        return usageError(fmt::format("address \"{}\" is in use", absl::GetFlag(FLAGS_requests)));
    }
    PacketServer server(options);
    return handleError(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(server.start());
            asio::io_context context;
            asio::signal_set signals(context, SIGTERM, SIGINT);
            asio::steady_timer timer(context);
            OpenSamples samples;
            signals.async_wait([&](const asio::error_code &, int) { context.stop(); });
            sample(server, timer, samples);
            context.run();
            server.stop();
            http.stop();
            ReportWriter report(absl::GetFlag(FLAGS_report));
            writePackets(report, server.figures(), samples);
            writeRuns(report, *ledger);
            return exitOk;
        },
        [](const Error &error) { return usageError(error.text); });
}

} // namespace

Command serverCommand()
{
    return {.name = "server",
            .usage = "",
            .summary = "Emulates a backend server until SIGTERM, then writes what it saw.",
            .flags = {"name", "service", "zone", "address", "protocol", "listen", "requests", "slots", "seed",
                      "report"},
            .run = runServer};
}

} // namespace oriolelever::lab
