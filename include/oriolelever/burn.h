/// Service-level burn: samples of requests, windows over them, burn rates and error budgets.
#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "oriolelever/edit.h"
#include "oriolelever/histogram.h"
#include "oriolelever/model.h"

namespace oriolelever {

/// Requests of one service that ended within a span of time.
struct LevelSample
{
    WallTime begin{};
    WallTime end{};
    std::uint64_t requests = 0; ///< Without those that their callers cancelled.
    std::uint64_t unanswered = 0; ///< Refused, unknown or past the deadline.
    LatencyHistogram latency; ///< Of the answered ones.
};

constexpr std::chrono::hours sampleHistory{72};

/// Drops samples older than `sampleHistory` and merges old ones: into 10 minutes after 2 hours, into hours
/// after 12 hours. About 250 samples remain.
void compactSamples(std::vector<LevelSample> &samples, WallTime now);

/// Adds the requests of `from` to `into`, whose span grows to hold both.
void mergeSample(LevelSample &into, const LevelSample &from);

/// Sum of the samples that end after `now - window`.
LevelSample sumWindow(std::span<const LevelSample> samples, WallTime now, std::chrono::minutes window);

nlohmann::json encodeSamples(std::span<const LevelSample> samples);
std::vector<LevelSample> decodeSamples(const nlohmann::json &json);

enum class LevelTarget { Availability, Latency };

std::string_view toString(LevelTarget target);

/// How fast one target of a service uses up its error budget within a window.
struct BurnRow
{
    std::string service;
    LevelTarget target = LevelTarget::Availability;
    std::chrono::minutes window{};
    std::chrono::minutes covered{}; ///< Part of the window that samples exist for.
    std::uint64_t requests = 0;
    std::uint64_t bad = 0; ///< Unanswered or slower than the target.
    double budget = 0; ///< Fraction of requests that may be bad.
    double burn = 0; ///< Fraction of bad requests over `budget`; 1 uses the budget up exactly.
    double shortBurn = 0; ///< The same over a twelfth of the window.
    bool alerts = false; ///< Both exceed the threshold of the window.
};

/// Fraction of requests that may be slower than the latency target.
constexpr double latencyBudget = 0.01;

/// Burn rate above which a window alerts: 14.4 up to 1 hour, 6 up to 6 hours, 1 beyond.
double alertThreshold(std::chrono::minutes window);

/// Both targets of one service over each window.
std::vector<BurnRow> burnRows(const ServiceRow &service, std::span<const LevelSample> samples,
                              std::span<const std::chrono::minutes> windows, WallTime now);

/// Parses "1h,6h,3d" or "30m"; empty if any is wrong or longer than `sampleHistory`.
std::vector<std::chrono::minutes> parseWindows(std::string_view text);
/// "6h"
std::string windowText(std::chrono::minutes window);

/// Samples of every service, merged over its agents.
using ServiceSamples = std::map<std::string, std::vector<LevelSample>>;

std::string burnText(std::span<const BurnRow> rows);
std::string burnCsv(std::span<const BurnRow> rows);
/// One page with inline SVG plots that needs no network.
std::string burnHtml(std::span<const BurnRow> rows, std::span<const ServiceRow> services,
                     const ServiceSamples &samples);

} // namespace oriolelever
