#pragma once

#include "jujubetide/base/units.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace jujubetide {

struct move_plan_request {
    wall_time start{};
    wall_time due{};
    /// Requests of the service in a second.
    double request_rate = 0.0;
    /// Share of the service's traffic that loads one server of the new version fully, in (0, 1].
    double server_share = 0.05;
};

/// One step of a ramp.
struct move_plan_step {
    /// Share of the requests for the new version.
    double share = 0.0;
    /// When the step begins if nothing holds it up.
    wall_time planned_at{};
    /// The least time in the step before the next one.
    millis least_time{0};
    /// Requests on the new version in the step before the next one.
    std::uint32_t needed_requests = 0;
};

struct move_plan {
    /// Whether the due time can be met.
    bool feasible = false;
    /// The earliest due time that can be met from the same start.
    wall_time earliest_due{};
    std::vector<move_plan_step> steps;
    /// When the move is done if nothing holds it up; earlier than the due time by the reserve.
    wall_time planned_end{};
};

/// Running requests at which a server of a version under trial counts as fully loaded, as a part of
/// its maximum.
inline constexpr double full_server_load = 0.7;

/// The share of the service's traffic that loads one server fully, where the service has `running`
/// requests at once and a server takes `max_running`.
double full_server_share(double running, double max_running);

/// Plans the ramp backwards from the due time: the short steps with high shares as late as the
/// reserve permits, and what time is left at the smallest share.
move_plan plan_move(const move_plan_request& request);

} // namespace jujubetide
