#include "jujubetide/blackboard/settings_board.h"

#include <utility>

namespace jujubetide {

snapshot_ptr settings_board::current() const {
    const std::lock_guard lock(mutex_);
    return current_;
}

bool settings_board::offer(snapshot_ptr snapshot) {
    {
        const std::lock_guard lock(mutex_);
        if (current_ && snapshot->at() <= current_->at()) {
            return false;
        }
        current_ = snapshot;
    }
    for (const listener& function : listeners_) {
        function(snapshot);
    }
    return true;
}

void settings_board::add_listener(listener function) {
    listeners_.push_back(std::move(function));
}

} // namespace jujubetide
