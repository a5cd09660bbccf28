#pragma once

#include "jujubetide/base/ids.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

struct table_row {
    std::string key;
    std::string value;
    /// Version of the commit that wrote the row; grows with every commit of the table.
    row_version version;
};

/// Holds when the row at `key` has exactly `version`; version 0 means that it is absent.
struct row_condition {
    std::string key;
    row_version version;
};

/// Writes `value` at `key`, or removes the row when there is no value.
struct row_write {
    std::string key;
    std::optional<std::string> value;
};

/// Applied whole or not at all.
struct table_transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

/// The platform's transactional table service. Thread-safe; calls block.
///
/// Errors of every call:
/// - Unavailable: the table did not take the call; nothing was applied.
/// - DeadlineExceeded: no reply in time; a commit may or may not have been applied.
/// - Aborted (commit only): a condition did not hold; nothing was applied.
class table {
public:
    virtual ~table() = default;

    /// The row at `key`, or nothing where it is absent.
    [[nodiscard]] absl::StatusOr<std::optional<table_row>> get(const std::string& key) {
        return do_get(key);
    }
    /// At most `limit` rows whose keys begin with `prefix` and sort after `after`, by key.
    [[nodiscard]] absl::StatusOr<std::vector<table_row>>
    scan(const std::string& prefix, const std::string& after, std::size_t limit) {
        return do_scan(prefix, after, limit);
    }
    /// Applies the transaction and returns the version of its rows.
    [[nodiscard]] absl::StatusOr<row_version> commit(const table_transaction& transaction) {
        return do_commit(transaction);
    }

protected:
    table() = default;
    table(const table&) = default;
    table& operator=(const table&) = default;
    virtual absl::StatusOr<std::optional<table_row>> do_get(const std::string& key) = 0;
    virtual absl::StatusOr<std::vector<table_row>>
    do_scan(const std::string& prefix, const std::string& after, std::size_t limit) = 0;
    virtual absl::StatusOr<row_version> do_commit(const table_transaction& transaction) = 0;
};

} // namespace jujubetide
