#include "jujubetide/limits/deadline_admission.h"

#include <algorithm>

namespace jujubetide {

admission_decision deadline_admission::do_decide(const admission_query& query) {
    const time_point expected = query.now + query.estimated_first_piece;
    if (expected <= query.deadline) {
        return {};
    }
    const millis late = std::max(millis{1}, to_millis(expected - query.deadline));
    return {refusal_reason::too_late, late};
}

void deadline_admission::do_on_finished(const admission_query& /*query*/, time_point /*now*/) {}

} // namespace jujubetide
