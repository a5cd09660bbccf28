#pragma once

#include "jujubetide/blackboard/move_board.h"
#include "jujubetide/moves/move_evidence.h"
#include "jujubetide/moves/move_planner.h"
#include "jujubetide/moves/move_tests.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

/// What steering one move depends on besides its record.
struct move_controller_settings {
    /// Share of the traffic that loads one server of the new version fully.
    double server_share = 0.05;
    /// Routes of the service.
    std::size_t routes = 1;
    double false_alarm_rate = 0.005;
};

/// What to do next with a move. Every record is written to the table on the condition that the row
/// is still the one that the decision was made on.
struct move_action {
    enum class kind {
        none,
        /// Risky: only under the lease and by the table.
        raise,
        /// Risky: only under the lease and by the table.
        finish,
        /// Safe: stop the traffic first, at any node, and have the table record it when it can.
        take_back,
    };
    kind what = kind::none;
    version_move record;
};

/// Steers one move: follows the plan step by step, as evidence permits, and takes back a version at
/// fault. Holds no state that a successor needs: a controller made anew from the table's record
/// goes on from the recorded step. Not thread-safe.
class move_controller {
public:
    move_controller(const version_move& move, const move_controller_settings& settings);

    /// Takes a node's report; reports of other moves are ignored.
    void receive(const evidence_report& report, wall_time now);

    /// Decides on the newest record, which must be of this controller's move. `entries` are the
    /// entry nodes that are not known to be dead.
    [[nodiscard]] move_action decide(const version_move& move, const std::vector<node_id>& entries,
                                     wall_time now);

    /// The nodes among `entries` that have not reported since `since`.
    [[nodiscard]] std::vector<node_id> silent(const std::vector<node_id>& entries,
                                              wall_time since) const;
    [[nodiscard]] const move_plan& plan() const { return plan_; }
    [[nodiscard]] const move_id& move() const { return move_.id; }

private:
    /// What a node last said.
    struct node_status {
        sequence_number step;
        bool stopped = false;
        wall_time received{};
    };

    void follow(const version_move& move, wall_time now);
    void close_windows(wall_time now);
    [[nodiscard]] std::optional<std::string> reason_to_take_back(wall_time now) const;
    [[nodiscard]] std::size_t current_step() const;
    [[nodiscard]] bool step_is_proved(const move_plan_step& step, wall_time now) const;
    /// Whether evidence against the version delays the step planned at `planned_at`.
    [[nodiscard]] bool is_held(wall_time planned_at, wall_time now) const;
    [[nodiscard]] bool routes_are_covered() const;
    [[nodiscard]] bool all_confirm(const std::vector<node_id>& entries, wall_time since) const;
    [[nodiscard]] move_action raise(const move_plan_step& step) const;
    [[nodiscard]] move_action finish(wall_time now) const;
    [[nodiscard]] move_action take_back(const std::string& reason, wall_time now) const;

    version_move move_;
    move_controller_settings settings_;
    move_plan plan_;
    move_evidence evidence_;
    move_tests tests_;
    move_window next_window_;
    std::map<node_id, node_status> nodes_;
    wall_time step_began_{};
    move_window step_began_window_;
    std::map<route_id, move_tests::route_totals> totals_before_step_;
};

} // namespace jujubetide
