#include "oriolelever/burn.h"

#include <algorithm>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "oriolelever/table.h"

namespace oriolelever {

namespace {

constexpr int plotWidth = 640; ///< Pixels.
constexpr int plotHeight = 120; ///< Pixels.
constexpr double minPlotMaximum = 1.5; ///< Smallest burn rate at the top, so that the line at 1 is visible.

constexpr std::string_view pageHead = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 60em; }
table { border-collapse: collapse; }
td, th { border: 1px solid #999; padding: 0.2em 0.6em; text-align: right; }
td:first-child, td:nth-child(2) { text-align: left; }
.alert { background: #fcc; }
svg { border: 1px solid #999; display: block; margin-bottom: 1em; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
)";

std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        switch (c) {
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '&':
            escaped += "&amp;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

std::string burnTable(std::span<const BurnRow> rows)
{
    std::string html = "<table>\n<tr><th>service</th><th>target</th><th>window</th><th>covered</th>"
                       "<th>requests</th><th>bad</th><th>burn</th><th>budget left</th></tr>\n";
    for (const auto &row : rows) {
        html += fmt::format("<tr{}><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>"
                            "<td>{:.2f}</td><td>{:.1f} %</td></tr>\n",
                            row.isAlerting ? " class=\"alert\"" : "", escapeHtml(row.service),
                            toString(row.target), formatWindow(row.window), formatWindow(row.covered),
                            row.requests, row.badCount, row.burnRate, 100 * (1 - row.burnRate));
    }
    return html + "</table>\n";
}

struct PlotPoint
{
    WallTime when{}; ///< End of the sample.
    double burnRate = 0;
};

std::vector<PlotPoint> plotPoints(const ServiceRow &service, ServiceLevelTarget target,
                                  std::span<const RequestSample> samples)
{
    std::vector<PlotPoint> points;
    for (const auto &sample : samples) {
        const bool availability = target == ServiceLevelTarget::Availability;
        const auto requests = availability ? sample.requests : sample.latency.total;
        const auto badCount
            = availability ? sample.unanswered : countAbove(sample.latency, service.latencyTarget);
        const double errorBudget = availability ? 1 - service.availabilityTarget : latencyErrorBudget;
        const double fraction
            = requests == 0 ? 0 : static_cast<double>(badCount) / static_cast<double>(requests);
        points.push_back({sample.end, fraction / errorBudget});
    }
    return points;
}

// Plot of the burn rate of each sample over time, with a line at 1.
std::string plotBurnRate(const ServiceRow &service, ServiceLevelTarget target,
                         std::span<const RequestSample> samples)
{
    const auto points = plotPoints(service, target, samples);
    std::string html = fmt::format("<h2>{} {}</h2>\n", escapeHtml(service.name), toString(target));
    if (points.empty()) {
        return html + "<p>no samples</p>\n";
    }
    double plotMaximum = minPlotMaximum;
    for (const auto &point : points) {
        plotMaximum = std::max(plotMaximum, point.burnRate);
    }
    const auto first = points.front().when;
    const auto span = std::max(points.back().when - first, std::chrono::milliseconds(1));
    const auto plotY = [plotMaximum](double burnRate) {
        return plotHeight * (1 - burnRate / plotMaximum);
    };
    html
        += fmt::format("<svg width=\"{0}\" height=\"{1}\" viewBox=\"0 0 {0} {1}\">\n", plotWidth, plotHeight);
    html += fmt::format("<line x1=\"0\" x2=\"{0}\" y1=\"{1:.1f}\" y2=\"{1:.1f}\" stroke=\"#c00\"/>\n",
                        plotWidth, plotY(1));
    html += "<polyline fill=\"none\" stroke=\"#036\" points=\"";
    for (const auto &point : points) {
        const double x = plotWidth * static_cast<double>((point.when - first).count())
            / static_cast<double>(span.count());
        html += fmt::format("{:.1f},{:.1f} ", x, plotY(point.burnRate));
    }
    return html
        + fmt::format("\"/>\n<text x=\"4\" y=\"14\" font-size=\"12\">burn, top {:.1f}, red line 1</text>\n"
                      "</svg>\n",
                      plotMaximum);
}

} // namespace

std::string formatBurnText(std::span<const BurnRow> rows)
{
    std::string text;
    for (const auto &row : rows) {
        const auto prefix
            = fmt::format("{} {} {}", row.service, toString(row.target), formatWindow(row.window));
        text += fmt::format("{} requests: {}\n", prefix, row.requests);
        text += fmt::format("{} bad: {}\n", prefix, row.badCount);
        text += fmt::format("{} burn: {:.3f}\n", prefix, row.burnRate);
        text += fmt::format("{} budget left percent: {:.1f}\n", prefix, 100 * (1 - row.burnRate));
        text += fmt::format("{} covered minutes: {}\n", prefix, row.covered.count());
    }
    return text;
}

std::string formatBurnCsv(std::span<const BurnRow> rows)
{
    std::string text = csvLine({"service", "target", "window", "covered_minutes", "requests", "bad", "budget",
                                "burn", "short_burn", "alerts"});
    for (const auto &row : rows) {
        text += csvLine({row.service, std::string(toString(row.target)), formatWindow(row.window),
                         std::to_string(row.covered.count()), std::to_string(row.requests),
                         std::to_string(row.badCount), fmt::format("{:.6g}", row.errorBudget),
                         fmt::format("{:.3f}", row.burnRate), fmt::format("{:.3f}", row.shortBurnRate),
                         row.isAlerting ? "true" : "false"});
    }
    return text;
}

std::string formatBurnHtml(std::span<const BurnRow> rows, std::span<const ServiceRow> services,
                           const ServiceSamples &samples)
{
    std::string html(pageHead);
    html += burnTable(rows);
    for (const auto &service : services) {
        const auto found = samples.find(service.name);
        for (const auto target : {ServiceLevelTarget::Availability, ServiceLevelTarget::Latency}) {
            const std::span<const RequestSample> noSamples;
            html += plotBurnRate(service, target,
                                 found == samples.end() ? noSamples : std::span(found->second));
        }
    }
    return html + "</body>\n</html>\n";
}

} // namespace oriolelever
