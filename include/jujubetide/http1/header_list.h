#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jujubetide {

/// The header fields of a message, in order. Names are compared case-insensitively.
class header_list {
public:
    using field = std::pair<std::string, std::string>;

    void add(std::string name, std::string value) {
        fields_.emplace_back(std::move(name), std::move(value));
    }
    /// The value of the first field with this name.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const { return find(name).has_value(); }
    [[nodiscard]] const std::vector<field>& fields() const { return fields_; }
    /// Bytes that the fields take besides the text of long names and values.
    [[nodiscard]] std::size_t overhead() const { return fields_.capacity() * sizeof(field); }

private:
    std::vector<field> fields_;
};

/// Compares two header names case-insensitively.
bool is_same_header(std::string_view a, std::string_view b);
/// Whether a comma-separated header value contains `token`, compared case-insensitively.
bool has_token(std::string_view value, std::string_view token);
/// Whether the field applies to a single connection only and is never forwarded.
bool is_hop_by_hop(std::string_view name);

} // namespace jujubetide
