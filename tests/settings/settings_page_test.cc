#include "settings/settings_fields.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <regex>

using namespace jujubetide;

namespace {

/// The fields listed in docs/SETTINGS.md under `## Fields: KIND`.
std::set<std::string> listed_fields(const std::string& kind) {
    std::ifstream page(std::string(JUJUBETIDE_SOURCE_DIR) + "/docs/SETTINGS.md");
    REQUIRE(page);
    const std::regex row("^\\| `([a-z0-9_]+)` \\|.*\\|.*\\|.*\\|$");
    std::set<std::string> fields;
    bool inside = false;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("## ")) {
            inside = line == "## Fields: " + kind;
        }
        std::smatch match;
        if (inside && std::regex_match(line, match, row)) {
            fields.insert(match[1]);
        }
    }
    return fields;
}

} // namespace

TEST_CASE("docs/SETTINGS.md lists the fields that the parser knows, and no others") {
    for (const char* kind : {"service", "model route", "plain route", "customer", "backend",
                             "operator", "fleet", "fleet class", "fleet demand", "process"}) {
        INFO(kind);
        CHECK_FALSE(fields_of(kind).empty());
        CHECK(listed_fields(kind) == fields_of(kind));
    }
}
