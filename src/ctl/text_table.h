#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace jujubetide {

/// Rows of text in aligned columns.
class text_table {
public:
    explicit text_table(std::vector<std::string> header) { rows_.push_back(std::move(header)); }
    void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
    void write(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace jujubetide
