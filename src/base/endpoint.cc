#include "jujubetide/base/endpoint.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <vector>

namespace jujubetide {
namespace {

bool is_ipv4_number(const std::string& address) {
    const std::vector<std::string> parts = absl::StrSplit(address, '.');
    if (parts.size() != 4) {
        return false;
    }
    for (const std::string& part : parts) {
        unsigned value = 0;
        if (part.empty() || part.size() > 3 || !absl::SimpleAtoi(part, &value) || value > 255) {
            return false;
        }
    }
    return true;
}

} // namespace

absl::StatusOr<endpoint> parse_endpoint(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    unsigned port = 0;
    if (colon == std::string::npos || !is_ipv4_number(text.substr(0, colon)) ||
        !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > 65535) {
        return absl::InvalidArgumentError(
            absl::StrCat("'", text, "' is not an IPv4 address and port, such as 10.0.0.1:8080"));
    }
    return endpoint{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

} // namespace jujubetide
