#pragma once

#include "jujubetide/base/units.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace jujubetide {

/// Counts of latencies in buckets whose bounds grow by the fourth root of two, from 1 ms on.
class latency_histogram {
public:
    static constexpr std::size_t bucket_count = 64;
    using buckets = std::array<std::uint32_t, bucket_count>;

    void add(micros latency);
    void add_bucket(std::size_t bucket, std::uint32_t count) { counts_.at(bucket) += count; }
    /// Takes the larger count of each bucket.
    void join(const latency_histogram& other);
    void sum(const latency_histogram& other);
    [[nodiscard]] const buckets& counts() const { return counts_; }
    [[nodiscard]] std::uint64_t total() const;
    /// Latencies in `bucket` and above.
    [[nodiscard]] std::uint64_t from_bucket(std::size_t bucket) const;
    /// The histogram of all latencies divided by 2^(places/4).
    [[nodiscard]] latency_histogram shifted_down(std::size_t places) const;

    friend bool operator==(const latency_histogram&, const latency_histogram&) = default;

private:
    buckets counts_{};
};

} // namespace jujubetide
