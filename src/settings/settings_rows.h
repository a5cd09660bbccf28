#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/settings/settings_history.h"
#include "jujubetide/settings/settings_parser.h"
#include "jujubetide/settings/settings_store.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace jujubetide {

/// Rows of the settings in the table. All rows of a change are written in one transaction.
inline constexpr const char* settings_head_key = "settings/head";
inline constexpr const char* settings_document_prefix = "settings/doc";
inline constexpr const char* audit_prefix = "audit/";

std::string document_key(const std::string& path);
std::string change_key(const change_id& id);
/// Sorts by revision.
std::string audit_key(revision at);

/// The newest accepted change.
struct head_record {
    revision at;
    change_id change;
    operator_id author;
    std::vector<std::string> paths;
    /// Digest of all documents at this revision.
    std::string digest;
};

/// An accepted change, found by its id.
struct change_record {
    revision at;
    /// Digest of the change's edits.
    std::string digest;
};

/// Digest of documents, whatever their order.
std::string documents_digest(const settings_documents& documents);
std::string edits_digest(const settings_change& change);

/// Each `decode` fails with DataLoss on a row that it cannot read.
std::string encode(const head_record& record);
std::string encode(const change_record& record);
std::string encode(const audit_record& record);
absl::StatusOr<head_record> decode_head(const std::string& text);
absl::StatusOr<change_record> decode_change(const std::string& text);
absl::StatusOr<audit_record> decode_audit(const std::string& text);

} // namespace jujubetide
