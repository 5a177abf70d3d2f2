/// Service-level burn: how fast a service uses up the error budgets of its targets, computed from samples of
/// its requests.
#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "oriolelever/edit.h"
#include "oriolelever/histogram.h"
#include "oriolelever/model.h"

namespace oriolelever {

/// Requests of one service that ended from `begin` to `end`.
struct RequestSample
{
    WallTime begin{};
    WallTime end{};
    std::uint64_t requests = 0; ///< Without those that their callers cancelled.
    std::uint64_t unanswered = 0; ///< Refused, past the deadline or with an unknown outcome.
    LatencyHistogram latency; ///< Latencies of the answered requests.
};

/// Age at which samples are dropped; also the longest window.
constexpr std::chrono::hours sampleRetention{72};

/// Drops samples older than `sampleRetention` and merges old ones: into spans of 10 minutes after 2 hours,
/// into spans of an hour after 12 hours. About 250 samples remain.
void compactSamples(std::vector<RequestSample> &samples, WallTime now);

/// Adds the requests of `from` to `into` and extends its span to cover both.
void mergeSample(RequestSample &into, const RequestSample &from);

/// Sum of the samples that end after `now - window`.
RequestSample sumWindow(std::span<const RequestSample> samples, WallTime now, std::chrono::minutes window);

/// Encodes samples for the status document; `decodeSamples` ignores malformed ones.
nlohmann::json encodeSamples(std::span<const RequestSample> samples);
std::vector<RequestSample> decodeSamples(const nlohmann::json &json);

/// Target of a service: the fraction of requests that are answered, or the latency of the answers.
enum class ServiceLevelTarget { Availability, Latency };

std::string_view toString(ServiceLevelTarget target);

/// Burn rate of one target of a service over a window.
struct BurnRow
{
    std::string service; ///< Name of the service.
    ServiceLevelTarget target = ServiceLevelTarget::Availability;
    std::chrono::minutes window{};
    std::chrono::minutes covered{}; ///< Length of the part of the window that samples exist for.
    std::uint64_t requests = 0; ///< All requests for the availability, answered ones for the latency.
    std::uint64_t badCount = 0; ///< Requests that were unanswered or slower than the target.
    double errorBudget = 0; ///< Fraction of requests that may be bad.
    double burnRate = 0; ///< Fraction of bad requests divided by `errorBudget`; at 1 the window
                         ///< uses up the budget exactly.
    double shortBurnRate = 0; ///< Burn rate over the last twelfth of the window, at least a minute.
    bool isAlerting = false; ///< Both burn rates have reached `alertThreshold`.
};

/// Fraction of requests that may be slower than the latency target.
constexpr double latencyErrorBudget = 0.01;

/// Burn rate from which on a window alerts: 14.4 up to 1 hour, 6 up to 6 hours, 1 beyond. Over 1 hour, 6
/// hours and 3 days these use up 2, 5 and 10 percent of the error budget of 30 days.
double alertThreshold(std::chrono::minutes window);

/// Burn rates of both targets of one service over each window.
std::vector<BurnRow> burnRows(const ServiceRow &service, std::span<const RequestSample> samples,
                              std::span<const std::chrono::minutes> windows, WallTime now);

/// Parses windows such as "1h,6h,3d" or "30m"; empty if any is malformed or longer than `sampleRetention`.
std::vector<std::chrono::minutes> parseWindows(std::string_view text);
/// Formats a window in its largest whole unit, such as "6h".
std::string formatWindow(std::chrono::minutes window);

/// Samples of all agents of a service, by service name.
using ServiceSamples = std::map<std::string, std::vector<RequestSample>>;

/// Formats the rows as lines "service target window name: value".
std::string formatBurnText(std::span<const BurnRow> rows);
std::string formatBurnCsv(std::span<const BurnRow> rows);
/// Formats the rows as an HTML page with inline SVG plots, which loads nothing from the network.
std::string formatBurnHtml(std::span<const BurnRow> rows, std::span<const ServiceRow> services,
                           const ServiceSamples &samples);

} // namespace oriolelever
