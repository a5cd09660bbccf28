#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <cstddef>
#include <memory>
#include <string>

namespace jujubetide {

/// One call to a plain service.
struct plain_request {
    attempt_id attempt;
    request_id request;
    std::string method;
    /// Path and query below the service's own root, beginning with '/'.
    std::string target;
    std::string content_type;
    std::string body;
    /// For the whole call: connection, request and answer.
    millis time_left{0};
    /// Longest body of an answer that is read.
    std::size_t max_answer_bytes = 16U << 20U;
};

enum class plain_outcome {
    /// An answer came, whatever its status.
    answered,
    /// The call certainly had no effect: no connection, or the server said that it did not run it.
    not_run,
    /// The call may have been run and its answer lost or not read to its end.
    unknown,
};

struct plain_result {
    plain_outcome outcome = plain_outcome::unknown;
    /// The answer was longer than the request allows; the outcome is then `unknown`.
    bool answer_too_large = false;
    int status = 0;
    std::string content_type;
    std::string body;
    std::string error;
    /// Accounts for the body's memory for as long as the result is kept.
    std::shared_ptr<const void> memory;
};

/// The calls to plain services. Thread-safe; calls block.
class plain_client {
public:
    virtual ~plain_client() = default;
    [[nodiscard]] plain_result call(const endpoint& server, const plain_request& request) {
        return do_call(server, request);
    }

protected:
    plain_client() = default;
    plain_client(const plain_client&) = default;
    plain_client& operator=(const plain_client&) = default;
    virtual plain_result do_call(const endpoint& server, const plain_request& request) = 0;
};

} // namespace jujubetide
