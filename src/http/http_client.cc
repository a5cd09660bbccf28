#include "jujubetide/http/http_client.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>

namespace jujubetide {

std::unique_ptr<httplib::Client> make_http_client(const endpoint& server,
                                                  const http_timeouts& timeouts) {
    auto client = std::make_unique<httplib::Client>(server.address, server.port);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(timeouts.connect);
    client->set_read_timeout(timeouts.read);
    client->set_write_timeout(timeouts.write);
    return client;
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
                                      const std::map<std::string, std::string>& headers) {
    const std::unique_ptr<httplib::Client> client = make_http_client(server, timeouts);
    httplib::Request request;
    request.method = method;
    request.path = target;
    request.body = body;
    for (const auto& [name, value] : headers) {
        request.set_header(name, value);
    }
    if (!body.empty() && !request.has_header("Content-Type")) {
        request.set_header("Content-Type", "application/json");
    }
    const httplib::Result result = client->send(request);
    if (!result) {
        return to_status(result.error());
    }
    http_answer answer{result->status, result->get_header_value("Content-Type"), result->body, {}};
    for (const auto& [name, value] : result->headers) {
        answer.headers.emplace(name, value);
    }
    return answer;
}

} // namespace jujubetide
