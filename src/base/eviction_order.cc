#include "jujubetide/base/eviction_order.h"

#include <algorithm>
#include <iterator>

namespace jujubetide {
namespace {

/// Added to each age, so that a large body that has just begun does not push out small ones.
constexpr micros base_age{1'000'000};

double held_byte_time(const unfinished_request& request) {
    return static_cast<double>(request.bytes) *
           static_cast<double>((request.age + base_age).count());
}

template <class Value>
std::optional<std::size_t> index_of_largest(std::span<const unfinished_request> requests,
                                            const Value& value) {
    const auto largest = std::max_element(
        requests.begin(), requests.end(),
        [&value](const auto& one, const auto& other) { return value(one) < value(other); });
    if (largest == requests.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(std::distance(requests.begin(), largest));
}

} // namespace

std::optional<std::size_t>
eviction_order::first_for_memory(std::span<const unfinished_request> requests) {
    return index_of_largest(requests, held_byte_time);
}

std::optional<std::size_t>
eviction_order::first_for_connection(std::span<const unfinished_request> requests) {
    return index_of_largest(requests, [](const auto& request) { return request.quiet; });
}

} // namespace jujubetide
