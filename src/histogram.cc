#include "oriolelever/histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace oriolelever {

namespace {

constexpr std::uint32_t subBucketBits = 4; ///< Each power of two has 2^subBucketBits histogram buckets.
constexpr std::uint32_t subBuckets = 1U << subBucketBits;
constexpr std::uint32_t maxShift = 63 - subBucketBits; ///< Of buckets beyond all positive latencies.

} // namespace

std::uint32_t histogramBucketOf(std::chrono::microseconds latency)
{
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(latency.count(), 0));
    if (value < subBuckets) {
        return static_cast<std::uint32_t>(value);
    }
    const auto shift = static_cast<std::uint32_t>(std::bit_width(value)) - 1 - subBucketBits;
    return (shift + 1) * subBuckets + static_cast<std::uint32_t>((value >> shift) - subBuckets);
}

std::chrono::microseconds histogramBucketBegin(std::uint32_t bucket)
{
    if (bucket < subBuckets) {
        return std::chrono::microseconds(bucket);
    }
    const std::uint32_t shift = bucket / subBuckets - 1;
    // The bucket after the last one would begin at 2^63.
    if (shift >= maxShift) {
        return std::chrono::microseconds::max();
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(bucket % subBuckets + subBuckets) << shift);
}

void record(LatencyHistogram &histogram, std::chrono::microseconds latency)
{
    ++histogram.counts[histogramBucketOf(latency)];
    ++histogram.total;
    histogram.largest = std::max(histogram.largest, latency);
}

void merge(LatencyHistogram &into, const LatencyHistogram &from)
{
    for (const auto &[bucket, count] : from.counts) {
        into.counts[bucket] += count;
    }
    into.total += from.total;
    into.largest = std::max(into.largest, from.largest);
}

std::chrono::microseconds quantileOf(const LatencyHistogram &histogram, double quantile)
{
    const auto rank = static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(histogram.total)));
    std::uint64_t cumulativeCount = 0;
    for (const auto &[bucket, count] : histogram.counts) {
        cumulativeCount += count;
        if (cumulativeCount >= rank) {
            return std::min(histogram.largest,
                            histogramBucketBegin(bucket + 1) - std::chrono::microseconds(1));
        }
    }
    return histogram.largest;
}

std::uint64_t countAbove(const LatencyHistogram &histogram, std::chrono::microseconds limit)
{
    std::uint64_t above = 0;
    for (auto entry = histogram.counts.rbegin(); entry != histogram.counts.rend(); ++entry) {
        const auto last = std::min(histogram.largest,
                                   histogramBucketBegin(entry->first + 1) - std::chrono::microseconds(1));
        if (last <= limit) {
            break;
        }
        above += entry->second;
    }
    return above;
}

nlohmann::json encodeHistogram(const LatencyHistogram &histogram)
{
    auto counts = nlohmann::json::array();
    for (const auto &[bucket, count] : histogram.counts) {
        counts.push_back({bucket, count});
    }
    return {{"counts", counts}, {"largest_us", histogram.largest.count()}};
}

LatencyHistogram decodeHistogram(const nlohmann::json &json)
{
    // The histogram buckets of all positive 64-bit latencies are below this.
    constexpr std::uint32_t maxBucket = 60 * subBuckets;
    LatencyHistogram histogram;
    if (!json.is_object() || !json.contains("counts") || !json["counts"].is_array()) {
        return histogram;
    }
    for (const auto &item : json["counts"]) {
        const bool pair = item.is_array() && item.size() == 2 && item[0].is_number_unsigned()
            && item[1].is_number_unsigned();
        if (!pair || item[0].get<std::uint64_t>() >= maxBucket) {
            continue;
        }
        histogram.counts[item[0].get<std::uint32_t>()] += item[1].get<std::uint64_t>();
        histogram.total += item[1].get<std::uint64_t>();
    }
    if (json.contains("largest_us") && json["largest_us"].is_number_integer()) {
        histogram.largest = std::chrono::microseconds(json["largest_us"].get<std::int64_t>());
    }
    return histogram;
}

} // namespace oriolelever
