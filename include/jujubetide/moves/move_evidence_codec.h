#pragma once

#include "jujubetide/moves/move_evidence.h"

#include <absl/status/statusor.h>

#include <string>

namespace jujubetide {

/// Body of a peer message of kind move_evidence from an entry node to a control node.
std::string encode_evidence_report(const evidence_report& report);

/// Reads a body; InvalidArgument for anything that encode_evidence_report does not make.
absl::StatusOr<evidence_report> decode_evidence_report(const std::string& body);

/// Body of the answer, which goes one way too, by the same kind of message.
std::string encode_evidence_answer(const evidence_answer& answer);
/// InvalidArgument for anything that encode_evidence_answer does not make.
absl::StatusOr<evidence_answer> decode_evidence_answer(const std::string& body);

} // namespace jujubetide
