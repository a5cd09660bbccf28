#pragma once

#include "jujubetide/base/log.h"

namespace jujubetide {

inline constexpr log_event fleet_host_started{5100, log_severity::info, "fleet_host_started"};
inline constexpr log_event fleet_start_refused{5101, log_severity::warning, "fleet_start_refused"};
inline constexpr log_event fleet_start_failed{5102, log_severity::warning, "fleet_start_failed"};
inline constexpr log_event fleet_host_draining{5103, log_severity::info, "fleet_host_draining"};
inline constexpr log_event fleet_host_stopped{5104, log_severity::info, "fleet_host_stopped"};
inline constexpr log_event fleet_stop_failed{5105, log_severity::warning, "fleet_stop_failed"};
inline constexpr log_event fleet_host_gone{5106, log_severity::warning, "fleet_host_gone"};
inline constexpr log_event fleet_not_covered{5107, log_severity::warning, "fleet_not_covered"};
inline constexpr log_event fleet_not_written{5108, log_severity::warning, "fleet_not_written"};
inline constexpr log_event fleet_not_read{5109, log_severity::warning, "fleet_not_read"};

} // namespace jujubetide
