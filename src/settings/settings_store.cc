// How the store stays right over faults of the table:
// - The head row holds a digest of all documents, so a load that mixed two commits, or documents
//   older than the head, is found and repeated. Reading the head twice would not find documents
//   that lag behind it.
// - Every commit is conditioned on the head's version and on the absence of the change's own row.
//   One of several racing changes wins; a commit that arrives late, or twice, does nothing.
// - A lost reply is settled by the change's row. Reads may lag, so "not accepted" is only said
//   after a transaction, which sees the truth, has found the row absent.
#include "jujubetide/settings/settings_store.h"

#include "settings/change_check.h"
#include "settings/settings_rows.h"
#include "settings/yaml_reader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

constexpr int most_tries = 16;
constexpr std::size_t documents_per_scan = 500;

/// The settings with what the table says of their newest change.
struct loaded_settings {
    snapshot_ptr snapshot;
    row_version head_version;
    head_record head;
};

absl::StatusOr<settings_documents> scan_documents(table& platform_table) {
    const std::string prefix = std::string(settings_document_prefix) + "/";
    settings_documents documents;
    std::string after;
    while (true) {
        const auto rows = platform_table.scan(prefix, after, documents_per_scan);
        if (!rows.ok()) {
            return rows.status();
        }
        for (const table_row& row : *rows) {
            documents[row.key.substr(prefix.size() - 1)] = row.value;
        }
        if (rows->size() < documents_per_scan) {
            return documents;
        }
        after = rows->back().key;
    }
}

absl::StatusOr<snapshot_ptr> parse_accepted(const settings_documents& documents, revision at) {
    findings found;
    snapshot_ptr snapshot = parse_settings(documents, at, found);
    if (snapshot) {
        return snapshot;
    }
    return absl::FailedPreconditionError(
        absl::StrCat("revision ", at.value(), " in the table is not understood by this program:\n",
                     found.format()));
}

/// Aborted when the documents do not belong to the head.
absl::StatusOr<loaded_settings> read_once(table& platform_table) {
    const auto row = platform_table.get(settings_head_key);
    if (!row.ok()) {
        return row.status();
    }
    loaded_settings loaded;
    loaded.head.digest = documents_digest({});
    if (*row) {
        absl::StatusOr<head_record> head = decode_head((*row)->value);
        if (!head.ok()) {
            return head.status();
        }
        loaded.head = std::move(*head);
        loaded.head_version = (*row)->version;
    }
    const absl::StatusOr<settings_documents> documents = scan_documents(platform_table);
    if (!documents.ok()) {
        return documents.status();
    }
    if (documents_digest(*documents) != loaded.head.digest) {
        return absl::AbortedError("the settings changed while they were read");
    }
    absl::StatusOr<snapshot_ptr> snapshot = parse_accepted(*documents, loaded.head.at);
    if (!snapshot.ok()) {
        return snapshot.status();
    }
    loaded.snapshot = std::move(*snapshot);
    return loaded;
}

absl::StatusOr<loaded_settings> read_settings(table& platform_table) {
    for (int i = 0; i < most_tries; ++i) {
        absl::StatusOr<loaded_settings> loaded = read_once(platform_table);
        if (!absl::IsAborted(loaded.status())) {
            return loaded;
        }
    }
    return absl::UnavailableError("the settings kept changing while they were read");
}

absl::StatusOr<std::optional<change_record>> find_change(table& platform_table,
                                                         const change_id& id) {
    const auto row = platform_table.get(change_key(id));
    if (!row.ok()) {
        return row.status();
    }
    if (!*row) {
        return std::optional<change_record>();
    }
    absl::StatusOr<change_record> record = decode_change((*row)->value);
    if (!record.ok()) {
        return record.status();
    }
    return std::optional<change_record>(std::move(*record));
}

audit_record audit_of(const settings_change& change, const settings_snapshot& before, revision at) {
    audit_record record{at, change.id, change.author, change.submitted, change.comment, {}};
    for (const auto& [path, text] : change.edits) {
        const auto old = before.documents().find(path);
        const bool existed = old != before.documents().end();
        record.edits.push_back({path, existed ? std::optional(old->second) : std::nullopt, text});
    }
    return record;
}

table_transaction transaction_of(const settings_change& change, const loaded_settings& current,
                                 const settings_snapshot& next) {
    head_record head{next.at(), change.id, change.author, {}, documents_digest(next.documents())};
    table_transaction transaction;
    transaction.conditions = {{settings_head_key, current.head_version},
                              {change_key(change.id), row_version{}}};
    for (const auto& [path, text] : change.edits) {
        head.paths.push_back(path);
        transaction.writes.push_back({document_key(path), text});
    }
    transaction.writes.push_back({settings_head_key, encode(head)});
    transaction.writes.push_back(
        {change_key(change.id), encode(change_record{next.at(), edits_digest(change)})});
    transaction.writes.push_back(
        {audit_key(next.at()), encode(audit_of(change, *current.snapshot, next.at()))});
    return transaction;
}

