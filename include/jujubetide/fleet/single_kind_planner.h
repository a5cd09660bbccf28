#pragma once

#include "jujubetide/fleet/fleet_planner.h"

namespace jujubetide {

/// Which hosts a `single_kind_planner` takes.
enum class host_kind { on_demand, reclaimable };

/// A naive planner for comparison: the cheapest hosts of one kind for the required capacity, with
/// no regard to the loss of a failure domain or to the hosts that run.
class single_kind_planner final : public fleet_planner {
public:
    explicit single_kind_planner(host_kind kind) : kind_(kind) {}

protected:
    [[nodiscard]] host_counts do_plan(const fleet_problem& problem, const service_demand& demand,
                                      findings& why_not) const override;

private:
    host_kind kind_;
};

} // namespace jujubetide
