#include "control/answers.h"

#include "jujubetide/http/problem.h"

#include <absl/strings/str_split.h>
#include <httplib.h>

#include <vector>

namespace jujubetide {
namespace {

constexpr millis retry_after_outage{2'000};

struct error_kind {
    int status;
    const char* code;
    run_outcome outcome;
};

error_kind kind_of(absl::StatusCode code) {
    switch (code) {
    case absl::StatusCode::kInvalidArgument:
        return {422, "invalid_settings", run_outcome::not_run};
    case absl::StatusCode::kPermissionDenied:
        return {403, "permission_denied", run_outcome::not_run};
    case absl::StatusCode::kAborted:
        return {409, "conflict", run_outcome::not_run};
    case absl::StatusCode::kFailedPrecondition:
        return {409, "not_possible_now", run_outcome::not_run};
    case absl::StatusCode::kNotFound:
        return {404, "not_found", run_outcome::not_run};
    case absl::StatusCode::kUnavailable:
        return {503, "table_unavailable", run_outcome::not_run};
    case absl::StatusCode::kDeadlineExceeded:
        return {504, "outcome_unknown", run_outcome::unknown};
    default:
        return {500, "internal", run_outcome::unknown};
    }
}

} // namespace

void set_json(httplib::Response& response, const nlohmann::json& body, int status) {
    response.status = status;
    response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                         "application/json");
}

void set_error(httplib::Response& response, const absl::Status& error) {
    const error_kind kind = kind_of(error.code());
    problem answer;
    answer.status = kind.status;
    answer.code = kind.code;
    answer.detail = std::string(error.message());
    answer.outcome = kind.outcome;
    if (absl::IsUnavailable(error)) {
        answer.retry_after = retry_after_outage;
    }
    set_problem(response, answer);
    if (absl::IsInvalidArgument(error)) {
        nlohmann::json body = nlohmann::json::parse(to_json(answer));
        const std::vector<std::string> lines = absl::StrSplit(answer.detail, '\n');
        body["findings"] = lines;
        response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                             "application/problem+json");
    }
}

void set_bad_request(httplib::Response& response, const std::string& detail) {
    problem error;
    error.status = 400;
    error.code = "bad_request";
    error.detail = detail;
    set_problem(response, error);
}

} // namespace jujubetide
