#include "entry/refusals.h"

#include <algorithm>

namespace jujubetide {
namespace {

problem unavailable(std::string code, std::string detail, millis retry_after) {
    problem error = make_problem(503, std::move(code), std::move(detail));
    error.retry_after = std::max(retry_after, millis{1});
    return error;
}

problem machine_problem(const refuse_request& action) {
    switch (action.cause) {
    case refusal_cause::no_server:
        return make_problem(503, "no_server", "no backend server can take the request");
    case refusal_cause::deadline:
        return make_problem(504, "deadline_passed", "the deadline passed before the answer");
    case refusal_cause::failed:
        break;
    }
    return make_problem(action.may_have_run ? 502 : 503, "backend_failed",
                        "the backend servers failed the request");
}

} // namespace

problem make_problem(int status, std::string code, std::string detail) {
    problem error;
    error.status = status;
    error.code = std::move(code);
    error.detail = std::move(detail);
    return error;
}

problem refusal_of(const refuse_request& action) {
    problem error = machine_problem(action);
    error.outcome = action.may_have_run ? run_outcome::unknown : run_outcome::not_run;
    error.retry_after = action.retry_after > millis{0} ? action.retry_after : default_retry_after;
    return error;
}

problem refusal_of(const admission_decision& decision) {
    switch (decision.reason) {
    case refusal_reason::over_share: {
        problem error =
            make_problem(429, "over_share", "the customer is over its share while others wait");
        error.retry_after = std::max(decision.retry_after, millis{1});
        return error;
    }
    case refusal_reason::too_late:
        return unavailable("too_late", "the answer could not begin before the deadline",
                           decision.retry_after);
    case refusal_reason::draining:
        return unavailable("draining", "this node takes no new work", decision.retry_after);
    default:
        return no_server_refusal();
    }
}

problem no_server_refusal() {
    return unavailable("no_server", "no backend server can take the request", default_retry_after);
}

problem draining_refusal(std::vector<std::string> other_entries) {
    problem error = unavailable("draining", "this node takes no new work", millis{1});
    error.other_entries = std::move(other_entries);
    return error;
}

problem not_ready_refusal() {
    return unavailable("not_ready", "this node has no settings yet", default_retry_after);
}

} // namespace jujubetide
