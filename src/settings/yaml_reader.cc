// YAML is read through one class, so that each field of the settings is one line at its place of
// use and the checks of types, ranges and unknown fields stand once.
#include "settings/yaml_reader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace jujubetide {
namespace {

constexpr std::size_t max_name_length = 64;
constexpr std::size_t key_hash_digits = 64;
constexpr std::size_t max_document_bytes = 64U << 10U;

int line_of(const YAML::Mark& mark) {
    return mark.is_null() ? 0 : mark.line + 1;
}

bool is_lower_hex(const std::string& text) {
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

} // namespace

bool is_safe_name(const std::string& text) {
    if (text.empty() || text.size() > max_name_length ||
        !absl::ascii_isalnum(static_cast<unsigned char>(text[0]))) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '.' || c == '_' ||
               c == '-';
    });
}

bool is_key_hash(const std::string& text) {
    return text.size() == key_hash_digits && is_lower_hex(text);
}

YAML::Node parse_yaml_map(const std::string& text, const std::string& file, findings& found) {
    if (text.size() > max_document_bytes) {
        found.add({file, 0, ""}, absl::StrCat("has more than ", max_document_bytes, " bytes"));
        return YAML::Node(YAML::NodeType::Null);
    }
    try {
        YAML::Node document = YAML::Load(text);
        if (document.IsMap()) {
            return document;
        }
        found.add({file, line_of(document.Mark()), ""}, "must be a map of fields");
    } catch (const YAML::Exception& error) {
        found.add({file, line_of(error.mark), ""}, absl::StrCat("not YAML: ", error.msg));
    }
    return YAML::Node(YAML::NodeType::Null);
}

yaml_reader::yaml_reader(const YAML::Node& map, std::string file, std::string path, findings& found)
    : map_(map), file_(std::move(file)), path_(std::move(path)), found_(&found) {}

void yaml_reader::integer(const std::string& name, std::int64_t& value, std::int64_t least,
                          std::int64_t most, presence wanted) {
    std::string text;
    if (!scalar(name, text, wanted)) {
        return;
    }
    std::int64_t number = 0;
    if (!absl::SimpleAtoi(text, &number) || number < least || number > most) {
        add(name, absl::StrCat("'", text, "' is not a whole number from ", least, " to ", most));
        return;
    }
    value = number;
}

void yaml_reader::duration(const std::string& name, millis& value, millis least, millis most) {
    std::int64_t number = value.count();
    integer(name, number, least.count(), most.count(), presence::optional);
    value = millis{number};
}

void yaml_reader::real(const std::string& name, double& value, double least, double most) {
    std::string text;
    if (!scalar(name, text, presence::optional)) {
        return;
    }
    double number = 0;
    if (!absl::SimpleAtod(text, &number) || !std::isfinite(number) || number < least ||
        number > most) {
        add(name, absl::StrCat("'", text, "' is not a number from ", least, " to ", most));
        return;
    }
    value = number;
}

void yaml_reader::boolean(const std::string& name, bool& value, presence wanted) {
    std::string text;
    if (choice(name, text, {"true", "false"}, wanted)) {
        value = text == "true";
    }
}

bool yaml_reader::choice(const std::string& name, std::string& value,
                         const std::vector<std::string>& choices, presence wanted) {
    std::string text;
    if (!scalar(name, text, wanted)) {
        return false;
    }
    if (std::find(choices.begin(), choices.end(), text) == choices.end()) {
        add(name, absl::StrCat("'", text, "' is not one of ", absl::StrJoin(choices, ", ")));
        return false;
    }
    value = text;
    return true;
}

void yaml_reader::text(const std::string& name, std::string& value, presence wanted) {
    std::string read;
    if (scalar(name, read, wanted)) {
        value = read;
    }
}

void yaml_reader::texts(const std::string& name, std::vector<std::string>& values,
                        presence wanted) {
    values = scalars(name, wanted);
}

void yaml_reader::address(const std::string& name, endpoint& value, std::uint16_t least_port,
                          presence wanted) {
    std::string text;
    if (!scalar(name, text, wanted)) {
        return;
    }
    const absl::StatusOr<endpoint> parsed = parse_endpoint(text);
    if (!parsed.ok()) {
        add(name, std::string(parsed.status().message()));
    } else if (parsed->port < least_port) {
        add(name, absl::StrCat("'", text, "' needs a port from 1 to 65535"));
    } else {
        value = *parsed;
    }
}

