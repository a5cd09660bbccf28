#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/blackboard/move_board.h"
#include "jujubetide/platform/table.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

/// A move as the table has it, with the version of its row.
struct stored_move {
    version_move move;
    row_version version;
};

/// Who took a step of a move and why.
struct move_actor {
    /// An operator, or the node that steers the move.
    std::string name;
    std::string comment;
    wall_time at{};
};

/// Record of one step of a move, written in the step's own transaction.
struct move_audit_record {
    move_actor actor;
    version_move after;
};

/// Version moves in the table: one row for the newest move of each service, and an audit record
/// for each step. Thread-safe; calls block. Errors as for `table`, and DataLoss for a row that
/// cannot be read.
class move_store {
public:
    explicit move_store(table& platform_table) : table_(platform_table) {}

    [[nodiscard]] absl::StatusOr<std::optional<stored_move>> find(const service_id& service);
    /// The newest move of each service.
    [[nodiscard]] absl::StatusOr<std::vector<stored_move>> list();

    /// Writes `after` if the service's row still has `before` (version 0: none). A lost reply is
    /// settled by reading the row. Aborted: another step came first.
    absl::Status write(row_version before, const version_move& after, const move_actor& actor);
    /// Writes a new move in place of an ended one. A repeated start of the same move is OK.
    /// FailedPrecondition while another move of the service goes on.
    absl::Status start(const version_move& move, const move_actor& actor);
    /// Ends the move as taken back and returns its record. A move that is taken back already is OK;
    /// FailedPrecondition where it is done; NotFound where the service's newest move is another.
    absl::StatusOr<version_move> take_back(const service_id& service, const move_id& move,
                                           const std::string& evidence, const move_actor& actor);

    /// The steps of a service's moves, the oldest first, at most `limit` of them after the first
    /// `skip`.
    [[nodiscard]] absl::StatusOr<std::vector<move_audit_record>>
    audit(const service_id& service, std::size_t skip, std::size_t limit);

private:
    table& table_;
};

/// Whether the move has ended.
bool is_ended(const version_move& move);

} // namespace jujubetide
