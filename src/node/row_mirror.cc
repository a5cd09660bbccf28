#include "node/row_mirror.h"

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

/// Limit on the removals that are kept: several times the number of rows in a table of servers.
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
    if (after < removals_complete_from_) {
        return std::nullopt;
    }
    std::vector<stored_row> list;
    for (const auto& [key, row] : rows_) {
        if (row.version > after) {
            list.push_back(row);
        }
    }
    for (const auto& [key, version] : removal_versions_) {
        if (version > after) {
            list.push_back({key, "", version, true});
        }
    }
    return list;
}

void row_mirror::do_snapshot(const std::vector<stored_row>& rows, row_version at) {
    std::map<std::string, stored_row> previous = std::exchange(rows_, {});
    for (const stored_row& row : rows) {
        last_changed_version_ = std::max(last_changed_version_, row.version);
        previous.erase(row.key);
        rows_[row.key] = row;
    }
    if (!previous.empty()) {
        // Some rows are gone; the versions of their removals are not known.
        last_changed_version_ = std::max(last_changed_version_, at);
    }
    removal_versions_.clear();
    removals_complete_from_ = at;
    observer_.on_snapshot(rows, at);
}

void row_mirror::do_changes(const std::vector<stored_row>& rows) {
    for (const stored_row& row : rows) {
        last_changed_version_ = std::max(last_changed_version_, row.version);
        if (row.removed) {
            rows_.erase(row.key);
            removal_versions_[row.key] = row.version;
        } else {
            removal_versions_.erase(row.key);
            rows_[row.key] = row;
        }
    }
    discard_old_removals();
    observer_.on_changes(rows);
}

void row_mirror::discard_old_removals() {
    if (removal_versions_.size() <= max_removals) {
        return;
    }
    std::vector<row_version> versions;
    for (const auto& [key, version] : removal_versions_) {
        versions.push_back(version);
    }
    const auto median = versions.begin() + static_cast<std::ptrdiff_t>(versions.size() / 2);
    std::nth_element(versions.begin(), median, versions.end());
    removals_complete_from_ = std::max(removals_complete_from_, *median);
    std::erase_if(removal_versions_,
                  [this](const auto& item) { return item.second <= removals_complete_from_; });
}

} // namespace jujubetide
