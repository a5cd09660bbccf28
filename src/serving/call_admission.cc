#include "jujubetide/serving/call_admission.h"

#include <algorithm>

namespace jujubetide {

customer_shares::call call_admission::claim_of(const query& call) const {
    return {call.wait.service, call.customer,     call.cap_per_second,
            call.usage,        call.wait.urgency, call.wait.now};
}

std::optional<call_admission::refusal> call_admission::decide(const query& call) {
    const wait_allowance::query& wait = call.wait;
    const customer_shares::call claim = claim_of(call);
    const std::chrono::duration<double, std::micro> target = wait.target;
    shares_.on_call(claim);
    shares_.on_wait(wait.service, wait.urgency, target.count() > 0.0 ? wait.waiting / target : 0.0,
                    wait.now);
    if (shares_.is_excess(claim)) {
        return refusal{"customer_share", assign_return(call, call.customer, micros{0})};
    }
    if (!allowance_.decide(without_excess(call))) {
        shares_.on_wait(wait.service, wait.urgency, 1.0, wait.now);
        return too_late(call);
    }
    on_sent(call);
    return std::nullopt;
}

void call_admission::on_sent(const query& call) {
    returns_.on_sent(call.wait.service, call.customer, call.wait.now);
}

std::optional<call_admission::refusal> call_admission::decide_again(const query& call) {
    if (allowance_.is_within(without_excess(call))) {
        return std::nullopt;
    }
    return too_late(call);
}

wait_allowance::query call_admission::without_excess(const query& call) {
    wait_allowance::query wait = call.wait;
    const double excess = shares_.excess_part(wait.service, wait.now);
    const std::chrono::duration<double, std::micro> waiting = wait.waiting;
    wait.waiting = std::chrono::duration_cast<micros>(waiting * (1.0 - excess));
    return wait;
}

call_admission::refusal call_admission::too_late(const query& call) {
    const micros surplus = call.wait.waiting - allowance_.allowed(call.wait);
    return {"too_late", assign_return(call, customer_id(), std::max(micros{0}, surplus))};
}

micros call_admission::return_time(const query& call, micros not_before) {
    return assign_return(call, customer_id(), not_before);
}

micros call_admission::assign_return(const query& call, const customer_id& room_of,
                                     micros not_before) {
    return returns_.assign({call.wait.service, room_of, call.wait.urgency, not_before,
                            call.wait.time_left, call.wait.now});
}

} // namespace jujubetide
