#include "jujubetide/moves/move_window.h"

#include <algorithm>

namespace jujubetide {
namespace {

constexpr int windows_per_move = 300;
constexpr millis shortest_window{1'000};
constexpr millis longest_window{30'000};

} // namespace

millis move_window_length(const version_move& move) {
    return std::clamp((move.due - move.start) / windows_per_move, shortest_window, longest_window);
}

move_window move_window_at(const version_move& move, wall_time now) {
    const auto passed = std::max(now - move.start, millis(0));
    return move_window(static_cast<std::uint32_t>(passed / move_window_length(move)));
}

std::uint32_t planned_windows(const version_move& move) {
    const auto planned = (move.due - move.start) / move_window_length(move);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(2 * planned, 1));
}

} // namespace jujubetide
