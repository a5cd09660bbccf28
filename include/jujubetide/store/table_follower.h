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

/// Takes the contents of one table as they change.
class table_observer {
public:
    virtual ~table_observer() = default;
    /// The whole table as of version `at` of the store; it replaces everything before.
    void on_snapshot(const std::vector<stored_row>& rows, row_version at) { do_snapshot(rows, at); }
    void on_changes(const std::vector<stored_row>& rows) { do_changes(rows); }
    /// The store stopped answering for this table.
    void on_store_unavailable(const absl::Status& why) { do_store_unavailable(why); }
    /// It answers again; the table's newer contents come right after.
    void on_store_recovered() { do_store_recovered(); }

protected:
    table_observer() = default;
    table_observer(const table_observer&) = default;
    table_observer& operator=(const table_observer&) = default;
    virtual void do_snapshot(const std::vector<stored_row>& rows, row_version at) = 0;
    virtual void do_changes(const std::vector<stored_row>& rows) = 0;
    virtual void do_store_unavailable(const absl::Status&) {}
    virtual void do_store_recovered() {}
};

struct follower_options {
    /// How long the store may hold a call for changes back.
    millis wait{10'000};
    /// Shortest time between the starts of two calls, so that changes in quick succession come
    /// together.
    micros min_poll_interval{200'000};
    /// Waits after failures grow from the first to the second.
    micros min_retry_delay{200'000};
    micros max_retry_delay{800'000};
};

/// Keeps an observer up to date with one table: reads it, then asks for changes, and reads it again
/// when the history is gone. While it does not follow the store, its observer learns only what the
/// follower is made to adopt. Runs on an event loop.
class table_follower {
public:
    /// What is passed in must outlive the follower.
    table_follower(row_store& store, timer_service& timers, const clock& time,
                   random_source& random, std::string table, table_observer& observer,
                   follower_options options = {});

    /// Reads the table, and goes on to ask for changes while it is to follow the store.
    void start();
    /// Whether to ask the store for changes; true at first.
    void set_following(bool follows);
    /// How long the store may hold the next calls back, and the bound of waits after failures.
    void set_poll_timing(millis wait, micros max_retry_delay);

    /// Takes the whole table as another follower of the same store knows it, if that is newer.
    bool adopt(const row_batch& batch);
    /// Takes what changed after the version `after`, as another follower knows it, if nothing is
    /// missed by that.
    bool adopt_changes(const row_batch& batch, row_version after);

    /// The version up to which the observer knows the table.
    [[nodiscard]] row_version version() const { return at_; }
    [[nodiscard]] bool is_following() const { return following_; }
    /// The store did not answer the last call of a follower that follows it.
    [[nodiscard]] bool is_store_unavailable() const { return following_ && away_; }

private:
    void read(const std::string& from);
    void on_read(const std::string& from, absl::StatusOr<row_batch> batch);
    void go_on();
    void ask();
    void on_answer(absl::StatusOr<row_batch> batch);
    void failed(const absl::Status& why);
    void answered();
    void later(micros delay);

    row_store& store_;
    timer_service& timers_;
    const clock& clock_;
    random_source& random_;
    std::string table_;
    table_observer& observer_;
    follower_options options_;
    std::unique_ptr<timer_subscription> timer_;
    /// Rows of the pages that were read so far.
    std::vector<stored_row> pages_;
    row_version pages_at_;
    row_version at_;
    bool following_ = true;
    /// A call to the store runs.
    bool calling_ = false;
    bool loaded_ = false;
    bool reload_ = true;
    bool away_ = false;
    micros retry_{0};
    time_point asked_{};
};

} // namespace jujubetide
