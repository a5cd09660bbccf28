#include "jujubetide/moves/move_planner.h"

#include <algorithm>
#include <cmath>

// A fault that shows only under load or after many requests must show while few requests go to the
// version. The first server is therefore loaded fully for as long as a bounded part of the traffic
// allows; later steps add servers that run under the same load, and are short.

namespace jujubetide {
namespace {

constexpr double canary_share = 0.01;
constexpr double second_share = 0.04;
/// Leaves the old version enough requests to compare with: a failure of the new version weighs at
/// most ln(1 / share) as evidence, while the traffic at risk grows with the share. At 0.8 a fault
/// costs five times as many requests to find as at 0.5.
constexpr double last_share = 0.5;
constexpr double growth = 2.0;
/// Part of the move's length that is kept for outages.
constexpr double reserve = 0.25;
/// Parts of the move's length.
constexpr double least_canary = 0.12;
constexpr double second_length = 0.06;
constexpr double longest_full_load = 0.20;
constexpr double least_step = 0.02;
/// Parts of the service's traffic over the move.
constexpr double full_load_exposure = 0.015;
constexpr double later_exposure = 0.003;

constexpr std::uint32_t requests_needed = 20;
constexpr std::uint32_t requests_needed_at_full_load = 60;
/// Requests of the service over a move, fewer of which do not show faults early enough.
constexpr double least_total_requests = 20'000.0;
constexpr millis least_length{300'000};

/// A step as parts of the move's length.
struct relative_step {
    double share;
    double length;
    /// The least time in the step, when the move is late.
    double least;
    std::uint32_t requests = requests_needed;
};

std::vector<relative_step> ramp_shape(double server_share) {
    std::vector<relative_step> shape{{canary_share, least_canary, least_canary}};
    const double full = std::clamp(server_share, canary_share, last_share);
    if (full > second_share) {
        shape.push_back({second_share, second_length, least_step});
    }
    const double full_length = std::clamp(full_load_exposure / full, least_step, longest_full_load);
    shape.push_back({full, full_length, full_length, requests_needed_at_full_load});
    double share = full * growth;
    while (share < last_share) {
        shape.push_back({share, std::max(later_exposure / share, least_step), least_step});
        share *= growth;
    }
    if (full < last_share) {
        shape.push_back({last_share, least_step, least_step});
    }
    return shape;
}

millis part_of(millis length, double part) {
    return millis(static_cast<std::int64_t>(static_cast<double>(length.count()) * part));
}

millis least_length_for(double request_rate) {
    if (request_rate <= 0.0) {
        return millis::max() / 4;
    }
    const double needed_millis = least_total_requests / request_rate * 1'000.0;
    return std::max(least_length, millis(static_cast<std::int64_t>(std::ceil(needed_millis))));
}

} // namespace

double full_server_share(double running, double max_running) {
    constexpr double least_running = 1.0;
    return std::clamp(max_running * full_server_load / std::max(running, least_running),
                      canary_share, 1.0);
}

move_plan plan_move(const move_plan_request& request) {
    move_plan plan;
    const millis length = request.due - request.start;
    const millis needed = least_length_for(request.request_rate);
    plan.earliest_due = request.start + needed;
    plan.feasible = length >= needed;
    plan.planned_end = request.due - part_of(length, reserve);
    const std::vector<relative_step> shape = ramp_shape(request.server_share);
    wall_time end = plan.planned_end;
    for (std::size_t i = shape.size(); i-- > 0;) {
        const millis step_length = part_of(length, shape[i].length);
        const wall_time begin = i == 0 ? request.start : std::max(end - step_length, request.start);
        const millis least = part_of(length, shape[i].least);
        plan.steps.push_back({shape[i].share, begin, least, shape[i].requests});
        end = begin;
    }
    std::reverse(plan.steps.begin(), plan.steps.end());
    return plan;
}

} // namespace jujubetide
