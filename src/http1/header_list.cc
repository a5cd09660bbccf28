#include "jujubetide/http1/header_list.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace jujubetide {

std::optional<std::string_view> header_list::find(std::string_view name) const {
    for (const field& entry : fields_) {
        if (is_same_header(entry.first, name)) {
            return entry.second;
        }
    }
    return std::nullopt;
}

bool is_same_header(std::string_view a, std::string_view b) {
    return absl::EqualsIgnoreCase({a.data(), a.size()}, {b.data(), b.size()});
}

bool has_token(std::string_view value, std::string_view token) {
    const std::vector<std::string> parts =
        absl::StrSplit(absl::string_view(value.data(), value.size()), ',');
    return std::any_of(parts.begin(), parts.end(), [token](const std::string& part) {
        const absl::string_view stripped = absl::StripAsciiWhitespace(part);
        return is_same_header({stripped.data(), stripped.size()}, token);
    });
}

bool is_hop_by_hop(std::string_view name) {
    static constexpr std::array<std::string_view, 10> names = {
        "connection", "keep-alive", "proxy-connection",    "proxy-authenticate",
        "te",         "trailer",    "proxy-authorization", "transfer-encoding",
        "upgrade",    "expect"};
    return std::any_of(names.begin(), names.end(), [name](std::string_view candidate) {
        return is_same_header(candidate, name);
    });
}

} // namespace jujubetide
