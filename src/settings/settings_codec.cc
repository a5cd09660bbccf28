#include "jujubetide/settings/settings_codec.h"

#include "settings/settings_rows.h"

#include "jujubetide/settings/settings_parser.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace jujubetide {
namespace {

using nlohmann::json;

/// Documents by path; no value stands for a removed one.
using document_edits = std::map<std::string, std::optional<std::string>>;

struct settings_message {
    /// Revision that the edits start from; 0 for the whole settings.
    revision from;
    revision at;
    /// Digest of all documents at `at`.
    std::string digest;
    document_edits edits;
};

std::string encode(const settings_message& message) {
    json edits = json::object();
    for (const auto& [path, text] : message.edits) {
        edits[path] = text ? json(*text) : json(nullptr);
    }
    const json value{{"from", message.from.value()},
                     {"revision", message.at.value()},
                     {"digest", message.digest},
                     {"documents", edits}};
    const std::vector<std::uint8_t> bytes = json::to_msgpack(value);
    return {bytes.begin(), bytes.end()};
}

absl::StatusOr<settings_message> decode(const std::string& bytes) {
    try {
        const json value = json::from_msgpack(bytes);
        settings_message message;
        message.from = revision(value.at("from").get<std::uint64_t>());
        message.at = revision(value.at("revision").get<std::uint64_t>());
        message.digest = value.at("digest").get<std::string>();
        for (const auto& [path, text] : value.at("documents").items()) {
            message.edits[path] =
                text.is_null() ? std::nullopt : std::optional(text.get<std::string>());
        }
        return message;
    } catch (const json::exception& error) {
        return absl::InvalidArgumentError(absl::StrCat("not a settings message: ", error.what()));
    }
}

absl::StatusOr<snapshot_ptr> apply(const settings_message& message, settings_documents documents) {
    for (const auto& [path, text] : message.edits) {
        if (text) {
            documents[path] = *text;
        } else {
            documents.erase(path);
        }
    }
    if (documents_digest(documents) != message.digest) {
        return absl::InvalidArgumentError("the documents do not have the digest of the message");
    }
    findings found;
    snapshot_ptr snapshot = parse_settings(documents, message.at, found);
    if (!snapshot) {
        return found.to_status();
    }
    return snapshot;
}

} // namespace

std::string encode_settings(const settings_snapshot& snapshot) {
    settings_message message{{}, snapshot.at(), documents_digest(snapshot.documents()), {}};
    for (const auto& [path, text] : snapshot.documents()) {
        message.edits[path] = text;
    }
    return encode(message);
}

absl::StatusOr<snapshot_ptr> decode_settings(const std::string& message) {
    const absl::StatusOr<settings_message> decoded = decode(message);
    if (!decoded.ok()) {
        return decoded.status();
    }
    if (decoded->from != revision{}) {
        return absl::InvalidArgumentError("the message is a delta");
    }
    return apply(*decoded, {});
}

std::string encode_settings_delta(const settings_snapshot& from, const settings_snapshot& to) {
    settings_message message{from.at(), to.at(), documents_digest(to.documents()), {}};
    for (const auto& [path, text] : to.documents()) {
        const auto old = from.documents().find(path);
        if (old == from.documents().end() || old->second != text) {
            message.edits[path] = text;
        }
    }
    for (const auto& [path, text] : from.documents()) {
        if (!to.documents().contains(path)) {
            message.edits[path] = std::nullopt;
        }
    }
    return encode(message);
}

absl::StatusOr<snapshot_ptr> decode_settings_delta(const std::string& message,
                                                   const settings_snapshot& base) {
    const absl::StatusOr<settings_message> decoded = decode(message);
    if (!decoded.ok()) {
        return decoded.status();
    }
    if (decoded->from != base.at()) {
        return absl::FailedPreconditionError(absl::StrCat(
            "the delta starts from revision ", decoded->from.value(), ", not ", base.at().value()));
    }
    return apply(*decoded, base.documents());
}

} // namespace jujubetide
