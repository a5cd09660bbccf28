#pragma once

#include "jujubetide/serving/usage_ledger.h"
#include "jujubetide/store/row_store.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace jujubetide {

/// Answers that peers fetch from each other over HTTP.
std::string encode(const std::vector<usage_record>& records);
absl::StatusOr<std::vector<usage_record>> decode_usage(const std::string& bytes);

std::string encode(const row_batch& batch);
absl::StatusOr<row_batch> decode_rows(const std::string& bytes);

} // namespace jujubetide
