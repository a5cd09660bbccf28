#include "jujubetide/moves/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jujubetide {
namespace {

constexpr double buckets_per_doubling = 4.0;
constexpr double first_bound_micros = 1'000.0;

std::size_t bucket_of(micros latency) {
    const double ratio = static_cast<double>(latency.count()) / first_bound_micros;
    if (ratio < 1.0) {
        return 0;
    }
    const double place = std::log2(ratio) * buckets_per_doubling;
    return std::min(static_cast<std::size_t>(place), latency_histogram::bucket_count - 1);
}

} // namespace

void latency_histogram::add(micros latency) {
    ++counts_.at(bucket_of(latency));
}

void latency_histogram::join(const latency_histogram& other) {
    std::transform(counts_.begin(), counts_.end(), other.counts_.begin(), counts_.begin(),
                   [](std::uint32_t a, std::uint32_t b) { return std::max(a, b); });
}

void latency_histogram::sum(const latency_histogram& other) {
    std::transform(counts_.begin(), counts_.end(), other.counts_.begin(), counts_.begin(),
                   std::plus<>{});
}

std::uint64_t latency_histogram::total() const {
    return from_bucket(0);
}

std::uint64_t latency_histogram::from_bucket(std::size_t bucket) const {
    const auto first = counts_.begin() + static_cast<std::ptrdiff_t>(bucket);
    return std::accumulate(first, counts_.end(), std::uint64_t{0});
}

latency_histogram latency_histogram::shifted_down(std::size_t places) const {
    latency_histogram shifted;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        shifted.counts_.at(i > places ? i - places : 0) += counts_.at(i);
    }
    return shifted;
}

} // namespace jujubetide
