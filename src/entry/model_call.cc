#include "entry/model_call.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace jujubetide {
namespace {

using nlohmann::json;

absl::Status bad_field(const std::string& field, const std::string& what) {
    return absl::InvalidArgumentError(absl::StrCat(field, ": ", what));
}

absl::StatusOr<std::string> join_messages(const json& body) {
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return bad_field("messages", "must be a list that is not empty");
    }
    std::string prompt;
    for (const json& message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string() ||
            !message.contains("content") || !message["content"].is_string()) {
            return bad_field("messages", "each needs a role and a content, both texts");
        }
        absl::StrAppend(&prompt, message["role"].get<std::string>(), ": ",
                        message["content"].get<std::string>(), "\n");
    }
    return prompt;
}

absl::StatusOr<std::string> read_prompt(completion_kind kind, const json& body) {
    if (kind == completion_kind::chat) {
        return join_messages(body);
    }
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string()) {
        return bad_field("prompt", "must be a text");
    }
    return prompt->get<std::string>();
}

absl::Status read_options(const json& body, model_call& call) {
    if (body.contains("stream")) {
        if (!body["stream"].is_boolean()) {
            return bad_field("stream", "must be true or false");
        }
        call.stream = body["stream"].get<bool>();
    }
    call.max_pieces = default_max_pieces;
    if (body.contains("max_tokens")) {
        const json& limit = body["max_tokens"];
        if (!limit.is_number_unsigned() || limit.get<std::uint64_t>() == 0 ||
            limit.get<std::uint64_t>() > largest_max_pieces) {
            return bad_field("max_tokens", absl::StrCat("must be 1 to ", largest_max_pieces));
        }
        call.max_pieces = limit.get<std::uint32_t>();
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<model_call> parse_model_call(completion_kind kind, const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return absl::InvalidArgumentError("the body must be a JSON object");
    }
    model_call call;
    call.kind = kind;
    const auto model = parsed.find("model");
    if (model == parsed.end() || !model->is_string()) {
        return bad_field("model", "must be a text");
    }
    call.model = model->get<std::string>();
    absl::StatusOr<std::string> prompt = read_prompt(kind, parsed);
    if (!prompt.ok()) {
        return prompt.status();
    }
    call.prompt = *std::move(prompt);
    if (absl::Status options = read_options(parsed, call); !options.ok()) {
        return options;
    }
    return call;
}

std::optional<model_target> find_model_target(const settings_snapshot& settings,
                                              const std::string& model) {
    std::vector<std::string> names = absl::StrSplit(model, '/');
    if (names.size() > 1) {
        const service_settings* second = settings.find_service(service_id(names[1]));
        if (second != nullptr && second->team.str() == names[0]) {
            names.erase(names.begin());
        }
    }
    const service_settings* service = settings.find_service(service_id(names[0]));
    if (service == nullptr || service->kind != service_kind::model || names.size() > 2) {
        return std::nullopt;
    }
    if (names.size() == 1) {
        return model_target{service, service->routes.empty() ? nullptr : &service->routes.front()};
    }
    const auto route =
        std::find_if(service->routes.begin(), service->routes.end(),
                     [&names](const route_settings& one) { return one.id.str() == names[1]; });
    if (route == service->routes.end()) {
        return std::nullopt;
    }
    return model_target{service, &*route};
}

} // namespace jujubetide
