/// Latency histogram whose buckets grow with the latency.
#pragma once

#include <cstdint>
#include <map>

#include <nlohmann/json.hpp>

#include "oriolelever/types.h"

namespace oriolelever {

/// Counts latencies by histogram bucket. The width of a bucket is at most 1/16 of its values, but never below
/// 1 us. There is no upper limit and the largest latency is kept exactly, so that merging does not lose
/// outliers.
struct LatencyHistogram
{
    std::map<std::uint32_t, std::uint64_t> counts; ///< By histogram bucket; empty buckets are absent.
    std::uint64_t total = 0; ///< Number of latencies recorded.
    std::chrono::microseconds largest{0};

    bool operator==(const LatencyHistogram &) const = default;
};

/// Histogram bucket of a latency.
std::uint32_t histogramBucketOf(std::chrono::microseconds latency);
/// Smallest latency of a histogram bucket.
std::chrono::microseconds histogramBucketBegin(std::uint32_t bucket);

void record(LatencyHistogram &histogram, std::chrono::microseconds latency);
void merge(LatencyHistogram &into, const LatencyHistogram &from);

/// Upper bound of the latency that a fraction `quantile` (0 to 1) of all latencies does not exceed; zero if
/// the histogram is empty.
std::chrono::microseconds quantileOf(const LatencyHistogram &histogram, double quantile);

/// Number of latencies above `limit`. All latencies of a histogram bucket that contains the limit and larger
/// values count as above it.
std::uint64_t countAbove(const LatencyHistogram &histogram, std::chrono::microseconds limit);

nlohmann::json encodeHistogram(const LatencyHistogram &histogram);
/// Ignores entries that are malformed.
LatencyHistogram decodeHistogram(const nlohmann::json &json);

} // namespace oriolelever
