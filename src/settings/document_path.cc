#include "settings/document_path.h"

#include "settings/yaml_reader.h"

#include <absl/strings/str_split.h>

#include <vector>

namespace jujubetide {
namespace {

std::optional<document_kind> team_document_kind(const std::string& folder) {
    if (folder == "services") {
        return document_kind::service;
    }
    if (folder == "customers") {
        return document_kind::customer;
    }
    if (folder == "backends") {
        return document_kind::backend_server;
    }
    return std::nullopt;
}

} // namespace

std::optional<document_path> parse_document_path(const std::string& path) {
    const std::vector<std::string> parts = absl::StrSplit(path, '/');
    if (!is_safe_name(parts.back()) || !parts.front().empty()) {
        return std::nullopt;
    }
    if (parts.size() == 3 && parts[1] == "operators") {
        return document_path{document_kind::operator_document, team_id{}, parts[2]};
    }
    if (parts.size() == 3 && parts[1] == "fleet" && parts[2] == "hosts") {
        return document_path{document_kind::fleet, team_id{}, parts[2]};
    }
    if (parts.size() != 5 || parts[1] != "teams" || !is_safe_name(parts[2])) {
        return std::nullopt;
    }
    const std::optional<document_kind> kind = team_document_kind(parts[3]);
    if (!kind) {
        return std::nullopt;
    }
    return document_path{*kind, team_id(parts[2]), parts[4]};
}

} // namespace jujubetide
