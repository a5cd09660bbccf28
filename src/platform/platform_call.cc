// Only a 503 whose problem has the outcome `not_run` proves that a call was not applied: a proxy or
// an overloaded platform may answer any other 5xx after the write took effect.
#include "platform/platform_call.h"

#include "jujubetide/http/refusal.h"

#include <absl/strings/str_cat.h>

namespace jujubetide {
namespace {

absl::Status to_platform_status(const http_answer& answer, const std::string& target) {
    const std::string text = absl::StrCat(target, " answered ", answer.status, ": ", answer.body);
    switch (answer.status) {
    case 200:
        return absl::OkStatus();
    case 400:
        return absl::InvalidArgumentError(text);
    case 404:
        return absl::NotFoundError(text);
    case 409:
        return absl::AbortedError(text);
    case 429:
        return absl::ResourceExhaustedError(text);
    default:
        return read_refusal(answer.status, answer.body) ? absl::UnavailableError(text)
                                                        : absl::DeadlineExceededError(text);
    }
}

} // namespace

absl::StatusOr<http_answer> platform_call(const endpoint& platform, const std::string& method,
                                          const std::string& target, const std::string& body,
                                          const http_timeouts& timeouts,
                                          const std::string& content_type) {
    auto answer =
        http_call(platform, method, target, body, timeouts, {{"Content-Type", content_type}});
    if (!answer.ok()) {
        return answer.status();
    }
    if (const absl::Status status = to_platform_status(*answer, target); !status.ok()) {
        return status;
    }
    return answer;
}

absl::StatusOr<nlohmann::json>
platform_json_call(const endpoint& platform, const std::string& method, const std::string& target,
                   const nlohmann::json& body, const http_timeouts& timeouts) {
    std::string text;
    try {
        text = body.is_null() ? std::string() : body.dump();
    } catch (const nlohmann::json::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
    const auto answer = platform_call(platform, method, target, text, timeouts);
    if (!answer.ok()) {
        return answer.status();
    }
    auto reply = nlohmann::json::parse(answer->body, nullptr, false);
    if (reply.is_discarded()) {
        return absl::DeadlineExceededError(absl::StrCat(target, " answered no JSON"));
    }
    return reply;
}

} // namespace jujubetide
