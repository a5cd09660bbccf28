#include "ctl/civil_time.h"

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

namespace jujubetide {
namespace {

constexpr const char* civil_format = "%Y-%m-%dT%H:%M:%SZ";

} // namespace

absl::StatusOr<wall_time> parse_civil_time(const std::string& text, wall_time now) {
    absl::Duration ahead;
    if (text.starts_with("+") && absl::ParseDuration(text.substr(1), &ahead)) {
        return now + millis(absl::ToInt64Milliseconds(ahead));
    }
    absl::Time time;
    std::string error;
    if (!absl::ParseTime(civil_format, text, &time, &error)) {
        return absl::InvalidArgumentError(
            absl::StrCat("'", text, "' is not a time such as 2026-12-04T18:00:00Z or +90m"));
    }
    return wall_time(millis(absl::ToUnixMillis(time)));
}

std::string format_civil_time(wall_time time) {
    if (time == wall_time{}) {
        return "-";
    }
    return absl::FormatTime(civil_format, absl::FromUnixMillis(time.time_since_epoch().count()),
                            absl::UTCTimeZone());
}

} // namespace jujubetide
