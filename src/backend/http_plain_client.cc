// The whole call has one limit of time, however slowly the answer trickles: the stream is closed
// when it has passed. An answer that is cut off there or at its limit of size was sent by a server
// that may have run the call.
#include "jujubetide/backend/http_plain_client.h"

#include "backend/plain_stream.h"

#include "jujubetide/edge/boot_clock.h"
#include "jujubetide/http/refusal.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

plain_http_request make_call(const plain_request& request) {
    plain_http_request call{request.method,
                            request.target,
                            request.body,
                            {{"X-Request-Id", request.request.str()},
                             {"X-Attempt-Id", request.attempt.str()},
                             {"X-Deadline-Ms", absl::StrCat(request.time_left.count())}}};
    if (!request.content_type.empty()) {
        call.headers["Content-Type"] = request.content_type;
    }
    return call;
}

plain_result make_failure(plain_outcome outcome, std::string error) {
    plain_result result;
    result.outcome = outcome;
    result.error = std::move(error);
    return result;
}

plain_result make_result(const plain_stream& stream, std::string body) {
    const absl::Status status = stream.result();
    if (!status.ok()) {
        return make_failure(absl::IsUnavailable(status) ? plain_outcome::not_run
                                                        : plain_outcome::unknown,
                            std::string(status.message()));
    }
    plain_result result;
    result.outcome =
        read_refusal(stream.status(), body) ? plain_outcome::not_run : plain_outcome::answered;
    result.status = stream.status();
    result.content_type = stream.content_type();
    result.body = std::move(body);
    return result;
}

} // namespace

plain_result http_plain_client::do_call(const endpoint& server, const plain_request& request) {
    if (request.time_left <= millis{0}) {
        return make_failure(plain_outcome::not_run, "no time left");
    }
    const boot_clock time;
    const time_point end = time.now() + request.time_left;
    // Shorter than the whole, so that a connection that failed is told apart from a late answer.
    const millis connect = std::max(std::min(connect_timeout_, request.time_left / 2), millis{1});
    const http_timeouts timeouts{connect, request.time_left, request.time_left};
    plain_stream stream(server, make_call(request), timeouts);
    std::string body;
    while (true) {
        const plain_stream::progress seen = stream.wait(to_millis(end - time.now()));
        body += seen.bytes;
        if (body.size() > request.max_answer_bytes) {
            plain_result result = make_failure(
                plain_outcome::unknown,
                absl::StrCat("the answer has more than ", request.max_answer_bytes, " bytes"));
            result.answer_too_large = true;
            return result;
        }
        if (seen.finished) {
            return make_result(stream, std::move(body));
        }
        if (time.now() >= end) {
            return make_failure(
                plain_outcome::unknown,
                absl::StrCat("no whole answer within ", request.time_left.count(), " ms"));
        }
    }
}

} // namespace jujubetide
