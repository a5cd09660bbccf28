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

    /// A field's value, or an empty text.
    [[nodiscard]] std::string field(const std::string& of) const;
    /// A field that holds milliseconds; 0 where there is none.
    [[nodiscard]] millis duration(const std::string& of) const;
};

/// Reads a line as `json_log` writes it. What a collector put before the object is skipped; nothing
/// where the line holds no such object.
std::optional<log_record> parse_log_line(std::string_view line);

} // namespace jujubetide
