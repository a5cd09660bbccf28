#include "entry/model_call.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

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

const service_settings* find_model_service(const settings_snapshot& settings,
                                           const std::string& model) {
    const std::size_t slash = model.find('/');
    const bool has_team = slash != std::string::npos;
    const service_id id(has_team ? model.substr(slash + 1) : model);
    const service_settings* service = settings.find_service(id);
    if (service == nullptr || service->kind != service_kind::model) {
        return nullptr;
    }
    return has_team && service->team.str() != model.substr(0, slash) ? nullptr : service;
}

} // namespace jujubetide
