#include "entry/answer_writer.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace jujubetide {
namespace {

using nlohmann::json;

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json chunk(const hand_over_record& record, json choice) {
    choice["index"] = 0;
    return {{"id", record.caller_request_id},
            {"object", record.chat ? "chat.completion.chunk" : "text_completion"},
            {"model", record.model},
            {"choices", json::array({std::move(choice)})}};
}

std::string finish_events(const hand_over_record& record, const answer_whole& end) {
    json choice{{"finish_reason", end.finish_reason}};
    if (record.chat) {
        choice["delta"] = json::object();
    } else {
        choice["text"] = "";
    }
    return absl::StrCat("data: ", dump(chunk(record, std::move(choice))), "\n\ndata: [DONE]\n\n");
}

} // namespace

std::string request_location(const endpoint& entry, const request_id& request) {
    return absl::StrCat("http://", entry.str(), "/v1/requests/", request.str());
}

std::string piece_event(const hand_over_record& record, piece_offset offset,
                        const std::string& piece) {
    json choice{{"finish_reason", nullptr}};
    if (record.chat) {
        choice["delta"] = {{"content", piece}};
    } else {
        choice["text"] = piece;
    }
    return absl::StrCat("id: ", offset.value(), "\ndata: ", dump(chunk(record, std::move(choice))),
                        "\n\n");
}

std::string end_events(const hand_over_record& record, const answer_end& end, piece_offset next) {
    if (const auto* whole = std::get_if<answer_whole>(&end)) {
        return finish_events(record, *whole);
    }
    if (const auto* refused = std::get_if<answer_refused>(&end)) {
        return absl::StrCat("event: error\ndata: ", to_json(refused->error), "\n\n");
    }
    if (const auto* moved = std::get_if<answer_moved>(&end)) {
        const json where{{"location", request_location(moved->address, record.request)},
                         {"offset", next.value()}};
        return absl::StrCat("event: moved\ndata: ", dump(where), "\n\n");
    }
    return "";
}

std::string whole_body(const hand_over_record& record, const std::string& text,
                       std::size_t piece_count, const answer_whole& end) {
    json choice{{"index", 0}, {"finish_reason", end.finish_reason}};
    if (record.chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    return dump({{"id", record.caller_request_id},
                 {"object", record.chat ? "chat.completion" : "text_completion"},
                 {"model", record.model},
                 {"choices", json::array({std::move(choice)})},
                 {"usage",
                  {{"prompt_tokens", end.prompt_tokens.value()},
                   {"completion_tokens", piece_count},
                   {"cached_tokens", end.cached_tokens.value()}}}});
}

} // namespace jujubetide
