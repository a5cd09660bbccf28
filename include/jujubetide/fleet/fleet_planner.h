#pragma once

#include "jujubetide/fleet/fleet_plan.h"

namespace jujubetide {

/// Decides which hosts each service is to have. Deterministic and without state.
class fleet_planner {
public:
    virtual ~fleet_planner() = default;
    [[nodiscard]] fleet_plan plan(const fleet_problem& problem) const;

protected:
    fleet_planner() = default;
    fleet_planner(const fleet_planner&) = default;
    fleet_planner& operator=(const fleet_planner&) = default;
    /// The hosts of one service; a service that cannot get its capacity gets the most there is, and
    /// a finding.
    [[nodiscard]] virtual host_counts do_plan(const fleet_problem& problem,
                                              const service_demand& demand,
                                              findings& why_not) const = 0;
};

} // namespace jujubetide
