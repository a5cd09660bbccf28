#include "node/row_mirror.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace jujubetide {
namespace {

/// Limit on the removals that are kept: several times the number of rows in a table of servers.
constexpr std::size_t max_removals = 2'000;
/// Limit on the superseded rows that are kept: those of the seconds by which a copy can be older.
constexpr std::size_t max_superseded = 4'000;

} // namespace

std::vector<stored_row> row_mirror::rows() const {
    std::vector<stored_row> list;
    list.reserve(rows_.size());
    for (const auto& [key, row] : rows_) {
        list.push_back(row);
    }
    return list;
}

std::optional<std::vector<stored_row>> row_mirror::changes_after(store_position after) const {
    if (after.era != era_ || after.version < removals_complete_from_) {
        return std::nullopt;
    }
    std::vector<stored_row> list;
    for (const auto& [key, row] : rows_) {
        if (row.version > after.version) {
            list.push_back(row);
        }
    }
    for (const auto& [key, version] : removal_versions_) {
        if (version > after.version) {
            list.push_back({key, "", version, true});
        }
    }
    return list;
}

void row_mirror::do_snapshot(const std::vector<stored_row>& rows, store_position at) {
    const bool is_restored = std::exchange(era_, at.era) != at.era;
    const std::vector<stored_row> current = is_restored ? without_superseded(rows) : rows;
    if (is_restored) {
        last_changed_version_ = row_version();
    }
    for (const stored_row& row : current) {
        remember_superseded(row);
    }
    std::map<std::string, stored_row> previous = std::exchange(rows_, {});
    for (const stored_row& row : current) {
        last_changed_version_ = std::max(last_changed_version_, row.version);
        previous.erase(row.key);
        rows_[row.key] = row;
    }
    if (!previous.empty()) {
        // Some rows are gone; the versions of their removals are not known.
        last_changed_version_ = std::max(last_changed_version_, at.version);
    }
    for (const auto& [key, gone] : previous) {
        supersede(gone);
    }
    removal_versions_.clear();
    removals_complete_from_ = at.version;
    observer_.on_snapshot(current, at);
}

row_mirror::superseded_row row_mirror::to_superseded(const stored_row& row) {
    return {row.key, row.version, std::hash<std::string>{}(row.value)};
}

void row_mirror::remember_superseded(const stored_row& by) {
    const auto before = rows_.find(by.key);
    if (before == rows_.end() || by.version == before->second.version) {
        return;
    }
    supersede(before->second);
}

void row_mirror::supersede(const stored_row& row) {
    superseded_.push_back(to_superseded(row));
    if (superseded_.size() > max_superseded) {
        superseded_.pop_front();
    }
}

std::vector<stored_row> row_mirror::without_superseded(const std::vector<stored_row>& rows) const {
    const std::set<superseded_row> superseded(superseded_.begin(), superseded_.end());
    std::vector<stored_row> current;
    for (const stored_row& row : rows) {
        const auto known = rows_.find(row.key);
        if (!superseded.contains(to_superseded(row))) {
            current.push_back(row);
        } else if (known != rows_.end()) {
            current.push_back({row.key, known->second.value, row.version, false});
        }
    }
    return current;
}

void row_mirror::do_changes(const std::vector<stored_row>& rows) {
    for (const stored_row& row : rows) {
        last_changed_version_ = std::max(last_changed_version_, row.version);
        remember_superseded(row);
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
