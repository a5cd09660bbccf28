#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/sharded_map.h"
#include "jujubetide/base/units.h"

#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

/// The states of a version move, in the order in which they may follow each other. `done` and
/// `taken_back` end it; the table records exactly one of them. A `taken_back` that the table has
/// not recorded yet only stops the traffic (see is_recorded_end).
enum class move_state : std::uint8_t { planned, canary, ramp, done, taken_back };

/// One move of a service's traffic from one version to another.
struct version_move {
    move_id id;
    service_id service;
    version_id from;
    version_id to;
    wall_time start{};
    wall_time due{};
    move_state state = move_state::planned;
    /// Share of the service's traffic for the new version, in [0, 1].
    double share = 0.0;
    /// Grows with each recorded step of the move; the higher one is the newer.
    sequence_number step;
    /// Why the move ended.
    std::string evidence;
    /// When the table recorded the end; the epoch while it has not.
    wall_time ended{};
};

/// Whether the record tells the end of the move as the table has recorded it. A take-back by a node
/// is not yet one: the node must not state it as the end.
bool is_recorded_end(const version_move& move);

/// Joins two records of the same move; commutative, associative and idempotent. An end that the
/// table recorded wins, then a take-back by a node, then the higher step.
version_move join_moves(const version_move& a, const version_move& b);

/// The version moves that a node knows of, one for each service. Thread-safe, in shards.
class move_board {
public:
    /// Joins the record with what is known of its move; a newer move of a service, by start and
    /// then by id, replaces an older one. Returns whether anything changed.
    bool merge(const version_move& record);
    [[nodiscard]] std::optional<version_move> of_service(const service_id& service) const;
    [[nodiscard]] std::vector<version_move> all() const;
    /// Stops the traffic of a version under trial at this node at once, sticky for the move; the
    /// take-back is not recorded yet (see is_recorded_end). Returns whether it is new.
    bool take_back(const service_id& service, const move_id& move, const std::string& evidence);

private:
    sharded_map<service_id, version_move> moves_;
};

} // namespace jujubetide
