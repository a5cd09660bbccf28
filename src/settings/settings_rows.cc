#include "settings/settings_rows.h"

#include "jujubetide/settings/sha256.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <map>
#include <optional>

namespace jujubetide {
namespace {

using nlohmann::json;

json to_json(const std::optional<std::string>& text) {
    return text ? json(*text) : json(nullptr);
}

std::optional<std::string> optional_text(const json& value) {
    return value.is_null() ? std::nullopt : std::optional(value.get<std::string>());
}

json to_json(const audit_edit& edit) {
    return {{"path", edit.path}, {"from", to_json(edit.from)}, {"to", to_json(edit.to)}};
}

audit_edit edit_from(const json& value) {
    return {value.at("path").get<std::string>(), optional_text(value.at("from")),
            optional_text(value.at("to"))};
}

/// Calls `read` on the parsed text and turns any error of it into DataLoss.
template <class Record, class Read>
absl::StatusOr<Record> decode(const std::string& text, const char* what, Read&& read) {
    try {
        return read(json::parse(text));
    } catch (const json::exception& error) {
        return absl::DataLossError(absl::StrCat("unreadable ", what, ": ", error.what()));
    }
}

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string document_key(const std::string& path) {
    return settings_document_prefix + path;
}

std::string change_key(const change_id& id) {
    return absl::StrCat("settings/change/", id.str());
}

std::string audit_key(revision at) {
    return absl::StrFormat("%s%020d", audit_prefix, at.value());
}

std::string documents_digest(const settings_documents& documents) {
    const std::map<std::string, std::string> ordered(documents.begin(), documents.end());
    std::string bytes;
    for (const auto& [path, text] : ordered) {
        absl::StrAppend(&bytes, path.size(), ":", path, text.size(), ":", text);
    }
    return sha256_hex(bytes);
}

std::string edits_digest(const settings_change& change) {
    std::string bytes;
    for (const auto& [path, text] : change.edits) {
        absl::StrAppend(&bytes, path.size(), ":", path);
        if (text) {
            absl::StrAppend(&bytes, text->size(), ":", *text);
        } else {
            bytes += "-";
        }
    }
    return sha256_hex(bytes);
}

std::string encode(const head_record& record) {
    return dump({{"revision", record.at.value()},
                 {"change", record.change.str()},
                 {"author", record.author.str()},
                 {"paths", record.paths},
                 {"digest", record.digest}});
}

std::string encode(const change_record& record) {
    return dump({{"revision", record.at.value()}, {"digest", record.digest}});
}

std::string encode(const audit_record& record) {
    json edits = json::array();
    for (const audit_edit& edit : record.edits) {
        edits.push_back(to_json(edit));
    }
    return dump({{"revision", record.at.value()},
                 {"change", record.change.str()},
                 {"author", record.author.str()},
                 {"submitted_ms", record.submitted.time_since_epoch().count()},
                 {"comment", record.comment},
                 {"edits", edits}});
}

absl::StatusOr<head_record> decode_head(const std::string& text) {
    return decode<head_record>(text, "settings head", [](const json& value) {
        head_record record;
        record.at = revision(value.at("revision").get<std::uint64_t>());
        record.change = change_id(value.at("change").get<std::string>());
        record.author = operator_id(value.at("author").get<std::string>());
        record.paths = value.at("paths").get<std::vector<std::string>>();
        record.digest = value.at("digest").get<std::string>();
        return record;
    });
}

absl::StatusOr<change_record> decode_change(const std::string& text) {
    return decode<change_record>(text, "settings change", [](const json& value) {
        return change_record{revision(value.at("revision").get<std::uint64_t>()),
                             value.at("digest").get<std::string>()};
    });
}

absl::StatusOr<audit_record> decode_audit(const std::string& text) {
    return decode<audit_record>(text, "audit record", [](const json& value) {
        audit_record record;
        record.at = revision(value.at("revision").get<std::uint64_t>());
        record.change = change_id(value.at("change").get<std::string>());
        record.author = operator_id(value.at("author").get<std::string>());
        record.submitted = wall_time(millis(value.at("submitted_ms").get<std::int64_t>()));
        record.comment = value.at("comment").get<std::string>();
        for (const json& edit : value.at("edits")) {
            record.edits.push_back(edit_from(edit));
        }
        return record;
    });
}

} // namespace jujubetide
