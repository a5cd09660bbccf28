#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/moves/latency_histogram.h"
#include "jujubetide/moves/move_window.h"
#include "jujubetide/moves/sequential_test.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace jujubetide {

/// The two versions of a move.
enum class trial_arm : std::uint8_t { baseline = 0, trial = 1 };

/// Whose counters they are; a node that starts again counts under a new incarnation.
struct evidence_owner {
    node_id node;
    incarnation at;
    friend auto operator<=>(const evidence_owner&, const evidence_owner&) = default;
};

/// What one node counted of one version on one route in one window. Every counter only grows.
struct outcome_counts {
    std::uint32_t requests = 0;
    std::uint32_t failures = 0;
    /// Latencies of the requests that did not fail.
    latency_histogram latencies;

    void add(bool failed, micros latency);
    void join(const outcome_counts& other);
    void sum(const outcome_counts& other);
    friend bool operator==(const outcome_counts&, const outcome_counts&) = default;
};

struct evidence_cell_key {
    route_id route;
    move_window window;
    trial_arm arm = trial_arm::baseline;
    friend auto operator<=>(const evidence_cell_key&, const evidence_cell_key&) = default;
};

struct evidence_cell {
    evidence_cell_key key;
    outcome_counts counts;
    friend bool operator==(const evidence_cell&, const evidence_cell&) = default;
};

/// What a node tells the node that steers the move.
struct evidence_report {
    move_id move;
    service_id service;
    evidence_owner owner;
    /// The step of the move that the node knows.
    sequence_number step;
    /// Whether the node has stopped sending to the version under trial.
    bool stopped = false;
    std::vector<evidence_cell> cells;
    /// When the node sent it, on the node's own clock; comes back in the answer.
    time_point sent_at{};
};

/// What the node that steers a move tells an entry node: the answer to a report, or, without
/// `sent_at`, that reports of the move are to go to `steering`.
struct evidence_answer {
    service_id service;
    move_id move;
    /// The step of the move that the steering node knows.
    sequence_number step;
    /// The report's; empty where there was none.
    std::optional<time_point> sent_at;
    node_id steering;
};

/// Counters of a move from many nodes. Merging is commutative, associative and idempotent, since
/// each node alone raises its counters. Not thread-safe.
class move_evidence {
public:
    using arm_counts = std::array<outcome_counts, 2>;

    /// Counts an outcome at this node.
    void add(const evidence_owner& owner, const evidence_cell_key& key, bool failed,
             micros latency);
    /// Takes the larger of each counter.
    void merge(const evidence_owner& owner, const std::vector<evidence_cell>& cells);
    /// The cells of an owner in the windows from `first` on.
    [[nodiscard]] std::vector<evidence_cell> cells_of(const evidence_owner& owner,
                                                      move_window first) const;
    /// The sums over all owners of one window, by route.
    [[nodiscard]] std::map<route_id, arm_counts> totals(move_window window) const;
    /// Forgets the windows before `first`.
    void forget_before(move_window first);
    [[nodiscard]] std::size_t cell_count() const { return cells_.size(); }

    friend bool operator==(const move_evidence&, const move_evidence&) = default;

private:
    struct cell_place {
        move_window window;
        route_id route;
        trial_arm arm = trial_arm::baseline;
        evidence_owner owner;
        friend auto operator<=>(const cell_place&, const cell_place&) = default;
    };

    std::map<cell_place, outcome_counts> cells_;
};

} // namespace jujubetide
