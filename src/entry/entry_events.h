#pragma once

#include "jujubetide/base/log.h"

namespace jujubetide {

inline constexpr log_event entry_listening{4000, log_severity::info, "entry_listening"};
inline constexpr log_event entry_draining{4001, log_severity::info, "entry_draining"};
inline constexpr log_event entry_stopped{4002, log_severity::info, "entry_stopped"};
inline constexpr log_event settings_in_force{4003, log_severity::info, "settings_in_force"};
inline constexpr log_event settings_not_loaded{4004, log_severity::warning, "settings_not_loaded"};
inline constexpr log_event request_refused{4010, log_severity::info, "request_refused"};
inline constexpr log_event attempt_failed{4011, log_severity::warning, "attempt_failed"};
inline constexpr log_event request_handed_over{4012, log_severity::info, "request_handed_over"};
inline constexpr log_event request_taken_over{4013, log_severity::info, "request_taken_over"};
inline constexpr log_event hand_over_failed{4014, log_severity::warning, "hand_over_failed"};
inline constexpr log_event answer_not_stored{4015, log_severity::warning, "answer_not_stored"};

} // namespace jujubetide
