// The whole call has one limit of time, however slowly the answer trickles: it is closed when that
// has passed. An answer that is cut off there or at its limit of size was sent by a server that may
// have run the call.
#include "jujubetide/backend/http_plain_client.h"

#include "backend/http_stream.h"
#include "backend/stream_watch.h"

#include "jujubetide/edge/boot_clock.h"
#include "jujubetide/http/buffered_answer.h"
#include "jujubetide/http/refusal.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <utility>

namespace jujubetide {
namespace {

std::map<std::string, std::string> headers_of(const plain_request& request) {
    std::map<std::string, std::string> headers{
        {"X-Request-Id", request.request.str()},
        {"X-Attempt-Id", request.attempt.str()},
        {"X-Deadline-Ms", absl::StrCat(request.time_left.count())}};
    if (!request.content_type.empty()) {
        headers["Content-Type"] = request.content_type;
    }
    return headers;
}

plain_result make_failure(plain_outcome outcome, std::string error) {
    plain_result result;
    result.outcome = outcome;
    result.error = std::move(error);
    return result;
}

/// Keeps an answer's body within the request's limits of size and of time.
class limited_body final : public http_stream_receiver {
public:
    explicit limited_body(const plain_request& request)
        : request_(request), end_(time_.now() + request.time_left),
          answer_(request.max_answer_bytes, memory_use::traffic) {}

    /// The call's result, once `stream` has ended with `ended`.
    plain_result result(const absl::Status& ended, const http_stream& stream) {
        if (!answer_.error().empty()) {
            plain_result cut = make_failure(plain_outcome::unknown, answer_.error());
            cut.answer_too_large = true;
            return cut;
        }
        if (absl::IsUnavailable(ended)) {
            return make_failure(plain_outcome::not_run, std::string(ended.message()));
        }
        if (!ended.ok()) {
            return make_failure(plain_outcome::unknown,
                                is_late() ? absl::StrCat("no whole answer within ",
                                                         request_.time_left.count(), " ms")
                                          : std::string(ended.message()));
        }
        plain_result whole;
        whole.outcome = read_refusal(stream.status(), answer_.body()) ? plain_outcome::not_run
                                                                      : plain_outcome::answered;
        whole.status = stream.status();
        whole.content_type = stream.content_type();
        whole.body = answer_.take_body();
        whole.memory = answer_.memory();
        return whole;
    }

protected:
    bool do_on_head(const httplib::Response& head) override { return answer_.begin(head); }
    bool do_on_bytes(int /*status*/, std::string_view bytes) override {
        return answer_.append(bytes) && !is_late();
    }
    bool do_on_tick() override { return !is_late(); }

private:
    [[nodiscard]] bool is_late() const { return time_.now() >= end_; }

    const plain_request& request_;
    boot_clock time_;
    time_point end_;
    buffered_answer answer_;
};

} // namespace

http_plain_client::http_plain_client(timer_service& timers, millis connect_timeout)
    : watch_(std::make_unique<stream_watch>(timers)), connect_timeout_(connect_timeout) {}

http_plain_client::~http_plain_client() = default;

plain_result http_plain_client::do_call(const endpoint& server, const plain_request& request) {
    if (request.time_left <= millis{0}) {
        return make_failure(plain_outcome::not_run, "no time left");
    }
    // Shorter than the whole, so that a connection that failed is told apart from a late answer.
    const millis connect = std::max(std::min(connect_timeout_, request.time_left / 2), millis{1});
    limited_body body(request);
    http_stream stream(server, {connect, request.time_left, request.time_left}, body);
    const absl::Status ended =
        watch_->call(stream, request.method, request.target, request.body, headers_of(request));
    return body.result(ended, stream);
}

} // namespace jujubetide
