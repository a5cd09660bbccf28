#include "jujubetide/edge/shared_memory_budget.h"

namespace jujubetide {

shared_memory_budget& shared_memory_budget::of_process() {
    static shared_memory_budget budget;
    return budget;
}

void shared_memory_budget::set_limit(std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    budget_.set_limit(bytes);
}

std::size_t shared_memory_budget::limit() const {
    const std::lock_guard lock(mutex_);
    return budget_.limit();
}

std::size_t shared_memory_budget::used() const {
    const std::lock_guard lock(mutex_);
    return budget_.used();
}

std::uint64_t shared_memory_budget::refusals() const {
    const std::lock_guard lock(mutex_);
    return budget_.refusals();
}

} // namespace jujubetide
