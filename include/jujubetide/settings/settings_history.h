#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/platform/table.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

/// What one accepted change did to one path. No value stands for an absent document.
struct audit_edit {
    std::string path;
    std::optional<std::string> from;
    std::optional<std::string> to;
};

/// Record of one accepted settings change, written in the change's own transaction.
struct audit_record {
    revision at;
    change_id change;
    operator_id author;
    wall_time submitted{};
    std::string comment;
    std::vector<audit_edit> edits;
};

struct history_query {
    /// Only changes before this revision; 0 stands for the newest.
    revision before;
    /// Only edits of paths with this prefix, and changes that have such an edit.
    std::string path_prefix;
    std::size_t limit = 50;
};

struct history_page {
    /// The newest first.
    std::vector<audit_record> records;
    /// `before` of the next page; 0 where there is none.
    revision next_before;
};

/// Reads the audit trail of the settings. Thread-safe; calls block.
class settings_history {
public:
    explicit settings_history(table& platform_table) : table_(platform_table) {}

    /// Errors as for `table`.
    absl::StatusOr<history_page> read(const history_query& query);

private:
    table& table_;
};

} // namespace jujubetide
