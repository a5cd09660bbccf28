#include "jujubetide/store/table_follower.h"

#include "jujubetide/base/jitter.h"

#include <algorithm>
#include <utility>

namespace jujubetide {

table_follower::table_follower(row_store& store, timer_service& timers, const clock& time,
                               random_source& random, std::string table, table_observer& observer,
                               follower_options options)
    : store_(store), timers_(timers), clock_(time), random_(random), table_(std::move(table)),
      observer_(observer), options_(options) {}

void table_follower::start() {
    read("");
}

void table_follower::read(const std::string& from) {
    if (from.empty()) {
        pages_.clear();
    }
    calling_ = true;
    store_.read(table_, from,
                [this, from](absl::StatusOr<row_batch> batch) { on_read(from, std::move(batch)); });
}

void table_follower::on_read(const std::string& from, absl::StatusOr<row_batch> batch) {
    calling_ = false;
    if (!batch.ok()) {
        failed(batch.status());
        return;
    }
    if (from.empty()) {
        // Changes during the reading of further pages are asked for from the first page's version.
        pages_at_ = batch->version;
    }
    const std::string last = batch->rows.empty() ? std::string() : batch->rows.back().key;
    std::move(batch->rows.begin(), batch->rows.end(), std::back_inserter(pages_));
    if (batch->has_more && !last.empty()) {
        read(last + '\0');
        return;
    }
    answered();
    loaded_ = true;
    reload_ = false;
    if (pages_at_ >= at_) {
        at_ = pages_at_;
        observer_.on_snapshot(std::exchange(pages_, {}), at_);
    }
    ask();
}

void table_follower::set_following(bool follows) {
    if (std::exchange(following_, follows) == follows) {
        return;
    }
    if (follows && !calling_) {
        go_on();
    }
}

void table_follower::set_poll_timing(millis wait, micros max_retry_delay) {
    options_.wait = wait;
    options_.max_retry_delay = max_retry_delay;
}

void table_follower::go_on() {
    if (reload_ || !loaded_) {
        read("");
    } else {
        ask();
    }
}

void table_follower::ask() {
    if (!following_) {
        return;
    }
    calling_ = true;
    asked_ = clock_.now();
    // A store that was away answers at once, so that its return is noticed without a change.
    store_.changes(table_, at_, away_ ? millis{0} : options_.wait,
                   [this](absl::StatusOr<row_batch> batch) { on_answer(std::move(batch)); });
}

void table_follower::on_answer(absl::StatusOr<row_batch> batch) {
    calling_ = false;
    if (!batch.ok()) {
        reload_ = reload_ || absl::IsOutOfRange(batch.status());
        if (absl::IsOutOfRange(batch.status())) {
            answered();
            read("");
            return;
        }
        failed(batch.status());
        return;
    }
    answered();
    if (batch->version < at_) {
        ask(); // Asked for before a newer version was adopted.
        return;
    }
    at_ = batch->version;
    if (!batch->rows.empty()) {
        observer_.on_changes(batch->rows);
    }
    const micros since = clock_.now() - asked_;
    if (since >= options_.min_poll_interval) {
        ask();
    } else {
        later(options_.min_poll_interval - since);
    }
}

bool table_follower::adopt(const row_batch& batch) {
    if (batch.version <= at_) {
        return false;
    }
    at_ = batch.version;
    observer_.on_snapshot(batch.rows, at_);
    return true;
}

bool table_follower::adopt_changes(const row_batch& batch, row_version after) {
    if (batch.version <= at_ || after > at_) {
        return false;
    }
    at_ = batch.version;
    observer_.on_changes(batch.rows);
    return true;
}

void table_follower::answered() {
    retry_ = micros{0};
    if (std::exchange(away_, false)) {
        observer_.on_store_recovered();
    }
}

void table_follower::failed(const absl::Status& why) {
    if (!std::exchange(away_, true)) {
        observer_.on_store_unavailable(why);
    }
    retry_ = std::clamp(retry_ * 2, options_.min_retry_delay, options_.max_retry_delay);
    later(with_jitter(retry_, random_));
}

void table_follower::later(micros delay) {
    timer_ = timers_.once(delay, [this] {
        if (!calling_) {
            go_on();
        }
    });
}

} // namespace jujubetide
