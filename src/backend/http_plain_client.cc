#include "jujubetide/backend/http_plain_client.h"

#include "jujubetide/http/refusal.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jujubetide {

plain_result http_plain_client::do_call(const endpoint& server, const plain_request& request) {
    plain_result result;
    if (request.time_left <= millis{0}) {
        result.outcome = plain_outcome::not_run;
        result.error = "no time left";
        return result;
    }
    std::map<std::string, std::string> headers{
        {"X-Request-Id", request.request.str()},
        {"X-Attempt-Id", request.attempt.str()},
        {"X-Deadline-Ms", absl::StrCat(request.time_left.count())}};
    if (!request.content_type.empty()) {
        headers["Content-Type"] = request.content_type;
    }
    const http_timeouts timeouts{std::min(connect_timeout_, request.time_left), request.time_left,
                                 request.time_left};
    auto answer =
        http_call(server, request.method, request.target, request.body, timeouts, headers);
    if (!answer.ok()) {
        result.outcome =
            absl::IsUnavailable(answer.status()) ? plain_outcome::not_run : plain_outcome::unknown;
        result.error = std::string(answer.status().message());
        return result;
    }
    result.outcome = read_refusal(answer->status, answer->body) ? plain_outcome::not_run
                                                                : plain_outcome::answered;
    result.status = answer->status;
    result.content_type = std::move(answer->content_type);
    result.body = std::move(answer->body);
    return result;
}

} // namespace jujubetide
