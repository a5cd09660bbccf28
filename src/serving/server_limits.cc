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

} // namespace

void server_limits::set_nodes(const node_id& own, const std::vector<node_id>& others) {
    own_hash_ = stable_hash(own.str());
    other_hashes_.clear();
    for (const node_id& node : others) {
        other_hashes_.push_back(stable_hash(node.str()));
    }
}

micros server_limits::slot_length(const limit& of) {
    const double rate = std::max(*of.calls_per_second, min_calls_per_second);
    return std::max(min_slot_length, micros(static_cast<std::int64_t>(micros_per_second / rate)));
}

std::int64_t server_limits::slot_at(const limit& of, wall_time at) {
    return std::chrono::duration_cast<micros>(at.time_since_epoch()) / slot_length(of);
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
    to.next_slot.reset();
    to.owned.clear();
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
    const std::int64_t current = slot_at(of, wall_now);
    const std::int64_t usable_slots = std::max<std::int64_t>(1, slot_lifetime / slot_length(of));
    const std::int64_t first_usable = current - usable_slots + 1;
    // The slot in which a limit is read may have been used before; a clock that went back far is
    // started anew.
    if (!of.next_slot || *of.next_slot > current + usable_slots) {
        of.next_slot = current + 1;
        of.owned.clear();
    }
    const double calls_per_slot = std::max(
        1.0, *of.calls_per_second * std::chrono::duration<double>(slot_length(of)).count());
    const auto node_count = static_cast<double>(other_hashes_.size() + 1);
    const bool is_divisible =
        *of.calls_per_second * std::chrono::duration<double>(slot_lifetime).count() >=
        node_count * min_divided_calls;
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
    const auto found = limits_.find(server);
    if (found == limits_.end() || !found->second.calls_per_second) {
        return true;
    }
    limit& of = found->second;
    update_slots(server, of, wall_now);
    double calls = 0.0;
    for (const owned_slot& slot : of.owned) {
        calls += slot.calls;
    }
    return calls >= 1.0;
}

void server_limits::on_sent(const backend_server_id& server, wall_time wall_now) {
    const auto found = limits_.find(server);
    if (found == limits_.end() || !found->second.calls_per_second) {
        return;
    }
    limit& of = found->second;
    update_slots(server, of, wall_now);
    double remaining = 1.0;
    while (remaining > 0.0 && !of.owned.empty()) {
        const double used = std::min(remaining, of.owned.front().calls);
        of.owned.front().calls -= used;
        remaining -= used;
        if (of.owned.front().calls <= 0.0) {
            of.owned.pop_front();
        }
    }
}

micros server_limits::call_interval(const backend_server_id& server) const {
    const std::optional<double> rate = limit_of(server);
    return rate ? micros(static_cast<std::int64_t>(micros_per_second /
                                                   std::max(*rate, min_calls_per_second)))
                : micros{0};
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
