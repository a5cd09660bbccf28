#include "settings/change_check.h"

#include "settings/settings_rows.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <vector>

namespace jujubetide {
namespace {

constexpr const char* operators_subtree = "/operators/";

bool has_operators_manager(const settings_snapshot& settings) {
    return std::any_of(
        settings.operators().begin(), settings.operators().end(),
        [](const operator_settings& person) { return covers(person, operators_subtree); });
}

std::vector<std::string> paths_of(const settings_change& change) {
    std::vector<std::string> paths;
    paths.reserve(change.edits.size());
    for (const auto& [path, text] : change.edits) {
        paths.push_back(path);
    }
    return paths;
}

void edit_documents(const settings_change& change, settings_documents& documents, findings& found) {
    if (change.edits.empty()) {
        found.add({}, "the change has no edits");
    }
    for (const auto& [path, text] : change.edits) {
        if (text) {
            documents[path] = *text;
        } else if (documents.erase(path) == 0) {
            found.add({path, 0, ""}, "cannot be removed: there is no such document");
        }
    }
}

} // namespace

absl::Status check_author(const settings_change& change, const settings_snapshot& current) {
    if (current.operators().empty()) {
        return absl::OkStatus();
    }
    const auto author = std::find_if(
        current.operators().begin(), current.operators().end(),
        [&change](const operator_settings& person) { return person.id == change.author; });
    if (author == current.operators().end()) {
        return absl::PermissionDeniedError(
            absl::StrCat("operator '", change.author.str(), "' is not declared"));
    }
    std::vector<std::string> refused = paths_of(change);
    std::erase_if(refused, [&](const std::string& path) { return covers(*author, path); });
    if (refused.empty()) {
        return absl::OkStatus();
    }
    return absl::PermissionDeniedError(absl::StrCat(
        "operator '", change.author.str(), "' may not write ", absl::StrJoin(refused, ", "),
        "; its subtrees are ", absl::StrJoin(author->subtrees, ", ")));
}

absl::StatusOr<snapshot_ptr> settings_after(const settings_change& change,
                                            const settings_snapshot& current) {
    findings found;
    settings_documents documents = current.documents();
    edit_documents(change, documents, found);
    snapshot_ptr next = parse_settings(documents, current.at().next(), found);
    if (next && has_operators_manager(current) && !has_operators_manager(*next)) {
        found.add({operators_subtree, 0, ""}, "no operator could change the operators any more");
    }
    if (!found.empty()) {
        return found.to_status();
    }
    return next;
}

absl::Status conflict_of(const settings_change& change, const head_record& winner) {
    return absl::AbortedError(absl::StrCat(
        "conflict: revision ", winner.at.value(), " was made by change '", winner.change.str(),
        "' of operator '", winner.author.str(), "', which wrote ",
        absl::StrJoin(winner.paths, ", "), "; your change '", change.id.str(), "' of operator '",
        change.author.str(), "' was made against revision ", change.expected.value(),
        " and writes ", absl::StrJoin(paths_of(change), ", ")));
}

} // namespace jujubetide
