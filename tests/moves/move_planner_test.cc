#include "jujubetide/moves/move_planner.h"

#include <catch2/catch.hpp>

namespace jujubetide {
namespace {

move_plan_request hour_at(double rate, double server_share) {
    return {wall_time(millis(0)), wall_time(millis(3'600'000)), rate, server_share};
}

/// Part of the service's traffic that the version gets before the last step.
double exposure(const move_plan& plan, millis length) {
    double sum = 0.0;
    for (std::size_t i = 0; i + 1 < plan.steps.size(); ++i) {
        const millis in_step = plan.steps[i + 1].planned_at - plan.steps[i].planned_at;
        sum += plan.steps[i].share * static_cast<double>(in_step.count());
    }
    return sum / static_cast<double>(length.count());
}

} // namespace

TEST_CASE("a ramp rises, ends before the due time and keeps the traffic at risk small") {
    for (const double server_share : {0.02, 0.05, 0.1, 0.3, 1.0}) {
        const move_plan plan = plan_move(hour_at(20.0, server_share));
        CAPTURE(server_share);
        CHECK(plan.feasible);
        CHECK(plan.planned_end < wall_time(millis(3'600'000)));
        for (std::size_t i = 1; i < plan.steps.size(); ++i) {
            CHECK(plan.steps[i].share > plan.steps[i - 1].share);
            CHECK(plan.steps[i].planned_at >= plan.steps[i - 1].planned_at + millis(72'000));
        }
        CHECK(exposure(plan, millis(3'600'000)) <= 0.05);
    }
}

TEST_CASE("a plan that cannot be met tells the earliest due time, which can be met") {
    move_plan_request request = hour_at(1.0, 0.1);
    const move_plan late = plan_move(request);
    CHECK_FALSE(late.feasible);
    CHECK(late.earliest_due > request.due);
    request.due = late.earliest_due;
    CHECK(plan_move(request).feasible);
}

TEST_CASE("a service without traffic has no feasible plan") {
    CHECK_FALSE(plan_move(hour_at(0.0, 0.1)).feasible);
}

} // namespace jujubetide
