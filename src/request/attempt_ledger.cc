#include "jujubetide/request/attempt_ledger.h"

#include <absl/strings/str_cat.h>

namespace jujubetide {

bool is_server_fault(attempt_end end) {
    switch (end) {
    case attempt_end::interrupted:
    case attempt_end::stalled:
    case attempt_end::conflicting:
    case attempt_end::not_whole:
        return true;
    default:
        return false;
    }
}

const attempt_id& attempt_ledger::begin(const backend_server_id& server,
                                        const failure_domain_id& domain) {
    current_ = attempt_id(absl::StrCat(request_.str(), ".", next_number_));
    ++next_number_;
    current_domain_ = domain;
    tried_.push_back(server);
    return current_;
}

void attempt_ledger::end(attempt_end end) {
    current_ = attempt_id();
    if (end != attempt_end::not_run) {
        may_have_run_ = true;
    }
    failed_domain_ = current_domain_;
}

} // namespace jujubetide
