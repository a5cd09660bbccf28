#pragma once

#include "control/move_store.h"

#include <absl/status/statusor.h>

#include <string>

namespace jujubetide {

/// JSON text of a move's row.
std::string encode_move(const version_move& move);
/// DataLoss on a row that cannot be read.
absl::StatusOr<version_move> decode_move(const std::string& text);
std::string encode_move_audit(const move_audit_record& record);
absl::StatusOr<move_audit_record> decode_move_audit(const std::string& text);

std::string move_state_name(move_state state);
/// JSON text of a move for operators: as its row, but a take-back that the table has not recorded
/// yet has the state `stopped`, as it is no end that may be told.
std::string tell_move(const version_move& move);

} // namespace jujubetide
