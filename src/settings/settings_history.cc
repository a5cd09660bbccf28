// Revisions have no gaps, so the newest records are found without an index: a page is a window of
// keys counted back from the newest revision. Windows without a match are passed over, up to a
// bound on the reads of one call.
#include "jujubetide/settings/settings_history.h"

#include "settings/settings_rows.h"

#include "jujubetide/settings/settings_store.h"

#include <algorithm>
#include <iterator>

namespace jujubetide {
namespace {

constexpr std::size_t rows_per_window = 200;
constexpr int most_windows = 50;

/// Leaves the edits under the prefix.
audit_record only_under(audit_record record, const std::string& prefix) {
    std::erase_if(record.edits,
                  [&prefix](const audit_edit& edit) { return !edit.path.starts_with(prefix); });
    return record;
}

/// The records of revisions [first, end), the newest first.
absl::StatusOr<std::vector<audit_record>> read_window(table& platform_table, revision first,
                                                      revision end) {
    const revision before_first(first.value() - 1);
    const auto rows =
        platform_table.scan(audit_prefix, audit_key(before_first), end.value() - first.value());
    if (!rows.ok()) {
        return rows.status();
    }
    std::vector<audit_record> records;
    for (const table_row& row : *rows) {
        absl::StatusOr<audit_record> record = decode_audit(row.value);
        if (!record.ok()) {
            return record.status();
        }
        if (record->at < end) {
            records.push_back(std::move(*record));
        }
    }
    std::reverse(records.begin(), records.end());
    return records;
}

/// Adds the matching records to the page until it is full; returns whether it is.
bool fill(history_page& page, std::vector<audit_record> records, const history_query& query) {
    for (audit_record& record : records) {
        if (page.records.size() == query.limit) {
            return true;
        }
        audit_record part = only_under(std::move(record), query.path_prefix);
        if (!part.edits.empty()) {
            page.next_before = part.at;
            page.records.push_back(std::move(part));
        }
    }
    return page.records.size() == query.limit;
}

} // namespace

absl::StatusOr<history_page> settings_history::read(const history_query& query) {
    const absl::StatusOr<revision> newest = settings_store(table_).newest();
    if (!newest.ok()) {
        return newest.status();
    }
    revision end = newest->next();
    if (query.before > revision{}) {
        end = std::min(end, query.before);
    }
    history_page page;
    for (int window = 0; window < most_windows && end > revision{1}; ++window) {
        const std::uint64_t size = std::min<std::uint64_t>(rows_per_window, end.value() - 1);
        const revision first(end.value() - size);
        auto records = read_window(table_, first, end);
        if (!records.ok()) {
            return records.status();
        }
        if (fill(page, std::move(*records), query)) {
            break;
        }
        end = first;
        page.next_before = end;
    }
    if (page.next_before <= revision{1}) {
        page.next_before = revision{};
    }
    return page;
}

} // namespace jujubetide
