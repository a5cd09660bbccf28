#include "standins/standin_prefix_cache.h"

#include <algorithm>

namespace jujubetide {

std::size_t standin_prefix_cache::cached_blocks(const std::vector<std::uint64_t>& blocks) const {
    const auto missing = std::find_if(blocks.begin(), blocks.end(), [this](std::uint64_t block) {
        return !blocks_.contains(block);
    });
    return static_cast<std::size_t>(missing - blocks.begin());
}

void standin_prefix_cache::store(const std::vector<std::uint64_t>& blocks) {
    // The first block is touched last, so that a prefix outlives its continuation.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        const auto found = blocks_.find(*block);
        if (found != blocks_.end()) {
            by_use_.splice(by_use_.end(), by_use_, found->second);
        } else {
            blocks_[*block] = by_use_.insert(by_use_.end(), *block);
            add_event(*block, true);
        }
    }
    while (by_use_.size() > max_blocks_) {
        add_event(by_use_.front(), false);
        blocks_.erase(by_use_.front());
        by_use_.pop_front();
    }
}

std::vector<cache_event> standin_prefix_cache::events_after(sequence_number after) const {
    std::vector<cache_event> found;
    std::copy_if(events_.begin(), events_.end(), std::back_inserter(found),
                 [after](const cache_event& event) { return event.sequence > after; });
    return found;
}

void standin_prefix_cache::add_event(std::uint64_t block, bool stored) {
    last_event_ = last_event_.next();
    events_.push_back({last_event_, block, stored});
}

} // namespace jujubetide
