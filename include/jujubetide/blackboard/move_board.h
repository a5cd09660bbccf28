#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/sharded_map.h"
#include "jujubetide/base/units.h"

#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

/// The states of a version move, in the order in which they may follow each other. `done` and
/// `taken_back` are final; `taken_back` wins wherever nodes have seen both `ramp` and it.
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
    wall_time ended{};
};

/// Joins two records of the same move: `taken_back` wins over `done`, both over any other state,
/// and otherwise the higher step wins; equal steps go by the remaining fields. Commutative,
/// associative and idempotent. A node that took the version back before it heard that the table had
/// made the move `done` wins everywhere, and the holder of the move's lease writes that to the
/// table.
version_move join_moves(const version_move& a, const version_move& b);

/// The version moves that a node knows of, one for each service. Thread-safe, in shards.
class move_board {
public:
    /// Joins the record with what is known of its move; a newer move of a service, by start and
    /// then by id, replaces an older one. Returns whether anything changed.
    bool merge(const version_move& record);
    [[nodiscard]] std::optional<version_move> of_service(const service_id& service) const;
    [[nodiscard]] std::vector<version_move> all() const;
    /// Marks a version as taken back at this node at once; the mark is sticky for the move.
    bool take_back(const service_id& service, const move_id& move, const std::string& evidence,
                   wall_time now);

private:
    sharded_map<service_id, version_move> moves_;
};

} // namespace jujubetide
