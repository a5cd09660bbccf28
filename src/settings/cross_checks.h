#pragma once

#include "jujubetide/base/findings.h"
#include "jujubetide/settings/settings_snapshot.h"

namespace jujubetide {

/// Checks what holds between documents: ids that are looked up are unique over all teams, keys
/// belong to one holder, and services named by backend servers and customers exist in their team.
void check_across_documents(const settings_snapshot::parts& parts, findings& found);

} // namespace jujubetide
