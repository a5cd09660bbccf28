#include "jujubetide/serving/retry_policy.h"

namespace jujubetide {

bool retry_policy::may_rerun(const serving_route& route) {
    return route.kind == call_kind::idempotent ||
           (route.kind == call_kind::streaming && route.is_resumable);
}

next_step retry_policy::decide(const serving_route& route, const call_progress& progress,
                               attempt_outcome outcome) {
    const bool voids_left = progress.void_sends < max_void_sends;
    const bool servers_left = progress.servers_tried < route.max_attempts;
    switch (outcome) {
    case attempt_outcome::not_sent:
    case attempt_outcome::wrong_server:
        // The server that was meant never got the call.
        return voids_left ? next_step::resend : without_resend(progress, outcome);
    case attempt_outcome::not_run:
        return servers_left ? next_step::resend : without_resend(progress, outcome);
    case attempt_outcome::error_answer:
    case attempt_outcome::broken:
    case attempt_outcome::broken_midway:
        return may_rerun(route) && servers_left ? next_step::resend
                                                : without_resend(progress, outcome);
    }
    return next_step::fail;
}

next_step retry_policy::without_resend(const call_progress& progress, attempt_outcome outcome) {
    if (progress.has_begun) {
        return next_step::break_off;
    }
    if (outcome == attempt_outcome::error_answer) {
        return next_step::pass_error;
    }
    return progress.may_have_run ? next_step::fail : next_step::refuse;
}

} // namespace jujubetide