/// One submission of a change, over as many tries as the table's faults need.
class submission {
public:
    submission(table& platform_table, const settings_change& change)
        : table_(platform_table), change_(change) {}

    absl::StatusOr<snapshot_ptr> run() {
        for (int i = 0; i < most_tries; ++i) {
            const outcome result = try_once();
            if (result) {
                return settled(*result);
            }
        }
        return settled(absl::UnavailableError("the table's reads lag behind its commits"));
    }

private:
    /// Nothing stands for "read again".
    using outcome = std::optional<absl::StatusOr<snapshot_ptr>>;

    outcome try_once() {
        const auto recorded = find_change(table_, change_.id);
        if (!recorded.ok()) {
            return recorded.status();
        }
        const absl::StatusOr<loaded_settings> current = read_settings(table_);
        if (!current.ok()) {
            return current.status();
        }
        if (*recorded) {
            return accepted(**recorded, *current);
        }
        if (change_.expected > current->snapshot->at()) {
            return std::nullopt;
        }
        const absl::Status allowed = check_author(change_, *current->snapshot);
        if (!allowed.ok()) {
            return allowed;
        }
        if (change_.expected < current->snapshot->at()) {
            return conflict(*current);
        }
        return write(*current);
    }

    outcome accepted(const change_record& record, const loaded_settings& current) {
        unsettled_ = false;
        if (record.digest != edits_digest(change_)) {
            return absl::InvalidArgumentError(
                absl::StrCat("change id '", change_.id.str(), "' was used for another change"));
        }
        if (current.snapshot->at() < record.at) {
            return std::nullopt;
        }
        return current.snapshot;
    }

    outcome conflict(const loaded_settings& current) {
        const table_transaction absent{{{change_key(change_.id), row_version{}}}, {}};
        const absl::StatusOr<row_version> checked = table_.commit(absent);
        if (absl::IsAborted(checked.status())) {
            return std::nullopt;
        }
        if (!checked.ok()) {
            return checked.status();
        }
        unsettled_ = false;
        return conflict_of(change_, current.head);
    }

    outcome write(const loaded_settings& current) {
        const absl::StatusOr<snapshot_ptr> next = settings_after(change_, *current.snapshot);
        if (!next.ok()) {
            return next;
        }
        const absl::StatusOr<row_version> committed =
            table_.commit(transaction_of(change_, current, **next));
        if (committed.ok()) {
            return next;
        }
        if (absl::IsDeadlineExceeded(committed.status())) {
            unsettled_ = true;
            return std::nullopt;
        }
        if (absl::IsAborted(committed.status())) {
            return std::nullopt;
        }
        return committed.status();
    }

    /// Says "may have been accepted" in place of "not accepted" while a reply is missing.
    [[nodiscard]] absl::StatusOr<snapshot_ptr> settled(absl::StatusOr<snapshot_ptr> result) const {
        if (result.ok() || !unsettled_) {
            return result;
        }
        return absl::DeadlineExceededError(
            absl::StrCat("change '", change_.id.str(), "' may have been accepted; submit it again ",
                         "with the same change id: ", std::string(result.status().message())));
    }

    table& table_;
    const settings_change& change_;
    /// Whether a commit was sent of which it is not known whether it took effect.
    bool unsettled_ = false;
};

} // namespace

absl::StatusOr<snapshot_ptr> settings_store::load() {
    const absl::StatusOr<loaded_settings> loaded = read_settings(table_);
    if (!loaded.ok()) {
        return loaded.status();
    }
    return loaded->snapshot;
}

absl::StatusOr<snapshot_ptr> settings_store::load_newer(const snapshot_ptr& known) {
    const absl::StatusOr<revision> at = newest();
    if (!at.ok()) {
        return at.status();
    }
    if (known != nullptr && *at <= known->at()) {
        return nullptr;
    }
    return load();
}

absl::StatusOr<revision> settings_store::newest() {
    const auto row = table_.get(settings_head_key);
    if (!row.ok()) {
        return row.status();
    }
    if (!*row) {
        return revision{};
    }
    const absl::StatusOr<head_record> head = decode_head((*row)->value);
    if (!head.ok()) {
        return head.status();
    }
    return head->at;
}

absl::StatusOr<snapshot_ptr> settings_store::apply(const settings_change& change) {
    if (!is_safe_name(change.id.str())) {
        return absl::InvalidArgumentError(
            absl::StrCat("change id '", change.id.str(), "' is not an id"));
    }
    return submission(table_, change).run();
}

absl::StatusOr<std::optional<revision>> settings_store::revision_of(const change_id& id) {
    const auto record = find_change(table_, id);
    if (!record.ok()) {
        return record.status();
    }
    return *record ? std::optional((*record)->at) : std::nullopt;
}

} // namespace jujubetide
