#include "jujubetide/serving/retry_policy.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

serving_route route_of(call_kind kind, bool resumable, int attempts) {
    serving_route route;
    route.kind = kind;
    route.is_resumable = resumable;
    route.max_attempts = attempts;
    return route;
}

/// Progress of a call after `tries` attempts that ended with `outcome`.
call_progress after(attempt_outcome outcome, int tries) {
    call_progress progress;
    const bool was_void =
        outcome == attempt_outcome::not_sent || outcome == attempt_outcome::wrong_server;
    progress.undelivered_sends = was_void ? tries : 0;
    progress.servers_tried = was_void ? 0 : tries;
    progress.may_have_run = !was_void && outcome != attempt_outcome::not_run;
    progress.has_begun = outcome == attempt_outcome::broken_midway;
    return progress;
}

constexpr auto all_outcomes = {attempt_outcome::not_sent,     attempt_outcome::not_run,
                               attempt_outcome::wrong_server, attempt_outcome::error_answer,
                               attempt_outcome::broken,       attempt_outcome::broken_midway};

} // namespace

TEST_CASE("a call that may run at most once is never sent again after it may have run") {
    const auto kind = GENERATE(call_kind::non_idempotent, call_kind::streaming);
    const serving_route route = route_of(kind, false, 5);
    for (const attempt_outcome outcome : all_outcomes) {
        const call_progress progress = after(outcome, 1);
        if (progress.may_have_run) {
            CHECK(retry_policy::decide(route, progress, outcome) != next_step::resend);
        } else {
            CHECK(retry_policy::decide(route, progress, outcome) == next_step::resend);
        }
    }
}

TEST_CASE("no call goes to more servers than its route allows") {
    const serving_route route = route_of(call_kind::idempotent, false, 2);
    for (const attempt_outcome outcome : all_outcomes) {
        CHECK(retry_policy::decide(route, after(outcome, 1), outcome) == next_step::resend);
        if (after(outcome, 2).servers_tried == 2) {
            CHECK(retry_policy::decide(route, after(outcome, 2), outcome) != next_step::resend);
        }
    }
}

TEST_CASE("undelivered sends are limited as well") {
    const serving_route route = route_of(call_kind::idempotent, false, 2);
    const auto outcome = GENERATE(attempt_outcome::not_sent, attempt_outcome::wrong_server);
    CHECK(retry_policy::decide(route, after(outcome, retry_policy::max_undelivered_sends),
                               outcome) == next_step::refuse);
}

TEST_CASE("only a call that was not run is refused as not run") {
    for (const attempt_outcome outcome : all_outcomes) {
        const call_progress progress = after(outcome, 1);
        const next_step step = retry_policy::fallback_step(progress, outcome);
        CHECK((step == next_step::refuse) == !progress.may_have_run);
        CHECK((step == next_step::abort_answer) == progress.has_begun);
        CHECK((step == next_step::forward_error) == (outcome == attempt_outcome::error_answer));
    }
}

TEST_CASE("callers wait for an event for two seconds, four targets or eight gaps") {
    serving_route route = route_of(call_kind::streaming, true, 2);
    route.target = millis{300};
    route.max_event_gap = millis{200};
    CHECK(retry_policy::caller_patience(route) == millis{2'000});
    route.target = millis{1'200};
    CHECK(retry_policy::caller_patience(route) == millis{4'800});
    route.max_event_gap = millis{700};
    CHECK(retry_policy::caller_patience(route) == millis{5'600});
}
