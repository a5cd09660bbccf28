#pragma once

#include "jujubetide/limits/admission.h"

namespace jujubetide {

/// Refuses only what cannot begin before its deadline.
class deadline_admission final : public admission {
protected:
    admission_decision do_decide(const admission_query& query) override;
    void do_on_finished(const admission_query& query, time_point now) override;
};

} // namespace jujubetide
