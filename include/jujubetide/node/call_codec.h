#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/http1/message.h"
#include "jujubetide/serving/engine_placement.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

/// Fields of a caller's request, decoded from its headers.
struct call_fields {
    std::string host;
    /// Identifies the caller's attempt; echoed by backend servers.
    std::string attempt_id;
    /// How long the caller waits, counted from when it sent the request.
    std::optional<millis> timeout;
    /// The customer's API key; empty if none was sent.
    std::string api_key;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_output_tokens = 0;
    /// Whether the token counts were sent.
    bool has_token_counts = false;
    /// The caller's estimate of the output length.
    std::optional<std::uint64_t> expected_output_tokens;
    std::vector<prompt_part> prompt_parts;
    /// Id of the last event that the caller received of an interrupted stream.
    std::string last_event_id;
};

/// Fields added to the caller's headers for a backend server.
struct attempt_fields {
    /// The intended server.
    backend_server_id server;
    millis timeout{0};
    customer_id customer;
    std::optional<int> priority;
    /// Replaces the caller's; empty if the stream starts from the beginning.
    std::string last_event_id;
    /// The server from which the intended one is to fetch what it lacks of the prompt's tokens.
    std::optional<endpoint> fetch_from;
};

/// Fields of a backend server's response, decoded from its head.
struct response_fields {
    /// The caller's attempt that the response belongs to; empty if not given.
    std::string attempt_id;
    /// Whether the response has the server's signature.
    bool is_signed = false;
    /// The call was not run and will not be.
    bool not_run = false;
    /// The address now belongs to another server.
    bool wrong_server = false;
    /// The body has a content encoding, which callers never request.
    bool is_encoded = false;
    /// Calls per second that the server takes from all nodes together, if it names a limit.
    std::optional<double> calls_per_second;
    /// A limit was sent that is not a number of calls per second.
    bool has_malformed_limit = false;
    /// Rejections in a second that the server can stand, if it says that it is brittle.
    std::optional<std::uint32_t> rejections_per_second;
    /// The server says that it is brittle, without a number of rejections.
    bool has_malformed_brittleness = false;
    /// The server says that it leaves.
    bool is_leaving = false;
    /// What it says of its leaving makes no sense.
    bool has_malformed_leaving = false;
};

/// Converts between HTTP headers of callers and backend servers and the node's fields.
class call_codec {
public:
    virtual ~call_codec() = default;
    /// InvalidArgument if a header is present but malformed.
    [[nodiscard]] absl::StatusOr<call_fields> read_call(const request_head& head) const {
        return do_read_call(head);
    }
    /// The headers for a backend server: the caller's without hop-by-hop headers, its key and those
    /// that only the system may set, plus `fields`.
    [[nodiscard]] header_list server_headers(const request_head& head,
                                             const attempt_fields& fields) const {
        return do_server_headers(head, fields);
    }
    [[nodiscard]] response_fields read_response(const response_head& head) const {
        return do_read_response(head);
    }
    /// The headers for the caller, from a backend server's response.
    [[nodiscard]] header_list caller_headers(const response_head& head) const {
        return do_caller_headers(head);
    }
    /// The headers of a response to `attempt` that the node itself generates.
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
