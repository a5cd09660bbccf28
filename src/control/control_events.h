#pragma once

#include "jujubetide/base/log.h"

namespace jujubetide {

inline constexpr log_event control_listening{2100, log_severity::info, "control_listening"};
inline constexpr log_event control_stopped{2101, log_severity::info, "control_stopped"};
inline constexpr log_event change_accepted{2102, log_severity::info, "change_accepted"};
inline constexpr log_event change_refused{2103, log_severity::warning, "change_refused"};
inline constexpr log_event key_refused{2104, log_severity::warning, "key_refused"};
inline constexpr log_event table_not_read{2105, log_severity::warning, "table_not_read"};
inline constexpr log_event move_started{2106, log_severity::info, "move_started"};
inline constexpr log_event move_taken_back{2107, log_severity::warning, "move_taken_back"};
inline constexpr log_event move_step_written{5000, log_severity::info, "move_step_written"};
inline constexpr log_event move_step_not_written{5001, log_severity::warning,
                                                 "move_step_not_written"};

} // namespace jujubetide
