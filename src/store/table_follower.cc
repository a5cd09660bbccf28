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
        pages_version_ = batch->version;
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
    if (pages_version_ >= version_) {
        version_ = pages_version_;
        observer_.on_snapshot(std::exchange(pages_, {}), version_);
    }
    request_changes();
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
    // After a failure the store answers at once, which detects its recovery without a change.
    store_.changes(
        table_, version_, store_unavailable_ ? millis{0} : options_.wait,
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
    if (batch->version < version_) {
        request_changes(); // Sent before a newer version was adopted.
        return;
    }
    version_ = batch->version;
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
    if (batch.version <= version_) {
        return false;
    }
    version_ = batch.version;
    observer_.on_snapshot(batch.rows, version_);
    return true;
}

bool table_follower::adopt_changes(const row_batch& batch, row_version after) {
    if (batch.version <= version_ || after > version_) {
        return false;
    }
    version_ = batch.version;
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
