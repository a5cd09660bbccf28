#include "jujubetide/moves/move_controller.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>

// A move ends once. Its end is what the table records, on the condition that the row has not
// changed since the decision. A node's own take-back stops the traffic before that, and is not an
// end: `done` is written only after every entry node that can be reached has confirmed, at the last
// step and after its last window, that it has not stopped. A stop that arrives after `done` was
// recorded yields to it at every node (join_moves). See docs/MOVES.md.

namespace jujubetide {
namespace {

/// Time after the end of a window in which nodes' reports of it may arrive.
constexpr millis report_delay{2'500};
/// Closed windows needed in a step before the next one.
constexpr std::uint32_t least_windows = 5;
/// Evidence (natural logarithm) of a fault at which the share is not raised for a while.
constexpr double hold_level = 3.0;
/// The longest time for that, as a part of the move's length. Evidence that is not a clear fault by
/// then would not become one at a share that stays.
constexpr int hold_divisor = 10;
/// Requests of the new version on a route that are enough to raise the share.
constexpr double enough_on_route = 8.0;
/// Part of the requests expected on a route that must have come.
constexpr double covered_part = 0.4;
constexpr double share_tolerance = 1e-9;

} // namespace

move_controller::move_controller(const version_move& move, const move_controller_settings& settings)
    : move_(move), settings_(settings),
      plan_(plan_move({move.start, move.due, 0.0, settings.server_share})),
      tests_(planned_windows(move)) {
    move_.step = sequence_number(0);
    move_.state = move_state::planned;
    move_.share = 0.0;
}

void move_controller::receive(const evidence_report& report, wall_time now) {
    if (report.move != move_.id) {
        return;
    }
    evidence_.merge(report.owner, report.cells);
    node_status& status = nodes_[report.owner.node];
    status.step = std::max(status.step, report.step);
    status.stopped = status.stopped || report.stopped;
    status.received = now;
}

move_action move_controller::decide(const version_move& move, const std::vector<node_id>& entries,
                                    wall_time now) {
    follow(move, now);
    if (is_recorded_end(move_)) {
        return {};
    }
    close_windows(now);
    if (const auto reason = reason_to_take_back(now)) {
        return take_back(*reason, now);
    }
    if (move_.state == move_state::planned) {
        return now >= move_.start ? raise(plan_.steps.front()) : move_action{};
    }
    const std::size_t current = current_step();
    const move_plan_step& step = plan_.steps.at(current);
    const bool last = current + 1 == plan_.steps.size();
    const wall_time planned_at = last ? plan_.planned_end : plan_.steps.at(current + 1).planned_at;
    if (!step_is_proved(step, now) || is_held(planned_at, now)) {
        return {};
    }
    if (!last) {
        return now >= planned_at ? raise(plan_.steps.at(current + 1)) : move_action{};
    }
    const wall_time proved_since = step_began_ + step.least_time;
    return all_confirm(entries, proved_since) ? finish(now) : move_action{};
}

void move_controller::follow(const version_move& move, wall_time now) {
    const bool new_step = move.step != move_.step || step_began_ == wall_time{};
    move_ = move;
    if (!new_step) {
        return;
    }
    step_began_ = now;
    step_began_window_ = move_window_at(move_, now).next();
    totals_before_step_ = tests_.totals();
}

void move_controller::close_windows(wall_time now) {
    const move_window closed = move_window_at(move_, now - report_delay);
    while (next_window_ < closed) {
        tests_.add(evidence_.totals(next_window_));
        next_window_ = next_window_.next();
    }
    evidence_.forget_before(next_window_);
}

std::optional<std::string> move_controller::reason_to_take_back(wall_time now) const {
    if (move_.state == move_state::taken_back) {
        return move_.evidence;
    }
    for (const auto& [node, status] : nodes_) {
        if (status.stopped) {
            return absl::StrCat("node ", node.str(), " stopped sending to the version");
        }
    }
    const alarm_budget budget{settings_.false_alarm_rate, settings_.routes, 1};
    if (const auto fault = tests_.fault(budget.steering_threshold())) {
        return fault->describe();
    }
    if (now > move_.due + (move_.due - move_.start)) {
        return std::string("overdue without enough evidence");
    }
    return std::nullopt;
}

std::size_t move_controller::current_step() const {
    std::size_t current = 0;
    for (std::size_t i = 1; i < plan_.steps.size(); ++i) {
        if (plan_.steps.at(i).share <= move_.share + share_tolerance) {
            current = i;
        }
    }
    return current;
}

bool move_controller::step_is_proved(const move_plan_step& step, wall_time now) const {
    if (now - step_began_ < step.least_time ||
        next_window_.value() < step_began_window_.value() + least_windows) {
        return false;
    }
    std::uint64_t requests = 0;
    for (const auto& [route, totals] : tests_.totals()) {
        const auto before = totals_before_step_.find(route);
        requests += totals.trial;
        requests -= before == totals_before_step_.end() ? 0 : before->second.trial;
    }
    return requests >= step.needed_requests && routes_are_covered();
}

bool move_controller::is_held(wall_time planned_at, wall_time now) const {
    const millis longest = (move_.due - move_.start) / hold_divisor;
    return tests_.suspicious(hold_level) && now < planned_at + longest;
}

bool move_controller::routes_are_covered() const {
    return std::all_of(tests_.totals().begin(), tests_.totals().end(), [this](const auto& entry) {
        move_tests::route_totals totals = entry.second;
        const auto before = totals_before_step_.find(entry.first);
        if (before != totals_before_step_.end()) {
            totals.trial -= before->second.trial;
            totals.all -= before->second.all;
        }
        const double expected = move_.share * static_cast<double>(totals.all);
        const double needed = std::min(enough_on_route, covered_part * expected);
        return expected < enough_on_route || static_cast<double>(totals.trial) >= needed;
    });
}

bool move_controller::all_confirm(const std::vector<node_id>& entries, wall_time since) const {
    return std::all_of(entries.begin(), entries.end(), [&](const node_id& entry) {
        const auto found = nodes_.find(entry);
        return found != nodes_.end() && !found->second.stopped &&
               found->second.step >= move_.step && found->second.received >= since;
    });
}

std::vector<node_id> move_controller::silent(const std::vector<node_id>& entries,
                                             wall_time since) const {
    std::vector<node_id> list;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(list), [&](const auto& entry) {
        const auto found = nodes_.find(entry);
        return found == nodes_.end() || found->second.received < since;
    });
    return list;
}

move_action move_controller::raise(const move_plan_step& step) const {
    move_action action{move_action::kind::raise, move_};
    const bool first = move_.state == move_state::planned;
    action.record.state = first ? move_state::canary : move_state::ramp;
    action.record.share = step.share;
    action.record.step = move_.step.next();
    return action;
}

move_action move_controller::finish(wall_time now) const {
    move_action action{move_action::kind::finish, move_};
    action.record.state = move_state::done;
    action.record.share = 1.0;
    action.record.step = move_.step.next();
    action.record.ended = now;
    std::uint64_t requests = 0;
    for (const auto& [route, totals] : tests_.totals()) {
        requests += totals.trial;
    }
    action.record.evidence = absl::StrCat(requests, " requests on ", tests_.totals().size(),
                                          " routes without a clear fault");
    return action;
}

move_action move_controller::take_back(const std::string& reason, wall_time now) const {
    move_action action{move_action::kind::take_back, move_};
    action.record.state = move_state::taken_back;
    action.record.share = 0.0;
    action.record.step = move_.step.next();
    action.record.evidence = reason;
    action.record.ended = now;
    return action;
}

} // namespace jujubetide
