#include "standins/standin_caller.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace jujubetide {
namespace {

using nlohmann::json;

std::string completion_body(const std::string& model, const std::string& prompt,
                            std::uint32_t pieces, bool stream) {
    return json{{"model", model}, {"prompt", prompt}, {"max_tokens", pieces}, {"stream", stream}}
        .dump();
}

void read_problem(const std::string& body, caller_answer& answer) {
    const json problem = json::parse(body, nullptr, false);
    if (problem.is_object()) {
        answer.outcome = problem.value("outcome", "");
        answer.code = problem.value("code", "");
    }
}

/// Splits `http://ADDRESS:PORT/PATH`.
std::pair<endpoint, std::string> split_location(const std::string& location) {
    const std::string rest = location.substr(std::string("http://").size());
    const std::size_t slash = rest.find('/');
    return {parse_endpoint(rest.substr(0, slash)).value_or(endpoint{}), rest.substr(slash)};
}

} // namespace

/// Reads the events of one answer, over several streams.
struct standin_caller::stream_reader {
    caller_answer answer;
    piece_check on_piece;
    std::string buffer;
    std::string moved_to;
    bool ended = false;
    bool in_order = true;

    bool take(const char* data, std::size_t size) {
        buffer.append(data, size);
        for (std::size_t end = buffer.find("\n\n"); end != std::string::npos;
             end = buffer.find("\n\n")) {
            const std::string event = buffer.substr(0, end);
            buffer.erase(0, end + 2);
            if (!take_event(event)) {
                return false;
            }
        }
        return true;
    }

    bool take_event(const std::string& event) {
        std::string id;
        std::string kind;
        std::string data;
        std::istringstream lines(event);
        for (std::string line; std::getline(lines, line);) {
            const std::size_t colon = line.find(": ");
            std::string value = line.substr(colon + 2);
            (line.starts_with("id") ? id : line.starts_with("event") ? kind : data) = value;
        }
        if (kind == "moved") {
            moved_to = json::parse(data)["location"];
            return true;
        }
        if (kind == "error") {
            read_problem(data, answer);
            return true;
        }
        if (data == "[DONE]") {
            ended = true;
            return true;
        }
        return id.empty() || take_piece(id, json::parse(data)["choices"][0]["text"]);
    }

    bool take_piece(const std::string& id, const std::string& text) {
        in_order = in_order && id == std::to_string(answer.pieces.size());
        answer.pieces.push_back(text);
        answer.text += text;
        return !on_piece || on_piece(answer.pieces.size());
    }
};

caller_answer standin_caller::stream(const std::string& model, const std::string& prompt,
                                     std::uint32_t pieces, const piece_check& on_piece) {
    stream_reader reader;
    reader.on_piece = on_piece;
    read_stream(entry_, "POST", "/v1/completions", completion_body(model, prompt, pieces, true),
                reader);
    while (!reader.moved_to.empty()) {
        ++reader.answer.moves;
        const auto [entry, path] = split_location(std::exchange(reader.moved_to, {}));
        read_stream(entry, "GET", path, "", reader);
    }
    reader.answer.whole = reader.ended && reader.in_order;
    return reader.answer;
}

void standin_caller::read_stream(const endpoint& entry, const std::string& method,
                                 const std::string& path, const std::string& body,
                                 stream_reader& reader) {
    const auto client = make_http_client(entry, {millis{2'000}, timeout_, timeout_});
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.set_header("Authorization", "Bearer " + key_);
    request.set_header("Accept", "text/event-stream");
    for (const auto& [name, value] : headers_) {
        request.set_header(name.c_str(), value);
    }
    if (method == "GET" && !reader.answer.pieces.empty()) {
        request.set_header("Last-Event-ID", std::to_string(reader.answer.pieces.size() - 1));
    }
    std::string problem_body;
    request.response_handler = [&reader](const httplib::Response& response) {
        reader.answer.status = response.status;
        reader.answer.retry_after = response.get_header_value("Retry-After");
        return true;
    };
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                                   std::uint64_t) {
        if (reader.answer.status != 200) {
            problem_body.append(data, size);
            return true;
        }
        return reader.take(data, size);
    };
    const httplib::Result result = client->send(request);
    if (!result) {
        reader.answer.error = httplib::to_string(result.error());
    }
    read_problem(problem_body, reader.answer);
}

caller_answer standin_caller::whole(const std::string& model, const std::string& prompt,
                                    std::uint32_t pieces) {
    caller_answer answer;
    endpoint entry = entry_;
    std::string method = "POST";
    std::string path = "/v1/completions";
    std::string body = completion_body(model, prompt, pieces, false);
    auto headers = headers_;
    headers["Authorization"] = "Bearer " + key_;
    for (;;) {
        const auto reply =
            http_call(entry, method, path, body, {millis{2'000}, timeout_, timeout_}, headers);
        if (!reply.ok()) {
            answer.error = std::string(reply.status().message());
            return answer;
        }
        answer.status = reply->status;
        if (reply->status != 303) {
            const json parsed = json::parse(reply->body, nullptr, false);
            if (reply->status == 200 && parsed.is_object()) {
                answer.text = parsed["choices"][0]["text"];
                answer.whole = true;
            } else {
                read_problem(reply->body, answer);
                const auto retry = reply->headers.find("Retry-After");
                answer.retry_after = retry == reply->headers.end() ? "" : retry->second;
            }
            return answer;
        }
        ++answer.moves;
        std::tie(entry, path) = split_location(reply->headers.at("Location"));
        method = "GET";
        body.clear();
    }
}

absl::StatusOr<http_answer> standin_caller::call(const std::string& method,
                                                 const std::string& target,
                                                 const std::string& body) {
    auto headers = headers_;
    headers["Authorization"] = "Bearer " + key_;
    return http_call(entry_, method, target, body, {millis{2'000}, timeout_, timeout_}, headers);
}

} // namespace jujubetide
