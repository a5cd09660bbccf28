#pragma once

#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/moves/move_controller.h"

namespace jujubetide {

/// What steering the move depends on, from the settings in force and the servers' loads.
move_controller_settings move_settings_for(const blackboard& board, const version_move& move);

} // namespace jujubetide
