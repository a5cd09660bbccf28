#pragma once

#include "jujubetide/settings/settings_snapshot.h"

#include <absl/status/statusor.h>

#include <string>

namespace jujubetide {

/// Settings as peers send them to each other, in MessagePack. The receiver parses and checks the
/// documents again and compares their digest, so a damaged or mixed message is refused.

/// The whole snapshot.
std::string encode_settings(const settings_snapshot& snapshot);
/// InvalidArgument when the message is not a whole snapshot that this program understands.
absl::StatusOr<snapshot_ptr> decode_settings(const std::string& message);

/// The documents that differ between two snapshots; `from` is the older.
std::string encode_settings_delta(const settings_snapshot& from, const settings_snapshot& to);
/// FailedPrecondition when `base` is not the snapshot that the delta starts from: fetch the whole
/// settings then. InvalidArgument as for `decode_settings`.
absl::StatusOr<snapshot_ptr> decode_settings_delta(const std::string& message,
                                                   const settings_snapshot& base);

} // namespace jujubetide
