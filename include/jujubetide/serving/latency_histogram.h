#pragma once

#include "jujubetide/base/units.h"

#include <array>
#include <cstddef>

namespace jujubetide {

/// Distribution of recent latencies in buckets that grow by a fixed factor; old samples lose their
/// weight. Not thread-safe.
class latency_histogram {
public:
    /// The weight of a sample halves in this time.
    static constexpr micros half_life{30'000'000};

    void add(micros latency, time_point now);
    /// Adds a sample of which only a lower bound is known.
    void add_at_least(micros elapsed, time_point now);
    /// Sum of the samples' weights.
    [[nodiscard]] double weight() const { return weight_; }
    /// The upper bound of the bucket with the quantile, which is between 0 and 1; 0 if empty.
    [[nodiscard]] micros quantile(double share) const;
    /// Mean time beyond `elapsed` of the samples above it; 0 if there are none.
    [[nodiscard]] micros mean_rest(micros elapsed) const;

private:
    static constexpr std::size_t bucket_count = 80;

    static std::size_t bucket_of(micros latency);
    static micros upper_bound(std::size_t bucket);
    void decay(time_point now);

    std::array<double, bucket_count> buckets_{};
    double weight_ = 0.0;
    time_point decayed_at_{};
};

} // namespace jujubetide
