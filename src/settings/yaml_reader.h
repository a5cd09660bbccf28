#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/findings.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/strings/str_cat.h>
#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace jujubetide {

enum class presence { required, optional };

/// Reads the fields of one YAML map into typed values. A value that is absent or wrong leaves the
/// target as it was; every fault goes to the findings with file, line and path of the field.
/// Numbers must be plain decimal numbers; ranges include both ends.
class yaml_reader {
public:
    /// Reads `map`, which is at `path` (empty for the document itself) in `file`. The findings must
    /// outlive the reader.
    yaml_reader(const YAML::Node& map, std::string file, std::string path, findings& found);

    template <class Tag>
    void id(const std::string& name, strong_id<Tag>& value, presence wanted) {
        std::string text;
        if (safe_name(name, text, wanted)) {
            value = strong_id<Tag>(text);
        }
    }
    template <class Tag>
    void ids(const std::string& name, std::vector<strong_id<Tag>>& values, presence wanted) {
        std::vector<std::string> texts;
        names(name, texts, wanted);
        for (std::string& text : texts) {
            values.emplace_back(std::move(text));
        }
    }
    void integer(const std::string& name, std::int64_t& value, std::int64_t least,
                 std::int64_t most, presence wanted);
    /// Reads an integer into any other integer type that holds the range.
    template <class Number>
    void whole(const std::string& name, Number& value, std::int64_t least, std::int64_t most,
               presence wanted = presence::optional) {
        auto number = static_cast<std::int64_t>(value);
        integer(name, number, least, most, wanted);
        value = static_cast<Number>(number);
    }
    void duration(const std::string& name, millis& value, millis least, millis most);
    void real(const std::string& name, double& value, double least, double most);
    void boolean(const std::string& name, bool& value, presence wanted);
    /// One of `choices`; returns whether a choice was read.
    bool choice(const std::string& name, std::string& value,
                const std::vector<std::string>& choices, presence wanted);
    void text(const std::string& name, std::string& value, presence wanted);
    void texts(const std::string& name, std::vector<std::string>& values, presence wanted);
    /// `ADDRESS:PORT`; `least_port` 0 also takes "any free port".
    void address(const std::string& name, endpoint& value, std::uint16_t least_port,
                 presence wanted);
    void addresses(const std::string& name, std::vector<endpoint>& values);
    /// 64 lower-case hex digits.
    void key_hash(const std::string& name, std::string& value, presence wanted);
    /// The maps of a list, each as a reader of its own.
    std::vector<yaml_reader> maps(const std::string& name, presence wanted);

    /// Whether the map has the field.
    [[nodiscard]] bool has(const std::string& name) const;
    /// Adds a finding on a field, or on the map itself for an empty name.
    void add(const std::string& name, const std::string& message);
    /// Refuses the fields that were not asked for, and fields that stand twice. Call last.
    void end();
    /// The fields asked for so far.
    [[nodiscard]] const std::set<std::string>& known() const { return known_; }

private:
    YAML::Node field(const std::string& name, presence wanted);
    bool scalar(const std::string& name, std::string& value, presence wanted);
    std::vector<std::string> scalars(const std::string& name, presence wanted);
    bool safe_name(const std::string& name, std::string& value, presence wanted);
    void names(const std::string& name, std::vector<std::string>& values, presence wanted);
    [[nodiscard]] std::string path_of(const std::string& name) const;
    void add_at(const YAML::Node& node, const std::string& path, const std::string& message);

    YAML::Node map_;
    std::string file_;
    std::string path_;
    findings* found_;
    std::set<std::string> known_;
};

/// Parses one YAML document that must be a map; null and a finding where it is not.
YAML::Node parse_yaml_map(const std::string& text, const std::string& file, findings& found);

/// Whether the text is a SHA-256 in 64 lower-case hex digits.
bool is_key_hash(const std::string& text);

/// Whether the text is a safe id: 1 to 64 letters, digits, '.', '_' and '-', beginning with a
/// letter or digit.
bool is_safe_name(const std::string& text);

} // namespace jujubetide
