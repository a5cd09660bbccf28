#pragma once

#include "jujubetide/serving/usage_ledger.h"
#include "jujubetide/store/row_store.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

/// Answers that peers fetch from each other over HTTP.
std::string encode(const std::vector<usage_record>& records);
absl::StatusOr<std::vector<usage_record>> decode_usage(const std::string& bytes);

/// A table's rows as a node knows them: all of them, or those that changed after a version.
struct table_rows {
    row_batch batch;
    std::optional<row_version> changed_after;
};
std::string encode(const table_rows& rows);
absl::StatusOr<table_rows> decode_rows(const std::string& bytes);

} // namespace jujubetide
