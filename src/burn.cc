#include "oriolelever/burn.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace oriolelever {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr std::chrono::hours rawSampleAge{2};
constexpr std::chrono::hours mediumSampleAge{12};
constexpr std::chrono::minutes mediumSampleSpan{10};
constexpr std::chrono::minutes coarseSampleSpan{60};
constexpr int shortWindowDivisor = 12;

// Span into which samples of this age are merged; 0 keeps them as they are.
std::chrono::minutes mergedSpanForAge(std::chrono::milliseconds age)
{
    if (age <= rawSampleAge) {
        return std::chrono::minutes(0);
    }
    return age <= mediumSampleAge ? mediumSampleSpan : coarseSampleSpan;
}

// True if both samples begin in the same multiple of `span` since 1970.
bool isInSameSpan(const RequestSample &a, const RequestSample &b, std::chrono::minutes span)
{
    if (span == std::chrono::minutes(0)) {
        return false;
    }
    const std::chrono::milliseconds width = span;
    return a.begin.time_since_epoch() / width == b.begin.time_since_epoch() / width;
}

std::uint64_t countBadRequests(const RequestSample &sample, ServiceLevelTarget target,
                               const ServiceRow &service)
{
    if (target == ServiceLevelTarget::Availability) {
        return sample.unanswered;
    }
    return countAbove(sample.latency, service.latencyTarget);
}

// Number of requests that the target applies to: all, or the answered ones for the latency.
std::uint64_t countEligibleRequests(const RequestSample &sample, ServiceLevelTarget target)
{
    return target == ServiceLevelTarget::Availability ? sample.requests : sample.latency.total;
}

// Fraction of bad requests divided by the error budget.
double computeBurnRate(std::uint64_t badCount, std::uint64_t requests, double errorBudget)
{
    if (requests == 0) {
        return 0;
    }
    return static_cast<double>(badCount) / static_cast<double>(requests) / errorBudget;
}

BurnRow burnRow(const ServiceRow &service, ServiceLevelTarget target, std::span<const RequestSample> samples,
                std::chrono::minutes window, WallTime now)
{
    const auto longWindowSum = sumWindow(samples, now, window);
    const auto shortWindowSum = sumWindow(samples, now, std::max(1min, window / shortWindowDivisor));
    BurnRow row{.service = service.name, .target = target, .window = window};
    row.errorBudget
        = target == ServiceLevelTarget::Availability ? 1 - service.availabilityTarget : latencyErrorBudget;
    row.requests = countEligibleRequests(longWindowSum, target);
    row.badCount = countBadRequests(longWindowSum, target, service);
    row.burnRate = computeBurnRate(row.badCount, row.requests, row.errorBudget);
    row.shortBurnRate = computeBurnRate(countBadRequests(shortWindowSum, target, service),
                                        countEligibleRequests(shortWindowSum, target), row.errorBudget);
    row.covered = std::min(
        window, std::chrono::duration_cast<std::chrono::minutes>(longWindowSum.end - longWindowSum.begin));
    const double threshold = alertThreshold(window);
    row.isAlerting = row.burnRate >= threshold && row.shortBurnRate >= threshold;
    return row;
}

bool parseWindow(std::string_view text, std::chrono::minutes &out)
{
    std::uint32_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc{} || end + 1 != text.data() + text.size() || count == 0 || count > 100'000) {
        return false;
    }
    switch (*end) {
    case 'm':
        out = std::chrono::minutes(count);
        break;
    case 'h':
        out = std::chrono::hours(count);
        break;
    case 'd':
        out = std::chrono::hours(24 * count);
        break;
    default:
        return false;
    }
    return out <= sampleRetention;
}

} // namespace

void mergeSample(RequestSample &into, const RequestSample &from)
{
    const bool empty = into.begin == into.end;
    into.begin = empty ? from.begin : std::min(into.begin, from.begin);
    into.end = std::max(into.end, from.end);
    into.requests += from.requests;
    into.unanswered += from.unanswered;
    merge(into.latency, from.latency);
}

void compactSamples(std::vector<RequestSample> &samples, WallTime now)
{
    std::vector<RequestSample> compacted;
    for (auto &sample : samples) {
        const auto age = now - sample.end;
        if (age > sampleRetention) {
            continue;
        }
        if (!compacted.empty() && isInSameSpan(compacted.back(), sample, mergedSpanForAge(age))) {
            mergeSample(compacted.back(), sample);
            continue;
        }
        compacted.push_back(std::move(sample));
    }
    samples = std::move(compacted);
}

RequestSample sumWindow(std::span<const RequestSample> samples, WallTime now, std::chrono::minutes window)
{
    RequestSample sum;
    for (const auto &sample : samples) {
        if (sample.end > now - window) {
            mergeSample(sum, sample);
        }
    }
    return sum;
}

nlohmann::json encodeSamples(std::span<const RequestSample> samples)
{
    auto json = Json::array();
    for (const auto &sample : samples) {
        json.push_back({{"begin_ms", sample.begin.time_since_epoch().count()},
                        {"end_ms", sample.end.time_since_epoch().count()},
                        {"requests", sample.requests},
                        {"unanswered", sample.unanswered},
                        {"latency", encodeHistogram(sample.latency)}});
    }
    return json;
}

std::vector<RequestSample> decodeSamples(const nlohmann::json &json)
{
    std::vector<RequestSample> samples;
    if (!json.is_array()) {
        return samples;
    }
    for (const auto &item : json) {
        try {
            samples.push_back({.begin = WallTime(std::chrono::milliseconds(item.at("begin_ms"))),
                               .end = WallTime(std::chrono::milliseconds(item.at("end_ms"))),
                               .requests = item.at("requests"),
                               .unanswered = item.at("unanswered"),
                               .latency = decodeHistogram(item.at("latency"))});
        } catch (const Json::exception &) {
            continue;
        }
    }
    return samples;
}

std::string_view toString(ServiceLevelTarget target)
{
    return target == ServiceLevelTarget::Availability ? "availability" : "latency";
}

double alertThreshold(std::chrono::minutes window)
{
    if (window <= 1h) {
        return 14.4;
    }
    return window <= 6h ? 6 : 1;
}

std::vector<BurnRow> burnRows(const ServiceRow &service, std::span<const RequestSample> samples,
                              std::span<const std::chrono::minutes> windows, WallTime now)
{
    std::vector<BurnRow> rows;
    for (const auto target : {ServiceLevelTarget::Availability, ServiceLevelTarget::Latency}) {
        for (const auto window : windows) {
            rows.push_back(burnRow(service, target, samples, window, now));
        }
    }
    return rows;
}

std::vector<std::chrono::minutes> parseWindows(std::string_view text)
{
    std::vector<std::chrono::minutes> windows;
    while (true) {
        const auto comma = text.find(',');
        std::chrono::minutes window{};
        if (!parseWindow(text.substr(0, comma), window)) {
            return {};
        }
        windows.push_back(window);
        if (comma == std::string_view::npos) {
            return windows;
        }
        text = text.substr(comma + 1);
    }
}

std::string formatWindow(std::chrono::minutes window)
{
    constexpr std::chrono::hours day{24};
    if (window % day == 0min) {
        return fmt::format("{}d", window / day);
    }
    return window % 1h == 0min ? fmt::format("{}h", window / 1h) : fmt::format("{}m", window.count());
}

} // namespace oriolelever
