#include "ctl/control_client.h"

#include "jujubetide/http/http_client.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <chrono>
#include <thread>

namespace jujubetide {
namespace {

using nlohmann::json;

constexpr int most_submissions = 4;
constexpr millis submission_pause{300};
constexpr http_timeouts timeouts{millis{2'000}, millis{20'000}, millis{20'000}};

absl::StatusCode code_of(int http_status) {
    switch (http_status) {
    case 400:
    case 413:
    case 422:
        return absl::StatusCode::kInvalidArgument;
    case 401:
    case 403:
        return absl::StatusCode::kPermissionDenied;
    case 404:
        return absl::StatusCode::kNotFound;
    case 409:
        return absl::StatusCode::kAborted;
    case 503:
        return absl::StatusCode::kUnavailable;
    case 504:
        return absl::StatusCode::kDeadlineExceeded;
    default:
        return absl::StatusCode::kInternal;
    }
}

absl::StatusOr<json> read_answer(const http_answer& answer) {
    const json body = json::parse(answer.body, nullptr, false);
    if (answer.status >= 200 && answer.status < 300 && !body.is_discarded()) {
        return body;
    }
    std::string detail = absl::StrCat("HTTP status ", answer.status);
    if (body.is_object() && body.contains("detail") && body["detail"].is_string()) {
        detail = body["detail"].get<std::string>();
    }
    return absl::Status(code_of(answer.status), detail);
}

json to_json(const std::map<std::string, std::optional<std::string>>& edits) {
    json value = json::object();
    for (const auto& [path, text] : edits) {
        value[path] = text ? json(*text) : json(nullptr);
    }
    return value;
}

json to_json(const apply_request& request) {
    return {{"change", request.change.str()},
            {"expected", request.expected.value()},
            {"comment", request.comment},
            {"edits", to_json(request.edits)}};
}

/// Reads a typed answer; Internal when the server's answer has another form.
template <class Answer, class Read>
absl::StatusOr<Answer> typed(const absl::StatusOr<json>& answer, Read&& read) {
    if (!answer.ok()) {
        return answer.status();
    }
    try {
        return read(*answer);
    } catch (const json::exception& error) {
        return absl::InternalError(absl::StrCat("unreadable answer: ", error.what()));
    }
}

} // namespace

absl::StatusOr<json> control_client::call(const std::string& method, const std::string& target,
                                          const std::string& body) const {
    const std::map<std::string, std::string> headers{{"Authorization", "Bearer " + key_}};
    absl::Status last = absl::UnavailableError("no server is named");
    for (const endpoint& server : servers_) {
        const auto answer = http_call(server, method, target, body, timeouts, headers);
        if (answer.ok()) {
            return read_answer(*answer);
        }
        last =
            absl::Status(answer.status().code(),
                         absl::StrCat(server.str(), ": ", std::string(answer.status().message())));
        if (!absl::IsUnavailable(last)) {
            return last;
        }
    }
    return last;
}

absl::StatusOr<settings_view> control_client::settings() const {
    return typed<settings_view>(call("GET", "/v1/settings"), [](const json& body) {
        settings_view view;
        view.at = revision(body.at("revision").get<std::uint64_t>());
        view.source = body.at("source").get<std::string>();
        for (const auto& [path, text] : body.at("documents").items()) {
            view.documents[path] = text.get<std::string>();
        }
        return view;
    });
}

absl::Status
control_client::check(const std::map<std::string, std::optional<std::string>>& edits) const {
    const auto answer = call("POST", "/v1/settings/check", json{{"edits", to_json(edits)}}.dump());
    const auto lines = typed<std::vector<std::string>>(answer, [](const json& body) {
        return body.at("findings").get<std::vector<std::string>>();
    });
    if (!lines.ok()) {
        return lines.status();
    }
    return lines->empty() ? absl::OkStatus()
                          : absl::InvalidArgumentError(absl::StrJoin(*lines, "\n"));
}

absl::StatusOr<apply_answer> control_client::apply(const apply_request& request) const {
    const std::string body = to_json(request).dump();
    absl::StatusOr<json> answer = call("POST", "/v1/settings/apply", body);
    for (int i = 1; i < most_submissions && absl::IsDeadlineExceeded(answer.status()); ++i) {
        std::this_thread::sleep_for(submission_pause);
        absl::StatusOr<json> repeated = call("POST", "/v1/settings/apply", body);
        // The lost submission may have been accepted while this one cannot even be sent.
        if (!absl::IsUnavailable(repeated.status())) {
            answer = std::move(repeated);
        }
    }
    return typed<apply_answer>(answer, [](const json& reply) {
        return apply_answer{revision(reply.at("revision").get<std::uint64_t>()),
                            revision(reply.at("newest").get<std::uint64_t>())};
    });
}

} // namespace jujubetide
