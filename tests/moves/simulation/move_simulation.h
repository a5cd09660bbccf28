#pragma once

#include "jujubetide/blackboard/move_board.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace jujubetide {

/// Kinds of versions and of what happens during their moves.
enum class version_family : std::uint8_t {
    good,
    good_reclaimed,
    fails_at_once,
    fails_after_requests,
    slow_at_once,
    slow_under_load,
    fails_on_one_route,
    leaks,
    operator_takes_back,
};

inline constexpr std::array all_families = {
    version_family::good,
    version_family::good_reclaimed,
    version_family::fails_at_once,
    version_family::fails_after_requests,
    version_family::slow_at_once,
    version_family::slow_under_load,
    version_family::fails_on_one_route,
    version_family::leaks,
    version_family::operator_takes_back,
};

std::string_view name_of(version_family family);
bool is_bad(version_family family);
/// Whether the fault shows from the first request on.
bool shows_at_once(version_family family);

/// What decides on the share.
enum class ramp_policy : std::uint8_t {
    /// The project's move_controller and trial_version_selector.
    evidence,
    /// Fixed steps, taken back on the error rate over all routes.
    naive,
};

/// How one simulated move went.
struct move_result {
    move_state end = move_state::ramp;
    bool done_by_due = false;
    /// Requests given to the new version, as a part of the service's requests over the move.
    double exposure = 0.0;
    /// Requests that a node gave to the version after its own stop.
    std::uint64_t sent_after_own_stop = 0;
    /// Time from the first stop at any node to the last request given to the version.
    millis last_send_after_stop{0};
    /// Nodes whose recorded end differs from the table's, at any time.
    std::uint64_t contradictions = 0;
    std::uint64_t requests = 0;
};

/// Runs one move on a fake clock with everything derived from the seed: traffic, faults, table
/// outages, deaths of the control process, lost and late messages.
move_result simulate_move(version_family family, ramp_policy policy, std::uint64_t seed);

} // namespace jujubetide
