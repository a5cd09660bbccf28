#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace jujubetide {

/// Deeper documents are not read: copies of values recurse.
inline constexpr int max_json_depth = 32;
/// Documents with more values are not read: each takes several times the memory of its text.
inline constexpr std::size_t max_json_values = 500'000;

/// Parses a document of another process. InvalidArgument if it is no JSON or beyond the limits.
absl::StatusOr<nlohmann::json> parse_bounded_json(std::string_view text);

} // namespace jujubetide
