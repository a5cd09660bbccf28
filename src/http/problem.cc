#include "jujubetide/http/problem.h"

#include <absl/strings/str_replace.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace jujubetide {

std::string_view to_string(run_outcome outcome) {
    return outcome == run_outcome::not_run ? "not_run" : "unknown";
}

std::string to_json(const problem& error) {
    nlohmann::json body{{"type", "urn:jujubetide:problem:" + error.code},
                        {"title", absl::StrReplaceAll(error.code, {{"_", " "}})},
                        {"status", error.status},
                        {"code", error.code},
                        {"detail", error.detail},
                        {"outcome", std::string(to_string(error.outcome))}};
    if (error.retry_after > millis{0}) {
        body["retry_after_ms"] = error.retry_after.count();
    }
    if (!error.other_entries.empty()) {
        body["other_entries"] = error.other_entries;
    }
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void set_problem(httplib::Response& response, const problem& error) {
    response.status = error.status;
    if (error.retry_after > millis{0}) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retry_after);
        response.set_header("Retry-After", std::to_string(seconds.count()));
    }
    response.set_content(to_json(error), "application/problem+json");
}

} // namespace jujubetide
