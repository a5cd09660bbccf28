#include "jujubetide/fleet/least_cost_planner.h"

#include "fleet/service_offers.h"

#include <absl/strings/str_cat.h>

namespace jujubetide {
namespace {

std::string list_of(const std::set<host_offer>& offers) {
    std::string list;
    for (const host_offer& offer : offers) {
        absl::StrAppend(&list, list.empty() ? "" : ", ", offer.host_class.str(), " in ",
                        offer.failure_domain.str(),
                        offer.reclaimable ? " (reclaimable)" : " (on demand)");
    }
    return list.empty() ? "none" : list;
}

} // namespace

host_counts least_cost_planner::do_plan(const fleet_problem& problem, const service_demand& demand,
                                        findings& why_not) const {
    const double required = demand.required_rate();
    if (required <= 0.0) {
        return {};
    }
    const service_offers offers(problem, demand.service);
    const loss_cover cover = offers.cover(required);
    if (const auto counts = cover.solve(offers.running())) {
        return offers.hosts_of(*counts);
    }
    // What runs is kept, and filled up at least for the time without a loss.
    host_counts best = offers.hosts_of(cover.fill_without_loss(offers.running()));
    why_not.add({"fleet", 0, demand.service.str()},
                absl::StrCat("needs a capacity of ", required, " and gets ",
                             capacity_of(best, problem.work_rates), ", of which ",
                             capacity_after_worst_loss(best, problem.work_rates),
                             " is left after the loss of a failure domain; refused starts: ",
                             list_of(problem.refused)));
    return best;
}

} // namespace jujubetide
