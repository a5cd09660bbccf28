#include "jujubetide/base/findings.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace jujubetide {

void findings::add(finding_place place, std::string message) {
    list_.push_back({std::move(place), std::move(message)});
}

void findings::append(const findings& other) {
    list_.insert(list_.end(), other.list_.begin(), other.list_.end());
}

std::string findings::format() const {
    std::string text;
    for (const finding& item : list_) {
        if (!text.empty()) {
            text += '\n';
        }
        if (!item.place.file.empty()) {
            absl::StrAppend(&text, item.place.file, ":");
        }
        if (item.place.line > 0) {
            absl::StrAppend(&text, item.place.line, ":");
        }
        if (!text.empty() && text.back() == ':') {
            text += ' ';
        }
        if (!item.place.field.empty()) {
            absl::StrAppend(&text, item.place.field, ": ");
        }
        text += item.message;
    }
    return text;
}

absl::Status findings::to_status() const {
    if (empty()) {
        return absl::OkStatus();
    }
    return absl::InvalidArgumentError(format());
}

} // namespace jujubetide
