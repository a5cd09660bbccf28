#pragma once

#include <absl/strings/numbers.h>

#include <cstdint>
#include <cstdlib>

namespace jujubetide {

/// The number in an environment variable, or `default_value` if it has none.
inline std::uint64_t number_from_environment(const char* name, std::uint64_t default_value) {
    const char* const text = std::getenv(name);
    std::uint64_t number = 0;
    return text != nullptr && absl::SimpleAtoi(text, &number) ? number : default_value;
}

} // namespace jujubetide
