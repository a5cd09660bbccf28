#include "ctl/settings_tree.h"

#include <absl/strings/str_cat.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace jujubetide {
namespace {

namespace fs = std::filesystem;

constexpr const char* document_suffix = ".yaml";

bool is_hidden(const fs::path& relative) {
    for (const fs::path& part : relative) {
        if (part.string().starts_with(".")) {
            return true;
        }
    }
    return false;
}

void read_file(const fs::path& file, const fs::path& relative, settings_documents& documents,
               findings& found) {
    if (file.extension() != document_suffix) {
        found.add({file.string(), 0, ""}, "is not a .yaml file");
        return;
    }
    const std::ifstream input(file);
    if (!input) {
        found.add({file.string(), 0, ""}, "cannot be read");
        return;
    }
    std::ostringstream text;
    text << input.rdbuf();
    fs::path path = relative;
    documents["/" + path.replace_extension().generic_string()] = text.str();
}

} // namespace

absl::StatusOr<settings_documents> read_settings_tree(const std::string& directory) {
    std::error_code error;
    if (!fs::is_directory(directory, error)) {
        return absl::InvalidArgumentError(absl::StrCat("'", directory, "' is not a directory"));
    }
    settings_documents documents;
    findings found;
    for (auto entry = fs::recursive_directory_iterator(directory, error);
         !error && entry != fs::recursive_directory_iterator(); entry.increment(error)) {
        const fs::path relative = fs::relative(entry->path(), directory, error);
        if (!entry->is_directory(error) && !is_hidden(relative)) {
            read_file(entry->path(), relative, documents, found);
        }
    }
    if (error) {
        found.add({directory, 0, ""}, error.message());
    }
    if (!found.empty()) {
        return found.to_status();
    }
    return documents;
}

findings check_settings_tree(const settings_documents& documents, const std::string& directory) {
    findings by_path;
    static_cast<void>(parse_settings(documents, revision{}, by_path));
    findings by_file;
    for (const finding& item : by_path.list()) {
        finding_place place = item.place;
        if (place.file.starts_with("/")) {
            place.file = absl::StrCat(directory, place.file, document_suffix);
        }
        by_file.add(place, item.message);
    }
    return by_file;
}

} // namespace jujubetide
