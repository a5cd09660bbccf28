#include "node/row_mirror.h"

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

/// Removals that are remembered: several times the rows that a table of servers has.
constexpr std::size_t max_removals = 2'000;

} // namespace

std::vector<stored_row> row_mirror::rows() const {
    std::vector<stored_row> list;
    list.reserve(rows_.size());
    for (const auto& [key, row] : rows_) {
        list.push_back(row);
    }
    return list;
}

std::optional<std::vector<stored_row>> row_mirror::changes_after(row_version after) const {
    if (after < complete_from_) {
        return std::nullopt;
    }
    std::vector<stored_row> list;
    for (const auto& [key, row] : rows_) {
        if (row.version > after) {
            list.push_back(row);
        }
    }
    for (const auto& [key, version] : removed_) {
        if (version > after) {
            list.push_back({key, "", version, true});
        }
    }
    return list;
}

void row_mirror::do_snapshot(const std::vector<stored_row>& rows, row_version at) {
    std::map<std::string, stored_row> before = std::exchange(rows_, {});
    for (const stored_row& row : rows) {
        changed_at_ = std::max(changed_at_, row.version);
        before.erase(row.key);
        rows_[row.key] = row;
    }
    if (!before.empty()) {
        changed_at_ = std::max(changed_at_, at); // Rows vanished; their versions are not known.
    }
    removed_.clear();
    complete_from_ = at;
    to_.on_snapshot(rows, at);
}

void row_mirror::do_changes(const std::vector<stored_row>& rows) {
    for (const stored_row& row : rows) {
        changed_at_ = std::max(changed_at_, row.version);
        if (row.removed) {
            rows_.erase(row.key);
            removed_[row.key] = row.version;
        } else {
            removed_.erase(row.key);
            rows_[row.key] = row;
        }
    }
    forget_old_removals();
    to_.on_changes(rows);
}

void row_mirror::forget_old_removals() {
    if (removed_.size() <= max_removals) {
        return;
    }
    std::vector<row_version> versions;
    for (const auto& [key, version] : removed_) {
        versions.push_back(version);
    }
    const auto middle = versions.begin() + static_cast<std::ptrdiff_t>(versions.size() / 2);
    std::nth_element(versions.begin(), middle, versions.end());
    complete_from_ = std::max(complete_from_, *middle);
    std::erase_if(removed_, [this](const auto& item) { return item.second <= complete_from_; });
}

} // namespace jujubetide
