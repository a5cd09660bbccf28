#include "jujubetide/serving/server_limits.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <algorithm>
#include <cmath>

namespace jujubetide {
namespace {

constexpr double micros_per_second = 1e6;
/// Calls that a limit must allow each node during a slot's lifetime for the slots to be divided
/// among all nodes; below, each slot belongs to one node.
constexpr double min_divided_calls = 2.0;

/// Calls of one slot.
double calls_in(double calls_per_second, micros length) {
    return std::max(1.0, calls_per_second * std::chrono::duration<double>(length).count());
}

/// Slots that lie in a second at least in part, if none of them begins with it.
std::int64_t slots_touched_by_second(micros length) {
    return 1 + (std::chrono::seconds(1) + length - micros(1)) / length;
}

} // namespace

void server_limits::set_nodes(const node_id& own, const std::vector<node_id>& others) {
    knows_nodes_ = true;
    own_hash_ = stable_hash(own.str());
    other_hashes_.clear();
    for (const node_id& node : others) {
        other_hashes_.push_back(stable_hash(node.str()));
    }
}

server_limits::slot_plan server_limits::plan_for(double calls_per_second, micros min_length) {
    const double rate = std::max(calls_per_second, min_calls_per_second);
    const micros length =
        std::max(min_length, micros(static_cast<std::int64_t>(micros_per_second / rate)));
    return {rate, length, std::max<std::int64_t>(1, slot_lifetime / length)};
}

server_limits::slot_plan server_limits::plan_for(const call_bound& bound,
                                                 std::optional<double> calls_per_second) {
    // Every slot that a second touches may be used in it, and so may the earlier ones that are
    // still usable when it begins.
    const double usable = bound.max_in_second * usable_bound;
    const std::chrono::duration<double> longest = std::chrono::seconds(1) + min_slot_lifetime;
    const double rate = std::min({bound.calls_per_second, (usable - 2.0) / longest.count(),
                                  calls_per_second.value_or(bound.calls_per_second)});
    slot_plan plan = plan_for(rate, min_bound_slot_length);
    const auto slots_in_bound =
        static_cast<std::int64_t>(usable / calls_in(plan.calls_per_second, plan.length));
    const std::int64_t late = slots_in_bound - slots_touched_by_second(plan.length);
    plan.usable = 1 + std::clamp<std::int64_t>(late, 0, plan.usable - 1);
    if (bound.max_in_second < 2.0) {
        plan.usable = 0; // The slots of two nodes may meet in one second.
    }
    return plan;
}

void server_limits::update_plan(limit& of) {
    std::optional<slot_plan> plan;
    if (of.bound) {
        plan = plan_for(*of.bound, of.calls_per_second);
    } else if (of.calls_per_second) {
        plan = plan_for(*of.calls_per_second, min_slot_length);
    }
    if (plan != of.plan) {
        of.plan = plan;
        of.next_slot.reset();
        of.owned.clear();
    }
}

void server_limits::set_bound(const backend_server_id& server, std::optional<call_bound> bound) {
    if (!bound && !limits_.contains(server)) {
        return;
    }
    limit& known = limits_[server];
    known.bound = bound;
    update_plan(known);
}

server_limits::limit* server_limits::find_limited(const backend_server_id& server) {
    const auto found = limits_.find(server);
    return found == limits_.end() || !found->second.plan ? nullptr : &found->second;
}

void server_limits::apply(limit& to, std::optional<double> calls_per_second, time_point read_at) {
    to.read_at = read_at;
    const bool is_small_change =
        to.calls_per_second && calls_per_second &&
        std::abs(*to.calls_per_second - *calls_per_second) <= *to.calls_per_second * min_change;
    if (is_small_change) {
        return;
    }
    to.calls_per_second = calls_per_second;
    update_plan(to);
}

bool server_limits::on_answer(const backend_server_id& server,
                              std::optional<double> calls_per_second, time_point now) {
    const auto found = limits_.find(server);
    if (!calls_per_second && (found == limits_.end() || !found->second.calls_per_second)) {
        return false;
    }
    limit& known = limits_[server];
    const std::optional<double> before = known.calls_per_second;
    apply(known, calls_per_second, now);
    known.reported_until = now + report_time;
    return known.calls_per_second != before;
}

void server_limits::update_slots(const backend_server_id& server, limit& of,
                                 wall_time wall_now) const {
    const slot_plan& plan = *of.plan;
    const std::int64_t current =
        std::chrono::duration_cast<micros>(wall_now.time_since_epoch()) / plan.length;
    const std::int64_t first_usable = current - plan.usable + 1;
    // The slot in which a limit is read may have been used before; a clock that went back far is
    // started anew.
    if (!of.next_slot || *of.next_slot > current + std::max<std::int64_t>(1, plan.usable)) {
        of.next_slot = current + 1;
        of.owned.clear();
    }
    const double calls_per_slot = calls_in(plan.calls_per_second, plan.length);
    const std::chrono::duration<double> usable_time = plan.length * plan.usable;
    const auto node_count = static_cast<double>(other_hashes_.size() + 1);
    const bool is_divisible =
        plan.calls_per_second * usable_time.count() >= node_count * min_divided_calls;
    const std::uint64_t server_hash = stable_hash(server.str());
    for (std::int64_t slot = std::max(*of.next_slot, first_usable); slot <= current; ++slot) {
        if (is_divisible) {
            of.owned.push_back({slot, calls_per_slot / node_count});
        } else if (is_own_slot(server_hash, slot)) {
            of.owned.push_back({slot, calls_per_slot});
        }
    }
    of.next_slot = std::max(*of.next_slot, current + 1);
    while (!of.owned.empty() && of.owned.front().number < first_usable) {
        of.owned.pop_front();
    }
}

bool server_limits::is_own_slot(std::uint64_t server_hash, std::int64_t slot) const {
    const std::uint64_t key = rendezvous_weight(server_hash, static_cast<std::uint64_t>(slot));
    const std::uint64_t own = rendezvous_weight(key, own_hash_);
    return std::none_of(
        other_hashes_.begin(), other_hashes_.end(),
        [key, own](std::uint64_t other) { return rendezvous_weight(key, other) > own; });
}

bool server_limits::may_send(const backend_server_id& server, wall_time wall_now) {
    limit* const of = find_limited(server);
    if (of == nullptr) {
        return true;
    }
    if (of->bound && !knows_nodes_) {
        return false;
    }
    update_slots(server, *of, wall_now);
    double calls = 0.0;
    for (const owned_slot& slot : of->owned) {
        calls += slot.calls;
    }
    return calls >= 1.0;
}

void server_limits::on_sent(const backend_server_id& server, wall_time wall_now) {
    limit* const of = find_limited(server);
    if (of == nullptr) {
        return;
    }
    update_slots(server, *of, wall_now);
    double remaining = 1.0;
    while (remaining > 0.0 && !of->owned.empty()) {
        const double used = std::min(remaining, of->owned.front().calls);
        of->owned.front().calls -= used;
        remaining -= used;
        if (of->owned.front().calls <= 0.0) {
            of->owned.pop_front();
        }
    }
}

micros server_limits::call_interval(const backend_server_id& server) const {
    const auto found = limits_.find(server);
    if (found == limits_.end() || !found->second.plan) {
        return micros{0};
    }
    return micros(
        static_cast<std::int64_t>(micros_per_second / found->second.plan->calls_per_second));
}

std::optional<double> server_limits::limit_of(const backend_server_id& server) const {
    const auto found = limits_.find(server);
    return found == limits_.end() ? std::nullopt : found->second.calls_per_second;
}

std::size_t server_limits::limited_servers() const {
    return static_cast<std::size_t>(
        std::count_if(limits_.begin(), limits_.end(),
                      [](const auto& item) { return item.second.calls_per_second.has_value(); }));
}

std::vector<server_limit_report> server_limits::reports(time_point now) const {
    std::vector<server_limit_report> list;
    for (const auto& [server, of] : limits_) {
        if (now < of.reported_until) {
            list.push_back({server, of.calls_per_second, now - of.read_at});
        }
    }
    return list;
}

void server_limits::on_peer_reports(const std::vector<server_limit_report>& reports,
                                    time_point now) {
    for (const server_limit_report& report : reports) {
        const time_point read_at = now - report.age;
        const auto [known, is_new] = limits_.try_emplace(report.server);
        if (is_new || known->second.read_at < read_at) {
            apply(known->second, report.calls_per_second, read_at);
        }
    }
}

} // namespace jujubetide
