#include "node/forward_message.h"

#include <absl/status/status.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <array>
#include <cstdint>
#include <utility>

namespace jujubetide {
namespace {

constexpr std::string_view server_header = "Jujubetide-Forward-Server";
constexpr std::string_view attempt_header = "Jujubetide-Forward-Attempt";
constexpr std::string_view max_idle_header = "Jujubetide-Forward-Max-Idle-Ms";
constexpr std::string_view result_header = "Jujubetide-Forward-Result";

constexpr std::array<std::pair<forward_result, std::string_view>, 3> result_names{{
    {forward_result::answered, "answered"},
    {forward_result::not_sent, "not_sent"},
    {forward_result::broken, "broken"},
}};

} // namespace

header_list to_headers(const forward_order& order) {
    header_list headers;
    headers.add(std::string(server_header), order.server.str());
    headers.add(std::string(attempt_header), order.attempt_id);
    headers.add(std::string(max_idle_header), absl::StrCat(to_millis(order.max_idle).count()));
    return headers;
}

absl::StatusOr<forward_order> parse_forward_order(const header_list& headers) {
    const auto text = [&headers](std::string_view name) {
        return std::string(headers.find(name).value_or(std::string_view()));
    };
    const backend_server_id server(text(server_header));
    if (server.empty()) {
        return absl::InvalidArgumentError("a forwarded attempt names no server");
    }
    std::int64_t max_idle_ms = 0;
    if (!absl::SimpleAtoi(text(max_idle_header), &max_idle_ms) || max_idle_ms < 0) {
        return absl::InvalidArgumentError("the idle limit of a forwarded attempt is no number");
    }
    return forward_order{server, text(attempt_header), millis(max_idle_ms)};
}

void add_result(header_list& headers, forward_result result) {
    for (const auto& [value, name] : result_names) {
        if (value == result) {
            headers.add(std::string(result_header), std::string(name));
        }
    }
}

std::optional<forward_result> read_result(const header_list& headers) {
    const auto text = headers.find(result_header);
    for (const auto& [value, name] : result_names) {
        if (text == name) {
            return value;
        }
    }
    return std::nullopt;
}

header_list without_result(const header_list& headers) {
    header_list others;
    for (const auto& [name, value] : headers.fields()) {
        if (!is_same_header(name, result_header)) {
            others.add(name, value);
        }
    }
    return others;
}

} // namespace jujubetide
