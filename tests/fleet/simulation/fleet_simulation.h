#pragma once

#include "jujubetide/fleet/fleet_planner.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jujubetide {

/// Services, host classes and failure domains of a simulated fleet.
struct fleet_scenario {
    std::string name;
    std::size_t classes = 2;
    std::size_t domains = 4;
    std::vector<service_demand> demands;
};

fleet_scenario frio_solidario_fleet();
fleet_scenario dunajsky_pristav_fleet();
/// The planned size: 600 hosts of the smallest class, 8 failure domains, 4 classes.
fleet_scenario planned_fleet();

struct fleet_run_result {
    /// Mean price of an hour, in currency units.
    double cost_per_hour = 0.0;
    /// Share of all work that arrived above the serving hosts' whole capacity.
    double above_capacity = 0.0;
    /// Share of all work that arrived above the capacity at which the latency target holds.
    double above_target = 0.0;
    std::size_t starts = 0;
    std::size_t refused_starts = 0;
    std::size_t stops = 0;
};

/// How the simulated hosts get from one plan to the next.
enum class step_policy {
    /// By `next_fleet_steps`.
    steps,
    /// Naive: all missing hosts are started and all others stopped at once.
    at_once,
};

/// Two hours on a fake clock. Prices move each minute. After an hour all reclaimable hosts of the
/// failure domain that has most reclaimable capacity then are reclaimed at once, with 30 s of
/// notice, and further reclaimable hosts there are refused for 20 minutes. The plan is renewed each
/// minute, from the time of the reclaim on at the next step.
fleet_run_result simulate_fleet(const fleet_scenario& scenario, const fleet_planner& planner,
                                std::uint64_t seed, step_policy policy = step_policy::steps);

} // namespace jujubetide
