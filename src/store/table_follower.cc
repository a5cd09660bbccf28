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
        pages_at_ = batch->at;
    }
    const std::string last = batch->rows.empty() ? std::string() : batch->rows.back().key;
    std::move(batch->rows.begin(), batch->rows.end(), std::back_inserter(pages_));
    if (batch->more && !last.empty()) {
        read(last + '\0');
        return;
    }
    answered();
    loaded_ = true;
    reload_ = false;
    if (pages_at_ >= at_) {
        at_ = pages_at_;
        observer_.on_table(std::exchange(pages_, {}), at_);
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

void table_follower::set_pace(millis wait, micros longest_retry) {
    options_.wait = wait;
    options_.longest_retry = longest_retry;
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
    if (batch->at < at_) {
        ask(); // Asked for before a newer version was adopted.
        return;
    }
    at_ = batch->at;
    if (!batch->rows.empty()) {
        observer_.on_changes(batch->rows);
    }
    const micros since = clock_.now() - asked_;
    if (since >= options_.least_interval) {
        ask();
    } else {
        later(options_.least_interval - since);
    }
}

bool table_follower::adopt(const row_batch& batch) {
    if (batch.at <= at_) {
        return false;
    }
    at_ = batch.at;
    observer_.on_table(batch.rows, at_);
    return true;
}

bool table_follower::adopt_changes(const row_batch& batch, row_version after) {
    if (batch.at <= at_ || after > at_) {
        return false;
    }
    at_ = batch.at;
    observer_.on_changes(batch.rows);
    return true;
}

void table_follower::answered() {
    retry_ = micros{0};
    if (std::exchange(away_, false)) {
        observer_.on_back();
    }
}

void table_follower::failed(const absl::Status& why) {
    if (!std::exchange(away_, true)) {
        observer_.on_away(why);
    }
    retry_ = std::clamp(retry_ * 2, options_.first_retry, options_.longest_retry);
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
