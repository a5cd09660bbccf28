#pragma once

#include "jujubetide/base/log.h"

namespace jujubetide::membership_events {

inline constexpr log_event malformed_message{3001, log_severity::warning, "malformed_message"};
inline constexpr log_event member_suspected{3002, log_severity::info, "member_suspected"};
inline constexpr log_event member_dead{3003, log_severity::warning, "member_dead"};
inline constexpr log_event own_suspicion_refuted{3004, log_severity::info, "own_suspicion_refuted"};
inline constexpr log_event own_pause{3005, log_severity::warning, "own_pause"};
inline constexpr log_event settings_refused{3006, log_severity::error, "settings_refused"};
inline constexpr log_event settings_fetched{3007, log_severity::info, "settings_fetched"};

} // namespace jujubetide::membership_events
