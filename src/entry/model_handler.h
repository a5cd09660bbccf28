#pragma once

#include "entry/caller_context.h"
#include "entry/entry_metrics.h"
#include "entry/entry_parts.h"
#include "entry/model_call.h"
#include "entry/running_requests.h"

#include "jujubetide/limits/answer_time.h"

#include <absl/status/statusor.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>

namespace jujubetide {

/// Serves calls to model services and the requests that were handed over.
class model_handler {
public:
    model_handler(entry_parts& parts, const entry_identity& self, entry_metrics& metrics)
        : parts_(parts), self_(self), metrics_(metrics) {}

    /// `POST /v1/completions` and `/v1/chat/completions`, from a caller whose headers were read.
    void complete(const caller_context& caller, completion_kind kind,
                  const httplib::Request& request, httplib::Response& response);
    /// `GET /v1/requests/<id>`: goes on after `Last-Event-ID`, streamed or whole.
    void reconnect(const request_id& id, const httplib::Request& request,
                   httplib::Response& response);
    /// Takes a request over from a peer. Taking one twice changes nothing.
    absl::StatusOr<std::string> take_over(const std::string& body, bool draining);

    running_requests& requests() { return requests_; }
    /// Streams to callers that have not been written to their end.
    [[nodiscard]] int open_streams() const { return open_streams_; }

private:
    struct admitted_request {
        std::shared_ptr<running_request> running;
        bool stream = false;
    };
    /// Checks, routes and admits; the problem is the refusal.
    std::variant<admitted_request, problem> admit(const caller_context& caller,
                                                  completion_kind kind, const std::string& body);
    std::variant<admitted_request, problem>
    admit_call(const caller_context& caller, const model_call& call, const model_target& target);
    void answer(const admitted_request& admitted, piece_offset from, httplib::Response& response);
    void answer_stream(const std::shared_ptr<running_request>& running, piece_offset from,
                       httplib::Response& response);
    void answer_whole_text(const std::shared_ptr<running_request>& running,
                           httplib::Response& response);

    entry_parts& parts_;
    const entry_identity& self_;
    entry_metrics& metrics_;
    answer_time answer_times_;
    running_requests requests_;
    std::atomic<int> open_streams_{0};
};

} // namespace jujubetide
