#pragma once

#include "node/serving_state.h"

#include "jujubetide/http1/http1_server.h"

#include <string_view>

namespace jujubetide {

/// Logs and counts a connection of `port` that was ended for want of room for others.
void record_eviction(serving_state& state, std::string_view port, eviction_cause cause);

} // namespace jujubetide
