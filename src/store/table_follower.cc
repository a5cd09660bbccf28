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
    read_page("");
}

void table_follower::read_page(const std::string& first_key) {
    if (first_key.empty()) {
        pages_.clear();
        position_at_read_ = position_;
    }
    call_in_progress_ = true;
    store_.read(table_, first_key, [this, first_key](absl::StatusOr<row_batch> batch) {
        on_page(first_key, std::move(batch));
    });
}

void table_follower::on_page(const std::string& first_key, absl::StatusOr<row_batch> batch) {
    call_in_progress_ = false;
    if (!batch.ok()) {
        on_call_failed(batch.status());
        return;
    }
    if (first_key.empty()) {
        // Polling starts at the first page's version, so that changes made while further pages are
        // fetched are not missed.
        pages_position_ = batch->position();
    } else if (batch->era != pages_position_.era) {
        read_page(""); // The store was restored between two pages.
        return;
    }
    const std::string last = batch->rows.empty() ? std::string() : batch->rows.back().key;
    std::move(batch->rows.begin(), batch->rows.end(), std::back_inserter(pages_));
    if (batch->has_more && !last.empty()) {
        read_page(last + '\0');
        return;
    }
    on_call_succeeded();
    loaded_ = true;
    needs_reload_ = false;
    if (!are_pages_newer()) {
        // A read that lags behind: the history is as likely to be gone for the next call.
        resume_after(options_.min_retry_delay);
        return;
    }
    position_ = pages_position_;
    observer_.on_snapshot(std::exchange(pages_, {}), position_);
    request_changes();
}

bool table_follower::are_pages_newer() const {
    if (pages_position_.era == position_.era) {
        return pages_position_.version >= position_.version;
    }
    // Of the era, the store's word counts, unless another follower knew of a later one meanwhile.
    return pages_position_.era > position_.era || position_ == position_at_read_;
}

void table_follower::set_following(bool follow) {
    if (std::exchange(following_, follow) == follow) {
        return;
    }
    if (follow && !call_in_progress_) {
        resume();
    }
}

void table_follower::set_poll_timing(millis wait, micros max_retry_delay) {
    options_.wait = wait;
    options_.max_retry_delay = max_retry_delay;
}

void table_follower::resume() {
    if (needs_reload_ || !loaded_) {
        read_page("");
    } else {
        request_changes();
    }
}

void table_follower::request_changes() {
    if (!following_) {
        return;
    }
    call_in_progress_ = true;
    request_time_ = clock_.now();
    position_at_request_ = position_;
    // After a failure the store answers at once, which detects its recovery without a change.
    store_.changes(
        table_, position_.version, store_unavailable_ ? millis{0} : options_.wait,
        [this](absl::StatusOr<row_batch> batch) { on_changes_response(std::move(batch)); });
}

void table_follower::on_changes_response(absl::StatusOr<row_batch> batch) {
    call_in_progress_ = false;
    if (!batch.ok()) {
        needs_reload_ = needs_reload_ || absl::IsOutOfRange(batch.status());
        if (absl::IsOutOfRange(batch.status())) {
            on_call_succeeded();
            read_page("");
            return;
        }
        on_call_failed(batch.status());
        return;
    }
    on_call_succeeded();
    const bool is_same_era = batch->era == position_at_request_.era;
    if (!is_same_era && position_ == position_at_request_) {
        read_page(""); // The store was restored: changes after a version of another era.
        return;
    }
    if (!is_same_era || batch->position() < position_) {
        request_changes(); // Sent before newer contents were adopted.
        return;
    }
    position_ = batch->position();
    if (!batch->rows.empty()) {
        observer_.on_changes(batch->rows);
    }
    const micros elapsed = clock_.now() - request_time_;
    if (elapsed >= options_.min_poll_interval) {
        request_changes();
    } else {
        resume_after(options_.min_poll_interval - elapsed);
    }
}

bool table_follower::adopt(const row_batch& batch) {
    if (batch.position() <= position_) {
        return false;
    }
    position_ = batch.position();
    observer_.on_snapshot(batch.rows, position_);
    return true;
}

bool table_follower::adopt_changes(const row_batch& batch, row_version after) {
    if (batch.era != position_.era || batch.version <= position_.version ||
        after > position_.version) {
        return false;
    }
    position_ = batch.position();
    observer_.on_changes(batch.rows);
    return true;
}

void table_follower::on_call_succeeded() {
    retry_delay_ = micros{0};
    if (std::exchange(store_unavailable_, false)) {
        observer_.on_store_recovered();
    }
}

void table_follower::on_call_failed(const absl::Status& error) {
    if (!std::exchange(store_unavailable_, true)) {
        observer_.on_store_unavailable(error);
    }
    retry_delay_ = std::clamp(retry_delay_ * 2, options_.min_retry_delay, options_.max_retry_delay);
    resume_after(with_jitter(retry_delay_, random_));
}

void table_follower::resume_after(micros delay) {
    timer_ = timers_.once(delay, [this] {
        if (!call_in_progress_) {
            resume();
        }
    });
}

} // namespace jujubetide
