#include "jujubetide/fleet/fleet_plan.h"

#include <algorithm>

namespace jujubetide {
namespace {

double rate_of(const host_offer& offer, const host_work_rates& rates) {
    const auto found = rates.find(offer.host_class);
    return found == rates.end() ? 0.0 : found->second;
}

} // namespace

double capacity_of(const host_counts& hosts, const host_work_rates& rates) {
    return capacity_without(hosts, rates, failure_domain_id());
}

double capacity_without(const host_counts& hosts, const host_work_rates& rates,
                        const failure_domain_id& lost) {
    double capacity = 0.0;
    for (const auto& [offer, count] : hosts) {
        if (!offer.reclaimable || offer.failure_domain != lost) {
            capacity += rate_of(offer, rates) * static_cast<double>(count);
        }
    }
    return capacity;
}

double capacity_after_worst_loss(const host_counts& hosts, const host_work_rates& rates) {
    double least = capacity_of(hosts, rates);
    for (const auto& [offer, count] : hosts) {
        if (offer.reclaimable && count > 0) {
            least = std::min(least, capacity_without(hosts, rates, offer.failure_domain));
        }
    }
    return least;
}

micro_price price_of(const host_offer& offer, const host_prices& prices) {
    if (const auto found = prices.find(offer); found != prices.end()) {
        return found->second;
    }
    micro_price dearest;
    for (const auto& [other, price] : prices) {
        if (other.host_class == offer.host_class) {
            dearest = std::max(dearest, price);
        }
    }
    return dearest;
}

micro_price cost_of(const host_counts& hosts, const host_prices& prices) {
    micro_price cost;
    for (const auto& [offer, count] : hosts) {
        cost += micro_price(price_of(offer, prices).value() * count);
    }
    return cost;
}

std::size_t missing_hosts(const host_counts& wanted, const host_counts& running) {
    std::size_t missing = 0;
    for (const auto& [offer, count] : wanted) {
        const auto found = running.find(offer);
        const std::size_t there = found == running.end() ? 0 : found->second;
        missing += count > there ? count - there : 0;
    }
    return missing;
}

} // namespace jujubetide
