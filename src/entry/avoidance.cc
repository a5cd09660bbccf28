#include "entry/avoidance.h"

#include <algorithm>

namespace jujubetide {

void record_failure(backend_board& board, const backend_server_id& server, time_point now) {
    const std::uint32_t failures = board.state(server).consecutive_failures + 1;
    micros avoid{0};
    if (failures >= failures_before_avoidance) {
        const std::uint32_t doublings = std::min(failures - failures_before_avoidance, 8U);
        avoid = std::min(longest_avoidance, first_avoidance * (1U << doublings));
    }
    board.on_failure(server, now, avoid);
}

} // namespace jujubetide
