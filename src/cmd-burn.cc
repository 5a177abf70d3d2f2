#include "oriolelever/commands.h"

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include "oriolelever/flags.h"
#include "oriolelever/levels.h"
#include "oriolelever/operator.h"

ABSL_FLAG(std::string, window, "1h,6h,3d", "windows, such as 30m, 6h or 3d, separated by commas");

namespace oriolelever {

namespace {

constexpr std::chrono::milliseconds statusTimeout{2000};

Answer<std::vector<ServiceRow>> readServices(Operator &session)
{
    const auto list = session.wait<ObjectList>(
        [&](Done<ObjectList> done) { session.api().list("service", std::move(done)); });
    if (!list) {
        return list.error();
    }
    std::vector<ServiceRow> services;
    for (const auto &object : list.value().objects) {
        handleError(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(row, decodeServiceRow(object.value.dump()));
                services.push_back(std::move(row));
                return {};
            },
            [](const Error &error) { reportError(error); });
    }
    return services;
}

std::string render(const std::string &format, const std::vector<BurnRow> &rows,
                   const std::vector<ServiceRow> &services, const ServiceSamples &samples)
{
    if (format == "csv") {
        return formatBurnCsv(rows);
    }
    return format == "html" ? formatBurnHtml(rows, services, samples) : formatBurnText(rows);
}

int reportAlerts(const std::vector<BurnRow> &rows)
{
    int status = exitOk;
    for (const auto &row : rows) {
        if (!row.isAlerting) {
            continue;
        }
        usageError(
            fmt::format("{} of service \"{}\" burns {:.1f} times its budget over {}; allowed: below {}",
                        toString(row.target), row.service, row.burnRate, formatWindow(row.window),
                        alertThreshold(row.window)));
        status = exitOutcomeMissed;
    }
    return status;
}

int runBurn(Arguments arguments)
{
    if (!arguments.empty()) {
        return usageError(fmt::format("argument \"{}\" is not expected", arguments.front()));
    }
    const auto windows = parseWindows(absl::GetFlag(FLAGS_window));
    if (windows.empty()) {
        return usageError(fmt::format("flag \"--window\" does not allow \"{}\"; allowed: numbers with m, h "
                                      "or d, up to 3d, separated by commas",
                                      absl::GetFlag(FLAGS_window)));
    }
    const auto format = absl::GetFlag(FLAGS_format);
    if (format != "text" && format != "csv" && format != "html") {
        return usageError(
            fmt::format("flag \"--format\" does not allow \"{}\"; allowed: text, csv or html", format));
    }
    const auto settings = operatorSettings();
    if (!settings) {
        return exitUsage;
    }
    Operator session(*settings);
    const auto services = readServices(session);
    if (!services) {
        return reportError(services.error());
    }
    std::vector<nlohmann::json> statuses;
    for (auto &process : readStatuses(*settings, statusTimeout)) {
        statuses.push_back(std::move(process.status));
    }
    const auto samples = collectSamples(statuses);
    const auto now
        = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    std::vector<BurnRow> rows;
    for (const auto &service : services.value()) {
        const auto found = samples.find(service.name);
        const std::span<const RequestSample> noSamples;
        for (auto &row :
             burnRows(service, found == samples.end() ? noSamples : std::span(found->second), windows, now)) {
            rows.push_back(std::move(row));
        }
    }
    fmt::print("{}", render(format, rows, services.value(), samples));
    return reportAlerts(rows);
}

} // namespace

Command burnCommand()
{
    return {.name = "burn",
            .usage = "",
            .summary = "Service-level burn per service and target.",
            .flags = {"config", "window", "format"},
            .run = runBurn};
}

} // namespace oriolelever
