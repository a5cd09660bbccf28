#include "standins/standin_table.h"

#include <absl/strings/str_cat.h>

namespace jujubetide {

std::uint64_t standin_table::reads() const {
    const std::lock_guard lock(mutex_);
    return reads_;
}

std::uint64_t standin_table::writes() const {
    const std::lock_guard lock(mutex_);
    return writes_;
}

absl::StatusOr<std::optional<table_row>> standin_table::do_get(const std::string& key) {
    const std::lock_guard lock(mutex_);
    ++reads_;
    const auto found = rows_.find(key);
    if (found == rows_.end()) {
        return std::nullopt;
    }
    return table_row{key, found->second.value, found->second.version};
}

absl::StatusOr<std::vector<table_row>>
standin_table::do_scan(const std::string& prefix, const std::string& after, std::size_t limit) {
    const std::lock_guard lock(mutex_);
    ++reads_;
    std::vector<table_row> found;
    auto row = after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    for (; row != rows_.end() && found.size() < limit; ++row) {
        if (!row->first.starts_with(prefix)) {
            break;
        }
        found.push_back({row->first, row->second.value, row->second.version});
    }
    return found;
}

absl::StatusOr<row_version> standin_table::do_commit(const table_transaction& transaction) {
    const std::lock_guard lock(mutex_);
    ++writes_;
    for (const row_condition& condition : transaction.conditions) {
        const auto found = rows_.find(condition.key);
        const row_version actual = found == rows_.end() ? row_version() : found->second.version;
        if (actual != condition.version) {
            return absl::AbortedError(absl::StrCat(condition.key, " has version ", actual.value(),
                                                   ", not ", condition.version.value()));
        }
    }
    last_commit_ = last_commit_.next();
    for (const row_write& write : transaction.writes) {
        if (write.value) {
            rows_[write.key] = {*write.value, last_commit_};
        } else {
            rows_.erase(write.key);
        }
    }
    return last_commit_;
}

} // namespace jujubetide
