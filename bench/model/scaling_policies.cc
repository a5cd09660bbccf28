#include "model/scaling_policies.h"

#include <algorithm>
#include <cmath>

namespace jujubetide::model {
namespace {

constexpr micros shrink_delay{std::chrono::seconds(8)};
/// How far ahead hindsight looks for reclaims: a server that is taken away earlier is not worth its
/// boot time.
constexpr micros reclaim_horizon{std::chrono::seconds(8)};
/// Utilisation at which nearly all calls of the model are on time.
constexpr double hindsight_utilisation = 0.8;
/// Time before the first call in a run.
constexpr micros lead_time{std::chrono::seconds(10)};

/// Spreads `count` servers of one kind over `domains`; all other groups get none.
server_counts spread(const scaling_limits& limits, const std::vector<failure_domain_id>& domains,
                     unsigned count, bool reclaimable) {
    server_counts counts;
    for (const auto& [domain, unused] : limits.prices) {
        counts[{domain, false}] = 0;
        counts[{domain, true}] = 0;
    }
    for (unsigned i = 0; i < count && !domains.empty(); ++i) {
        ++counts[{domains[i % domains.size()], reclaimable}];
    }
    return counts;
}

std::vector<failure_domain_id> all_domains(const scaling_limits& limits) {
    std::vector<failure_domain_id> domains;
    for (const auto& [domain, unused] : limits.prices) {
        domains.push_back(domain);
    }
    return domains;
}

} // namespace

server_counts planner_policy::do_plan(const scaling_view& view) {
    return planner_.plan(view.limits, view.load, view.present, view.now);
}

bool planner_policy::do_repeats(const server_group& group) const {
    return planner_.is_short(group);
}

void planner_policy::do_answer(const server_group& group, bool accepted, time_point now) {
    if (accepted) {
        planner_.on_order_accepted(group, now);
    } else {
        planner_.on_order_refused(group);
    }
}

server_counts fixed_policy::do_plan(const scaling_view& view) {
    return spread(view.limits, all_domains(view.limits), servers_, false);
}

server_counts utilisation_policy::do_plan(const scaling_view& view) {
    if (!has_seen_load_ && view.load.busy <= 0.0) {
        return view.present;
    }
    has_seen_load_ = true;
    const auto wanted = static_cast<unsigned>(std::ceil(std::max(1.0, view.load.busy / target_)));
    if (wanted >= servers_ || view.now - confirmed_ >= shrink_delay) {
        servers_ = wanted;
        confirmed_ = view.now;
    }
    return spread(view.limits, all_domains(view.limits), servers_,
                  reclaimable_ && view.limits.reclaimable_price);
}

server_counts hindsight_policy::do_plan(const scaling_view& view) {
    const micros time = view.now.time_since_epoch();
    const micros boot = view.limits.boot_time;
    double peak = 0.0;
    constexpr micros look_step{250'000};
    constexpr micros margin{1'500'000};
    for (micros ahead{0}; ahead <= boot + margin; ahead += look_step) {
        const micros at = time + ahead - lead_time;
        peak = std::max(peak, at < micros{0} ? 0.0 : scenario_.busy_at(at));
    }
    const double servers = peak + std::sqrt(peak);
    const auto wanted =
        static_cast<unsigned>(std::ceil(std::max(peak / hindsight_utilisation, servers)));
    std::vector<failure_domain_id> safe = all_domains(view.limits);
    for (const auto& event : scenario_.reclaims) {
        const micros at = lead_time + event.at;
        if (at > time && at <= time + reclaim_horizon + boot) {
            const failure_domain_id lost =
                std::next(view.limits.prices.begin(), static_cast<std::ptrdiff_t>(event.domain))
                    ->first;
            std::erase(safe, lost);
        }
    }
    if (!view.limits.reclaimable_price || safe.empty()) {
        return spread(view.limits, all_domains(view.limits), wanted, false);
    }
    return spread(view.limits, safe, wanted, true);
}

} // namespace jujubetide::model
