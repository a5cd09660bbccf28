#pragma once

#include "jujubetide/http1/message.h"
#include "jujubetide/serving/engine_placement.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

/// What a caller says of its request besides method, target and body.
struct call_fields {
    std::string host;
    /// Names the caller's attempt; echoed by backend servers.
    std::string attempt_id;
    /// How long the caller waits, from when it sent the request.
    std::optional<millis> timeout;
    /// The customer's key; empty when none was sent.
    std::string api_key;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_output_tokens = 0;
    /// Whether the token counts were sent.
    bool has_token_counts = false;
    /// The caller's estimate of the output.
    std::optional<std::uint64_t> expected_output_tokens;
    std::vector<prompt_part> prompt_parts;
    /// The last event that the caller got of a stream that broke.
    std::string last_event_id;
};

/// What is sent to a backend server besides the caller's own headers.
struct attempt_fields {
    /// The server that is meant.
    backend_server_id server;
    millis timeout{0};
    customer_id customer;
    std::optional<int> priority;
    /// Overrides the caller's; empty where the stream begins anew.
    std::string last_event_id;
};

/// What a backend server says besides status and body.
struct response_fields {
    /// The caller's attempt that the answer belongs to; empty where it names none.
    std::string attempt_id;
    /// Whether the server vouches for the answer as its own.
    bool is_signed = false;
    /// The call did not run and will not.
    bool not_run = false;
    /// Another server has the address.
    bool wrong_server = false;
    /// The body is encoded, which callers never ask for.
    bool is_encoded = false;
};

/// Translates between the messages of callers and backend servers and the node's fields.
class call_codec {
public:
    virtual ~call_codec() = default;
    /// InvalidArgument where a field that is there makes no sense.
    [[nodiscard]] absl::StatusOr<call_fields> read_call(const request_head& head) const {
        return do_read_call(head);
    }
    /// The headers for a backend server: the caller's, less those of its connection, its key and
    /// what only the system may set, and `fields`.
    [[nodiscard]] header_list server_headers(const request_head& head,
                                             const attempt_fields& fields) const {
        return do_server_headers(head, fields);
    }
    [[nodiscard]] response_fields read_response(const response_head& head) const {
        return do_read_response(head);
    }
    /// The headers of a backend server's answer for the caller.
    [[nodiscard]] header_list caller_headers(const response_head& head) const {
        return do_caller_headers(head);
    }
    /// The headers of an answer of the node's own to `attempt`.
    [[nodiscard]] header_list local_response_headers(const std::string& attempt,
                                                     std::optional<micros> retry_after) const {
        return do_local_response_headers(attempt, retry_after);
    }

protected:
    call_codec() = default;
    call_codec(const call_codec&) = default;
    call_codec& operator=(const call_codec&) = default;
    [[nodiscard]] virtual absl::StatusOr<call_fields>
    do_read_call(const request_head& head) const = 0;
    [[nodiscard]] virtual header_list do_server_headers(const request_head& head,
                                                        const attempt_fields& fields) const = 0;
    [[nodiscard]] virtual response_fields do_read_response(const response_head& head) const = 0;
    [[nodiscard]] virtual header_list do_caller_headers(const response_head& head) const = 0;
    [[nodiscard]] virtual header_list
    do_local_response_headers(const std::string& attempt,
                              std::optional<micros> retry_after) const = 0;
};

} // namespace jujubetide
