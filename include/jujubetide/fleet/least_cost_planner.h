#pragma once

#include "jujubetide/fleet/fleet_planner.h"

namespace jujubetide {

/// The cheapest hosts found with which each service keeps its latency target when all reclaimable
/// hosts of any one failure domain are reclaimed at once. A host that is not running yet costs its
/// start as well, spread over the time in which it must pay back.
class least_cost_planner final : public fleet_planner {
protected:
    [[nodiscard]] host_counts do_plan(const fleet_problem& problem, const service_demand& demand,
                                      findings& why_not) const override;
};

} // namespace jujubetide
