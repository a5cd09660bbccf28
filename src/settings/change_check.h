#pragma once

#include "jujubetide/settings/settings_store.h"

namespace jujubetide {

/// PermissionDenied naming every path that the author may not write by the operators of `current`.
absl::Status check_author(const settings_change& change, const settings_snapshot& current);

/// The settings after the change, at the next revision, or InvalidArgument with all findings.
absl::StatusOr<snapshot_ptr> settings_after(const settings_change& change,
                                            const settings_snapshot& current);

/// Aborted, with both sides: the newest change and the refused one.
struct head_record;
absl::Status conflict_of(const settings_change& change, const head_record& winner);

} // namespace jujubetide
