#include "jujubetide/serving/retry_policy.h"

#include <algorithm>

namespace jujubetide {

micros retry_policy::caller_patience(const serving_route& route) {
    constexpr millis min_patience{2'000};
    constexpr int targets = 4;
    constexpr int gaps = 8;
    return std::max({min_patience, targets * route.target, gaps * route.max_event_gap});
}

bool retry_policy::can_rerun(const serving_route& route) {
    return route.kind == call_kind::idempotent ||
           (route.kind == call_kind::streaming && route.is_resumable);
}

next_step retry_policy::decide(const serving_route& route, const call_progress& progress,
                               attempt_outcome outcome) {
    const bool can_send_again = progress.undelivered_sends < max_undelivered_sends;
    const bool can_try_server = progress.servers_tried < route.max_attempts;
    switch (outcome) {
    case attempt_outcome::not_sent:
    case attempt_outcome::wrong_server:
        // The intended server never received the call.
        return can_send_again ? next_step::resend : fallback_step(progress, outcome);
    case attempt_outcome::not_run:
        return can_try_server ? next_step::resend : fallback_step(progress, outcome);
    case attempt_outcome::error_answer:
    case attempt_outcome::broken:
    case attempt_outcome::broken_midway:
        return can_rerun(route) && can_try_server ? next_step::resend
                                                  : fallback_step(progress, outcome);
    }
    return next_step::fail;
}

next_step retry_policy::fallback_step(const call_progress& progress, attempt_outcome outcome) {
    if (progress.has_begun) {
        return next_step::abort_answer;
    }
    if (outcome == attempt_outcome::error_answer) {
        return next_step::forward_error;
    }
    return progress.may_have_run ? next_step::fail : next_step::refuse;
}

} // namespace jujubetide
