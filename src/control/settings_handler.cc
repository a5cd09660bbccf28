#include "control/settings_handler.h"

#include "control/answers.h"
#include "control/control_events.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <httplib.h>

#include <algorithm>
#include <vector>

namespace jujubetide {
namespace {

using nlohmann::json;

constexpr std::uint64_t default_history_limit = 50;
constexpr std::uint64_t most_history_limit = 500;

std::map<std::string, std::optional<std::string>> edits_from(const json& value) {
    std::map<std::string, std::optional<std::string>> edits;
    for (const auto& [path, text] : value.items()) {
        edits[path] = text.is_null() ? std::nullopt : std::optional(text.get<std::string>());
    }
    return edits;
}

json text_or_null(const std::optional<std::string>& text) {
    return text ? json(*text) : json(nullptr);
}

json to_json(const audit_record& record, const operator_settings& reader) {
    json edits = json::array();
    for (const audit_edit& edit : record.edits) {
        if (covers(reader, edit.path)) {
            edits.push_back({{"path", edit.path},
                             {"from", text_or_null(edit.from)},
                             {"to", text_or_null(edit.to)}});
        }
    }
    return {{"revision", record.at.value()},
            {"change", record.change.str()},
            {"author", record.author.str()},
            {"submitted_ms", record.submitted.time_since_epoch().count()},
            {"comment", record.comment},
            {"edits", edits}};
}

std::uint64_t number_param(const httplib::Request& request, const std::string& name,
                           std::uint64_t absent) {
    std::uint64_t value = 0;
    return absl::SimpleAtoi(request.get_param_value(name.c_str()), &value) ? value : absent;
}

/// The documents after the edits, checked.
findings check_edits(const settings_documents& current,
                     const std::map<std::string, std::optional<std::string>>& edits) {
    settings_documents documents = current;
    for (const auto& [path, text] : edits) {
        if (text) {
            documents[path] = *text;
        } else {
            documents.erase(path);
        }
    }
    findings found;
    static_cast<void>(parse_settings(documents, revision{}, found));
    return found;
}

} // namespace

void settings_handler::add_routes(httplib::Server& routes) {
    routes.Get("/v1/settings",
               [this](const auto& request, auto& response) { read(request, response); });
    routes.Post("/v1/settings/check",
                [this](const auto& request, auto& response) { check(request, response); });
    routes.Post("/v1/settings/apply",
                [this](const auto& request, auto& response) { apply(request, response); });
    routes.Get("/v1/history",
               [this](const auto& request, auto& response) { history(request, response); });
}

// While the table is down the settings in force are shown, marked as such.
void settings_handler::read(const httplib::Request& request, httplib::Response& response) {
    const auto reader = gate_.admit(request, response);
    if (!reader) {
        return;
    }
    const absl::StatusOr<snapshot_ptr> loaded = parts_.settings.load();
    const snapshot_ptr shown = loaded.ok() ? *loaded : parts_.boards.settings.current();
    json documents = json::object();
    for (const auto& [path, text] : shown->documents()) {
        if (covers(*reader, path)) {
            documents[path] = text;
        }
    }
    set_json(response, {{"revision", shown->at().value()},
                        {"source", loaded.ok() ? "table" : "memory"},
                        {"subtrees", reader->subtrees},
                        {"documents", documents}});
}

void settings_handler::check(const httplib::Request& request, httplib::Response& response) {
    if (!gate_.admit(request, response)) {
        return;
    }
    try {
        const auto edits = edits_from(json::parse(request.body).at("edits"));
        const findings found = check_edits(parts_.boards.settings.current()->documents(), edits);
        const std::vector<std::string> lines = absl::StrSplit(found.format(), '\n');
        set_json(response, {{"ok", found.empty()},
                            {"findings", found.empty() ? json::array() : json(lines)}});
    } catch (const json::exception& error) {
        set_bad_request(response, error.what());
    }
}

void settings_handler::apply(const httplib::Request& request, httplib::Response& response) {
    const auto author = gate_.admit(request, response);
    if (!author) {
        return;
    }
    settings_change change;
    try {
        const json body = json::parse(request.body);
        change.id = change_id(body.at("change").get<std::string>());
        change.expected = revision(body.at("expected").get<std::uint64_t>());
        change.comment = body.value("comment", "");
        change.edits = edits_from(body.at("edits"));
    } catch (const json::exception& error) {
        return set_bad_request(response, error.what());
    }
    change.author = author->id;
    change.submitted = parts_.time.wall_now();
    const absl::StatusOr<snapshot_ptr> result = parts_.settings.apply(change);
    if (!result.ok()) {
        parts_.log.write(change_refused, {{"change", change.id.str()},
                                          {"author", change.author.str()},
                                          {"reason", std::string(result.status().message())}});
        return set_error(response, result.status());
    }
    parts_.facts.settings(*result);
    const absl::StatusOr<revision> accepted = accepted_revision(change, *result);
    if (!accepted.ok()) {
        return set_error(response, accepted.status());
    }
    parts_.log.write(change_accepted, {{"change", change.id.str()},
                                       {"author", change.author.str()},
                                       {"revision", std::to_string(accepted->value())}});
    set_json(response, {{"change", change.id.str()},
                        {"revision", accepted->value()},
                        {"newest", (*result)->at().value()}});
}

// A repeated submission returns newer settings than those that the change made.
absl::StatusOr<revision> settings_handler::accepted_revision(const settings_change& change,
                                                             const snapshot_ptr& newest) {
    if (newest->at() == change.expected.next()) {
        return newest->at();
    }
    const auto recorded = parts_.settings.revision_of(change.id);
    if (!recorded.ok()) {
        return recorded.status();
    }
    return recorded->value_or(newest->at());
}

void settings_handler::history(const httplib::Request& request, httplib::Response& response) {
    const auto reader = gate_.admit(request, response);
    if (!reader) {
        return;
    }
    history_query query;
    query.before = revision(number_param(request, "before", 0));
    query.path_prefix = request.get_param_value("path");
    query.limit = std::clamp<std::uint64_t>(number_param(request, "limit", default_history_limit),
                                            1, most_history_limit);
    const absl::StatusOr<history_page> page = parts_.history.read(query);
    if (!page.ok()) {
        return set_error(response, page.status());
    }
    json records = json::array();
    for (const audit_record& record : page->records) {
        json entry = to_json(record, *reader);
        if (!entry["edits"].empty()) {
            records.push_back(std::move(entry));
        }
    }
    set_json(response, {{"records", records}, {"next_before", page->next_before.value()}});
}

} // namespace jujubetide
