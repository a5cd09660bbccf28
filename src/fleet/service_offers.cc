#include "fleet/service_offers.h"

#include "jujubetide/fleet/fleet_plan.h"

#include <algorithm>
#include <set>

namespace jujubetide {

service_offers::service_offers(const fleet_problem& problem, const service_id& service) {
    const auto found = problem.running.find(service);
    const host_counts running = found == problem.running.end() ? host_counts() : found->second;
    std::set<host_offer> offers;
    for (const auto& [offer, price] : problem.prices) {
        offers.insert(offer);
    }
    for (const auto& [offer, count] : running) {
        offers.insert(offer);
    }
    for (const host_offer& offer : offers) {
        const auto count = running.find(offer);
        add(problem, offer, count == running.end() ? 0 : count->second);
    }
}

void service_offers::add(const fleet_problem& problem, const host_offer& offer,
                         std::size_t running) {
    const auto rate = problem.work_rates.find(offer.host_class);
    if (rate == problem.work_rates.end() || rate->second <= 0.0) {
        return;
    }
    cover_offer cover{rate->second, static_cast<double>(price_of(offer, problem.prices).value()),
                      domain_number(offer), running};
    if (running > 0) {
        entries_.push_back({offer, cover, true});
    }
    if (problem.prices.contains(offer) && !problem.refused.contains(offer)) {
        // A new host is paid for while it starts; within the payback time that must be saved.
        cover.price *= 1.0 + static_cast<double>(problem.start_time.count()) /
                                 static_cast<double>(problem.payback.count());
        cover.most = SIZE_MAX;
        entries_.push_back({offer, cover, false});
    }
}

std::size_t service_offers::domain_number(const host_offer& offer) {
    const auto found = std::find(domains_.begin(), domains_.end(), offer.failure_domain);
    const auto number = static_cast<std::size_t>(found - domains_.begin());
    if (found == domains_.end()) {
        domains_.push_back(offer.failure_domain);
    }
    return offer.reclaimable ? number : cover_offer::never_lost;
}

template <class Wanted>
void service_offers::keep_if(const Wanted& wanted) {
    std::erase_if(entries_, [&wanted](const entry& each) { return !wanted(each.offer); });
}

void service_offers::keep(bool reclaimable) {
    keep_if([&](const host_offer& offer) { return offer.reclaimable == reclaimable; });
}

void service_offers::keep(const failure_domain_id& failure_domain) {
    keep_if([&](const host_offer& offer) { return offer.failure_domain == failure_domain; });
}

loss_cover service_offers::cover(double required) const {
    std::vector<cover_offer> offers;
    for (const entry& each : entries_) {
        offers.push_back(each.cover);
    }
    return {std::move(offers), domains_.size(), required};
}

cover_counts service_offers::running() const {
    cover_counts counts;
    for (const entry& each : entries_) {
        counts.push_back(each.running ? each.cover.most : 0);
    }
    return counts;
}

host_counts service_offers::hosts_of(const cover_counts& counts) const {
    host_counts hosts;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (counts[i] > 0) {
            hosts[entries_[i].offer] += counts[i];
        }
    }
    return hosts;
}

} // namespace jujubetide
