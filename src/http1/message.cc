#include "jujubetide/http1/message.h"

#include <absl/strings/str_cat.h>

#include <http_parser.h>

namespace jujubetide {
namespace {

absl::string_view to_absl_view(std::string_view text) {
    return {text.data(), text.size()};
}

void append_headers(std::string& out, const header_list& headers) {
    for (const auto& [name, value] : headers.fields()) {
        absl::StrAppend(&out, name, ": ", value, "\r\n");
    }
}

} // namespace

std::string_view reason_phrase(int status) {
    return http_status_str(static_cast<http_status>(status));
}

std::string serialize_request(std::string_view method, std::string_view target,
                              const header_list& headers, std::string_view body) {
    std::string out;
    constexpr std::size_t expected_head_bytes = 512;
    out.reserve(expected_head_bytes + body.size());
    absl::StrAppend(&out, to_absl_view(method), " ", to_absl_view(target), " HTTP/1.1\r\n");
    append_headers(out, headers);
    if (!body.empty() || method == "POST" || method == "PUT" || method == "PATCH") {
        absl::StrAppend(&out, "Content-Length: ", body.size(), "\r\n");
    }
    absl::StrAppend(&out, "\r\n", to_absl_view(body));
    return out;
}

std::string serialize_response_head(int status, const header_list& headers, body_framing framing,
                                    std::uint64_t content_length) {
    std::string out;
    absl::StrAppend(&out, "HTTP/1.1 ", status, " ", to_absl_view(reason_phrase(status)), "\r\n");
    append_headers(out, headers);
    if (framing == body_framing::chunked) {
        out += "Transfer-Encoding: chunked\r\n";
    } else if (framing == body_framing::length) {
        absl::StrAppend(&out, "Content-Length: ", content_length, "\r\n");
    }
    out += "\r\n";
    return out;
}

std::string serialize_chunk(std::string_view bytes) {
    return absl::StrCat(absl::Hex(bytes.size()), "\r\n", to_absl_view(bytes), "\r\n");
}

} // namespace jujubetide
