/// Latency histogram with logarithmic buckets.
#pragma once

#include <cstdint>
#include <map>

#include <nlohmann/json.hpp>

#include "oriolelever/types.h"

namespace oriolelever {

/// Counts of latencies. Buckets are at most 1/16 wide relative to their value, there is no upper end, and the
/// largest latency is kept exactly, so that merging loses no tail.
struct LatencyHistogram
{
    std::map<std::uint32_t, std::uint64_t> counts; ///< By bucket; empty buckets are absent.
    std::uint64_t total = 0;
    std::chrono::microseconds largest{0};

    bool operator==(const LatencyHistogram &) const = default;
};

/// Bucket of a latency and the smallest latency of a bucket.
std::uint32_t bucketOf(std::chrono::microseconds latency);
std::chrono::microseconds bucketBegin(std::uint32_t bucket);

void record(LatencyHistogram &histogram, std::chrono::microseconds latency);
void merge(LatencyHistogram &into, const LatencyHistogram &from);

/// Upper bound of the latency that a fraction `quantile` of all does not exceed; zero without latencies.
std::chrono::microseconds quantileOf(const LatencyHistogram &histogram, double quantile);

/// Latencies above `limit`; a bucket that spans the limit counts as above it.
std::uint64_t countAbove(const LatencyHistogram &histogram, std::chrono::microseconds limit);

nlohmann::json encodeHistogram(const LatencyHistogram &histogram);
/// Skips what it cannot read.
LatencyHistogram decodeHistogram(const nlohmann::json &json);

} // namespace oriolelever
