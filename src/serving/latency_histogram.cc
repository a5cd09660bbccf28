#include "jujubetide/serving/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jujubetide {
namespace {

/// Upper bound of the first bucket, and buckets for each doubling: the last one begins at 100 s.
constexpr double first_bound_us = 100.0;
constexpr double buckets_per_doubling = 4.0;
/// Time between two decays.
constexpr micros decay_period{1'000'000};

} // namespace

std::size_t latency_histogram::bucket_of(micros latency) {
    const double ratio = std::max(1.0, static_cast<double>(latency.count()) / first_bound_us);
    const double place = std::ceil(buckets_per_doubling * std::log2(ratio) - 1e-9);
    return std::min(bucket_count - 1, static_cast<std::size_t>(std::max(0.0, place)));
}

micros latency_histogram::upper_bound(std::size_t bucket) {
    return micros(std::llround(first_bound_us *
                               std::exp2(static_cast<double>(bucket) / buckets_per_doubling)));
}

void latency_histogram::decay(time_point now) {
    if (weight_ == 0.0) {
        decayed_at_ = now;
        return;
    }
    const micros age = now - decayed_at_;
    if (age < decay_period) {
        return;
    }
    const double factor = std::exp2(-std::chrono::duration<double>(age).count() /
                                    std::chrono::duration<double>(half_life).count());
    for (double& bucket : buckets_) {
        bucket *= factor;
    }
    weight_ *= factor;
    decayed_at_ = now;
}

void latency_histogram::add(micros latency, time_point now) {
    decay(now);
    buckets_[bucket_of(latency)] += 1.0;
    weight_ += 1.0;
}

void latency_histogram::add_at_least(micros elapsed, time_point now) {
    decay(now);
    const auto first = buckets_.begin() + static_cast<std::ptrdiff_t>(bucket_of(elapsed));
    const double above = std::accumulate(first, buckets_.end(), 0.0);
    // The sample is spread over the longer ones by their weights (redistribution to the right).
    if (above > 0.0) {
        std::for_each(first, buckets_.end(), [above](double& bucket) { bucket += bucket / above; });
    } else {
        *first += 1.0;
    }
    weight_ += 1.0;
}

micros latency_histogram::quantile(double share) const {
    if (weight_ == 0.0) {
        return micros{0};
    }
    double below = 0.0;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        below += buckets_[i];
        if (buckets_[i] > 0.0 && below >= share * weight_) {
            return upper_bound(i);
        }
    }
    return upper_bound(bucket_count - 1);
}

micros latency_histogram::mean_rest(micros elapsed) const {
    double sum = 0.0;
    double above = 0.0;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        const micros rest = upper_bound(i) - elapsed;
        if (rest > micros{0}) {
            sum += buckets_[i] * static_cast<double>(rest.count());
            above += buckets_[i];
        }
    }
    return above > 0.0 ? micros(std::llround(sum / above)) : micros{0};
}

} // namespace jujubetide
