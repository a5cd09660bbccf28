#pragma once

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>

namespace jujubetide {

/// An IP address and a TCP port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    [[nodiscard]] std::string str() const { return address + ":" + std::to_string(port); }
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Reads `ADDRESS:PORT`, where ADDRESS is an IPv4 number. InvalidArgument otherwise.
absl::StatusOr<endpoint> parse_endpoint(const std::string& text);

} // namespace jujubetide
