#pragma once

#include "jujubetide/base/units.h"
#include "jujubetide/blackboard/move_board.h"

#include <cstdint>

namespace jujubetide {

/// Number of an evidence window, counted from the start of the move.
using move_window = strong_number<struct move_window_tag, std::uint32_t>;

/// Length of the evidence windows of a move: a three-hundredth of its planned length, within
/// bounds, so that every node derives the same one from the record.
millis move_window_length(const version_move& move);

/// The window that contains `now`; the first one for times before the start.
move_window move_window_at(const version_move& move, wall_time now);

/// Windows that a move may last: twice the planned number.
std::uint32_t planned_windows(const version_move& move);

} // namespace jujubetide
