#pragma once

#include "jujubetide/blackboard/move_board.h"
#include "jujubetide/settings/settings_snapshot.h"

#include <absl/status/status.h>

#include <optional>

namespace jujubetide {

/// Whether the move can start: the version is another one and has backend servers, the due time is
/// ahead, and the end of the move before it is written into the service's settings.
/// InvalidArgument or FailedPrecondition otherwise.
absl::Status check_start(const version_move& move, const settings_snapshot& settings,
                         const std::optional<version_move>& previous);

} // namespace jujubetide
