#include "jujubetide/serving/scaling_planner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>
#include <vector>

namespace jujubetide {
namespace {

/// Servers beyond the load, as a multiple of its square root: with random arrivals this keeps the
/// probability that a call waits for a server about the same at every size.
constexpr double staffing_factor = 1.7;
/// Highest utilisation after the loss of the reclaimable servers of one, two and three failure
/// domains. Beyond 1, the priorities of routes and customers decide who is served until
/// replacements have booted.
constexpr std::array max_utilisation_after_loss{0.6, 0.7, 1.0};
/// Highest utilisation after the loss of all reclaimable servers at a moment when no node can order
/// others.
constexpr double max_utilisation_all_lost = 2.0;
/// Fractions of the places and of the KV cache that may be taken; placement does not fill every
/// server evenly, and cached prompts need memory too.
constexpr double usable_places = 0.75;
constexpr double usable_memory = 0.7;
/// Time beyond the boot time after which an ordered server counts as unavailable.
constexpr micros order_slack{1'500'000};
/// Servers are released only after they were not needed for this long.
constexpr micros scale_down_delay{8'000'000};
/// The demand counts as measured this long after the first calls; until then no reliable server is
/// released.
constexpr micros demand_learning_time{8'000'000};
/// Numbers of reliable servers that are tried for a plan: large fleets need no finer mix.
constexpr unsigned max_mixes = 32;
/// Demand below this counts as no demand, in servers.
constexpr double min_demand = 0.05;

/// Numbers of servers that are needed.
struct requirement {
    double normal = 0.0;
    /// While the reclaimable servers of one failure domain are lost, of two, and so on.
    std::array<double, max_utilisation_after_loss.size()> after_loss{};
    double reliable = 0.0;
    /// Failure domains that are lost now.
    std::size_t lost_domains = 0;
};

requirement servers_for(const service_load& load) {
    requirement needed;
    const double room = std::max(load.occupied, load.memory);
    needed.normal = std::max({load.busy + staffing_factor * std::sqrt(load.busy),
                              load.occupied / usable_places, load.memory / usable_memory});
    for (std::size_t i = 0; i < needed.after_loss.size(); ++i) {
        needed.after_loss[i] = std::max(load.busy, room) / max_utilisation_after_loss[i];
    }
    needed.reliable = load.busy / max_utilisation_all_lost;
    return needed;
}

/// A failure domain's price, how many reclaimable servers it can be relied on to have, and how many
/// servers of each kind are planned there.
struct domain_plan {
    failure_domain_id domain;
    double price = 1.0;
    unsigned max_reclaimable = 0;
    unsigned reliable = 0;
    unsigned reclaimable = 0;
};

using domain_plans = std::vector<domain_plan>;

unsigned round_up(double servers) {
    return static_cast<unsigned>(std::ceil(std::max(0.0, servers)));
}

unsigned count_of(const server_counts& counts, const server_group& group) {
    const auto found = counts.find(group);
    return found == counts.end() ? 0 : found->second;
}

/// Adds up to `count` servers, evenly over the domains as far as each has `room`; the first ones
/// get the remainder.
template <class Room>
void spread(domain_plans& domains, unsigned domain_plan::*kind, unsigned count, const Room& room) {
    while (count > 0) {
        const auto open = static_cast<unsigned>(
            std::count_if(domains.begin(), domains.end(),
                          [&room](const domain_plan& domain) { return room(domain) > 0; }));
        if (open == 0) {
            return;
        }
        const unsigned share = std::max(1U, count / open);
        for (domain_plan& domain : domains) {
            const unsigned added = std::min({share, room(domain), count});
            domain.*kind += added;
            count -= added;
        }
    }
}

void place(domain_plans& domains, unsigned reliable, unsigned reclaimable, unsigned max) {
    for (domain_plan& domain : domains) {
        domain.reliable = 0;
        domain.reclaimable = 0;
    }
    spread(domains, &domain_plan::reliable, reliable,
           [max](const domain_plan& domain) { return max - std::min(max, domain.reliable); });
    spread(domains, &domain_plan::reclaimable, reclaimable, [max](const domain_plan& domain) {
        const unsigned limit = std::min(domain.max_reclaimable, max - domain.reliable);
        return limit - std::min(limit, domain.reclaimable);
    });
}

bool satisfies(const domain_plans& domains, const requirement& needed) {
    unsigned remaining = 0;
    unsigned reliable = 0;
    std::vector<unsigned> reclaimable;
    for (const domain_plan& domain : domains) {
        remaining += domain.reliable + domain.reclaimable;
        reliable += domain.reliable;
        reclaimable.push_back(domain.reclaimable);
    }
    if (remaining < needed.normal || reliable < needed.reliable) {
        return false;
    }
    std::sort(reclaimable.begin(), reclaimable.end(), std::greater<>());
    for (std::size_t i = 0; i < reclaimable.size(); ++i) {
        // However many are lost, another may be lost before replacements have booted.
        const std::size_t most_losses = needed.after_loss.size() - 1;
        const std::size_t losses = needed.lost_domains + i;
        if (losses > most_losses && i > 0) {
            break;
        }
        remaining -= reclaimable[i];
        if (remaining < needed.after_loss[std::min(losses, most_losses)]) {
            return false;
        }
    }
    return true;
}

double cost_of(const domain_plans& domains, double reclaimable_price) {
    double cost = 0.0;
    for (const domain_plan& domain : domains) {
        cost += domain.price * (domain.reliable + reclaimable_price * domain.reclaimable);
    }
    return cost;
}

/// Plans the fewest reclaimable servers that satisfy `needed` beside `reliable` others; returns
/// whether any number does.
bool plan_reclaimable(domain_plans& domains, unsigned reliable, unsigned max,
                      const requirement& needed) {
    unsigned limit = 0;
    for (const domain_plan& domain : domains) {
        limit += domain.max_reclaimable;
    }
    unsigned low = 0;
    unsigned high = limit;
    while (low < high) {
        const unsigned middle = (low + high) / 2;
        place(domains, reliable, middle, max);
        if (satisfies(domains, needed)) {
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    place(domains, reliable, low, max);
    return satisfies(domains, needed);
}

/// The cheapest servers that satisfy `needed`, or as many as the limits allow.
domain_plans cheapest_fleet(domain_plans domains, const scaling_limits& limits,
                            const requirement& needed) {
    const unsigned most = round_up(needed.normal);
    plan_reclaimable(domains, most, limits.max, needed);
    domain_plans best = domains;
    double lowest = cost_of(best, limits.reclaimable_price.value_or(1.0));
    const unsigned step = 1 + most / max_mixes;
    for (unsigned reliable = 0; reliable < most; reliable += step) {
        if (plan_reclaimable(domains, reliable, limits.max, needed)) {
            const double cost = cost_of(domains, limits.reclaimable_price.value_or(1.0));
            if (cost < lowest) {
                lowest = cost;
                best = domains;
            }
        }
    }
    return best;
}

/// Raises the counts so that `needed` of the reliable servers that are present stay.
void keep_reliable(server_counts& counts, const server_counts& present, unsigned needed) {
    unsigned kept = 0;
    for (const auto& [group, count] : counts) {
        kept += group.reclaimable ? 0 : std::min(count, count_of(present, group));
    }
    for (auto& [group, count] : counts) {
        const unsigned current = count_of(present, group);
        if (group.reclaimable || current <= count || kept >= needed) {
            continue;
        }
        const unsigned added = std::min(current - count, needed - kept);
        count += added;
        kept += added;
    }
}

domain_plans by_price(const scaling_limits& limits) {
    domain_plans domains;
    for (const auto& [domain, price] : limits.prices) {
        domains.push_back({domain, price, limits.reclaimable_price ? limits.max : 0, 0, 0});
    }
    std::stable_sort(domains.begin(), domains.end(),
                     [](const auto& a, const auto& b) { return a.price < b.price; });
    return domains;
}

/// Lowers the counts to `max` for the two kinds of a failure domain together. Reliable servers have
/// precedence over reclaimable ones that do not serve yet. Those that serve leave only as far as
/// `needed` servers that serve stay: what replaces them has to boot first.
void fit_within(unsigned max, unsigned needed, server_counts& counts,
                const server_counts& present) {
    unsigned serving = 0;
    for (const auto& [group, count] : counts) {
        const unsigned here = count_of(present, group);
        serving += group.reclaimable ? here : std::min(count, here);
    }
    unsigned spare = serving - std::min(serving, needed);
    for (auto& [group, count] : counts) {
        if (!group.reclaimable) {
            continue;
        }
        unsigned& reliable = counts.at({group.failure_domain, false});
        const unsigned here = std::min(max, count_of(present, group));
        const unsigned released = std::min(spare, here - std::min(here, count));
        spare -= released;
        const unsigned kept = here - released;
        count = std::max(kept, std::min(count, max - std::min(max, reliable)));
        reliable = std::min(reliable, max - count);
    }
}

} // namespace

unsigned scaling_planner::delayed_fall::update(unsigned wanted, time_point now) {
    if (wanted >= value || now - confirmed >= scale_down_delay) {
        value = wanted;
        confirmed = now;
    }
    return value;
}

void scaling_planner::observe(const scaling_limits& limits, const server_counts& present,
                              time_point now) {
    for (auto& [group, state] : groups_) {
        const unsigned current = count_of(present, group);
        const bool is_overdue = now - state.ordered_at >= limits.boot_time + order_slack;
        if (current >= state.ordered) {
            state.is_short = false;
        } else if (current < state.present || is_overdue) {
            state.is_short = true;
        }
        state.present = current;
    }
}

bool scaling_planner::is_short(const server_group& group) const {
    const auto found = groups_.find(group);
    return found != groups_.end() && found->second.is_short;
}

void scaling_planner::on_order_accepted(const server_group& group, time_point now) {
    group_state& state = groups_[group];
    state.is_short = false;
    state.ordered_at = now;
}

void scaling_planner::on_order_refused(const server_group& group) {
    groups_[group].is_short = true;
}

void scaling_planner::note_orders(const server_counts& counts, const server_counts& present,
                                  time_point now) {
    for (const auto& [group, count] : counts) {
        const auto [known, is_new] = groups_.try_emplace(group);
        group_state& state = known->second;
        if (is_new) {
            state.present = count_of(present, group);
        }
        if (count > state.ordered) {
            state.ordered_at = now;
        }
        state.ordered = count;
    }
}

server_counts scaling_planner::delay_falls(const server_counts& wanted,
                                           const server_counts& present, time_point now) {
    server_counts counts = wanted;
    for (auto& [group, count] : counts) {
        const auto [delayed, is_new] = delayed_.try_emplace(group);
        if (is_new && group.reclaimable) {
            // Another holder of the duties may have just ordered these.
            delayed->second = {count_of(present, group), now};
        }
        count = delayed->second.update(count, now);
    }
    return counts;
}

server_counts scaling_planner::plan(const scaling_limits& limits, const service_load& load,
                                    const server_counts& present, time_point now) {
    observe(limits, present, now);
    if (!demand_since_ && load.busy >= min_demand) {
        // A planner whose first plan already sees demand has taken over from another holder of
        // the duties: the demand counts as measured.
        demand_since_ = has_planned_ ? now : now - demand_learning_time;
    }
    has_planned_ = true;
    requirement needed = servers_for(forecast_.update(load, limits.boot_time, now));
    domain_plans domains = by_price(limits);
    // Groups that are short are ordered as if they were not, but not relied on.
    const domain_plans ideal = cheapest_fleet(domains, limits, needed);
    for (domain_plan& domain : domains) {
        const server_group group{domain.domain, true};
        if (is_short(group)) {
            domain.max_reclaimable = std::min(domain.max_reclaimable, count_of(present, group));
            ++needed.lost_domains;
        }
    }
    const domain_plans actual = cheapest_fleet(domains, limits, needed);
    server_counts counts;
    for (std::size_t i = 0; i < domains.size(); ++i) {
        const server_group reliable{actual[i].domain, false};
        const server_group reclaimable{actual[i].domain, true};
        counts[reliable] = actual[i].reliable;
        if (!limits.reclaimable_price) {
            counts[reliable] = std::max(counts[reliable], limits.min);
            continue;
        }
        counts[reclaimable] = is_short(reclaimable)
                                  ? std::max(ideal[i].reclaimable, actual[i].reclaimable)
                                  : actual[i].reclaimable;
        const unsigned sum = counts[reliable] + counts[reclaimable];
        counts[reclaimable] += limits.min - std::min(limits.min, sum);
    }
    counts = delay_falls(counts, present, now);
    if (!demand_since_ || now - *demand_since_ < demand_learning_time) {
        keep_reliable(counts, present, std::numeric_limits<unsigned>::max());
    } else {
        unsigned reclaimable = 0;
        for (const auto& [group, count] : present) {
            reclaimable += group.reclaimable ? count : 0;
        }
        const unsigned total = round_up(needed.normal);
        keep_reliable(counts, present, total - std::min(total, reclaimable));
    }
    fit_within(limits.max, round_up(needed.normal), counts, present);
    note_orders(counts, present, now);
    return counts;
}

} // namespace jujubetide
