#pragma once

#include "jujubetide/base/units.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jujubetide {

/// One line of a node's log.
struct log_record {
    wall_time time{};
    std::string node;
    std::string level;
    /// The event's number and name; see docs/EVENTS.md.
    int event = 0;
    std::string name;
    std::map<std::string, std::string> fields;

    /// The field's value, or an empty string if there is no such field.
    [[nodiscard]] std::string field(const std::string& key) const;
    /// The value of a field in milliseconds; 0 if there is no such field.
    [[nodiscard]] millis duration(const std::string& key) const;
};

/// Parses a line written by `json_log`. Text that a log collector put before the object is skipped.
/// Returns nothing if the line holds no such object.
std::optional<log_record> parse_log_line(std::string_view line);

} // namespace jujubetide
