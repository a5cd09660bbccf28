#pragma once

#include "jujubetide/base/units.h"

#include <absl/status/statusor.h>

#include <string>

namespace jujubetide {

/// Reads `2026-12-04T18:00:00Z`, or a time from `now` on such as `+90m`, `+2h30m` or `+45s`.
absl::StatusOr<wall_time> parse_civil_time(const std::string& text, wall_time now);
/// As `2026-12-04T18:00:00Z`; "-" for the epoch, which stands for no time.
std::string format_civil_time(wall_time time);

} // namespace jujubetide
