#include "oriolelever/burn.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace oriolelever {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr std::chrono::hours fineHistory{2};
constexpr std::chrono::hours middleHistory{12};
constexpr std::chrono::minutes middleSpan{10};
constexpr std::chrono::minutes coarseSpan{60};
constexpr int shortWindowDivisor = 12;

std::chrono::minutes spanAt(std::chrono::milliseconds age)
{
    if (age <= fineHistory) {
        return std::chrono::minutes(0);
    }
    return age <= middleHistory ? middleSpan : coarseSpan;
}

bool shareSpan(const LevelSample &a, const LevelSample &b, std::chrono::minutes span)
{
    if (span == std::chrono::minutes(0)) {
        return false;
    }
    const std::chrono::milliseconds width = span;
    return a.begin.time_since_epoch() / width == b.begin.time_since_epoch() / width;
}

std::uint64_t badRequests(const LevelSample &sample, LevelTarget target, const ServiceRow &service)
{
    if (target == LevelTarget::Availability) {
        return sample.unanswered;
    }
    return countAbove(sample.latency, service.latencyTarget);
}

// Requests that the target speaks of: all, or the answered ones.
std::uint64_t countedRequests(const LevelSample &sample, LevelTarget target)
{
    return target == LevelTarget::Availability ? sample.requests : sample.latency.total;
}

double burnOf(std::uint64_t bad, std::uint64_t requests, double budget)
{
    if (requests == 0) {
        return 0;
    }
    return static_cast<double>(bad) / static_cast<double>(requests) / budget;
}

BurnRow burnRow(const ServiceRow &service, LevelTarget target, std::span<const LevelSample> samples,
                std::chrono::minutes window, WallTime now)
{
    const auto whole = sumWindow(samples, now, window);
    const auto part = sumWindow(samples, now, std::max(1min, window / shortWindowDivisor));
    BurnRow row{.service = service.name, .target = target, .window = window};
    row.budget = target == LevelTarget::Availability ? 1 - service.availabilityTarget : latencyBudget;
    row.requests = countedRequests(whole, target);
    row.bad = badRequests(whole, target, service);
    row.burn = burnOf(row.bad, row.requests, row.budget);
    row.shortBurn = burnOf(badRequests(part, target, service), countedRequests(part, target), row.budget);
    row.covered = std::min(window, std::chrono::duration_cast<std::chrono::minutes>(whole.end - whole.begin));
    const double threshold = alertThreshold(window);
    row.alerts = row.burn >= threshold && row.shortBurn >= threshold;
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
    return out <= sampleHistory;
}

} // namespace

void mergeSample(LevelSample &into, const LevelSample &from)
{
    const bool empty = into.begin == into.end;
    into.begin = empty ? from.begin : std::min(into.begin, from.begin);
    into.end = std::max(into.end, from.end);
    into.requests += from.requests;
    into.unanswered += from.unanswered;
    merge(into.latency, from.latency);
}

void compactSamples(std::vector<LevelSample> &samples, WallTime now)
{
    std::vector<LevelSample> kept;
    for (auto &sample : samples) {
        const auto age = now - sample.end;
        if (age > sampleHistory) {
            continue;
        }
        if (!kept.empty() && shareSpan(kept.back(), sample, spanAt(age))) {
            mergeSample(kept.back(), sample);
            continue;
        }
        kept.push_back(std::move(sample));
    }
    samples = std::move(kept);
}

LevelSample sumWindow(std::span<const LevelSample> samples, WallTime now, std::chrono::minutes window)
{
    LevelSample sum;
    for (const auto &sample : samples) {
        if (sample.end > now - window) {
            mergeSample(sum, sample);
        }
    }
    return sum;
}

nlohmann::json encodeSamples(std::span<const LevelSample> samples)
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

std::vector<LevelSample> decodeSamples(const nlohmann::json &json)
{
    std::vector<LevelSample> samples;
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

std::string_view toString(LevelTarget target)
{
    return target == LevelTarget::Availability ? "availability" : "latency";
}

double alertThreshold(std::chrono::minutes window)
{
    if (window <= 1h) {
        return 14.4;
    }
    return window <= 6h ? 6 : 1;
}

std::vector<BurnRow> burnRows(const ServiceRow &service, std::span<const LevelSample> samples,
                              std::span<const std::chrono::minutes> windows, WallTime now)
{
    std::vector<BurnRow> rows;
    for (const auto target : {LevelTarget::Availability, LevelTarget::Latency}) {
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

std::string windowText(std::chrono::minutes window)
{
    constexpr std::chrono::hours day{24};
    if (window % day == 0min) {
        return fmt::format("{}d", window / day);
    }
    return window % 1h == 0min ? fmt::format("{}h", window / 1h) : fmt::format("{}m", window.count());
}

} // namespace oriolelever
