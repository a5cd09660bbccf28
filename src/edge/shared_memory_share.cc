#include "jujubetide/edge/shared_memory_share.h"

namespace jujubetide {

shared_memory_share::shared_memory_share(memory_use use, shared_memory_budget& budget)
    : budget_(budget) {
    const std::lock_guard lock(budget_.mutex_);
    share_.emplace(budget_.budget_, use);
}

shared_memory_share::~shared_memory_share() {
    const std::lock_guard lock(budget_.mutex_);
    share_.reset();
}

bool shared_memory_share::resize(std::size_t bytes) {
    const std::lock_guard lock(budget_.mutex_);
    return share_->resize(bytes);
}

} // namespace jujubetide
