#include "jujubetide/http/http_client.h"

#include "http/http_request.h"

#include "jujubetide/http/buffered_answer.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace jujubetide {

std::unique_ptr<httplib::Client> make_http_client(const endpoint& server,
                                                  const http_timeouts& timeouts) {
    auto client = std::make_unique<httplib::Client>(server.address, server.port);
    set_options(*client, timeouts);
    return client;
}

httplib::Request make_request(const std::string& method, const std::string& target,
                              std::string body, const std::map<std::string, std::string>& headers) {
    httplib::Request request;
    request.method = method;
    request.path = target;
    request.body = std::move(body);
    for (const auto& [name, value] : headers) {
        request.set_header(name, value);
    }
    if (!request.body.empty() && !request.has_header("Content-Type")) {
        request.set_header("Content-Type", "application/json");
    }
    return request;
}

absl::Status to_status(httplib::Error error) {
    const std::string text = httplib::to_string(error);
    switch (error) {
    case httplib::Error::Success:
        return absl::OkStatus();
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return absl::UnavailableError(absl::StrCat("no connection: ", text));
    default:
        return absl::DeadlineExceededError(absl::StrCat("no whole reply: ", text));
    }
}

absl::StatusOr<http_answer> http_call(const endpoint& server, const std::string& method,
                                      const std::string& target, const std::string& body,
                                      const http_timeouts& timeouts,
                                      const std::map<std::string, std::string>& headers,
                                      std::size_t max_answer_bytes) {
    const std::unique_ptr<httplib::Client> client = make_http_client(server, timeouts);
    httplib::Request request = make_request(method, target, body, headers);
    buffered_answer read(max_answer_bytes, memory_use::control);
    request.response_handler = [&read](const httplib::Response& head) { return read.begin(head); };
    request.content_receiver = [&read](const char* data, std::size_t size, std::uint64_t,
                                       std::uint64_t) {
        return read.append({data, size});
    };
    const httplib::Result result = client->send(request);
    if (!read.error().empty()) {
        return absl::DeadlineExceededError(read.error());
    }
    if (!result) {
        return to_status(result.error());
    }
    http_answer answer{result->status,
                       result->get_header_value("Content-Type"),
                       read.take_body(),
                       {},
                       read.memory()};
    for (const auto& [name, value] : result->headers) {
        answer.headers.emplace(name, value);
    }
    return answer;
}

} // namespace jujubetide
