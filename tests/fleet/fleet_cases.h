#pragma once

#include "jujubetide/fleet/fleet_problem.h"

#include <cstdint>
#include <string>

namespace jujubetide {

/// An offer of class `c0`, `c1`, ... in failure domain `d0`, `d1`, ...
inline host_offer numbered_offer(std::size_t host_class, std::size_t domain, bool reclaimable) {
    return {host_class_id("c" + std::to_string(host_class)),
            failure_domain_id("d" + std::to_string(domain)), reclaimable};
}

/// A random problem with one service: `classes` host classes whose work rates and prices grow
/// about together, in `domains` failure domains; on-demand hosts cost 1.5 to 4 times as much.
/// `required_hosts` is the demand in hosts of the smallest class.
template <class Random>
fleet_problem random_problem(Random& random, std::size_t classes, std::size_t domains,
                             double required_hosts) {
    fleet_problem problem;
    double least_rate = 0.0;
    for (std::size_t c = 0; c < classes; ++c) {
        const double rate = 100.0 * static_cast<double>(1U << c) * (0.8 + 0.4 * random.uniform());
        problem.work_rates[host_class_id("c" + std::to_string(c))] = rate;
        least_rate = c == 0 ? rate : least_rate;
        for (std::size_t d = 0; d < domains; ++d) {
            const double price =
                1e6 * static_cast<double>(1U << c) * (0.7 + 0.6 * random.uniform());
            const double factor = 1.5 + 2.5 * random.uniform();
            problem.prices[numbered_offer(c, d, true)] =
                micro_price(static_cast<std::uint64_t>(price));
            problem.prices[numbered_offer(c, d, false)] =
                micro_price(static_cast<std::uint64_t>(price * factor));
        }
    }
    service_demand demand;
    demand.service = service_id("s0");
    demand.max_utilisation = 0.8;
    demand.work_rate = least_rate * required_hosts * demand.max_utilisation;
    problem.demands.push_back(demand);
    return problem;
}

} // namespace jujubetide
