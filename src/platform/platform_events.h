#pragma once

#include "jujubetide/base/log.h"

namespace jujubetide::platform_events {

inline constexpr log_event host_leaving{1100, log_severity::info, "host_leaving"};
inline constexpr log_event leaving_source_lost{1101, log_severity::warning, "leaving_source_lost"};
inline constexpr log_event leaving_source_back{1102, log_severity::info, "leaving_source_back"};

} // namespace jujubetide::platform_events
