#pragma once

#include <absl/status/status.h>

#include <string>
#include <vector>

namespace jujubetide {

/// Where a finding was made. Lines and columns count from 1; 0 means unknown.
struct finding_place {
    std::string file;
    int line = 0;
    /// Path of the field within the document, such as `customers[2].share`.
    std::string field;
};

struct finding {
    finding_place place;
    std::string message;
};

/// Collects what is wrong with an input, so that everything is reported together.
class findings {
public:
    void add(finding_place place, std::string message);
    void append(const findings& other);

    [[nodiscard]] bool empty() const { return list_.empty(); }
    [[nodiscard]] const std::vector<finding>& list() const { return list_; }
    /// One line a finding: `file:line: field: message`.
    [[nodiscard]] std::string format() const;
    /// OK when empty; otherwise InvalidArgument with `format()` as its message.
    [[nodiscard]] absl::Status to_status() const;

private:
    std::vector<finding> list_;
};

} // namespace jujubetide
