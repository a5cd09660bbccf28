#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace jujubetide {

/// Number of a time window: its start since 1970 divided by the window length.
using usage_window = strong_number<struct usage_window_tag, std::int64_t>;
using usage_counts = std::map<customer_id, std::uint64_t>;

/// Counts of one incarnation of a node in a window.
struct usage_record {
    node_id node;
    incarnation start;
    usage_window window;
    usage_counts counts;
};

/// Counts the calls of each customer that backend servers began, per window and over all nodes. Not
/// thread-safe.
class usage_ledger {
public:
    /// Number of windows that are retained.
    static constexpr std::int64_t retained_windows = 6;

    explicit usage_ledger(millis window_length) : length_(window_length) {}

    [[nodiscard]] usage_window window_at(wall_time at) const;
    [[nodiscard]] wall_time end_of(usage_window window) const;

    void count(const customer_id& customer, wall_time began);
    /// This node's counts in the retained windows, for the peers.
    [[nodiscard]] const std::map<usage_window, usage_counts>& own() const { return own_; }
    /// Stores the counts of one incarnation of a peer; they replace its earlier report.
    void on_peer_counts(const node_id& node, incarnation start, usage_window window,
                        const usage_counts& counts);
    /// The records of all nodes; this node's own are labelled with `self` and `start`.
    [[nodiscard]] std::vector<usage_record> records(const node_id& self, incarnation start) const;
    /// Counts of all nodes in a window.
    [[nodiscard]] usage_counts total(usage_window window) const;

    /// Some node has stored the counts of the window, and may have reported them: no node may
    /// report other ones. The newest `retained_windows` such windows are kept.
    void settle(usage_window window);
    [[nodiscard]] const std::set<usage_window>& settled() const { return settled_; }

private:
    void trim(usage_window newest);

    millis length_;
    std::map<usage_window, usage_counts> own_;
    std::map<usage_window, std::map<std::pair<node_id, incarnation>, usage_counts>> peers_;
    std::set<usage_window> settled_;
};

} // namespace jujubetide
