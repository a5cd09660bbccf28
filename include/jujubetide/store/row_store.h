#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/store/store_era.h"

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

struct stored_row {
    std::string key;
    std::string value;
    row_version version;
    /// Set only in a list of changes: the row was removed.
    bool removed = false;
};

/// Rows as of one version of the store.
struct row_batch {
    std::vector<stored_row> rows;
    row_version version;
    /// More rows follow after the key of the last one.
    bool has_more = false;
    store_era era;

    [[nodiscard]] store_position position() const { return {era, version}; }
};

/// Precondition that the row has exactly `version`; version 0 means that the row does not exist.
struct row_expectation {
    std::string table;
    std::string key;
    row_version version;
};

struct row_put {
    std::string table;
    std::string key;
    std::string value;
};

struct row_removal {
    std::string table;
    std::string key;
};

/// Applied atomically: all of it or nothing.
struct row_transaction {
    std::vector<row_expectation> expected;
    std::vector<row_put> puts;
    std::vector<row_removal> removals;
};

/// Client of the platform's row store, called from an event loop. Each handler is called once,
/// after the call has returned, or never if the store is destroyed first.
///
/// Errors of every call:
/// - Unavailable: the store did not accept the call; nothing was changed.
/// - DeadlineExceeded: no usable answer; a commit may have been applied or may still be applied.
/// - OutOfRange (changes only): the store no longer keeps the history after the version.
/// - Aborted (commit only): a row did not have its expected version; nothing was changed.
class row_store {
public:
    using batch_handler = std::function<void(absl::StatusOr<row_batch>)>;
    using commit_handler = std::function<void(absl::StatusOr<row_version>)>;

    virtual ~row_store() = default;
    /// The newest era of the answers so far; nothing before the first answer. It is up to date when
    /// the handler of that answer's call runs.
    [[nodiscard]] std::optional<store_era> era() const { return do_era(); }
    /// Reads the rows of a table whose keys are `first_key` or greater.
    void read(const std::string& table, const std::string& first_key, batch_handler handler) {
        do_read(table, first_key, std::move(handler));
    }
    /// Reads the changes of a table after a version. Long poll: answers as soon as there is a
    /// change, or with an empty batch after `wait`.
    void changes(const std::string& table, row_version after, millis wait, batch_handler handler) {
        do_changes(table, after, wait, std::move(handler));
    }
    /// Returns the version of the written rows to the handler.
    void commit(const row_transaction& transaction, commit_handler handler) {
        do_commit(transaction, std::move(handler));
    }

protected:
    row_store() = default;
    row_store(const row_store&) = default;
    row_store& operator=(const row_store&) = default;
    [[nodiscard]] virtual std::optional<store_era> do_era() const = 0;
    virtual void do_read(const std::string& table, const std::string& first_key,
                         batch_handler handler) = 0;
    virtual void do_changes(const std::string& table, row_version after, millis wait,
                            batch_handler handler) = 0;
    virtual void do_commit(const row_transaction& transaction, commit_handler handler) = 0;
};

} // namespace jujubetide
