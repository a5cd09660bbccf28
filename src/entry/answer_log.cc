#include "entry/answer_log.h"

namespace jujubetide {
namespace {

bool has_ended(const answer_end& end) {
    return !std::holds_alternative<answer_running>(end);
}

} // namespace

void answer_log::append(std::string piece) {
    {
        const std::lock_guard lock(mutex_);
        pieces_.push_back(std::move(piece));
    }
    changed_.notify_all();
}

bool answer_log::close(answer_end end) {
    {
        const std::lock_guard lock(mutex_);
        if (has_ended(end_)) {
            return false;
        }
        end_ = std::move(end);
    }
    changed_.notify_all();
    return true;
}

answer_log::view answer_log::wait(piece_offset from, millis timeout) const {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, timeout,
                      [&] { return pieces_.size() > from.value() || has_ended(end_); });
    view seen{{}, end_};
    if (pieces_.size() > from.value()) {
        seen.pieces.assign(pieces_.begin() + from.value(), pieces_.end());
    }
    return seen;
}

bool answer_log::is_closed() const {
    const std::lock_guard lock(mutex_);
    return has_ended(end_);
}

bool answer_log::wait_closed(millis timeout) const {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, timeout, [&] { return has_ended(end_); });
}

} // namespace jujubetide
