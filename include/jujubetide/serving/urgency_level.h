#pragma once

#include "jujubetide/serving/serving_config.h"

#include <algorithm>
#include <compare>
#include <cstddef>

namespace jujubetide {

/// Rank of a call among those that wait for the same server; the lowest value goes first.
/// Priorities beyond the last level share it.
class urgency_level final {
public:
    static constexpr std::size_t count = 8;

    /// The most urgent level.
    constexpr urgency_level() = default;
    /// `priority` as in the configuration: 0 is the most urgent.
    constexpr explicit urgency_level(int priority)
        : value_(static_cast<std::size_t>(std::clamp(priority, 0, int{count} - 1))) {}

    /// Less than `count`.
    [[nodiscard]] constexpr std::size_t value() const { return value_; }

    friend constexpr auto operator<=>(urgency_level, urgency_level) = default;

private:
    std::size_t value_ = 0;
};

/// `customer` may be null; its priority overrides the route's.
[[nodiscard]] inline urgency_level urgency_of(const serving_route& route,
                                              const serving_customer* customer) {
    return urgency_level(customer != nullptr ? customer->priority.value_or(route.priority)
                                             : route.priority);
}

} // namespace jujubetide
