#pragma once

#include "jujubetide/serving/usage_ledger.h"
#include "jujubetide/store/row_store.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

/// Encodes a response that peers fetch from each other over HTTP.
std::string encode(const std::vector<usage_record>& records);
absl::StatusOr<std::vector<usage_record>> decode_usage(const std::string& bytes);

/// The rows of a table as a node has them: all rows, or only those that changed after a version.
struct table_rows {
    row_batch batch;
    std::optional<row_version> changed_after;
};
std::string encode(const table_rows& rows);
absl::StatusOr<table_rows> decode_rows(const std::string& bytes);

} // namespace jujubetide
