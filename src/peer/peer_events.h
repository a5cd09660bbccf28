#pragma once

#include "jujubetide/base/log.h"

namespace jujubetide::peer_events {

inline constexpr log_event membership_started{3101, log_severity::info, "membership_started"};
inline constexpr log_event settings_taken_from_peers{3102, log_severity::info,
                                                     "settings_taken_from_peers"};

} // namespace jujubetide::peer_events
