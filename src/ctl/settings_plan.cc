#include "ctl/settings_plan.h"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <set>

namespace jujubetide {
namespace {

bool lies_in(const std::string& path, const std::vector<std::string>& subtrees) {
    return std::any_of(subtrees.begin(), subtrees.end(),
                       [&path](const std::string& subtree) { return path.starts_with(subtree); });
}

} // namespace

std::vector<std::string> subtrees_of(const settings_documents& documents) {
    std::set<std::string> subtrees;
    for (const auto& [path, text] : documents) {
        const std::vector<std::string> parts = absl::StrSplit(path, '/');
        if (parts.size() > 2 && parts[1] == "teams") {
            subtrees.insert("/teams/" + parts[2] + "/");
        } else if (parts.size() > 1) {
            subtrees.insert("/" + parts[1] + "/");
        }
    }
    return {subtrees.begin(), subtrees.end()};
}

settings_plan plan_settings(const settings_documents& wanted, const settings_documents& server,
                            const std::vector<std::string>& subtrees) {
    settings_plan plan;
    for (const auto& [path, text] : wanted) {
        if (!lies_in(path, subtrees)) {
            continue;
        }
        const auto old = server.find(path);
        if (old == server.end()) {
            plan.added.push_back(path);
        } else if (old->second != text) {
            plan.changed.push_back(path);
        } else {
            continue;
        }
        plan.edits[path] = text;
    }
    for (const auto& [path, text] : server) {
        if (!wanted.contains(path) && lies_in(path, subtrees)) {
            plan.removed.push_back(path);
            plan.edits[path] = std::nullopt;
        }
    }
    std::sort(plan.added.begin(), plan.added.end());
    std::sort(plan.changed.begin(), plan.changed.end());
    std::sort(plan.removed.begin(), plan.removed.end());
    return plan;
}

} // namespace jujubetide
