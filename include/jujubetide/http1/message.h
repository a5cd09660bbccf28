#pragma once

#include "jujubetide/http1/header_list.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jujubetide {

/// The first line and the headers of a request.
struct request_head {
    std::string method;
    /// Path and query, byte for byte.
    std::string target;
    header_list headers;
    /// Absent for a chunked body.
    std::optional<std::uint64_t> content_length;
    bool chunked = false;
    /// Whether the sender keeps the connection open.
    bool keep_alive = true;

    [[nodiscard]] bool has_body() const { return chunked || content_length.value_or(0) > 0; }
};

/// How the end of a response body is determined.
enum class body_framing { none, length, chunked, until_close };

struct response_head {
    int status = 0;
    header_list headers;
    body_framing framing = body_framing::none;
    /// Set for `body_framing::length`.
    std::uint64_t content_length = 0;
    bool keep_alive = true;
};

/// The standard reason phrase of a status code.
std::string_view reason_phrase(int status);

/// Serializes a request and its body; `headers` must not contain `Content-Length`.
std::string serialize_request(std::string_view method, std::string_view target,
                              const header_list& headers, std::string_view body);
/// Serializes the head of a response; `headers` must not contain framing fields.
std::string serialize_response_head(int status, const header_list& headers, body_framing framing,
                                    std::uint64_t content_length);
/// Serializes one chunk of a chunked body. `bytes` must not be empty.
std::string serialize_chunk(std::string_view bytes);
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace jujubetide
