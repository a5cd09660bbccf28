#include "jujubetide/request/plain_call_machine.h"

namespace jujubetide {

plain_step plain_call_machine::on_begin(time_point now) {
    return choose(now);
}

plain_step plain_call_machine::choose(time_point now) {
    if (now >= send_by_) {
        return refuse(refusal_cause::deadline, millis{0});
    }
    return {plain_step_kind::choose, {}, {}, false, millis{0}};
}

plain_step plain_call_machine::on_server_chosen(const backend_server_id& server,
                                                const failure_domain_id& domain, time_point now) {
    if (now >= send_by_) {
        return refuse(refusal_cause::deadline, millis{0});
    }
    return {plain_step_kind::send, attempts_.begin(server, domain), {}, true, millis{0}};
}

plain_step plain_call_machine::on_no_server(millis retry_after) {
    return refuse(refusal_cause::no_server, retry_after);
}

plain_step plain_call_machine::on_result(plain_outcome outcome, time_point now) {
    if (outcome == plain_outcome::answered) {
        attempts_.end(attempt_end::completed);
        return {plain_step_kind::answer, {}, {}, true, millis{0}};
    }
    attempts_.end(outcome == plain_outcome::not_run ? attempt_end::not_run
                                                    : attempt_end::interrupted);
    const bool may_send_again = idempotent_ || !attempts_.may_have_run();
    const bool has_attempts = attempts_.next_number() < max_attempts;
    if (!may_send_again || !has_attempts || !retries_.try_spend()) {
        return refuse(refusal_cause::failed, millis{0});
    }
    return choose(now);
}

plain_step plain_call_machine::refuse(refusal_cause cause, millis retry_after) const {
    return {plain_step_kind::refuse, {}, cause, attempts_.may_have_run(), retry_after};
}

} // namespace jujubetide
