#include "jujubetide/base/memory_budget.h"

#include <algorithm>

namespace jujubetide {
namespace {

/// Part of the limit that only control may use.
constexpr std::size_t control_reserve_divisor = 4;

} // namespace

std::size_t memory_budget::free_bytes(memory_use use) const {
    const std::size_t bound =
        use == memory_use::control ? limit_ : limit_ - limit_ / control_reserve_divisor;
    return bound - std::min(bound, used_);
}

bool memory_budget::allows(memory_use use, std::size_t held, std::size_t wanted) const {
    if (wanted <= held) {
        return true;
    }
    const std::size_t more = wanted - held;
    if (use == memory_use::control) {
        return more <= free_bytes(use);
    }
    // n equal shares each hold up to 1/(n+1) of the budget: one part stays free for smaller ones.
    return wanted <= always_allowed_bytes || wanted <= free_bytes(use);
}

} // namespace jujubetide
