#include "ctl/text_table.h"

#include <algorithm>

namespace jujubetide {
namespace {

constexpr std::size_t column_gap = 2;

} // namespace

void text_table::write(std::ostream& out) const {
    std::vector<std::size_t> widths;
    for (const auto& row : rows_) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto& row : rows_) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const bool last = i + 1 == row.size();
            const std::size_t padding = last ? 0 : widths[i] - row[i].size() + column_gap;
            out << row[i] << std::string(padding, ' ');
        }
        out << '\n';
    }
}

} // namespace jujubetide
