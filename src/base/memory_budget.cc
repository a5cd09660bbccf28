#include "jujubetide/base/memory_budget.h"

#include <algorithm>

namespace jujubetide {
namespace {

/// Part of the limit that only control may use.
constexpr std::size_t control_reserve_divisor = 4;

} // namespace

std::size_t memory_budget::free_bytes(memory_use use) const {
    const std::size_t bound = use == memory_use::control ? limit_ : traffic_limit();
    return bound - std::min(bound, used_);
}

std::size_t memory_budget::traffic_limit() const {
    return limit_ - limit_ / control_reserve_divisor;
}

bool memory_budget::make_room(const reclaimable_memory& asker, std::size_t held, std::size_t wanted,
                              time_point now) {
    while (!allows(memory_use::traffic, held, wanted)) {
        reclaimable_memory* const first = first_to_reclaim(now);
        if (first == nullptr || first == &asker) {
            ++refusals_;
            return false;
        }
        ++reclaims_;
        first->reclaim();
    }
    return true;
}

reclaimable_memory* memory_budget::first_to_reclaim(time_point now) const {
    std::vector<unfinished_request> requests;
    requests.reserve(reclaimable_.size());
    for (const reclaimable_memory* memory : reclaimable_) {
        requests.push_back(memory->held(now));
    }
    const auto first = eviction_order::first_for_memory(requests);
    return first ? reclaimable_[*first] : nullptr;
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
