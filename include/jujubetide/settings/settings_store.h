#pragma once

#include "jujubetide/base/findings.h"
#include "jujubetide/platform/table.h"
#include "jujubetide/settings/settings_parser.h"
#include "jujubetide/settings/settings_snapshot.h"

#include <absl/status/statusor.h>

#include <map>
#include <optional>
#include <string>

namespace jujubetide {

/// One operator's change: documents to write (or remove, without a value) by path.
struct settings_change {
    change_id id;
    operator_id author;
    /// The revision that the operator saw; the change is refused when another is newer.
    revision expected;
    std::map<std::string, std::optional<std::string>> edits;
    wall_time submitted{};
    std::string comment;
};

/// Settings kept in the platform's table. Thread-safe; calls block.
class settings_store {
public:
    explicit settings_store(table& platform_table) : table_(platform_table) {}

    /// The newest accepted settings. Errors as for `table`.
    absl::StatusOr<snapshot_ptr> load();
    /// The newest accepted settings where they are newer than `known`, which may be null; null
    /// where they are not. Errors as for `table`.
    absl::StatusOr<snapshot_ptr> load_newer(const snapshot_ptr& known);
    /// The revision of the newest accepted settings; one read.
    absl::StatusOr<revision> newest();
    /// Checks the change against `current` and writes it in one transaction with its audit record.
    /// InvalidArgument: the findings; PermissionDenied: names the path outside of the author's
    /// subtrees; Aborted: another change came first, and the message shows both sides. A repeated
    /// submission of an accepted change returns the snapshot that holds it. DeadlineExceeded: the
    /// change may have been accepted; submit it again with the same id. While no operator is
    /// declared, every author may write every path: the caller decides who may submit then.
    absl::StatusOr<snapshot_ptr> apply(const settings_change& change);
    /// The revision that the change made, or nothing where it was not accepted; one read.
    absl::StatusOr<std::optional<revision>> revision_of(const change_id& id);

private:
    table& table_;
};

} // namespace jujubetide
