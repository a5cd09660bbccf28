#pragma once

#include "jujubetide/blackboard/backend_board.h"
#include "jujubetide/blackboard/member_board.h"
#include "jujubetide/blackboard/move_board.h"
#include "jujubetide/blackboard/settings_board.h"

namespace jujubetide {

/// What one node knows. Controllers read and write the boards and do not call each other.
struct blackboard {
    settings_board settings;
    backend_board backends;
    member_board members;
    move_board moves;
};

} // namespace jujubetide
