#include "node/row_mirror.h"

namespace jujubetide {

std::vector<stored_row> row_mirror::rows() const {
    std::vector<stored_row> list;
    list.reserve(rows_.size());
    for (const auto& [key, row] : rows_) {
        list.push_back(row);
    }
    return list;
}

void row_mirror::do_table(const std::vector<stored_row>& rows) {
    rows_.clear();
    for (const stored_row& row : rows) {
        rows_[row.key] = row;
    }
    to_.on_table(rows);
}

void row_mirror::do_changes(const std::vector<stored_row>& rows) {
    for (const stored_row& row : rows) {
        if (row.removed) {
            rows_.erase(row.key);
        } else {
            rows_[row.key] = row;
        }
    }
    to_.on_changes(rows);
}

} // namespace jujubetide
