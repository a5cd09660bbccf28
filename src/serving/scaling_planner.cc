#include "jujubetide/serving/scaling_planner.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace jujubetide {
namespace {

/// Part of a server's time that its work may take while callers still get their targets.
constexpr double target_use = 0.5;
/// Servers beyond those needed on average, for bursts.
constexpr double spare_servers = 1.0;
/// Time in which a past peak loses most of its weight, in seconds.
constexpr double peak_memory_s = 20.0;
/// Part of the servers needed that is not reclaimable.
constexpr double reliable_part = 0.25;
/// Reclaimable servers as a multiple of those needed: a failure domain's worth may go at once.
constexpr double reclaimable_part = 1.25;
/// Time beyond the boot time after which an ordered server counts as not to be had.
constexpr micros order_slack{2'000'000};

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
unsigned in_domain(const server_numbers& numbers, const failure_domain_id& domain) {
    unsigned sum = 0;
    for (const bool reclaimable : {false, true}) {
        const auto found = numbers.find({domain, reclaimable});
        sum += found == numbers.end() ? 0 : found->second;
    }
    return sum;
}

/// Adds servers of a kind one by one, over the domains in turn, while their limits allow it.
void spread(server_numbers& numbers, const scaling_limits& limits,
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

unsigned scaling_planner::missing(const scaling_limits& limits, const server_numbers& present,
                                  time_point now) const {
    unsigned sum = 0;
    for (const auto& [group, count] : ordered_) {
        const auto since = ordered_since_.find(group);
        if (!group.reclaimable || since == ordered_since_.end() ||
            now - since->second < limits.boot_time + order_slack) {
            continue;
        }
        const auto found = present.find(group);
        const unsigned here = found == present.end() ? 0 : found->second;
        sum += count - std::min(count, here);
    }
    return sum;
}

server_numbers scaling_planner::plan(const scaling_limits& limits, double busy,
                                     const server_numbers& present, time_point now) {
    const double needed = peak(busy, now) / target_use + spare_servers;
    const std::vector<failure_domain_id> domains = by_price(limits);
    server_numbers numbers;
    for (const failure_domain_id& domain : domains) {
        numbers[{domain, false}] = 0;
        if (limits.reclaimable_price) {
            numbers[{domain, true}] = 0;
        }
    }
    if (limits.reclaimable_price) {
        const double lost = static_cast<double>(missing(limits, present, now));
        spread(numbers, limits, domains, false,
               up(needed * reliable_part + std::min(lost, needed * (1.0 - reliable_part))));
        spread(numbers, limits, domains, true, up(needed * reclaimable_part));
    } else {
        spread(numbers, limits, domains, false, up(needed));
    }
    for (const failure_domain_id& domain : domains) {
        const unsigned here = in_domain(numbers, domain);
        if (here < limits.min) {
            numbers[{domain, limits.reclaimable_price.has_value()}] += limits.min - here;
        }
    }
    for (const auto& [group, count] : numbers) {
        const auto before = ordered_.find(group);
        if (before == ordered_.end() || before->second != count) {
            ordered_since_[group] = now;
        }
    }
    ordered_ = numbers;
    return numbers;
}

} // namespace jujubetide
