#pragma once

#include "jujubetide/base/units.h"
#include "jujubetide/blackboard/backend_board.h"

namespace jujubetide {

/// Consecutive failures of a server from which on it gets no new work for a while.
inline constexpr std::uint32_t failures_before_avoidance = 3;
/// How long a server is avoided at first; doubles with each further failure.
inline constexpr micros first_avoidance{200'000};
inline constexpr micros longest_avoidance{3'200'000};

/// Records a failed attempt. One failure alone says little of a server, and a service whose servers
/// were all avoided would answer nobody.
void record_failure(backend_board& board, const backend_server_id& server, time_point now);

} // namespace jujubetide