void yaml_reader::addresses(const std::string& name, std::vector<endpoint>& values) {
    for (const std::string& text : scalars(name, presence::optional)) {
        const absl::StatusOr<endpoint> parsed = parse_endpoint(text);
        if (parsed.ok() && parsed->port > 0) {
            values.push_back(*parsed);
        } else {
            add(name, absl::StrCat("'", text, "' is not an IPv4 address and port from 1"));
        }
    }
}

void yaml_reader::key_hash(const std::string& name, std::string& value, presence wanted) {
    std::string text;
    if (!scalar(name, text, wanted)) {
        return;
    }
    if (!is_key_hash(text)) {
        add(name, "is not a SHA-256 in 64 lower-case hex digits");
        return;
    }
    value = text;
}

std::vector<yaml_reader> yaml_reader::maps(const std::string& name, presence wanted) {
    std::vector<yaml_reader> readers;
    const YAML::Node list = field(name, wanted);
    if (!list.IsDefined()) {
        return readers;
    }
    if (!list.IsSequence()) {
        add(name, "must be a list");
        return readers;
    }
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::string path = absl::StrCat(path_of(name), "[", i, "]");
        if (list[i].IsMap()) {
            readers.emplace_back(list[i], file_, path, *found_);
        } else {
            add_at(list[i], path, "must be a map of fields");
        }
    }
    return readers;
}

bool yaml_reader::has(const std::string& name) const {
    return map_.IsMap() && map_[name].IsDefined();
}

void yaml_reader::add(const std::string& name, const std::string& message) {
    const bool at_field = !name.empty() && has(name);
    add_at(at_field ? YAML::Node(map_[name]) : map_, path_of(name), message);
}

void yaml_reader::end() {
    if (!map_.IsMap()) {
        return;
    }
    std::set<std::string> seen;
    for (const auto& entry : map_) {
        const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "?";
        if (!known_.contains(name)) {
            add_at(entry.first, path_of(name), "unknown field");
        } else if (!seen.insert(name).second) {
            add_at(entry.first, path_of(name), "stands twice");
        }
    }
}

YAML::Node yaml_reader::field(const std::string& name, presence wanted) {
    known_.insert(name);
    if (has(name)) {
        return map_[name];
    }
    if (wanted == presence::required) {
        add(name, "is missing");
    }
    return YAML::Node(YAML::NodeType::Undefined);
}

bool yaml_reader::scalar(const std::string& name, std::string& value, presence wanted) {
    const YAML::Node node = field(name, wanted);
    if (!node.IsDefined()) {
        return false;
    }
    if (!node.IsScalar()) {
        add(name, "must be a single value");
        return false;
    }
    value = node.Scalar();
    return true;
}

std::vector<std::string> yaml_reader::scalars(const std::string& name, presence wanted) {
    std::vector<std::string> values;
    const YAML::Node list = field(name, wanted);
    if (!list.IsDefined()) {
        return values;
    }
    if (!list.IsSequence()) {
        add(name, "must be a list");
        return values;
    }
    for (std::size_t i = 0; i < list.size(); ++i) {
        if (list[i].IsScalar()) {
            values.push_back(list[i].Scalar());
        } else {
            add_at(list[i], absl::StrCat(path_of(name), "[", i, "]"), "must be a single value");
        }
    }
    return values;
}

bool yaml_reader::safe_name(const std::string& name, std::string& value, presence wanted) {
    std::string text;
    if (!scalar(name, text, wanted)) {
        return false;
    }
    if (!is_safe_name(text)) {
        add(name, absl::StrCat("'", text, "' is not an id: 1 to ", max_name_length,
                               " letters, digits, '.', '_' or '-'"));
        return false;
    }
    value = text;
    return true;
}

void yaml_reader::names(const std::string& name, std::vector<std::string>& values,
                        presence wanted) {
    for (const std::string& text : scalars(name, wanted)) {
        if (!is_safe_name(text)) {
            add(name, absl::StrCat("'", text, "' is not an id"));
        } else if (std::find(values.begin(), values.end(), text) != values.end()) {
            add(name, absl::StrCat("'", text, "' stands twice"));
        } else {
            values.push_back(text);
        }
    }
}

std::string yaml_reader::path_of(const std::string& name) const {
    if (path_.empty() || name.empty()) {
        return path_ + name;
    }
    return absl::StrCat(path_, ".", name);
}

void yaml_reader::add_at(const YAML::Node& node, const std::string& path,
                         const std::string& message) {
    found_->add({file_, line_of(node.Mark()), path}, message);
}

} // namespace jujubetide
