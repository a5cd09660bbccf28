#include "jujubetide/serving/scaling_planner.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace jujubetide {
namespace {

/// Utilisation of a server at which calls still meet their latency targets.
constexpr double target_utilisation = 0.45;
/// Servers in addition to those needed on average, for bursts.
constexpr double spare_servers = 1.0;
/// Time constant of the decay of a past peak, in seconds.
constexpr double peak_decay_s = 20.0;
/// Minimum fraction of the needed servers that is not reclaimable.
constexpr double min_reliable_fraction = 0.3;
/// Reclaimable servers as a multiple of those needed; together with the reliable ones, enough
/// remain when one of four failure domains is lost.
constexpr double reclaimable_factor = 1.0;
/// Time beyond the boot time after which an ordered server counts as unavailable.
constexpr micros order_slack{1'500'000};
/// Time for which a group that lost servers is not expected to get new ones.
constexpr micros loss_cooldown{10'000'000};
/// Reliable servers are released only after they were not needed for this long.
constexpr micros scale_down_delay{8'000'000};
/// The demand counts as measured this long after the first calls; until then no reliable server is
/// released.
constexpr micros demand_learning_time{8'000'000};
/// Demand below this counts as no demand, in servers.
constexpr double min_demand = 0.05;

std::vector<failure_domain_id> by_price(const scaling_limits& limits) {
    std::vector<failure_domain_id> domains;
    for (const auto& [domain, price] : limits.prices) {
        domains.push_back(domain);
    }
    std::stable_sort(domains.begin(), domains.end(), [&limits](const auto& a, const auto& b) {
        return limits.prices.at(a) < limits.prices.at(b);
    });
    return domains;
}

unsigned round_up(double servers) {
    return static_cast<unsigned>(std::ceil(std::max(0.0, servers)));
}

/// Servers of both kinds in a domain.
unsigned count_in_domain(const server_counts& counts, const failure_domain_id& domain) {
    unsigned sum = 0;
    for (const bool reclaimable : {false, true}) {
        const auto found = counts.find({domain, reclaimable});
        sum += found == counts.end() ? 0 : found->second;
    }
    return sum;
}

/// Every group that the limits allow, with a count of 0.
server_counts empty_counts(const scaling_limits& limits,
                           const std::vector<failure_domain_id>& domains) {
    server_counts counts;
    for (const failure_domain_id& domain : domains) {
        counts[{domain, false}] = 0;
        if (limits.reclaimable_price) {
            counts[{domain, true}] = 0;
        }
    }
    return counts;
}

unsigned count_reliable(const server_counts& counts) {
    unsigned sum = 0;
    for (const auto& [group, count] : counts) {
        sum += group.reclaimable ? 0 : count;
    }
    return sum;
}

/// Adds `count` servers of one kind, round-robin over the domains, as far as the limits allow.
void spread(server_counts& counts, const scaling_limits& limits,
            const std::vector<failure_domain_id>& domains, bool reclaimable, unsigned count) {
    bool added = true;
    while (count > 0 && added) {
        added = false;
        for (const failure_domain_id& domain : domains) {
            if (count > 0 && count_in_domain(counts, domain) < limits.max) {
                ++counts[{domain, reclaimable}];
                --count;
                added = true;
            }
        }
    }
}

} // namespace

double scaling_planner::peak(double busy, time_point now) {
    const std::chrono::duration<double> age = now - peak_at_;
    const double faded =
        has_peak_ ? peak_ * std::exp(-std::max(0.0, age.count()) / peak_decay_s) : 0.0;
    peak_ = std::max(busy, faded);
    peak_at_ = now;
    has_peak_ = true;
    return peak_;
}

void scaling_planner::observe(const server_counts& present, time_point now) {
    for (auto& [group, state] : groups_) {
        const auto found = present.find(group);
        const unsigned current = found == present.end() ? 0 : found->second;
        if (group.reclaimable && current < state.present && current < state.ordered) {
            state.failed = now;
        }
        state.present = current;
    }
}

unsigned scaling_planner::available(const scaling_limits& limits, time_point now) const {
    unsigned sum = 0;
    for (const auto& [group, state] : groups_) {
        if (!group.reclaimable) {
            continue;
        }
        const bool is_cooling_down = state.failed && now - *state.failed < loss_cooldown;
        const bool may_be_booting = now - state.increased < limits.boot_time + order_slack;
        sum += may_be_booting && !is_cooling_down ? state.ordered
                                                  : std::min(state.present, state.ordered);
    }
    return sum;
}

unsigned scaling_planner::hold(unsigned wanted, time_point now) {
    if (wanted >= held_ || now - held_at_ >= scale_down_delay) {
        held_ = wanted;
        held_at_ = now;
    }
    return held_;
}

void scaling_planner::note_orders(const server_counts& counts, const server_counts& present,
                                  time_point now) {
    for (const auto& [group, count] : counts) {
        const auto [known, is_new] = groups_.try_emplace(group);
        group_state& state = known->second;
        if (is_new) {
            const auto current = present.find(group);
            state.present = current == present.end() ? 0 : current->second;
        }
        if (count > state.ordered) {
            state.increased = now;
        }
        state.ordered = count;
    }
}

server_counts scaling_planner::plan(const scaling_limits& limits, double busy,
                                    const server_counts& present, time_point now) {
    observe(present, now);
    if (!demand_since_ && busy >= min_demand) {
        // A planner whose first plan already sees demand has taken over from another holder of
        // the duties: the demand counts as measured.
        demand_since_ = has_peak_ ? now : now - demand_learning_time;
    }
    const double needed = peak(busy, now) / target_utilisation + spare_servers;
    const std::vector<failure_domain_id> domains = by_price(limits);
    server_counts counts = empty_counts(limits, domains);
    double reliable = needed;
    if (limits.reclaimable_price) {
        server_counts reclaimable = counts;
        spread(reclaimable, limits, domains, true, round_up(needed * reclaimable_factor));
        note_orders(reclaimable, present, now);
        reliable = std::max(needed * min_reliable_fraction,
                            needed - static_cast<double>(available(limits, now)));
    }
    unsigned count = hold(round_up(reliable), now);
    if (!demand_since_ || now - *demand_since_ < demand_learning_time) {
        count = std::max(count, count_reliable(present));
    }
    spread(counts, limits, domains, false, count);
    if (limits.reclaimable_price) {
        spread(counts, limits, domains, true, round_up(needed * reclaimable_factor));
    }
    for (const failure_domain_id& domain : domains) {
        const unsigned current = count_in_domain(counts, domain);
        if (current < limits.min) {
            counts[{domain, limits.reclaimable_price.has_value()}] += limits.min - current;
        }
    }
    note_orders(counts, present, now);
    return counts;
}

} // namespace jujubetide
