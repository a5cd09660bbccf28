#pragma once

#include "jujubetide/base/findings.h"
#include "jujubetide/settings/settings_snapshot.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <string>

namespace jujubetide {

/// YAML documents by settings path. The paths are
/// `/teams/TEAM/services/NAME`, `/teams/TEAM/customers/NAME`, `/teams/TEAM/backends/NAME` and
/// `/operators/NAME`; a file `teams/frio/services/diagnosis.yaml` holds the first kind.
using settings_documents = absl::flat_hash_map<std::string, std::string>;

/// Parses and checks all documents together. On success returns the snapshot; otherwise null, and
/// every fault found is in `found`, with the path of the document as its file.
snapshot_ptr parse_settings(const settings_documents& documents, revision at, findings& found);

} // namespace jujubetide
