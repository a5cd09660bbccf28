#include "jujubetide/serving/scaling_planner.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace jujubetide {
namespace {

/// Part of a server's time that its work may take while callers still get their targets.
constexpr double target_use = 0.45;
/// Servers beyond those needed on average, for bursts.
constexpr double spare_servers = 1.0;
/// Time in which a past peak loses most of its weight, in seconds.
constexpr double peak_memory_s = 20.0;
/// Part of the servers needed that is not reclaimable.
constexpr double reliable_part = 0.3;
/// Reclaimable servers as a multiple of those needed; with the reliable ones, the loss of one of
/// four failure domains leaves enough.
constexpr double reclaimable_part = 1.0;
/// Time beyond the boot time after which an ordered server counts as not to be had.
constexpr micros order_slack{1'500'000};
/// A group that lost servers is not counted on to get new ones for this long.
constexpr micros distrust_time{10'000'000};
/// Reliable servers are given up only when they were not wanted for this long.
constexpr micros hold_time{8'000'000};
/// The demand is known this long after the first calls; until then no reliable server is given up.
constexpr micros learning_time{8'000'000};
/// Demand below this is none, in servers.
constexpr double least_demand = 0.05;

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

unsigned up(double servers) {
    return static_cast<unsigned>(std::ceil(std::max(0.0, servers)));
}

/// Servers of both kinds in a domain.
unsigned in_domain(const server_counts& numbers, const failure_domain_id& domain) {
    unsigned sum = 0;
    for (const bool reclaimable : {false, true}) {
        const auto found = numbers.find({domain, reclaimable});
        sum += found == numbers.end() ? 0 : found->second;
    }
    return sum;
}

/// Every group of the limits, with no server.
server_counts none(const scaling_limits& limits, const std::vector<failure_domain_id>& domains) {
    server_counts numbers;
    for (const failure_domain_id& domain : domains) {
        numbers[{domain, false}] = 0;
        if (limits.reclaimable_price) {
            numbers[{domain, true}] = 0;
        }
    }
    return numbers;
}

unsigned reliable_in(const server_counts& numbers) {
    unsigned sum = 0;
    for (const auto& [group, count] : numbers) {
        sum += group.reclaimable ? 0 : count;
    }
    return sum;
}

/// Adds servers of a kind one by one, over the domains in turn, while their limits allow it.
void spread(server_counts& numbers, const scaling_limits& limits,
            const std::vector<failure_domain_id>& domains, bool reclaimable, unsigned count) {
    bool added = true;
    while (count > 0 && added) {
        added = false;
        for (const failure_domain_id& domain : domains) {
            if (count > 0 && in_domain(numbers, domain) < limits.max) {
                ++numbers[{domain, reclaimable}];
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
        has_peak_ ? peak_ * std::exp(-std::max(0.0, age.count()) / peak_memory_s) : 0.0;
    peak_ = std::max(busy, faded);
    peak_at_ = now;
    has_peak_ = true;
    return peak_;
}

void scaling_planner::observe(const server_counts& present, time_point now) {
    for (auto& [group, state] : groups_) {
        const auto found = present.find(group);
        const unsigned here = found == present.end() ? 0 : found->second;
        if (group.reclaimable && here < state.present && here < state.ordered) {
            state.failed = now;
        }
        state.present = here;
    }
}

unsigned scaling_planner::available(const scaling_limits& limits, time_point now) const {
    unsigned sum = 0;
    for (const auto& [group, state] : groups_) {
        if (!group.reclaimable) {
            continue;
        }
        const bool is_distrusted = state.failed && now - *state.failed < distrust_time;
        const bool may_boot = now - state.increased < limits.boot_time + order_slack;
        sum += may_boot && !is_distrusted ? state.ordered : std::min(state.present, state.ordered);
    }
    return sum;
}

unsigned scaling_planner::hold(unsigned wanted, time_point now) {
    if (wanted >= held_ || now - held_at_ >= hold_time) {
        held_ = wanted;
        held_at_ = now;
    }
    return held_;
}

void scaling_planner::note_orders(const server_counts& numbers, const server_counts& present,
                                  time_point now) {
    for (const auto& [group, count] : numbers) {
        const auto [known, is_new] = groups_.try_emplace(group);
        group_state& state = known->second;
        if (is_new) {
            const auto here = present.find(group);
            state.present = here == present.end() ? 0 : here->second;
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
    if (!demand_since_ && busy >= least_demand) {
        // A holder of the duties that begins amid demand has nothing to wait for.
        demand_since_ = has_peak_ ? now : now - learning_time;
    }
    const double needed = peak(busy, now) / target_use + spare_servers;
    const std::vector<failure_domain_id> domains = by_price(limits);
    server_counts numbers = none(limits, domains);
    double reliable = needed;
    if (limits.reclaimable_price) {
        server_counts reclaimable = numbers;
        spread(reclaimable, limits, domains, true, up(needed * reclaimable_part));
        note_orders(reclaimable, present, now);
        reliable =
            std::max(needed * reliable_part, needed - static_cast<double>(available(limits, now)));
    }
    unsigned count = hold(up(reliable), now);
    if (!demand_since_ || now - *demand_since_ < learning_time) {
        count = std::max(count, reliable_in(present));
    }
    spread(numbers, limits, domains, false, count);
    if (limits.reclaimable_price) {
        spread(numbers, limits, domains, true, up(needed * reclaimable_part));
    }
    for (const failure_domain_id& domain : domains) {
        const unsigned here = in_domain(numbers, domain);
        if (here < limits.min) {
            numbers[{domain, limits.reclaimable_price.has_value()}] += limits.min - here;
        }
    }
    note_orders(numbers, present, now);
    return numbers;
}

} // namespace jujubetide
