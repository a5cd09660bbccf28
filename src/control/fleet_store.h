#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/fleet/fleet_problem.h"
#include "jujubetide/platform/table.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace jujubetide {

/// The desired state of a host of the fleet; it only goes forward.
enum class fleet_row_state : std::uint8_t {
    /// To be started under its start id.
    wanted,
    started,
    /// To get no new work, and to be stopped when nothing runs on it any more.
    draining,
    /// The cloud took the order to stop it.
    stopped,
};

/// A host of the fleet as the table has it.
struct fleet_row {
    std::string start_id;
    service_id service;
    host_offer offer;
    /// Empty until the cloud has named it.
    host_id host;
    fleet_row_state state = fleet_row_state::wanted;
    /// When the state began.
    wall_time since{};
    /// Version 0 for a row that is not in the table yet.
    row_version version;
};

/// All rows, read after the head that a decision on them depends on.
struct fleet_record {
    row_version head;
    /// For the next start id; never used twice.
    std::uint64_t next_number = 1;
    std::vector<fleet_row> rows;
};

/// The fleet's hosts in the platform's table: a row for each, and a head that every decision on the
/// whole fleet rewrites, so that of two holders that decide on the same state one fails.
/// Thread-safe; calls block. Errors as for `table`, and DataLoss for a row that cannot be read.
class fleet_store {
public:
    explicit fleet_store(table& platform_table) : table_(platform_table) {}

    [[nodiscard]] absl::StatusOr<fleet_record> read();
    /// Writes new and changed rows. Aborted: the head or one of the rows has changed since `before`
    /// was read. After a lost reply the next read shows whether the decision was recorded.
    absl::Status decide(const fleet_record& before, const std::vector<fleet_row>& changed);
    /// Writes or removes one row if it has not changed; sets its version.
    absl::Status write(fleet_row& row);
    absl::Status remove(const fleet_row& row);

private:
    table& table_;
};

} // namespace jujubetide
