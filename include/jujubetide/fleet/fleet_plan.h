#pragma once

#include "jujubetide/base/findings.h"
#include "jujubetide/fleet/fleet_problem.h"

#include <cstddef>
#include <vector>

namespace jujubetide {

struct service_plan {
    service_id service;
    host_counts hosts;
};

struct fleet_plan {
    /// One for each demand, in their order.
    std::vector<service_plan> services;
    /// Price of an hour of all planned hosts.
    micro_price cost;
    /// Hosts to be started, over all services.
    std::size_t starts = 0;
    /// Time until all of them serve, under the limit on weight loads.
    millis ready_after{0};
    /// Why services do not get the capacity that they need; their plans are the best there is.
    findings why_not;
};

/// Capacity of the hosts, in work a second. Classes without a known rate count as 0.
double capacity_of(const host_counts& hosts, const host_work_rates& rates);
/// Capacity that is left when all reclaimable hosts of the failure domain are reclaimed.
double capacity_without(const host_counts& hosts, const host_work_rates& rates,
                        const failure_domain_id& lost);
/// Capacity that is left in the worst case of one failure domain lost.
double capacity_after_worst_loss(const host_counts& hosts, const host_work_rates& rates);
/// Price of an hour of the hosts; an offer without a price counts as the dearest of its class.
micro_price cost_of(const host_counts& hosts, const host_prices& prices);
/// The offer's price, or the highest price of its class; 0 where the class has none.
micro_price price_of(const host_offer& offer, const host_prices& prices);
/// Hosts of `wanted` that `running` lacks.
std::size_t missing_hosts(const host_counts& wanted, const host_counts& running);

} // namespace jujubetide
