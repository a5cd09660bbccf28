#pragma once

#include "jujubetide/settings/settings_parser.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

/// What has to change so that the server's documents are those of a directory.
struct settings_plan {
    /// Documents to write, or to remove where there is no value.
    std::map<std::string, std::optional<std::string>> edits;
    /// Paths among the edits that the server does not have yet.
    std::vector<std::string> added;
    std::vector<std::string> changed;
    std::vector<std::string> removed;
};

/// The subtrees that the documents lie in: `/operators/`, and `/teams/TEAM/` of each team.
std::vector<std::string> subtrees_of(const settings_documents& documents);

/// Compares what lies in `subtrees`; nothing else is written or removed.
settings_plan plan_settings(const settings_documents& wanted, const settings_documents& server,
                            const std::vector<std::string>& subtrees);

} // namespace jujubetide
