#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/base/random_source.h"
#include "jujubetide/base/timer_service.h"
#include "jujubetide/store/row_store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jujubetide {

/// Receives the contents of one table and its changes.
class table_observer {
public:
    virtual ~table_observer() = default;
    /// The whole table as of a state of the store; it replaces all rows received before. After a
    /// restore of the store, in a later era, rows may be missing that their writers write again.
    void on_snapshot(const std::vector<stored_row>& rows, store_position at) {
        do_snapshot(rows, at);
    }
    void on_changes(const std::vector<stored_row>& rows) { do_changes(rows); }
    /// Calls for this table have started to fail.
    void on_store_unavailable(const absl::Status& error) { do_store_unavailable(error); }
    /// Calls succeed again; newer contents of the table follow immediately.
    void on_store_recovered() { do_store_recovered(); }

protected:
    table_observer() = default;
    table_observer(const table_observer&) = default;
    table_observer& operator=(const table_observer&) = default;
    virtual void do_snapshot(const std::vector<stored_row>& rows, store_position at) = 0;
    virtual void do_changes(const std::vector<stored_row>& rows) = 0;
    virtual void do_store_unavailable(const absl::Status&) {}
    virtual void do_store_recovered() {}
};

struct follower_options {
    /// How long the store may hold a call for changes open (long poll).
    millis wait{10'000};
    /// Shortest time between the starts of two calls, which batches changes in quick succession.
    micros min_poll_interval{200'000};
    /// Delays after failures grow exponentially from the minimum to the maximum.
    micros min_retry_delay{200'000};
    micros max_retry_delay{800'000};
};

/// Keeps an observer up to date with one table: reads the table, then polls for changes, and reads
/// the table again when the store no longer keeps the history or was restored. While it does not
/// follow the store, its observer receives only adopted contents. Runs on an event loop.
class table_follower {
public:
    /// The referenced objects must outlive the follower.
    table_follower(row_store& store, timer_service& timers, const clock& time,
                   random_source& random, std::string table, table_observer& observer,
                   follower_options options = {});

    /// Reads the table, then polls for changes while following is enabled.
    void start();
    /// Sets whether the store is polled for changes; initially true.
    void set_following(bool follow);
    /// Sets the long-poll wait of the next calls and the longest delay between retries.
    void set_poll_timing(millis wait, micros max_retry_delay);

    /// Adopts the whole table from another follower of the same store if it is newer. Returns
    /// whether it was adopted.
    bool adopt(const row_batch& batch);
    /// Adopts another follower's changes after the version `after` of the same era if they are
    /// newer and leave no gap. Returns whether they were adopted.
    bool adopt_changes(const row_batch& batch, row_version after);

    /// The state of the store of which the observer received the table last.
    [[nodiscard]] store_position position() const { return position_; }
    [[nodiscard]] row_version version() const { return position_.version; }
    [[nodiscard]] bool is_following() const { return following_; }
    /// Following is enabled and the last call to the store failed.
    [[nodiscard]] bool is_store_unavailable() const { return following_ && store_unavailable_; }

private:
    void read_page(const std::string& first_key);
    void on_page(const std::string& first_key, absl::StatusOr<row_batch> batch);
    /// Whether the pages that were read supersede what the observer has.
    [[nodiscard]] bool are_pages_newer() const;
    void resume();
    void request_changes();
    void on_changes_response(absl::StatusOr<row_batch> batch);
    void on_call_failed(const absl::Status& error);
    void on_call_succeeded();
    void resume_after(micros delay);

    row_store& store_;
    timer_service& timers_;
    const clock& clock_;
    random_source& random_;
    std::string table_;
    table_observer& observer_;
    follower_options options_;
    std::unique_ptr<timer_subscription> timer_;
    /// Rows of the pages read so far.
    std::vector<stored_row> pages_;
    store_position pages_position_;
    /// The observer's when the first page was requested, and when changes were.
    store_position position_at_read_;
    store_position position_at_request_;
    store_position position_;
    bool following_ = true;
    bool call_in_progress_ = false;
    bool loaded_ = false;
    bool needs_reload_ = true;
    bool store_unavailable_ = false;
    micros retry_delay_{0};
    time_point request_time_{};
};

} // namespace jujubetide
