#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

namespace jujubetide {

struct stored_row {
    std::string key;
    std::string value;
    row_version version;
    /// In a list of changes: the row was removed.
    bool removed = false;
};

/// Rows as of one version of the store.
struct row_batch {
    std::vector<stored_row> rows;
    row_version version;
    /// Further rows follow after the last one's key.
    bool has_more = false;
};

/// Holds when the row has exactly `version`; version 0 means that it is absent.
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

/// Applied whole or not at all.
struct row_transaction {
    std::vector<row_expectation> expected;
    std::vector<row_put> puts;
    std::vector<row_removal> removals;
};

/// The platform's store of rows, called from an event loop. Handlers are called later, once, unless
/// the store is destroyed.
///
/// Errors of every call:
/// - Unavailable: the store did not take the call; nothing was done.
/// - DeadlineExceeded: no answer; a commit may have been applied, or may be later.
/// - OutOfRange (changes only): the history after the version is gone.
/// - Aborted (commit only): an expectation did not hold; nothing was done.
class row_store {
public:
    using batch_handler = std::function<void(absl::StatusOr<row_batch>)>;
    using commit_handler = std::function<void(absl::StatusOr<row_version>)>;

    virtual ~row_store() = default;
    /// The rows of a table from the key `from` on.
    void read(const std::string& table, const std::string& from, batch_handler handler) {
        do_read(table, from, std::move(handler));
    }
    /// What changed in a table after a version, as soon as there is something, or nothing after
    /// `wait`.
    void changes(const std::string& table, row_version after, millis wait, batch_handler handler) {
        do_changes(table, after, wait, std::move(handler));
    }
    /// Answers with the version of the rows that were put.
    void commit(const row_transaction& transaction, commit_handler handler) {
        do_commit(transaction, std::move(handler));
    }

protected:
    row_store() = default;
    row_store(const row_store&) = default;
    row_store& operator=(const row_store&) = default;
    virtual void do_read(const std::string& table, const std::string& from,
                         batch_handler handler) = 0;
    virtual void do_changes(const std::string& table, row_version after, millis wait,
                            batch_handler handler) = 0;
    virtual void do_commit(const row_transaction& transaction, commit_handler handler) = 0;
};

} // namespace jujubetide
