#pragma once

#include "node/duty_lease.h"

#include "jujubetide/node/platform_api.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace jujubetide {

/// Reports each window's usage while this node holds the duties. The counts are written to the
/// store before they are sent, so that any node that repeats a report sends the same counts. Counts
/// that a restore removed from the store are written again by the holder; a window that was stored,
/// but whose counts are gone, is not reported any more.
///
/// A row without counts says from which window on each stored window has had a row in this era of
/// the store. Earlier windows without a row may have been reported, by a node that is gone, before
/// a restore removed their rows; they are not reported either.
class usage_reporter {
public:
    static constexpr const char* table = "jujubetide-usage";

    /// All arguments must outlive the reporter.
    usage_reporter(serving_state& state, row_store& store, peer_exchange& peers, duty_lease& lease,
                   platform_api& calls);

    void start();

private:
    void step();
    void load();
    void on_rows(const row_batch& batch);
    void on_history_row(const stored_row& row);
    void on_counts_row(usage_window window, const usage_counts& counts);
    /// Writes rows again that a restore removed, and the history row of a new era.
    void restore_rows();
    /// The first window from which on each stored window has a row.
    [[nodiscard]] usage_window first_window_with_rows() const;
    /// Whether the counts of the window were stored by another node and cannot be found.
    bool is_lost(usage_window window);
    [[nodiscard]] bool is_complete(usage_window window) const;
    void store_counts(usage_window window);
    void send(usage_window window);

    serving_state& state_;
    row_store& store_;
    peer_exchange& peers_;
    duty_lease& lease_;
    platform_api& calls_;
    /// From this window on, a window without a row was never stored, unless it is settled.
    usage_window history_start_;
    bool has_history_row_ = false;
    row_version history_row_version_;
    /// Keys of the history rows of earlier eras.
    std::vector<std::string> old_history_rows_;
    /// Counts that are in the store.
    std::map<usage_window, usage_counts> stored_counts_;
    std::set<usage_window> reported_windows_;
    /// Windows of `stored_counts_` whose rows the store does not have.
    std::set<usage_window> missing_rows_;
    /// Settled windows without a row for which the rows were read again.
    std::set<usage_window> rechecked_windows_;
    /// The store's era when its rows were loaded.
    std::optional<store_era> era_;
    bool is_loaded_ = false;
    bool is_busy_ = false;
    std::unique_ptr<timer_subscription> timer_;
};

} // namespace jujubetide
