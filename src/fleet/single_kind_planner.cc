#include "jujubetide/fleet/single_kind_planner.h"

#include "fleet/service_offers.h"

#include <set>

namespace jujubetide {
namespace {

void add_to(host_counts& sum, const host_counts& hosts) {
    for (const auto& [offer, count] : hosts) {
        sum[offer] += count;
    }
}

host_counts cheapest(const service_offers& offers, double required) {
    const loss_cover cover = offers.cover(required);
    return offers.hosts_of(cover.fill_without_loss(cover_counts(offers.running().size(), 0)));
}

} // namespace

host_counts single_kind_planner::do_plan(const fleet_problem& problem, const service_demand& demand,
                                         findings& why_not) const {
    const double required = demand.required_rate();
    service_offers offers(problem, demand.service);
    offers.keep(kind_ == host_kind::reclaimable);
    host_counts hosts;
    if (kind_ == host_kind::on_demand) {
        hosts = cheapest(offers, required);
    } else {
        // Spread evenly over the failure domains that can be had.
        std::vector<service_offers> domains;
        for (const failure_domain_id& domain : offers.failure_domains()) {
            service_offers part = offers;
            part.keep(domain);
            if (!part.running().empty()) {
                domains.push_back(std::move(part));
            }
        }
        for (const service_offers& domain : domains) {
            add_to(hosts, cheapest(domain, required / static_cast<double>(domains.size())));
        }
    }
    if (capacity_of(hosts, problem.work_rates) < required) {
        why_not.add({"fleet", 0, demand.service.str()}, "the offers do not suffice");
    }
    return hosts;
}

} // namespace jujubetide
