#include "fleet/fleet_cases.h"
#include "fleet/simulation/fleet_simulation.h"

#include "jujubetide/base/random_source.h"
#include "jujubetide/fleet/least_cost_planner.h"
#include "jujubetide/fleet/single_kind_planner.h"

#include <absl/strings/str_cat.h>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <ctime>
#include <string>

// Prints what the plan, all on demand and all reclaimable cost through the reclaim of the largest
// failure domain, and the processor time of planning by the number of services.

namespace jujubetide {
namespace {

void run_scenario(const fleet_scenario& scenario, std::uint64_t first_seed, int runs) {
    struct policy {
        const char* name = "";
        const fleet_planner& planner;
        step_policy steps = step_policy::steps;
    };
    const least_cost_planner least_cost;
    const single_kind_planner on_demand(host_kind::on_demand);
    const single_kind_planner reclaimable(host_kind::reclaimable);
    for (const policy& each : {policy{"plan", least_cost}, policy{"all on demand", on_demand},
                               policy{"all reclaimable", reclaimable},
                               policy{"plan, at once", least_cost, step_policy::at_once}}) {
        fleet_run_result sum;
        for (int i = 0; i < runs; ++i) {
            const fleet_run_result result = simulate_fleet(
                scenario, each.planner, first_seed + static_cast<std::uint64_t>(i), each.steps);
            sum.cost_per_hour += result.cost_per_hour;
            sum.above_capacity += result.above_capacity;
            sum.above_target += result.above_target;
            sum.starts += result.starts;
            sum.refused_starts += result.refused_starts;
            sum.stops += result.stops;
        }
        std::printf("%-17s %-16s %9.2f %12.3f %12.3f %8.1f %8.1f %8.1f\n", scenario.name.c_str(),
                    each.name, sum.cost_per_hour / runs, 100.0 * sum.above_target / runs,
                    100.0 * sum.above_capacity / runs, static_cast<double>(sum.starts) / runs,
                    static_cast<double>(sum.refused_starts) / runs,
                    static_cast<double>(sum.stops) / runs);
        std::fflush(stdout);
    }
}

void time_planning(std::size_t services, std::uint64_t seed) {
    constexpr std::size_t classes = 4;
    constexpr std::size_t domains = 8;
    constexpr double hosts = 600.0;
    seeded_random random(seed);
    fleet_problem problem =
        random_problem(random, classes, domains, hosts / static_cast<double>(services));
    const service_demand each = problem.demands.front();
    problem.demands.assign(services, each);
    for (std::size_t i = 0; i < services; ++i) {
        problem.demands[i].service = service_id(absl::StrCat("s", i));
    }
    const std::clock_t begin = std::clock();
    const fleet_plan first = least_cost_planner().plan(problem);
    const std::clock_t middle = std::clock();
    for (const service_plan& service : first.services) {
        problem.running[service.service] = service.hosts;
    }
    for (auto& [offer, price] : problem.prices) {
        const double factor = 0.9 + 0.2 * random.uniform();
        price =
            micro_price(static_cast<std::uint64_t>(static_cast<double>(price.value()) * factor));
    }
    const fleet_plan second = least_cost_planner().plan(problem);
    const std::clock_t end = std::clock();
    constexpr double ms = 1'000.0 / CLOCKS_PER_SEC;
    std::printf("%8zu %14.1f %14.1f %8zu\n", services, static_cast<double>(middle - begin) * ms,
                static_cast<double>(end - middle) * ms, second.starts);
    std::fflush(stdout);
}

int run(int argc, char** argv) {
    TCLAP::CmdLine command("Fleet plans through a reclaim, and the time of planning");
    TCLAP::ValueArg<int> runs("r", "runs", "runs of each fleet", false, 3, "number", command);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "first seed", false, 1, "number", command);
    TCLAP::SwitchArg no_runs("t", "times-only", "leave the runs out", command);
    command.parse(argc, argv);
    if (!no_runs.getValue()) {
        std::printf("%-17s %-16s %9s %12s %12s %8s %8s %8s\n", "fleet", "policy", "price/h",
                    "% above targ", "% above cap", "starts", "refused", "stops");
        for (const fleet_scenario& scenario :
             {frio_solidario_fleet(), dunajsky_pristav_fleet(), planned_fleet()}) {
            run_scenario(scenario, seed.getValue(), runs.getValue());
        }
    }
    std::printf("%8s %14s %14s %8s\n", "services", "first plan ms", "next plan ms", "starts");
    for (const std::size_t services : {1U, 10U, 100U}) {
        time_planning(services, seed.getValue());
    }
    return 0;
}

} // namespace
} // namespace jujubetide

int main(int argc, char** argv) {
    return jujubetide::run(argc, argv);
}
