#pragma once

#include "jujubetide/base/log.h"

namespace jujubetide::lease_events {

inline constexpr log_event lease_taken{3200, log_severity::info, "lease_taken"};
inline constexpr log_event lease_lost{3201, log_severity::warning, "lease_lost"};
inline constexpr log_event lease_write_failed{3202, log_severity::warning, "lease_write_failed"};
inline constexpr log_event order_withheld{3203, log_severity::info, "order_withheld"};
inline constexpr log_event order_failed{3204, log_severity::warning, "order_failed"};
inline constexpr log_event lease_release_failed{3205, log_severity::warning,
                                                "lease_release_failed"};

} // namespace jujubetide::lease_events
