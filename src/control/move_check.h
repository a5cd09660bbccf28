#pragma once

#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/moves/move_planner.h"
#include "jujubetide/settings/settings_snapshot.h"

#include <absl/status/status.h>

#include <optional>

namespace jujubetide {

/// Whether the move can start: the version is another one and has backend servers, the due time is
/// ahead, and the end of the move before it is written into the service's settings.
/// InvalidArgument or FailedPrecondition otherwise.
absl::Status check_start(const version_move& move, const settings_snapshot& settings,
                         const std::optional<version_move>& previous);

/// The plan of a move at the service's traffic as it is now. `earliest_due` has a reserve, so that
/// a start a little later or at a little less traffic can still meet it.
move_plan plan_of(const version_move& move, const blackboard& board, double request_rate);

/// FailedPrecondition with the earliest due time where the plan cannot be met.
absl::Status check_plan(const version_move& move, const move_plan& plan, double request_rate);

} // namespace jujubetide
