#pragma once

#include "jujubetide/base/ids.h"

#include <optional>
#include <string>

namespace jujubetide {

enum class document_kind { service, customer, backend_server, operator_document, fleet };

/// What a settings path names.
struct document_path {
    document_kind kind = document_kind::service;
    /// Empty for operators and the fleet.
    team_id team;
    std::string name;
};

/// Reads `/teams/TEAM/services/NAME`, `/teams/TEAM/customers/NAME`, `/teams/TEAM/backends/NAME`,
/// `/operators/NAME` or `/fleet/hosts`; nothing for any other path.
std::optional<document_path> parse_document_path(const std::string& path);

} // namespace jujubetide
