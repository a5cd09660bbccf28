#pragma once

#include "jujubetide/base/findings.h"
#include "jujubetide/settings/settings_parser.h"

#include <absl/status/statusor.h>

#include <string>

namespace jujubetide {

/// Reads every `*.yaml` below the directory; `teams/frio/services/diagnosis.yaml` becomes the
/// document `/teams/frio/services/diagnosis`. Names that begin with a dot are passed over; any
/// other file is a finding. InvalidArgument with all findings.
absl::StatusOr<settings_documents> read_settings_tree(const std::string& directory);

/// All findings of a directory's documents, with the places of their files.
findings check_settings_tree(const settings_documents& documents, const std::string& directory);

} // namespace jujubetide
