#include "jujubetide/fleet/fleet_planner.h"

namespace jujubetide {
namespace {

void count_starts(const fleet_problem& problem, fleet_plan& plan) {
    for (const service_plan& service : plan.services) {
        const auto running = problem.running.find(service.service);
        plan.starts += missing_hosts(
            service.hosts, running == problem.running.end() ? host_counts() : running->second);
    }
    const std::size_t at_once = problem.weight_loads_at_once;
    plan.ready_after = problem.start_time * ((plan.starts + at_once - 1) / at_once);
}

} // namespace

fleet_plan fleet_planner::plan(const fleet_problem& problem) const {
    fleet_plan plan;
    for (const service_demand& demand : problem.demands) {
        plan.services.push_back({demand.service, do_plan(problem, demand, plan.why_not)});
        plan.cost += cost_of(plan.services.back().hosts, problem.prices);
    }
    count_starts(problem, plan);
    return plan;
}

} // namespace jujubetide
