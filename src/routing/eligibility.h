#pragma once

#include "jujubetide/blackboard/backend_board.h"
#include "jujubetide/routing/router.h"
#include "jujubetide/settings/settings_snapshot.h"

#include <span>
#include <vector>

namespace jujubetide {

/// The candidates that may serve the query: right version, not leaving, not avoided after failures.
/// Servers already tried are left out unless nothing else is left; servers of `avoid_domain` come
/// in only when no other domain has any.
std::vector<const backend_server_settings*>
eligible_servers(const route_query& query,
                 std::span<const backend_server_settings* const> candidates,
                 const backend_board& board);

} // namespace jujubetide
