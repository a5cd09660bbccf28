#include "jujubetide/explain/log_record.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace jujubetide {

std::string log_record::field(const std::string& key) const {
    const auto found = fields.find(key);
    return found == fields.end() ? std::string() : found->second;
}

millis log_record::duration(const std::string& key) const {
    const std::string text = field(key);
    std::int64_t count = 0;
    std::from_chars(text.data(), text.data() + text.size(), count);
    return millis(count);
}

std::optional<log_record> parse_log_line(std::string_view line) {
    using json = nlohmann::json;
    const std::size_t begin = line.find('{');
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    const json body = json::parse(line.substr(begin), nullptr, false);
    if (!body.is_object()) {
        return std::nullopt;
    }
    try {
        log_record record;
        for (const auto& [key, value] : body.items()) {
            if (key == "t") {
                record.time = wall_time(millis(value.get<std::int64_t>()));
            } else if (key == "node") {
                record.node = value.get<std::string>();
            } else if (key == "level") {
                record.level = value.get<std::string>();
            } else if (key == "event") {
                record.event = value.get<int>();
            } else if (key == "name") {
                record.name = value.get<std::string>();
            } else {
                record.fields[key] = value.is_string() ? value.get<std::string>() : value.dump();
            }
        }
        return record.name.empty() ? std::nullopt : std::optional(record);
    } catch (const json::exception&) {
        return std::nullopt; // An object of another program.
    }
}

} // namespace jujubetide
