#pragma once

#include "jujubetide/moves/move_evidence.h"

#include <absl/status/statusor.h>

#include <string>

namespace jujubetide {

/// Body of a peer message of kind move_evidence.
std::string encode_evidence_report(const evidence_report& report);

/// Reads a body; InvalidArgument for anything that encode_evidence_report does not make.
absl::StatusOr<evidence_report> decode_evidence_report(const std::string& body);

} // namespace jujubetide
